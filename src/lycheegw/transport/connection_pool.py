"""HTTP/1.1 client with pooled connections, without pipelining.

h11 parses and does no I/O. A connection with any unexpected behaviour (bytes
that belong to no request, a response before the request was sent, a failure)
is not reused.
"""

import asyncio
import collections
from collections.abc import Callable
import math
import socket
import struct
from typing import Any
from typing import NamedTuple

import h11

from lycheegw.state import addresses
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import memory_budget
from lycheegw.state import reasons
from lycheegw.state import silence_timeouts
from lycheegw.state import verdicts

__all__ = [
    "Call",
    "ClientRequest",
    "ConnectionPool",
    "RawResponseHead",
    "fetch",
    "fetch_head",
]

# A packet between zones takes a few ms, and an address without a server either
# refuses at once or never responds.
_CONNECT_TIMEOUT_S = 0.6
# A connection with unacknowledged bytes fails after this time, which is the
# only sign of a silent peer. The time allows two retransmissions.
_USER_TIMEOUT_MS = 1500
# Keepalive probes detect a silent peer while nothing is being sent. The user
# timeout decides when they give up, whatever their number: here at the second.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Idle time after which a connection is closed if its server states no timeout.
_DEFAULT_IDLE_S = 0.9
# A connection is no longer reused this long before the stated idle timeout:
# if the server closes while a request is sent, its outcome is unknown.
_IDLE_MARGIN_S = 0.5
# Bound of a response head. Longer ones are mostly rejected unparsed, as parsing
# thousands of lines holds the event loop.
_MAX_HEAD_BYTES = 16 * 1024
# Largest status code (RFC 9110, section 15); the parser checks the smallest.
_MAX_STATUS = 599
# Header lines of a response head; each takes some 500 bytes once parsed.
_MAX_HEADER_LINES = 128
# Bytes that are read from a socket at once, and unparsed bytes above which a
# connection isn't read until they are parsed.
_READ_BYTES = 16 * 1024
_MAX_UNPARSED_BYTES = 32 * 1024
# All connections read into this buffer, as each copies what it read at once.
_READ_BUFFER = memoryview(bytearray(_READ_BYTES))
# Informational responses before the final one, and responses to other requests
# and their bytes, after which the connection is given up.
_MAX_INFORMATIONAL = 16
_MAX_SKIPPED_RESPONSES = 4
_MAX_SKIPPED_BYTES = 256 * 1024
# Longest body that `fetch` returns if its caller names no other bound.
_MAX_FETCHED_BYTES = 1024 * 1024
# Longest body that `fetch_head` reads, so that the connection can be reused.
_MAX_DROPPED_BYTES = 64 * 1024
# Bytes of a request line without method and target, with the empty line that
# ends a head; of a status line with a short reason; and of a header line
# without its name and value.
_START_LINE_BYTES = 14
_STATUS_LINE_BYTES = 19
_HEADER_LINE_BYTES = 4
# SO_LINGER with a timeout of 0 s: closing sends a reset.
_ZERO_LINGER = struct.pack("ii", 1, 0)

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN


class ClientRequest(NamedTuple):
    """A request to send; `headers` include host and content length."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def size(self) -> int:
        """Returns the bytes that it takes on a connection."""
        return (
            _line_bytes(self.method, self.target)
            + _head_bytes(self.headers)
            + len(self.body)
        )


class RawResponseHead(NamedTuple):
    """A response head.

    Attributes:
        status: HTTP status.
        headers: Headers with names in lower case.
        raw_headers: Headers with names as received.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    raw_headers: tuple[tuple[bytes, bytes], ...]

    def size(self) -> int:
        """Returns about how many bytes it took on the connection."""
        return _STATUS_LINE_BYTES + _head_bytes(self.raw_headers)

    def value(self, name: bytes) -> bytes | None:
        """Returns the value of a header, by its name in lower case."""
        for each, value in self.headers:
            if each == name:
                return value
        return None


def _line_bytes(method: bytes, target: bytes) -> int:
    return len(method) + len(target) + _START_LINE_BYTES


def _head_bytes(headers: tuple[tuple[bytes, bytes], ...]) -> int:
    return sum(
        len(name) + len(value) + _HEADER_LINE_BYTES for name, value in headers
    )


