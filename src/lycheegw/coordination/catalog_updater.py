"""Applies configuration entries of the log and snapshots to the catalog.

All changes of the catalog go through here. Entries come from the log or from
peers, in the order of the log. The newest ones are kept in serialised form
for peers that lag behind.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Any
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.state import catalog as catalogs
from lycheegw.state import errors
from lycheegw.state import json_fields
from lycheegw.state import node_state
from lycheegw.state import record_validation
from lycheegw.state import records

__all__ = ["CatalogUpdater", "Codec", "TailEntry"]

_MAX_TAIL_ENTRIES = 500
_MAX_TAIL_BYTES = 1024 * 1024
_MAX_ENTRY_BYTES = 128 * 1024
# Nesting of an entry's data. All nodes must come to the same verdict, however
# much of the stack is left to them.
_MAX_ENTRY_DEPTH = 64
_NOT_A_RECORD = "entry is not a record"


class Codec(NamedTuple):
    """Encodes and decodes records and catalogs.

    Attributes:
        decode: Returns a record; raises errors.RecordError.
        dump: Returns a catalog in serialised form.
        load: Returns a catalog; raises errors.RecordError.
    """

    decode: Callable[[Any], records.Record]
    dump: Callable[[catalogs.Catalog], bytes]
    load: Callable[[bytes], catalogs.Catalog]


class TailEntry(NamedTuple):
    """An entry of the log with its data as JSON bytes."""

    offset: int
    at_s: float
    data: bytes


class CatalogUpdater:
    """Applies entries and snapshots; the catalog's offset never goes back.

    Attributes:
        tail_after: Offset of the last entry before the kept ones.
    """

    def __init__(self, state: node_state.NodeState, codec: Codec):
        self._state = state
        self._codec = codec
        self._tail: collections.deque[TailEntry] = collections.deque()
        self._tail_bytes = 0
        self.tail_after = state.catalog.offset
        self._snapshot = (catalogs.NO_OFFSET, b"")

    def apply_entries(
        self, entries: Sequence[interfaces.AppendedEntry]
    ) -> None:
        """Applies entries, which must follow each other without a gap."""
        for entry in entries:
            data: Any = entry.data
            if json_fields.is_deeper(data, _MAX_ENTRY_DEPTH):
                data = None
            tail_entry = TailEntry(entry.offset, entry.at_s, _serialise(data))
            self._apply(tail_entry, data)

    def apply_tail(self, after: int, entries: Sequence[TailEntry]) -> bool:
        """Applies all entries after an offset; returns whether any was new.

        Entries that would leave a gap are not applied.
        """
        catalog = self._state.catalog
        if after > catalog.offset:
            return False
        before = catalog.offset
        for entry in entries:
            self._apply(entry, json.loads(entry.data))
        return catalog.offset > before

    def install_snapshot(self, data: bytes) -> bool:
        """Replaces the catalog by a later snapshot; returns whether it did.

        Raises:
            errors.RecordError: The snapshot can't be decoded.
        """
        if not self._state.catalog.replace_if_better(self._codec.load(data)):
            return False
        self._tail.clear()
        self._tail_bytes = 0
        self.tail_after = self._state.catalog.offset
        self._state.counters.add("records.snapshots")
        return True

    def snapshot(self) -> tuple[int, bytes]:
        """Returns the catalog's offset and its serialised form."""
        catalog = self._state.catalog
        if self._snapshot[0] != catalog.offset:
            self._snapshot = (catalog.offset, self._codec.dump(catalog))
        return self._snapshot

    def tail(self, after: int, max_bytes: int) -> Sequence[TailEntry] | None:
        """Returns entries after an offset, None if they are no longer kept.

        Returns at least one entry if there is any, and otherwise no more than
        fit into `max_bytes`.
        """
        if after < self.tail_after:
            return None
        chosen: list[TailEntry] = []
        size = 0
        for entry in self._tail:
            if entry.offset <= after:
                continue
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def _apply(self, entry: TailEntry, data: Any) -> None:
        """Applies one entry, unless the catalog has its offset already."""
        catalog = self._state.catalog
        if entry.offset <= catalog.offset:
            return
        try:
            record = self._codec.decode(data)
        except errors.RecordError as error:
            logging.warning(
                "configuration entry at offset %d rejected: %s",
                entry.offset,
                error,
            )
            verdict = record_validation.reject(
                catalog, entry.offset, entry.at_s, _NOT_A_RECORD
            )
        else:
            verdict = record_validation.apply(
                catalog, entry.offset, entry.at_s, record
            )
        if verdict is not None:
            self._state.counters.add(f"records.{verdict.outcome.value}")
        self._append_to_tail(entry)

    def _append_to_tail(self, entry: TailEntry) -> None:
        self._tail.append(entry)
        self._tail_bytes += len(entry.data)
        while (
            len(self._tail) > _MAX_TAIL_ENTRIES
            or self._tail_bytes > _MAX_TAIL_BYTES
        ):
            oldest = self._tail.popleft()
            self._tail_bytes -= len(oldest.data)
            self.tail_after = oldest.offset


def _serialise(data: Any) -> bytes:
    """Returns JSON bytes, "null" for data that is too large for a record."""
    serialised = json.dumps(data, separators=(",", ":")).encode()
    return serialised if len(serialised) <= _MAX_ENTRY_BYTES else b"null"
