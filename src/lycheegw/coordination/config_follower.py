"""Reads the configuration stream of the log and applies it to the catalog."""

from collections.abc import Awaitable
from collections.abc import Callable

from absl import logging

from lycheegw.coordination import catalog_updater
from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = ["CONFIGURATION_STREAM", "ConfigFollower"]

CONFIGURATION_STREAM = "configuration"

_PAGE_ENTRIES = 500
_POLL_TIMEOUT_S = 2.0
_RETRY_INTERVAL_S = 0.5
_MAX_HEALTHY_AGE_S = 3.0

LoadCheckpoint = Callable[[], Awaitable[bool]]


class ConfigFollower:
    """Reads the configuration stream from the catalog's offset onwards.

    A new node starts from the last checkpoint, and so does a node whose next
    entry has expired from the log.

    Attributes:
        has_gap: Whether the log no longer holds the next entry and no
            checkpoint was found that covers the gap.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        log: interfaces.LogClient,
        updater: catalog_updater.CatalogUpdater,
        load_checkpoint: LoadCheckpoint,
    ):
        self._state = state
        self._log = log
        self._updater = updater
        self._load_checkpoint = load_checkpoint
        self._read_at_s: float | None = None
        self._is_started = False
        self.has_gap = False

    @property
    def is_healthy(self) -> bool:
        """Whether the log was read recently, without a gap."""
        if self._read_at_s is None or self.has_gap:
            return False
        now_s = self._state.environment.monotonic_s()
        return now_s - self._read_at_s <= _MAX_HEALTHY_AGE_S

    async def run(self) -> None:
        """Reads the log until cancelled."""
        while True:
            try:
                await self.read_page(_POLL_TIMEOUT_S)
            except errors.LogUnavailableError as error:
                self._state.counters.add("log.read_failed")
                logging.warning(
                    "can't read the configuration from the log: %s", error
                )
                await self._wait_to_retry()

    async def read_page(self, wait_s: float) -> None:
        """Reads and applies one page; raises errors.LogUnavailableError."""
        if not self._is_started:
            await self._load_checkpoint()
            self._is_started = True
        start = self._state.catalog.offset + 1
        page = await self._log.read(
            CONFIGURATION_STREAM, start, _PAGE_ENTRIES, wait_s
        )
        # Peers may have sent entries while the log was read.
        if page.first > self._state.catalog.offset + 1:
            await self._recover_from_gap()
            return
        self._count_lost_entries(page)
        self.has_gap = False
        self._read_at_s = self._state.environment.monotonic_s()
        self._updater.apply_entries(page.entries)

    async def _recover_from_gap(self) -> None:
        """Restarts from a checkpoint; without one, peers may fill the gap."""
        self._state.counters.add("log.gap")
        self.has_gap = True
        if not await self._load_checkpoint():
            await self._wait_to_retry()

    def _count_lost_entries(self, page: interfaces.LogPage) -> None:
        """Counts a log that lost entries the catalog has already."""
        if page.next <= self._state.catalog.offset:
            self._state.counters.add("log.ends_early")

    async def _wait_to_retry(self) -> None:
        jitter = 0.5 + self._state.environment.random.random()
        await self._state.environment.sleep(_RETRY_INTERVAL_S * jitter)
