"""Splits a stream of server-sent events into events.

An upstream may fail in the middle of an event. Only complete events are
forwarded, so that another upstream can resume the stream after the last one.
"""

from typing import NamedTuple

__all__ = ["Event", "EventParser"]

_MAX_EVENT_BYTES = 1024 * 1024


class Event(NamedTuple):
    """The bytes of one event, and its id if it has one."""

    data: bytes
    event_id: str | None


class EventParser:
    """Parses events incrementally from the bytes of a stream.

    Attributes:
        incomplete: Bytes of an incomplete event.
    """

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that these bytes complete."""
        buffer = self.incomplete + data
        events = []
        while True:
            end = _end_of_event(buffer)
            if end < 0:
                break
            events.append(Event(buffer[:end], _event_id(buffer[:end])))
            buffer = buffer[end:]
        self.incomplete = buffer
        return events

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event exceeds the size limit."""
        return len(self.incomplete) > _MAX_EVENT_BYTES


def _end_of_event(buffer: bytes) -> int:
    """Returns the position after the first blank line, -1 for none."""
    ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(separator)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(data: bytes) -> str | None:
    """Returns the value of an event's first id field, None without one."""
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
