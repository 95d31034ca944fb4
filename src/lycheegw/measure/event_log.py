"""Measures the time of a structured log line, also without a reader.

Lines of a usual size are written within the rate bound, beyond it, and to a
pipe that nobody reads. The baseline writes every line.
"""

import asyncio
import os
import time

from lycheegw.measure import report
from lycheegw.transport import event_log

__all__ = ["run"]

_LINES = 20_000
# Long enough to fill the pipe and the log's own buffer.
_UNREAD_S = 20
_LINES_PER_S = 200


class _ManualClock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def read(self) -> float:
        return self.now_s


def _write_line(log: event_log.EventLog, number: int) -> float:
    """Writes a line like that of an attempt; returns the seconds it took."""
    begin_s = time.perf_counter()
    log.note(
        "attempt",
        request_id=f"{number:016x}",
        upstream="i-0123456789",
        version="v1",
        model="small",
        number=1,
        why="affinity",
        prompt="5c1e07a2",
        tokens=17_000,
        load=3.5,
        load_age_s=0.25,
        wait_s=0.1,
        left_s=11.9,
        last_event=None,
    )
    return time.perf_counter() - begin_s


def _line_times_s(lines_per_s: int) -> tuple[float, float]:
    """Returns the mean and the longest time of a line, in seconds."""
    clock = _ManualClock()
    descriptor = os.open(os.devnull, os.O_WRONLY)
    log = event_log.EventLog("n", clock.read, clock.read, descriptor)
    times_s = []
    for number in range(_LINES):
        clock.now_s = number / lines_per_s
        times_s.append(_write_line(log, number))
    os.close(descriptor)
    return sum(times_s) / len(times_s), max(times_s)


def _longest_unread_line_s() -> float:
    """Returns the longest time of a line, in seconds, if nobody reads."""
    clock = _ManualClock()
    read_end, write_end = os.pipe()
    log = event_log.EventLog("n", clock.read, clock.read, write_end)
    longest_s = 0.0
    for number in range(_UNREAD_S * _LINES_PER_S):
        clock.now_s = number / _LINES_PER_S
        longest_s = max(longest_s, _write_line(log, number))
    os.close(read_end)
    os.close(write_end)
    return longest_s


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings; `seed` and `scale` have no effect."""
    del seed, scale
    loop = asyncio.get_running_loop()
    within_s, _ = await loop.run_in_executor(None, _line_times_s, 40)
    beyond_s, _ = await loop.run_in_executor(None, _line_times_s, 10_000)
    unread_s = await loop.run_in_executor(None, _longest_unread_line_s)
    return report.Findings(
        {
            "line_us": within_s * 1e6,
            "line_beyond_bound_us": beyond_s * 1e6,
            "longest_unread_line_ms": unread_s * 1e3,
        },
        "every line written",
        {"line_beyond_bound_us": within_s * 1e6},
    )
