"""Gossips how far each node has applied the configuration log.

Each node reports its own offset with its heartbeats. A node forwards a few
reports with each heartbeat and each report a bounded number of times. The
latest report about a node counts.
"""

from collections.abc import Callable
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.state import node_state

__all__ = ["AppliedOffset", "ConfigProgress", "ProgressUpdate"]

_TOPIC = "configuration"
_REPORTS_PER_HEARTBEAT = 4
_SENDS_PER_REPORT = 5
_REPORT_REFRESH_S = 120.0
_RESEND_OFFSET_S = 5.0
_MAX_NODES = 1024
_MAX_CLOCK_AHEAD_S = 60.0
_MAX_REPORT_AGE_S = 600.0


class AppliedOffset(NamedTuple):
    """A node's report of the offset that it has applied.

    Attributes:
        node_id: The reporting node.
        offset: Offset of the last record that it applied.
        reported_at_s: Wall-clock second of that node at the report.
    """

    node_id: str
    offset: int
    reported_at_s: float


class ProgressUpdate(NamedTuple):
    """A gossip message: the offset of the sender, and reports of nodes."""

    offset: int
    applied: tuple[AppliedOffset, ...]


class ConfigProgress:
    """Keeps and gossips the latest report of each node.

    Attributes:
        applied_by_node_id: The latest report of each node.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        on_offset: Callable[[str, int], None],
    ):
        self._state = state
        self._on_offset = on_offset
        self._sends_left_by_id: dict[str, int] = {}
        self._sent_by_neighbour: dict[str, tuple[int, float]] = {}
        self.applied_by_node_id: dict[str, AppliedOffset] = {}

    def attach(
        self,
        bus: interfaces.PeerBus,
        encode: Callable[[ProgressUpdate], bytes],
        decode: Callable[[bytes], ProgressUpdate],
    ) -> None:
        """Exchanges updates with each neighbour over `bus`."""

        def encode_update(neighbour: str) -> bytes | None:
            update = self.update_for(neighbour)
            return None if update is None else encode(update)

        def merge_payload(neighbour: str, payload: bytes) -> None:
            self.merge(neighbour, decode(payload))

        bus.on_delta(_TOPIC, encode_update, merge_payload)

    def update_for(self, neighbour: str) -> ProgressUpdate | None:
        """Returns the update to send to a neighbour, None if nothing is new."""
        self._refresh_own_report()
        now_s = self._state.environment.monotonic_s()
        applied = self._next_reports()
        offset = self._state.catalog.offset
        sent_offset, sent_at_s = self._sent_by_neighbour.get(
            neighbour, (None, 0.0)
        )
        is_offset_sent = (
            sent_offset == offset and now_s - sent_at_s < _RESEND_OFFSET_S
        )
        if is_offset_sent and not applied:
            return None
        if len(self._sent_by_neighbour) > _MAX_NODES:
            self._sent_by_neighbour.clear()
        self._sent_by_neighbour[neighbour] = (offset, now_s)
        return ProgressUpdate(offset, applied)

    def merge(self, neighbour: str, update: ProgressUpdate) -> None:
        """Merges an update from a neighbour."""
        own_id = self._state.identity.node_id
        for report in update.applied:
            if report.node_id != own_id:
                self._merge_report(report)
        self._on_offset(neighbour, update.offset)

    def _drop_expired(self, now_s: float) -> None:
        """Drops reports that are too old: their nodes stopped reporting."""
        for node_id, report in list(self.applied_by_node_id.items()):
            if now_s - report.reported_at_s > _MAX_REPORT_AGE_S:
                del self.applied_by_node_id[node_id]
                self._sends_left_by_id.pop(node_id, None)

    def _refresh_own_report(self) -> None:
        """Renews the own report if the offset changed or the report is old."""
        own_id = self._state.identity.node_id
        offset = self._state.catalog.offset
        now_s = self._state.environment.wall_s()
        known = self.applied_by_node_id.get(own_id)
        is_current = (
            known is not None
            and known.offset == offset
            and 0 <= now_s - known.reported_at_s < _REPORT_REFRESH_S
        )
        if not is_current:
            self._drop_expired(now_s)
            self._store(AppliedOffset(own_id, offset, now_s))

    def _merge_report(self, report: AppliedOffset) -> None:
        """Stores a report if it is newer than the stored one."""
        latest_s = self._state.environment.wall_s() + _MAX_CLOCK_AHEAD_S
        known = self.applied_by_node_id.get(report.node_id)
        if not report.reported_at_s <= latest_s:
            return
        if known is None and len(self.applied_by_node_id) >= _MAX_NODES:
            return
        if known is None or report.reported_at_s > known.reported_at_s:
            self._store(report)

    def _store(self, report: AppliedOffset) -> None:
        self.applied_by_node_id[report.node_id] = report
        self._sends_left_by_id[report.node_id] = _SENDS_PER_REPORT

    def _next_reports(self) -> tuple[AppliedOffset, ...]:
        """Returns the reports sent least often and counts them as sent."""
        sends_left_by_id = self._sends_left_by_id
        chosen = sorted(
            sends_left_by_id, key=lambda each: (-sends_left_by_id[each], each)
        )
        chosen = chosen[:_REPORTS_PER_HEARTBEAT]
        for node_id in chosen:
            sends_left_by_id[node_id] -= 1
            if not sends_left_by_id[node_id]:
                del sends_left_by_id[node_id]
        return tuple(self.applied_by_node_id[each] for each in chosen)
