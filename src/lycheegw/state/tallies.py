"""Counts of each version's answers during a roll-out, by node.

Each process counts for itself; its counts only grow.
"""

from typing import NamedTuple

__all__ = ["RolloutStatus", "Tally", "TallyKey", "TallySums", "TallyTable"]


class TallyKey(NamedTuple):
    """A version of a service, as counted by one node."""

    service: str
    version: str
    node_id: str


class Tally(NamedTuple):
    """Counts of one process since an order.

    Attributes:
        key: Version and node.
        started_ms: Unix millisecond at which the counting process started.
        sequence: Grows with each change.
        order_offset: Offset of the roll-out order.
        sent: Requests sent.
        answered: Answers of the version, including failures.
        failed: Failures among the answers.
        timed: Answers whose time to first byte was measured.
        log_time_sum: Sum of the logarithms of these times in seconds.
        in_flight: Requests running now.
        failing_upstreams: Upstreams that failed requests.
        paced: Streams whose time between events was measured.
        log_pace_sum: Sum of the logarithms of these times in seconds.
    """

    key: TallyKey
    started_ms: int
    sequence: int
    order_offset: int
    sent: int = 0
    answered: int = 0
    failed: int = 0
    timed: int = 0
    log_time_sum: float = 0.0
    in_flight: int = 0
    failing_upstreams: frozenset[str] = frozenset()
    paced: int = 0
    log_pace_sum: float = 0.0


class RolloutStatus(NamedTuple):
    """Status of a roll-out at one process.

    Attributes:
        service: Service that is rolled out.
        node_id: Node of the process.
        started_ms: Unix millisecond at which the process started.
        sequence: Grows with each change.
        order_offset: Offset of the roll-out order.
        order_age_s: Seconds since any process first saw the order.
        share: Share of new requests sent to the target version.
        is_condemned: Whether the target version was rejected as bad.
    """

    service: str
    node_id: str
    started_ms: int
    sequence: int
    order_offset: int
    order_age_s: float
    share: float
    is_condemned: bool


class TallySums(NamedTuple):
    """Sums of tallies over all nodes."""

    sent: int
    answered: int
    failed: int
    timed: int
    log_time_sum: float
    in_flight: int
    failing_upstreams: frozenset[str]
    paced: int = 0
    log_pace_sum: float = 0.0


class TallyTable:
    """The latest tally of each version and node."""

    def __init__(self) -> None:
        self._by_key: dict[TallyKey, Tally] = {}

    def get(self, key: TallyKey) -> Tally | None:
        """Returns a tally, or None."""
        return self._by_key.get(key)

    def put(self, tally: Tally) -> bool:
        """Stores a tally unless a later one is known; returns if it did."""
        known = self._by_key.get(tally.key)
        if known is not None and _recency(known) >= _recency(tally):
            return False
        self._by_key[tally.key] = tally
        return True

    def values(self) -> list[Tally]:
        """Returns all tallies."""
        return list(self._by_key.values())

    def sums(
        self, service: str, order_offset: int, is_target: bool, version: str
    ) -> TallySums:
        """Returns the sums for one version, or for all others of a service.

        Args:
            service: Name of the service.
            order_offset: Offset of the roll-out order to sum for.
            is_target: Whether to sum for `version`, else for all others.
            version: Target version of the roll-out.
        """
        chosen = [
            each
            for each in self._by_key.values()
            if each.key.service == service
            and each.order_offset == order_offset
            and (each.key.version == version) == is_target
        ]
        return TallySums(
            sum(each.sent for each in chosen),
            sum(each.answered for each in chosen),
            sum(each.failed for each in chosen),
            sum(each.timed for each in chosen),
            sum(each.log_time_sum for each in chosen),
            sum(each.in_flight for each in chosen),
            frozenset().union(*(each.failing_upstreams for each in chosen)),
            sum(each.paced for each in chosen),
            sum(each.log_pace_sum for each in chosen),
        )

    def drop_other_orders(self, service: str, current_offset: int) -> None:
        """Drops a service's tallies except those of the order at an offset."""
        self._by_key = {
            key: each
            for key, each in self._by_key.items()
            if key.service != service or each.order_offset == current_offset
        }


def _recency(tally: Tally) -> tuple[int, int]:
    return tally.started_ms, tally.sequence
