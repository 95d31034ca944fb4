"""HTTP/1.1 server for clients, with one asyncio protocol per connection.

h11 parses and does no I/O. A client's disconnect is therefore noticed at
once, and no thread blocks on an incomplete body or a pipelined request.
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

from lycheegw.state import forwarded_requests
from lycheegw.state import memory_budget
from lycheegw.state import routing

__all__ = ["CallerGoneError", "Exchange", "IngressServer"]

# Response bytes buffered for a slow client before its upstream is paused.
_WRITE_BUFFER_BYTES = 16 * 1024
# Bytes that are read from a socket at once, and bytes behind a request above
# which a connection isn't read until the request is answered.
_READ_BYTES = 16 * 1024
_MAX_PIPELINED_BYTES = 16 * 1024
# All connections read into this buffer, as each copies what it read at once.
_READ_BUFFER = memoryview(bytearray(_READ_BYTES))
# Bytes that a parsed header line takes beside its text.
_HEADER_LINE_BYTES = 500
# Copies of a body while it is received, or while it is sent to an upstream.
_BODY_COPIES = 2
# Reading continues this long after a response that was sent before the whole
# request arrived: closing with unread bytes resets the connection, and the
# client could lose the response.
_LINGER_S = 0.5
# Time limit of a body after its head; a manifest's idle timeout applies
# instead if it is shorter.
_BODY_TIMEOUT_S = 15.0
_ACCEPT_BACKLOG = 512
# Bound of the parser's buffer; the limit of heads, which may change while a
# connection is open, is checked before it is reached.
_MAX_BUFFER_BYTES = 2**31

# SO_LINGER with a timeout of 0 s: closing sends a reset.
_ZERO_LINGER = struct.pack("ii", 1, 0)

_CLOSE_HEADER = (b"Connection", b"close")

Handler = Callable[["Exchange"], Awaitable[None]]
LimitsSource = Callable[[], routing.CallerLimits]


class CallerGoneError(ConnectionError):
    """The client closed its connection."""


class Exchange:
    """One request, with the methods that send its response.

    Attributes:
        incoming: The request.
        is_started: Whether the response head was sent.
        is_finished: Whether the response was sent completely.
        memory: What the request and its response take.
    """

    def __init__(
        self,
        connection: "_Connection",
        incoming: forwarded_requests.IncomingRequest,
    ):
        self.incoming = incoming
        self.memory = connection.memory
        self.is_started = False
        self.is_finished = False
        self._connection = connection

    async def send(self, response: forwarded_requests.LocalResponse) -> None:
        """Sends a complete response; raises CallerGoneError."""
        await self.start(response.status, response.headers, len(response.body))
        await self.write(response.body)
        await self.finish()

    async def start(
        self,
        status: int,
        headers: forwarded_requests.Headers,
        content_length: int | None,
    ) -> None:
        """Sends the response head; raises CallerGoneError."""
        self.is_started = True
        self._connection.send_head(status, headers, content_length)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; raises CallerGoneError."""
        if data:
            await self._connection.send_data(data)

    async def finish(self) -> None:
        """Ends a complete response; raises CallerGoneError."""
        self.is_finished = True
        self._connection.send_end()

    def abort(self) -> None:
        """Resets the connection, so that the response can't look complete."""
        self._connection.abort()


