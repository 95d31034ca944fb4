"""How much prefill work each upstream has left.

The load that an upstream reports counts requests, and one prompt may take a
thousand times as long as another. Each node adds up the prefill times of the
requests that it has sent and that have no answer yet, and reports the sums to
the other nodes, so that all of them see the same backlogs.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
from typing import NamedTuple

from lycheegw.coordination import seams
from lycheegw.state import node_state

__all__ = ["Backlogs", "Codec", "Report"]

_TOPIC = "backlogs"
# Changes below this wait for the next heartbeat.
_REPORT_STEP_S = 0.05
# Least time between two reports of a node that do not wait for a heartbeat,
# for each node of the fleet, and its least value: every node forwards each
# report.
_REPORT_GAP_S_PER_NODE = 0.015
_MIN_REPORT_GAP_S = 0.1
# Most reports in a frame; the others go with the next ones.
_MAX_REPORTS = 16
# A report that is not empty is repeated after this long. One that was not
# repeated is dropped after three times as long: its node is gone.
_REFRESH_S = 1.0
_EXPIRES_S = 3.0


class Report(NamedTuple):
    """The prefill work that one process has sent out.

    Attributes:
        node_id: Node of the process.
        started_ms: Unix millisecond of its start.
        sequence: Grows with each report of a process.
        age_s: Seconds since it was made.
        seconds_by_upstream: Prefill time of unanswered requests by upstream id.
    """

    node_id: str
    started_ms: int
    sequence: int
    age_s: float
    seconds_by_upstream: Mapping[str, float]


class Codec(NamedTuple):
    """How reports are written and read."""

    encode: Callable[[list[Report]], bytes]
    decode: Callable[[bytes], list[Report]]


class _Received(NamedTuple):
    """A report and the monotonic second at which it was made."""

    report: Report
    made_s: float


class Backlogs:
    """The backlogs of all upstreams as this node knows them."""

    def __init__(
        self,
        state: node_state.NodeState,
        peers: seams.PeerBus,
        codec: Codec,
        nudge: Callable[[], None],
    ):
        self._state = state
        self._codec = codec
        self._nudge = nudge
        self._own_id = state.identity.node_id
        self._started_ms = int(state.environment.wall_s() * 1000)
        self._sequence = 0
        self._own_by_upstream: dict[str, float] = {}
        self._received_by_node: dict[str, _Received] = {}
        self._told_by_neighbour: dict[str, dict[str, tuple[int, int]]] = {}
        peers.on_delta(_TOPIC, self._lacking, self._merge)

    def forget_neighbour(self, neighbour: str) -> None:
        """Takes a neighbour to know nothing, since its link is new."""
        self._told_by_neighbour.pop(neighbour, None)

    @contextlib.contextmanager
    def track(self, upstream_id: str, seconds: float) -> Iterator[None]:
        """Counts a request's prefill time until the block ends."""
        self._add(upstream_id, seconds)
        try:
            yield
        finally:
            self._add(upstream_id, -seconds)

    def wait_s(self, upstream_id: str) -> float:
        """Returns the prefill time of all that an upstream was sent."""
        now_s = self._now_s()
        others_s = sum(
            received.report.seconds_by_upstream.get(upstream_id, 0.0)
            for received in self._received_by_node.values()
            if received.report.node_id != self._own_id
            and now_s - received.made_s < _EXPIRES_S
        )
        return self._own_by_upstream.get(upstream_id, 0.0) + others_s

    def longest_s(self) -> float:
        """Returns the longest backlog of the upstreams that are listed."""
        ids = self._state.upstreams.by_id
        return max((self.wait_s(each) for each in ids), default=0.0)

    def _add(self, upstream_id: str, seconds: float) -> None:
        total_s = self._own_by_upstream.get(upstream_id, 0.0) + seconds
        if total_s < 1e-6:
            self._own_by_upstream.pop(upstream_id, None)
        else:
            self._own_by_upstream[upstream_id] = total_s
        received = self._received_by_node.get(self._own_id)
        gap_s = max(
            _MIN_REPORT_GAP_S,
            _REPORT_GAP_S_PER_NODE * len(self._received_by_node),
        )
        if received is not None and self._now_s() - received.made_s < gap_s:
            return
        if self._difference_s() >= _REPORT_STEP_S:
            self._make_report()
            self._nudge()

    def _difference_s(self) -> float:
        """Returns by how much the own backlogs differ from the last report."""
        received = self._received_by_node.get(self._own_id)
        told = (
            received.report.seconds_by_upstream if received is not None else {}
        )
        own = self._own_by_upstream
        return max(
            (
                abs(own.get(each, 0.0) - told.get(each, 0.0))
                for each in {*own, *told}
            ),
            default=0.0,
        )

    def _make_report(self) -> None:
        self._sequence += 1
        report = Report(
            self._own_id,
            self._started_ms,
            self._sequence,
            0.0,
            dict(self._own_by_upstream),
        )
        self._received_by_node[self._own_id] = _Received(report, self._now_s())

    def _lacking(self, neighbour: str) -> bytes | None:
        """Returns the reports that a neighbour lacks."""
        now_s = self._now_s()
        own = self._received_by_node.get(self._own_id)
        is_due = own is None or now_s - own.made_s > _REFRESH_S
        is_empty = not self._own_by_upstream
        if self._difference_s() > 0 or (is_due and not is_empty):
            self._make_report()
        told = self._told_by_neighbour.setdefault(neighbour, {})
        reports: list[Report] = []
        for node_id, received in self._oldest_first():
            if len(reports) >= _MAX_REPORTS:
                break
            age_s = now_s - received.made_s
            if age_s > _EXPIRES_S and node_id != self._own_id:
                del self._received_by_node[node_id]
            elif told.get(node_id, (0, 0)) < _version(received.report):
                told[node_id] = _version(received.report)
                reports.append(received.report._replace(age_s=age_s))
        return self._codec.encode(reports) if reports else None

    def _oldest_first(self) -> list[tuple[str, _Received]]:
        """Returns the own report and then the others, the oldest first."""
        return sorted(
            self._received_by_node.items(),
            key=lambda item: (item[0] != self._own_id, item[1].made_s),
        )

    def _merge(self, neighbour: str, payload: bytes) -> None:
        told = self._told_by_neighbour.setdefault(neighbour, {})
        now_s = self._now_s()
        for report in self._codec.decode(payload):
            version = _version(report)
            told[report.node_id] = max(
                told.get(report.node_id, (0, 0)), version
            )
            known = self._received_by_node.get(report.node_id)
            if report.node_id == self._own_id or (
                known is not None and _version(known.report) >= version
            ):
                continue
            self._received_by_node[report.node_id] = _Received(
                report, now_s - report.age_s
            )

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _version(report: Report) -> tuple[int, int]:
    return report.started_ms, report.sequence
