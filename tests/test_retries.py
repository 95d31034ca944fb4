"""Verdicts, retries and response checks with faulty upstreams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import random

import pytest

from lycheegw.coordination import retries
from lycheegw.coordination import version_plans
from lycheegw.measure import harness
from lycheegw.protocol import engine_api
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts
from lycheegw.transport import http_client
from lycheegw.transport import upstream_client
from tests import test_path

LOOKUP = "/v1/services/deskapp/lookup"
BOOK = "/v1/services/deskapp/book"
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def _scripted_server(script: Script):
    """Serves each connection with `script` on an ephemeral port."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await script(reader, writer)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


def _respond_with(answer: bytes) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.write_eof()
        await reader.read()

    return script


async def _never_respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (b"", reasons.RetryReason.CONNECTION_LOST),
        (b"HTTP/1.1 200", reasons.RetryReason.CONNECTION_LOST),
        (b"garbage\r\n\r\n", reasons.RetryReason.MALFORMED),
        (
            b"HTTP/1.0 200 OK\r\ncontent-length: many\r\n\r\n",
            reasons.RetryReason.MALFORMED,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            reasons.RetryReason.MALFORMED,
        ),
        (
            b"HTTP/1.0 200 OK\r\ncontent-length: 9\r\n\r\nshort",
            reasons.RetryReason.TRUNCATED,
        ),
    ],
)
def test_invalid_response_means_may_have_run(
    answer: bytes, reason: reasons.RetryReason
) -> None:
    async def main() -> None:
        async with _scripted_server(_respond_with(answer)) as address:
            with pytest.raises(errors.UpstreamError) as caught:
                await http_client.fetch(address, "GET", "/", 5.0)
            assert caught.value.reason is reason
            assert caught.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN

    asyncio.run(main())


def test_only_an_unsent_request_has_not_run() -> None:
    async def main() -> None:
        async with _scripted_server(_never_respond) as address:
            with pytest.raises(errors.UpstreamError) as silent:
                await http_client.fetch(address, "GET", "/", 0.05)
            big = b"x" * 64_000_000
            with pytest.raises(errors.UpstreamError) as partly_sent:
                await http_client.fetch(address, "POST", "/", 0.3, body=big)
        with pytest.raises(errors.UpstreamError) as closed:
            await http_client.fetch(address, "GET", "/", 5.0)
        assert silent.value.reason is reasons.RetryReason.HEAD_TIMEOUT
        assert silent.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN
        assert partly_sent.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN
        assert closed.value.reason is reasons.RetryReason.CONNECT_FAILED
        assert closed.value.verdict is verdicts.RunVerdict.NOT_RUN

    asyncio.run(main())


class _ChunkedConnection:
    """A connection that returns the chunks of a response one at a time."""

    def __init__(self, chunks: list[bytes]):
        self._chunks = chunks

    async def read(self, timeout_s: float) -> bytes:
        del timeout_s
        return self._chunks.pop(0) if self._chunks else b""

    def close(self) -> None:
        pass


async def _read_to_end(chunks: list[bytes], prefix_tokens: int = 0) -> bytes:
    stream = upstream_client.EngineStream(
        _ChunkedConnection(chunks), "r", prefix_tokens, 1
    )
    forwarded = b""
    while True:
        frames = await stream.read()
        forwarded += frames.payload
        if frames.is_end:
            return forwarded


TOKEN_FRAMES = [engine_api.token_frame("r", word) for word in ("a ", "b ")]
USAGE_FRAME = engine_api.totals_frame("r", 2, 0.5)
COMPLETE_STREAM = b"".join(TOKEN_FRAMES) + USAGE_FRAME + engine_api.END_FRAME


