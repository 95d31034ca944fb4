"""Stand-ins of the platform for the review's scripts.

They need nothing but the standard library: the store with its drill, runners,
clients, and the node processes. Every address is a loopback address.
"""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
BOUNDS = """bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_skew_ms=5000
bounds.revoke_everywhere=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.9
bounds.budget_window_s=10
bounds.retry_slack=54
bounds.exposure_share=0.15
bounds.exposure_slack=30
bounds.rollback_ms=5000
bounds.cold_overage=1.5
bounds.cold_slack=5
bounds.evacuate_ms=5000
bounds.recover_s=12
bounds.event_deadline_ms=120
bounds.reuse_window_s=10
bounds.session_s=5
"""


class CannotRunError(Exception):
    """The case could not be played."""


class Journal:
    """Writes the record of a run, one JSON object a line."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begun_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._begun_s

    def note(self, event, **fields):
        line = {"at_s": round(self.now_s(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def text(self, line):
        self._file.write(f"# {line}\n")
        self._file.flush()


class Message:
    """A request as a server reads it."""

    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body


async def read_head(reader):
    """Returns the first line and the fields, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def read_request(reader):
    """Returns the next request of a channel, or None at its end."""
    found = await read_head(reader)
    if found is None:
        return None
    first, fields = found
    method, target, _ = first.split(" ", 2)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(method, target, fields, body)


def answer(status, fields, body):
    """Returns a whole answer with a length."""
    head = f"HTTP/1.1 {status} Status\r\n"
    for name, value in {**fields, "Content-Length": len(body)}.items():
        head += f"{name}: {value}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


