"""HTTP client that opens a new connection for each request.

urllib3 serializes the request, and the event loop does all I/O, so that no
thread waits for an unresponsive host. Each error has a verdict on whether the
server may have run the request, which depends on the bytes sent so far.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import http.client
import io
import socket
from typing import Any
from typing import NamedTuple

from urllib3 import connection as urllib3_connection

from lycheegw.state import errors
from lycheegw.state import json_fields
from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = [
    "HttpResponse",
    "ResponseStream",
    "fetch",
    "open_stream",
    "read_response",
]

_CONNECT_TIMEOUT_S = 1.0
_HEAD_END = b"\r\n\r\n"
_MAX_HEAD_BYTES = 64 * 1024
_MAX_BUFFERED_BYTES = 256 * 1024
_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Digits of a content length, more than any length needs.
_MAX_LENGTH_DIGITS = 20
# Largest status code (RFC 9110, section 15); the parser checks the smallest.
_MAX_STATUS = 599


class HttpResponse(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    header_by_name: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded JSON body; raises ValueError if it is invalid."""
        return json_fields.load(self.body)


def _upstream_error(
    reason: reasons.RetryReason,
    message: str,
    verdict: verdicts.RunVerdict = verdicts.RunVerdict.MAY_HAVE_RUN,
) -> errors.UpstreamError:
    return errors.UpstreamError(reason, message, verdict)


