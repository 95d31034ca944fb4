"""Stand-ins for the platform's store, upstreams and clients.

They implement the platform's protocol independently of the adapter under
test. Tests set attributes of them to cause faults.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import json
import math
import struct
import time
from typing import Any
from typing import NamedTuple
import urllib.parse

from lycheegw.state import forwarded_requests
from lycheegw.state import routing
from lycheegw.transport import ingress

API_KEY = "key-of-acme"
# A request body that crashes the upstream that runs it.
CRASHING_BODY = b"poison"
HOST = "desk.example"
# Interval at which a slow link passes the next bytes.
_LINK_STEP_S = 0.02


def _create_server(
    handle: Callable[[ingress.Exchange], Any],
) -> ingress.IngressServer:
    return ingress.IngressServer(
        "127.0.0.1:0", handle, routing.CallerLimits, lambda *_: None
    )


async def _respond(
    exchange: ingress.Exchange,
    status: int,
    body: bytes = b"",
    headers: forwarded_requests.Headers = (),
) -> None:
    await exchange.send(forwarded_requests.LocalResponse(status, headers, body))


class Store:
    """Store with keyed topics.

    Attributes:
        calls: Number of calls of each path.
        fault: "", "busy" (503), "reset" or "silent".
        lost_appends: Number of next appends that get no response.
        silent_reads: Number of next reads of changes that get no response, by
            topic.
        first_offset: Offset of the oldest readable record, by topic.
        bytes_per_s: Rate at which the links to it pass responses.
        read_delay_s: Seconds before it responds to a read of changes.
        era: Number of the backup that it runs from, 0 for a store that names
            none in its replies.
    """

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.bytes_per_s = math.inf
        self.read_delay_s = 0.0
        self.fault = ""
        self.lost_appends = 0
        self.era = 0
        self.silent_reads: dict[str, int] = {}
        self.first_offset: dict[str, int] = {}
        self._records: dict[str, list[bytes]] = {}
        self._changed = asyncio.Condition()
        self._server = _create_server(self._handle)

    @property
    def address(self) -> str:
        return self._server.address

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        await self._server.stop()

    async def put(self, topic: str, key: str, value: Any) -> None:
        """Appends a record, as the operator or an upstream would."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        await self._append(topic, bytes([len(name)]) + name + body)

    async def delete(self, topic: str, key: str) -> None:
        await self._append(topic, bytes([len(key)]) + key.encode())

    def end_offset(self, topic: str) -> int:
        """Returns the offset of the next record."""
        return len(self._records.get(topic, []))

    def newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key."""
        values = {}
        for record in self._records.get(topic, []):
            size = record[0]
            values[record[1 : 1 + size].decode()] = record[1 + size :]
        return {key: value for key, value in values.items() if value}

    def backup(self) -> dict[str, int]:
        """Returns the number of records of each topic."""
        return {topic: len(each) for topic, each in self._records.items()}

    async def restore(self, backup: dict[str, int]) -> None:
        """Is away for a moment and comes back without later records."""
        self.fault = "reset"
        await asyncio.sleep(0.3)
        async with self._changed:
            for topic, records in self._records.items():
                del records[backup.get(topic, 0) :]
            self.era += 1
            self._changed.notify_all()
        self.fault = ""

    async def _append(self, topic: str, record: bytes) -> int:
        async with self._changed:
            records = self._records.setdefault(topic, [])
            records.append(record)
            self._changed.notify_all()
            return len(records) - 1

    async def _handle(self, exchange: ingress.Exchange) -> None:
        path, _, query_text = exchange.incoming.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.fault == "busy":
            await _respond(exchange, 503)
        elif self.fault == "reset":
            exchange.abort()
        elif self.fault == "silent":
            await asyncio.sleep(60)
        else:
            await self._handle_call(exchange, path, query)

    async def _handle_call(
        self, exchange: ingress.Exchange, path: str, query: dict[str, str]
    ) -> None:
        topic = query["topic"]
        if path == "/v1/log-append":
            await self._handle_append(exchange, topic, query)
        elif path == "/v1/log-newest":
            await self._send_page(exchange, self._newest_page(topic))
        elif path == "/v1/log-read":
            await self._handle_read(exchange, topic, query)
        else:
            await _respond(exchange, 404)

    async def _handle_append(
        self, exchange: ingress.Exchange, topic: str, query: dict[str, str]
    ) -> None:
        end = len(self._records.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            body = json.dumps({"end_offset": end}).encode()
            await self._respond(exchange, 412, body)
            return
        offset = await self._append(topic, exchange.incoming.body[4:])
        if self.lost_appends:
            self.lost_appends -= 1
            exchange.abort()
            return
        body = json.dumps({"offset": offset, "end_offset": offset + 1})
        await self._respond(exchange, 200, body.encode())

    async def _respond(
        self, exchange: ingress.Exchange, status: int, body: bytes
    ) -> None:
        await _respond(exchange, status, body, self._headers())

    def _headers(self) -> forwarded_requests.Headers:
        if not self.era:
            return ()
        return ((b"Store-Era", str(self.era).encode()),)

    def _newest_page(self, topic: str) -> bytes:
        records = self._records.get(topic, [])
        offset_by_key = {}
        for offset, record in enumerate(records):
            offset_by_key[record[1 : 1 + record[0]].decode()] = offset
        entries = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset_by_key[key],
            }
            for key, value in self.newest(topic).items()
        ]
        page = {
            "entries": entries,
            "has_more": False,
            "end_offset": len(records),
        }
        return json.dumps(page).encode()

    async def _handle_read(
        self, exchange: ingress.Exchange, topic: str, query: dict[str, str]
    ) -> None:
        if self.silent_reads.get(topic, 0):
            self.silent_reads[topic] -= 1
            await asyncio.sleep(60)
        start = int(query["from"])
        first = self.first_offset.get(topic, 0)
        if not first <= start <= self.end_offset(topic):
            body = json.dumps({"first_offset": first}).encode()
            await self._respond(exchange, 410, body)
            return
        era = self.era
        await asyncio.sleep(self.read_delay_s)
        wait_s = int(query.get("wait_ms", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s or 0.001), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        len(self._records.get(topic, [])) > start
                        or self.era != era
                    )
                )
        if self.era != era:
            # Calls that were open when the store went away end with it.
            exchange.abort()
            return
        records = self._records.get(topic, [])
        body = struct.pack(">QQ", len(records), first)
        for record in records[start:]:
            body += struct.pack(">I", len(record)) + record
        await self._send_page(exchange, body)

    async def _send_page(self, exchange: ingress.Exchange, body: bytes) -> None:
        """Sends a response at the rate of the link."""
        if self.bytes_per_s == math.inf:
            await self._respond(exchange, 200, body)
            return
        await exchange.start(200, self._headers(), len(body))
        size = int(self.bytes_per_s * _LINK_STEP_S)
        for begin in range(0, len(body), size):
            await asyncio.sleep(_LINK_STEP_S)
            await exchange.write(body[begin : begin + size])
        await exchange.finish()


class ReceivedRequest(NamedTuple):
    """A request that an upstream accepted, at a monotonic second."""

    upstream: str
    target: str
    header_by_name: dict[str, str]
    body: bytes
    received_s: float


class FaultyResponse(NamedTuple):
    """A response that an upstream sends in the place of its own.

    Attributes:
        name: Name in records.
        has_run: Whether the upstream runs the request before.
        send: Sends it; called with the exchange, the name of the upstream and
            the id of the attempt.
        is_answer: Whether it is the whole answer of a request that ran.
    """

    name: str
    has_run: bool
    send: Callable[[ingress.Exchange, str, str], Awaitable[None]]
    is_answer: bool = False


class Upstream:
    """Upstream of a service with or without models.

    Attributes:
        seen: Requests accepted by all upstreams that share the list.
        status: Status of responses.
        is_full: Whether it rejects requests.
        delay_s: Seconds before it responds.
        break_at_event: Number of the event in which it breaks a stream, once.
        silence_s: Seconds for which it is silent in the middle of a stream.
        slot_count: Requests that it runs at a time, rejecting others, or None.
        crash_part: Id of the prompt part on which it crashes once it begins
            to answer, or None.
        on_crash: Called after such a crash.
        confidence: Confidence that it reports, by model.
        extra_answer: Bytes that it writes before its response to each request
            but the first on a connection.
        announced: Headers that it adds to all its responses.
        choose_fault: Returns the response to send in the place of its own to an
            attempt with an id, or None.
        answered_ids: Ids of the requests that it answered whole with 200.
        received_s: Monotonic seconds at which requests reached it, including
            those that it rejected.
        received_ids: Ids of these requests.
        rejected_s: Monotonic seconds at which it rejected requests for want of
            room.
        rejected_ids: Ids of these requests.
    """

    def __init__(
        self, name: str, seen: list[ReceivedRequest], version: str = "v1"
    ):
        self.name = name
        self.version = version
        self.seen = seen
        self.status = 200
        self.is_full = False
        self.delay_s = 0.0
        self.break_at_event: int | None = None
        self.silence_s = 0.0
        self.slot_count: int | None = None
        self.rejected_s: list[float] = []
        self.crash_part: str | None = None
        self.on_crash: Callable[[Upstream], None] = lambda _: None
        self.loses_answers = False
        self.extra_answer = b""
        self.confidence: dict[str, int] = {}
        self.cancelled_count = 0
        self.announced: forwarded_requests.Headers = ()
        self.choose_fault: Callable[[str], FaultyResponse | None] = lambda _: (
            None
        )
        self.answered_ids: set[str] = set()
        self.received_s: list[float] = []
        self.received_ids: list[str] = []
        self.rejected_ids: list[str] = []
        self._running = 0
        self._server = _create_server(self._handle)

    @property
    def address(self) -> str:
        return self._server.address

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        await self._server.stop()

    def entry(self, service: str, **changes: Any) -> dict[str, Any]:
        """Returns the entry that the upstream writes to the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "z-a",
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1000,
            **changes,
        }

    async def _handle(self, exchange: ingress.Exchange) -> None:
        incoming = exchange.incoming
        headers = {
            name.decode().lower(): value.decode()
            for name, value in incoming.headers
        }
        if incoming.target == b"/healthz":
            instance = ((b"X-Lycheegw-Instance-Id", self.name.encode()),)
            await _respond(exchange, 200, b"", (*instance, *self.announced))
            return
        self.received_s.append(time.monotonic())
        self.received_ids.append(headers.get("x-lycheegw-attempt-id", ""))
        rejection = (
            (b"X-Lycheegw-Not-Executed", b"1"),
            (
                b"X-Lycheegw-Attempt-Id",
                headers.get("x-lycheegw-attempt-id", "").encode(),
            ),
            *self.announced,
        )
        if headers.get("x-lycheegw-expected-instance") != self.name:
            await _respond(exchange, 421, b"", rejection)
            return
        is_full = self.slot_count is not None and self._running >= (
            self.slot_count
        )
        if self.is_full or is_full:
            self.rejected_s.append(time.monotonic())
            self.rejected_ids.append(self.received_ids[-1])
            await _respond(exchange, 503, b"", rejection)
            return
        faulty = self.choose_fault(self.received_ids[-1])
        if faulty is not None and not faulty.has_run:
            await faulty.send(exchange, self.name, self.received_ids[-1])
            return
        await self._accept(exchange, headers, faulty)

    async def _accept(
        self,
        exchange: ingress.Exchange,
        headers: dict[str, str],
        faulty: FaultyResponse | None,
    ) -> None:
        """Runs a request and responds, by a fault if there is one."""
        incoming = exchange.incoming
        target = incoming.target.decode()
        attempt_id = headers.get("x-lycheegw-attempt-id", "")
        self.seen.append(
            ReceivedRequest(
                self.name, target, headers, incoming.body, self.received_s[-1]
            )
        )
        if not incoming.is_first_on_connection:
            exchange._connection._transport.write(self.extra_answer)
        self._running += 1
        try:
            await asyncio.sleep(self.delay_s)
            if faulty is None:
                await self._run(exchange, headers)
                is_answer = self.status == 200
            else:
                await faulty.send(exchange, self.name, attempt_id)
                is_answer = faulty.is_answer
            if is_answer and exchange.is_finished:
                self.answered_ids.add(attempt_id)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        finally:
            self._running -= 1

    async def _run(
        self, exchange: ingress.Exchange, headers: dict[str, str]
    ) -> None:
        if exchange.incoming.body == CRASHING_BODY:
            await self._server.stop()
            return
        if self.loses_answers:
            exchange.abort()
            return
        answer = [
            (
                b"X-Lycheegw-Attempt-Id",
                headers["x-lycheegw-attempt-id"].encode(),
            ),
            (b"X-Lycheegw-Response-Signature", f"sig-{self.name}".encode()),
            (b"X-Lycheegw-Instance-Load", b"1,0,8"),
            *self.announced,
        ]
        model = headers.get("x-lycheegw-model")
        if model in self.confidence:
            confidence = str(self.confidence[model]).encode()
            answer.append((b"X-Lycheegw-Confidence", confidence))
        if exchange.incoming.target.startswith(b"/ask/"):
            await self._stream(exchange, headers, tuple(answer))
            return
        body = f"{self.name} ran {headers['x-lycheegw-attempt-id']}".encode()
        await _respond(exchange, self.status, body, tuple(answer))

    async def _stream(
        self,
        exchange: ingress.Exchange,
        headers: dict[str, str],
        answer: forwarded_requests.Headers,
    ) -> None:
        if self.status != 200:
            await _respond(exchange, self.status, b"bad", answer)
            return
        await exchange.start(200, answer, None)
        if self.crash_part is not None and has_part(headers, self.crash_part):
            await self._server.stop()
            self.on_crash(self)
            return
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, 6):
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            if self.break_at_event == number:
                self.break_at_event = None
                await exchange.write(event[:9])
                await asyncio.sleep(0.01)
                exchange.abort()
                return
            await exchange.write(event)
            if number == 3:
                await asyncio.sleep(self.silence_s)
        await exchange.finish()


