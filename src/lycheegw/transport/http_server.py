"""HTTP server: cheroot reads a request, an asyncio task responds to it.

A cheroot worker thread parses head and body, then detaches the connection. A
task in the event loop sends the response, which can take long, and returns
the connection to cheroot for the next request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import http
import json
import select
import socket
import threading
from typing import Any
from typing import NamedTuple

from absl import logging
from cheroot import errors as cheroot_errors
from cheroot import server

__all__ = ["Exchange", "HttpRequest", "HttpServer", "format_address"]

_WORKER_THREADS = 4
_MAX_HEADER_BYTES = 32 * 1024
_MAX_BODY_BYTES = 4 * 1024 * 1024
_IDLE_TIMEOUT_S = 5
_SHUTDOWN_TIMEOUT_S = 2
_ACCEPT_BACKLOG = 1024
_DISCARD_TIMEOUT_S = 0.2
_DISCARD_READS = 64
_DISCARD_BYTES = 64 * 1024
_REASON_BY_STATUS = {"413": "body_too_large", "414": "body_too_large"}


class HttpRequest(NamedTuple):
    """A parsed request; header names are in lower case."""

    method: str
    path: str
    query: str
    header_by_name: Mapping[str, str]
    body: bytes


def format_address(host: str, port: int) -> str:
    """Returns "ip:port"."""
    return f"{host}:{port}"


class Exchange:
    """One request, with the methods that send its response.

    Attributes:
        request: The parsed request.
        is_started: Whether the response head was sent.
        keep_alive: Whether the connection may be used for another request.
    """

    def __init__(self, request: HttpRequest, sock: socket.socket):
        self.request = request
        self.is_started = False
        self.keep_alive = True
        self._socket = sock
        self._is_chunked = False
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        status: int,
        body: bytes,
        headers: Mapping[str, str] | None = None,
        content_type: str = "application/json",
    ) -> None:
        """Sends a complete response; raises OSError if the client is gone."""
        head = dict(headers or {})
        head["content-type"] = content_type
        head["content-length"] = str(len(body))
        self.is_started = True
        await self._loop.sock_sendall(
            self._socket, self._format_head(status, head) + body
        )

    async def send_json(
        self, status: int, value: Any, headers: Mapping[str, str] | None = None
    ) -> None:
        """Sends a complete JSON response."""
        await self.send(status, json.dumps(value).encode(), headers)

    async def start_stream(
        self, headers: Mapping[str, str], content_type: str
    ) -> None:
        """Sends the head of a streamed response, chunked except in HTTP/1.0."""
        head = dict(headers)
        head["content-type"] = content_type
        if self.request.header_by_name.get(":version") == "HTTP/1.0":
            self.keep_alive = False
        else:
            head["transfer-encoding"] = "chunked"
            self._is_chunked = True
        self.is_started = True
        await self._loop.sock_sendall(
            self._socket, self._format_head(200, head)
        )

    async def write(self, payload: bytes) -> None:
        """Sends a part of a streamed response."""
        if self._is_chunked:
            payload = b"%x\r\n%b\r\n" % (len(payload), payload)
        await self._loop.sock_sendall(self._socket, payload)

    async def finish(self) -> None:
        """Ends a complete streamed response."""
        if self._is_chunked:
            await self._loop.sock_sendall(self._socket, b"0\r\n\r\n")

    async def wait_disconnected(self) -> None:
        """Returns once the client has closed its connection."""
        readable = asyncio.Event()
        self._loop.add_reader(self._socket.fileno(), readable.set)
        try:
            await readable.wait()
            if self._peek_byte():
                # The client sent a pipelined request, so it is still there.
                self._loop.remove_reader(self._socket.fileno())
                await asyncio.Event().wait()
        finally:
            if self._socket.fileno() >= 0:
                self._loop.remove_reader(self._socket.fileno())

    def _peek_byte(self) -> bytes:
        try:
            return self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return b"?"
        except OSError:
            return b""

    def _format_head(self, status: int, headers: Mapping[str, str]) -> bytes:
        lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if not self.keep_alive:
            lines.append("connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


Handler = Callable[[Exchange], Awaitable[None]]


def _discard_input(sock: socket.socket) -> None:
    """Reads the rest of an invalid request, within limits of size and time.

    Closing a socket with unread input resets the connection, and the client
    could lose the error response.
    """
    sock.shutdown(socket.SHUT_WR)
    sock.settimeout(_DISCARD_TIMEOUT_S)
    for _ in range(_DISCARD_READS):
        if not sock.recv(_DISCARD_BYTES):
            return


class _Request(server.HTTPRequest):
    """A request whose parse errors are sent as JSON, with verdict not_run."""

    def read_request_line(self) -> bool:
        """Reads the first line; returns whether it is valid."""
        is_valid = bool(super().read_request_line())
        self.server.http_server.note_reading(self.conn)
        return is_valid

    def simple_response(self, status: str, msg: str = "") -> None:
        """Sends an error response to a request that reached no handler."""
        reason = _REASON_BY_STATUS.get(str(status)[:3], "bad_request")
        body = json.dumps(
            {"error": {"reason": reason, "message": msg, "run": "not_run"}}
        ).encode()
        head = (
            f"HTTP/1.1 {status}\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\nx-run: not_run\r\n"
            "connection: close\r\n\r\n"
        )
        self.close_connection = True
        self.sent_headers = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("latin-1") + body)
            _discard_input(self.conn.socket)


class _Connection(server.HTTPConnection):
    """A connection that a worker thread can detach instead of closing it."""

    RequestHandlerClass = _Request
    parsed: HttpRequest | None = None

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.server.http_server.idle_connections.add(self)

    def communicate(self) -> bool:
        """Reads a request; returns whether cheroot keeps the connection."""
        is_kept = bool(super().communicate())
        if self.parsed is None:
            self.server.http_server.reading_connections.discard(self)
        return is_kept

    def close(self) -> None:
        """Passes a parsed request to the event loop, else closes."""
        parsed, self.parsed = self.parsed, None
        if parsed is None:
            self.server.http_server.idle_connections.discard(self)
            self.server.http_server.reading_connections.discard(self)
            super().close()
        else:
            self.server.http_server.start_handler(self, parsed)


def _is_readable(sock: socket.socket) -> bool:
    """Returns whether a read or accept would return at once."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def _has_input(connection: _Connection) -> bool:
    """Returns whether bytes of a client wait to be read."""
    try:
        # The socket has a timeout, so that a read of nothing would wait.
        if not _is_readable(connection.socket):
            return False
        return bool(connection.socket.recv(1, socket.MSG_PEEK))
    except (OSError, ValueError):
        # A worker has closed it meanwhile.
        return False


