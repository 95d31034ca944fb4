"""Polls load reports of upstreams and gossips them among the nodes.

One node of an upstream's zone polls it and sends the reports that differ
enough from the last one sent; the others poll only if its reports stop.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple
import zlib

from lycheegw.coordination import change_tracker
from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["FindReport", "ReportPoller", "ReportUpdate", "short_key"]

_POLL_TIMEOUT_S = 1.0
_TICK_S = 0.2
# Bounds the burst of a starting node, which has no reports yet.
_MAX_POLLS_PER_TICK = 4
# How long the selection of upstreams to poll is reused.
_SELECTION_CACHE_S = 1.0
_MAX_POLLS_PER_S = 1.5
_MAX_UPSTREAMS = 4000
_MAX_UPDATES_PER_HEARTBEAT = 400
# Unchanged reports are sent again, so that an old report means a lost poller.
_REFRESH_S = 30.0
_OTHER_ZONE_REFRESH_S = 60.0
# Age of a report after which other nodes poll the upstream as well.
_STALE_S = 75.0
_OTHER_ZONE_STALE_S = 150.0
_FIRST_REPORT_WAIT_S = 1.0
_MIN_LOAD_CHANGE = 2
_MIN_LOAD_CHANGE_SHARE = 0.25
_OTHER_ZONE_LOAD_CHANGE_SHARE = 1.0


class ReportUpdate(NamedTuple):
    """A gossip message with the load report of an upstream.

    Attributes:
        upstream_id: The upstream that reported.
        polled_ms: Wall-clock millisecond of the poll.
        report: The report; the receiver ignores its `received_s`.
        age_s: Seconds from the poll until this message was sent.
        is_unreachable: Whether the poll failed; `report` is then the last one.
        is_described: Whether versions and start time are included.
    """

    upstream_id: str
    polled_ms: int
    report: upstreams.LoadReport
    age_s: float
    is_unreachable: bool
    is_described: bool


FindReport = Callable[[int], tuple[str, upstreams.LoadReport] | None]
LiveNodes = Callable[[str | None], Sequence[str]]

_Description = tuple[frozenset[str], float]


class ReportPoller:
    """Polls the upstreams assigned to this node and gossips their reports."""

    def __init__(
        self,
        state: node_state.NodeState,
        client: interfaces.UpstreamClient,
        live_nodes: LiveNodes,
    ):
        self._state = state
        self._client = client
        self._live_nodes = live_nodes
        self._own_zone_updates: change_tracker.ChangeTracker[ReportUpdate] = (
            change_tracker.ChangeTracker(_MAX_UPSTREAMS)
        )
        self._other_zone_updates: change_tracker.ChangeTracker[ReportUpdate] = (
            change_tracker.ChangeTracker(_MAX_UPSTREAMS)
        )
        self._sent_descriptions: dict[str, dict[str, _Description]] = {}
        self._due_s_by_id: dict[str, float] = {}
        self._first_seen_s_by_id: dict[str, float] = {}
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}
        self._id_by_key: dict[int, str] = {}
        self._polled_cache: list[upstreams.Upstream] = []
        self._polled_cache_until_s = 0.0
        self._polled_cache_table: object = None
        self._pollers_by_zone: dict[str, tuple[tuple[str, ...], dict[str, str]]]
        self._pollers_by_zone = {}

    async def run(self) -> None:
        """Polls until cancelled."""
        try:
            while True:
                self._start_polls()
                await self._state.environment.sleep(_TICK_S)
        finally:
            for task in list(self._tasks_by_id.values()):
                task.cancel()

    def _start_polls(self) -> None:
        """Starts a poll of each upstream that is due, up to a limit."""
        now_s = self._now_s()
        polled = self._polled_upstreams()
        interval_s = max(
            self._state.limits.report_interval_s, len(polled) / _MAX_POLLS_PER_S
        )
        due = [each for each in polled if self._is_due(each, now_s)]
        for upstream in due[:_MAX_POLLS_PER_TICK]:
            upstream_id = upstream.entry.host_id
            self._due_s_by_id[upstream_id] = now_s + interval_s
            self._tasks_by_id[upstream_id] = asyncio.create_task(
                self._run_poll(upstream)
            )

    def _is_due(self, upstream: upstreams.Upstream, now_s: float) -> bool:
        upstream_id = upstream.entry.host_id
        is_running = upstream_id in self._tasks_by_id
        return not is_running and now_s >= self._due_s_by_id.get(
            upstream_id, 0.0
        )

    async def _run_poll(self, upstream: upstreams.Upstream) -> None:
        try:
            await self.poll(upstream)
        finally:
            del self._tasks_by_id[upstream.entry.host_id]

    def _polled_upstreams(self) -> list[upstreams.Upstream]:
        """Returns the upstreams that this node polls, cached for a while."""
        table = self._state.upstreams.by_id
        if (
            table is not self._polled_cache_table
            or self._now_s() >= self._polled_cache_until_s
        ):
            self._polled_cache = self._select_polled()
            self._polled_cache_table = table
            self._polled_cache_until_s = self._now_s() + _SELECTION_CACHE_S
        return self._polled_cache

    def _select_polled(self) -> list[upstreams.Upstream]:
        known = self._state.upstreams.by_id
        self._first_seen_s_by_id = {
            upstream_id: self._first_seen_s_by_id.get(
                upstream_id, self._now_s()
            )
            for upstream_id in known
        }
        return [each for each in known.values() if self._is_polled_here(each)]

    def _is_polled_here(self, upstream: upstreams.Upstream) -> bool:
        own_id = self._state.identity.node_id
        own_zone = self._state.identity.zone
        upstream_id = upstream.entry.host_id
        zone = upstream.entry.zone
        if zone != own_zone and self._has_lost_poller(upstream):
            zone = own_zone
        poller = self._poller(zone, upstream_id)
        if poller is None:
            poller = self._poller(own_zone, upstream_id)
        if poller == own_id:
            return True
        return zone == own_zone and self._has_lost_poller(upstream)

    def _has_lost_poller(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether the upstream's poller seems to have failed."""
        is_own_zone = upstream.entry.zone == self._state.identity.zone
        stale_s = _STALE_S if is_own_zone else _OTHER_ZONE_STALE_S
        if upstream.report is not None:
            return upstream.report_age_s(self._now_s()) > stale_s
        first_seen_s = self._first_seen_s_by_id[upstream.entry.host_id]
        wait_s = (
            _FIRST_REPORT_WAIT_S if is_own_zone else 2 * _FIRST_REPORT_WAIT_S
        )
        return self._now_s() - first_seen_s > wait_s

    def _poller(self, zone: str, upstream_id: str) -> str | None:
        """Returns the node of `zone` that polls an upstream, None if none."""
        nodes = tuple(self._live_nodes(zone))
        if not nodes:
            return None
        cached = self._pollers_by_zone.get(zone)
        if cached is None or cached[0] != nodes:
            cached = (nodes, {})
            self._pollers_by_zone[zone] = cached
        poller_by_id = cached[1]
        if upstream_id not in poller_by_id:
            poller_by_id[upstream_id] = rendezvous.order(upstream_id, nodes)[0]
        return poller_by_id[upstream_id]

    async def poll(self, upstream: upstreams.Upstream) -> None:
        """Reads one report, applies it and publishes it."""
        try:
            report = await self._client.report(upstream.entry, _POLL_TIMEOUT_S)
        except errors.UpstreamError:
            self._state.counters.add("reports.read_failed")
            upstream.note_unreachable(self._now_s())
            if upstream.report is not None and upstream.is_excluded(
                self._now_s()
            ):
                self._publish(self._own_update(upstream, upstream.report, True))
            return
        upstream.note_reachable()
        self._state.counters.add("reports.read")
        self._state.upstreams.record_reports({upstream.entry.host_id: report})
        self.publish(upstream, report)

    def publish(
        self, upstream: upstreams.Upstream, report: upstreams.LoadReport
    ) -> None:
        """Publishes a report that this node has read to its neighbours."""
        self._publish(self._own_update(upstream, report, False))

    def _own_update(
        self,
        upstream: upstreams.Upstream,
        report: upstreams.LoadReport,
        is_unreachable: bool,
    ) -> ReportUpdate:
        polled_ms = int(self._state.environment.wall_s() * 1000)
        return ReportUpdate(
            upstream.entry.host_id, polled_ms, report, 0.0, is_unreachable, True
        )

    def _publish(self, update: ReportUpdate) -> None:
        """Publishes an update if it differs enough from the last one."""
        upstream_id = update.upstream_id
        self._id_by_key[short_key(upstream_id)] = upstream_id
        if self._is_worth_sending(
            self._own_zone_updates, update, _MIN_LOAD_CHANGE_SHARE, _REFRESH_S
        ):
            self._own_zone_updates.put(upstream_id, update)
        if self._is_worth_sending(
            self._other_zone_updates,
            update,
            _OTHER_ZONE_LOAD_CHANGE_SHARE,
            _OTHER_ZONE_REFRESH_S,
        ):
            self._other_zone_updates.put(upstream_id, update)

    @staticmethod
    def _is_worth_sending(
        sent_updates: change_tracker.ChangeTracker[ReportUpdate],
        update: ReportUpdate,
        min_change_share: float,
        refresh_s: float,
    ) -> bool:
        known = sent_updates.get(update.upstream_id)
        if known is None or update.is_unreachable != known.is_unreachable:
            return True
        if _description(update.report) != _description(known.report):
            return True
        if update.polled_ms - known.polled_ms >= refresh_s * 1000:
            return True
        before, after = _load(known.report), _load(update.report)
        return abs(after - before) >= max(
            _MIN_LOAD_CHANGE, min_change_share * before
        )

    def updates_for(self, neighbour: str, zone: str) -> list[ReportUpdate]:
        """Returns the updates to send to a neighbour in `zone`."""
        is_own_zone = zone == self._state.identity.zone
        sent_updates = (
            self._own_zone_updates if is_own_zone else self._other_zone_updates
        )
        sent_descriptions = self._sent_descriptions.setdefault(neighbour, {})
        now_s = self._now_s()
        return [
            self._for_neighbour(update, sent_descriptions, now_s)
            for update in sent_updates.take_unsent(
                neighbour, _MAX_UPDATES_PER_HEARTBEAT
            )
            if is_own_zone or self._is_of_own_zone(update)
        ]

    def _for_neighbour(
        self,
        update: ReportUpdate,
        sent_descriptions: dict[str, _Description],
        now_s: float,
    ) -> ReportUpdate:
        """Sets the age, and whether the neighbour needs the description."""
        description = _description(update.report)
        is_described = sent_descriptions.get(update.upstream_id) != description
        sent_descriptions[update.upstream_id] = description
        age_s = max(0.0, now_s - update.report.received_s)
        return update._replace(age_s=age_s, is_described=is_described)

    def _is_of_own_zone(self, update: ReportUpdate) -> bool:
        upstream = self._state.upstreams.by_id.get(update.upstream_id)
        own_zone = self._state.identity.zone
        return upstream is not None and upstream.entry.zone == own_zone

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._own_zone_updates.forget_sent(neighbour)
        self._other_zone_updates.forget_sent(neighbour)
        self._sent_descriptions.pop(neighbour, None)

    def merge(self, source: str, updates: Iterable[ReportUpdate]) -> None:
        """Merges a neighbour's updates that are newer than the known ones."""
        for update in updates:
            known = self._own_zone_updates.get(update.upstream_id)
            if known is None or update.polled_ms > known.polled_ms:
                self._store(source, update)

    def _store(self, source: str, update: ReportUpdate) -> None:
        received_s = self._now_s() - update.age_s
        report = update.report._replace(received_s=received_s)
        update = update._replace(report=report)
        self._id_by_key[short_key(update.upstream_id)] = update.upstream_id
        self._own_zone_updates.put(update.upstream_id, update, source)
        if self._is_worth_sending(
            self._other_zone_updates,
            update,
            _OTHER_ZONE_LOAD_CHANGE_SHARE,
            _OTHER_ZONE_REFRESH_S,
        ):
            self._other_zone_updates.put(update.upstream_id, update, source)
        upstream = self._state.upstreams.by_id.get(update.upstream_id)
        if upstream is None:
            return
        if update.is_unreachable:
            upstream.exclude(self._now_s())
        else:
            upstream.note_reachable()
        if upstream.report is None or received_s > upstream.report.received_s:
            self._state.upstreams.record_reports({update.upstream_id: report})

    def set_missing_report(self, upstream: upstreams.Upstream) -> None:
        """Sets the report of an upstream that was listed after its report."""
        update = self._own_zone_updates.get(upstream.entry.host_id)
        if update is not None and upstream.report is None:
            upstream.report = update.report

    def find_by_short_key(
        self, key: int
    ) -> tuple[str, upstreams.LoadReport] | None:
        """Returns id and latest report of the upstream with a short key."""
        upstream_id = self._id_by_key.get(key, "")
        update = self._own_zone_updates.get(upstream_id)
        return None if update is None else (upstream_id, update.report)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def short_key(upstream_id: str) -> int:
    """Returns the key that stands for an upstream's id in messages."""
    return zlib.crc32(upstream_id.encode())


def _description(report: upstreams.LoadReport) -> _Description:
    return report.versions, report.started_at_s


def _load(report: upstreams.LoadReport) -> int:
    return report.running + report.queued
