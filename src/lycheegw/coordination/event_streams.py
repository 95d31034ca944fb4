"""Splits a stream of server-sent events into events.

An upstream may fail in the middle of an event. Only complete events are
forwarded, so that another upstream can resume the stream after the last one.
"""

from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Event", "EventParser"]

_MAX_EVENT_BYTES = 1024 * 1024
# Events in turn without id and data, such as comments that keep a connection
# open, after which a stream is malformed: each takes as long as a sound one.
_MAX_EMPTY_EVENTS = 1000


class Event(NamedTuple):
    """The bytes of one event, and its id if it has one."""

    data: bytes
    event_id: str | None


class EventParser:
    """Parses events incrementally from the bytes of a stream.

    Attributes:
        incomplete: Bytes of an incomplete event.
        fault: Why no more events are parsed, empty if the stream is sound.
    """

    def __init__(self) -> None:
        self.incomplete = b""
        self.fault = ""
        self._empty_events = 0

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yields the events that these bytes complete.

        The attributes are valid after the last of them.
        """
        buffer = self.incomplete + data
        begin = 0
        while (end := _end_of_event(buffer, begin)) >= 0:
            event = buffer[begin:end]
            begin = end
            event_id = _event_id(event)
            is_empty = event_id is None and b"data" not in event
            self._empty_events = self._empty_events + 1 if is_empty else 0
            if self._empty_events > _MAX_EMPTY_EVENTS:
                self.fault = "too many events without id and data"
                return
            yield Event(event, event_id)
        self.incomplete = buffer[begin:]
        if len(self.incomplete) > _MAX_EVENT_BYTES:
            self.fault = "event exceeds the size limit"


def _end_of_event(buffer: bytes, begin: int) -> int:
    """Returns the position after the next blank line, -1 for none."""
    position = buffer.find(b"\n\n", begin)
    end = position + 2 if position >= 0 else len(buffer)
    # The other line end is sought only up to there: each byte is looked at
    # once, however many events there are.
    other = buffer.find(b"\r\n\r\n", begin, end)
    if other >= 0:
        return other + 4
    return end if position >= 0 else -1


def _event_id(data: bytes) -> str | None:
    """Returns the value of an event's first id field, None without one."""
    first, _, _ = data.partition(b"\n")
    if first.startswith(b"id:") and b"\r" not in first[:-1]:
        # Nearly all events begin so.
        return first[3:].strip().decode("latin-1")
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