class _Gateway(server.Gateway):
    """Reads the body and stores the parsed request in the connection."""

    def respond(self) -> None:
        """Stores the parsed request, or sends an error response."""
        request = self.req
        try:
            body = _read_body(request)
        except cheroot_errors.MaxSizeExceeded:
            request.simple_response("413 Request Entity Too Large", "too large")
            return
        except (ValueError, OSError):
            request.simple_response("400 Bad Request", "body not readable")
            return
        if body is None:
            request.simple_response("400 Bad Request", "body cut short")
            return
        request.conn.parsed = _to_http_request(request, body)
        request.sent_headers = True
        # Makes the worker call _Connection.close, which detaches it.
        request.close_connection = True


def _read_body(request: Any) -> bytes | None:
    """Returns the body, None if it is shorter than its Content-Length."""
    body = request.rfile.read()
    content_length = request.inheaders.get(b"Content-Length")
    if content_length is not None and len(body) < int(content_length):
        return None
    return body


def _to_http_request(request: Any, body: bytes) -> HttpRequest:
    header_by_name = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.inheaders.items()
    }
    header_by_name[":version"] = request.request_protocol.decode("ascii")
    if request.close_connection:
        header_by_name[":close"] = "1"
    return HttpRequest(
        request.method.decode("ascii"),
        request.path.decode("latin-1"),
        request.qs.decode("latin-1"),
        header_by_name,
        body,
    )


