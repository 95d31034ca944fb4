"""In-memory log and peer bus with faults, and a clock that tests advance."""

import asyncio
from collections.abc import Sequence
import random

from lycheegw.coordination import interfaces
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import limits
from lycheegw.state import node_state


class Clock:
    """Time that advances only by sleeps and by tests that set `now_s`."""

    def __init__(self) -> None:
        self.now_s = 1_000_000.0
        self._random = random.Random(1)

    async def sleep(self, seconds: float) -> None:
        self.now_s += seconds
        await asyncio.sleep(0)

    def environment(self) -> clocks.Environment:
        return clocks.Environment(
            lambda: self.now_s,
            lambda: self.now_s,
            self._random,
            lambda: f"{self._random.getrandbits(64):016x}",
            self.sleep,
        )


class Log:
    """An in-memory log.

    Attributes:
        fault: What happens to calls: "" no fault; "lost" appends take effect,
            but their answers are lost; "late" appends take effect only when
            `apply_late` is called; "down" all calls fail without effect.
        entries_by_stream: All entries, expired ones included.
        first: Offset of the first entry that has not expired.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._late: list[tuple[str, interfaces.NewEntry]] = []
        self.fault = ""
        self.entries_by_stream: dict[str, list[interfaces.AppendedEntry]] = {}
        self.first = 0

    def _put(self, stream: str, entry: interfaces.NewEntry) -> int:
        entries = self.entries_by_stream.setdefault(stream, [])
        entries.append(
            interfaces.AppendedEntry(len(entries), self._clock.now_s, *entry)
        )
        return len(entries) - 1

    def apply_late(self) -> None:
        for stream, entry in self._late:
            self._put(stream, entry)
        self._late.clear()

    async def append(
        self, stream: str, entries: Sequence[interfaces.NewEntry]
    ) -> int:
        await asyncio.sleep(0)
        if self.fault == "down":
            raise errors.LogUnavailableError("down", False)
        if self.fault == "late":
            self._late += [(stream, entry) for entry in entries]
            raise errors.LogUnavailableError("late")
        offsets = [self._put(stream, entry) for entry in entries]
        if self.fault == "lost":
            raise errors.LogUnavailableError("lost")
        return offsets[0]

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> interfaces.LogPage:
        del wait_s
        await asyncio.sleep(0)
        if self.fault == "down":
            raise errors.LogUnavailableError("down", False)
        entries = self.entries_by_stream.get(stream, [])
        start = max(start, self.first)
        return interfaces.LogPage(
            self.first, len(entries), entries[start : start + limit]
        )


class LogLink:
    """The connection of one node to the log.

    Attributes:
        is_cut: Whether all calls fail without effect.
    """

    def __init__(self, log: Log):
        self.is_cut = False
        self._log = log

    async def append(
        self, stream: str, entries: Sequence[interfaces.NewEntry]
    ) -> int:
        self._check()
        return await self._log.append(stream, entries)

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> interfaces.LogPage:
        self._check()
        return await self._log.read(stream, start, limit, wait_s)

    def _check(self) -> None:
        if self.is_cut:
            raise errors.LogUnavailableError("cut off", False)


class Network:
    """The live nodes by id, and the listed ones, which may be dead."""

    def __init__(self) -> None:
        self.bus_by_id: dict[str, Bus] = {}
        self.listed: list[str] = []
        self.loses_replies = False


class Bus:
    """The peer bus of one node."""

    def __init__(self, network: Network, node_id: str):
        self._network = network
        self._node_id = node_id
        self._handler_by_topic: dict[str, interfaces.CallHandler] = {}
        network.bus_by_id[node_id] = self
        network.listed.append(node_id)

    def live_nodes(self, zone: str | None = None) -> Sequence[str]:
        del zone
        return sorted(self._network.listed)

    def on_call(self, topic: str, handler: interfaces.CallHandler) -> None:
        self._handler_by_topic[topic] = handler

    def on_delta(
        self,
        topic: str,
        source: interfaces.DeltaSource,
        target: interfaces.DeltaTarget,
    ) -> None:
        raise NotImplementedError

    async def call(
        self, node_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes:
        del timeout_s
        bus = self._network.bus_by_id.get(node_id)
        if bus is None:
            raise errors.PeerUnavailableError(node_id)
        handler = bus._handler_by_topic[topic]
        reply = await handler(self._node_id, payload)
        if self._network.loses_replies:
            raise errors.PeerUnavailableError(f"reply of {node_id} lost")
        return reply


def state_of(node_id: str, clock: Clock) -> node_state.NodeState:
    identity = node_state.Identity(node_id, "z1", "r1")
    return node_state.create(identity, limits.Limits(), clock.environment())
