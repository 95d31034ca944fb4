"""No reader takes a response that broke off in its head for a whole one."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import struct

import pytest

from lycheegw.platform import store_client
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import topics
from lycheegw.transport import connection_pool
from lycheegw.transport import http_client

_STATUS_LINES = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Request-Id: r1\r\n"
    b"X-Lycheegw-Attempt-Id: r1\r\n"
    b"X-Lycheegw-Response-Signature: sig\r\n"
)
_HEADS = {
    "length": _STATUS_LINES + b"Content-Length: 2\r\n\r\n",
    "chunked": _STATUS_LINES + b"Transfer-Encoding: chunked\r\n\r\n",
    "close": _STATUS_LINES + b"Connection: close\r\n\r\n",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\n"
    + _STATUS_LINES
    + b"Content-Length: 2\r\n\r\n",
}
# Reads a response of the server at an address.
Read = Callable[[str], Awaitable[object]]


class _Server:
    """Writes the same bytes to each client and ends the connection.

    Attributes:
        address: Its address.
        data: The bytes.
        resets: Whether the connection ends by a reset.
    """

    def __init__(self) -> None:
        self.address = ""
        self.data = b""
        self.resets = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.data)
            await writer.drain()
            if self.resets:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
            writer.close()


@contextlib.asynccontextmanager
async def _server() -> AsyncIterator[_Server]:
    server = _Server()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server.address = f"{host}:{port}"
    try:
        yield server
    finally:
        listener.close()


async def _read_by_pool(address: str) -> object:
    """Reads as the platform's way does: upstreams and status checks."""
    pool = connection_pool.ConnectionPool(clocks.system())
    request = connection_pool.ClientRequest(
        b"GET", b"/", ((b"Host", b"h"),), b""
    )
    try:
        return await connection_pool.fetch(pool, "k", address, request, 5.0)
    finally:
        pool.close()


async def _read_store(address: str) -> object:
    pool = connection_pool.ConnectionPool(clocks.system())

    async def no_limit(_: bool) -> float:
        return 0.0

    store = store_client.StoreClient(pool, address, no_limit)
    try:
        return await store.changes(topics.Topic.ORDERS, 0, 0.0, 5.0)
    finally:
        pool.close()


async def _read_whole(address: str) -> object:
    """Reads as the chat interface does: services, reports, orders, the log."""
    return await http_client.fetch(address, "GET", "/", 5.0)


async def _open_stream(address: str) -> object:
    """Reads the head as the chat interface does for token streams."""
    stream = await http_client.open_stream(address, "GET", "/", 5.0, {}, b"")
    stream.close()
    return stream


READERS = {
    "pool": _read_by_pool,
    "store": _read_store,
    "chat, whole": _read_whole,
    "chat, stream": _open_stream,
}


# MIXED, ORDER, issue 45: an upstream that stopped in the middle of its head.
@pytest.mark.parametrize("head", _HEADS)
@pytest.mark.parametrize("read", READERS)
async def test_response_that_ends_in_its_head_is_a_failure(
    read: str, head: str
) -> None:
    async with _server() as server:
        for resets in (False, True):
            server.resets = resets
            for length in range(len(_HEADS[head])):
                server.data = _HEADS[head][:length]
                with pytest.raises((errors.UpstreamError, errors.StoreError)):
                    await READERS[read](server.address)


# MIXED, issue 45: the same, with bare line feeds, which end no line.
@pytest.mark.parametrize("read", ["chat, whole", "chat, stream"])
async def test_head_with_bare_line_feeds_is_a_failure_for_the_chat_interface(
    read: str,
) -> None:
    async with _server() as server:
        server.data = _HEADS["length"].replace(b"\r\n", b"\n") + b"{}"
        with pytest.raises(errors.UpstreamError):
            await READERS[read](server.address)


# MIXED, issue 45: what ends after the head, before the framing says so.
@pytest.mark.parametrize(
    ("head", "body", "read"),
    [
        ("length", b"{", "pool"),
        ("length", b"{", "chat, whole"),
        ("chunked", b"", "pool"),
        ("chunked", b"2\r\n{}\r\n", "pool"),
        ("chunked", b"2\r\n{}\r\n0\r\n", "pool"),
        ("chunked", b"2\r\n{}\r\n0\r\nX-Trailer: x\r\n", "pool"),
    ],
)
async def test_response_that_ends_in_its_body_is_a_failure(
    head: str, body: bytes, read: str
) -> None:
    async with _server() as server:
        server.data = _HEADS[head] + body
        with pytest.raises(errors.UpstreamError):
            await READERS[read](server.address)


# Guards against a request that ends by an unexpected exception.
@pytest.mark.parametrize("digits", ["9" * 5000, "٣", "²", "-1", "1_0"])
@pytest.mark.parametrize("read", ["pool", "chat, whole"])
async def test_malformed_length_is_a_failure(read: str, digits: str) -> None:
    async with _server() as server:
        length = f"Content-Length: {digits}\r\n\r\n{{}}".encode()
        server.data = _STATUS_LINES + length
        with pytest.raises(errors.UpstreamError):
            await READERS[read](server.address)


# MIXED, issue 58: a status outside 100 to 599, by each reader of responses.
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
@pytest.mark.parametrize("read", ["pool", "store", "chat, whole"])
async def test_status_out_of_range_is_a_failure(
    read: str, status: bytes
) -> None:
    async with _server() as server:
        head = _HEADS["length"].replace(b" 200 ", b" %s " % status)
        server.data = head + b"{}"
        with pytest.raises((errors.UpstreamError, errors.StoreError)):
            await READERS[read](server.address)


# MIXED, issue 58: a reset after part of a body without a length.
@pytest.mark.parametrize("read", ["pool", "store", "chat, whole"])
async def test_body_without_a_length_that_ends_by_a_reset_is_a_failure(
    read: str,
) -> None:
    async with _server() as server:
        server.resets = True
        server.data = _HEADS["close"] + b"{"
        with pytest.raises((errors.UpstreamError, errors.StoreError)):
            await READERS[read](server.address)