class _RequestWriter(urllib3_connection.HTTPConnection):
    """Collects the bytes of a request instead of sending them.

    Uses HTTP/1.0, so that the response body is not chunked: the end of a
    token stream is determined by its end marker, not by HTTP framing.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"

    def __init__(self, host: str, port: int):
        super().__init__(host, port)
        self.written: list[bytes] = []
        self.auto_open = 0

    def connect(self) -> None:
        """Does nothing; the event loop opens the connection."""

    def send(self, data: Any) -> None:
        """Collects `data`."""
        self.written.append(bytes(data))


def _request_bytes(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
) -> bytes:
    """Returns a serialized request."""
    writer = _RequestWriter(*address)
    writer.request(
        method,
        path,
        body=body,
        headers=headers,
        preload_content=False,
        decode_content=False,
    )
    return b"".join(writer.written)


class ResponseStream(asyncio.Protocol):
    """Reads the response on a connection as a stream of bytes.

    One timer per connection is rearmed as needed, which saves a new timer for
    each read.

    Attributes:
        status: HTTP status.
        header_by_name: Headers, with names in lower case.
    """

    def __init__(self) -> None:
        self.status = 0
        self.header_by_name: Mapping[str, str] = {}
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._is_paused = False
        self._is_ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffers received data and wakes the reader."""
        self._buffer += data
        if len(self._buffer) > _MAX_BUFFERED_BYTES and self._transport:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Records the end of the stream; the reader closes the connection."""
        self._is_ended = True
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end of the stream and its error, if any."""
        self._error = exc
        if exc is None and not self._is_ended:
            # Only an abort by this process ends a connection like this.
            self._error = ConnectionAbortedError("aborted by this process")
        self._is_ended = True
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _check_deadline(self) -> None:
        """Fails the waiting reader if its deadline passed, else rearms."""
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        if self._loop.time() >= self._deadline_s:
            self._waiter.set_exception(TimeoutError())
        else:
            self._timer = self._loop.call_at(
                self._deadline_s, self._check_deadline
            )

    async def _wait_readable(self, timeout_s: float) -> None:
        self._deadline_s = self._loop.time() + timeout_s
        if self._timer is not None and self._timer.when() > self._deadline_s:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(
                self._deadline_s, self._check_deadline
            )
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def read(self, timeout_s: float) -> bytes:
        """Returns the next bytes, empty at the end of the stream.

        Raises:
            TimeoutError: Nothing was received within `timeout_s`.
            OSError: The connection broke.
        """
        if not self._buffer and not self._is_ended:
            await self._wait_readable(timeout_s)
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            self._resume_reading()
            return data
        if self._error is not None:
            raise ConnectionResetError(str(self._error)) from self._error
        return b""

    def _resume_reading(self) -> None:
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    async def read_all(self, timeout_s: float) -> bytes:
        """Returns the rest of the body.

        Stops once more than _MAX_RESPONSE_BYTES were received.
        """
        deadline_s = self._loop.time() + timeout_s
        parts = []
        size = 0
        while part := await self.read(max(0.0, deadline_s - self._loop.time())):
            parts.append(part)
            size += len(part)
            if size > _MAX_RESPONSE_BYTES:
                break
        return b"".join(parts)

    async def read_head(self, timeout_s: float) -> None:
        """Reads status and headers.

        Raises:
            errors.UpstreamError: The response head is malformed.
            TimeoutError: It was not complete within `timeout_s`.
            OSError: The connection broke.
        """
        deadline_s = self._loop.time() + timeout_s
        received = b""
        while _HEAD_END not in received:
            part = await self.read(max(0.0, deadline_s - self._loop.time()))
            if not part:
                raise ConnectionResetError("closed within the response head")
            received += part
            if len(received) > _MAX_HEAD_BYTES + _MAX_BUFFERED_BYTES:
                raise _upstream_error(
                    reasons.RetryReason.MALFORMED, "response head too large"
                )
        head, _, rest = received.partition(_HEAD_END)
        self._buffer[:0] = rest
        self._parse_head(head + _HEAD_END)

    def _parse_head(self, head: bytes) -> None:
        response = http.client.HTTPResponse(_HeadSocket(head))  # type: ignore[arg-type]
        try:
            response.begin()
        except http.client.HTTPException as error:
            raise _upstream_error(
                reasons.RetryReason.MALFORMED,
                f"malformed response head: {error!r}",
            ) from error
        if response.status > _MAX_STATUS:
            raise _upstream_error(
                reasons.RetryReason.MALFORMED, f"status {response.status}"
            )
        self.status = response.status
        self.header_by_name = _header_by_name(response.getheaders())
        if "transfer-encoding" in self.header_by_name:
            raise _upstream_error(
                reasons.RetryReason.MALFORMED,
                "response to HTTP/1.0 has a transfer encoding",
            )

    def close(self) -> None:
        """Closes the connection and discards buffered data."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.abort()


def _header_by_name(headers: Iterable[tuple[str, str]]) -> Mapping[str, str]:
    """Returns headers with names in lower case.

    Different values of one name are joined, so that none hides another.
    """
    values_by_name: dict[str, list[str]] = {}
    for name, value in headers:
        values_by_name.setdefault(name.lower(), []).append(value)
    return {
        name: ", ".join(dict.fromkeys(values))
        for name, values in values_by_name.items()
    }


class _HeadSocket:
    """Socket stand-in that gives a response head to http.client's parser."""

    def __init__(self, head: bytes):
        self._head = head

    def makefile(self, mode: str) -> io.BytesIO:
        """Returns the head as a file object."""
        del mode
        return io.BytesIO(self._head)


def _open_socket() -> socket.socket:
    """Returns a socket that is not connected."""
    try:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise _upstream_error(
            reasons.RetryReason.NO_FREE_CONNECTION,
            f"opening a socket failed: {error!r}",
            verdicts.RunVerdict.NOT_RUN,
        ) from error


