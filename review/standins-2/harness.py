"""Stand-ins of the platform, and node processes, for the scripts of review/.

Standard library only. The store, the runners and the clients live in the
process of the script; nodes are processes of their own, started with the
command of the deploy file. Every address is a loopback address.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-of-acme"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# Bounds of the small deployments.
SETTINGS = """role=router
machine_class=edge
serves=edge
region=ee-south
internal_ports=7340,7355
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.seed_lag_s=3
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
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=12
platform.append_ms=2.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
"""


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._begun_s = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self._begun_s:8.3f} s  {text}\n"
        with self._path.open("a") as file:
            file.write(line)
        sys.stdout.write(line)
        sys.stdout.flush()


class Message:
    """A request or a response head, and the body of a request."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Returns the next head, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_request(reader):
    """Returns the next request with its body, None at the end."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def response(status, headers=(), body=b"", reason="X"):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections; `serve` handles one."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self, host="127.0.0.1", port=0):
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=2**20
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def stop(self):
        """Closes the listener and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: a log with keyed topics, as PROTOCOL.md says.

    Attributes:
        answer_delay_s: Seconds before it answers a call, 0.004 as a rule.
        era: What all its answers name as Store-Era.
    """

    def __init__(self):
        super().__init__()
        self.answer_delay_s = 0.004
        self.era = 1
        self._records = {}
        self._changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Appends a record as the operator or a runner does."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        return await self._append(topic, [bytes([len(name)]) + name + body])

    async def delete(self, topic, key):
        return await self.put(topic, key, b"")

    async def _append(self, topic, records):
        async with self._changed:
            log = self._records.setdefault(topic, [])
            offset = len(log)
            log.extend(records)
            self._changed.notify_all()
        return offset

    def newest(self, topic):
        """Returns value and offset of the newest record of each key."""
        found = {}
        for offset, record in enumerate(self._records.get(topic, [])):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            found.pop(key, None)
            if value:
                found[key] = (value, offset)
        return found

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            path, _, query = request.target.partition("?")
            fields = dict(urllib.parse.parse_qsl(query))
            await asyncio.sleep(self.answer_delay_s)
            status, body = await self._call(path, fields, request.body)
            headers = (("Store-Era", str(self.era)),)
            writer.write(response(status, headers, body))
            await writer.drain()

    async def _call(self, path, fields, body):
        topic = fields.get("topic", "")
        if path == "/v1/log-append":
            return await self._handle_append(topic, fields, body)
        if path == "/v1/log-newest":
            return 200, self._page(topic, fields.get("after"))
        if path == "/v1/log-read":
            return await self._handle_read(topic, fields)
        return 404, b"{}"

    async def _handle_append(self, topic, fields, body):
        end = len(self._records.get(topic, []))
        if "at" in fields and int(fields["at"]) != end:
            return 412, json.dumps({"end_offset": end}).encode()
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            position += 4
            records.append(body[position : position + length])
            position += length
        offset = await self._append(topic, records)
        reply = {"offset": offset, "end_offset": offset + len(records)}
        return 200, json.dumps(reply).encode()

    def _page(self, topic, after):
        newest = sorted(self.newest(topic).items())
        rest = [each for each in newest if after is None or each[0] > after]
        entries = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in rest[:500]
        ]
        page = {
            "entries": entries,
            "has_more": len(rest) > 500,
            "end_offset": len(self._records.get(topic, [])),
        }
        return json.dumps(page).encode()

    async def _handle_read(self, topic, fields):
        start = int(fields["from"])
        wait_s = int(fields.get("wait_ms", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s or 0.001), self._changed:
                await self._changed.wait_for(
                    lambda: len(self._records.get(topic, [])) > start
                )
        records = self._records.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            body += struct.pack(">I", len(record)) + record
        return 200, body


class Runner(Server):
    """A sound runner; `run` answers what it accepts.

    Attributes:
        arrived: Ids and times of the requests that it accepted.
        is_leaving: Whether it leaves, and says so in its answers.
    """

    def __init__(self, name, service, zone="tartu-a", slots=6, version="v1"):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.version = slots, version
        self.state = "ready"
        self.arrived = []
        self.is_leaving = False
        self._sequence = 0
        self._born = int(time.time() * 1000)

    def entry(self):
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            if request.target == "/healthz":
                headers = (("X-Lycheegw-Instance-Id", self.name),)
                status = 503 if self.is_leaving else 200
                writer.write(response(status, headers))
                continue
            attempt = request.headers.get("x-lycheegw-attempt-id", "")
            expected = request.headers.get("x-lycheegw-expected-instance")
            if expected not in {None, self.name}:
                headers = (
                    ("X-Lycheegw-Not-Executed", "1"),
                    ("X-Lycheegw-Attempt-Id", attempt),
                )
                writer.write(response(421, headers))
                continue
            self.arrived.append((attempt, time.monotonic()))
            await self.run(request, attempt, writer)
            await writer.drain()
            if self.is_leaving:
                writer.close()
                return

    def signed(self, attempt):
        """Returns the headers of an answer."""
        headers = (
            ("X-Lycheegw-Attempt-Id", attempt),
            ("X-Lycheegw-Response-Signature", f"sig.{self.name}.{attempt}"),
        )
        if self.is_leaving:
            headers += (("Server-Leaving", "1"), ("Connection", "close"))
        return headers

    async def run(self, request, attempt, writer):
        await asyncio.sleep(0.03)
        body = f"{self.name} ran {attempt}".encode()
        writer.write(response(200, self.signed(attempt), body))


async def heartbeats(store, runners):
    """Writes the entries of the runners until cancelled."""
    while True:
        for runner in runners:
            await store.put("keyed.servers", runner.name, runner.entry())
        await asyncio.sleep(1.2)


class Node:
    """One node process.

    Attributes:
        name: Its name.
        front: Where clients connect.
    """

    def __init__(self, name, ip, folder, store_address, zone="tartu-a"):
        self.name, self.ip = name, ip
        self.front, self.ready = f"{ip}:8227", f"{ip}:8220"
        self.process = None
        self.stop_sent = False
        self._folder = pathlib.Path(folder)
        self._conf = self._folder / f"{name}.conf"
        self._conf.write_text(
            f"node_name={name}\nip={ip}\nzone={zone}\n"
            f"zones.{zone}=ee-south\n"
            f"listeners_map.front={self.front}\n"
            f"listeners_map.ready={self.ready}\n"
            f"platform.address={store_address}\n{SETTINGS}"
        )

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["router"]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LYCHEEGW_BOOT"] = str(self._conf)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, seconds=20.0):
        """Returns whether it says that it is ready within some seconds."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                answer = await asyncio.wait_for(
                    call(self.ready, "/v1/readyz"), 1.0
                )
                if answer.status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Answer:
    """What a client got; `status` is None if no head came."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers = status, headers
        self.body, self.is_whole = body, is_whole


def request_bytes(path, attempt, method="GET", body=b"", headers=()):
    fields = {
        "Host": HOST,
        "X-Lycheegw-Attempt-Id": attempt,
        "X-Lycheegw-Deadline-Ms": "12000",
        "Api-Key": KEY,
    }
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    fields.update(dict(headers))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


async def read_answer(reader):
    """Returns an answer read to its end or to where it broke off."""
    head = await read_head(reader)
    if head is None:
        return Answer(None, {}, b"", False)
    body, is_whole = b"", False
    try:
        if head.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            length = int(head.headers.get("content-length", "0"))
            body = await reader.readexactly(length)
        is_whole = True
    except asyncio.IncompleteReadError as error:
        body += error.partial
    except (ConnectionError, ValueError):
        pass
    return Answer(head.status, head.headers, body, is_whole)


_numbers = iter(range(10**9))


def new_attempt():
    return f"{random.getrandbits(40):010x}{next(_numbers):06d}"


async def call(address, path, attempt="", method="GET", body=b"", headers=()):
    """Sends one request on a channel of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            request_bytes(path, attempt or new_attempt(), method, body, headers)
        )
        return await read_answer(reader)
    finally:
        writer.transport.abort()


