"""Bytes that are no response may come without end; the node closes soon."""

import asyncio
import time

import pytest

from lycheegw.state import errors
from lycheegw.state import topics
from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

HEAD = b"HTTP/1.1 200 OK\r\n"
SIGNED = HEAD + b"X-Lycheegw-Response-Signature: s\r\n"
OTHER_ID = SIGNED + b"X-Lycheegw-Attempt-Id: other\r\n"
REJECTED = b"HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + bytes(65536) + b"\r\n"
BLOCK = b"x" * 65536
INFORMATION = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000
MAX_BYTES = 12 * 1024 * 1024


# Guards against a node that reads, or is kept busy by, bytes without end.
@pytest.mark.parametrize(
    ("start", "block"),
    [
        pytest.param(b"", BLOCK, id="no head"),
        pytest.param(HEAD + b"X: ", BLOCK, id="header line"),
        pytest.param(HEAD, b"X: y\r\n" * 9000, id="header lines"),
        pytest.param(b"", INFORMATION, id="informational responses"),
        pytest.param(OTHER_ID + b"\r\n", BLOCK, id="body of another request"),
        pytest.param(OTHER_ID + CHUNKED, CHUNK, id="chunks of another request"),
        pytest.param(
            b"",
            (OTHER_ID + b"Content-Length: 0\r\n\r\n") * 500,
            id="responses to other requests",
        ),
        pytest.param(REJECTED + CHUNKED, CHUNK, id="rejection"),
        pytest.param(SIGNED + CHUNKED, CHUNK, id="unidentified body"),
    ],
)
async def test_endless_response_is_ended_and_others_are_served(
    start: bytes, block: bytes
) -> None:
    written: list[int] = []
    waited_s: list[float] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        del request
        started_s = time.monotonic()
        writer.write(start)
        written.append(await raw_upstreams.write_until_closed(writer, block))
        waited_s.append(time.monotonic() - started_s)

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.raw_upstream(fleet, "d1", "desk", respond),
    ):
        for _ in range(6):
            reply = await platform_standins.send_request(
                fleet.nodes[0].settings.listen, "/look/1"
            )
            assert reply is not None
            assert reply.status == 200
        await fleet_harness.wait_until(lambda: bool(written), 3.0)
        assert max(written) < MAX_BYTES
        # The route's time limit is 2 s.
        assert max(waited_s) < 1.0


async def test_endless_stream_body_without_an_event_is_ended() -> None:
    written: list[int] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name["x-lycheegw-attempt-id"].encode()
        head = SIGNED + b"X-Lycheegw-Attempt-Id: " + attempt_id + b"\r\n\r\n"
        writer.write(head)
        written.append(await raw_upstreams.write_until_closed(writer, BLOCK))

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.raw_upstream(fleet, "m1", "llm", respond),
    ):
        for number in range(4):
            reply = await platform_standins.send_request(
                fleet.nodes[0].settings.listen,
                "/ask/1",
                "POST",
                b"q",
                {"X-Lycheegw-Prompt-Prefix": f"a{number}:1,b{number}:1"},
            )
            assert reply is not None
            assert reply.status == 200
        await fleet_harness.wait_until(lambda: bool(written), 3.0)
        assert max(written) < MAX_BYTES


async def test_endless_reply_of_the_store_is_an_error() -> None:
    written: list[int] = []

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"\r\n")
        written.append(await raw_upstreams.write_until_closed(writer, BLOCK))

    async with fleet_harness.fleet() as fleet:
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        store = fleet.nodes[0].store
        store._address = f"{host}:{port}"  # type: ignore[attr-defined]
        fleet.nodes[0]._store_pool.close()
        with pytest.raises(errors.StoreError, match="exceeds"):
            await store.changes(topics.Topic.ORDERS, 0, 0.0)
        server.close()
        await fleet_harness.wait_until(lambda: bool(written), 3.0)
        assert max(written) < 4 * MAX_BYTES
