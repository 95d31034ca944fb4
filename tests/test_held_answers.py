"""Answers that are held until another upstream has taken their request."""

import asyncio
from typing import Any

from lycheegw.coordination import held_answers
from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

OVERLAP_S = 0.4
PROMPT = {
    "X-Lycheegw-Model": "*",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}


class _Call:
    """A call that records how it ended."""

    def __init__(self) -> None:
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


def _hold(call: Any, released: list[str]) -> held_answers.HeldAnswer:
    head: Any = None
    choice: Any = None
    answer = held_answers.Answer(call, head, choice, "small", 0.0)
    return held_answers.HeldAnswer(answer, lambda: released.append("small"))


# Guards against two upstreams that work on a request until one of them ends.
async def test_held_answer_is_dropped_soon_after_the_next_attempt() -> None:
    call, released = _Call(), list[str]()
    held = _hold(call, released)
    held.note_sent()
    await asyncio.sleep(OVERLAP_S / 2)
    assert call.is_aborted
    assert released == ["small"]
    assert held.take() is None
    assert held.model is None


# Guards against an answer that is lost while the next attempt waits or fails.
async def test_held_answer_stays_while_no_upstream_has_the_request() -> None:
    call, released = _Call(), list[str]()
    held = _hold(call, released)
    for _ in range(3):
        held.note_sent()
        await asyncio.sleep(0.05)
        held.note_failed()
    await asyncio.sleep(OVERLAP_S / 2)
    assert held.model == "small"
    answer = held.take()
    assert answer is not None and answer.call is call
    held.drop()
    assert not call.is_aborted
    assert not released


# Guards against work of the smaller model that goes on beside the larger one's,
# and against a load of upstreams that is counted wrong afterwards.
async def test_smaller_model_stops_once_the_larger_one_works() -> None:
    loop = asyncio.get_running_loop()
    sent_s: dict[str, float] = {}
    closed_s: list[float] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        model = request.header_by_name["x-lycheegw-model"]
        sent_s[model] = loop.time()
        head = raw_upstreams.response(request).partition(b"Content-Length")[0]
        if model == "small":
            writer.write(
                head + b"X-Lycheegw-Confidence: 20\r\n\r\nid: 1\ndata: a\n\n"
            )
            while not writer.is_closing():
                await asyncio.sleep(0.01)
            closed_s.append(loop.time())
            return
        await asyncio.sleep(OVERLAP_S)
        writer.write(head + b"\r\nid: 1\ndata: b\n\n")
        writer.close()

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        node = fleet.nodes[0]
        reply = await platform_standins.send_request(
            node.settings.listen, "/ask/1", "POST", b"q", PROMPT
        )
        assert reply is not None and reply.status == 200
        assert b"data: b" in reply.body
        assert closed_s[0] - sent_s["large"] < OVERLAP_S
        assert not any(
            each.in_flight for each in node.state.upstreams.by_id.values()
        )


# Guards against a promise after a run: the larger model took the request, and
# failed after the smaller one's answer was given up.
async def test_answer_that_was_given_up_is_no_reason_for_a_promise() -> None:
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        head = raw_upstreams.response(request).partition(b"Content-Length")[0]
        if request.header_by_name["x-lycheegw-model"] == "small":
            writer.write(
                head + b"X-Lycheegw-Confidence: 20\r\n\r\nid: 1\ndata: a\n\n"
            )
            return
        await asyncio.sleep(OVERLAP_S)
        attempt_id = request.header_by_name["x-lycheegw-attempt-id"]
        writer.write(
            "HTTP/1.1 503 Late\r\nX-Lycheegw-Not-Executed: 1\r\n"
            f"X-Lycheegw-Attempt-Id: {attempt_id}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/ask/1", "POST", b"q", PROMPT
        )
        assert reply is not None
        assert reply.status in {200, 502, 504}