class Server:
    """An HTTP/1.1 server on a loopback address."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, ip="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._accept, ip, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        self._writers.discard(writer)
        self._tasks.discard(task)
        writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def reset_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.reset_all()


class _Stored:
    """A record of the store: who wrote it, and when."""

    def __init__(self, key, value, writer, at_s):
        self.key = key
        self.value = value
        self.writer = writer
        self.at_s = at_s

    def encode(self):
        name = self.key.encode()
        return bytes([len(name)]) + name + (self.value or b"")


class Store(Server):
    """The platform's store, as far as keyed topics with one partition go.

    Attributes:
        era: Number of the copy that it runs from (header Store-Era).
        is_away: Whether it resets every channel.
        calls: Calls answered, by path.
    """

    def __init__(self, journal, reads_per_s=2000, writes_per_s=400):
        super().__init__()
        self.era = 1
        self.is_away = False
        self.calls = collections.Counter()
        self._journal = journal
        self._records = collections.defaultdict(list)
        self._changed = asyncio.Condition()
        self._limit = {False: reads_per_s, True: writes_per_s}
        self._made = {False: collections.deque(), True: collections.deque()}
        self.turned_away = 0

    # What the operator and the runners do.

    async def put(self, topic, key, value, writer):
        """Appends a record; None deletes the key. Returns its offset."""
        if self.is_away:
            raise ConnectionError("the store is away")
        return await self._append(topic, key, value, writer)

    def end(self, topic):
        return len(self._records[topic])

    def current(self, topic):
        """Returns the newest record of each key that exists, by key."""
        newest = {each.key: each for each in self._records[topic]}
        return {key: each for key, each in newest.items() if each.value}

    async def drill(self, away_s, copy_age_s):
        """Is away for a moment and comes back from an older copy."""
        before = {topic: len(each) for topic, each in self._records.items()}
        begun_s = time.monotonic()
        self.is_away = True
        self.reset_all()
        await asyncio.sleep(away_s)
        until_s = begun_s - copy_age_s
        for records in self._records.values():
            records[:] = [each for each in records if each.at_s <= until_s]
        self.era += 1
        self.is_away = False
        self._journal.note(
            "store_back",
            era=self.era,
            copy_age_s=copy_age_s,
            away_s=away_s,
            ends_before=before,
            ends_now={name: len(each) for name, each in self._records.items()},
        )

    # What the system calls.

    async def serve(self, reader, writer):
        while True:
            message = await read_request(reader)
            if message is None:
                return
            if self.is_away:
                writer.transport.abort()
                return
            status, body = await self._handle(message)
            if self.is_away:
                writer.transport.abort()
                return
            writer.write(answer(status, {"Store-Era": self.era}, body))
            await writer.drain()

    async def _handle(self, message):
        path, _, text = message.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        is_write = message.method == "POST"
        if not self._is_within_rate(is_write):
            self.turned_away += 1
            return 429, b"{}"
        self.calls[path] += 1
        topic = query.get("topic", "")
        if query.get("part", "0") != "0":
            return 404, b"{}"
        if path == "/v1/log-append":
            return await self._handle_append(topic, query, message.body)
        if path == "/v1/log-newest":
            return 200, self._page(topic)
        if path == "/v1/log-read":
            return await self._handle_read(topic, query)
        return 404, b"{}"

    def _is_within_rate(self, is_write):
        now_s, made = time.monotonic(), self._made[is_write]
        while made and made[0] < now_s - 1:
            made.popleft()
        if len(made) >= self._limit[is_write]:
            return False
        made.append(now_s)
        return True

    async def _handle_append(self, topic, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        end = len(self._records[topic])
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end_offset": end}).encode()
        position, first = 0, end
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            data = body[position + 4 : position + 4 + length]
            position += 4 + length
            key = data[1 : 1 + data[0]].decode()
            await self._append(topic, key, data[1 + data[0] :], "system")
        end = len(self._records[topic])
        return 200, json.dumps({"offset": first, "end_offset": end}).encode()

    async def _append(self, topic, key, value, writer):
        async with self._changed:
            records = self._records[topic]
            records.append(
                _Stored(key, value or None, writer, time.monotonic())
            )
            self._changed.notify_all()
            return len(records) - 1

    def _page(self, topic):
        records = self._records[topic]
        offset_by_key = {each.key: at for at, each in enumerate(records)}
        entries = [
            {
                "key": key,
                "value": base64.b64encode(each.value).decode(),
                "offset": offset_by_key[key],
            }
            for key, each in sorted(self.current(topic).items())
        ]
        return json.dumps(
            {
                "entries": entries,
                "has_more": False,
                "end_offset": len(records),
            }
        ).encode()

    async def _handle_read(self, topic, query):
        start, era = int(query["from"]), self.era
        if start > len(self._records[topic]):
            # An offset that it doesn't have.
            return 410, json.dumps({"first_offset": 0}).encode()
        wait_s = int(query.get("wait_ms", "0")) / 1000
        if wait_s:
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(
                        lambda: len(self._records[topic]) > start
                        or self.era != era
                    )
        records = self._records[topic]
        if start > len(records):
            return 410, json.dumps({"first_offset": 0}).encode()
        body = struct.pack(">QQ", len(records), 0)
        for each in records[start:]:
            data = each.encode()
            body += struct.pack(">I", len(data)) + data
        return 200, body


class Runner(Server):
    """A runner of a service, with its status reports to the store.

    Attributes:
        name: Its id.
        ran: Requests that it ran: (id, tenant, path, monotonic second).
    """

    def __init__(self, name, service, zone, store, journal, version="v1"):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.state = "ready"
        self.work_s = 0.01
        self.born = int(time.time() * 1000)
        self.ran = []
        self._store = store
        self._journal = journal
        self._sequence = 0
        self._reports = None

    async def start(self, ip="127.0.0.1", port=0):
        await super().start(ip, port)
        await self.report()
        self._reports = asyncio.create_task(self._report_each_interval())

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 16,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def report(self):
        self._sequence += 1
        value = json.dumps(self.entry()).encode()
        await self._store.put("keyed.servers", self.name, value, self.name)

    async def _report_each_interval(self, heartbeat_s=1.2):
        while True:
            await asyncio.sleep(heartbeat_s)
            while True:
                try:
                    await self.report()
                    break
                except ConnectionError:
                    await asyncio.sleep(0.2)

    async def leave_unreported(self):
        """Its entry is removed; it goes on serving and reports no more."""
        self._reports.cancel()
        await self._store.put("keyed.servers", self.name, None, self.name)

    async def stop(self):
        if self._reports is not None:
            self._reports.cancel()
        await super().stop()

    async def serve(self, reader, writer):
        while True:
            message = await read_request(reader)
            if message is None:
                return
            if not await self._serve_one(message, reader, writer):
                return

    async def _serve_one(self, message, reader, writer):
        """Answers a request; returns whether the channel is kept."""
        fields = message.fields
        request_id = fields.get("x-lycheegw-attempt-id", "")
        if message.target == "/healthz" and not request_id:
            status = 200 if self.state == "ready" else 503
            head = {"X-Lycheegw-Instance-Id": self.name}
            writer.write(answer(status, head, b""))
            await writer.drain()
            return True
        if fields.get("x-lycheegw-expected-instance", self.name) != self.name:
            head = {
                "X-Lycheegw-Not-Executed": "1",
                "X-Lycheegw-Attempt-Id": request_id,
            }
            writer.write(answer(421, head, b""))
            await writer.drain()
            return True
        self.ran.append(
            (
                request_id,
                fields.get("x-lycheegw-tenant", ""),
                message.target,
                time.monotonic(),
            )
        )
        self._journal.note(
            "ran",
            runner=self.name,
            id=request_id,
            tenant=fields.get("x-lycheegw-tenant", ""),
            path=message.target,
        )
        return await self.run(message, request_id, writer)

    def answer_fields(self, request_id):
        return {
            "X-Lycheegw-Attempt-Id": request_id,
            "X-Lycheegw-Response-Signature": f"{self.name}.{request_id}",
            "X-Lycheegw-Instance-Load": "1,0,16",
        }

    async def run(self, message, request_id, writer):
        await asyncio.sleep(self.work_s)
        body = f"{self.name} ran {request_id}".encode()
        head = {**self.answer_fields(request_id), "Keep-Alive": "timeout=5"}
        writer.write(answer(200, head, body))
        await writer.drain()
        return True


class Reply:
    """What a client got; status 0 is a channel that ended without a head."""

    def __init__(self, status, fields, body, is_whole):
        self.status = status
        self.fields = fields
        self.body = body
        self.is_whole = is_whole


_NUMBERS = itertools.count(1)


def new_id():
    return f"{os.getpid():x}-{next(_NUMBERS):06x}"


async def send(
    address, path, key, request_id, method="GET", body=b"", more=None, limit_s=3
):
    """Sends one request on a new channel and reads the answer to its end."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {
                "Host": HOST,
                "X-Lycheegw-Attempt-Id": request_id,
                "X-Lycheegw-Deadline-Ms": int(limit_s * 1000),
                "Api-Key": key,
                "Content-Length": len(body),
                "Connection": "close",
                **(more or {}),
            }
            head = "".join(f"{name}: {val}\r\n" for name, val in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode())
            writer.write(body)
            return await _read_reply(reader)
    except (OSError, TimeoutError, asyncio.TimeoutError):
        return Reply(0, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()


async def _read_reply(reader):
    found = await read_head(reader)
    if found is None:
        return Reply(0, {}, b"", False)
    first, fields = found
    reply = Reply(int(first.split()[1]), fields, b"", False)
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.strip(), 16)
                chunk = await reader.readexactly(size)
                await reader.readexactly(2)
                reply.body += chunk
                if not size:
                    break
        else:
            length = int(fields.get("content-length", "0"))
            reply.body = await reader.readexactly(length)
        reply.is_whole = True
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    return reply


