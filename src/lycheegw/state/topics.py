"""Copies of the store's keyed topics, ordered by the store's offsets."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math
from typing import NamedTuple

__all__ = ["Topic", "TopicPage", "TopicRecord", "TopicState"]

# Deleted keys are remembered up to this many, so that a neighbour that lags
# hears of them; one that lags further is told everything.
_MAX_DELETED = 500


class Topic(enum.Enum):
    """The keyed topics that a node follows or writes."""

    ORDERS = "orders"
    UPSTREAMS = "upstreams"
    OUTCOMES = "outcomes"
    NODES = "nodes"


class TopicRecord(NamedTuple):
    """The newest record of a key; no value means that it was deleted."""

    key: str
    offset: int
    value: bytes | None


class TopicPage(NamedTuple):
    """What one read returned.

    Attributes:
        records: Records in the order of their offsets.
        end_offset: Offset that the next record gets.
        is_whole: Whether keys that are not among them do not exist.
    """

    records: Sequence[TopicRecord]
    end_offset: int
    is_whole: bool


class _Kept(NamedTuple):
    record: TopicRecord
    changed_offset: int
    digest: Hashable


class TopicState:
    """One topic as this node knows it, never older than it was before.

    Attributes:
        topic: Which one.
        end_offset: Offset up to which it is complete, -1 before any read.
        confirmed_s: Monotonic second at which the store last said that this
            was all, as far as this node knows.
        reader: Node that read it last.
    """

    def __init__(
        self,
        topic: Topic,
        digest: Callable[[bytes], Hashable] = lambda value: value,
    ):
        self.topic = topic
        self.end_offset = -1
        self.confirmed_s = -math.inf
        self.reader = ""
        self._digest = digest
        self._kept_by_key: dict[str, _Kept] = {}
        # Offset before which deletions are not remembered any more.
        self._complete_from = 0

    @property
    def is_known(self) -> bool:
        """Whether the topic was ever read."""
        return self.end_offset >= 0

    def values(self) -> dict[str, bytes]:
        """Returns the value of each key that exists."""
        return {
            key: kept.record.value
            for key, kept in self._kept_by_key.items()
            if kept.record.value is not None
        }

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key, None where it does not exist."""
        kept = self._kept_by_key.get(key)
        return None if kept is None else kept.record.value

    def offset_of(self, key: str) -> int:
        """Returns the offset of a key's newest record, -1 for none."""
        kept = self._kept_by_key.get(key)
        return -1 if kept is None else kept.record.offset

    def confirm(self, now_s: float, reader: str) -> None:
        """Takes note that the store had nothing newer."""
        if now_s >= self.confirmed_s:
            self.confirmed_s = now_s
            self.reader = reader

    def take(self, page: TopicPage) -> set[str]:
        """Takes a page of the store in; returns the keys that changed."""
        changed = set()
        if page.is_whole:
            if page.end_offset < self.end_offset:
                return set()
            changed = self._delete_missing(page)
        for record in page.records:
            if self._put(record):
                changed.add(record.key)
        self.end_offset = max(self.end_offset, page.end_offset)
        self._forget_deleted()
        return changed

    def merge(
        self, from_offset: int, end_offset: int, records: Iterable[TopicRecord]
    ) -> set[str] | None:
        """Takes over what a peer knows; returns the keys that changed.

        Returns None where records between the two copies are missing.
        """
        if from_offset > max(0, self.end_offset):
            return None
        if end_offset < self.end_offset:
            return set()
        if from_offset == 0:
            return self.take(TopicPage(list(records), end_offset, True))
        return self.take(TopicPage(list(records), end_offset, False))

    def since(self, offset: int) -> tuple[int, list[TopicRecord]]:
        """Returns the records that changed since an offset.

        The first value is the offset from which they are complete; 0 where
        all are returned.
        """
        if offset <= 0 or offset < self._complete_from:
            records = [
                kept.record
                for kept in self._kept_by_key.values()
                if kept.record.value is not None
            ]
            return 0, records
        return offset, [
            kept.record
            for kept in self._kept_by_key.values()
            if kept.changed_offset >= offset
        ]

    def _delete_missing(self, page: TopicPage) -> set[str]:
        present = {record.key for record in page.records}
        missing = [
            key
            for key, kept in self._kept_by_key.items()
            if key not in present
            and kept.record.value is not None
            and kept.record.offset < page.end_offset
        ]
        for key in missing:
            self._put(TopicRecord(key, page.end_offset - 1, None))
        return set(missing)

    def _put(self, record: TopicRecord) -> bool:
        """Keeps a record unless a newer one is known."""
        known = self._kept_by_key.get(record.key)
        if known is not None and known.record.offset >= record.offset:
            return False
        digest = None if record.value is None else self._digest(record.value)
        is_same = known is not None and known.digest == digest
        changed_offset = record.offset
        if known is not None and is_same:
            changed_offset = known.changed_offset
        self._kept_by_key[record.key] = _Kept(record, changed_offset, digest)
        return not is_same

    def _forget_deleted(self) -> None:
        deleted = sorted(
            (kept.record.offset, key)
            for key, kept in self._kept_by_key.items()
            if kept.record.value is None
        )
        for offset, key in deleted[: max(0, len(deleted) - _MAX_DELETED)]:
            del self._kept_by_key[key]
            self._complete_from = max(self._complete_from, offset + 1)