class _Connection(asyncio.BufferedProtocol):
    """One client connection, which handles one request at a time.

    Attributes:
        memory: What the current request and its response take.
        is_lingering: Whether a response has ended the connection, and what the
            client still sends is read and dropped.
    """

    def __init__(self, server: "IngressServer"):
        self._server = server
        self._limits = server.limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAX_BUFFER_BYTES
        )
        self._transport: Any = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._request: h11.Request | None = None
        self._received_s = 0.0
        self._body = bytearray()
        # Memory of the parsed head of the current request.
        self._parsed_head_bytes = 0
        self.memory = server.budget.open()
        # Bytes behind the request that is being handled.
        self._pipelined = server.budget.open()
        self._is_paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._is_reading_head = False
        self._request_count = 0
        self.is_lingering = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return (
            self._task is None
            and self._request is None
            and not self._is_reading_head
        )

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request was read, and not all of it."""
        return self._is_reading_head or (
            self._task is None and self._request is not None
        )

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        if self._server.is_stopped:
            # It was accepted before the listener closed.
            self.abort()
            return
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._cancel_timer()
        self._writable.set()
        self._pipelined.release()
        if self._task is not None:
            self._task.cancel()
        else:
            self.memory.release()

    def eof_received(self) -> bool:
        # A half-closed connection counts as a disconnect of the client.
        return False

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def get_buffer(self, sizehint: int) -> memoryview:
        del sizehint
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self.is_lingering:
            return
        self._parser.receive_data(bytes(_READ_BUFFER[:nbytes]))
        if self._task is None:
            self._process_events()
        else:
            self._count_pipelined(nbytes)

    def _count_pipelined(self, size: int) -> None:
        """Stops reading if too much came behind a request."""
        is_granted = self._pipelined.grow(size)
        if not is_granted or self._pipelined.size > _MAX_PIPELINED_BYTES:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()

    def _process_events(self) -> None:
        """Handles parser events until a request is complete or input ends."""
        try:
            while self._task is None and not self.is_lingering:
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    self._handle_partial_input()
                    return
                if event is h11.PAUSED or isinstance(
                    event, h11.ConnectionClosed
                ):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _handle_partial_input(self) -> None:
        """Bounds the time and the size of a head that is incomplete."""
        buffered = len(self._parser.trailing_data[0])
        if self._request is None and buffered and not self._is_reading_head:
            self._is_reading_head = True
            self._limits = self._server.limits()
            self._start_timer(
                self._limits.header_timeout_s, self._on_head_timeout
            )
        if buffered > self._limits.header_bytes:
            self._reject(431, "head too large")
            return
        if buffered and not self._reserve(
            _BODY_COPIES * len(self._body) + buffered
        ):
            self._refuse_for_memory()
            return
        if self._parser.they_are_waiting_for_100_continue:
            self._send(
                h11.InformationalResponse(
                    status_code=100, headers=[], reason=b"Continue"
                )
            )

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                self._reject(413, "body too large")
            elif not self._reserve(_BODY_COPIES * len(self._body)):
                self._refuse_for_memory()
        elif isinstance(event, h11.EndOfMessage):
            self._start_handler()

    def _reserve(self, size: int) -> bool:
        """Reserves memory for `size` bytes besides those of a parsed head."""
        return self.memory.resize(self._parsed_head_bytes + size)

    def _handle_head(self, request: h11.Request) -> None:
        self._is_reading_head = False
        self._request = request
        self._received_s = self._loop.time()
        self._body = bytearray()
        self._limits = self._server.limits()
        if _head_bytes(request) > self._limits.header_bytes:
            self._reject(431, "head too large")
            return
        self._parsed_head_bytes = _HEADER_LINE_BYTES * len(request.headers)
        if not self._reserve(0):
            self._refuse_for_memory()
            return
        self._start_timer(
            min(_BODY_TIMEOUT_S, self._limits.idle_timeout_s),
            self._on_body_timeout,
        )
        names = [name for name, _ in request.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Two framings allow request smuggling through a proxy.
            self._reject(400, "both a length and a transfer encoding")
        elif names.count(b"host") > 1:
            self._reject(400, "more than one host")
        elif request.http_version == b"1.0" and b"transfer-encoding" in names:
            self._reject(400, "transfer encoding in HTTP/1.0")
        else:
            self._check_declared_length(request)

    def _check_declared_length(self, request: h11.Request) -> None:
        """Refuses a body that is too long before any of it is read."""
        length = 0
        for name, value in request.headers:
            if name == b"content-length":
                # h11 has checked that it is a number.
                length = int(value)
        memory_before = self.memory.size
        if length > self._limits.body_bytes:
            self._reject(413, "body too large")
        elif not self._reserve(_BODY_COPIES * length):
            self._refuse_for_memory()
        else:
            # Bytes count once they arrive: a slow caller must not keep others
            # out.
            self.memory.resize(memory_before)

    def _start_handler(self) -> None:
        self._cancel_timer()
        request = self._request
        if request is None:
            return
        if self._server.is_stopped:
            # The process may end before the request does.
            self.abort()
            return
        self._request_count += 1
        incoming = forwarded_requests.IncomingRequest(
            bytes(request.method),
            bytes(request.target),
            tuple(
                (bytes(name), bytes(value))
                for name, value in request.headers.raw_items()
            ),
            bytes(self._body),
            self._received_s,
            self._request_count == 1,
        )
        self._body = bytearray()
        pipelined, _ = self._parser.trailing_data
        if pipelined:
            self._count_pipelined(len(pipelined))
        exchange = Exchange(self, incoming)
        self._task = self._loop.create_task(self._run_handler(exchange))
        self._server.note_running(1)

    async def _run_handler(self, exchange: Exchange) -> None:
        """Runs the handler of one request, then continues reading."""
        try:
            await self._server.handle(exchange)
            if not exchange.is_finished:
                self.abort()
        except CallerGoneError:
            self.abort()
        except Exception:
            logging.exception("request handler raised an unexpected exception")
            self.abort()
        finally:
            self._server.note_running(-1)
            self._task = None
            self._request = None
            self._parsed_head_bytes = 0
            self.memory.release()
            self._pipelined.release()
        self._finish_request()

    def _finish_request(self) -> None:
        """Prepares the connection for its next request, or closes it."""
        if self._transport.is_closing():
            return
        if (
            self._parser.our_state is not h11.DONE
            or self._parser.their_state is not h11.DONE
        ):
            self._close_after_linger()
            return
        self._parser.start_next_cycle()
        self._start_idle_timer()
        self._process_events()
        if self._task is None:
            self._resume_reading()

    def _start_idle_timer(self) -> None:
        """Closes the connection if it stays idle for the current limit."""
        begun_s = self._loop.time()

        def check() -> None:
            left_s = begun_s + self._server.limits().idle_timeout_s
            left_s -= self._loop.time()
            if left_s > 0:
                # The limit was raised meanwhile.
                self._start_timer(left_s, check)
            else:
                self.close()

        self._start_timer(self._server.limits().idle_timeout_s, check)

    def send_head(
        self,
        status: int,
        headers: forwarded_requests.Headers,
        content_length: int | None,
    ) -> None:
        """Sends a response head."""
        fields = list(headers)
        if content_length is not None:
            fields.append((b"Content-Length", b"%d" % content_length))
        if self._server.is_closing and _CLOSE_HEADER not in fields:
            fields.append(_CLOSE_HEADER)
        reason = http.HTTPStatus(status).phrase if status in _STATUSES else ""
        self._send(
            h11.Response(
                status_code=status, headers=fields, reason=reason.encode()
            )
        )

    async def send_data(self, data: bytes) -> None:
        """Sends a part of the body; waits while the write buffer is full."""
        self._send(h11.Data(data=data))
        if not self._writable.is_set():
            await self._writable.wait()
            self._check_open()

    def send_end(self) -> None:
        """Ends the body."""
        self._send(h11.EndOfMessage())

    def _send(self, event: Any) -> None:
        self._check_open()
        data = self._parser.send(event)
        if data:
            self._transport.write(data)

    def _check_open(self) -> None:
        if self._transport is None or self._transport.is_closing():
            raise CallerGoneError("the client closed its connection")

    def _reject(self, status: int, reason: str) -> None:
        """Responds to an invalid request and closes the connection."""
        self._server.note_rejected(status, reason)
        self.refuse(
            forwarded_requests.LocalResponse(
                status, (), reason.encode("ascii", "replace")
            )
        )

    def _refuse_for_memory(self) -> None:
        self.refuse(self._server.refuse_for_memory())

    def refuse(self, response: forwarded_requests.LocalResponse) -> None:
        """Responds before a request was read whole; closes the connection."""
        if self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            self.send_head(
                response.status,
                (*response.headers, _CLOSE_HEADER),
                len(response.body),
            )
            self._send(h11.Data(data=response.body))
            self._send(h11.EndOfMessage())
        self._close_after_linger()

    def _close_after_linger(self) -> None:
        """Closes after the client has had time to read the response."""
        self.is_lingering = True
        self._body = bytearray()
        self.memory.release()
        self._pipelined.release()
        self._resume_reading()
        if self._parser.their_state in {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}:
            self.close()
        else:
            self._start_timer(_LINGER_S, self.close)

    def _on_head_timeout(self) -> None:
        self._reject(408, "the head took too long")

    def _on_body_timeout(self) -> None:
        self._reject(408, "the body took too long")

    def _start_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(seconds, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Closes after buffered data was sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection, so that no response looks complete."""
        if self._transport is None or self._transport.is_closing():
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
        self._transport.abort()


