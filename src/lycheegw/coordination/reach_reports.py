"""Exchanges which nodes are cut off from all upstreams.

A node that is cut off lets a peer serve its requests. The reports tell it which
peers can.
"""

from collections.abc import Callable
from typing import NamedTuple

from lycheegw.coordination import change_tracker
from lycheegw.coordination import interfaces
from lycheegw.state import node_state

__all__ = ["Codec", "ReachReports", "Report"]

_TOPIC = "reach"
# A node that is cut off repeats its report after this time. Without one for
# longer than the second, it has ended, or nobody hears it.
_REPEAT_AFTER_S = 1.0
_EXPIRE_AFTER_S = 4.0
# Nodes whose reports are kept for neighbours, and those in one message.
_MAX_NODES = 2000
_MAX_PER_MESSAGE = 200


class Report(NamedTuple):
    """Whether one process reaches any upstream.

    Attributes:
        node_id: Node of the process.
        started_ms: Start of the process, in Unix milliseconds.
        sequence: Grows with each report of a process.
        age_s: Seconds since the report was made.
        is_cut_off: Whether it reaches none.
    """

    node_id: str
    started_ms: int
    sequence: int
    age_s: float
    is_cut_off: bool


class Codec(NamedTuple):
    """Encodes and decodes reports for gossip messages."""

    encode: Callable[[list[Report]], bytes]
    decode: Callable[[bytes], list[Report]]


class _Received(NamedTuple):
    """A report and the monotonic second at which it was made."""

    report: Report
    made_s: float


class ReachReports:
    """Reports of all nodes, this one included."""

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
        self._is_cut_off = False
        self._sequence = 0
        self._reports: change_tracker.ChangeTracker[_Received] = (
            change_tracker.ChangeTracker(_MAX_NODES)
        )
        peers.on_delta(_TOPIC, self._encode_unsent, self._merge)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._reports.forget_sent(neighbour)

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Reports whether this node is cut off from all upstreams."""
        self._is_cut_off = is_cut_off
        self._report()
        self._send_soon()

    def cut_off_nodes(self) -> set[str]:
        """Returns the ids of the nodes that lately were cut off."""
        now_s = self._now_s()
        return {
            report.node_id
            for report, made_s in self._reports.values()
            if report.is_cut_off and now_s - made_s <= _EXPIRE_AFTER_S
        }

    def _report(self) -> None:
        self._sequence += 1
        report = Report(
            self._own_id,
            self._started_ms,
            self._sequence,
            0.0,
            self._is_cut_off,
        )
        self._reports.put(self._own_id, _Received(report, self._now_s()))

    def _encode_unsent(self, neighbour: str) -> bytes | None:
        """Returns the encoded reports that a neighbour doesn't have yet."""
        now_s = self._now_s()
        own = self._reports.get(self._own_id)
        if (
            self._is_cut_off
            and own is not None
            and now_s - own.made_s >= _REPEAT_AFTER_S
        ):
            self._report()
        reports = [
            report._replace(age_s=now_s - made_s)
            for report, made_s in self._reports.take_unsent(
                neighbour, _MAX_PER_MESSAGE
            )
            if now_s - made_s <= _EXPIRE_AFTER_S
        ]
        return self._codec.encode(reports) if reports else None

    def _merge(self, neighbour: str, payload: bytes) -> None:
        """Merges the reports of a neighbour that are new to this node."""
        now_s = self._now_s()
        is_changed = False
        for report in self._codec.decode(payload):
            known = self._reports.get(report.node_id)
            if report.node_id == self._own_id:
                continue
            if known is not None and _version(known.report) >= _version(report):
                if _version(known.report) == _version(report):
                    self._reports.note_known(report.node_id, neighbour)
                continue
            is_changed |= (
                known is None or known.report.is_cut_off != report.is_cut_off
            )
            received = _Received(report, now_s - report.age_s)
            self._reports.put(report.node_id, received, neighbour)
        if is_changed:
            self._send_soon()

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _version(report: Report) -> tuple[int, int]:
    """Returns a key that orders the reports of a node, also over restarts."""
    return report.started_ms, report.sequence
