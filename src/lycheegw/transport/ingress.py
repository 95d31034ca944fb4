"""HTTP/1.1 server of the callers, one protocol object a connection.

Parsing is h11's, which does no I/O: a caller that leaves is noticed at once,
and a half-read body or a request sent early never blocks a thread.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import http
import socket
import struct
from typing import Any

from absl import logging
import h11

from lycheegw.state import forwarded
from lycheegw.state import routing

__all__ = ["CallerGoneError", "Exchange", "IngressServer"]

# Bytes of an answer that wait for a slow caller before its upstream is held.
_WRITE_BUFFER_BYTES = 64 * 1024
# How long a connection is read on after an answer that came before the whole
# request; closing with unread bytes would reset the answer away.
_LINGER_S = 0.5
# Longest that a body may take after its head; the idle limit of a manifest
# binds before it where that is shorter.
_BODY_TIMEOUT_S = 15.0
_BACKLOG = 512

# SO_LINGER of 0 s: closing sends a reset.
_RESET = struct.pack("ii", 1, 0)

_CLOSE = (b"Connection", b"close")

Handler = Callable[["Exchange"], Awaitable[None]]
LimitsSource = Callable[[], routing.CallerLimits]


class CallerGoneError(ConnectionError):
    """The caller closed its connection."""


class Exchange:
    """One request and the way to answer it.

    Attributes:
        incoming: The request.
        is_started: Whether the head of the answer was sent.
        is_finished: Whether the whole answer was sent.
    """

    def __init__(
        self, connection: "_Connection", incoming: forwarded.IncomingRequest
    ):
        self.incoming = incoming
        self.is_started = False
        self.is_finished = False
        self._connection = connection

    async def send(self, refusal: forwarded.Refusal) -> None:
        """Sends a whole answer."""
        await self.start(refusal.status, refusal.headers, len(refusal.body))
        await self.write(refusal.body)
        await self.finish()

    async def start(
        self,
        status: int,
        headers: forwarded.Headers,
        content_length: int | None,
    ) -> None:
        """Sends the head of an answer; raises CallerGoneError."""
        self.is_started = True
        self._connection.send_head(status, headers, content_length)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; raises CallerGoneError."""
        if data:
            await self._connection.send_data(data)

    async def finish(self) -> None:
        """Ends the answer as whole; raises CallerGoneError."""
        self.is_finished = True
        self._connection.send_end()

    def abort(self) -> None:
        """Breaks the answer off so that it can't look complete."""
        self._connection.abort()


