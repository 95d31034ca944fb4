"""Tests of the pooled HTTP client against servers that misbehave."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import pytest

from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts
from lycheegw.transport import connection_pool

REQUEST = connection_pool.ClientRequest(
    b"POST", b"/x", ((b"Host", b"h"), (b"Content-Length", b"2")), b"ab"
)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: %s\r\n\r\nok"

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def _server(serve: Serve) -> AsyncIterator[str]:
    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(run, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


async def _read_request(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(2)


def _pool() -> connection_pool.ConnectionPool:
    return connection_pool.ConnectionPool(clocks.system())


async def _read_body(call: connection_pool.Call) -> bytes:
    body = b""
    while (data := await call.read()) is not None:
        body += data
    return body


async def test_connection_is_reused() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await _read_request(reader)
            writer.write(OK % b"1")

    async with _server(serve) as address:
        pool = _pool()
        for _ in range(3):
            call = await pool.send("k", address, REQUEST)
            assert (await call.head()).status == 200
            assert await _read_body(call) == b"ok"
            call.finish()
        assert pool.opened_count == 1
        assert pool.open_connection_count("k") == 1
        pool.close()


async def test_extra_bytes_after_response_close_connection() -> None:
    """A second response belongs to no request (faults garble, extra)."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_request(reader)
        writer.write(OK % b"1" + OK % b"1")
        await reader.read()

    async with _server(serve) as address:
        pool = _pool()
        for _ in range(2):
            call = await pool.send("k", address, REQUEST)
            await call.head()
            assert await _read_body(call) == b"ok"
            call.finish()
        assert pool.opened_count == 2


async def test_late_response_to_another_request_is_skipped() -> None:
    """It arrives in place of the expected one (faults garble, extra late)."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_request(reader)
        writer.write(OK % b"old")
        await asyncio.sleep(0.02)
        writer.write(OK % b"new")
        await reader.read()

    async with _server(serve) as address:
        pool = _pool()
        call = await pool.send("k", address, REQUEST)
        head = await call.head()
        assert head.value(b"id") == b"old"
        await call.skip_response()
        head = await call.head()
        assert head.value(b"id") == b"new"
        assert await _read_body(call) == b"ok"
        call.finish()
        await asyncio.sleep(0.02)
        assert pool.open_connection_count("k") == 0


@pytest.mark.parametrize("is_reset", [False, True])
async def test_response_without_content_length_ends_at_orderly_close(
    is_reset: bool,
) -> None:
    """A reset is not the end of the body (faults garble, unframed)."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
        await writer.drain()
        await asyncio.sleep(0.02)
        if is_reset:
            writer.get_extra_info("socket").setsockopt(
                connection_pool.socket.SOL_SOCKET,
                connection_pool.socket.SO_LINGER,
                connection_pool.struct.pack("ii", 1, 0),
            )
            writer.transport.abort()

    async with _server(serve) as address:
        call = await _pool().send("k", address, REQUEST)
        await call.head()
        if is_reset:
            with pytest.raises(errors.UpstreamError):
                await _read_body(call)
        else:
            assert await _read_body(call) == b"all of it"
        call.abort()


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
        b"\x00\x01garbage that is no answer\r\n\r\n",
        b"",
    ],
)
async def test_malformed_response_has_verdict_may_have_run(
    answer: bytes,
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_request(reader)
        writer.write(answer)

    async with _server(serve) as address:
        pool = _pool()
        call = await pool.send("k", address, REQUEST)
        with pytest.raises(errors.UpstreamError) as raised:
            await call.head()
            await _read_body(call)
        assert raised.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN
        call.abort()
        await asyncio.sleep(0.02)
        assert pool.open_connection_count("k") == 0


async def test_failed_connect_has_verdict_not_run() -> None:
    with pytest.raises(errors.UpstreamError) as raised:
        await _pool().send("k", "127.0.0.1:1", REQUEST)
    assert raised.value.verdict is verdicts.RunVerdict.NOT_RUN


async def test_connections_per_server_are_limited() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()

    async with _server(serve) as address:
        pool = _pool()
        await pool.send("k", address, REQUEST)
        assert pool.has_capacity("k", 2)
        await pool.send("k", address, REQUEST)
        assert not pool.has_capacity("k", 2)
        pool.close()


async def test_connection_closed_by_server_is_not_reused() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_request(reader)
        writer.write(OK % b"1")

    async with _server(serve) as address:
        pool = _pool()
        for _ in range(2):
            call = await pool.send("k", address, REQUEST)
            await call.head()
            await _read_body(call)
            call.finish()
            await asyncio.sleep(0.02)
        assert pool.opened_count == 2


async def test_idle_connection_is_not_reused_beyond_max_idle_time() -> None:
    """After a network partition it may no longer reach its server (zone_cut).

    Opening a new connection instead fails at once, with verdict not_run.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await _read_request(reader)
            writer.write(OK % b"1")

    async with _server(serve) as address:
        pool = _pool()
        for max_idle_s in (9.0, 9.0, 0.05):
            call = await pool.send_built(
                "k", address, lambda: REQUEST, max_idle_s
            )
            await call.head()
            await _read_body(call)
            call.finish()
            await asyncio.sleep(0.1)
        assert pool.opened_count == 2
        pool.close()


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "a..b:80", "127.0.0.1:", "127.0.0.1:8\u00b2"]
)
async def test_address_that_is_none_is_a_failure_to_connect(
    address: str,
) -> None:
    pool = _pool()
    for _ in range(3):
        with pytest.raises(errors.UpstreamError) as raised:
            await pool.send("k", address, REQUEST)
        assert raised.value.reason is reasons.RetryReason.CONNECT_FAILED
        assert raised.value.verdict is verdicts.RunVerdict.NOT_RUN
    assert not pool.open_connection_count("k")


# ORDER, review/2: a pool that was closed by its own node while a response
# without a length was read told the reader that the response was complete.
@pytest.mark.parametrize("body", [b"", b"id: 1\ndata: x\n\n", b"x" * 70_000])
async def test_response_that_its_own_pool_aborts_is_not_complete(
    body: bytes,
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        await reader.read()

    async with _server(serve) as address:
        pool = _pool()
        call = await pool.send("k", address, REQUEST)
        await call.head()
        received = b""
        while len(received) < len(body):
            received += await call.read() or b""
        reading = asyncio.create_task(call.read())
        await asyncio.sleep(0.02)
        pool.close()
        with pytest.raises(errors.UpstreamError) as raised:
            await reading
        assert raised.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN
        # The end of a response that is read later is missing as well.
        with pytest.raises(errors.UpstreamError):
            await call.read()
