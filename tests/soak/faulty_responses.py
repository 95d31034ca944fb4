"""Responses of faulty upstreams: contradictory ones and ones without end."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from lycheegw.state import forwarded_requests
from lycheegw.transport import ingress
from tests.platform import platform_standins

__all__ = ["BY_KIND"]

_Send = Callable[[ingress.Exchange, str, str], Awaitable[None]]
_Head = Callable[[str, str], forwarded_requests.Headers]

# Statuses that promise that nothing ran, and those of failures.
_GREY_STATUSES = (503, 429, 408, 500, 504)
_MARK = (b"X-Lycheegw-Not-Executed", b"1")
_CHUNK_BYTES = 64 * 1024
# Interval of the chunks of a response without end.
_CHUNK_INTERVAL_S = 0.002
# Time between a rejection and the response that contradicts it.
_LATE_RESPONSE_S = 0.05
_HUGE_LENGTH = (b"Content-Length", b"99999999999")
_CHUNKED = (b"Transfer-Encoding", b"chunked")


def _id(upstream: str, attempt_id: str) -> forwarded_requests.Headers:
    del upstream
    return ((b"X-Lycheegw-Attempt-Id", attempt_id.encode()),)


def _other_id(upstream: str, attempt_id: str) -> forwarded_requests.Headers:
    return _id(upstream, f"{attempt_id}-other")


def _signature(upstream: str, attempt_id: str) -> forwarded_requests.Headers:
    del attempt_id
    return ((b"X-Lycheegw-Response-Signature", f"sig-{upstream}".encode()),)


def _header(name: bytes, value: bytes) -> _Head:
    return lambda *_: ((name, value),)


_marked = _header(*_MARK)


def _headers(
    parts: tuple[_Head, ...], upstream: str, attempt_id: str
) -> forwarded_requests.Headers:
    return tuple(
        header for part in parts for header in part(upstream, attempt_id)
    )


def _body(exchange: ingress.Exchange, upstream: str, attempt_id: str) -> bytes:
    """Returns the body of a whole answer."""
    if exchange.incoming.target.startswith(b"/ask/"):
        return b"id: 1\ndata: token 1\n\n"
    return f"{upstream} ran {attempt_id}".encode()


def _whole(status: int, *parts: _Head) -> _Send:
    """Returns what sends a whole response with the headers of some parts."""

    async def send(
        exchange: ingress.Exchange, upstream: str, attempt_id: str
    ) -> None:
        body = _body(exchange, upstream, attempt_id) if status == 200 else b"-"
        await exchange.send(
            forwarded_requests.LocalResponse(
                status, _headers(parts, upstream, attempt_id), body
            )
        )

    return send


async def _send_rejection_and_response(
    exchange: ingress.Exchange, upstream: str, attempt_id: str
) -> None:
    """Sends a rejection that names no request, and then a whole answer."""
    head = _raw_head(503, (_MARK, (b"Content-Length", b"0")))
    await _write_raw(exchange, head)
    await asyncio.sleep(_LATE_RESPONSE_S)
    await _whole(200, _id, _signature)(exchange, upstream, attempt_id)


def _raw_head(status: int, headers: forwarded_requests.Headers) -> bytes:
    lines = [b"HTTP/1.1 %d Status" % status]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", b""])


async def _write_raw(exchange: ingress.Exchange, data: bytes) -> None:
    """Writes bytes past the parser; waits while the write buffer is full."""
    connection = exchange._connection
    connection._check_open()
    connection._transport.write(data)
    await connection._writable.wait()


def _endless(status: int, *parts: _Head) -> _Send:
    """Returns what sends a head and then a body until the node closes."""

    async def send(
        exchange: ingress.Exchange, upstream: str, attempt_id: str
    ) -> None:
        headers = _headers(parts, upstream, attempt_id)
        chunk = bytes(_CHUNK_BYTES)
        if _CHUNKED in headers:
            chunk = b"%x\r\n%s\r\n" % (len(chunk), chunk)
        await _write_without_end(exchange, _raw_head(status, headers), chunk)

    return send


def _endless_bytes(start: bytes, block: bytes) -> _Send:
    """Returns what sends bytes that never complete a head."""

    async def send(exchange: ingress.Exchange, *_: str) -> None:
        await _write_without_end(exchange, start, block)

    return send


async def _write_without_end(
    exchange: ingress.Exchange, start: bytes, block: bytes
) -> None:
    await _write_raw(exchange, start)
    while True:
        await _write_raw(exchange, block)
        await asyncio.sleep(_CHUNK_INTERVAL_S)


_Response = platform_standins.FaultyResponse
_chunked = _header(*_CHUNKED)

BY_KIND = {
    "grey_failures": tuple(
        _Response(f"{status} without the mark, {name}", True, send)
        for status in _GREY_STATUSES
        for name, send in (
            ("signed", _whole(status, _id, _signature)),
            ("not signed", _whole(status, _id)),
            ("without an id", _whole(status)),
        )
    ),
    "contradictory_rejections": (
        _Response(
            "503 with mark and signature",
            True,
            _whole(503, _id, _marked, _signature),
        ),
        _Response(
            "503 with the mark 0",
            True,
            _whole(503, _id, _header(_MARK[0], b"0")),
        ),
        _Response(
            "503 with mark and two ids",
            True,
            _whole(503, _other_id, _id, _marked),
        ),
        _Response("500 with the mark", True, _whole(500, _id, _marked)),
        _Response(
            "200 with the mark",
            True,
            _whole(200, _id, _signature, _marked),
            is_answer=True,
        ),
        _Response(
            "503 with the mark without an id, then 200",
            True,
            _send_rejection_and_response,
            is_answer=True,
        ),
    ),
    "true_rejections": (
        _Response("true rejection 503", False, _whole(503, _id, _marked)),
        _Response("true rejection 429", False, _whole(429, _id, _marked)),
    ),
    "endless_responses": (
        _Response(
            "endless 200 in chunks",
            True,
            _endless(200, _id, _signature, _chunked),
        ),
        _Response(
            "endless 200 with a length",
            True,
            _endless(200, _id, _signature, _header(*_HUGE_LENGTH)),
        ),
        _Response(
            "endless 200 without a length",
            True,
            _endless(200, _id, _signature),
        ),
        _Response("endless 500", True, _endless(500, _id, _chunked)),
        _Response(
            "endless rejection", False, _endless(503, _id, _marked, _chunked)
        ),
        _Response(
            "endless bytes without a head",
            True,
            _endless_bytes(b"", b"x" * _CHUNK_BYTES),
        ),
        _Response(
            "endless head",
            True,
            _endless_bytes(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 10_000),
        ),
    ),
}
