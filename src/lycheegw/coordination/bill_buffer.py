"""A compressed buffer of consecutive bills of one node."""

import collections
from collections.abc import Sequence
import itertools
from typing import NamedTuple
import zlib

__all__ = ["BillBuffer"]

_CHUNK_ROWS = 256
_SEPARATOR = b"\n"


class _Chunk(NamedTuple):
    """Consecutive rows, compressed together."""

    row_count: int
    compressed: bytes

    def rows(self) -> list[bytes]:
        """Returns the decompressed rows."""
        return zlib.decompress(self.compressed).split(_SEPARATOR)


class BillBuffer:
    """Rows from `first_seq` up to `next_seq`; older ones are compressed.

    Attributes:
        first_seq: Number of the first row that is held.
        next_seq: Number of the next row to add.
        byte_count: Size of all rows held, compressed where they are.
    """

    def __init__(self, first_seq: int = 0):
        self._chunks: collections.deque[_Chunk] = collections.deque()
        self._tail: list[bytes] = []
        self._clear(first_seq)

    def _clear(self, first_seq: int) -> None:
        self._chunks.clear()
        self._tail.clear()
        self.first_seq = first_seq
        self.next_seq = first_seq
        self.byte_count = 0
        # Rows before `first_seq` that are still in the first chunk.
        self._dropped_in_first_chunk = 0

    def __len__(self) -> int:
        return self.next_seq - self.first_seq

    def add(self, row: bytes) -> int:
        """Adds a row without line breaks; returns its number."""
        self._tail.append(row)
        self.byte_count += len(row)
        self.next_seq += 1
        if len(self._tail) == _CHUNK_ROWS:
            self._compress_tail()
        return self.next_seq - 1

    def _compress_tail(self) -> None:
        chunk = _Chunk(
            len(self._tail), zlib.compress(_SEPARATOR.join(self._tail))
        )
        self.byte_count += len(chunk.compressed) - sum(map(len, self._tail))
        self._chunks.append(chunk)
        self._tail = []

    def rows(self, start_seq: int, limit: int) -> Sequence[bytes]:
        """Returns up to `limit` rows, starting with row `start_seq`."""
        skip = start_seq - self.first_seq + self._dropped_in_first_chunk
        found: list[bytes] = []
        for chunk in self._chunks:
            if skip < chunk.row_count:
                found += chunk.rows()[skip:]
                if len(found) >= limit:
                    return found[:limit]
            skip = max(0, skip - chunk.row_count)
        found += itertools.islice(self._tail, skip, None)
        return found[:limit]

    def drop(self, before_seq: int) -> None:
        """Drops the rows before `before_seq`, which may exceed `next_seq`."""
        if before_seq >= self.next_seq:
            self._clear(before_seq)
            return
        count = before_seq - self.first_seq
        if count <= 0:
            return
        self.first_seq += count
        self._dropped_in_first_chunk += count
        while (
            self._chunks
            and self._dropped_in_first_chunk >= self._chunks[0].row_count
        ):
            chunk = self._chunks.popleft()
            self._dropped_in_first_chunk -= chunk.row_count
            self.byte_count -= len(chunk.compressed)
        if not self._chunks and self._dropped_in_first_chunk:
            self.byte_count -= sum(
                map(len, self._tail[: self._dropped_in_first_chunk])
            )
            del self._tail[: self._dropped_in_first_chunk]
            self._dropped_in_first_chunk = 0