async def _connect(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Returns a connected socket; on an error nothing was sent."""
    loop = asyncio.get_running_loop()
    sock = _open_socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, address)
    except OSError as error:
        sock.close()
        raise _upstream_error(
            reasons.RetryReason.CONNECT_FAILED,
            f"connecting to {address[0]}:{address[1]} failed: {error!r}",
            verdicts.RunVerdict.NOT_RUN,
        ) from error
    except BaseException:
        sock.close()
        raise
    return sock


async def _send_request(sock: socket.socket, request: bytes) -> None:
    """Sends a request; raises errors.UpstreamError.

    It may have run once its first byte was sent: some servers run a request
    whose head or body breaks off.
    """
    sent = 0
    verdict = verdicts.RunVerdict.NOT_RUN
    try:
        with contextlib.suppress(BlockingIOError):
            sent = sock.send(request)
        verdict = verdicts.RunVerdict.MAY_HAVE_RUN
        rest = memoryview(request)[sent:]
        await asyncio.get_running_loop().sock_sendall(sock, rest)
    except OSError as error:
        raise _upstream_error(
            reasons.RetryReason.SEND_FAILED,
            f"sending the request failed: {error!r}",
            verdict,
        ) from error


async def _send_before_timeout(
    sock: socket.socket, request: bytes, timeout_s: float
) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await _send_request(sock, request)
    except TimeoutError as error:
        raise _upstream_error(
            reasons.RetryReason.SEND_FAILED,
            f"request not sent within {timeout_s:.2f} s",
        ) from error


async def _read_head(stream: ResponseStream, timeout_s: float) -> None:
    try:
        await stream.read_head(timeout_s)
    except TimeoutError as error:
        raise _upstream_error(
            reasons.RetryReason.HEAD_TIMEOUT,
            f"no response head within {timeout_s:.2f} s",
        ) from error
    except OSError as error:
        raise _connection_lost_error(error) from error


def _connection_lost_error(error: Exception) -> errors.UpstreamError:
    return _upstream_error(
        reasons.RetryReason.CONNECTION_LOST, f"connection lost: {error}"
    )


async def open_stream(
    address: str,
    method: str,
    path: str,
    timeout_s: float,
    headers: Mapping[str, str],
    body: bytes,
    connect_timeout_s: float = _CONNECT_TIMEOUT_S,
) -> ResponseStream:
    """Sends a request on a new connection; returns once the head is read.

    Raises:
        errors.UpstreamError: The request failed; the error's verdict tells
            whether it may have run.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    host, _, port = address.rpartition(":")
    target = (host, int(port))
    request = _request_bytes(target, method, path, headers, body)
    sock = await _connect(target, min(connect_timeout_s, timeout_s))
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(sock.close)
        await _send_before_timeout(
            sock, request, max(0.0, deadline_s - loop.time())
        )
        _, stream = await loop.create_connection(ResponseStream, sock=sock)
        cleanup.pop_all()
        cleanup.callback(stream.close)
        await _read_head(stream, max(0.0, deadline_s - loop.time()))
        cleanup.pop_all()
    return stream


async def fetch(
    address: str,
    method: str,
    path: str,
    timeout_s: float,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
) -> HttpResponse:
    """Sends a request on a new connection; returns the complete response.

    Raises:
        errors.UpstreamError: The request failed; the error's verdict tells
            whether it may have run.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    stream = await open_stream(
        address, method, path, timeout_s, headers or {}, body
    )
    return await read_response(stream, max(0.0, deadline_s - loop.time()))


async def read_response(
    stream: ResponseStream, timeout_s: float
) -> HttpResponse:
    """Reads the rest of a response and closes the connection.

    Raises:
        errors.UpstreamError: The response is not complete, or malformed.
    """
    try:
        received = await stream.read_all(timeout_s)
    except TimeoutError as error:
        raise _upstream_error(
            reasons.RetryReason.HEAD_TIMEOUT,
            f"no complete response within {timeout_s:.2f} s",
        ) from error
    except OSError as error:
        raise _connection_lost_error(error) from error
    finally:
        stream.close()
    _check_length(stream.header_by_name, received)
    return HttpResponse(stream.status, stream.header_by_name, received)


def _check_length(headers: Mapping[str, str], body: bytes) -> None:
    """Raises errors.UpstreamError for a truncated or too large body."""
    if len(body) > _MAX_RESPONSE_BYTES:
        raise _upstream_error(
            reasons.RetryReason.MALFORMED, "response too large"
        )
    content_length = headers.get("content-length")
    if content_length is None:
        return
    is_number = content_length.isascii() and content_length.isdecimal()
    if not is_number or len(content_length) > _MAX_LENGTH_DIGITS:
        raise _upstream_error(
            reasons.RetryReason.MALFORMED,
            f"invalid content-length {content_length[:_MAX_LENGTH_DIGITS]!r}",
        )
    if len(body) != int(content_length):
        raise _upstream_error(
            reasons.RetryReason.TRUNCATED,
            f"response body of {len(body)} bytes, expected {content_length}",
        )
