"""Sums of the figures that several nodes report, and copies of such sums.

A figure is the outstanding work at an upstream, that of an organisation at a
service, both in milliseconds of prefill, or samples of an upstream's speed in
thousandths. A sum knows the order in which its entries changed, so that a copy
gets only what changed since it was last brought up to date.
"""

import collections
from collections.abc import Mapping
import math
from typing import NamedTuple

__all__ = [
    "BacklogSums",
    "Key",
    "OrganisationKey",
    "SpeedKey",
    "Sums",
    "SumsCopy",
]

# Sums that are kept; those that are zero are dropped beyond.
_MAX_KEYS = 4_000


class OrganisationKey(NamedTuple):
    """Names the outstanding work of an organisation at a service."""

    service: str
    organisation: str


class SpeedKey(NamedTuple):
    """Names samples of an upstream's speed, in thousandths.

    Attributes:
        upstream: Id of the upstream.
        is_rate: Whether it is the sum of the samples, or their number.
    """

    upstream: str
    is_rate: bool


# What a figure is of; an upstream is named by its id.
Key = str | OrganisationKey | SpeedKey


class Sums(NamedTuple):
    """Figures that changed after a sequence number.

    Attributes:
        started_ms: Start of the process that added them up, in Unix
            milliseconds.
        sequence: Number of the latest change.
        is_complete: Whether figures that are missing are zero.
        value_by_key: Figures by what they are of.
    """

    started_ms: int
    sequence: int
    is_complete: bool
    value_by_key: Mapping[Key, int]


class _Source(NamedTuple):
    """What one source contributes.

    Attributes:
        value_by_key: Figures by what they are of.
        expires_s: Monotonic second from which on it doesn't count.
    """

    value_by_key: Mapping[Key, int]
    expires_s: float


class BacklogSums:
    """The sums of what several sources report.

    Figures are whole numbers, so that a sum has no rounding error after
    any number of changes.
    """

    def __init__(self, started_ms: int):
        self._started_ms = started_ms
        self._sequence = 0
        self._source_by_id: dict[str, _Source] = {}
        # Sum and the number of its latest change, the latest one last. Zero is
        # kept, since copies have to learn of it.
        self._change_by_key: collections.OrderedDict[Key, tuple[int, int]] = (
            collections.OrderedDict()
        )
        self._next_expiry_s = math.inf
        # Number of the latest change among the sums that were dropped.
        self._dropped_number = 0

    def put(
        self,
        source_id: str,
        value_by_key: Mapping[Key, int],
        expires_s: float,
    ) -> None:
        """Replaces what a source contributes."""
        former = self._source_by_id.get(source_id)
        former_values = former.value_by_key if former is not None else {}
        self._source_by_id[source_id] = _Source(value_by_key, expires_s)
        self._next_expiry_s = min(self._next_expiry_s, expires_s)
        for key in former_values.keys() | value_by_key.keys():
            self._add(
                key,
                value_by_key.get(key, 0) - former_values.get(key, 0),
            )

    def _add(self, key: Key, change: int) -> None:
        if not change:
            return
        self._sequence += 1
        total, _ = self._change_by_key.get(key, (0, 0))
        self._change_by_key[key] = (
            total + change,
            self._sequence,
        )
        self._change_by_key.move_to_end(key)
        if len(self._change_by_key) > _MAX_KEYS:
            self._drop_oldest_zero()

    def _drop_oldest_zero(self) -> None:
        """Drops the sum that is zero for the longest time, if any is."""
        for key, (total, number) in self._change_by_key.items():
            if not total:
                del self._change_by_key[key]
                self._dropped_number = max(self._dropped_number, number)
                return

    def expire(self, now_s: float) -> None:
        """Removes sources that were not heard of for too long."""
        if now_s < self._next_expiry_s:
            return
        for source_id, source in list(self._source_by_id.items()):
            if source.expires_s <= now_s:
                self.put(source_id, {}, math.inf)
                del self._source_by_id[source_id]
        self._next_expiry_s = min(
            (each.expires_s for each in self._source_by_id.values()),
            default=math.inf,
        )

    def since(self, started_ms: int, sequence: int) -> Sums:
        """Returns what changed after a sequence number of a process.

        The sums are complete if the process is another one, or if changes
        after that number were dropped.
        """
        is_complete = (
            started_ms != self._started_ms
            or sequence > self._sequence
            or sequence < self._dropped_number
        )
        after = 0 if is_complete else sequence
        value_by_key = {}
        for key, (total, number) in reversed(self._change_by_key.items()):
            if number <= after:
                break
            if total or not is_complete:
                value_by_key[key] = total
        return Sums(self._started_ms, self._sequence, is_complete, value_by_key)


class SumsCopy:
    """A copy of the sums of another process.

    Attributes:
        started_ms: Start of that process, 0 before the first update.
        sequence: Number of the latest change that the copy has.
        updated_s: Monotonic second of the latest update.
        value_by_key: Figures by what they are of.
    """

    def __init__(self) -> None:
        self.started_ms = 0
        self.sequence = 0
        self.updated_s = -math.inf
        self.value_by_key: dict[Key, int] = {}

    def apply(self, sums: Sums, now_s: float) -> None:
        """Brings the copy up to date."""
        if sums.is_complete:
            self.value_by_key.clear()
        self.started_ms, self.sequence = sums.started_ms, sums.sequence
        self.updated_s = now_s
        for key, total in sums.value_by_key.items():
            if total > 0:
                self.value_by_key[key] = total
            else:
                self.value_by_key.pop(key, None)
