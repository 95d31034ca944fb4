"""Adds up the backlogs that the nodes of a zone report.

Each node reports to the aggregator of its zone, and gets the sums of all zones
in reply. Aggregators read each other's sums at intervals while they are asked.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination.load import backlog_sums
from lycheegw.coordination.load import zone_aggregators
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = [
    "CALL_TIMEOUT_S",
    "EXPIRE_AFTER_S",
    "TOPIC",
    "BacklogAggregator",
    "Codec",
    "Query",
    "Report",
]

TOPIC = "backlog_sums"
# Time within which an aggregator replies, in seconds.
CALL_TIMEOUT_S = 0.3
# Time after which the report of a node that isn't heard of doesn't count.
EXPIRE_AFTER_S = 3.0
# The same for its samples of speeds, which decay anyway.
_SPEEDS_EXPIRE_AFTER_S = 12.0
# Interval at which samples are added up, in seconds.
_SPEEDS_INTERVAL_S = 2.0
_SPEEDS_SOURCE = "speeds"
# Nodes of which the version of the last report is kept.
_MAX_NODES = 2_000
# Interval at which the sums of other zones are read, in seconds.
_READ_INTERVAL_S = 0.2
# Reading goes on for this long after the latest question of a node.
_READ_AFTER_QUESTION_S = 1.0


class Report(NamedTuple):
    """The outstanding prefill work of the requests of one node process.

    Attributes:
        node_id: Node that sent the requests.
        started_ms: Start of the node's process, in Unix milliseconds.
        sequence: Grows with each report of a process.
        value_by_key: Milliseconds of prefill of unanswered requests, by
            upstream and by organisation.
        speeds: Samples of the speeds of upstreams, None if those of an earlier
            report still hold.
    """

    node_id: str
    started_ms: int
    sequence: int
    value_by_key: Mapping[backlog_sums.Key, int]
    speeds: Mapping[backlog_sums.Key, int] | None = None


class Query(NamedTuple):
    """A question for the sums that changed.

    Attributes:
        report: Report of the node that asks; None if an aggregator of another
            zone asks for the sums of this zone alone.
        known_started_ms: Start of the process that sent the sums that the
            caller has, 0 if it has none.
        known_sequence: Sequence number of these sums.
    """

    report: Report | None
    known_started_ms: int
    known_sequence: int


class Codec(NamedTuple):
    """Encodes and decodes the calls; decoding raises PeerMessageError."""

    encode_query: Callable[[Query], bytes]
    decode_query: Callable[[bytes], Query]
    encode_sums: Callable[[backlog_sums.Sums], bytes]
    decode_sums: Callable[[bytes], backlog_sums.Sums]


class _Speeds(NamedTuple):
    """Samples of speeds that a node or a zone told.

    Attributes:
        value_by_key: Their numbers and sums.
        expires_s: Monotonic second from which on they don't count.
    """

    value_by_key: Mapping[backlog_sums.Key, int]
    expires_s: float


class BacklogAggregator:
    """Answers the questions of nodes that take this one as an aggregator."""

    def __init__(
        self,
        state: node_state.NodeState,
        peers: interfaces.PeerBus,
        codec: Codec,
        aggregators: zone_aggregators.ZoneAggregators,
    ):
        self._state = state
        self._peers = peers
        self._codec = codec
        self._aggregators = aggregators
        started_ms = int(state.environment.wall_s() * 1000)
        # Sums of the zone's nodes, and of these and the other zones.
        self._zone_sums = backlog_sums.BacklogSums(started_ms)
        self._fleet_sums = backlog_sums.BacklogSums(started_ms)
        self._version_by_node: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )
        self._copy_by_zone: dict[str, backlog_sums.SumsCopy] = {}
        self._speeds_by_node: dict[str, _Speeds] = {}
        self._speeds_by_zone: dict[str, _Speeds] = {}
        self._speeds_added_s = -math.inf
        self._asked = asyncio.Event()
        self._read_until_s = 0.0
        peers.on_call(TOPIC, self._handle_query)

    async def _handle_query(self, node_id: str, payload: bytes) -> bytes:
        return self._codec.encode_sums(
            self.answer(self._codec.decode_query(payload))
        )

    def answer(self, query: Query) -> backlog_sums.Sums:
        """Takes in the report of a question; returns the sums asked for."""
        now_s = self._now_s()
        self._zone_sums.expire(now_s)
        self._fleet_sums.expire(now_s)
        sums = self._zone_sums
        if query.report is not None:
            self._put(query.report, now_s)
            self._read_until_s = now_s + _READ_AFTER_QUESTION_S
            self._asked.set()
            sums = self._fleet_sums
        self._add_speeds(now_s)
        return sums.since(query.known_started_ms, query.known_sequence)

    def _put(self, report: Report, now_s: float) -> None:
        """Replaces a node's former report, unless this one is older."""
        version = (report.started_ms, report.sequence)
        if version < self._version_by_node.get(report.node_id, (0, 0)):
            return
        self._version_by_node[report.node_id] = version
        self._version_by_node.move_to_end(report.node_id)
        while len(self._version_by_node) > _MAX_NODES:
            self._version_by_node.popitem(last=False)
        expires_s = now_s + EXPIRE_AFTER_S
        for sums in (self._zone_sums, self._fleet_sums):
            sums.put(report.node_id, report.value_by_key, expires_s)
        if report.speeds is not None:
            if not self._speeds_by_node:
                # The first samples don't wait for the interval.
                self._speeds_added_s = -math.inf
            self._speeds_by_node[report.node_id] = _Speeds(
                report.speeds, now_s + _SPEEDS_EXPIRE_AFTER_S
            )

    def _add_speeds(self, now_s: float) -> None:
        """Adds up the samples of speeds, at intervals.

        Samples decay, so all of them change with each report of a node.
        """
        if now_s < self._speeds_added_s + _SPEEDS_INTERVAL_S:
            return
        self._speeds_added_s = now_s
        for by_source in (self._speeds_by_node, self._speeds_by_zone):
            for source, speeds in list(by_source.items()):
                if speeds.expires_s <= now_s:
                    del by_source[source]
        expires_s = now_s + _SPEEDS_EXPIRE_AFTER_S
        zone_speeds: collections.Counter[backlog_sums.Key] = (
            collections.Counter()
        )
        for each in self._speeds_by_node.values():
            zone_speeds.update(each.value_by_key)
        self._zone_sums.put(_SPEEDS_SOURCE, dict(zone_speeds), expires_s)
        for each in self._speeds_by_zone.values():
            zone_speeds.update(each.value_by_key)
        self._fleet_sums.put(_SPEEDS_SOURCE, dict(zone_speeds), expires_s)

    async def run(self) -> None:
        """Reads the sums of the other zones until cancelled."""
        while True:
            await self._asked.wait()
            if not self.is_reading():
                self._asked.clear()
                continue
            await asyncio.gather(*map(self.read_zone, self.other_zones()))
            await self._state.environment.sleep(_READ_INTERVAL_S)

    def is_reading(self) -> bool:
        """Returns whether nodes asked lately for the sums of all zones."""
        return self._now_s() < self._read_until_s

    def other_zones(self) -> list[str]:
        """Returns the other zones that have live nodes."""
        own_zone = self._state.identity.zone
        return [each for each in self._aggregators.zones() if each != own_zone]

    async def read_zone(self, zone: str) -> None:
        """Reads the sums of another zone once."""
        aggregator = self._aggregators.aggregator(zone)
        if aggregator is None:
            return
        copy = self._copy_by_zone.setdefault(zone, backlog_sums.SumsCopy())
        query = Query(None, copy.started_ms, copy.sequence)
        try:
            reply = await self._peers.call(
                aggregator,
                TOPIC,
                self._codec.encode_query(query),
                CALL_TIMEOUT_S,
            )
            sums = self._codec.decode_sums(reply)
        except (
            errors.PeerUnavailableError,
            errors.PeerMessageError,
        ) as error:
            self._state.counters.add("backlogs.zone_unread")
            logging.warning("sums of backlogs of %s: %s", zone, error)
            self._aggregators.note_no_reply(aggregator)
            return
        now_s = self._now_s()
        copy.apply(sums, now_s)
        work: dict[backlog_sums.Key, int] = {}
        speeds: dict[backlog_sums.Key, int] = {}
        for key, value in copy.value_by_key.items():
            is_speed = isinstance(key, backlog_sums.SpeedKey)
            (speeds if is_speed else work)[key] = value
        expires_s = now_s + EXPIRE_AFTER_S
        self._fleet_sums.put(f"zone {zone}", work, expires_s)
        self._speeds_by_zone[zone] = _Speeds(speeds, expires_s)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