def test_frames_are_forwarded_unchanged_however_they_are_split() -> None:
    for size in (1, 7, len(COMPLETE_STREAM)):
        chunks = [
            COMPLETE_STREAM[start : start + size]
            for start in range(0, len(COMPLETE_STREAM), size)
        ]
        assert asyncio.run(_read_to_end(chunks)) == b"".join(TOKEN_FRAMES)


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (b"".join(TOKEN_FRAMES) + USAGE_FRAME, "truncated"),
        (TOKEN_FRAMES[0] + USAGE_FRAME + engine_api.END_FRAME, "truncated"),
        (b"".join(TOKEN_FRAMES) + engine_api.END_FRAME, "truncated"),
        (COMPLETE_STREAM + TOKEN_FRAMES[0], "malformed"),
        (TOKEN_FRAMES[0] + b"data: {cut\n\n" + COMPLETE_STREAM, "malformed"),
        (b"data: " + b"[" * 100_000 + b"\n\n", "malformed"),
        (b"data: " + b"x" * 300_000, "malformed"),
        (
            engine_api.token_frame("other", "a ") + COMPLETE_STREAM,
            "echo_mismatch",
        ),
    ],
)
def test_invalid_stream_never_ends_normally(answer: bytes, reason: str) -> None:
    with pytest.raises(errors.UpstreamError) as caught:
        asyncio.run(_read_to_end([answer]))
    assert caught.value.reason.value == reason


def test_usage_frame_is_not_forwarded_as_a_token() -> None:
    async def main() -> None:
        chunks = [TOKEN_FRAMES[0] + TOKEN_FRAMES[1] + USAGE_FRAME]
        stream = upstream_client.EngineStream(
            _ChunkedConnection(chunks), "r", 0, 1
        )
        frames = await stream.read()
        assert frames.payload == b"".join(TOKEN_FRAMES)
        assert stream.text() == "a b "
        with pytest.raises(errors.UpstreamError):
            await stream.read()

    asyncio.run(main())


def test_retry_budget_is_proportional_to_traffic() -> None:
    budget = retries.RetryBudget(0.2, 5, 10)
    retried = 0
    for _ in range(100):
        budget.note_request()
        retried += sum(budget.take() for _ in range(3))
    assert retried <= 5 + 20
    assert [budget.take(True) for _ in range(12)].count(True) <= 11
    source = random.Random(1)
    assert all(retries.backoff_s(4, source) <= 0.32 for _ in range(99))


async def _send(
    fleet: harness.Fleet, path: str, deadline_ms: int, key: str = "k"
) -> harness.Reply:
    headers = {"x-deadline-ms": str(deadline_ms), "idempotency-key": key}
    return await fleet.call(fleet.nodes["n1"], path, {}, test_path.KEY, headers)


def test_booking_without_a_response_runs_at_most_once() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            standin = fleet.services["s1"]
            # A lost response ejects its upstream, so this fault comes last.
            standin.set_faults({"is_silent": True})
            silent = await _send(fleet, BOOK, 300, "k2")
            standin.set_faults({"is_silent": False, "loses_answers": True})
            lost = await _send(fleet, BOOK, 2000, "k1")
            assert lost.json()["error"]["run"] == "may_have_run"
            assert silent.json()["error"]["run"] == "may_have_run"
            assert [run.key for run in standin.runs] == ["k1"]

    asyncio.run(main())


def test_silent_service_leaves_time_for_a_retry_elsewhere() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            await fleet.add_service("s2", "z1", "deskapp")
            await fleet.wait_upstreams()
            fleet.services["s1"].set_faults({"is_silent": True})
            replies = [await _send(fleet, LOOKUP, 1200) for _ in range(6)]
            assert [reply.status for reply in replies] == [200] * 6
            counters = fleet.nodes["n1"].state.counters.by_name
            assert counters["retry.head_timeout"] <= 2

    asyncio.run(main())


def test_empty_response_is_refused_and_never_forwarded() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            fleet.services["s1"].set_faults({"is_empty": True})
            reply = await _send(fleet, LOOKUP, 5000)
            assert reply.status != 200
            assert reply.json()["error"]["run"] == "ran"
            assert float(reply.header_by_name["retry-after"]) > 0
            counters = fleet.nodes["n1"].state.counters.by_name
            assert counters["failure.empty_answer"] == retries.MAX_ATTEMPTS

    asyncio.run(main())


async def _generate(
    fleet: harness.Fleet,
    is_stream: bool,
    tokens: int = 8,
    model: str = "drafter",
) -> harness.Reply:
    body = test_path.BODY | {
        "model": model,
        "stream": is_stream,
        "max_tokens": tokens,
    }
    return await fleet.call(
        fleet.nodes["n1"], test_path.CHAT, body, test_path.KEY
    )


