"""A stream that broke off goes on with its events, or is broken off."""

import asyncio
from collections.abc import Callable
import contextlib

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
_ERROR_TEXT = b"id: 9\ndata: error text\n\n"

# Returns the lines of a head after its status line, and the body.
Framing = Callable[[bytes], bytes]


def _with_length(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _chunked(body: bytes) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


def _until_close(body: bytes) -> bytes:
    return b"Connection: close\r\n\r\n" + body


async def _ask(
    answers: list[tuple[int, bytes]],
) -> tuple[platform_standins.Reply, int]:
    """Sends a stream request to upstreams that answer in turn.

    Args:
        answers: Status, and the head after the upstream's headers with the
            body, of each answer; the last one is repeated.

    Returns:
        The response, and the number of requests at the upstreams.
    """
    count = 0

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal count
        attempt_id = request.header_by_name.get("x-lycheegw-attempt-id")
        if attempt_id is None:
            # A health check.
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        status, rest = answers[min(count, len(answers) - 1)]
        count += 1
        head = (
            f"HTTP/1.1 {status} Status\r\n"
            f"X-Lycheegw-Attempt-Id: {attempt_id}\r\n"
            "X-Lycheegw-Response-Signature: sig\r\n"
        )
        writer.write(head.encode() + rest)
        await writer.drain()
        writer.close()

    async with (
        fleet_harness.fleet() as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        for name in ("m1", "m2"):
            await stack.enter_async_context(
                raw_upstreams.raw_upstream(fleet, name, "llm", respond)
            )
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/ask/1", "POST", b"q", _PROMPT
        )
        assert reply is not None
        assert "requests.answered" in fleet.nodes[0].state.counters.by_name or (
            "requests.refused" in fleet.nodes[0].state.counters.by_name
        )
        return reply, count


_BROKEN = (200, _until_close(b"".join(_EVENTS[:2]) + _EVENTS[2][:9]))
_ERRORS = [
    pytest.param(status, framing, id=f"{status} {framing.__name__[1:]}")
    for status in (202, 204, 206, 302, 400, 404, 500, 503)
    for framing in (_with_length, _chunked, _until_close)
    if status != 204 or framing is _until_close
]


# Guards against an error's text in the middle of a stream, and against a broken
# stream that ends as if it were complete.
@pytest.mark.parametrize(("status", "framing"), _ERRORS)
async def test_error_of_the_next_upstream_is_no_part_of_a_stream(
    status: int, framing: Framing
) -> None:
    body = b"" if status == 204 else _ERROR_TEXT
    reply, _ = await _ask([_BROKEN, (status, framing(body))])
    assert reply.status == 200
    assert reply.body == b"".join(_EVENTS[:2])
    assert not reply.is_whole


@pytest.mark.parametrize("status", [202, 302, 404, 500])
async def test_stream_goes_on_after_an_error_of_the_next_upstream(
    status: int,
) -> None:
    rest = _chunked(b"".join(_EVENTS[2:]))
    reply, count = await _ask(
        [_BROKEN, (status, _with_length(_ERROR_TEXT)), (200, rest)]
    )
    assert reply.is_whole and reply.body == b"".join(_EVENTS)
    assert count == 3


# Guards against a broken stream that ends as if it were complete: the end of
# the connection of the next upstream was taken for the end of the stream.
async def test_closed_connection_does_not_end_a_resumed_stream() -> None:
    reply, count = await _ask([_BROKEN, (200, _until_close(b""))])
    assert reply.body == b"".join(_EVENTS[:2])
    assert not reply.is_whole
    assert count == 3


@pytest.mark.parametrize("framing", [_with_length, _chunked])
async def test_resumed_stream_without_further_events_is_whole(
    framing: Framing,
) -> None:
    """The first upstream was lost after its last event."""
    broken = (200, _until_close(b"".join(_EVENTS) + b"id"))
    reply, count = await _ask([broken, (200, framing(b""))])
    assert reply.is_whole and reply.body == b"".join(_EVENTS)
    assert count == 2
