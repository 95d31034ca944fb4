"""Structured lines on standard output: bounded, and never blocking.

Each second has room for so many lines of a kind; what does not fit is
counted and told in the next second. A reader that falls behind costs lines,
not time.
"""

import collections
from collections.abc import Callable
import json
import os
import sys
from typing import Any

__all__ = ["EventLog"]

# Lines a second of routine and of failures; at ten requests a second each
# decision on a request has room, and a burst costs no more processor time.
_ROUTINE_PER_S = 60
_FAILURES_PER_S = 60
# Bytes that wait for a slow reader.
_MAX_WAITING_BYTES = 256 * 1024
_ROUTINE = frozenset({"answered", "attempt", "answer_not_kept", "upstream"})


class EventLog:
    """Writes one JSON object a line."""

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
        self._count_by_class: collections.Counter[bool] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()
        self._waiting = bytearray()

    def note(self, event: str, **fields: Any) -> None:
        """Writes a line for an event, unless its second is full."""
        now_s = self._monotonic_s()
        if int(now_s) != self._second:
            self._start_second(int(now_s))
        is_routine = event in _ROUTINE
        bound = _ROUTINE_PER_S if is_routine else _FAILURES_PER_S
        if self._count_by_class[is_routine] >= bound:
            self._left_out[event] += 1
            return
        self._count_by_class[is_routine] += 1
        self._write(event, fields)

    def _start_second(self, second: int) -> None:
        self._second = second
        self._count_by_class.clear()
        if self._left_out:
            left_out = dict(self._left_out)
            self._left_out.clear()
            self._write("lines_left_out", {"count_by_event": left_out})

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
        if len(self._waiting) + len(line) > _MAX_WAITING_BYTES:
            self._left_out[event] += 1
            return
        self._waiting += line.encode() + b"\n"
        self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to tell it.
                self._waiting.clear()
                return
            del self._waiting[:written]
