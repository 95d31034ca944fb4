"""What a node knows of each upstream."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

__all__ = ["HostEntry", "HostRole", "LoadReport", "Upstream", "UpstreamTable"]

_FAILURES_TO_OUT = 2
_OUT_S = 2.0
_MAX_OUT_S = 10.0
# A load told by an answer is about half wrong after this; answers of a model
# take some seconds.
_LOAD_HALF_LIFE_S = 1.0


class HostRole(enum.Enum):
    """What runs on a host of the platform's list."""

    NODE = "node"
    ENGINE = "engine"
    SERVICE = "service"


class HostEntry(NamedTuple):
    """One line of the platform's list of hosts, which lags.

    Attributes:
        host_id: Identifier of the host.
        role: What runs there.
        pool: Name of the model or service behind it, empty for a node.
        address: "ip:port" for requests, for a node of its peer server.
        zone: Availability zone.
        is_leaving: Whether the host takes no new work.
        honours_fencing: Whether it refuses orders with an old fencing number.
        version: Version of its software, empty where not said.
        slots: Requests that it runs at once, 0 where not said.
        started_ms: Unix millisecond of its start, 0 where not said.
        sequence: Grows with each entry of one start.
        cold_s: How long it was to stay cold when it wrote the entry.
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
    """What an upstream said of itself; it lags.

    Attributes:
        versions: Versions loaded, empty for a service.
        running: Requests that run there.
        queued: Requests that wait there.
        started_at_s: Wall second at which it says it started.
        completed_total: Requests completed since the start.
        received_s: Monotonic second of receipt at this node.
    """

    versions: frozenset[str]
    running: int
    queued: int
    started_at_s: float
    completed_total: int
    received_s: float


class Upstream:
    """One upstream: its entry, its last report and this node's own counts.

    Attributes:
        entry: The line of the platform's list.
        report: The last load report or None.
        in_flight: Requests of this node that run there now.
        cold_until_s: Monotonic second until which it is cold.
        doubted_s: Monotonic second of a failure to connect, None once a later
            answer or entry came.
        is_listed: Whether the list has it; one that vanished without
            leaving is kept for a while, as the last choice.
    """

    def __init__(self, entry: HostEntry):
        self.entry = entry
        self.report: LoadReport | None = None
        self.in_flight = 0
        self.is_listed = True
        self.cold_until_s = 0.0
        self.doubted_s: float | None = None
        self._sent_since_report = 0
        self._failures = 0
        self._out_until_s = 0.0

    def note_unreachable(self, now_s: float) -> None:
        """Counts a failure to reach it; several in a row take it out."""
        self._failures += 1
        if self._failures >= _FAILURES_TO_OUT:
            self.take_out(now_s)

    def take_out(self, now_s: float) -> None:
        """Takes it out of the choice for a while that grows."""
        surplus = max(0, self._failures - _FAILURES_TO_OUT)
        out_s = min(_MAX_OUT_S, _OUT_S * 2.0 ** min(surplus, 10))
        self._out_until_s = now_s + out_s

    def note_reachable(self) -> None:
        """Takes it back into the choice."""
        self._failures = 0
        self._out_until_s = 0.0

    def is_out(self, now_s: float) -> bool:
        """Returns whether it was lately not to be reached."""
        return now_s < self._out_until_s

    def report_age_s(self, now_s: float) -> float:
        """Returns seconds since the last report was made, inf for none."""
        if self.report is None:
            return math.inf
        return now_s - self.report.received_s

    def note_sent(self) -> None:
        """Counts a request that no report can know of yet."""
        self.in_flight += 1
        self._sent_since_report += 1

    def take_load(self, report: LoadReport) -> None:
        """Takes a load that an answer carried."""
        self.report = report
        self._sent_since_report = 0

    def estimated_load(self, now_s: float) -> float:
        """Returns about how many requests run or wait there.

        A report loses weight as it ages; what this node sent since, and what
        of its own requests runs there, is known for certain.
        """
        if self.report is None:
            return float(self.in_flight)
        weight = 0.5 ** (self.report_age_s(now_s) / _LOAD_HALF_LIFE_S)
        reported = self.report.running + self.report.queued
        return max(
            float(self.in_flight),
            weight * reported + self._sent_since_report,
        )

    def end_doubt(self, now_s: float, cold_s: float) -> None:
        """Takes note of an answer after a failure to connect.

        The process may have started anew meanwhile, and is then cold for
        `cold_s` at most.
        """
        if self.doubted_s is not None:
            self.doubted_s = None
            self.cold_until_s = max(self.cold_until_s, now_s + cold_s)

    def is_cold(self, now_s: float) -> bool:
        """Returns whether it bears only few requests a second."""
        return now_s < self.cold_until_s or self.doubted_s is not None

    @property
    def load(self) -> int:
        """Requests known to run or wait there."""
        if self.report is None:
            return self.in_flight
        return max(self.report.running + self.report.queued, self.in_flight)

    def serves(self, version: str | None) -> bool:
        """Returns whether the upstream has a version loaded; any for None."""
        if version is None:
            return True
        return self.report is not None and version in self.report.versions


class UpstreamTable:
    """The upstreams known to a node.

    Attributes:
        by_id: Upstreams by host id.
        has_reports: Whether any upstream has ever reported.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Upstream] = {}
        self.has_reports = False

    def replace_entries(self, entries: Iterable[HostEntry]) -> None:
        """Takes over the platform's list, keeping counts of those that stay."""
        known = self.by_id
        self.by_id = {}
        for entry in entries:
            upstream = known.get(entry.host_id)
            if upstream is None or not _is_same_process(upstream.entry, entry):
                upstream = Upstream(entry)
            upstream.entry = entry
            self.by_id[entry.host_id] = upstream

    def take_reports(self, reports: Mapping[str, LoadReport]) -> None:
        """Takes over load reports by upstream id; unknown ids are ignored."""
        for upstream_id, report in reports.items():
            upstream = self.by_id.get(upstream_id)
            if upstream is not None:
                upstream.report = report
                self.has_reports = True

    def pool(self, name: str) -> list[Upstream]:
        """Returns the upstreams of a pool that take new work."""
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.entry.pool == name and not upstream.entry.is_leaving
        ]


def _is_same_process(known: HostEntry, entry: HostEntry) -> bool:
    """Returns whether two entries of one id are of the same process."""
    return (known.address, known.started_ms) == (
        entry.address,
        entry.started_ms,
    )
