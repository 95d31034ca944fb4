"""Runs the processes, stand-ins, callers and faults of one soak.

Nodes are separate processes. The store, the upstreams and the callers are
stand-ins in the process of the soak, and each node reaches the store through a
proxy of its own.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import json
import math
import os
import pathlib
import random
import signal
import time
from typing import Any
from typing import NamedTuple

from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.transport import connection_pool
from tests.platform import long_manifests
from tests.platform import platform_standins
from tests.soak import checker
from tests.soak import faulty_responses
from tests.soak import processes
from tests.soak import schedule

__all__ = ["Soak"]

_ZONES = ("z-a", "z-b")
_TOPICS = ("keyed.servers", "keyed.op")
# Where another writer leaves entries, and what they hold.
_MALFORMED_TOPICS = (
    "keyed.servers",
    "keyed.nodes",
    "keyed.status",
    "keyed.op",
    "keyed.blocked",
)
_MALFORMED_VALUES = (
    b"[" * 100_000,
    b'{"service":"desk","address":"127.0.0.1:99999","zone":"z-a","version":"v1"'
    b',"slots":8,"state":"ready","sequence":1}',
    b'{"service":"desk","address":"127.0.0.1:9","zone":"z-a","version":"v1"'
    b',"slots":' + b"9" * 400 + b',"state":"ready","sequence":1}',
    b'{"address":"127.0.0.1:\xc2\xb2","zone":"z-a"}',
    b'{"state":["completed"],"target":1e999}',
    b"\xff\xfe",
    b'{"status":"BLOCKED","revision":1e999,"at_s":' + b"9" * 400 + b"}",
)
# Interval at which upstreams write their entries.
_HEARTBEAT_S = 0.4
# Interval of the backups of the store, and how long they are kept.
_BACKUP_INTERVAL_S = 0.25
_BACKUPS_KEPT_S = 8.0
# Closures that a restore loses, of a zone without upstreams.
_LOST_CLOSURE = "evacuate/z-none"
_LOST_ORDERS = 5
_BAD_VERSION = "v2-bad"
# Time limit of a roll-out.
_ROLLOUT_S = 20.0
# Time for which a new upstream of the service with engines is cold.
_COLD_S = 3.0
# Interval at which the node processes are looked at.
_WATCH_S = 0.2
# Share of its requests that a faulty upstream answers wrongly.
_FAULTY_SHARE = (0.2, 0.8)
# Requests that reach one node at once while upstreams send without end, and the
# interval at which they do.
_BURST_REQUESTS = 80
_BURST_INTERVAL_S = 1.0
# Interval at which this process checks its own lag.
_TICK_S = 0.02
# Time for which an upstream serves after the store has confirmed that it
# leaves, beyond the bound.
_SERVES_ON_S = 3.0
# How long a slow process is stopped and runs, by turns.
_SLOW_STOP_S = 0.08
_SLOW_RUN_S = 0.02
# Pause between the end of a process and its next start.
_RESTART_S = 0.3
_START_TIMEOUT_S = 20.0
# Longer than the grace time, after which a process is killed.
_TERMINATE_TIMEOUT_S = 10.0
# Age from which callers use a key; longer than it takes to be known everywhere.
_KEY_USED_AFTER_S = 3.0
# Share of requests with a removed key.
_REMOVED_KEY_SHARE = 0.1
# Bounds of a caller's pause between two requests.
_CALLER_PAUSE_S = (0.0, 0.08)
# Longer than the time limit that callers send.
_CALL_TIMEOUT_S = 3.5
_CALLERS = 12
# Limits that upstreams announce, in requests per second.
_LIMITS_PER_S = (0.0, 0.1, 1.0, 1.5, 4.0)
# Second response to a request, which a later one gets before its own.
_EXTRA_REJECTION = (
    b"HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
# Routes by which the manifest grows, and the time between two of its changes in
# a row.
_ADDED_ROUTES = 1400
_SERIES_STEP_S = 0.3
# Pause that upstreams ask for.
_PAUSE_S = 2.0
# Time for which upstreams are silent in the middle of a stream.
_SILENCE_S = 1.2
# Part of prompts on which upstreams crash, its share of prompts once it comes,
# and the time after which a crashed upstream is replaced.
_CRASHING_PART = "dead"
_CRASHING_SHARE = 0.1
_REPLACE_S = 2.0


_FaultyResponse = platform_standins.FaultyResponse
_ChooseFault = Callable[[str], _FaultyResponse | None]


def _choose_none(attempt_id: str) -> _FaultyResponse | None:
    del attempt_id
    return None


class _Upstream(NamedTuple):
    """An upstream and the proxy at the address in its entry."""

    service: str
    zone: str
    standin: platform_standins.Upstream
    proxy: processes.Proxy


class _Arrivals(list[platform_standins.ReceivedRequest]):
    """Requests that upstreams accepted; each is recorded with its time."""

    def __init__(self, note: Callable[[str, str], None]):
        super().__init__()
        self._note = note

    def append(self, request: platform_standins.ReceivedRequest) -> None:
        attempt_id = request.header_by_name["x-lycheegw-attempt-id"]
        self._note(attempt_id, request.upstream)


class Soak:
    """One soak: processes, stand-ins, callers and a schedule of faults.

    Attributes:
        record: What callers and upstreams saw, and what the store confirmed.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        nodes: int,
        folder: pathlib.Path,
        *,
        restores: bool = False,
        source: str = "",
    ):
        """Creates a soak.

        Args:
            seed: Seed of the faults.
            seconds: Length of the load.
            nodes: Number of node processes.
            folder: Folder of the nodes' settings and logs.
            restores: Whether the store is restored from backups, besides.
            source: Folder of the code that nodes run, if not this tree's.
        """
        self.record = checker.Record()
        self.record.memory_mb = schedule.draw_memory_mb(seed)
        self._random = random.Random(seed)
        self._seconds = seconds
        faults = schedule.draw(seed, seconds)
        self._faults = [each for each in faults if each.kind != "crashing_part"]
        self._crashing_part_s = min(
            (each.at_s for each in faults if each.kind == "crashing_part"),
            default=math.inf,
        )
        self._store = platform_standins.Store()
        self._backups: list[tuple[float, dict[str, int]]] = []
        self._manifest: dict[str, Any] = {}
        self._closed_zone: str | None = None
        self._rollout: dict[str, Any] | None = None
        if restores:
            self._store.era = 1
            self._faults += schedule.draw_restores(seed, seconds)
            self._faults.sort()
        # Soaks may run at the same time: each has addresses, request ids and
        # names of upstreams of its own.
        pid = os.getpid()
        self._token = f"{pid:x}"
        network = f"127.{1 + pid % 250}.{pid // 250 % 250}"
        folder.mkdir(parents=True, exist_ok=True)
        self._nodes = [
            processes.Node(each, network, folder, source)
            for each in range(nodes)
        ]
        self._proxies: list[processes.Proxy] = []
        self._arrivals = _Arrivals(self._note_arrival)
        self._upstreams: dict[str, _Upstream] = {}
        self._is_zone_closed = False
        self._numbers = itertools.count()
        self._watched_pids: set[int] = set()
        self._state_by_name: dict[str, str] = {}
        self._keys: list[str] = []
        self._version = 0
        self._added_routes = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._failures: list[BaseException | None] = []
        self._started_s = time.monotonic()

    def _now_s(self) -> float:
        return time.monotonic() - self._started_s

    def _note_arrival(self, attempt_id: str, upstream: str) -> None:
        if attempt_id in self.record.sent_by_id:
            self.record.arrivals.append(
                checker.Arrival(attempt_id, upstream, self._now_s())
            )

    async def run(self) -> None:
        """Runs the soak to its end; ends all processes that it started."""
        await self._store.start()
        try:
            await self._start()
            self._started_s, offset_s = time.monotonic(), self._now_s()
            self._shift(offset_s)
            self._spawn(self._watch_lag())
            self._spawn(self._write_heartbeats())
            self._spawn(self._back_up_store())
            callers = [self._spawn(self._call()) for _ in range(_CALLERS)]
            await self._cause_faults()
            await asyncio.sleep(max(0.0, self._seconds - self._now_s()))
            for caller in callers:
                caller.cancel()
            self._record_offers()
        finally:
            await self._stop()
        if self._failures:
            raise RuntimeError("a task of the soak failed") from self._failures[
                0
            ]

    def _shift(self, offset_s: float) -> None:
        """Moves times recorded during the start before that of the load."""
        for times in (self.record.key_added_s, self.record.cold_until_s):
            for name, at_s in times.items():
                times[name] = at_s - offset_s

    async def _start(self) -> None:
        await self._rotate_keys()
        for service in ("desk", "desk", "llm", "llm"):
            for zone in _ZONES:
                await self._add_upstream(service, zone, 0.0)
        for number, node in enumerate(self._nodes):
            proxy = processes.Proxy(self._store.address)
            await proxy.start()
            self._proxies.append(proxy)
            node.write_settings(
                self._store.address,
                proxy.address,
                _ZONES[number % 2],
                int(self.record.memory_mb),
            )
            await self._start_node(node)
        await asyncio.gather(*(self._wait_ready(each) for each in self._nodes))

    async def _start_node(self, node: processes.Node) -> None:
        """Starts a node's process, unless another task is starting it."""
        await node.start()
        process = node.process
        if process is not None and process.pid not in self._watched_pids:
            self._watched_pids.add(process.pid)
            self._spawn(self._watch_process(node, process))

    async def _watch_process(
        self, node: processes.Node, process: asyncio.subprocess.Process
    ) -> None:
        """Records a process's memory, and its end if nobody asked for it."""
        peak_mb = 0.0
        while process.returncode is None:
            present_mb = processes.peak_memory_mb(process.pid)
            if present_mb > peak_mb:
                peak_mb = present_mb
                self.record.peak_by_pid[process.pid] = checker.MemoryPeak(
                    node.name, process.pid, peak_mb, self._now_s()
                )
            await asyncio.sleep(_WATCH_S)
        if not node.was_stopped(process.pid, process.returncode):
            self.record.exits.append(
                checker.Exit(node.name, process.returncode, self._now_s())
            )

    async def _wait_ready(self, node: processes.Node) -> None:
        """Waits until a node is ready; the soak may end it before."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                if node.process is None or (node.process.returncode or 0) > 0:
                    raise RuntimeError(f"{node.name} ended by itself")
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reply = await platform_standins.send_request(
                        f"{node.ip}:{processes.PORT_READY}", "/v1/readyz"
                    )
                    if reply is not None and reply.status == 200:
                        return
                await asyncio.sleep(0.1)

    async def _stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self._nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
        await asyncio.gather(*(node.wait() for node in self._nodes))
        for proxy in self._proxies:
            proxy.stop()
        for upstream in self._upstreams.values():
            upstream.proxy.stop()
            await upstream.standin.stop()
        await self._store.stop()

    def _spawn(self, work: Any) -> "asyncio.Task[Any]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failures.append(task.exception())

    async def _watch_lag(self) -> None:
        """Records when this process itself ran late."""
        while True:
            due_s = self._now_s() + _TICK_S
            await asyncio.sleep(_TICK_S)
            if self._now_s() - due_s > _TICK_S:
                self.record.own_lags.append((due_s - _TICK_S, self._now_s()))

    # Upstreams and the operator.

    async def _add_upstream(
        self, service: str, zone: str, cold_s: float, version: str = "v1"
    ) -> str:
        """Starts an upstream and writes its entry; returns its name."""
        name = f"{service}-{self._token}-{next(self._numbers)}"
        standin = platform_standins.Upstream(name, self._arrivals, version)
        standin.status = 500 if version == _BAD_VERSION else 200
        standin.delay_s = 0.01
        standin.crash_part = _CRASHING_PART
        standin.on_crash = lambda each: self._spawn(self._replace(each.name))
        await standin.start()
        proxy = processes.Proxy(standin.address)
        await proxy.start()
        self._upstreams[name] = _Upstream(service, zone, standin, proxy)
        self._state_by_name[name] = "ready"
        self.record.zone_by_upstream[name] = zone
        self.record.cold_until_s[name] = self._now_s() + cold_s
        await self._put_entry(name, 1)
        return name

    async def _roll_out_bad_version(self) -> None:
        """Orders a roll-out of a version whose answers are all failures."""
        names = [
            await self._add_upstream("llm", zone, 0.0, _BAD_VERSION)
            for zone in _ZONES
        ]
        order = {
            "service": "llm",
            "target": _BAD_VERSION,
            "duration_s": _ROLLOUT_S,
        }
        self._rollout = order
        await self._store.put("keyed.op", "rollout/llm", order)
        from_s = self._now_s()
        self.record.bad_versions.append(
            checker.BadVersion(
                "llm", frozenset(names), from_s, from_s + _ROLLOUT_S
            )
        )

    async def _put_entry(self, name: str, sequence: int) -> None:
        upstream = self._upstreams[name]
        cold_s = max(0.0, self.record.cold_until_s[name] - self._now_s())
        entry = upstream.standin.entry(
            upstream.service,
            address=upstream.proxy.address,
            zone=upstream.zone,
            state=self._state_by_name[name],
            sequence=sequence,
            cold_remaining_ms=int(cold_s * 1000),
        )
        await self._store.put("keyed.servers", name, entry)

    async def _write_heartbeats(self) -> None:
        for sequence in itertools.count(2):
            for name, state in list(self._state_by_name.items()):
                if state != "removed":
                    await self._put_entry(name, sequence)
            await asyncio.sleep(_HEARTBEAT_S)

    async def _retire(self, number: int, is_announced: bool) -> None:
        """Replaces an upstream, which drains or just loses its entry."""
        ready = [
            name
            for name, state in self._state_by_name.items()
            if state == "ready"
            and self._upstreams[name].standin.version != _BAD_VERSION
        ]
        name = ready[number % len(ready)]
        upstream = self._upstreams[name]
        self._state_by_name[name] = "draining" if is_announced else "removed"
        if is_announced:
            upstream.standin.announced += ((b"Server-Leaving", b"1"),)
            await self._put_entry(name, 1_000_000)
        else:
            await self._store.delete("keyed.servers", name)
        self.record.left_s[name] = self._now_s()
        is_cold = upstream.service == "llm"
        await self._add_upstream(
            upstream.service, upstream.zone, _COLD_S if is_cold else 0.0
        )
        await asyncio.sleep(checker.Bounds().drain_s + _SERVES_ON_S)
        if is_announced:
            self._state_by_name[name] = "removed"
            await self._store.delete("keyed.servers", name)
        upstream.proxy.stop()
        await upstream.standin.stop()

    async def _replace(self, name: str) -> None:
        """Replaces an upstream that crashed on a part of a prompt."""
        upstream = self._upstreams[name]
        upstream.proxy.stop()
        crashed_s = self._now_s()
        self.record.crashed_s.append(crashed_s)
        self._state_by_name[name] = "removed"
        await asyncio.sleep(_REPLACE_S)
        await self._store.delete("keyed.servers", name)
        await self._add_upstream(upstream.service, upstream.zone, 0.0)
        self.record.disturbances.append(
            checker.Disturbance(name, "crash", crashed_s, self._now_s())
        )

    async def _rotate_keys(self) -> None:
        """Adds a key to the manifest and removes the oldest of three."""
        self._keys.append(f"key-{self._version + 1}")
        await self._publish()
        self.record.key_added_s[self._keys[-1]] = self._now_s()
        for key in self._keys[:-2]:
            self.record.key_removed_s.setdefault(key, self._now_s())

    async def _change_in_a_row(self, fault: schedule.Fault) -> None:
        """Changes the manifest again and again, but not the keys."""
        until_s = self._now_s() + fault.for_s
        while self._now_s() < until_s:
            await self._publish()
            await asyncio.sleep(_SERIES_STEP_S)

    async def _publish(self) -> None:
        """Writes a new version with the two newest keys."""
        self._version += 1
        tenants = [{"name": "acme", "api_keys": self._keys[-2:], "priority": 1}]
        changed = long_manifests.manifest(
            self._version, self._added_routes, tenants=tenants
        )
        if self._added_routes:
            # The last route is one that no caller uses.
            changed["routes"][-1]["timeout_ms"] = 1000 + self._version
        self._manifest = changed
        await self._store.put("keyed.op", "config", changed)

    # Callers.

    async def _call(self) -> None:
        """Sends requests one after the other on kept connections."""
        pool = connection_pool.ConnectionPool(clocks.system())
        try:
            while True:
                await self._call_once(
                    pool,
                    self._random.choice(self._nodes),
                    self._random.choice(("look", "look", "book", "ask")),
                )
                await asyncio.sleep(self._random.uniform(*_CALLER_PAUSE_S))
        finally:
            pool.close()

    async def _call_at_once(self, node: processes.Node, service: str) -> None:
        """Sends many requests to one node at the same time."""
        kinds = ("look", "book") if service == "desk" else ("ask",)
        pool = connection_pool.ConnectionPool(clocks.system())
        try:
            await asyncio.gather(
                *(
                    self._call_once(pool, node, kinds[number % len(kinds)])
                    for number in range(_BURST_REQUESTS)
                )
            )
        finally:
            pool.close()

    async def _call_once(
        self,
        pool: connection_pool.ConnectionPool,
        node: processes.Node,
        kind: str,
    ) -> None:
        attempt_id = f"{self._token}-{next(self._numbers)}"
        sent = checker.Sent(
            node.name, kind == "book", self._pick_key(), self._now_s()
        )
        headers = {
            "Host": platform_standins.HOST,
            "X-Lycheegw-Attempt-Id": attempt_id,
            "X-Lycheegw-Deadline-Ms": "3000",
            "X-Lycheegw-Model": "*",
            "X-Lycheegw-Token-Usage": "900,50",
            "Api-Key": sent.key,
            "Content-Length": "2",
        }
        request = connection_pool.ClientRequest(
            b"GET" if kind == "look" else b"POST",
            f"/{kind}/1".encode(),
            tuple((n.encode(), v.encode()) for n, v in headers.items()),
            b"ab",
        )
        self.record.sent_by_id[attempt_id] = sent
        if kind == "ask":
            headers["X-Lycheegw-Prompt-Prefix"] = self._draw_prompt(attempt_id)
            request = request._replace(
                headers=tuple(
                    (name.encode(), value.encode())
                    for name, value in headers.items()
                )
            )
        try:
            head, body = await connection_pool.fetch(
                pool, node.name, node.front, request, _CALL_TIMEOUT_S
            )
        except errors.UpstreamError:
            ended = checker.Ended(None, b"", "", self._now_s())
        else:
            signature = head.value(b"x-lycheegw-response-signature") or b""
            ended = checker.Ended(
                head.status, body, signature.decode(), self._now_s()
            )
            self._note_told(node.name, head, ended)
        self.record.ended_by_id[attempt_id] = ended

    def _draw_prompt(self, attempt_id: str) -> str:
        """Returns a prompt, which may have the part that crashes upstreams."""
        part = f"topic-{self._random.randrange(9)}"
        is_crashing = self._random.random() < _CRASHING_SHARE
        if is_crashing and self._now_s() > self._crashing_part_s:
            part = _CRASHING_PART
            self.record.crashing_ids.add(attempt_id)
        return f"first:500,{part}:200,{attempt_id}:200"

    def _note_told(
        self,
        node: str,
        head: connection_pool.RawResponseHead,
        ended: checker.Ended,
    ) -> None:
        """Records that a node passed on what an upstream announced."""
        upstream = ended.signature.removeprefix("sig-")
        for header, announcement in (
            (b"server-leaving", "leaving"),
            (b"server-limit", "limit"),
        ):
            if head.value(header) is not None:
                self.record.told_s.setdefault(
                    (node, upstream, announcement), ended.at_s
                )

    def _pick_key(self) -> str:
        """Returns a key in force, sometimes one that was removed."""
        removed = list(self.record.key_removed_s)
        if removed and self._random.random() < _REMOVED_KEY_SHARE:
            return self._random.choice(removed)
        known_s = self._now_s() - _KEY_USED_AFTER_S
        added_s = self.record.key_added_s
        known = [each for each in self._keys[-2:] if added_s[each] <= known_s]
        return known[-1] if known else self._keys[-2:][0]

    # Faults.

    async def _cause_faults(self) -> None:
        for fault in self._faults:
            await asyncio.sleep(max(0.0, fault.at_s - self._now_s()))
            self._spawn(self._cause(fault))

    async def _cause(self, fault: schedule.Fault) -> None:
        number = fault.target % len(self._nodes)
        if fault.kind in {"drain", "remove"}:
            await self._retire(fault.target, fault.kind == "drain")
        elif fault.kind in schedule.ORDERS:
            await self._order(fault)
        elif fault.kind == "freeze":
            await self._disturb(
                fault, self._nodes[number].name, self._freeze(fault, number)
            )
        elif fault.kind == "slow_process":
            await self._disturb(
                fault, self._nodes[number].name, self._slow(fault, number)
            )
        elif fault.kind in {"kill", "terminate"}:
            await self._disturb(
                fault, self._nodes[number].name, self._restart(fault, number)
            )
        elif fault.kind.startswith("node_store_"):
            await self._disturb(
                fault, self._nodes[number].name, self._harm_link(fault, number)
            )
        elif fault.kind.startswith("upstream_"):
            names = sorted(self._upstreams)
            name = names[fault.target % len(names)]
            await self._disturb(fault, name, self._harm_upstream(fault, name))
        elif fault.kind in schedule.RESPONSE_FAULTS:
            names = self._ready_names()
            name = names[fault.target % len(names)]
            await self._change_responses(fault, name)
        elif fault.kind in schedule.FAULTY_RESPONSES:
            await self._respond_wrongly(fault)
        elif fault.kind in {"malformed_entry", "store_forgets"}:
            await self._change_topics(fault)
        else:
            await self._disturb(fault, "", self._harm_store(fault))

    def _ready_names(self) -> list[str]:
        return [
            name
            for name, state in sorted(self._state_by_name.items())
            if state == "ready"
        ]

    async def _change_topics(self, fault: schedule.Fault) -> None:
        """Changes what the store holds, without a disturbance."""
        if fault.kind == "malformed_entry":
            await self._write_malformed_entry(fault.target)
            return
        for topic in _TOPICS:
            self._store.first_offset[topic] = self._store.end_offset(topic)

    async def _write_malformed_entry(self, number: int) -> None:
        """Leaves an entry that can't be used, as another writer would."""
        topic = _MALFORMED_TOPICS[number % len(_MALFORMED_TOPICS)]
        value = _MALFORMED_VALUES[number % len(_MALFORMED_VALUES)]
        key = "rollout/odd" if topic == "keyed.status" else f"odd-{number % 3}"
        await self._store.put(topic, key, value)

    async def _order(self, fault: schedule.Fault) -> None:
        """Does what an operator does."""
        if fault.kind == "rotate_keys":
            await self._rotate_keys()
        elif fault.kind == "grow_manifest":
            self._added_routes = _ADDED_ROUTES
            await self._publish()
        elif fault.kind == "change_in_a_row":
            await self._change_in_a_row(fault)
        elif fault.kind == "evacuate":
            await self._evacuate(fault)
        else:
            await self._roll_out_bad_version()

    async def _disturb(
        self, fault: schedule.Fault, name: str, work: Awaitable[None]
    ) -> None:
        """Causes a fault and records from when until when it lasted."""
        from_s = self._now_s()
        ongoing = checker.Disturbance(name, fault.kind, from_s, math.inf)
        self.record.disturbances.append(ongoing)
        try:
            await work
        finally:
            index = self.record.disturbances.index(ongoing)
            self.record.disturbances[index] = ongoing._replace(
                until_s=self._now_s()
            )

    async def _freeze(self, fault: schedule.Fault, number: int) -> None:
        self._nodes[number].send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self._nodes[number].send_signal(signal.SIGCONT)

    async def _slow(self, fault: schedule.Fault, number: int) -> None:
        """Lets a process run for a part of each tenth of a second."""
        end_s = self._now_s() + fault.for_s
        try:
            while self._now_s() < end_s:
                self._nodes[number].send_signal(signal.SIGSTOP)
                await asyncio.sleep(_SLOW_STOP_S)
                self._nodes[number].send_signal(signal.SIGCONT)
                await asyncio.sleep(_SLOW_RUN_S)
        finally:
            self._nodes[number].send_signal(signal.SIGCONT)

    async def _restart(self, fault: schedule.Fault, number: int) -> None:
        node = self._nodes[number]
        process = node.process
        is_kill = fault.kind == "kill"
        node.send_signal(signal.SIGKILL if is_kill else signal.SIGTERM)
        try:
            async with asyncio.timeout(_TERMINATE_TIMEOUT_S):
                await node.wait()
        except TimeoutError:
            node.send_signal(signal.SIGKILL)
            await node.wait()
        await asyncio.sleep(_RESTART_S)
        if node.process is process:
            await self._start_node(node)
            await self._wait_ready(node)

    async def _harm_link(self, fault: schedule.Fault, number: int) -> None:
        self._proxies[number].set_mode(fault.kind.removeprefix("node_store_"))
        await asyncio.sleep(fault.for_s)
        self._proxies[number].set_mode("")

    async def _harm_store(self, fault: schedule.Fault) -> None:
        if fault.kind == "store_restored":
            await self._restore_store(fault)
            return
        if fault.kind == "store_loses_replies":
            self._store.silent_reads.update(dict.fromkeys(_TOPICS, 2))
            await asyncio.sleep(fault.for_s)
            self._store.silent_reads.clear()
            return
        self._store.fault = fault.kind.removeprefix("store_")
        await asyncio.sleep(fault.for_s)
        self._store.fault = ""

    async def _back_up_store(self) -> None:
        """Keeps backups of the store for as long as restores use them."""
        while True:
            now_s = self._now_s()
            self._backups.append((now_s, self._store.backup()))
            while self._backups[0][0] < now_s - _BACKUPS_KEPT_S:
                del self._backups[0]
            await asyncio.sleep(_BACKUP_INTERVAL_S)

    async def _restore_store(self, fault: schedule.Fault) -> None:
        """Restores a backup; operator and upstreams write again what is lost.

        Orders that no longer stand are lost as well, so that the next ones get
        offsets below the former end. The next heartbeats of upstreams are in
        the store at the end.
        """
        from_s = self._now_s() - fault.for_s
        for _ in range(_LOST_ORDERS):
            await self._store.put("keyed.op", _LOST_CLOSURE, {})
            await self._store.delete("keyed.op", _LOST_CLOSURE)
        backup = max(
            (each for each in self._backups if each[0] <= from_s),
            default=self._backups[0],
            key=lambda each: each[0],
        )
        # History that was dropped stays dropped.
        await self._store.restore(
            {
                topic: max(count, self._store.first_offset.get(topic, 0))
                for topic, count in backup[1].items()
            }
        )
        present = self._store.newest("keyed.op")
        if present.get("config") != json.dumps(self._manifest).encode():
            await self._store.put("keyed.op", "config", self._manifest)
        closure = f"evacuate/{self._closed_zone}"
        if self._closed_zone is not None and closure not in present:
            await self._store.put("keyed.op", closure, {})
        for key in present:
            if key.startswith("evacuate/") and key != closure:
                await self._store.delete("keyed.op", key)
        if self._rollout is not None and "rollout/llm" not in present:
            await self._store.put("keyed.op", "rollout/llm", self._rollout)
        listed = self._store.newest("keyed.servers")
        for name, state in self._state_by_name.items():
            if state == "removed" and name in listed:
                await self._store.delete("keyed.servers", name)
            elif state == "draining":
                await self._put_entry(name, 1_000_000)
        await self._rotate_keys()
        await asyncio.sleep(_HEARTBEAT_S)

    async def _harm_upstream(self, fault: schedule.Fault, name: str) -> None:
        proxy = self._upstreams[name].proxy
        proxy.set_mode(fault.kind.removeprefix("upstream_"))
        await asyncio.sleep(fault.for_s)
        proxy.set_mode("")

    async def _change_responses(self, fault: schedule.Fault, name: str) -> None:
        """Lets an upstream announce something, answer twice or be silent."""
        standin = self._upstreams[name].standin
        if fault.kind == "fall_silent":
            standin.silence_s = _SILENCE_S
            await asyncio.sleep(fault.for_s)
            standin.silence_s = 0.0
            return
        if fault.kind == "answer_twice":
            standin.extra_answer = _EXTRA_REJECTION
            await asyncio.sleep(fault.for_s)
            standin.extra_answer = b""
            return
        if standin.announced:
            return
        per_s = _LIMITS_PER_S[fault.target % len(_LIMITS_PER_S)]
        if fault.kind == "announce_limit":
            announced = (b"Server-Limit", b"%.2f" % per_s)
        elif fault.kind == "announce_brittle":
            announced = (b"Server-Brittle", b"2")
        else:
            announced = (b"Retry-After", b"%.2f" % _PAUSE_S)
            standin.is_full = True
        standin.announced = (announced,)
        from_s = self._now_s()
        await asyncio.sleep(fault.for_s)
        if fault.kind == "announce_limit":
            self.record.limits.append(
                checker.Limit(name, per_s, from_s, self._now_s())
            )
        standin.is_full = False
        # It may have announced meanwhile that it leaves.
        standin.announced = tuple(
            each for each in standin.announced if each != announced
        )

    async def _respond_wrongly(self, fault: schedule.Fault) -> None:
        """Lets an upstream, or all of its service, answer some wrongly."""
        ready = [
            name
            for name in self._ready_names()
            if self._upstreams[name].standin.version != _BAD_VERSION
        ]
        generator = random.Random(fault.target)
        service = self._upstreams[generator.choice(ready)].service
        faulty = [n for n in ready if self._upstreams[n].service == service]
        if generator.random() < 0.5:
            faulty = [generator.choice(faulty)]
        kinds = faulty_responses.BY_KIND[fault.kind]
        kinds = generator.sample(kinds, generator.randint(1, len(kinds)))
        share = generator.uniform(*_FAULTY_SHARE)

        def choose_for(name: str) -> _ChooseFault:
            def choose(attempt_id: str) -> _FaultyResponse | None:
                if generator.random() > share:
                    return None
                chosen = generator.choice(kinds)
                self.record.faulty_responses.append(
                    checker.FaultyResponse(
                        attempt_id,
                        name,
                        fault.kind,
                        chosen.name,
                        chosen.has_run,
                        self._now_s(),
                    )
                )
                return chosen

            return choose

        choose_by_name = {name: choose_for(name) for name in faulty}
        for name, choose in choose_by_name.items():
            self._upstreams[name].standin.choose_fault = choose
        if fault.kind == "endless_responses":
            node = self._nodes[generator.randrange(len(self._nodes))]
            for _ in range(math.ceil(fault.for_s / _BURST_INTERVAL_S)):
                self._spawn(self._call_at_once(node, service))
                await asyncio.sleep(_BURST_INTERVAL_S)
        else:
            await asyncio.sleep(fault.for_s)
        for name, choose in choose_by_name.items():
            # A later fault may have taken its place.
            if self._upstreams[name].standin.choose_fault is choose:
                self._upstreams[name].standin.choose_fault = _choose_none

    def _record_offers(self) -> None:
        """Records the requests and rejections that the stand-ins counted."""
        for name, upstream in self._upstreams.items():
            standin = upstream.standin
            self.record.answered.update(
                (attempt_id, name) for attempt_id in standin.answered_ids
            )
            for attempt_id, received_s in zip(
                standin.received_ids, standin.received_s, strict=True
            ):
                if attempt_id in self.record.sent_by_id:
                    at_s = received_s - self._started_s
                    self.record.offers.append(
                        checker.Arrival(attempt_id, name, at_s)
                    )
            # A request may come again that was accepted at first.
            for attempt_id, rejected_s in zip(
                standin.rejected_ids, standin.rejected_s, strict=True
            ):
                if attempt_id in self.record.sent_by_id:
                    node = self.record.sent_by_id[attempt_id].node
                    at_s = rejected_s - self._started_s
                    self.record.pauses.append(
                        checker.Pause(name, node, at_s, at_s + _PAUSE_S)
                    )

    async def _evacuate(self, fault: schedule.Fault) -> None:
        """Closes a zone for longer than the bound, and opens it again."""
        if self._is_zone_closed:
            return
        self._is_zone_closed = True
        zone = _ZONES[fault.target % 2]
        self._closed_zone = zone
        await self._store.put("keyed.op", f"evacuate/{zone}", {})
        closure = checker.Closure(zone, self._now_s(), math.inf)
        self.record.closures.append(closure)
        await asyncio.sleep(checker.Bounds().evacuate_s + fault.for_s)
        self.record.closures[-1] = closure._replace(until_s=self._now_s())
        self._closed_zone = None
        await self._store.delete("keyed.op", f"evacuate/{zone}")
        self._is_zone_closed = False
