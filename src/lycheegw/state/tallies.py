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


class _VersionKey(NamedTuple):
    """A version in the roll-out of an order."""

    service: str
    order_offset: int
    version: str


_NO_COUNTS = TallySums(0, 0, 0, 0, 0.0, 0, frozenset())


class TallyTable:
    """The latest tally of each version and node, and their sums.

    The sums are kept up to date with each change, so that reading them takes
    no longer with more nodes.
    """

    def __init__(self) -> None:
        self._by_key: dict[TallyKey, Tally] = {}
        self._sums_by_version: dict[_VersionKey, TallySums] = {}

    def get(self, key: TallyKey) -> Tally | None:
        """Returns a tally, or None."""
        return self._by_key.get(key)

    def put(self, tally: Tally) -> bool:
        """Stores a tally unless a later one is known; returns if it did."""
        known = self._by_key.get(tally.key)
        if known is not None and _recency(known) >= _recency(tally):
            return False
        self._by_key[tally.key] = tally
        if known is not None:
            self._add(known, -1)
        self._add(tally, 1)
        if known is not None and (
            known.order_offset != tally.order_offset
            or not known.failing_upstreams <= tally.failing_upstreams
        ):
            # A later process or order; only adding up again can shrink a set.
            self._collect_failing_upstreams(_version_key(known))
        return True

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
        total = _NO_COUNTS
        for key, sums in self._sums_by_version.items():
            if (
                key.service == service
                and key.order_offset == order_offset
                and (key.version == version) == is_target
            ):
                total = _combine(total, sums, 1)
        return total

    def drop_other_orders(
        self, service: str, current_offset: int
    ) -> list[TallyKey]:
        """Drops a service's tallies except those of the order at an offset.

        Returns:
            The keys of the dropped tallies.
        """
        dropped = [
            key
            for key, each in self._by_key.items()
            if key.service == service and each.order_offset != current_offset
        ]
        for key in dropped:
            del self._by_key[key]
        for version_key in list(self._sums_by_version):
            if (
                version_key.service == service
                and version_key.order_offset != current_offset
            ):
                del self._sums_by_version[version_key]
        return dropped

    def _add(self, tally: Tally, sign: int) -> None:
        """Adds a tally to the sums of its version, or subtracts it."""
        key = _version_key(tally)
        counts = TallySums(
            tally.sent,
            tally.answered,
            tally.failed,
            tally.timed,
            tally.log_time_sum,
            tally.in_flight,
            tally.failing_upstreams,
            tally.paced,
            tally.log_pace_sum,
        )
        sums = self._sums_by_version.get(key, _NO_COUNTS)
        self._sums_by_version[key] = _combine(sums, counts, sign)

    def _collect_failing_upstreams(self, version_key: _VersionKey) -> None:
        """Adds up the failing upstreams of a version from its tallies."""
        self._sums_by_version[version_key] = self._sums_by_version[
            version_key
        ]._replace(
            failing_upstreams=frozenset().union(
                *(
                    each.failing_upstreams
                    for each in self._by_key.values()
                    if _version_key(each) == version_key
                )
            )
        )


def _version_key(tally: Tally) -> _VersionKey:
    return _VersionKey(tally.key.service, tally.order_offset, tally.key.version)


def _combine(left: TallySums, right: TallySums, sign: int) -> TallySums:
    """Returns the sums with others added; `sign` -1 subtracts their counts."""
    return TallySums(
        left.sent + sign * right.sent,
        left.answered + sign * right.answered,
        left.failed + sign * right.failed,
        left.timed + sign * right.timed,
        left.log_time_sum + sign * right.log_time_sum,
        left.in_flight + sign * right.in_flight,
        left.failing_upstreams | right.failing_upstreams,
        left.paced + sign * right.paced,
        left.log_pace_sum + sign * right.log_pace_sum,
    )


def _recency(tally: Tally) -> tuple[int, int]:
    return tally.started_ms, tally.sequence
