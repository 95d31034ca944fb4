"""Semaphore with priorities: which request enters an engine's batch next."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import heapq

__all__ = ["PrioritySemaphore"]


class PrioritySemaphore:
    """Limits concurrency; the lowest priority number is admitted first.

    Attributes:
        waiting: Requests that wait for a slot.
    """

    def __init__(self, slots: int):
        self._free_slots = slots
        self._last_number = 0
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self.waiting = 0

    @contextlib.asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Holds a slot while the context is open; waits if none is free."""
        if self._free_slots == 0:
            await self._wait(priority)
        else:
            self._free_slots -= 1
        try:
            yield
        finally:
            self._release()

    async def _wait(self, priority: int) -> None:
        granted = asyncio.get_running_loop().create_future()
        self._last_number += 1
        heapq.heappush(self._waiters, (priority, self._last_number, granted))
        self.waiting += 1
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self._release()
            raise
        finally:
            self.waiting -= 1

    def _release(self) -> None:
        while self._waiters:
            granted = heapq.heappop(self._waiters)[2]
            if not granted.done():
                granted.set_result(None)
                return
        self._free_slots += 1
