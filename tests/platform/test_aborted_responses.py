"""A node that gives up the connections to its upstreams ends no response."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from lycheegw import edge_app
from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

_PROMPT = {
    "X-Lycheegw-Model": "large",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}
_EVENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 5)]
_WHOLE = b"".join(_EVENTS)
_FRAMINGS = ("length", "chunks", "close")
_PATHS = ("/ask/1", "/look/1")


def _head(request: raw_upstreams.RawRequest, framing: str) -> bytes:
    attempt_id = request.header_by_name["x-lycheegw-attempt-id"]
    fields = {
        "length": f"Content-Length: {len(_WHOLE)}",
        "chunks": "Transfer-Encoding: chunked",
        "close": "Connection: close",
    }
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Lycheegw-Attempt-Id: {attempt_id}\r\n"
        "X-Lycheegw-Response-Signature: sig\r\n"
        f"{fields[framing]}\r\n\r\n"
    ).encode()


@contextlib.asynccontextmanager
async def _upstreams(
    fleet: fleet_harness.Fleet, framing: str, begun: asyncio.Event
) -> AsyncIterator[None]:
    """Runs upstreams that send half of each response and are silent then."""

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(_head(request, framing))
        after = int(request.header_by_name.get("last-event-id", "0"))
        for event in _EVENTS[after : after + 2]:
            is_chunk = framing == "chunks"
            writer.write(
                b"%x\r\n%s\r\n" % (len(event), event) if is_chunk else event
            )
        await writer.drain()
        begun.set()
        await asyncio.sleep(10.0)

    async with raw_upstreams.all_raw_upstreams(fleet, respond):
        yield


async def _reply_if(
    framing: str, path: str, is_relayed: bool, *, stops: bool
) -> platform_standins.Reply | None:
    """Returns the response of a node whose pool is closed in its middle.

    Args:
        framing: How the upstream tells the end of its response.
        path: Path of the request.
        is_relayed: Whether another node passes the response on.
        stops: Whether the node stops; else its pool alone is closed.
    """
    begun = asyncio.Event()
    async with (
        fleet_harness.fleet(nodes=2) as fleet,
        _upstreams(fleet, framing, begun),
    ):
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 2 for node in fleet.nodes
            )
        )
        first, serving = fleet.nodes
        first.reach.is_cut_off = is_relayed
        asked = first if is_relayed else serving
        sending = asyncio.create_task(_send(asked, path))
        await begun.wait()
        await asyncio.sleep(0.1)
        if stops:
            levels = serving.settings.service_levels._replace(grace_s=1.5)
            serving.settings = serving.settings._replace(service_levels=levels)
            await serving.stop()
        else:
            serving.upstream_pool.close()
        async with asyncio.timeout(6.0):
            return await sending


async def _send(
    node: edge_app.EdgeNode, path: str
) -> platform_standins.Reply | None:
    is_stream = path.startswith("/ask/")
    try:
        return await platform_standins.send_request(
            node.settings.listen,
            path,
            "POST" if is_stream else "GET",
            b"q" if is_stream else b"",
            _PROMPT if is_stream else {},
        )
    except (ConnectionError, asyncio.IncompleteReadError):
        return None


# ORDER, MIXED, review/2: responses without a length that a node gave up in
# their middle were told to be complete, also by the node that relayed them.
@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("framing", _FRAMINGS)
async def test_response_that_is_given_up_is_not_complete(
    framing: str, path: str, is_relayed: bool
) -> None:
    reply = await _reply_if(framing, path, is_relayed, stops=False)
    if reply is not None and reply.status == 200 and reply.is_whole:
        assert reply.body == _WHOLE


# ORDER, review/2: the same at the end of the grace time of a planned stop.
@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("path", _PATHS)
async def test_response_that_outlasts_a_stop_is_not_complete(
    path: str, is_relayed: bool
) -> None:
    reply = await _reply_if("close", path, is_relayed, stops=True)
    if reply is not None and reply.status == 200 and reply.is_whole:
        assert reply.body == _WHOLE
