"""Whole events of a server-sent stream, cut out of its bytes.

An upstream may stop within an event. Only whole events are passed on, so that
the stream can go on elsewhere after the last one.
"""

from typing import NamedTuple

__all__ = ["Event", "EventReader"]

_MAX_EVENT_BYTES = 1024 * 1024


class Event(NamedTuple):
    """One event, with its identifier where it has one."""

    data: bytes
    event_id: str | None


class EventReader:
    """Cuts bytes into events.

    Attributes:
        rest: Bytes of an event that is not whole yet.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole with these bytes."""
        buffer = self.rest + data
        events = []
        while True:
            end = _end_of_event(buffer)
            if end < 0:
                break
            events.append(Event(buffer[:end], _event_id(buffer[:end])))
            buffer = buffer[end:]
        self.rest = buffer
        return events

    @property
    def is_oversized(self) -> bool:
        """Whether an event grew beyond any bound."""
        return len(self.rest) > _MAX_EVENT_BYTES


def _end_of_event(buffer: bytes) -> int:
    """Returns the position after the first blank line, -1 for none."""
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(data: bytes) -> str | None:
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