class _Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: "IngressServer"):
        self._server = server
        self._limits = server.limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._transport: Any = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._request: h11.Request | None = None
        self._received_s = 0.0
        self._body = bytearray()
        self._writable = asyncio.Event()
        self._writable.set()
        self._is_reading_head = False
        self._served = 0
        self._is_lingering = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (
            self._task is None
            and self._request is None
            and not self._is_reading_head
        )

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self._arm(self._limits.idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._disarm()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        # A caller that closes its side has left; nothing more is owed to it.
        return False

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        if self._is_lingering:
            return
        self._http.receive_data(data)
        if self._task is None:
            self._read()

    def _read(self) -> None:
        """Takes events in until a request is whole or bytes run out."""
        try:
            while self._task is None and not self._is_lingering:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._note_partial_head()
                    return
                if event is h11.PAUSED or isinstance(
                    event, h11.ConnectionClosed
                ):
                    return
                self._take(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _note_partial_head(self) -> None:
        has_bytes = bool(self._http.trailing_data[0])
        if self._request is None and has_bytes and not self._is_reading_head:
            self._is_reading_head = True
            self._arm(self._limits.header_timeout_s, self._head_timed_out)
        if self._http.they_are_waiting_for_100_continue:
            self._send(
                h11.InformationalResponse(
                    status_code=100, headers=[], reason=b"Continue"
                )
            )

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                self._reject(413, "body too large")
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _take_head(self, request: h11.Request) -> None:
        self._is_reading_head = False
        self._request = request
        self._received_s = self._loop.time()
        self._body = bytearray()
        self._limits = self._server.limits()
        self._arm(
            min(_BODY_TIMEOUT_S, self._limits.idle_timeout_s),
            self._body_timed_out,
        )
        names = [name for name, _ in request.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Two framings are a way to smuggle a request past a proxy.
            self._reject(400, "both a length and a transfer encoding")
        elif names.count(b"host") > 1:
            self._reject(400, "more than one host")
        elif request.http_version == b"1.0" and b"transfer-encoding" in names:
            self._reject(400, "transfer encoding in HTTP/1.0")

    def _dispatch(self) -> None:
        self._disarm()
        request = self._request
        if request is None:
            return
        self._served += 1
        incoming = forwarded.IncomingRequest(
            bytes(request.method),
            bytes(request.target),
            tuple(
                (bytes(name), bytes(value))
                for name, value in request.headers.raw_items()
            ),
            bytes(self._body),
            self._received_s,
            self._served == 1,
        )
        self._body = bytearray()
        exchange = Exchange(self, incoming)
        self._task = self._loop.create_task(self._serve(exchange))
        self._server.note_running(1)

    async def _serve(self, exchange: Exchange) -> None:
        """Answers one request, then reads on."""
        try:
            await self._server.handle(exchange)
            if not exchange.is_finished:
                self.abort()
        except CallerGoneError:
            self.abort()
        except Exception:
            logging.exception("the handler of a request failed")
            self.abort()
        finally:
            self._server.note_running(-1)
            self._task = None
            self._request = None
        self._next()

    def _next(self) -> None:
        """Makes the connection ready for its next request, or closes it."""
        if self._transport.is_closing():
            return
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            self._linger()
            return
        self._http.start_next_cycle()
        self._arm(self._limits.idle_timeout_s, self.close)
        self._read()

    def send_head(
        self,
        status: int,
        headers: forwarded.Headers,
        content_length: int | None,
    ) -> None:
        """Sends the head of an answer."""
        fields = list(headers)
        if content_length is not None:
            fields.append((b"Content-Length", b"%d" % content_length))
        if self._server.is_closing:
            fields.append(_CLOSE)
        reason = http.HTTPStatus(status).phrase if status in _STATUSES else ""
        self._send(
            h11.Response(
                status_code=status, headers=fields, reason=reason.encode()
            )
        )

    async def send_data(self, data: bytes) -> None:
        """Sends a part of the body, held back by a slow reader."""
        self._send(h11.Data(data=data))
        if not self._writable.is_set():
            await self._writable.wait()
            self._check_open()

    def send_end(self) -> None:
        """Ends the body."""
        self._send(h11.EndOfMessage())

    def _send(self, event: Any) -> None:
        self._check_open()
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def _check_open(self) -> None:
        if self._transport is None or self._transport.is_closing():
            raise CallerGoneError("the caller closed its connection")

    def _reject(self, status: int, reason: str) -> None:
        """Answers a request that can't be taken, and closes."""
        self._server.note_rejected(status, reason)
        if self._http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            body = reason.encode("ascii", "replace")
            self.send_head(status, (_CLOSE,), len(body))
            self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())
        self._linger()

    def _linger(self) -> None:
        """Closes once what was sent has had time to be read."""
        self._is_lingering = True
        if self._http.their_state in {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}:
            self.close()
        else:
            self._arm(_LINGER_S, self.close)

    def _head_timed_out(self) -> None:
        self._reject(408, "the head took too long")

    def _body_timed_out(self) -> None:
        self._reject(408, "the body took too long")

    def _arm(self, seconds: float, action: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self._loop.call_later(seconds, action)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Closes after what was written has gone out."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection, so that nothing on it looks complete."""
        if self._transport is None or self._transport.is_closing():
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()


_STATUSES = {status.value for status in http.HTTPStatus}


class IngressServer:
    """Listens for callers and hands whole requests to a handler.

    Attributes:
        connections: Open connections.
        handle: Answers one exchange.
        limits: Returns the bounds in force.
        running: Requests being answered.
        is_closing: Whether answers tell callers to close their connections.
    """

    def __init__(
        self,
        address: str,
        handle: Handler,
        limits: LimitsSource,
        note_rejected: Callable[[int, str], None],
    ):
        host, _, port = address.rpartition(":")
        self._listen = (host, int(port))
        self._server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.handle = handle
        self.limits = limits
        self.note_rejected = note_rejected
        self.running = 0
        self.is_closing = False

    @property
    def address(self) -> str:
        """The bound "ip:port"."""
        host, port = self._listen
        return f"{host}:{port}"

    def note_running(self, change: int) -> None:
        """Counts requests that begin or end."""
        self.running += change

    async def start(self) -> None:
        """Binds the address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), *self._listen, backlog=_BACKLOG
        )
        host, port = self._server.sockets[0].getsockname()
        self._listen = (host, port)

    def stop_listening(self) -> None:
        """Takes no new connections and closes those that are idle."""
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections on which nothing runs."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def stop(self) -> None:
        """Closes everything at once."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
