"""Responses with neither a length nor chunks end with their connection."""

import asyncio

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

_PROMPT = {
    "X-Lycheegw-Model": "large",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}
_EVENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 6)]


async def _ask(
    bodies: list[bytes],
) -> tuple[platform_standins.Reply, list[str]]:
    """Sends a stream request to upstreams that end their connections.

    Args:
        bodies: What the upstreams answer, in the order of the requests.

    Returns:
        The response, and the Last-Event-Id of each request at the upstreams.
    """
    seen: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(request.header_by_name.get("last-event-id", ""))
        attempt_id = request.header_by_name["x-lycheegw-attempt-id"]
        head = (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n"
            f"X-Lycheegw-Attempt-Id: {attempt_id}\r\n"
            "X-Lycheegw-Response-Signature: sig\r\n\r\n"
        )
        writer.write(head.encode() + bodies[len(seen) - 1])
        await writer.drain()
        writer.close()

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        is_stream = bodies[0][:2] != b"{}"
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen,
            "/ask/1" if is_stream else "/look/1",
            "POST" if is_stream else "GET",
            b"q" if is_stream else b"",
            _PROMPT if is_stream else {},
        )
        assert reply is not None
        return reply, seen


async def test_stream_that_ends_after_an_event_is_whole() -> None:
    reply, seen = await _ask([b"".join(_EVENTS)])
    assert reply.is_whole and reply.body == b"".join(_EVENTS)
    assert seen == [""]


async def test_plain_response_that_ends_with_its_connection_is_whole() -> None:
    reply, seen = await _ask([b"{}"])
    assert reply.is_whole and reply.body == b"{}"
    assert seen == [""]


# Guards against a broken stream that is passed on as if it were complete.
@pytest.mark.parametrize(
    ("first", "resumed_after"),
    [
        (b"".join(_EVENTS[:2]) + _EVENTS[2][:9], "2"),
        (_EVENTS[0][:5], ""),
        (b"", ""),
    ],
)
async def test_stream_that_ends_elsewhere_goes_on_at_another_upstream(
    first: bytes, resumed_after: str
) -> None:
    rest = _EVENTS[int(resumed_after or 0) :]
    reply, seen = await _ask([first, b"".join(rest)])
    assert reply.is_whole and reply.body == b"".join(_EVENTS)
    assert seen == ["", resumed_after]
