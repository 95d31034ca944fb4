"""Measure: what structured lines cost, and that a slow reader costs no time.

Lines of a usual size are noted within their bound, beyond it, and to a pipe
that nobody reads, against a log that writes every line.
"""

import asyncio
import os
import time

from lycheegw.measure import report
from lycheegw.transport import event_log

__all__ = ["run"]

_LINES = 20_000
# More than a pipe holds and the log keeps besides.
_UNREAD_SECONDS = 20
_LINES_A_SECOND = 200


class _Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def read(self) -> float:
        return self.now_s


def _note(log: event_log.EventLog, number: int) -> float:
    """Notes a line like those of an attempt; returns seconds taken."""
    begun_s = time.perf_counter()
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
    return time.perf_counter() - begun_s


def _line_costs(lines_a_second: int) -> tuple[float, float]:
    """Returns the mean and the longest time of a line in seconds."""
    clock = _Clock()
    descriptor = os.open(os.devnull, os.O_WRONLY)
    log = event_log.EventLog("n", clock.read, clock.read, descriptor)
    taken = []
    for number in range(_LINES):
        clock.now_s = number / lines_a_second
        taken.append(_note(log, number))
    os.close(descriptor)
    return sum(taken) / len(taken), max(taken)


def _unread_cost() -> float:
    """Returns the longest time of a line where nobody reads."""
    clock = _Clock()
    reading, writing = os.pipe()
    log = event_log.EventLog("n", clock.read, clock.read, writing)
    longest_s = 0.0
    for number in range(_UNREAD_SECONDS * _LINES_A_SECOND):
        clock.now_s = number / _LINES_A_SECOND
        longest_s = max(longest_s, _note(log, number))
    os.close(reading)
    os.close(writing)
    return longest_s


async def run(seed: int, scale: float) -> report.Findings:
    """Runs the measure; neither seed nor scale change it."""
    del seed, scale
    loop = asyncio.get_running_loop()
    within_s, _ = await loop.run_in_executor(None, _line_costs, 40)
    beyond_s, _ = await loop.run_in_executor(None, _line_costs, 10_000)
    unread_s = await loop.run_in_executor(None, _unread_cost)
    return report.Findings(
        {
            "line_us": within_s * 1e6,
            "line_beyond_bound_us": beyond_s * 1e6,
            "longest_unread_line_ms": unread_s * 1e3,
        },
        "every line written",
        {"line_beyond_bound_us": within_s * 1e6},
    )