def _connection_lost_error(
    message: str, is_timeout: bool = False
) -> errors.UpstreamError:
    return errors.UpstreamError(
        reasons.RetryReason.CONNECTION_LOST,
        message,
        _MAY_HAVE_RUN,
        is_timeout=is_timeout,
    )


def _malformed_error(message: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        reasons.RetryReason.MALFORMED, message, _MAY_HAVE_RUN
    )


class _Connection(asyncio.BufferedProtocol):
    """One connection to a server."""

    def __init__(self, held: memory_budget.Reservation) -> None:
        self.transport: Any = None
        self.is_unused = True
        self.idle_until_s = 0.0
        self.idle_since_s = 0.0
        self.is_busy = False
        self.is_unusable = False
        self._parser = self._new_parser()
        self._request: ClientRequest | None = None
        self._error: Exception | None = None
        self._is_eof = False
        self._is_lost = False
        self._skipped_responses = 0
        # Upper bound of the bytes that the parser holds.
        self._unparsed = 0
        self._held = held
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self.on_close: Callable[[_Connection], None] = lambda _: None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_tcp_timeouts(sock)

    def get_buffer(self, sizehint: int) -> memoryview:
        del sizehint
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if not self.is_busy:
            # These bytes belong to no request.
            self.abort()
            return
        self._parser.receive_data(bytes(_READ_BUFFER[:nbytes]))
        self._unparsed += nbytes
        is_granted = self._held.resize(self._unparsed)
        if not is_granted or self._unparsed > _MAX_UNPARSED_BYTES:
            self.transport.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        self._is_eof = True
        self._readable.set()
        if not self.is_busy:
            self.on_close(self)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        self._error = exc
        if exc is None and not self._is_eof:
            # Only an abort by this process ends a connection like this.
            self._error = ConnectionAbortedError("aborted by this process")
        if not self.is_busy:
            self._held.release()
        self._readable.set()
        self._writable.set()
        self.on_close(self)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used for another request."""
        return not (
            self._is_eof
            or self._is_lost
            or self.is_unusable
            or self.transport is None
            or self.transport.is_closing()
        )

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )

    def send(self, request: ClientRequest) -> None:
        """Writes a complete request."""
        self._request = request
        self.is_busy = True
        self.transport.write(self._serialize(request))

    def _serialize(self, request: ClientRequest) -> bytes:
        """Serializes a request; the parser then expects its response."""
        parts = [
            self._parser.send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=list(request.headers),
                )
            )
        ]
        if request.body:
            parts.append(self._parser.send(h11.Data(data=request.body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def head(self) -> RawResponseHead:
        """Returns the head of the next final response."""
        for _ in range(_MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._check_head(event)
                return RawResponseHead(
                    event.status_code,
                    tuple((bytes(n), bytes(v)) for n, v in event.headers),
                    tuple(
                        (bytes(n), bytes(v))
                        for n, v in event.headers.raw_items()
                    ),
                )
            if not isinstance(event, h11.InformationalResponse):
                raise _connection_lost_error(
                    "the connection closed before a response"
                )
        raise _malformed_error(
            f"more than {_MAX_INFORMATIONAL} informational responses"
        )

    def _check_head(self, response: h11.Response) -> None:
        """Raises errors.UpstreamError for a head that can't be used."""
        if response.status_code > _MAX_STATUS:
            self.is_unusable = True
            raise _malformed_error(f"status {response.status_code}")
        if len(response.headers) > _MAX_HEADER_LINES:
            self.is_unusable = True
            raise _malformed_error(
                f"more than {_MAX_HEADER_LINES} header lines"
            )

    async def read(self) -> bytes | None:
        """Returns the next bytes of the body, None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise _connection_lost_error("the connection closed within a response")

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self.is_unusable = True
                if self._is_eof or self._is_lost:
                    raise _connection_lost_error(
                        f"incomplete response: {error}"
                    ) from error
                raise _malformed_error(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self._unparsed:
                self._count_unparsed()
            await self._wait_readable()

    def _count_unparsed(self) -> None:
        """Reserves only what an incomplete event takes.

        Raises:
            errors.UpstreamError: There is no memory for that.
        """
        self._unparsed = len(self._parser.trailing_data[0])
        if not self._held.resize(self._unparsed):
            self.is_unusable = True
            raise memory_budget.full_error("the head of a response")

    async def _wait_readable(self) -> None:
        """Waits for data or for the end of the connection."""
        if self._is_lost and self._error is not None:
            is_timeout = isinstance(self._error, TimeoutError)
            raise _connection_lost_error(
                f"the connection broke: {self._error}", is_timeout
            )
        if self._is_eof:
            # An orderly close ends a response without content length.
            self._parser.receive_data(b"")
            return
        self.transport.resume_reading()
        self._readable.clear()
        await self._readable.wait()

    async def skip_response(self) -> None:
        """Reads the response to another request; resets the parser for ours."""
        self._skipped_responses += 1
        if self._skipped_responses > _MAX_SKIPPED_RESPONSES:
            raise _malformed_error(
                f"more than {_MAX_SKIPPED_RESPONSES} responses to other"
                " requests"
            )
        skipped_bytes = 0
        while (data := await self.read()) is not None:
            skipped_bytes += len(data)
            if skipped_bytes > _MAX_SKIPPED_BYTES:
                raise _malformed_error(
                    "the response to another request exceeds"
                    f" {_MAX_SKIPPED_BYTES} bytes"
                )
        rest, _ = self._parser.trailing_data
        if self._request is None or not self.is_open:
            raise _connection_lost_error(
                "the connection closed after a response to another request"
            )
        self._parser = self._new_parser()
        self._serialize(self._request)
        if rest:
            self._parser.receive_data(rest)
        self._unparsed = len(rest)

    @property
    def trailing_data(self) -> bytes:
        """Bytes that were received after the end of the response."""
        return self._parser.trailing_data[0]

    def finish(self) -> bool:
        """Ends a request; returns whether the connection can be reused."""
        is_clean = (
            self.is_open
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self.trailing_data
            and self.transport.get_write_buffer_size() == 0
        )
        if not is_clean:
            self.abort()
            return False
        self._parser.start_next_cycle()
        self._unparsed = 0
        self._held.release()
        self.is_busy = False
        self.is_unused = False
        self._request = None
        return True

    def abort(self) -> None:
        """Resets the connection, so that the server stops working at once."""
        self.is_unusable = True
        self._held.release()
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
        self.transport.abort()


def _set_tcp_timeouts(sock: Any) -> None:
    """Sets TCP options by which a connection to a silent peer fails."""
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)


class Call:
    """One request on one pooled connection.

    Attributes:
        is_reused: Whether the connection was used for a request before.
    """

    def __init__(self, pool: "ConnectionPool", connection: _Connection):
        self._pool = pool
        self._connection = connection
        self._idle_s = _DEFAULT_IDLE_S
        self._is_ended = False
        self.is_reused = not connection.is_unused

    async def head(self) -> RawResponseHead:
        """Returns the response head; raises errors.UpstreamError."""
        return await self._connection.head()

    async def skip_response(self) -> None:
        """Skips the response to another request."""
        await self._connection.skip_response()
        self._connection.is_unusable = True

    async def read(self) -> bytes | None:
        """Returns the next bytes of the body, None at its end.

        Raises:
            errors.UpstreamError: The response broke off.
        """
        return await self._connection.read()

    @property
    def trailing_data(self) -> bytes:
        """Bytes that were received after the end of the response."""
        return self._connection.trailing_data

    def note_idle_timeout(self, seconds: float | None) -> None:
        """Records the server's idle timeout of the connection."""
        if seconds is not None:
            self._idle_s = max(0.0, seconds - _IDLE_MARGIN_S)

    def finish(self) -> None:
        """Returns the connection to the pool after a complete response."""
        if not self._is_ended:
            self._is_ended = True
            self._pool.release(self._connection, self._idle_s)

    def abort(self) -> None:
        """Cancels the request by a reset of the connection."""
        if not self._is_ended:
            self._is_ended = True
            self._pool.discard(self._connection)


