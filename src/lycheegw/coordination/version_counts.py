"""Counts of answers by version, source and period, and a significance test.

The counts of a source in a period only grow. Merging keeps the larger ones, so
rows may arrive in any order and any number of times.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

__all__ = [
    "HISTORY_PERIOD",
    "Counts",
    "CountsKey",
    "CountsRow",
    "CountsTable",
    "is_bad",
    "lower_bound",
    "upper_bound",
]

# Value of `period` for everything before the window.
HISTORY_PERIOD = -1

_PERIOD_S = 3.0
_WINDOW_PERIODS = 8
_MAX_ROWS = 20_000
# Latest periods that `summed_rows` returns if only recent ones are wanted.
_RECENT_PERIODS = 2
_MIN_SAMPLES = 12
_MIN_REFERENCE_SAMPLES = 10
# A share of failures or poor ratings is significant only if the lower bound of
# its confidence interval exceeds this.
_MIN_BAD_SHARE = 0.1
# Half width of the Wilson interval in standard errors.
_Z_SCORE = 2.3


class CountsKey(NamedTuple):
    """Source, period and version that a row counts.

    Attributes:
        source: Node or zone that counted.
        period: Index of the period, `HISTORY_PERIOD` for all before the window.
        model: Name of the model.
        version: Name of the version.
    """

    source: str
    period: int
    model: str
    version: str


class Counts(NamedTuple):
    """Counts of answers, failures and ratings.

    Attributes:
        answered: Whole answers.
        failed: Attempts that failed in a way that a version can cause.
        rated_good: Answers rated good.
        rated_poor: Answers rated poor.
    """

    answered: int = 0
    failed: int = 0
    rated_good: int = 0
    rated_poor: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sum."""
        return Counts(*map(sum, zip(self, other, strict=True)))

    def max_with(self, other: "Counts") -> "Counts":
        """Returns the larger of each count."""
        return Counts(*map(max, zip(self, other, strict=True)))


class CountsRow(NamedTuple):
    """A key with its counts."""

    key: CountsKey
    counts: Counts


class CountsTable:
    """Counts by key, with a sliding window and a history before it."""

    def __init__(self) -> None:
        self._counts_by_key: dict[CountsKey, Counts] = {}

    def add(
        self,
        source: str,
        model: str,
        version: str,
        wall_s: float,
        counts: Counts,
    ) -> None:
        """Adds counts to the current period."""
        key = CountsKey(source, int(wall_s // _PERIOD_S), model, version)
        before = self._counts_by_key.get(key, Counts())
        if key in self._counts_by_key or len(self._counts_by_key) < _MAX_ROWS:
            self._counts_by_key[key] = before.plus(counts)

    def merge(self, rows: Iterable[CountsRow]) -> None:
        """Merges rows; the larger counts of a key are kept."""
        for key, counts in rows:
            before = self._counts_by_key.get(key)
            if before is not None:
                self._counts_by_key[key] = before.max_with(counts)
            elif len(self._counts_by_key) < _MAX_ROWS:
                self._counts_by_key[key] = counts

    def expire(self, wall_s: float, own_source: str) -> None:
        """Moves own rows before the window to history, drops other ones."""
        first = _first_window_period(wall_s)
        for key in [each for each in self._counts_by_key if each.period >= 0]:
            if key.period >= first:
                continue
            counts = self._counts_by_key.pop(key)
            if key.source == own_source:
                self.add_history(key, counts)

    def drop_sources(self, kept: Iterable[str]) -> None:
        """Drops the rows of all sources except `kept`."""
        wanted = set(kept)
        for key in list(self._counts_by_key):
            if key.source not in wanted:
                del self._counts_by_key[key]

    def summed_rows(
        self, source: str, wall_s: float, is_recent: bool
    ) -> Sequence[CountsRow]:
        """Returns the sums over all sources, as rows of `source`.

        Only the latest periods are included if `is_recent`.
        """
        first_period = HISTORY_PERIOD
        if is_recent:
            first_period = int(wall_s // _PERIOD_S) - _RECENT_PERIODS + 1
        sums: dict[CountsKey, Counts] = {}
        for key, counts in self._counts_by_key.items():
            if key.period >= first_period:
                sum_key = key._replace(source=source)
                sums[sum_key] = sums.get(sum_key, Counts()).plus(counts)
        return [CountsRow(key, counts) for key, counts in sums.items()]

    def add_history(self, key: CountsKey, counts: Counts) -> None:
        """Adds counts from before the window."""
        history = key._replace(period=HISTORY_PERIOD)
        before = self._counts_by_key.get(history, Counts())
        self._counts_by_key[history] = before.plus(counts)

    def total(
        self, model: str, version: str, wall_s: float, is_history: bool
    ) -> Counts:
        """Returns the counts of a version in its history or in the window."""
        first = _first_window_period(wall_s)
        total = Counts()
        for key, counts in self._counts_by_key.items():
            is_wanted = (
                key.period == HISTORY_PERIOD
                if is_history
                else key.period >= first
            )
            if (key.model, key.version) == (model, version) and is_wanted:
                total = total.plus(counts)
        return total


def _first_window_period(wall_s: float) -> int:
    return int(wall_s // _PERIOD_S) - _WINDOW_PERIODS + 1


def _wilson_bound(count: int, sample_size: int, sign: float) -> float:
    """Returns a bound of the Wilson interval of `count` / `sample_size`."""
    if not sample_size:
        return 1.0 if sign > 0 else 0.0
    share = count / sample_size
    square = _Z_SCORE * _Z_SCORE / sample_size
    spread = (
        math.sqrt(
            share * (1 - share) / sample_size + square / (4 * sample_size)
        )
        * _Z_SCORE
    )
    return (share + square / 2 + sign * spread) / (1 + square)


def lower_bound(count: int, sample_size: int) -> float:
    """Returns the lower Wilson bound of `count` / `sample_size`."""
    return _wilson_bound(count, sample_size, -1.0)


def upper_bound(count: int, sample_size: int) -> float:
    """Returns the upper Wilson bound of `count` / `sample_size`."""
    return _wilson_bound(count, sample_size, 1.0)


def _is_significantly_larger(
    count: int, sample_size: int, reference_count: int, reference_size: int
) -> bool:
    """Returns whether a share is significantly above a reference share."""
    if sample_size < _MIN_SAMPLES or reference_size < _MIN_REFERENCE_SAMPLES:
        return False
    reference = max(
        upper_bound(reference_count, reference_size), _MIN_BAD_SHARE
    )
    return lower_bound(count, sample_size) > reference


def is_bad(counts: Counts, reference: Counts, others: Counts) -> bool:
    """Returns whether the counts show that a version is bad.

    Ratings are compared with the reference: the history of the version or of
    the one that it replaces. Failures are compared with those of the other
    versions in the same window, since a zone or an upstream that is down fails
    all versions alike.
    """
    is_poor = _is_significantly_larger(
        counts.rated_poor,
        counts.rated_poor + counts.rated_good,
        reference.rated_poor,
        reference.rated_poor + reference.rated_good,
    )
    is_failing = _is_significantly_larger(
        counts.failed,
        counts.failed + counts.answered,
        others.failed,
        others.failed + others.answered,
    )
    return is_poor or is_failing
