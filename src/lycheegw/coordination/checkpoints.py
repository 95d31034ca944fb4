"""Loads and appends checkpoints of the catalog, in a stream of the log.

The configuration in force has to outlive the log's retention. Any node may
append a checkpoint, and equal offsets hold equal content, so duplicates do no
harm. Each node waits according to its rank in a rendezvous hash, so usually
only one node appends, without an election.
"""

import base64
from collections.abc import Callable
from collections.abc import Sequence

from absl import logging

from lycheegw.coordination import catalog_updater
from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.state import catalog as catalogs
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = ["CHECKPOINT_STREAM", "Checkpoints"]

CHECKPOINT_STREAM = "configuration-checkpoints"

_CHECK_INTERVAL_S = 1.0
_RANK_DELAY_S = 2.0
_MAX_RANK = 8
_MAX_ENTRIES_TRIED = 3

LiveNodes = Callable[[], Sequence[str]]


class Checkpoints:
    """Loads the last checkpoint and appends a new one when it is due.

    Attributes:
        last_offset: Catalog offset of the last known checkpoint.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        log: interfaces.LogClient,
        updater: catalog_updater.CatalogUpdater,
        live_nodes: LiveNodes,
    ):
        self._state = state
        self._log = log
        self._updater = updater
        self._live_nodes = live_nodes
        self.last_offset = catalogs.NO_OFFSET
        self._last_at_s = state.environment.wall_s()

    async def load(self) -> bool:
        """Loads the last readable checkpoint; returns whether it was later.

        Raises:
            errors.LogUnavailableError: The log did not answer.
        """
        entries = await self._read_last(_MAX_ENTRIES_TRIED)
        for entry in sorted(entries, key=_offset_of, reverse=True):
            try:
                data = base64.b64decode(entry.data["snapshot"])
                return self._updater.install_snapshot(data)
            except (errors.RecordError, ValueError, KeyError, TypeError):
                self._state.counters.add("checkpoints.unreadable")
                logging.warning(
                    "can't decode the checkpoint at offset %d", entry.offset
                )
        return False

    async def run(self) -> None:
        """Appends a checkpoint whenever one is due, until cancelled."""
        while True:
            await self._state.environment.sleep(_CHECK_INTERVAL_S)
            if not self._is_due():
                continue
            try:
                await self._append_in_turn()
            except errors.LogUnavailableError:
                self._state.counters.add("checkpoints.failed")

    def _is_due(self) -> bool:
        """Returns whether enough entries or time passed since the last one."""
        catalog = self._state.catalog
        if catalog.is_empty or catalog.has_undecided:
            return False
        configured = self._state.limits
        age_s = self._state.environment.wall_s() - self._last_at_s
        return (
            catalog.offset - self.last_offset >= configured.checkpoint_entries
            or age_s >= configured.checkpoint_interval_s
        )

    async def _append_in_turn(self) -> None:
        """Waits for this node's turn; appends unless another node did so."""
        jitter = self._state.environment.random.random()
        await self._state.environment.sleep(
            (self._rank() + jitter) * _RANK_DELAY_S
        )
        await self._read_last(1)
        if self._is_due():
            await self.append()

    def _rank(self) -> int:
        """Returns this node's rank among the live nodes, by rendezvous hash."""
        own_id = self._state.identity.node_id
        members = {own_id, *self._live_nodes()}
        order = rendezvous.order(f"checkpoint/{self.last_offset}", members)
        return min(order.index(own_id), _MAX_RANK)

    async def append(self) -> None:
        """Appends a checkpoint; raises errors.LogUnavailableError."""
        offset, snapshot = self._updater.snapshot()
        data = {
            "offset": offset,
            "snapshot": base64.b64encode(snapshot).decode(),
        }
        entry = interfaces.NewEntry(f"checkpoint-{offset}", data)
        await self._log.append(CHECKPOINT_STREAM, [entry])
        self._state.counters.add("checkpoints.appended")
        self._record_checkpoint(offset, self._state.environment.wall_s())

    async def _read_last(
        self, count: int
    ) -> Sequence[interfaces.AppendedEntry]:
        """Reads the last checkpoints; raises errors.LogUnavailableError."""
        end = await self._log.read(CHECKPOINT_STREAM, 0, 1, 0.0)
        if end.next <= end.first:
            return ()
        start = max(end.first, end.next - count)
        page = await self._log.read(CHECKPOINT_STREAM, start, count, 0.0)
        for entry in page.entries:
            self._record_checkpoint(_offset_of(entry), entry.at_s)
        return page.entries

    def _record_checkpoint(self, offset: int, at_s: float) -> None:
        if offset >= self.last_offset:
            self.last_offset = offset
            self._last_at_s = max(self._last_at_s, at_s)


def _offset_of(entry: interfaces.AppendedEntry) -> int:
    """Returns the catalog offset of a checkpoint, NO_OFFSET if invalid."""
    offset = entry.data.get("offset")
    return offset if isinstance(offset, int) else catalogs.NO_OFFSET
