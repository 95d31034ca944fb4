"""Billing: one record per request that was answered completely.

A bill is held by this node and by a replica holder, another node, before the
end of the answer is sent; this node then writes it to the log in a batch.
Duplicates do no harm: of the records with one bill id the first in the log
counts.
"""

import asyncio
from collections.abc import Sequence
import contextlib

from lycheegw.coordination import bill_buffer
from lycheegw.coordination import bill_messages
from lycheegw.coordination import bill_replicas
from lycheegw.coordination import interfaces
from lycheegw.coordination import unresponsive_peers
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = ["FLUSH_S", "MAX_ROWS", "Billing"]

# Enough for one hour without the log at 27 requests per second.
MAX_ROWS = 97_200

# 370 nodes then make 74 appends per second.
FLUSH_S = 5.0
_FLUSH_JITTER_S = 0.5
_ROWS_PER_ENTRY = 500
_ROWS_PER_MESSAGE = 500
_REPLICATION_TIMEOUT_S = 1.0
_HOLDER_TIMEOUT_S = 0.3
_MAX_HOLDERS_TRIED = 2
_STOP_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 30.0


class Billing:
    """Holds and replicates this node's bills until the log has them."""

    def __init__(
        self,
        state: node_state.NodeState,
        log: interfaces.LogClient,
        peers: interfaces.PeerBus,
        codec: bill_messages.Codec,
        max_rows: int = MAX_ROWS,
    ):
        self._state = state
        self._log = log
        self._peers = peers
        self._codec = codec
        self._max_rows = max_rows
        new_id = state.environment.new_id()
        self._run_id = f"{state.identity.node_id}-{new_id}"
        self._buffer = bill_buffer.BillBuffer()
        self._unresponsive = unresponsive_peers.UnresponsivePeers()
        self._holder_id: str | None = None
        self._replicated_seq = 0
        self._replication_task: asyncio.Task[bool] | None = None
        self._flush_task: asyncio.Task[bool] | None = None

    @property
    def unlogged_count(self) -> int:
        """Number of bills that the log does not hold yet."""
        return len(self._buffer)

    def check_capacity(self) -> None:
        """Refuses a request whose bill could not be held.

        Raises:
            errors.RefusalError: BILLING_FULL, not run.
        """
        if len(self._buffer) >= self._max_rows:
            raise errors.RefusalError(
                reasons.RefusalReason.BILLING_FULL,
                "too many bills wait to be written to the log",
                verdicts.RunVerdict.NOT_RUN,
                retry_after_s=_RETRY_AFTER_S,
            )

    async def add(self, bill: bill_messages.Bill) -> None:
        """Adds a bill; returns once a second node or the log has it.

        The end of the answer is held back meanwhile, so the wait is bounded.
        If there is no second copy by then, later flushes go on trying.
        """
        seq = self._buffer.add(bill.row())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REPLICATION_TIMEOUT_S):
                if await self._wait_replicated(seq):
                    return
        self._state.counters.add("billing.single_copy")

    async def _wait_replicated(self, seq: int) -> bool:
        """Waits for a second copy of a row; returns whether one was made."""
        while not self._is_replicated(seq):
            if (
                self._replication_task is not None
                and not self._replication_task.done()
            ):
                # It may have read the buffer before this row was added.
                await asyncio.shield(self._replication_task)
                continue
            self._replication_task = asyncio.create_task(self._replicate_rows())
            if not await asyncio.shield(self._replication_task):
                return False
        return True

    def _is_replicated(self, seq: int) -> bool:
        return seq < max(self._replicated_seq, self._buffer.first_seq)

    async def _replicate_rows(self) -> bool:
        """Sends rows to a replica holder, else to the log; returns success."""
        for _ in range(_MAX_HOLDERS_TRIED):
            holder_id = self._choose_holder()
            if holder_id is None:
                break
            if await self._send_rows(holder_id):
                return True
        return await self.flush()

    def _choose_holder(self) -> str | None:
        """Returns the replica holder, a new one if the last did not respond."""
        own = self._state.identity
        now_s = self._state.environment.monotonic_s()
        candidates = bill_replicas.rank_holders(self._run_id, self._peers, own)
        responsive = self._unresponsive.responsive(candidates, now_s)
        holder_id = responsive[0] if responsive else None
        if self._holder_id in responsive:
            holder_id = self._holder_id
        if holder_id != self._holder_id:
            self._holder_id = holder_id
            self._replicated_seq = self._buffer.first_seq
        return holder_id

    async def _send_rows(self, holder_id: str) -> bool:
        """Sends rows to a replica holder; returns whether it has them all."""
        while True:
            first_seq = max(self._replicated_seq, self._buffer.first_seq)
            rows = self._buffer.rows(first_seq, _ROWS_PER_MESSAGE)
            reply = await self._send_request(holder_id, first_seq, rows)
            if reply is None or not reply.is_kept:
                self._drop_holder(holder_id)
                return False
            self._replicated_seq = reply.next_seq
            if self._replicated_seq >= self._buffer.next_seq:
                return True

    def _drop_holder(self, holder_id: str) -> None:
        now_s = self._state.environment.monotonic_s()
        self._unresponsive.record_failure(holder_id, now_s)
        self._state.counters.add("billing.guard_failed")
        self._holder_id = None
        self._replicated_seq = self._buffer.first_seq

    async def _send_request(
        self, holder_id: str, first_seq: int, rows: Sequence[bytes]
    ) -> bill_messages.ReplicateReply | None:
        """Returns a replica holder's reply, None if it did not reply."""
        request = bill_messages.ReplicateRequest(
            self._run_id, self._buffer.first_seq, first_seq, rows
        )
        return await bill_replicas.replicate(
            self._peers, self._codec, holder_id, request, _HOLDER_TIMEOUT_S
        )

    async def run(self) -> None:
        """Flushes bills to the log until cancelled."""
        environment = self._state.environment
        while True:
            jitter_s = _FLUSH_JITTER_S * environment.random.random()
            await environment.sleep(FLUSH_S + jitter_s)
            await self.heartbeat()

    async def heartbeat(self) -> None:
        """Flushes bills, then sends the replica holder a heartbeat."""
        had_rows = self.unlogged_count > 0
        await self.flush()
        if had_rows:
            await self._send_heartbeat()

    async def _send_heartbeat(self) -> None:
        """Sends the replica holder the number of the first unlogged bill."""
        holder_id = self._choose_holder()
        if holder_id is not None:
            await self._send_rows(holder_id)

    async def flush(self) -> bool:
        """Appends all bills; returns whether the log has them."""
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._append_rows())
        return await asyncio.shield(self._flush_task)

    async def _append_rows(self) -> bool:
        while self.unlogged_count:
            first_seq = self._buffer.first_seq
            rows = self._buffer.rows(first_seq, _ROWS_PER_ENTRY)
            entry = bill_messages.build_entry(self._run_id, first_seq, rows)
            if not await bill_replicas.append_entry(
                self._state, self._log, entry
            ):
                return False
            self._buffer.drop(first_seq + len(rows))
        return True

    async def stop(self) -> None:
        """Writes all bills to the log, else copies them to a second node.

        Stops trying after `_STOP_TIMEOUT_S`.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                if not await self.flush():
                    await self._copy_to_other_node()

    def cancel(self) -> None:
        """Cancels the running replication and flush."""
        for task in (self._replication_task, self._flush_task):
            if task is not None:
                task.cancel()

    async def _copy_to_other_node(self) -> None:
        holders = bill_replicas.rank_holders(
            self._run_id, self._peers, self._state.identity
        )
        await bill_replicas.copy_rows(
            self._peers,
            self._codec,
            self._run_id,
            self._buffer,
            [node_id for node_id in holders if node_id != self._holder_id],
        )
