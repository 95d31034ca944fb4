"""Checks a soak by what callers and upstreams recorded and the store confirmed.

A rule with a time bound holds for a node that was in touch: neither it nor the
store was disturbed for some time before.
"""

import collections
import math
from typing import NamedTuple

__all__ = [
    "Arrival",
    "Bounds",
    "Disturbance",
    "Ended",
    "Record",
    "Sent",
    "Violation",
    "check",
    "drop_disturbances",
]

# Lag of the recording process above which its own times are not relied on.
_MAX_OWN_LAG_S = 0.1
# Proper requests that may be denied.
_MAX_DENIED = 5


class Bounds(NamedTuple):
    """Time bounds in seconds."""

    drain_s: float = 2.0
    config_apply_s: float = 2.0
    contact_s: float = 3.0


class Sent(NamedTuple):
    """A request that a caller began to send."""

    node: str
    is_unsafe: bool
    key: str
    at_s: float


class Arrival(NamedTuple):
    """A request that an upstream accepted."""

    attempt_id: str
    upstream: str
    at_s: float


class Ended(NamedTuple):
    """What a caller got: no status if the connection broke."""

    status: int | None
    body: bytes
    signature: str
    at_s: float


class Disturbance(NamedTuple):
    """A time in which a node, or the store if it is "", was disturbed."""

    node: str
    kind: str
    from_s: float
    until_s: float


class Violation(NamedTuple):
    """A broken rule, with the lines that show it."""

    rule: str
    attempt_id: str
    text: str


class Record:
    """All that a soak recorded.

    Attributes:
        left_s: When the store confirmed that an upstream leaves or is gone.
        key_added_s: When the store confirmed a key, by key.
        key_removed_s: When the store confirmed its removal, by key.
        own_lags: Times from and until which the recording process lagged.
    """

    def __init__(self) -> None:
        self.sent_by_id: dict[str, Sent] = {}
        self.ended_by_id: dict[str, Ended] = {}
        self.arrivals: list[Arrival] = []
        self.disturbances: list[Disturbance] = []
        self.left_s: dict[str, float] = {}
        self.key_added_s: dict[str, float] = {}
        self.key_removed_s: dict[str, float] = {}
        self.own_lags: list[tuple[float, float]] = []

    def is_in_touch(self, node: str, since_s: float, at_s: float) -> bool:
        """Returns whether nothing disturbed a node or the store."""
        return not any(
            each.node in {"", node}
            and each.until_s >= since_s
            and each.from_s <= at_s
            for each in self.disturbances
        )

    def is_reliable(self, at_s: float) -> bool:
        """Returns whether the recording process ran without a lag then."""
        return not any(
            from_s <= at_s <= until_s + _MAX_OWN_LAG_S
            for from_s, until_s in self.own_lags
        )


def drop_disturbances(record: Record, kind: str) -> None:
    """Makes disturbances of a kind excuse nothing."""
    record.disturbances = [
        each for each in record.disturbances if each.kind != kind
    ]


def check(record: Record, bounds: Bounds) -> list[Violation]:
    """Returns the broken rules."""
    return [
        *_late_arrivals(record, bounds),
        *_removed_keys(record, bounds),
        *_repeated_runs(record),
        *_false_promises(record),
        *_mixed_answers(record),
        *_denied(record, bounds),
    ]


def _late_arrivals(record: Record, bounds: Bounds) -> list[Violation]:
    """Requests at upstreams that left longer ago than `drain_s`."""
    found = []
    for arrival in record.arrivals:
        sent = record.sent_by_id[arrival.attempt_id]
        left_s = record.left_s.get(arrival.upstream, math.inf)
        late_s = arrival.at_s - left_s
        since_s = min(left_s, arrival.at_s - bounds.contact_s)
        if (
            late_s > bounds.drain_s
            and record.is_reliable(arrival.at_s)
            and record.is_in_touch(sent.node, since_s, arrival.at_s)
        ):
            found.append(
                Violation(
                    "DRAIN",
                    arrival.attempt_id,
                    f"{left_s:8.3f} {arrival.upstream} leaves,"
                    f" {sent.at_s:8.3f} sent to {sent.node},"
                    f" {arrival.at_s:8.3f} arrives, {late_s:.3f} s later",
                )
            )
    return found


def _removed_keys(record: Record, bounds: Bounds) -> list[Violation]:
    """Requests that ran by a key removed longer ago than `config_apply_s`."""
    found = []
    for arrival in record.arrivals:
        sent = record.sent_by_id[arrival.attempt_id]
        removed_s = record.key_removed_s.get(sent.key, math.inf)
        since_s = min(removed_s, sent.at_s - bounds.contact_s)
        if sent.at_s > removed_s + bounds.config_apply_s and record.is_in_touch(
            sent.node, since_s, arrival.at_s
        ):
            found.append(
                Violation(
                    "CONFIG",
                    arrival.attempt_id,
                    f"{removed_s:8.3f} {sent.key} removed,"
                    f" {sent.at_s:8.3f} sent to {sent.node},"
                    f" {arrival.at_s:8.3f} runs at {arrival.upstream}",
                )
            )
    return found


def _repeated_runs(record: Record) -> list[Violation]:
    """Unsafe requests that reached more than one upstream."""
    counts = collections.Counter(each.attempt_id for each in record.arrivals)
    return [
        Violation("TWICE", attempt_id, f"an unsafe request ran {count} times")
        for attempt_id, count in counts.items()
        if count > 1 and record.sent_by_id[attempt_id].is_unsafe
    ]


def _false_promises(record: Record) -> list[Violation]:
    """Unsafe requests that ran although the caller was told otherwise."""
    ran = {each.attempt_id for each in record.arrivals}
    return [
        Violation("REFUSED", attempt_id, f"it ran, the answer is {each.status}")
        for attempt_id, each in record.ended_by_id.items()
        if each.status in {408, 421, 429, 503}
        and attempt_id in ran
        and record.sent_by_id[attempt_id].is_unsafe
    ]


def _mixed_answers(record: Record) -> list[Violation]:
    """Successes that are not the whole answer of an upstream that ran it."""
    upstreams_by_id = collections.defaultdict(set)
    for arrival in record.arrivals:
        upstreams_by_id[arrival.attempt_id].add(f"sig-{arrival.upstream}")
    found = []
    for attempt_id, each in record.ended_by_id.items():
        if each.status != 200:
            continue
        is_own = b"data: " in each.body or attempt_id.encode() in each.body
        if each.signature not in upstreams_by_id[attempt_id] or not is_own:
            found.append(
                Violation(
                    "MIXED", attempt_id, f"{each.signature} {each.body!r}"
                )
            )
    return found


def _denied(record: Record, bounds: Bounds) -> list[Violation]:
    """Requests with a key in force that were denied, beyond a few."""
    found = []
    for attempt_id, each in record.ended_by_id.items():
        sent = record.sent_by_id[attempt_id]
        added_s = record.key_added_s.get(sent.key, math.inf)
        removed_s = record.key_removed_s.get(sent.key, math.inf)
        if (
            each.status in {401, 403, 404}
            and sent.at_s > added_s + bounds.config_apply_s
            and each.at_s < removed_s
            and record.is_in_touch(
                sent.node, sent.at_s - bounds.contact_s, each.at_s
            )
        ):
            found.append(
                Violation("DENIED", attempt_id, f"{sent.key}: {each.status}")
            )
    return found if len(found) > _MAX_DENIED else []
