"""Estimates how much prefill work each upstream has left.

Upstreams report their load as a number of requests, but one prompt may take a
thousand times as long as another. Each node sums the expected prefill times of
the requests that it has sent and that await their response head, and gossips
the sums, so that all nodes balance load by the same backlogs.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import math
from typing import NamedTuple

from lycheegw.coordination import change_tracker
from lycheegw.coordination import interfaces
from lycheegw.state import node_state

__all__ = ["Backlogs", "Codec", "Report"]

_TOPIC = "backlogs"
# Smaller changes wait for the next heartbeat.
_MIN_REPORTED_CHANGE_S = 0.05
# Minimum time between two reports that a node sends ahead of its heartbeat, as
# a time per node of the fleet and as a lower bound. It grows with the fleet
# because every node forwards each report.
_REPORT_GAP_S_PER_NODE = 0.015
_MIN_REPORT_GAP_S = 0.1
# Maximum reports in a frame; the rest go with later frames.
_MAX_REPORTS = 16
# Nodes whose reports are kept for neighbours.
_MAX_NODES = 2_000
# A report that is not empty is repeated after this time. After three times as
# long without a repetition, its node is taken to be gone.
_REPEAT_AFTER_S = 1.0
_EXPIRE_AFTER_S = 3.0


class Report(NamedTuple):
    """The outstanding prefill work of the requests of one node process.

    Attributes:
        node_id: Node that sent the requests.
        started_ms: Start of the node's process, in Unix milliseconds.
        sequence: Grows with each report of a process.
        age_s: Seconds since the report was made.
        seconds_by_upstream: Prefill time of unanswered requests by upstream id.
    """

    node_id: str
    started_ms: int
    sequence: int
    age_s: float
    seconds_by_upstream: Mapping[str, float]


class Codec(NamedTuple):
    """Encodes and decodes reports for gossip messages."""

    encode: Callable[[list[Report]], bytes]
    decode: Callable[[bytes], list[Report]]


class _Received(NamedTuple):
    """A report and the monotonic second at which it was made."""

    report: Report
    made_s: float


class Backlogs:
    """This node's estimate of the prefill backlog of every upstream.

    The estimate combines the node's own outstanding requests with the latest
    reports of the other nodes.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        peers: interfaces.PeerBus,
        codec: Codec,
        send_soon: Callable[[], None],
    ):
        self._state = state
        self._codec = codec
        self._send_soon = send_soon
        self._own_id = state.identity.node_id
        self._started_ms = int(state.environment.wall_s() * 1000)
        self._sequence = 0
        self._own_by_upstream: dict[str, float] = {}
        self._received_by_node: dict[str, _Received] = {}
        # Sum of the other nodes' reports, until one of them changes or expires.
        self._others_by_upstream: dict[str, float] = {}
        self._others_valid_until_s = -math.inf
        self._reports_to_gossip: change_tracker.ChangeTracker[_Received] = (
            change_tracker.ChangeTracker(_MAX_NODES)
        )
        # Sequence of the latest own report that each neighbour got.
        self._own_sent_by_neighbour: dict[str, int] = {}
        peers.on_delta(_TOPIC, self._encode_unknown_reports, self._merge)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._reports_to_gossip.forget_sent(neighbour)
        self._own_sent_by_neighbour.pop(neighbour, None)

    @contextlib.contextmanager
    def track(self, upstream_id: str, seconds: float) -> Iterator[None]:
        """Adds a request's prefill time to the backlog until the block ends."""
        self._add(upstream_id, seconds)
        try:
            yield
        finally:
            self._add(upstream_id, -seconds)

    def wait_s(self, upstream_id: str) -> float:
        """Returns the outstanding prefill time at an upstream, of all nodes."""
        if self._now_s() >= self._others_valid_until_s:
            self._sum_others()
        others_s = self._others_by_upstream.get(upstream_id, 0.0)
        return self._own_by_upstream.get(upstream_id, 0.0) + others_s

    def _sum_others(self) -> None:
        """Adds up the reports of the other nodes that have not expired."""
        now_s = self._now_s()
        total_by_upstream: dict[str, float] = {}
        until_s = math.inf
        for node_id, received in list(self._received_by_node.items()):
            expiry_s = received.made_s + _EXPIRE_AFTER_S
            if node_id == self._own_id:
                continue
            if expiry_s <= now_s:
                del self._received_by_node[node_id]
                self._reports_to_gossip.discard(node_id)
                continue
            until_s = min(until_s, expiry_s)
            for each, seconds in received.report.seconds_by_upstream.items():
                total_by_upstream[each] = (
                    total_by_upstream.get(each, 0.0) + seconds
                )
        self._others_by_upstream = total_by_upstream
        self._others_valid_until_s = until_s

    def longest_s(self) -> float:
        """Returns the longest backlog of all listed upstreams."""
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
        if self._unreported_change_s() >= _MIN_REPORTED_CHANGE_S:
            self._update_own_report()
            self._send_soon()

    def _unreported_change_s(self) -> float:
        """Returns the largest change of any backlog since the last report."""
        received = self._received_by_node.get(self._own_id)
        reported = (
            received.report.seconds_by_upstream if received is not None else {}
        )
        own = self._own_by_upstream
        return max(
            (
                abs(own.get(each, 0.0) - reported.get(each, 0.0))
                for each in {*own, *reported}
            ),
            default=0.0,
        )

    def _update_own_report(self) -> None:
        self._sequence += 1
        report = Report(
            self._own_id,
            self._started_ms,
            self._sequence,
            0.0,
            dict(self._own_by_upstream),
        )
        self._received_by_node[self._own_id] = _Received(report, self._now_s())

    def _encode_unknown_reports(self, neighbour: str) -> bytes | None:
        """Returns the encoded reports that a neighbour doesn't have yet."""
        now_s = self._now_s()
        own = self._received_by_node.get(self._own_id)
        is_due = own is None or now_s - own.made_s > _REPEAT_AFTER_S
        is_empty = not self._own_by_upstream
        if self._unreported_change_s() > 0 or (is_due and not is_empty):
            self._update_own_report()
        reports: list[Report] = []
        own = self._received_by_node.get(self._own_id)
        if (
            own is not None
            and self._own_sent_by_neighbour.get(neighbour)
            != own.report.sequence
        ):
            self._own_sent_by_neighbour[neighbour] = own.report.sequence
            reports.append(own.report._replace(age_s=now_s - own.made_s))
        for received in self._reports_to_gossip.take_unsent(
            neighbour, _MAX_REPORTS - len(reports)
        ):
            age_s = now_s - received.made_s
            if age_s <= _EXPIRE_AFTER_S:
                reports.append(received.report._replace(age_s=age_s))
        return self._codec.encode(reports) if reports else None

    def _merge(self, neighbour: str, payload: bytes) -> None:
        """Merges the reports of a neighbour that are new to this node."""
        now_s = self._now_s()
        for report in self._codec.decode(payload):
            if report.node_id == self._own_id:
                continue
            version = _version(report)
            previous = self._received_by_node.get(report.node_id)
            if previous is not None and _version(previous.report) >= version:
                if _version(previous.report) == version:
                    self._reports_to_gossip.note_known(
                        report.node_id, neighbour
                    )
                continue
            received = _Received(report, now_s - report.age_s)
            self._received_by_node[report.node_id] = received
            self._reports_to_gossip.put(report.node_id, received, neighbour)
            self._others_valid_until_s = -math.inf

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _version(report: Report) -> tuple[int, int]:
    """Returns a key that orders the reports of a node, also over restarts."""
    return report.started_ms, report.sequence