class _ServerConnections:
    """The connections to one server process."""

    def __init__(self) -> None:
        self.idle: collections.deque[_Connection] = collections.deque()
        self.connection_count = 0


class ConnectionPool:
    """Reusable connections by key; a key identifies one server process.

    Attributes:
        budget: Bounds the bytes that were received and not yet used.
        opened_count: Number of connections opened since the start.
    """

    def __init__(
        self,
        environment: clocks.Environment,
        budget: memory_budget.MemoryBudget | None = None,
    ):
        self.budget = budget or memory_budget.MemoryBudget()
        self._environment = environment
        self._connections_by_key: dict[str, _ServerConnections] = {}
        self._key_by_connection: dict[_Connection, str] = {}
        self.opened_count = 0

    def open_connection_count(self, key: str) -> int:
        """Returns the number of open connections to a server."""
        server = self._connections_by_key.get(key)
        return server.connection_count if server is not None else 0

    def has_capacity(self, key: str, limit: int) -> bool:
        """Returns whether a request needs no more than `limit` connections."""
        server = self._connections_by_key.get(key)
        return (
            server is None
            or bool(server.idle)
            or server.connection_count < limit
        )

    async def send(
        self, key: str, address: str, request: ClientRequest
    ) -> Call:
        """Sends a request on an idle or a new connection.

        Raises:
            errors.UpstreamError: Connecting failed; the request was not sent.
        """
        return await self.send_built(key, address, lambda: request)

    async def send_built(
        self,
        key: str,
        address: str,
        build_request: Callable[[], ClientRequest | None],
        max_idle_s: float = math.inf,
        reuses: bool = True,
    ) -> Call:
        """Sends a request that is built once a connection is open.

        Args:
            key: Identifies the server process.
            address: The server's "ip:port".
            build_request: Returns the request, None if it is not to be sent
                any more. It is called in the turn of the event loop in which
                the request is written.
            max_idle_s: Longest idle time of a connection to reuse; after a
                longer time the server may no longer be reachable on it.
            reuses: Whether an idle connection may be used.

        Raises:
            errors.UpstreamError: The request was not sent.
        """
        connection = None
        if reuses:
            connection = self._reusable_connection(key, max_idle_s)
        if connection is None:
            connection = await self._connect(key, address)
        request = build_request()
        if request is None:
            self._keep(connection, _DEFAULT_IDLE_S)
            raise errors.UpstreamError(
                reasons.RetryReason.OUTDATED_CHOICE,
                f"{address} was withdrawn before the request was sent",
                _NOT_RUN,
            )
        connection.send(request)
        return Call(self, connection)

    async def connect(self, key: str, address: str) -> None:
        """Opens a connection and keeps it for the next request.

        Raises:
            errors.UpstreamError: Connecting failed.
        """
        self._keep(await self._connect(key, address), _DEFAULT_IDLE_S)

    def _reusable_connection(
        self, key: str, max_idle_s: float
    ) -> _Connection | None:
        server = self._connections_by_key.get(key)
        now_s = self._environment.monotonic_s()
        while server is not None and server.idle:
            if now_s - server.idle[-1].idle_since_s > max_idle_s:
                return None
            connection = server.idle.pop()
            if connection.is_open and now_s < connection.idle_until_s:
                return connection
            connection.abort()
        return None

    async def _connect(self, key: str, address: str) -> _Connection:
        server = self._connections_by_key.setdefault(key, _ServerConnections())
        server.connection_count += 1
        connection = _Connection(self.budget.open())
        try:
            host, port = addresses.parse(address)
            async with silence_timeouts.silence_timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, host, port
                )
        except BaseException as error:
            server.connection_count -= 1
            if isinstance(error, (OSError, TimeoutError, ValueError)):
                raise errors.UpstreamError(
                    reasons.RetryReason.CONNECT_FAILED,
                    f"connecting to {address} failed: {error!r}",
                    _NOT_RUN,
                    is_timeout=isinstance(error, TimeoutError),
                ) from error
            raise
        self.opened_count += 1
        self._key_by_connection[connection] = key
        connection.on_close = self._on_connection_closed
        return connection

    def _on_connection_closed(self, connection: _Connection) -> None:
        key = self._key_by_connection.pop(connection, None)
        if key is None:
            return
        server = self._connections_by_key[key]
        server.connection_count -= 1
        if connection in server.idle:
            server.idle.remove(connection)
        if not server.connection_count:
            self._connections_by_key.pop(key, None)

    def release(self, connection: _Connection, idle_s: float) -> None:
        """Keeps a connection for reuse for `idle_s`, if it can be reused."""
        if connection.finish():
            self._keep(connection, idle_s)

    def _keep(self, connection: _Connection, idle_s: float) -> None:
        """Keeps a connection without a request for reuse."""
        key = self._key_by_connection.get(connection)
        if key is None or not connection.is_open:
            return
        now_s = self._environment.monotonic_s()
        connection.idle_since_s = now_s
        connection.idle_until_s = now_s + idle_s
        self._connections_by_key[key].idle.append(connection)

    def discard(self, connection: _Connection) -> None:
        """Resets a connection."""
        connection.abort()

    def close_expired(self) -> None:
        """Closes the idle connections whose idle time is over."""
        now_s = self._environment.monotonic_s()
        for server in list(self._connections_by_key.values()):
            for connection in list(server.idle):
                if now_s >= connection.idle_until_s or not connection.is_open:
                    connection.abort()

    def make_room(self, key: str, limit: int) -> None:
        """Closes the connection that was idle longest if `limit` is reached."""
        server = self._connections_by_key.get(key)
        if (
            server is not None
            and server.idle
            and server.connection_count >= limit
        ):
            server.idle.popleft().abort()

    def close_idle(self, key: str) -> None:
        """Closes the idle connections to a server."""
        server = self._connections_by_key.get(key)
        for connection in list(server.idle) if server is not None else ():
            connection.abort()

    def close(self) -> None:
        """Resets every connection."""
        for connection in list(self._key_by_connection):
            connection.abort()


