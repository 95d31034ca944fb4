"""Differences between two versions of a value, as spans of the former one.

Versions of a JSON document share most of their objects, so the search for
equal parts goes by segments that end with a closing brace.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
from typing import NamedTuple

from lycheegw.state import errors

__all__ = ["Patch", "Span", "apply", "digest", "make", "size"]

_DELIMITER = b"}"
_DIGEST_BYTES = 8
# Size of a span in a message, about.
_SPAN_BYTES = 8


class Span(NamedTuple):
    """Bytes that are copied from the former value."""

    start: int
    length: int

    @property
    def end(self) -> int:
        """Offset of the byte after the span."""
        return self.start + self.length


# The new value, in order: spans of the former one, and new bytes.
Patch = tuple[Span | bytes, ...]


def digest(value: bytes) -> bytes:
    """Returns a short hash that identifies a value among its versions."""
    return hashlib.blake2b(value, digest_size=_DIGEST_BYTES).digest()


def size(patch: Patch) -> int:
    """Returns about how many bytes a patch takes in a message."""
    return sum(
        _SPAN_BYTES if isinstance(part, Span) else len(part) for part in patch
    )


def apply(former: bytes, patch: Patch) -> bytes:
    """Returns the new value.

    Raises:
        errors.PeerMessageError: A span exceeds the former value.
    """
    parts = []
    for part in patch:
        if isinstance(part, Span):
            if part.end > len(former):
                raise errors.PeerMessageError(
                    f"patch copies up to byte {part.end} of {len(former)}"
                )
            parts.append(former[part.start : part.end])
        else:
            parts.append(part)
    return b"".join(parts)


def make(former: bytes, new: bytes) -> Patch:
    """Returns a patch that turns one value into another."""
    start_by_segment: dict[bytes, int] = {}
    position = 0
    for segment in _segments(former):
        start_by_segment.setdefault(segment, position)
        position += len(segment)
    parts: list[Span | bytes] = []
    for segment in _segments(new):
        parts.append(_find(former, start_by_segment, parts, segment))
    return tuple(_joined(_trimmed(former, list(_joined(parts)))))


def _segments(value: bytes) -> list[bytes]:
    segments = [each + _DELIMITER for each in value.split(_DELIMITER)]
    segments[-1] = segments[-1][: -len(_DELIMITER)]
    return segments


def _find(
    former: bytes,
    start_by_segment: dict[bytes, int],
    parts: list[Span | bytes],
    segment: bytes,
) -> Span | bytes:
    """Returns where the former value has a segment, or the segment itself."""
    last = parts[-1] if parts else None
    if isinstance(last, Span) and former.startswith(segment, last.end):
        return Span(last.end, len(segment))
    start = start_by_segment.get(segment)
    return segment if start is None else Span(start, len(segment))


def _joined(parts: Iterable[Span | bytes]) -> Iterator[Span | bytes]:
    """Yields the parts, those that continue each other as one."""
    span = Span(0, 0)
    new: list[bytes] = []
    for part in parts:
        if isinstance(part, bytes):
            if span.length:
                yield span
                span = Span(0, 0)
            new.append(part)
        elif part.length:
            if new:
                yield b"".join(new)
                new = []
            if span.length and span.end == part.start:
                span = Span(span.start, span.length + part.length)
                continue
            if span.length:
                yield span
            span = part
    if span.length:
        yield span
    if new:
        yield b"".join(new)


def _trimmed(
    former: bytes, parts: list[Span | bytes]
) -> Iterator[Span | bytes]:
    """Yields the parts, less of new bytes what their surroundings still have.

    Between two spans, new bytes replace those between the spans in the former
    value; most often a small part of them differs.
    """
    for index, part in enumerate(parts):
        if isinstance(part, Span):
            yield part
            continue
        before = parts[index - 1] if index else Span(0, 0)
        after = (
            parts[index + 1] if index + 1 < len(parts) else Span(len(former), 0)
        )
        if not (isinstance(before, Span) and isinstance(after, Span)):
            yield part
            continue
        replaced = former[before.end : after.start]
        head = _common_prefix(replaced, part)
        tail = _common_prefix(replaced[head:][::-1], part[head:][::-1])
        yield Span(before.end, head)
        if len(part) > head + tail:
            yield part[head : len(part) - tail]
        yield Span(after.start - tail, tail)


def _common_prefix(one: bytes, other: bytes) -> int:
    """Returns the number of leading bytes that are equal."""
    return bisect.bisect_left(
        range(1, min(len(one), len(other)) + 1),
        True,
        key=lambda length: one[:length] != other[:length],
    )
