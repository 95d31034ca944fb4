"""Table of upstreams: entries, load reports and reachability."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

__all__ = ["HostEntry", "HostRole", "LoadReport", "Upstream", "UpstreamTable"]

_FAILURES_BEFORE_EXCLUSION = 2
_MIN_EXCLUSION_S = 2.0
_MAX_EXCLUSION_S = 10.0
# Half-life of the weight of a reported load. A model's answer takes some
# seconds, after which the reported requests have mostly ended.
_LOAD_HALF_LIFE_S = 1.0


class HostRole(enum.Enum):
    """Role of a host in the platform's host list."""

    NODE = "node"
    ENGINE = "engine"
    SERVICE = "service"


class HostEntry(NamedTuple):
    """One entry of the platform's host list, which may be out of date.

    Attributes:
        host_id: Identifier of the host.
        role: Role of the host.
        pool: Name of its model or service, empty for a node.
        address: "ip:port" for requests; for a node, of its peer server.
        zone: Availability zone.
        is_leaving: Whether the host accepts no new work.
        honours_fencing: Whether it rejects orders with an old fencing number.
        version: Version of its software, empty if not given.
        slots: Requests that it can run at once, 0 if not given.
        started_ms: Unix millisecond of its start, 0 if not given.
        sequence: Number that grows with each entry of one process.
        cold_s: Seconds left of its cold phase when it wrote the entry.
    """

    host_id: str
    role: HostRole
    pool: str
    address: str
    zone: str
    is_leaving: bool
    honours_fencing: bool
    version: str = ""
    slots: int = 0
    started_ms: int = 0
    sequence: int = 0
    cold_s: float = 0.0


class LoadReport(NamedTuple):
    """Load that an upstream reported; it may be out of date.

    Attributes:
        versions: Loaded versions, empty for a service.
        running: Requests running there.
        queued: Requests waiting there.
        started_at_s: Wall-clock second at which it started, as reported.
        completed_total: Requests completed since it started.
        received_s: Monotonic second of receipt at this node.
        slowness: How long work takes there at the moment, 1 is usual; None if
            it doesn't tell.
    """

    versions: frozenset[str]
    running: int
    queued: int
    started_at_s: float
    completed_total: int
    received_s: float
    slowness: float | None = None


class Upstream:
    """One upstream: its entry, its last report and this node's counts.

    Attributes:
        entry: Its entry in the host list.
        report: The last load report or None.
        in_flight: Requests of this node running there.
        cold_until_s: Monotonic second until which it is cold.
        connect_failed_s: Monotonic second of a failure to connect, None after a
            later response or entry.
        is_listed: Whether the host list includes it. One that disappeared
            without notice is kept for a while, as a last resort.
        malformed_headers: Names of the headers that could not be used in its
            last response.
    """

    def __init__(self, entry: HostEntry):
        self.entry = entry
        self.report: LoadReport | None = None
        self.in_flight = 0
        self.is_listed = True
        self.malformed_headers: tuple[str, ...] = ()
        self.cold_until_s = 0.0
        self.connect_failed_s: float | None = None
        self._sent_since_report = 0
        self._failures = 0
        self._excluded_until_s = 0.0

    def note_unreachable(self, now_s: float) -> None:
        """Records a failure to reach it; several in a row exclude it."""
        self._failures += 1
        if self._failures >= _FAILURES_BEFORE_EXCLUSION:
            self.exclude(now_s)

    def exclude(self, now_s: float) -> None:
        """Excludes it from selection, for longer after each failure."""
        excess = max(0, self._failures - _FAILURES_BEFORE_EXCLUSION)
        exclusion_s = min(
            _MAX_EXCLUSION_S, _MIN_EXCLUSION_S * 2.0 ** min(excess, 10)
        )
        self._excluded_until_s = now_s + exclusion_s

    def note_reachable(self) -> None:
        """Makes it available for selection again."""
        self._failures = 0
        self._excluded_until_s = 0.0

    def forget_failures(self) -> None:
        """Forgets failures that this node's own link caused."""
        self.note_reachable()
        self.connect_failed_s = None

    def is_excluded(self, now_s: float) -> bool:
        """Returns whether it is excluded because it could not be reached."""
        return now_s < self._excluded_until_s

    def report_age_s(self, now_s: float) -> float:
        """Returns seconds since the last report, infinity if there is none."""
        if self.report is None:
            return math.inf
        return now_s - self.report.received_s

    def note_sent(self) -> None:
        """Records a sent request, which no report includes yet."""
        self.in_flight += 1
        self._sent_since_report += 1

    def record_load(self, report: LoadReport) -> None:
        """Records a load report that came with a response."""
        self.report = report
        self._sent_since_report = 0

    def estimated_load(self, now_s: float, usual: float = 0.0) -> float:
        """Returns an estimate of the requests that run or wait there.

        The weight of the report decays with its age, in favour of the usual
        load. The requests that this node has sent since, and those it has in
        flight, are known exactly.
        """
        report = self.report
        if report is None:
            return max(float(self.in_flight), usual)
        weight = 0.5 ** ((now_s - report.received_s) / _LOAD_HALF_LIFE_S)
        load = (
            weight * (report.running + report.queued - usual)
            + usual
            + self._sent_since_report
        )
        return load if load > self.in_flight else float(self.in_flight)

    def end_connect_failure(self, now_s: float, cold_s: float) -> None:
        """Records that a response ended a failure to connect.

        The process may have restarted meanwhile, and is then cold for
        `cold_s` at most.
        """
        if self.connect_failed_s is not None:
            self.connect_failed_s = None
            self.cold_until_s = max(self.cold_until_s, now_s + cold_s)

    def is_cold(self, now_s: float) -> bool:
        """Returns whether it is or may be cold, and so gets few requests."""
        return now_s < self.cold_until_s or self.connect_failed_s is not None

    @property
    def load(self) -> int:
        """Number of requests known to run or wait there."""
        if self.report is None:
            return self.in_flight
        return max(self.report.running + self.report.queued, self.in_flight)

    def serves(self, version: str | None) -> bool:
        """Returns whether it has a version loaded; True for None."""
        if version is None:
            return True
        return self.report is not None and version in self.report.versions


class UpstreamTable:
    """The upstreams known to a node.

    Attributes:
        by_id: Upstreams by host id.
        has_reports: Whether any load report has arrived.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Upstream] = {}
        self.has_reports = False

    def replace_entries(self, entries: Iterable[HostEntry]) -> None:
        """Applies a new host list; processes that remain keep their state."""
        known = self.by_id
        self.by_id = {}
        for entry in entries:
            upstream = known.get(entry.host_id)
            if upstream is None or not _is_same_process(upstream.entry, entry):
                upstream = Upstream(entry)
            upstream.entry = entry
            self.by_id[entry.host_id] = upstream

    def record_reports(self, reports: Mapping[str, LoadReport]) -> None:
        """Records load reports by upstream id; unknown ids are ignored."""
        for upstream_id, report in reports.items():
            upstream = self.by_id.get(upstream_id)
            if upstream is not None:
                upstream.report = report
                self.has_reports = True

    def accepting_in_pool(self, name: str) -> list[Upstream]:
        """Returns the upstreams of a pool that accept new work."""
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.entry.pool == name and not upstream.entry.is_leaving
        ]


def _is_same_process(known: HostEntry, entry: HostEntry) -> bool:
    """Returns whether two entries of one host id are of one process."""
    return (known.address, known.started_ms) == (
        entry.address,
        entry.started_ms,
    )
