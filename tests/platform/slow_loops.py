"""Slow event loops, and a store that they don't slow, for tests."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
import contextlib
import threading
import time
from typing import Any

from tests.platform import platform_standins


def stall(seconds: float) -> None:
    """Holds the event loop that calls this, as a process that is suspended."""
    time.sleep(seconds)


@contextlib.asynccontextmanager
async def slow_event_loop(turn_s: float) -> AsyncIterator[None]:
    """Makes each turn of the running event loop last at least some seconds.

    Args:
        turn_s: Seconds of a turn.
    """
    loop = asyncio.get_running_loop()
    is_slow = True

    def spend_a_turn() -> None:
        if is_slow:
            time.sleep(turn_s)
            loop.call_soon(spend_a_turn)

    loop.call_soon(spend_a_turn)
    try:
        yield
    finally:
        is_slow = False


class LoopThread:
    """A thread with an event loop of its own, which a slow one doesn't slow."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def run(self, call: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the thread and waits for its end."""
        await asyncio.wrap_future(
            asyncio.run_coroutine_threadsafe(call, self._loop)
        )


class StoreThread:
    """A store that runs in a thread.

    Attributes:
        store: The store; its attributes may be set from other threads.
        thread: The thread.
    """

    def __init__(self) -> None:
        self.store = platform_standins.Store()
        self.thread = LoopThread()

    @property
    def address(self) -> str:
        return self.store.address

    async def start(self) -> None:
        self.thread.start()
        await self.thread.run(self.store.start())

    async def stop(self) -> None:
        await self.thread.run(self.store.stop())
        self.thread.stop()

    async def put(self, topic: str, key: str, value: Any) -> None:
        """Appends a record, as the operator or an upstream would."""
        await self.thread.run(self.store.put(topic, key, value))
