"""Local copies of the store's keyed topics, merged by record offset."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math
from typing import NamedTuple

__all__ = ["Topic", "TopicPage", "TopicRecord", "TopicState"]

# Number of deleted keys that are remembered, so that updates can include them;
# a neighbour whose copy is older than the dropped ones gets the whole topic.
_MAX_DELETED_KEYS = 500


class Topic(enum.Enum):
    """The keyed topics that a node reads or writes."""

    ORDERS = "orders"
    UPSTREAMS = "upstreams"
    OUTCOMES = "outcomes"
    NODES = "nodes"
    BLOCKED_PARTS = "blocked_parts"


class TopicRecord(NamedTuple):
    """The newest record of a key; the value is None if it was deleted."""

    key: str
    offset: int
    value: bytes | None


class TopicPage(NamedTuple):
    """Result of one read of the store.

    Attributes:
        records: Records, sorted by offset.
        end_offset: Offset of the next record to be written.
        is_complete: Whether the page has every key that exists.
        has_more: Whether the store has later records already.
    """

    records: Sequence[TopicRecord]
    end_offset: int
    is_complete: bool
    has_more: bool = False


class _Entry(NamedTuple):
    record: TopicRecord
    changed_offset: int
    digest: Hashable


class TopicState:
    """This node's copy of one topic; older records never replace newer ones.

    Attributes:
        topic: The topic.
        end_offset: Offset up to which the copy is complete, -1 before any read.
        confirmed_s: Monotonic second at which, as far as this node knows,
            the store last had nothing newer.
        reader: Node that last read the topic from the store.
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
        self._entry_by_key: dict[str, _Entry] = {}
        # Deletions before this offset were dropped, or were never read.
        self._deletions_from_offset = 0

    @property
    def is_known(self) -> bool:
        """Whether the topic was read from the store or a peer."""
        return self.end_offset >= 0

    def values(self) -> dict[str, bytes]:
        """Returns the value of each key that exists."""
        return {
            key: entry.record.value
            for key, entry in self._entry_by_key.items()
            if entry.record.value is not None
        }

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key, None if it does not exist."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry.record.value

    def offset_of(self, key: str) -> int:
        """Returns the offset of a key's newest record, -1 if there is none."""
        entry = self._entry_by_key.get(key)
        return -1 if entry is None else entry.record.offset

    def confirm(self, now_s: float, reader: str) -> None:
        """Records that `reader` found nothing newer in the store."""
        if now_s >= self.confirmed_s:
            self.confirmed_s = now_s
            self.reader = reader

    def apply_page(self, page: TopicPage) -> set[str]:
        """Applies a page of the store; returns the keys that changed."""
        changed = set()
        if page.is_complete:
            if page.end_offset < self.end_offset:
                return set()
            changed = self._delete_missing(page)
            if page.end_offset > self.end_offset:
                # The page omits keys that were deleted since the last read.
                self._deletions_from_offset = page.end_offset
        for record in page.records:
            if self._store(record):
                changed.add(record.key)
        self.end_offset = max(self.end_offset, page.end_offset)
        self._drop_oldest_deletions()
        return changed

    def merge(
        self, from_offset: int, end_offset: int, records: Iterable[TopicRecord]
    ) -> set[str] | None:
        """Merges records from a peer; returns the keys that changed.

        Returns None if records between the two copies are missing.
        """
        if from_offset > max(0, self.end_offset):
            return None
        if end_offset < self.end_offset:
            return set()
        if from_offset == 0:
            return self.apply_page(TopicPage(list(records), end_offset, True))
        return self.apply_page(TopicPage(list(records), end_offset, False))

    def changes_since(self, offset: int) -> tuple[int, list[TopicRecord]]:
        """Returns the records that changed at or after an offset.

        The first value is the offset from which they are complete; 0 if the
        whole topic is returned.
        """
        if offset <= 0 or offset < self._deletions_from_offset:
            records = [
                entry.record
                for entry in self._entry_by_key.values()
                if entry.record.value is not None
            ]
            return 0, records
        return offset, [
            entry.record
            for entry in self._entry_by_key.values()
            if entry.changed_offset >= offset
        ]

    def _delete_missing(self, page: TopicPage) -> set[str]:
        present = {record.key for record in page.records}
        missing = [
            key
            for key, entry in self._entry_by_key.items()
            if key not in present
            and entry.record.value is not None
            and entry.record.offset < page.end_offset
        ]
        for key in missing:
            self._store(TopicRecord(key, page.end_offset - 1, None))
        return set(missing)

    def _store(self, record: TopicRecord) -> bool:
        """Stores a record if newer; returns whether the value changed."""
        known = self._entry_by_key.get(record.key)
        if known is not None and known.record.offset >= record.offset:
            return False
        digest = None if record.value is None else self._digest(record.value)
        is_same = known is not None and known.digest == digest
        changed_offset = record.offset
        if known is not None and is_same:
            changed_offset = known.changed_offset
        self._entry_by_key[record.key] = _Entry(record, changed_offset, digest)
        return not is_same

    def _drop_oldest_deletions(self) -> None:
        deleted = sorted(
            (entry.record.offset, key)
            for key, entry in self._entry_by_key.items()
            if entry.record.value is None
        )
        for offset, key in deleted[: max(0, len(deleted) - _MAX_DELETED_KEYS)]:
            del self._entry_by_key[key]
            self._deletions_from_offset = max(
                self._deletions_from_offset, offset + 1
            )