@pytest.mark.parametrize("fault", ["truncates_after", "stalls_after"])
def test_resumed_response_is_complete_and_billed_once(fault: str) -> None:
    async def main() -> None:
        async with test_path.small_fleet(token_gap_timeout_s=0.2) as fleet:
            # A fixed version: exploration of another one would cost more.
            version = "drafter@v1"
            whole = (await _generate(fleet, False, model=version)).json()
            fleet.engines["e1"].set_faults({fault: 5})
            fleet.engines["e2"].set_faults({fault: 6})
            broken = await _generate(fleet, False, model=version)
            assert broken.status == 200
            assert broken.json()["choices"] == whole["choices"]
            assert broken.json()["usage"] == whole["usage"]
            assert float(broken.header_by_name["x-cost"]) == 8 / 1000
            assert int(broken.header_by_name["x-attempts"]) > 1

    asyncio.run(main())


async def _withdraw_during_stream(is_stream: bool) -> harness.Reply:
    """Withdraws the version during a stream that breaks at its last token."""
    async with test_path.small_fleet() as fleet:
        for standin in fleet.engines.values():
            standin.set_faults({"token_delay_s": 0.1, "truncates_after": 7})
        running = asyncio.create_task(_generate(fleet, is_stream))
        while not any(each.running for each in fleet.engines.values()):
            await asyncio.sleep(0.01)
        withdrawal = harness.record(
            "withdrawal", "drafter@v1", {"is_withdrawn": True}
        )
        await fleet.wait_applied(await fleet.publish(withdrawal))
        counters = fleet.nodes["n1"].state.counters.by_name
        while not counters["failure.truncated"] and not running.done():
            await asyncio.sleep(0.01)
        for standin in fleet.engines.values():
            standin.set_faults({"truncates_after": None})
        return await running


def test_withdrawal_during_a_started_stream_ends_in_an_error_event() -> None:
    reply = asyncio.run(_withdraw_during_stream(True))
    assert b"data: [DONE]" not in reply.body
    error = json.loads(reply.body.split(b"\n\n")[-2].split(b"data: ")[-1])
    assert error["error"]["run"] == "may_have_run"


def test_withdrawal_before_any_output_restarts_on_another_version() -> None:
    reply = asyncio.run(_withdraw_during_stream(False))
    assert reply.status == 200, reply.body
    assert reply.header_by_name["x-model-version"] == "drafter@v2"
    assert float(reply.header_by_name["x-cost"]) == 8 * 2 / 1000


def test_retry_budget_bounds_retries_when_all_upstreams_fail() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            for standin in [*fleet.engines.values(), *fleet.services.values()]:
                standin.set_faults({"is_dead": True})
            sent = [_generate(fleet, False) for _ in range(40)]
            replies = await asyncio.gather(*sent)
            assert all(reply.status != 200 for reply in replies)
            counters = fleet.nodes["n1"].state.counters.by_name
            assert counters["refusal.retry_budget"] > 0
            assert counters["failure.connection_lost"] <= 40 + 20 + 40 * 0.2
            for standin in fleet.engines.values():
                standin.set_faults({"is_dead": False})
            await asyncio.sleep(0.6)
            assert (await _generate(fleet, False)).status == 200

    asyncio.run(main())


# Issue 55: the answer of the first model is dropped, the second one refuses.
@pytest.mark.parametrize("is_listed", [False, True])
def test_refusal_after_a_dropped_answer_says_ran(
    is_listed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    steps = [
        version_plans.Step("v1", 2.0),
        version_plans.Step("v2", 0.0),
    ]

    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            monkeypatch.setattr(version_plans.Planner, "plan", lambda *_: steps)
            for standin in fleet.engines.values():
                standin.versions = {"v1"}
            if not is_listed:
                for each in fleet.nodes["n1"].state.upstreams.by_id.values():
                    each.report = each.report and each.report._replace(
                        versions=frozenset({"v1"})
                    )
            refused = await _generate(fleet, False)
            assert refused.status == 503, refused.body
            assert refused.json()["error"]["run"] == "ran"

    asyncio.run(main())
