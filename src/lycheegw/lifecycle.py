"""Starts and stops an application's components in order."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from absl import logging

__all__ = ["Application"]

Hook = Callable[[], Awaitable[None]]


class Application:
    """Starts components in the order added and stops them in reverse."""

    def __init__(self) -> None:
        self._start_hooks: list[Hook] = []
        self._stop_hooks: list[Hook] = []
        self._tasks: list[asyncio.Task[None]] = []

    def add_hooks(
        self, on_start: Hook | None, on_stop: Hook | None = None
    ) -> None:
        """Adds the hooks of one component."""
        if on_start is not None:
            self._start_hooks.append(on_start)
        if on_stop is not None:
            self._stop_hooks.append(on_stop)

    def add_task(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Adds a component that runs as a task between start and stop."""

        async def on_start() -> None:
            task = asyncio.get_running_loop().create_task(run())
            task.add_done_callback(_log_failure)
            self._tasks.append(task)

        self.add_hooks(on_start)

    async def start(self) -> None:
        """Runs the start hooks in order."""
        for hook in self._start_hooks:
            await hook()

    async def stop(self) -> None:
        """Runs the stop hooks, the last added first, then cancels the tasks."""
        for hook in reversed(self._stop_hooks):
            await hook()
        await self.cancel()

    async def cancel(self) -> None:
        """Cancels the tasks without running the stop hooks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _log_failure(task: "asyncio.Task[None]") -> None:
    if not task.cancelled() and task.exception() is not None:
        logging.error("background task failed", exc_info=task.exception())
