"""Estimates how much prefill work upstreams and organisations have left.

Upstreams report their load as a number of requests, but one prompt may take a
thousand times as long as another. Each node sums the expected prefill times of
the requests that it has sent and that await their response head. It reports
them to the aggregator of its zone, and gets the sums of all nodes in reply.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import heapq
import math

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination.load import backlog_aggregator
from lycheegw.coordination.load import backlog_sums
from lycheegw.coordination.load import zone_aggregators
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = ["Backlogs"]

# Changes of an upstream's backlog from this on are reported soon, in
# milliseconds. Smaller ones go with the next report.
_MIN_REPORTED_CHANGE_MS = 100
# Minimum time between two reports of a node, and the age from which on the sums
# are read before an upstream is chosen, in seconds: as a lower bound, and for
# each node of the zone, which bounds the work of the aggregator.
_MIN_INTERVAL_S = 0.02
_INTERVAL_S_PER_NODE = 0.0015
# Time for which a request waits for the sums, in seconds.
_MAX_WAIT_S = 0.1
# A report that is not empty is repeated after this time, in seconds.
_REPEAT_AFTER_S = 1.0
# Longest backlog in a report, in milliseconds; the field has 32 bits.
_MAX_BACKLOG_MS = 2**32 - 1
# Organisations of which a node reports the work; those with little work are
# left out beyond.
_MAX_ORGANISATIONS = 200
# Interval at which a report has the samples of speeds, in seconds.
_SPEEDS_INTERVAL_S = 2.0


class Backlogs:
    """This node's estimate of the prefill backlog of every upstream.

    The estimate combines the node's own outstanding requests with the sums
    that the aggregator of its zone sent last.

    Attributes:
        own_speeds: Returns this node's samples of the speeds of upstreams,
            which go with its reports.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        peers: interfaces.PeerBus,
        codec: backlog_aggregator.Codec,
        aggregators: zone_aggregators.ZoneAggregators,
    ):
        self._state = state
        self._peers = peers
        self._codec = codec
        self._aggregators = aggregators
        self._started_ms = int(state.environment.wall_s() * 1000)
        self._sequence = 0
        self.own_speeds: Callable[[], Mapping[backlog_sums.Key, int]] = dict
        self._speeds_reported_s = -math.inf
        self._own_s_by_key: dict[backlog_sums.Key, float] = {}
        self._copy = backlog_sums.SumsCopy()
        # The own report that is contained in the copy.
        self._reported_ms: Mapping[backlog_sums.Key, int] = {}
        self._exchanged_s = -math.inf
        self._is_due = asyncio.Event()
        self._exchange_ended: asyncio.Future[None] | None = None

    @contextlib.contextmanager
    def track(
        self,
        upstream_id: str,
        seconds: float,
        service: str = "",
        organisation: str = "",
    ) -> Iterator[None]:
        """Adds a request's prefill time to the backlog until the block ends.

        Args:
            upstream_id: Upstream that the request is sent to.
            seconds: Expected prefill time.
            service: Service of the upstream.
            organisation: Organisation of the request, empty if it has none.
        """
        keys: list[backlog_sums.Key] = [upstream_id]
        if organisation:
            keys.append(backlog_sums.OrganisationKey(service, organisation))
        for key in keys:
            self._add(key, seconds)
        try:
            yield
        finally:
            for key in keys:
                self._add(key, -seconds)

    def wait_s(self, upstream_id: str) -> float:
        """Returns the outstanding prefill time at an upstream, of all nodes."""
        return self._seconds([upstream_id])[0]

    def waits_s(self, upstream_ids: Sequence[str]) -> list[float]:
        """Returns these times of several upstreams, in the same order."""
        return self._seconds(upstream_ids)

    def organisations(self, service: str) -> Mapping[str, float]:
        """Returns the outstanding prefill time at a service by organisation.

        It is that of all nodes, in seconds.
        """
        keys = self._own_s_by_key.keys() | self._copy.value_by_key.keys()
        found = [
            key
            for key in keys
            if isinstance(key, backlog_sums.OrganisationKey)
            and key.service == service
        ]
        return {
            key.organisation: seconds
            for key, seconds in zip(found, self._seconds(found), strict=True)
            if seconds
        }

    def known_sums(self) -> Mapping[backlog_sums.Key, int]:
        """Returns the sums that the aggregator sent, none if too old."""
        if self.age_s() > backlog_aggregator.EXPIRE_AFTER_S:
            return {}
        return self._copy.value_by_key

    def _seconds(self, keys: Sequence[backlog_sums.Key]) -> list[float]:
        """Returns figures of all nodes, with this node's own part of now."""
        own = self._own_s_by_key
        sums, reported = self.known_sums(), self._reported_ms
        if not sums:
            return [own.get(key, 0.0) for key in keys]
        return [
            own.get(key, 0.0)
            + max(0, sums.get(key, 0) - reported.get(key, 0)) / 1000
            for key in keys
        ]

    def longest_s(self) -> float:
        """Returns the longest backlog of all listed upstreams."""
        ids = self._state.upstreams.by_id
        return max(self.waits_s(list(ids)), default=0.0)

    def busiest_to_mean(self) -> float:
        """Returns the longest backlog over the mean one, 1 without any."""
        ids = self._state.upstreams.by_id
        backlogs_s = self.waits_s(list(ids))
        total_s = sum(backlogs_s)
        return max(backlogs_s) * len(ids) / total_s if total_s else 1.0

    def age_s(self) -> float:
        """Returns the age of what is known of the other nodes' backlogs."""
        return self._now_s() - self._copy.updated_s

    def age_used_s(self) -> float:
        """Returns the age of the figures in use, 0 if they are all its own."""
        age_s = self.age_s()
        return age_s if age_s <= backlog_aggregator.EXPIRE_AFTER_S else 0.0

    def _add(self, key: backlog_sums.Key, seconds: float) -> None:
        total_s = self._own_s_by_key.get(key, 0.0) + seconds
        if total_s < 1e-6:
            self._own_s_by_key.pop(key, None)
        else:
            self._own_s_by_key[key] = total_s
        change_ms = _milliseconds(total_s) - self._reported_ms.get(key, 0)
        if abs(change_ms) >= _MIN_REPORTED_CHANGE_MS:
            self._is_due.set()

    def interval_s(self) -> float:
        """Returns the minimum time between two exchanges."""
        nodes = self._aggregators.node_count(self._state.identity.zone)
        return max(_MIN_INTERVAL_S, _INTERVAL_S_PER_NODE * nodes)

    def is_outdated(self) -> bool:
        """Returns whether the sums should be read before they are used."""
        zone = self._state.identity.zone
        return (
            self.age_s() > self.interval_s()
            and self._aggregators.aggregator(zone) is not None
        )

    def next_exchange_s(self) -> float:
        """Returns the monotonic second from which on an exchange is allowed."""
        return self._exchanged_s + self.interval_s()

    async def refresh(self) -> None:
        """Reads the sums unless they are recent; waits only a short time.

        What was known before holds on if there is no reply.
        """
        if not self.is_outdated():
            return
        if self._exchange_ended is None:
            loop = asyncio.get_running_loop()
            self._exchange_ended = loop.create_future()
        self._is_due.set()
        await asyncio.wait({self._exchange_ended}, timeout=_MAX_WAIT_S)

    @property
    def is_report_due(self) -> bool:
        """Whether a change is to be reported, or a request waits for sums."""
        return self._is_due.is_set()

    def is_repetition_due(self) -> bool:
        """Returns whether the last report is to be repeated or withdrawn."""
        return (
            bool(self._own_s_by_key or self._reported_ms)
            and self._now_s() >= self._exchanged_s + _REPEAT_AFTER_S
        )

    async def run(self) -> None:
        """Reports this node's backlogs and reads the sums until cancelled."""
        sleep = self._state.environment.sleep
        while True:
            await self._wait_until_due()
            await sleep(max(0.0, self.next_exchange_s() - self._now_s()))
            await self.run_once()

    async def _wait_until_due(self) -> None:
        """Returns when a report is due: after a change, or as a repetition."""
        while not self.is_report_due and not self.is_repetition_due():
            has_report = bool(self._own_s_by_key or self._reported_ms)
            limit_s = _REPEAT_AFTER_S if has_report else None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await self._is_due.wait()

    async def run_once(self) -> None:
        """Reports once, and lets the requests go on that wait for the sums."""
        self._is_due.clear()
        await self.exchange()
        if self._exchange_ended is not None:
            self._exchange_ended.set_result(None)
            self._exchange_ended = None

    async def exchange(self) -> None:
        """Reports this node's backlogs once, and reads the sums."""
        aggregator = self._aggregators.aggregator(self._state.identity.zone)
        self._exchanged_s = self._now_s()
        if aggregator is None:
            return
        self._sequence += 1
        is_speeds_due = (
            self._exchanged_s >= self._speeds_reported_s + _SPEEDS_INTERVAL_S
        )
        report = backlog_aggregator.Report(
            self._state.identity.node_id,
            self._started_ms,
            self._sequence,
            self._own_figures(),
            self.own_speeds() if is_speeds_due else None,
        )
        query = backlog_aggregator.Query(
            report, self._copy.started_ms, self._copy.sequence
        )
        try:
            reply = await self._peers.call(
                aggregator,
                backlog_aggregator.TOPIC,
                self._codec.encode_query(query),
                backlog_aggregator.CALL_TIMEOUT_S,
            )
            sums = self._codec.decode_sums(reply)
        except (
            errors.PeerUnavailableError,
            errors.PeerMessageError,
        ) as error:
            self._state.counters.add("backlogs.unread")
            logging.warning("sums of backlogs: %s", error)
            self._aggregators.note_no_reply(aggregator)
            # The next one asked may have none of this node's samples.
            self._speeds_reported_s = -math.inf
            return
        self._copy.apply(sums, self._now_s())
        if is_speeds_due:
            self._speeds_reported_s = self._exchanged_s
        self._reported_ms = report.value_by_key

    def _own_figures(self) -> dict[backlog_sums.Key, int]:
        """Returns what this node reports."""
        own = self._own_s_by_key
        organisations = [each for each in own if not isinstance(each, str)]
        left_out = heapq.nsmallest(
            len(organisations) - _MAX_ORGANISATIONS,
            organisations,
            key=own.__getitem__,
        )
        return {
            key: _milliseconds(seconds)
            for key, seconds in own.items()
            if key not in left_out
        }

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _milliseconds(seconds: float) -> int:
    return int(max(0.0, min(seconds * 1000, _MAX_BACKLOG_MS)))
