"""HTTP/1.1 client with kept connections, one request at a time on each.

Parsing is h11's, which does no I/O. A connection that showed anything
unexpected (bytes that belong to no request, an answer before the request was
out, a failure) is never used again.
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

from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = ["Call", "ClientRequest", "ConnectionPool", "RawHead", "fetch"]

# Longest wait for a TCP connection; one way between zones takes a few ms, and
# an address that is gone answers at once or never.
_CONNECT_TIMEOUT_S = 0.6
# Unacknowledged bytes end a connection after this long: one that fell silent
# shows itself only so. Two retransmissions fit in.
_USER_TIMEOUT_MS = 1500
# The same for a connection on which nothing is being sent.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Reuse of a connection whose server did not say how long it may idle.
_DEFAULT_IDLE_S = 0.9
# Left of the stated idle time when a connection is not used any more; a
# close that crosses a request leaves its outcome unknown.
_IDLE_MARGIN_S = 0.5
_MAX_HEAD_BYTES = 64 * 1024
_READ_BUFFER_BYTES = 256 * 1024
_RESET = struct.pack("ii", 1, 0)

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN


class ClientRequest(NamedTuple):
    """A request as it goes out; `headers` carry host and length."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RawHead(NamedTuple):
    """The head of an answer; names in lower case and as sent."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    raw_headers: tuple[tuple[bytes, bytes], ...]

    def value(self, name: bytes) -> bytes | None:
        """Returns the value of a header by its name in lower case."""
        for each, value in self.headers:
            if each == name:
                return value
        return None


def _lost(message: str, is_silence: bool = False) -> errors.UpstreamError:
    return errors.UpstreamError(
        reasons.RetryReason.CONNECTION_LOST,
        message,
        _MAY_HAVE_RUN,
        is_silence=is_silence,
    )


def _malformed(message: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        reasons.RetryReason.MALFORMED, message, _MAY_HAVE_RUN
    )


class _Connection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.is_fresh = True
        self.idle_until_s = 0.0
        self.idle_since_s = 0.0
        self.is_busy = False
        self.is_spoilt = False
        self._http = self._new_parser()
        self._request: ClientRequest | None = None
        self._error: Exception | None = None
        self._is_eof = False
        self._is_lost = False
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self.on_close: Callable[[_Connection], None] = lambda _: None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_timeouts(sock)

    def data_received(self, data: bytes) -> None:
        if not self.is_busy:
            # Bytes that belong to no request.
            self.abort()
            return
        self._http.receive_data(data)
        if len(self._http.trailing_data[0]) > _READ_BUFFER_BYTES:
            self.transport.pause_reading()
        self._changed.set()

    def eof_received(self) -> bool:
        self._is_eof = True
        self._changed.set()
        if not self.is_busy:
            self.on_close(self)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        self._error = exc
        self._changed.set()
        self._writable.set()
        self.on_close(self)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    @property
    def is_open(self) -> bool:
        """Whether it can carry another request."""
        return not (
            self._is_eof
            or self._is_lost
            or self.is_spoilt
            or self.transport is None
            or self.transport.is_closing()
        )

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )

    def send(self, request: ClientRequest) -> None:
        """Writes a whole request."""
        self._request = request
        self.is_busy = True
        self.transport.write(self._frame(request))

    def _frame(self, request: ClientRequest) -> bytes:
        """Returns a request's bytes and puts the parser into its state."""
        parts = [
            self._http.send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=list(request.headers),
                )
            )
        ]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def head(self) -> RawHead:
        """Returns the head of the next final answer."""
        while True:
            event = await self._event()
            if isinstance(event, h11.Response):
                return RawHead(
                    event.status_code,
                    tuple((bytes(n), bytes(v)) for n, v in event.headers),
                    tuple(
                        (bytes(n), bytes(v))
                        for n, v in event.headers.raw_items()
                    ),
                )
            if not isinstance(event, h11.InformationalResponse):
                raise _lost("the connection ended before an answer")

    async def read(self) -> bytes | None:
        """Returns the next bytes of the body, None at its end."""
        event = await self._event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise _lost("the connection ended within an answer")

    async def _event(self) -> Any:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self.is_spoilt = True
                if self._is_eof or self._is_lost:
                    raise _lost(f"the answer broke off: {error}") from error
                raise _malformed(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            await self._more()

    async def _more(self) -> None:
        """Waits for bytes, or for the end of the connection."""
        if self._is_lost and self._error is not None:
            is_silence = isinstance(self._error, TimeoutError)
            raise _lost(f"the connection broke: {self._error}", is_silence)
        if self._is_eof or self._is_lost:
            # An orderly end is the end of an answer without a length.
            self._http.receive_data(b"")
            return
        self.transport.resume_reading()
        self._changed.clear()
        await self._changed.wait()

    async def skip_answer(self) -> None:
        """Reads an answer to another request and makes ready for ours."""
        while await self.read() is not None:
            pass
        rest, _ = self._http.trailing_data
        if self._request is None or not self.is_open:
            raise _lost("the connection ended after another answer")
        self._http = self._new_parser()
        self._frame(self._request)
        if rest:
            self._http.receive_data(rest)

    def finish(self) -> bool:
        """Ends the exchange; returns whether another may follow."""
        is_clean = (
            self.is_open
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and self.transport.get_write_buffer_size() == 0
        )
        if not is_clean:
            self.abort()
            return False
        self._http.start_next_cycle()
        self.is_busy = False
        self.is_fresh = False
        self._request = None
        return True

    def abort(self) -> None:
        """Resets the connection, so that its server stops work at once."""
        self.is_spoilt = True
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.transport.abort()


def _set_timeouts(sock: Any) -> None:
    """Makes a connection that fell silent end by itself."""
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)