def route(name, prefix, kind, service, **more):
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 12000,
        "target_latency_ms": 4000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **more,
    }


def manifest(routes, services, version=1):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [{"name": "acme", "api_keys": [KEY]}],
    }


# Ports of a node; their numbers are the same on all machines.
NODE_PORTS = (8227, 8220, 7340, 9464)


def addresses(count):
    """Returns addresses of 127.0.0.0/8 at which the ports of nodes are free."""
    found = []
    for _ in range(100 * count):
        address = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.9"
        if address not in found and all(
            _is_free(address, port) for port in NODE_PORTS
        ):
            found.append(address)
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


def _is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
        return True


def run(main, record_path, has_trouble, limit_s=112.0):
    """Runs a case and exits: 0 the rule held, 1 broken, 2 it couldn't run.

    Args:
        main: Coroutine function; gets a record, a temporary folder and whether
            there is trouble, and a list for the nodes that it starts. Returns
            whether the rule was broken.
        record_path: Where the record is written.
        has_trouble: Whether the case disturbs anything.
        limit_s: Longest time that it may take.
    """
    record = Record(record_path)
    nodes = []

    async def guarded(temporary):
        try:
            async with asyncio.timeout(limit_s):
                return await main(record, temporary, has_trouble, nodes)
        finally:
            for node in nodes:
                await node.kill()

    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(guarded(pathlib.Path(temporary)))
        except Exception as error:  # The case couldn't run.
            record.note(f"the case couldn't run: {error!r}")
            sys.exit(EXIT_NOT_RUN)
        if os.environ.get("KEEP_LOGS"):
            for each in pathlib.Path(temporary).glob("*.log"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / each.name).write_bytes(
                    each.read_bytes()
                )
    record.note(f"trouble: {has_trouble}; rule broken: {is_broken}")
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