class _CherootServer(server.HTTPServer):
    """A cheroot server with a reference to the owning HttpServer."""

    ConnectionClass = _Connection
    http_server: "HttpServer"

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Forwards cheroot's messages to the log."""
        del level
        if traceback:
            logging.warning("http: %s", msg)
        else:
            logging.debug("http: %s", msg)


class HttpServer:
    """A cheroot server whose handlers run as tasks in the event loop.

    Attributes:
        is_draining: Whether connections are closed after their next response.
        idle_connections: Connections on which no request has begun. Threads of
            cheroot change it, as the next one.
        reading_connections: Connections whose request is being read, or waits
            for its handler.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int = _WORKER_THREADS,
        max_body_bytes: int = _MAX_BODY_BYTES,
    ):
        host, _, port = address.rpartition(":")
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._cheroot = _CherootServer(
            (host, int(port)), _Gateway, minthreads=threads, maxthreads=threads
        )
        self._cheroot.http_server = self
        self._cheroot.max_request_header_size = _MAX_HEADER_BYTES
        self._cheroot.max_request_body_size = max_body_bytes
        self._cheroot.timeout = _IDLE_TIMEOUT_S
        self._cheroot.shutdown_timeout = _SHUTDOWN_TIMEOUT_S
        self._cheroot.request_queue_size = _ACCEPT_BACKLOG
        self._thread: threading.Thread | None = None
        self.is_draining = False
        self.idle_connections: set[_Connection] = set()
        self.reading_connections: set[_Connection] = set()

    @property
    def address(self) -> str:
        """The bound "ip:port"."""
        host, port = self._cheroot.bind_addr[:2]
        return format_address(host, port)

    async def start(self) -> None:
        """Binds the address and starts the thread that accepts connections."""
        await self._loop.run_in_executor(None, self._cheroot.prepare)
        self._thread = threading.Thread(
            target=self._cheroot.serve, name="http-accept", daemon=True
        )
        self._thread.start()

    def note_reading(self, connection: "_Connection") -> None:
        """Records that a request has begun; called by worker threads."""
        self.reading_connections.add(connection)
        self.idle_connections.discard(connection)

    def has_unread_requests(self) -> bool:
        """Returns whether a connection may hold a request without handler."""
        return (
            bool(self.reading_connections)
            or self._has_backlog()
            or any(_has_input(each) for each in list(self.idle_connections))
        )

    def _has_backlog(self) -> bool:
        """Returns whether a connection waits to be accepted."""
        listening_socket = self._cheroot.socket
        if listening_socket is None or listening_socket.fileno() < 0:
            return False
        return _is_readable(listening_socket)

    async def stop(self) -> None:
        """Stops accepting connections, then cancels running handlers."""
        await self._loop.run_in_executor(None, self._cheroot.stop)
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    def start_handler(
        self, connection: _Connection, request: HttpRequest
    ) -> None:
        """Starts the handler's task; called by worker threads."""
        self._loop.call_soon_threadsafe(self._start_task, connection, request)

    def _start_task(
        self, connection: _Connection, request: HttpRequest
    ) -> None:
        task = self._loop.create_task(self._run_handler(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_handler(
        self, connection: _Connection, request: HttpRequest
    ) -> None:
        self.reading_connections.discard(connection)
        sock = connection.socket
        sock.setblocking(False)
        exchange = Exchange(request, sock)
        exchange.keep_alive = (
            ":close" not in request.header_by_name and not self.is_draining
        )
        is_complete = False
        try:
            await self._handler(exchange)
            is_complete = True
        except OSError:
            # The client disconnected, so no response can be sent.
            pass
        except Exception:
            logging.exception("handler of %s raised an exception", request.path)
        finally:
            self._release(connection, exchange, is_complete)

    def _release(
        self, connection: _Connection, exchange: Exchange, is_complete: bool
    ) -> None:
        """Returns the connection to cheroot or closes it."""
        if is_complete and exchange.keep_alive and self._cheroot.ready:
            connection.socket.settimeout(self._cheroot.timeout)
            self.idle_connections.add(connection)
            self._cheroot.put_conn(connection)
        else:
            connection.close()
