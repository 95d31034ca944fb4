"""Local copies of the store's keyed topics, merged by era and record offset.

A store that is restored from a backup begins a new era, in which offsets of the
former one are given out again. A copy holds the records of one era. It enters a
later era only with all records of the topic, and never returns to an earlier
one.

For long values, a copy keeps the latest patches, so that a peer with a former
version needs only the difference.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import math
from typing import NamedTuple

from lycheegw.state import patches

__all__ = [
    "PatchedRecord",
    "Position",
    "Topic",
    "TopicPage",
    "TopicRecord",
    "TopicState",
    "ValueChange",
]

# Number of deleted keys that are remembered, so that updates can include them;
# a neighbour whose copy is older than the dropped ones gets the whole topic.
_MAX_DELETED_KEYS = 500
# Size of a value from which on its patches are kept, in bytes.
_MIN_PATCHED_BYTES = 512
# Patches that are kept for a key, and the bytes that they may take together.
_MAX_CHANGES = 32
_MAX_CHANGES_BYTES = 32 * 1024


class Topic(enum.Enum):
    """The keyed topics that a node reads or writes."""

    ORDERS = "orders"
    UPSTREAMS = "upstreams"
    OUTCOMES = "outcomes"
    NODES = "nodes"
    BLOCKED_PARTS = "blocked_parts"


class Position(NamedTuple):
    """A place in a topic of the store; positions of later eras are greater.

    Attributes:
        era: Number of restores that the store has been through, 0 if unknown.
        offset: Offset of a record in that era.
    """

    era: int
    offset: int


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
        era: Era of the store that the offsets belong to.
    """

    records: Sequence[TopicRecord]
    end_offset: int
    is_complete: bool
    has_more: bool = False
    era: int = 0


class ValueChange(NamedTuple):
    """The difference between two successive versions of a long value.

    Attributes:
        offset: Offset of the record with the new value.
        former_digest: Digest of the former value.
        digest: Digest of the new value.
        patch: Turns the former value into the new one.
    """

    offset: int
    former_digest: bytes
    digest: bytes
    patch: patches.Patch


class PatchedRecord(NamedTuple):
    """A record whose value is encoded as changes of a former value.

    Attributes:
        key: Key of the record.
        offset: Offset of the record.
        digest: Digest of its value.
        changes: Changes that lead to the value, the oldest first. A copy that
            has one of the former values needs those after it.
    """

    key: str
    offset: int
    digest: bytes
    changes: tuple[ValueChange, ...]


class _Entry(NamedTuple):
    """The newest record of a key.

    Attributes:
        record: The record.
        changed_offset: Offset of the first record with an equal digest.
        digest: Digest by which a changed value is detected.
        value_digest: Digest of a long value, else None.
        changes: The latest changes of a long value, without a gap.
    """

    record: TopicRecord
    changed_offset: int
    digest: Hashable
    value_digest: bytes | None
    changes: tuple[ValueChange, ...]


