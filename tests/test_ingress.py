"""Tests of the client-facing HTTP server, over raw sockets."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from lycheegw.state import forwarded_requests
from lycheegw.state import memory_budget
from lycheegw.state import routing
from lycheegw.transport import ingress

LIMITS = routing.CallerLimits(1000, 50, 0.15, 0.4)


@contextlib.asynccontextmanager
async def _server(
    handle: ingress.Handler,
) -> AsyncIterator[ingress.IngressServer]:
    server = ingress.IngressServer(
        "127.0.0.1:0", handle, lambda: LIMITS, lambda *_: None
    )
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


async def _open(
    server: ingress.IngressServer,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = server.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _echo(exchange: ingress.Exchange) -> None:
    incoming = exchange.incoming
    body = incoming.method + b" " + incoming.target + b" " + incoming.body
    await exchange.send(forwarded_requests.LocalResponse(200, (), body))


async def _read_status(reader: asyncio.StreamReader) -> int:
    return int((await reader.readuntil(b"\r\n\r\n")).split()[1])


async def test_pipelined_requests_are_handled_in_order() -> None:
    async with _server(_echo) as server:
        reader, writer = await _open(server)
        writer.write(
            b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
            b"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n0\r\n\r\n"
        )
        for expected in (b"GET /1 ", b"POST /2 ab"):
            assert await _read_status(reader) == 200
            assert await reader.readexactly(len(expected)) == expected
        assert len(server.connections) == 1
        writer.close()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n"
            + b"x" * 99,
            413,
        ),
        (b"GET / HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 1100, 431),
        (b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost:", 408),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", 408),
    ],
)
async def test_invalid_request_gets_error_and_connection_closes(
    request_bytes: bytes, status: int
) -> None:
    async with _server(_echo) as server:
        reader, writer = await _open(server)
        writer.write(request_bytes)
        assert await _read_status(reader) == status
        await reader.read()
        assert reader.at_eof()
        writer.close()


async def test_idle_connection_is_closed() -> None:
    async with _server(_echo) as server:
        reader, writer = await _open(server)
        async with asyncio.timeout(2):
            assert await reader.read() == b""
        writer.close()


async def test_aborted_response_does_not_look_complete() -> None:
    async def handle(exchange: ingress.Exchange) -> None:
        await exchange.start(200, (), None)
        await exchange.write(b"part")
        exchange.abort()

    async with _server(handle) as server:
        for version in (b"1.1", b"1.0"):
            reader, writer = await _open(server)
            writer.write(b"GET / HTTP/%s\r\nHost: h\r\n\r\n" % version)
            with pytest.raises(ConnectionResetError):
                while await reader.read(1000):
                    pass
            writer.close()


async def test_client_disconnect_cancels_its_request() -> None:
    started, cancelled = asyncio.Event(), asyncio.Event()

    async def handle(exchange: ingress.Exchange) -> None:
        started.set()
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with _server(handle) as server:
        _, writer = await _open(server)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await started.wait()
        writer.close()
        async with asyncio.timeout(1):
            await cancelled.wait()
        await asyncio.sleep(0.02)
        assert server.running == 0


async def test_closing_server_sends_connection_close_and_closes_idle_ones() -> (
    None
):
    async with _server(_echo) as server:
        idle_reader, idle_writer = await _open(server)
        reader, writer = await _open(server)
        await asyncio.sleep(0.02)
        server.is_closing = True
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in head.lower()
        server.stop_listening()
        assert await idle_reader.read() == b""
        with pytest.raises(OSError):
            await _open(server)
        writer.close()
        idle_writer.close()


# Guards against requests that a process takes while it ends: they would reach
# an upstream, and their callers would get no answer.
@pytest.mark.parametrize("sent", [b"", b"POST /1 HTTP/1.1\r\nHost: h\r\n"])
async def test_request_read_after_the_server_stopped_is_not_handled(
    sent: bytes,
) -> None:
    handled: list[bytes] = []

    async def handle(exchange: ingress.Exchange) -> None:
        handled.append(exchange.incoming.target)
        await _echo(exchange)

    async with _server(handle) as server:
        reader, writer = await _open(server)
        if sent:
            writer.write(sent)
            await asyncio.sleep(0.05)
        server.stop_listening()
        writer.write(b"POST /1 HTTP/1.1\r\nHost: h\r\n\r\n"[len(sent) :])
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        assert not handled


@contextlib.asynccontextmanager
async def _changing_server(
    handle: ingress.Handler, limits: list[routing.CallerLimits]
) -> AsyncIterator[ingress.IngressServer]:
    """Runs a server whose limits are the last ones of a list."""
    server = ingress.IngressServer(
        "127.0.0.1:0", handle, lambda: limits[-1], lambda *_: None
    )
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


def _request(header_bytes: int, body_bytes: int) -> tuple[bytes, bytes]:
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nX-Fill: "
    return head % body_bytes + b"f" * header_bytes + b"\r\n\r\n", (
        b"b" * body_bytes
    )


async def _send(
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    header_bytes: int,
    body_bytes: int,
    pieces: int,
) -> int:
    """Sends a request in pieces; returns the status of its response."""
    reader, writer = streams
    data = b"".join(_request(header_bytes, body_bytes))
    size = -(-len(data) // pieces)
    for begin in range(0, len(data), size):
        writer.write(data[begin : begin + size])
        await writer.drain()
        await asyncio.sleep(0.005)
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    await reader.readexactly(length)
    return int(head.split()[1])


async def _answer(exchange: ingress.Exchange) -> None:
    await exchange.send(forwarded_requests.LocalResponse(200, (), b"ok"))


# DENIED, review/5: connections kept the limits of the time at which they were
# opened, and refused heads that the manifest in force allowed.
@pytest.mark.parametrize("pieces", [1, 2, 9])
@pytest.mark.parametrize(
    ("changes", "header_bytes", "body_bytes", "status"),
    [
        ({"header_bytes": 4000}, 3000, 2, 200),
        ({"header_bytes": 300}, 600, 2, 431),
        ({"body_bytes": 900}, 10, 800, 200),
        ({"body_bytes": 20}, 10, 40, 413),
    ],
)
async def test_kept_connection_has_the_size_limits_in_force(
    changes: dict[str, int],
    header_bytes: int,
    body_bytes: int,
    status: int,
    pieces: int,
) -> None:
    limits = [LIMITS]
    async with _changing_server(_answer, limits) as server:
        streams = await _open(server)
        assert await _send(streams, 10, 2, 1) == 200
        limits.append(LIMITS._replace(**changes))
        found = await _send(streams, header_bytes, body_bytes, pieces)
        assert found == status
        streams[1].close()


# DENIED, issue 46: the same for the limits of time.
@pytest.mark.parametrize(("limit_s", "is_served"), [(0.6, True), (0.05, False)])
async def test_kept_connection_has_the_head_timeout_in_force(
    limit_s: float, is_served: bool
) -> None:
    limits = [LIMITS]
    async with _changing_server(_answer, limits) as server:
        reader, writer = await _open(server)
        assert await _send((reader, writer), 10, 2, 1) == 200
        limits.append(LIMITS._replace(header_timeout_s=limit_s))
        head, body = _request(10, 2)
        writer.write(head[:20])
        await asyncio.sleep(0.25 if is_served else 0.1)
        writer.write(head[20:] + body)
        assert await _read_status(reader) == (200 if is_served else 408)
        writer.close()


async def test_idle_connection_stays_open_for_a_raised_limit() -> None:
    """LOST, issue 46: it was closed while its client could still use it."""
    limits = [LIMITS]
    async with _changing_server(_answer, limits) as server:
        streams = await _open(server)
        assert await _send(streams, 10, 2, 1) == 200
        limits.append(LIMITS._replace(idle_timeout_s=1.2))
        await asyncio.sleep(0.9)
        assert await _send(streams, 10, 2, 1) == 200
        limits.append(LIMITS._replace(idle_timeout_s=0.1))
        # The limit that was in force when it became idle counts at the latest.
        async with asyncio.timeout(1.5):
            assert await streams[0].read() == b""
        streams[1].close()


# Guards against the denial of proper requests by a bound of memory: their heads
# are within the limit of bytes, in many short lines.
async def test_head_of_many_short_lines_is_handled() -> None:
    async with _server(_echo) as server:
        reader, writer = await _open(server)
        lines = b"a:\r\n" * ((LIMITS.header_bytes - 100) // len(b"a: \r\n"))
        writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n")
        assert await _read_status(reader) == 200
        writer.close()


# Guards against heads of many lines, which take more memory than their bytes.
async def test_parsed_heads_are_bounded_in_sum() -> None:
    release = asyncio.Event()

    async def handle(exchange: ingress.Exchange) -> None:
        await release.wait()
        await _echo(exchange)

    async with _server(handle) as server, asyncio.timeout(5.0):
        server.budget = memory_budget.MemoryBudget(120_000)
        head = b"GET /1 HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * 80 + b"\r\n"
        opened = []
        for _ in range(3):
            opened.append(await _open(server))
            opened[-1][1].write(head)
            await asyncio.sleep(0.05)
        assert await _read_status(opened[2][0]) == 503
        release.set()
        for reader, _ in opened[:2]:
            assert await _read_status(reader) == 200
        await asyncio.sleep(0.05)
        assert server.budget.held == 0
