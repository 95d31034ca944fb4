"""Timeouts that count only the time in which the event loop ran on schedule.

A timeout that shows that another process is silent must not pass while this one
is slow or suspended, since replies that have arrived are not read meanwhile.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

__all__ = ["SilenceTimeout", "silence_timeout"]

# Interval of the timer that counts, in seconds; longer turns of the event loop
# count as this long.
_TICK_S = 0.05


class SilenceTimeout:
    """Counts down and ends the `async with` block that it belongs to."""

    def __init__(
        self,
        limit_s: float,
        scope: asyncio.Timeout,
        may_end: Callable[[], bool],
    ):
        self._limit_s = limit_s
        self._scope = scope
        self._may_end = may_end
        self._loop = asyncio.get_running_loop()
        self._counted_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._schedule()

    def _schedule(self) -> None:
        tick_s = max(0.0, min(_TICK_S, self._limit_s - self._counted_s))
        self._timer = self._loop.call_later(tick_s, self._count, tick_s)

    def _count(self, tick_s: float) -> None:
        self._counted_s += tick_s
        if self._counted_s < self._limit_s:
            self._schedule()
            return
        if not self._may_end():
            self._counted_s = 0.0
            self._schedule()
            return
        self._timer = None
        # The block goes on first if what it waits for was just received.
        self._scope.reschedule(self._loop.time())

    def set_limit(self, limit_s: float) -> None:
        """Changes the counted seconds after which the block is ended."""
        self._limit_s = limit_s
        if self._timer is None and not self._scope.expired():
            self._scope.reschedule(None)
            self._schedule()

    def cancel(self) -> None:
        """Stops counting."""
        if self._timer is not None:
            self._timer.cancel()


@contextlib.asynccontextmanager
async def silence_timeout(
    limit_s: float, may_end: Callable[[], bool] = lambda: True
) -> AsyncIterator[SilenceTimeout]:
    """Ends the block once the event loop ran for `limit_s` without a stall.

    Args:
        limit_s: The time limit, in seconds.
        may_end: Called when the limit has passed; if it returns False, the
            block gets as much time again.

    Raises:
        TimeoutError: The block was ended.
    """
    async with asyncio.timeout(None) as scope:
        counting = SilenceTimeout(limit_s, scope, may_end)
        try:
            yield counting
        finally:
            counting.cancel()
