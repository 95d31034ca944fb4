"""Nodes that exchange backlogs in simulated time, without sockets.

The nodes run the product's aggregators, backlogs and codec. Messages arrive at
once; the times at which nodes report and read are those of the product.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import heapq
import math
import random
import time
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.coordination.load import backlog_aggregator
from lycheegw.coordination.load import backlogs
from lycheegw.coordination.load import zone_aggregators
from lycheegw.protocol import backlog_codec
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import limits
from lycheegw.state import node_state

__all__ = ["ATTEMPTS_PER_S", "Attempt", "BacklogFleet", "Spread", "run_at_once"]

# Attempts a second of each node, as on a day of 195 nodes.
ATTEMPTS_PER_S = 2.1
# Share of the attempts that stay in the node's zone.
_LOCAL_SHARE = 0.6
# Prompts are of lognormal length; two fifths go to a model of ten times the
# prefill time of the other.
_LOG_TOKENS_MEAN, _LOG_TOKENS_DEVIATION = 8.2, 1.2
_MAX_TOKENS = 60_000
_SMALL_MODEL_SHARE = 0.6
_SMALL_MODEL_TOKENS_PER_S, _LARGE_MODEL_TOKENS_PER_S = 214_000, 21_400
# Intervals at which a node looks whether a repetition is due, and at which
# aggregators read other zones.
_REPEAT_CHECK_S = 0.25
_READ_INTERVAL_S = 0.2
# A node knows a backlog if what it expects is within this distance of what it
# was at some time in the window.
_TOLERANCE_S = 0.1
_WINDOW_S = 0.3
# Upstreams are looked at if their backlog changed by the tolerance in this
# time.
_CHANGED_WITHIN_S = 1.0
_SAMPLE_INTERVAL_S = 0.25
_SAMPLED_NODES, _SAMPLED_UPSTREAMS = 20, 12
# An attempt is blind if the node expects less than this share of a backlog of
# this length or more.
_BLIND_SHARE, _LONG_BACKLOG_S = 0.25, 0.5


class Attempt(NamedTuple):
    """An attempt of a node at an upstream.

    Attributes:
        upstream: Id of the upstream.
        expected_s: Prefill time that the node expects.
        head_s: Time from now to the head of the response.
        note_head: Called once the head has arrived.
    """

    upstream: str
    expected_s: float
    head_s: float
    note_head: Callable[[], None] = lambda: None


class Spread(NamedTuple):
    """What nodes know of the backlogs, and what that costs a node.

    Attributes:
        known_share: Share of changed backlogs that are known in the window.
        blind_share: Share of the attempts at upstreams with a long backlog that
            expected a quarter of it or less.
        kilobytes_per_s: Payloads sent and received.
        frames_per_s: Calls and replies sent.
        busiest_frames_per_s: The same of the busiest node.
        milliseconds_per_s: Processor time of the exchange, without links.
    """

    known_share: float
    blind_share: float
    kilobytes_per_s: float
    frames_per_s: float
    busiest_frames_per_s: float
    milliseconds_per_s: float


def run_at_once(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Returns the result of a coroutine that waits for nothing.

    Raises:
        RuntimeError: It waits.
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise RuntimeError("the coroutine waits")


class _Bus:
    """Passes calls on at once, and counts them."""

    def __init__(self, fleet: "BacklogFleet", node_id: str):
        self._fleet = fleet
        self._node_id = node_id
        self.handler_by_topic: dict[str, interfaces.CallHandler] = {}

    def on_call(self, topic: str, handler: interfaces.CallHandler) -> None:
        self.handler_by_topic[topic] = handler

    async def call(
        self, node_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes:
        del timeout_s
        cut_off = self._fleet.cut_off
        is_remote = node_id != self._node_id
        if is_remote and (node_id in cut_off or self._node_id in cut_off):
            raise errors.PeerUnavailableError(f"{node_id} is cut off")
        handler = self._fleet.node_by_id[node_id].bus.handler_by_topic[topic]
        reply = await handler(self._node_id, payload)
        if is_remote:
            self._fleet.count_call(
                self._node_id, node_id, len(payload) + len(reply)
            )
        return reply


class Node:
    """The parts of a node that exchange backlogs.

    Attributes:
        zone: Its availability zone.
        bus: Its links.
        state: Its state, without upstreams.
        aggregator: Adds up the backlogs of the zone, if it is the first node.
        backlogs: What it knows.
    """

    def __init__(
        self,
        fleet: "BacklogFleet",
        node_id: str,
        zone: str,
        nodes_by_zone: Mapping[str, Sequence[str]],
    ):
        self.zone = zone
        self.bus = _Bus(fleet, node_id)
        self.state = state = node_state.create(
            node_state.Identity(node_id, zone, "r"),
            limits.Limits(),
            fleet.environment,
        )
        aggregators = zone_aggregators.ZoneAggregators(
            state, lambda: nodes_by_zone
        )
        peers: Any = self.bus
        self.aggregator = backlog_aggregator.BacklogAggregator(
            state, peers, backlog_codec.CODEC, aggregators
        )
        self.backlogs = backlogs.Backlogs(
            state, peers, backlog_codec.CODEC, aggregators
        )


class BacklogFleet:
    """Nodes and the prompts that they send, in simulated time.

    Attributes:
        node_by_id: The nodes.
        zone_by_upstream: Zones of the upstreams by their id.
        cut_off: Ids of the nodes that reach no other one.
        environment: Clock and random numbers of all nodes.
        draw_attempt: Chooses prompt and upstream of a node's next attempt.
        is_told_first: Whether nodes report an attempt before they send it.
    """

    def __init__(self, nodes: int, upstreams: int, zones: int, seed: int):
        self._random = random.Random(seed)
        self._now_s = 1000.0
        self.environment = clocks.Environment(
            lambda: self._now_s,
            lambda: self._now_s,
            self._random,
            lambda: f"{self._random.getrandbits(64):x}",
        )
        self.cut_off: frozenset[str] = frozenset()
        ids_by_zone: dict[str, list[str]] = {}
        for number in range(nodes):
            zone = f"zone-{number % zones}"
            ids_by_zone.setdefault(zone, []).append(f"node-{zone}-{number}")
        self.node_by_id = {
            node_id: Node(self, node_id, zone, ids_by_zone)
            for zone, ids in ids_by_zone.items()
            for node_id in ids
        }
        self._upstreams = [
            f"i-{self._random.getrandbits(40):010x}" for _ in range(upstreams)
        ]
        self.zone_by_upstream = {
            each: f"zone-{number % zones}"
            for number, each in enumerate(self._upstreams)
        }
        self._upstreams_by_zone = {
            f"zone-{zone}": self._upstreams[zone::zones]
            for zone in range(zones)
        }
        self.is_told_first = False
        self.draw_attempt: Callable[[Node], Attempt] = self._draw_attempt
        self._backlog_s_by_id: collections.Counter[str] = collections.Counter()
        self._history_by_id: dict[str, list[tuple[float, float]]] = {
            each: [(0.0, 0.0)] for each in self._upstreams
        }
        self._events: list[tuple[float, int, Any]] = []
        self._event_count = 0
        self._exchanging: set[str] = set()
        self._begin_counting()

    def _begin_counting(self) -> None:
        self._frames_by_node: collections.Counter[str] = collections.Counter()
        self._bytes = 0
        self._work_s = 0.0
        self._known: list[bool] = []
        self._blind: list[bool] = []

    def count_call(self, caller: str, node_id: str, size: int) -> None:
        """Counts a call and its reply."""
        self._frames_by_node[caller] += 1
        self._frames_by_node[node_id] += 1
        self._bytes += size

    def run(self, warm_up_s: float, seconds: float) -> Spread:
        """Sends prompts; returns the figures of the time after a warm-up."""
        begin_s = self._now_s
        for node_id in self.node_by_id:
            for action, interval_s in (
                (self._begin_attempt, 1 / ATTEMPTS_PER_S),
                (self._repeat_report, _REPEAT_CHECK_S),
                (self._read_zones, _READ_INTERVAL_S),
            ):
                self._at(
                    begin_s + interval_s * self._random.random(),
                    action,
                    node_id,
                )
        self._run_until(begin_s + warm_up_s)
        self._begin_counting()
        self._at(self._now_s, self._sample)
        self._run_until(begin_s + warm_up_s + seconds)
        share = 1 / seconds / len(self.node_by_id)
        frames = self._frames_by_node.values()
        return Spread(
            sum(self._known) / max(1, len(self._known)),
            sum(self._blind) / max(1, len(self._blind)),
            2 * self._bytes / 1000 * share,
            sum(frames) * share,
            max(frames, default=0) / seconds,
            self._work_s * 1000 * share,
        )

    def advance(self, seconds: float) -> None:
        """Lets time pass, with what happens meanwhile."""
        self._run_until(self._now_s + seconds)

    def _at(self, at_s: float, action: Any, *arguments: Any) -> None:
        self._event_count += 1
        event = (at_s, self._event_count, (action, arguments))
        heapq.heappush(self._events, event)

    def _run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            self._now_s, _, (action, arguments) = heapq.heappop(self._events)
            action(*arguments)
        self._now_s = end_s

    @contextlib.contextmanager
    def _timed(self) -> Iterator[None]:
        begin_s = time.perf_counter()
        try:
            yield
        finally:
            self._work_s += time.perf_counter() - begin_s

    def _exchange(self, node_id: str) -> None:
        self._exchanging.discard(node_id)
        with self._timed():
            run_at_once(self.node_by_id[node_id].backlogs.run_once())

    def _exchange_if_due(self, node_id: str) -> None:
        node = self.node_by_id[node_id]
        if node.backlogs.is_report_due and node_id not in self._exchanging:
            self._exchanging.add(node_id)
            at_s = max(self._now_s, node.backlogs.next_exchange_s())
            self._at(at_s, self._exchange, node_id)

    def _repeat_report(self, node_id: str) -> None:
        self._at(self._now_s + _REPEAT_CHECK_S, self._repeat_report, node_id)
        if self.node_by_id[node_id].backlogs.is_repetition_due():
            self._exchange(node_id)

    def _read_zones(self, node_id: str) -> None:
        self._at(self._now_s + _READ_INTERVAL_S, self._read_zones, node_id)
        aggregator = self.node_by_id[node_id].aggregator
        if aggregator.is_reading():
            with self._timed():
                for zone in aggregator.other_zones():
                    run_at_once(aggregator.read_zone(zone))

    def _begin_attempt(self, node_id: str) -> None:
        wait_s = self._random.expovariate(ATTEMPTS_PER_S)
        self._at(self._now_s + wait_s, self._begin_attempt, node_id)
        node = self.node_by_id[node_id]
        if node.backlogs.is_outdated():
            self._exchange(node_id)
        attempt = self.draw_attempt(node)
        backlog_s = self._backlog_s_by_id[attempt.upstream]
        if backlog_s > _LONG_BACKLOG_S:
            expected_s = node.backlogs.wait_s(attempt.upstream)
            self._blind.append(expected_s < _BLIND_SHARE * backlog_s)
        hold = node.backlogs.track(attempt.upstream, attempt.expected_s)
        hold.__enter__()
        self._change(attempt.upstream, attempt.expected_s)
        if self.is_told_first:
            self._exchange(node_id)
        self._exchange_if_due(node_id)
        self._at(
            self._now_s + attempt.head_s,
            self._end_attempt,
            node_id,
            attempt,
            hold,
        )

    def _draw_attempt(self, node: Node) -> Attempt:
        """Returns an attempt at an upstream that is chosen at random."""
        is_local = self._random.random() < _LOCAL_SHARE
        upstream = self._random.choice(
            self._upstreams_by_zone[node.zone] if is_local else self._upstreams
        )
        prefill_s = self._draw_prefill_s()
        return Attempt(
            upstream, prefill_s, self._backlog_s_by_id[upstream] + prefill_s
        )

    def _draw_prefill_s(self) -> float:
        tokens = min(
            _MAX_TOKENS,
            self._random.lognormvariate(
                _LOG_TOKENS_MEAN, _LOG_TOKENS_DEVIATION
            ),
        )
        is_small = self._random.random() < _SMALL_MODEL_SHARE
        return tokens / (
            _SMALL_MODEL_TOKENS_PER_S if is_small else _LARGE_MODEL_TOKENS_PER_S
        )

    def _end_attempt(
        self,
        node_id: str,
        attempt: Attempt,
        hold: contextlib.AbstractContextManager[None],
    ) -> None:
        hold.__exit__(None, None, None)
        attempt.note_head()
        self._change(attempt.upstream, -attempt.expected_s)
        self._exchange_if_due(node_id)

    def _change(self, upstream: str, seconds: float) -> None:
        self._backlog_s_by_id[upstream] += seconds  # type: ignore[assignment]
        self._history_by_id[upstream].append(
            (self._now_s, self._backlog_s_by_id[upstream])
        )

    def _range_s(self, upstream: str, window_s: float) -> tuple[float, float]:
        """Returns the shortest and the longest backlog in a window."""
        history = self._history_by_id[upstream]
        index = bisect.bisect(history, (self._now_s - window_s, math.inf)) - 1
        backlogs_s = [each for _, each in history[max(0, index) :]]
        return min(backlogs_s), max(backlogs_s)

    def _sample(self) -> None:
        """Compares what some nodes would expect now with the backlogs."""
        self._at(self._now_s + _SAMPLE_INTERVAL_S, self._sample)
        changed = []
        for upstream in self._upstreams:
            shortest_s, longest_s = self._range_s(upstream, _CHANGED_WITHIN_S)
            if longest_s - shortest_s >= _TOLERANCE_S:
                changed.append(upstream)
        ids = sorted(self.node_by_id)
        nodes = self._random.sample(ids, min(_SAMPLED_NODES, len(ids)))
        for node_id in nodes:
            if self.node_by_id[node_id].backlogs.is_outdated():
                self._exchange(node_id)
        for upstream in self._random.sample(
            changed, min(_SAMPLED_UPSTREAMS, len(changed))
        ):
            shortest_s, longest_s = self._range_s(upstream, _WINDOW_S)
            for node_id in nodes:
                known_s = self.node_by_id[node_id].backlogs.wait_s(upstream)
                self._known.append(
                    shortest_s - _TOLERANCE_S
                    <= known_s
                    <= longest_s + _TOLERANCE_S
                )