def free_network():
    """Returns three bytes of a loopback network whose ports are free."""
    for _ in range(50):
        numbers = os.urandom(2)
        network = f"127.{numbers[0] % 200 + 20}.{numbers[1] % 250 + 2}"
        with contextlib.suppress(OSError):
            for port in (8220, 8222, 7340, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
            return network
    raise CannotRunError("no free loopback network")


class Node:
    """A node: the program of the deploy file as a process of its own."""

    def __init__(self, number, network, zone, zones, store, folder):
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"{network}.{number}"
        self.front = f"{self.ip}:8222"
        self.ready = f"{self.ip}:8220"
        self.process = None
        self._settings = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        names = "".join(f"zones.{each}=region-1\n" for each in zones)
        self._settings.write_text(
            f"node_name={self.name}\nrole=router\nmachine_class=edge\n"
            f"serves=edge\nip={self.ip}\nzone={zone}\nregion=region-1\n{names}"
            f"listeners_map.front={self.front}\n"
            f"listeners_map.ready={self.ready}\n"
            f"listeners_map.control={self.ip}:8229\n"
            "internal_ports=7340,7355\nseeds=\nbootstrap=true\n"
            "loss_counts=false\nlimits.memory_mb=300\nlimits.max_fds=4100\n"
            "limits.cores=2\nlimits.cpu_share=0.537\n"
            "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
            "fault_tolerance.machines=1\nfault_tolerance.zones=1\n"
            f"{BOUNDS}"
            f"platform.address={store}\nplatform.form=log\n"
            "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
            "platform.parts=12\nplatform.keep_s=300\n"
        )

    async def start(self):
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LYCHEEGW_BOOT": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "lycheegw.platform.main",
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def is_ready(self):
        reply = await send(self.ready, "/v1/readyz", "", new_id(), limit_s=0.5)
        return reply.status == 200

    async def end(self):
        if self.is_running():
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def log_events(self, *names):
        """Returns the lines of its log with one of these events."""
        found = []
        if self._log.exists():
            for line in self._log.read_text(errors="replace").splitlines():
                with contextlib.suppress(ValueError):
                    fields = json.loads(line)
                    if fields.get("event") in names:
                        found.append(fields)
        return found


async def wait_until(condition, limit_s, what):
    """Waits for a condition, which may be a coroutine function."""
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f"{what} not seen within {limit_s} s")


async def start_nodes(nodes, limit_s=20):
    """Starts nodes and waits until all of them are ready."""
    for node in nodes:
        await node.start()

    async def are_ready():
        return all([await node.is_ready() for node in nodes])

    await wait_until(are_ready, limit_s, "readiness of all nodes")


def route(name, prefix, kind, service, **more):
    """Returns a route of a manifest."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 3,
        "public": False,
        **more,
    }


def manifest(version, routes, services, keys_by_tenant):
    """Returns a manifest."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": keys, "priority": 1}
            for name, keys in keys_by_tenant.items()
        ],
    }


# Exit code of a case whose rule was broken; Python's own errors exit with 1.
EXIT_BROKEN = 10
_LIMIT_S = 105


def main(case):
    """Runs a case; exits with 0 if the rule held, 2 if it could not run.

    The path of the record is the argument of the program.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    journal = Journal(sys.argv[1])
    journal.text(f"trouble: {'yes' if has_trouble else 'no'}")

    async def run():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # The case ends its processes as it is cancelled.
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(_LIMIT_S):
            return await case(journal, has_trouble)

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        journal.text(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    journal.text("the rule was broken" if is_broken else "the rule held")
    sys.exit(EXIT_BROKEN if is_broken else 0)