def _head_bytes(request: h11.Request) -> int:
    """Returns the least number of bytes that a head has taken."""
    fields = sum(
        len(name) + len(value) + len(b": \r\n")
        for name, value in request.headers.raw_items()
    )
    first_line = len(request.method) + len(request.target)
    return first_line + len(b"  HTTP/1.1\r\n") + fields + len(b"\r\n")


_STATUSES = {status.value for status in http.HTTPStatus}


class IngressServer:
    """Accepts client connections and passes complete requests to a handler.

    Attributes:
        connections: Open connections.
        handle: Handles one exchange.
        limits: Returns the current limits.
        budget: Bounds the memory that requests and responses take.
        refuse_for_memory: Returns the response to a request that can't be
            received, as memory is short.
        running: Number of requests being handled.
        is_closing: Whether responses contain `Connection: close`.
        is_stopped: Whether no more requests are handled.
    """

    def __init__(
        self,
        address: str,
        handle: Handler,
        limits: LimitsSource,
        note_rejected: Callable[[int, str], None],
        budget: memory_budget.MemoryBudget | None = None,
        refuse_for_memory: Callable[
            [], forwarded_requests.LocalResponse
        ] = lambda: forwarded_requests.LocalResponse(503, (), b""),
    ):
        host, _, port = address.rpartition(":")
        self._listen = (host, int(port))
        self._server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.handle = handle
        self.limits = limits
        self.note_rejected = note_rejected
        self.budget = budget or memory_budget.MemoryBudget()
        self.refuse_for_memory = refuse_for_memory
        self.running = 0
        self.is_closing = False
        self.is_stopped = False

    @property
    def address(self) -> str:
        """The bound "ip:port"."""
        host, port = self._listen
        return f"{host}:{port}"

    def note_running(self, change: int) -> None:
        """Adds `change` to the number of running requests."""
        self.running += change

    @property
    def is_receiving(self) -> bool:
        """Whether a part of some request was read, and not all of it."""
        return any(each.is_receiving for each in self.connections)

    @property
    def is_lingering(self) -> bool:
        """Whether a client may still write a request that was refused."""
        return any(each.is_lingering for each in self.connections)

    def refuse_incomplete(
        self, response: forwarded_requests.LocalResponse, reason: str
    ) -> None:
        """Responds to the requests that were not read whole."""
        for connection in list(self.connections):
            if connection.is_receiving:
                self.note_rejected(response.status, reason)
                connection.refuse(response)

    async def start(self) -> None:
        """Binds the address and starts listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), *self._listen, backlog=_ACCEPT_BACKLOG
        )
        host, port = self._server.sockets[0].getsockname()
        self._listen = (host, port)

    def stop_listening(self) -> None:
        """Accepts no more connections or requests, and closes idle ones."""
        self.is_stopped = True
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections without a request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
