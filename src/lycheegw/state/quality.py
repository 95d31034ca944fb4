"""Estimates of answer quality per version, organisation and kind of request.

The estimates come from ratings. Counts decay with each rating, so that a
change of quality shows within some hundred ratings.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

__all__ = [
    "CONFIDENCE_BINS",
    "Estimate",
    "QualityKey",
    "QualityRow",
    "QualityTable",
]

# Number of equal bins between confidence 0 and 1.
CONFIDENCE_BINS = 10

_ALL_ORGANISATIONS = ""
_DECAY_PER_RATING = 1 - 1 / 300
_MAX_POOLED_WEIGHT = 30.0
_MAX_ROWS = 5_000
_PRIOR_GOOD_SHARE = 0.5
_PRIOR_WEIGHT = 4.0
_NO_COUNTS = (0.0,) * CONFIDENCE_BINS


class QualityKey(NamedTuple):
    """Key of a row; an empty organisation stands for all organisations."""

    organisation: str
    kind: str
    model: str
    version: str


class QualityRow(NamedTuple):
    """Decayed counts of rated answers by bin of the engine's confidence.

    Attributes:
        key: Key of the row.
        position: Position in the ratings up to which they are counted.
        seen: Number of ratings counted, without decay.
        good: Decayed number of answers rated good, by bin.
        rated: Decayed number of answers rated, by bin.
    """

    key: QualityKey
    position: int = 0
    seen: int = 0
    good: tuple[float, ...] = _NO_COUNTS
    rated: tuple[float, ...] = _NO_COUNTS


class Estimate(NamedTuple):
    """Estimated quality of a version's answers, by bin of confidence.

    Attributes:
        weight: Decayed number of ratings behind the estimate.
        bin_shares: Share of the answers that fall into each bin; sums to 1.
        good_shares: Share of good answers among those of each bin.
    """

    weight: float
    bin_shares: tuple[float, ...]
    good_shares: tuple[float, ...]

    @property
    def quality(self) -> float:
        """Share of good answers over all bins."""
        pairs = zip(self.bin_shares, self.good_shares, strict=True)
        return sum(rated * good for rated, good in pairs)

    @property
    def standard_error(self) -> float:
        """Standard error of the share of good answers."""
        quality = min(0.95, max(0.05, self.shrunken_quality))
        total_weight = self.weight + _PRIOR_WEIGHT
        return math.sqrt(quality * (1 - quality) / total_weight)

    @property
    def shrunken_quality(self) -> float:
        """Share of good answers, shrunk towards the prior by few ratings."""
        part = self.quality * self.weight + _PRIOR_GOOD_SHARE * _PRIOR_WEIGHT
        return part / (self.weight + _PRIOR_WEIGHT)


_PRIOR_ESTIMATE = Estimate(
    0.0,
    (1 / CONFIDENCE_BINS,) * CONFIDENCE_BINS,
    (_PRIOR_GOOD_SHARE,) * CONFIDENCE_BINS,
)


def confidence_bin(confidence: float) -> int:
    """Returns the index of the bin that a confidence falls into."""
    return min(CONFIDENCE_BINS - 1, max(0, int(confidence * CONFIDENCE_BINS)))


def _with_rating(row: QualityRow, index: int, is_good: bool) -> QualityRow:
    good = [count * _DECAY_PER_RATING for count in row.good]
    rated = [count * _DECAY_PER_RATING for count in row.rated]
    rated[index] += 1
    good[index] += is_good
    return row._replace(seen=row.seen + 1, good=tuple(good), rated=tuple(rated))


class QualityTable:
    """Table of rows by key; keys beyond the maximum are not added."""

    def __init__(self) -> None:
        self._row_by_key: dict[QualityKey, QualityRow] = {}
        self._estimate_by_key: dict[QualityKey, Estimate] = {}

    def __len__(self) -> int:
        return len(self._row_by_key)

    @property
    def position(self) -> int:
        """Highest position of any row."""
        rows = self._row_by_key.values()
        return max((row.position for row in rows), default=0)

    def add_rating(
        self, key: QualityKey, position: int, confidence: float, is_good: bool
    ) -> list[QualityRow]:
        """Adds one rating; returns the rows that changed."""
        changed = []
        for each in (key, key._replace(organisation=_ALL_ORGANISATIONS)):
            row = self._row_by_key.get(each, QualityRow(each))
            if position <= row.position:
                continue
            row = _with_rating(row, confidence_bin(confidence), is_good)
            row = row._replace(position=position)
            if self._put(row):
                changed.append(row)
        return changed

    def merge(self, rows: Iterable[QualityRow]) -> list[QualityRow]:
        """Stores rows with later positions than known; returns them."""
        return [row for row in rows if self._is_later(row) and self._put(row)]

    def _is_later(self, row: QualityRow) -> bool:
        known = self._row_by_key.get(row.key)
        return known is None or row.position > known.position

    def _put(self, row: QualityRow) -> bool:
        if row.key not in self._row_by_key and len(self) >= _MAX_ROWS:
            return False
        self._row_by_key[row.key] = row
        if row.key.organisation == _ALL_ORGANISATIONS:
            # Estimates of each organisation also use the row of all.
            self._estimate_by_key.clear()
        else:
            self._estimate_by_key.pop(row.key, None)
        return True

    def estimate(self, key: QualityKey) -> Estimate:
        """Returns the estimate for a key; its weight is 0 without ratings."""
        known = self._estimate_by_key.get(key)
        if known is None:
            known = self._new_estimate(key)
            self._estimate_by_key[key] = known
        return known

    def _new_estimate(self, key: QualityKey) -> Estimate:
        """Returns an estimate from the organisation's ratings and those of all.

        Those of all organisations have a limited weight.
        """
        own = self._row_by_key.get(key, QualityRow(key))
        pooled_key = key._replace(organisation=_ALL_ORGANISATIONS)
        pooled = self._row_by_key.get(pooled_key, QualityRow(pooled_key))
        pooled_total = sum(pooled.rated)
        factor = (
            min(1.0, _MAX_POOLED_WEIGHT / pooled_total) if pooled_total else 0.0
        )
        rated = [
            own_count + factor * pooled_count
            for own_count, pooled_count in zip(
                own.rated, pooled.rated, strict=True
            )
        ]
        good = [
            own_count + factor * pooled_count
            for own_count, pooled_count in zip(
                own.good, pooled.good, strict=True
            )
        ]
        total = sum(rated)
        if not total:
            return _PRIOR_ESTIMATE
        shares = [
            part / whole if whole else 0.0
            for part, whole in zip(good, rated, strict=True)
        ]
        # The pooled row includes the organisation's own ratings.
        return Estimate(
            pooled_total, tuple(part / total for part in rated), tuple(shares)
        )
