"""Non-blocking, rate-limited JSON log of events on standard output.

Each second allows a fixed number of routine lines and of other lines. Lines
above the limit are dropped, and their count is logged with the first line of
a later second. If the reader of the output is slow, lines are dropped rather
than waiting for it.
"""

import collections
from collections.abc import Callable
import json
import os
import sys
from typing import Any

__all__ = ["EventLog"]

# Lines per second. Enough to log every decision at ten requests a second; the
# limit bounds the processor time that logging takes in a burst.
_ROUTINE_LINES_PER_S = 60
_OTHER_LINES_PER_S = 60
# Bytes buffered for a slow reader.
_MAX_BUFFER_BYTES = 256 * 1024
_ROUTINE_EVENTS = frozenset(
    {"answered", "attempt", "answer_not_kept", "upstream"}
)


class EventLog:
    """Writes events as JSON objects, one per line."""

    def __init__(
        self,
        node_id: str,
        wall_s: Callable[[], float],
        monotonic_s: Callable[[], float],
        descriptor: int | None = None,
    ):
        self._node_id = node_id
        self._wall_s = wall_s
        self._monotonic_s = monotonic_s
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._second = 0
        self._count_by_is_routine: collections.Counter[bool] = (
            collections.Counter()
        )
        self._dropped_by_event: collections.Counter[str] = collections.Counter()
        self._buffer = bytearray()

    def note(self, event: str, **fields: Any) -> None:
        """Writes a line for an event, unless the limit is reached."""
        now_s = self._monotonic_s()
        if int(now_s) != self._second:
            self._start_second(int(now_s))
        is_routine = event in _ROUTINE_EVENTS
        limit = _ROUTINE_LINES_PER_S if is_routine else _OTHER_LINES_PER_S
        if self._count_by_is_routine[is_routine] >= limit:
            self._dropped_by_event[event] += 1
            return
        self._count_by_is_routine[is_routine] += 1
        self._write(event, fields)

    def _start_second(self, second: int) -> None:
        self._second = second
        self._count_by_is_routine.clear()
        if self._dropped_by_event:
            dropped = dict(self._dropped_by_event)
            self._dropped_by_event.clear()
            self._write("lines_left_out", {"count_by_event": dropped})

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        line = json.dumps(
            {
                "at_s": round(self._wall_s(), 3),
                "node": self._node_id,
                "event": event,
                **fields,
            },
            default=str,
            separators=(",", ":"),
        )
        if len(self._buffer) + len(line) > _MAX_BUFFER_BYTES:
            self._dropped_by_event[event] += 1
            return
        self._buffer += line.encode() + b"\n"
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as is possible without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to log to.
                self._buffer.clear()
                return
            del self._buffer[:written]
