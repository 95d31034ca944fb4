"""Measures forwarding by h11 on asyncio against cheroot and urllib3.

Requests are forwarded one after another to an upstream on loopback. The caller
of the last one disconnects while the upstream works on it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time
from typing import Any

from lycheegw.measure import report
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import routing
from lycheegw.transport import connection_pool
from lycheegw.transport import http_client
from lycheegw.transport import http_server
from lycheegw.transport import ingress

__all__ = ["run"]

_REQUESTS = 400
_BODY = b"x" * 9000
_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n" + b"y" * 800
_SLOW_PATH = "/slow"
_LEAVING_TIMEOUT_S = 3.0
_TIMEOUT_S = 5.0


class _Upstream:
    """Answers at once, except on one path: there it works until disconnected.

    Attributes:
        connections: Number of connections accepted.
        is_disconnected: Set when the connection of the slow request is closed.
        is_working: Set when the slow request has arrived.
        address: "host:port" while it serves.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.is_disconnected = asyncio.Event()
        self.is_working = asyncio.Event()
        self.address = ""

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Listens on loopback."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        try:
            yield
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(_BODY))
                if _SLOW_PATH.encode() in head:
                    self.is_working.set()
                    try:
                        await reader.read()
                    finally:
                        self.is_disconnected.set()
                    break
                writer.write(_RESPONSE)
                if b"HTTP/1.0" in head:
                    break
        writer.close()


def _request(path: str, address: str) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
    return f"{head}Content-Length: {len(_BODY)}\r\n\r\n".encode() + _BODY


async def _measure_relay(address: str, upstream: _Upstream) -> dict[str, float]:
    """Sends the requests to a relay; returns the relay's figures."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    begin_s = time.process_time()
    for _ in range(_REQUESTS):
        writer.write(_request("/fast", address))
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(800)
    cpu_s = time.process_time() - begin_s
    connections = upstream.connections
    writer.write(_request(_SLOW_PATH, address))
    await upstream.is_working.wait()
    left_s = time.monotonic()
    writer.close()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_LEAVING_TIMEOUT_S):
            await upstream.is_disconnected.wait()
    return {
        "cpu_ms_per_request": 1000 * cpu_s / _REQUESTS,
        "connections_per_request": connections / _REQUESTS,
        "work_after_leaving_s": time.monotonic() - left_s,
    }


async def _measure_h11() -> dict[str, float]:
    upstream = _Upstream()
    async with upstream.serve():
        pool = connection_pool.ConnectionPool(clocks.system())

        async def relay(exchange: ingress.Exchange) -> None:
            incoming = exchange.incoming
            length = b"%d" % len(incoming.body)
            request = connection_pool.ClientRequest(
                incoming.method,
                incoming.target,
                ((b"Host", b"h"), (b"Content-Length", length)),
                incoming.body,
            )
            head, body = await connection_pool.fetch(
                pool, "u", upstream.address, request, _TIMEOUT_S
            )
            await exchange.send(
                forwarded_requests.LocalResponse(head.status, (), body)
            )

        server = ingress.IngressServer(
            "127.0.0.1:0", relay, routing.CallerLimits, lambda *_: None
        )
        await server.start()
        figures = await _measure_relay(server.address, upstream)
        await server.stop()
        pool.close()
    return figures


async def _measure_threads() -> dict[str, float]:
    upstream = _Upstream()
    async with upstream.serve():

        async def relay(exchange: Any) -> None:
            request = exchange.request
            with contextlib.suppress(errors.UpstreamError):
                answer = await http_client.fetch(
                    upstream.address,
                    request.method,
                    request.path,
                    _TIMEOUT_S,
                    body=request.body,
                )
                await exchange.send(answer.status, answer.body)

        server = http_server.HttpServer("127.0.0.1:0", relay, 4, 1 << 20)
        await server.start()
        figures = await _measure_relay(server.address, upstream)
        await server.stop()
    return figures


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the cost of forwarding and how soon abandoned work ends."""
    del seed, scale
    figures = await _measure_h11()
    baseline = await _measure_threads()
    return report.Findings(figures, "cheroot, urllib3", baseline)