def has_part(headers: dict[str, str], part_id: str) -> bool:
    """Returns whether a request's prompt has a part, not counting its last."""
    parts = headers.get("x-lycheegw-prompt-prefix", "").split(",")
    return part_id in [part.partition(":")[0].strip() for part in parts[:-1]]


def manifest(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a manifest with a route of each kind."""

    def route(name: str, prefix: str, kind: str, service: str, **more: Any):  # type: ignore[no-untyped-def]
        return {
            "name": name,
            "hostname": HOST,
            "path_prefix": prefix,
            "type": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "priority": 0,
            "service": service,
            "max_attempts": 3,
            "public": False,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("look", "/look/", "safe", "desk"),
            route("book", "/book/", "unsafe", "desk", max_attempts=1),
            route(
                "ask",
                "/ask/",
                "streaming",
                "llm",
                resumable=True,
                sticky=True,
                sizes=["small", "large"],
                target_gap_ms=300,
            ),
        ],
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_connections": 50},
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_connections": 100,
                "cold_start_s": 3.0,
                "cold_per_s": 8.0,
                "engine": {
                    "slots": 8,
                    "kv_capacity": 100000,
                    "models": [
                        {"name": "small", "cost": 0.01},
                        {"name": "large", "cost": 0.1},
                    ],
                },
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": "acme", "api_keys": [API_KEY], "priority": 1}],
        **changes,
    }


class Reply(NamedTuple):
    """A response; `is_whole` is False if the connection broke."""

    status: int
    header_by_name: dict[str, str]
    body: bytes
    is_whole: bool


_ATTEMPT_NUMBERS = itertools.count()


async def send_request(
    address: str,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    leave_after_s: float | None = None,
) -> Reply | None:
    """Sends a request on a new connection.

    Returns None if the client disconnected after `leave_after_s`.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = {
        "Host": HOST,
        "X-Lycheegw-Attempt-Id": f"attempt-{next(_ATTEMPT_NUMBERS)}",
        "X-Lycheegw-Deadline-Ms": "3000",
        "Api-Key": API_KEY,
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(headers or {}),
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
    try:
        if leave_after_s is not None:
            await asyncio.sleep(leave_after_s)
            return None
        return await read_reply(reader)
    finally:
        writer.close()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Returns a response; raises IncompleteReadError without a head."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    body, is_whole = b"", False
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        if fields.get("transfer-encoding") == "chunked":
            async for chunk in _read_chunks(reader):
                body += chunk
        else:
            body = await reader.readexactly(
                int(fields.get("content-length", "0"))
            )
        is_whole = True
    return Reply(int(first.split()[1]), fields, body, is_whole)


async def _read_chunks(reader: asyncio.StreamReader):  # type: ignore[no-untyped-def]
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield chunk