async def fetch(
    pool: ConnectionPool,
    key: str,
    address: str,
    request: ClientRequest,
    timeout_s: float,
    max_bytes: int = _MAX_FETCHED_BYTES,
    min_rate: float = math.inf,
) -> tuple[RawResponseHead, bytes]:
    """Sends a request; returns the head and the complete body of the response.

    Args:
        pool: The connections.
        key: Key of the server in the pool.
        address: Address of the server.
        request: The request.
        timeout_s: Seconds within which a short response must arrive.
        max_bytes: Length of the longest body.
        min_rate: Bytes a second at which a response must arrive after
            `timeout_s`.

    Raises:
        errors.UpstreamError: No complete response in time, or one that is too
            long.
    """
    body = bytearray()
    held = pool.budget.open()

    def keep(data: bytes) -> None:
        if not held.grow(len(data)):
            raise memory_budget.full_error(f"the response of {address}")
        body.extend(data)

    try:
        head = await _fetch(
            pool, key, address, request, timeout_s, max_bytes, min_rate, keep
        )
        return head, bytes(body)
    finally:
        held.release()


async def fetch_head(
    pool: ConnectionPool,
    key: str,
    address: str,
    request: ClientRequest,
    timeout_s: float,
) -> RawResponseHead:
    """Sends a request; returns the head of the response and drops its body.

    Raises:
        errors.UpstreamError: No complete response in time, or one that is too
            long.
    """
    return await _fetch(
        pool,
        key,
        address,
        request,
        timeout_s,
        _MAX_DROPPED_BYTES,
        math.inf,
        lambda _: None,
    )


async def _fetch(
    pool: ConnectionPool,
    key: str,
    address: str,
    request: ClientRequest,
    timeout_s: float,
    max_bytes: int,
    min_rate: float,
    keep: Callable[[bytes], None],
) -> RawResponseHead:
    """Sends a request, passes its body on to `keep` and returns the head."""
    is_sent = False
    call = None
    received = 0
    try:
        async with silence_timeouts.silence_timeout(timeout_s) as limit:
            call = await pool.send(key, address, request)
            is_sent = True
            head = await call.head()
            while (data := await call.read()) is not None:
                received += len(data)
                limit.set_limit(timeout_s + received / min_rate)
                if received > max_bytes:
                    raise _malformed_error(
                        f"the response of {address} exceeds {max_bytes} bytes"
                    )
                keep(data)
    except TimeoutError as error:
        raise errors.UpstreamError(
            reasons.RetryReason.HEAD_TIMEOUT,
            f"no complete response from {address} within {timeout_s:.2f} s",
            _MAY_HAVE_RUN if is_sent else _NOT_RUN,
        ) from error
    finally:
        if call is not None:
            call.finish()
    return head