class Call:
    """One request on one connection.

    Attributes:
        is_reused: Whether the connection carried a request before.
    """

    def __init__(self, pool: "ConnectionPool", connection: _Connection):
        self._pool = pool
        self._connection = connection
        self._idle_s = _DEFAULT_IDLE_S
        self._is_over = False
        self.is_reused = not connection.is_fresh

    async def head(self) -> RawHead:
        """Returns the head of the answer; raises errors.UpstreamError."""
        return await self._connection.head()

    async def skip_answer(self) -> None:
        """Passes over an answer to another request."""
        await self._connection.skip_answer()
        self._connection.is_spoilt = True

    async def read(self) -> bytes | None:
        """Returns the next bytes of the body, None at its end.

        Raises:
            errors.UpstreamError: The answer broke off.
        """
        return await self._connection.read()

    def note_idle_limit(self, seconds: float | None) -> None:
        """Takes how long the server lets the connection idle."""
        if seconds is not None:
            self._idle_s = max(0.0, seconds - _IDLE_MARGIN_S)

    def finish(self) -> None:
        """Gives the connection back after a whole answer."""
        if not self._is_over:
            self._is_over = True
            self._pool.give_back(self._connection, self._idle_s)

    def abort(self) -> None:
        """Ends the request; the server notices that nobody waits."""
        if not self._is_over:
            self._is_over = True
            self._pool.drop(self._connection)


class _Server:
    """The connections to one server."""

    def __init__(self) -> None:
        self.idle: collections.deque[_Connection] = collections.deque()
        self.open = 0


class ConnectionPool:
    """Kept connections by key, a server's process.

    Attributes:
        opened: Connections opened since the start.
    """

    def __init__(self, environment: clocks.Environment):
        self._environment = environment
        self._server_by_key: dict[str, _Server] = {}
        self._key_by_connection: dict[_Connection, str] = {}
        self.opened = 0

    def open_count(self, key: str) -> int:
        """Returns how many connections a server has from this node."""
        server = self._server_by_key.get(key)
        return server.open if server is not None else 0

    def has_room(self, key: str, limit: int) -> bool:
        """Returns whether a request can be sent under a connection bound."""
        server = self._server_by_key.get(key)
        return server is None or bool(server.idle) or server.open < limit

    async def send(
        self,
        key: str,
        address: str,
        request: ClientRequest,
        max_idle_s: float = math.inf,
    ) -> Call:
        """Sends a request on a kept or a new connection.

        Args:
            key: What names the server's process.
            address: Where it listens.
            request: What to send.
            max_idle_s: Longest time for which a kept connection may have
                idled; one that idled longer may have fallen silent.

        Raises:
            errors.UpstreamError: No connection; the request is not sent.
        """
        connection = self._take_idle(key, max_idle_s)
        if connection is None:
            connection = await self._connect(key, address)
        connection.send(request)
        return Call(self, connection)

    def _take_idle(self, key: str, max_idle_s: float) -> _Connection | None:
        server = self._server_by_key.get(key)
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
        host, _, port = address.rpartition(":")
        server = self._server_by_key.setdefault(key, _Server())
        server.open += 1
        connection = _Connection()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, host, int(port)
                )
        except BaseException as error:
            server.open -= 1
            if isinstance(error, (OSError, TimeoutError)):
                raise errors.UpstreamError(
                    reasons.RetryReason.CONNECT_FAILED,
                    f"no connection to {address}: {error!r}",
                    _NOT_RUN,
                    is_silence=isinstance(error, TimeoutError),
                ) from error
            raise
        self.opened += 1
        self._key_by_connection[connection] = key
        connection.on_close = self._closed
        return connection

    def _closed(self, connection: _Connection) -> None:
        key = self._key_by_connection.pop(connection, None)
        if key is None:
            return
        server = self._server_by_key[key]
        server.open -= 1
        if connection in server.idle:
            server.idle.remove(connection)
        if not server.open:
            self._server_by_key.pop(key, None)

    def give_back(self, connection: _Connection, idle_s: float) -> None:
        """Keeps a connection for another request, if it may be used again."""
        key = self._key_by_connection.get(connection)
        if key is None or not connection.finish():
            return
        now_s = self._environment.monotonic_s()
        connection.idle_since_s = now_s
        connection.idle_until_s = now_s + idle_s
        self._server_by_key[key].idle.append(connection)

    def drop(self, connection: _Connection) -> None:
        """Resets a connection."""
        connection.abort()

    def expire(self) -> None:
        """Closes the connections that idled too long."""
        now_s = self._environment.monotonic_s()
        for server in list(self._server_by_key.values()):
            for connection in list(server.idle):
                if now_s >= connection.idle_until_s or not connection.is_open:
                    connection.abort()

    def forget(self, key: str) -> None:
        """Closes the idle connections to a server that is gone."""
        server = self._server_by_key.get(key)
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
) -> tuple[RawHead, bytes]:
    """Returns the head and the whole body of one answer.

    Raises:
        errors.UpstreamError: There was none in time.
    """
    is_sent = False
    call = None
    try:
        async with asyncio.timeout(timeout_s):
            call = await pool.send(key, address, request)
            is_sent = True
            head = await call.head()
            body = bytearray()
            while (data := await call.read()) is not None:
                body += data
    except TimeoutError as error:
        raise errors.UpstreamError(
            reasons.RetryReason.HEAD_TIMEOUT,
            f"no answer from {address} in {timeout_s:.2f} s",
            _MAY_HAVE_RUN if is_sent else _NOT_RUN,
        ) from error
    finally:
        if call is not None:
            call.finish()
    return head, bytes(body)