class TopicState:
    """This node's copy of one topic; older records never replace newer ones.

    Attributes:
        topic: The topic.
        era: Era of the store that the records belong to.
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
        self.era = 0
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

    @property
    def position(self) -> Position:
        """Position up to which the copy is complete."""
        return Position(self.era, self.end_offset)

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

    def apply_page(
        self,
        page: TopicPage,
        changes_by_key: Mapping[str, Sequence[ValueChange]] | None = None,
    ) -> set[str]:
        """Applies a page of the store; returns the keys that changed.

        A page of an earlier era changes nothing. One of a later era is applied
        if it is complete, and replaces the copy.

        Args:
            page: The page.
            changes_by_key: Changes that are known to have led to its values.
        """
        if page.era != self.era:
            if page.era < self.era or not page.is_complete:
                return set()
            return self._enter_era(page)
        changed = set()
        if page.is_complete:
            if page.end_offset < self.end_offset:
                return set()
            changed = self._delete_missing(page)
            if page.end_offset > self.end_offset:
                # The page omits keys that were deleted since the last read.
                self._deletions_from_offset = page.end_offset
        for record in page.records:
            if self._store(record, (changes_by_key or {}).get(record.key, ())):
                changed.add(record.key)
        self.end_offset = max(self.end_offset, page.end_offset)
        self._drop_oldest_deletions()
        return changed

    def _enter_era(self, page: TopicPage) -> set[str]:
        """Replaces the copy by all records of a later era."""
        former_by_key = self._entry_by_key
        self.era = page.era
        self.end_offset = page.end_offset
        self._entry_by_key = {}
        # What was deleted before is not known in this era.
        self._deletions_from_offset = page.end_offset
        for record in page.records:
            self._store(record)
        return {
            key
            for key in former_by_key.keys() | self._entry_by_key.keys()
            if _digest_of(former_by_key.get(key))
            != _digest_of(self._entry_by_key.get(key))
        }

    def merge(
        self,
        from_offset: int,
        end_offset: int,
        records: Iterable[TopicRecord],
        patched: Iterable[PatchedRecord] = (),
        era: int = 0,
    ) -> set[str] | None:
        """Merges records from a peer; returns the keys that changed.

        Returns None if records between the two copies are missing, or a value
        to which a patch applies.
        """
        if Position(era, end_offset) < self.position:
            return set()
        if from_offset > (max(0, self.end_offset) if era == self.era else 0):
            return None
        merged = list(records)
        changes_by_key = {}
        for each in patched:
            value = self._patched_value(each)
            if value is None:
                return None
            merged.append(TopicRecord(each.key, each.offset, value))
            changes_by_key[each.key] = each.changes
        merged.sort(key=lambda record: record.offset)
        page = TopicPage(merged, end_offset, from_offset == 0, era=era)
        return self.apply_page(page, changes_by_key)

    def _patched_value(self, patched: PatchedRecord) -> bytes | None:
        """Returns the value of a record, None if no former one is known."""
        entry = self._entry_by_key.get(patched.key)
        if entry is None or entry.record.value is None:
            return None
        value, digest = entry.record.value, entry.value_digest
        for change in patched.changes:
            if digest != patched.digest and digest == change.former_digest:
                value = patches.apply(value, change.patch)
                digest = change.digest
        if digest != patched.digest or (
            value is not entry.record.value and patches.digest(value) != digest
        ):
            return None
        return value

    def patched_record(
        self, key: str, offset: int, known_digest: bytes | None = None
    ) -> PatchedRecord | None:
        """Returns the newest record of a key, encoded as changes.

        Args:
            key: The key.
            offset: Offset up to which the other copy is complete.
            known_digest: Digest of the other copy's value, if known.

        Returns:
            None if the changes that the other copy lacks are not known.
        """
        entry = self._entry_by_key.get(key)
        if entry is None or entry.value_digest is None:
            return None
        changes = [each for each in entry.changes if each.offset >= offset]
        if known_digest is not None:
            digests = [each.former_digest for each in entry.changes]
            if known_digest == entry.value_digest:
                changes = []
            elif known_digest in digests:
                changes = list(entry.changes[digests.index(known_digest) :])
            else:
                return None
        elif not changes:
            return None
        return PatchedRecord(
            key, entry.record.offset, entry.value_digest, tuple(changes)
        )

    def digest_by_key(self) -> dict[str, bytes]:
        """Returns the digests of the long values."""
        return {
            key: entry.value_digest
            for key, entry in self._entry_by_key.items()
            if entry.value_digest is not None
        }

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

    def _store(
        self, record: TopicRecord, changes: Sequence[ValueChange] = ()
    ) -> bool:
        """Stores a record if newer; returns whether the value changed."""
        known = self._entry_by_key.get(record.key)
        if known is not None and known.record.offset >= record.offset:
            return False
        digest = None if record.value is None else self._digest(record.value)
        is_same = known is not None and known.digest == digest
        changed_offset = record.offset
        if known is not None and is_same:
            changed_offset = known.changed_offset
        value_digest = None
        if record.value is not None and len(record.value) >= _MIN_PATCHED_BYTES:
            value_digest = patches.digest(record.value)
        self._entry_by_key[record.key] = _Entry(
            record,
            changed_offset,
            digest,
            value_digest,
            _extended_changes(known, record, value_digest, changes),
        )
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


def _digest_of(entry: _Entry | None) -> Hashable:
    """Returns the digest of an entry's value, None if it does not exist."""
    return None if entry is None else entry.digest


def _extended_changes(
    known: _Entry | None,
    record: TopicRecord,
    value_digest: bytes | None,
    changes: Sequence[ValueChange],
) -> tuple[ValueChange, ...]:
    """Returns the changes that are kept with a new record.

    Args:
        known: The former entry, if any.
        record: The new record.
        value_digest: Digest of its value, None if it is not long.
        changes: Changes that a peer says led to its value.
    """
    if known is None or known.value_digest is None or value_digest is None:
        return ()
    if known.value_digest == value_digest:
        return known.changes
    added = _changes_after(known.value_digest, value_digest, changes)
    if not added and known.record.value and record.value:
        patch = patches.make(known.record.value, record.value)
        added = (
            ValueChange(record.offset, known.value_digest, value_digest, patch),
        )
    kept: list[ValueChange] = []
    size = 0
    for change in reversed((*known.changes, *added)):
        size += patches.size(change.patch)
        if len(kept) >= _MAX_CHANGES or size > _MAX_CHANGES_BYTES:
            break
        kept.append(change)
    return tuple(reversed(kept))


def _changes_after(
    former_digest: bytes, digest: bytes, changes: Sequence[ValueChange]
) -> tuple[ValueChange, ...]:
    """Returns the changes that lead from one value to another, if known."""
    digests = [each.former_digest for each in changes]
    if former_digest not in digests or changes[-1].digest != digest:
        return ()
    return tuple(changes[digests.index(former_digest) :])
