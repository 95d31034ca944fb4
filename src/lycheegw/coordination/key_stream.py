"""Group commit of key transitions to one stream of the log, with read-back.

A commit counts only once its entry and every entry before it have been read
back: only then does the fold show which claim of a key came first.
"""

import asyncio
from collections.abc import Sequence
import math

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination import key_messages
from lycheegw.coordination import key_table
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = ["APPEND_INTERVAL_S", "KeyStream"]

# 64 streams with one coordinator each: 160 appends per second in the fleet.
APPEND_INTERVAL_S = 0.4

_LOG_TIMEOUT_S = 1.0
_MAX_APPEND_ATTEMPTS = 2
_PAGE_ENTRIES = 50
_MAX_BATCH_TRANSITIONS = 1_000
_MAX_KEYS = 100_000


class _Submission:
    """Transitions that wait for the next batch."""

    def __init__(self, transitions: Sequence[key_messages.KeyTransition]):
        self.transitions = transitions
        self.replies: asyncio.Future[Sequence[key_messages.CommitReply]] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, replies: Sequence[key_messages.CommitReply]) -> None:
        """Sets the replies; only the first call counts."""
        if not self.replies.done():
            self.replies.set_result(replies)


class KeyStream:
    """One stream of the log: its key table and the batches written to it.

    A single task appends and reads; it ends when nothing is pending.

    Attributes:
        table: The fold over all entries read.
    """

    def __init__(
        self,
        name: str,
        state: node_state.NodeState,
        log: interfaces.LogClient,
        codec: key_messages.Codec,
    ):
        self.table = key_table.KeyTable()
        self._name = name
        self._state = state
        self._log = log
        self._codec = codec
        self._next_offset = 0
        # Log time of the newest entry that expired before it was read.
        self._newest_expired_s = -math.inf
        self._has_read = False
        self._pending: list[_Submission] = []
        self._expected_id = ""
        self._is_expected_read = False
        self._last_append_s = -APPEND_INTERVAL_S
        self._writer: asyncio.Task[None] | None = None

    async def submit(
        self, transitions: Sequence[key_messages.KeyTransition]
    ) -> Sequence[key_messages.CommitReply]:
        """Commits transitions; returns a reply for each, also without the log.

        Without transitions it only brings the table up to date.
        """
        if transitions and len(self.table) >= _MAX_KEYS:
            self._state.counters.add("keys.table_full")
            return _uncommitted_replies(transitions)
        submission = _Submission(transitions)
        self._pending.append(submission)
        if self.is_idle:
            self._writer = asyncio.create_task(self._write())
        return await submission.replies

    @property
    def is_idle(self) -> bool:
        """Whether nothing is pending or being written."""
        return self._writer is None or self._writer.done()

    async def stop(self) -> None:
        """Stops the writer task; pending transitions count as not logged."""
        if self._writer is not None:
            self._writer.cancel()
            await asyncio.gather(self._writer, return_exceptions=True)
        for submission in self._pending:
            submission.resolve(_uncommitted_replies(submission.transitions))
        self._pending.clear()

    async def _write(self) -> None:
        """Commits batch after batch until nothing is pending."""
        while self._pending:
            if any(submission.transitions for submission in self._pending):
                await self._wait_append_interval()
            batch = self._next_batch()
            try:
                await self._commit(batch)
            finally:
                for submission in batch:
                    submission.resolve(
                        _uncommitted_replies(submission.transitions)
                    )

    async def _wait_append_interval(self) -> None:
        """Spaces appends, so that submissions in between share the next one."""
        environment = self._state.environment
        due_s = self._last_append_s + APPEND_INTERVAL_S
        remaining_s = due_s - environment.monotonic_s()
        if remaining_s > 0:
            await environment.sleep(remaining_s)

    def _next_batch(self) -> list[_Submission]:
        """Removes and returns the submissions of one batch, at least one."""
        count = 0
        batch = []
        while self._pending and count < _MAX_BATCH_TRANSITIONS:
            submission = self._pending.pop(0)
            count += len(submission.transitions)
            batch.append(submission)
        return batch

    async def _commit(self, batch: Sequence[_Submission]) -> None:
        transitions = [
            transition
            for submission in batch
            for transition in submission.transitions
        ]
        if transitions:
            is_logged = await self._append(transitions)
            is_current = is_logged or await self._catch_up()
        else:
            is_logged = is_current = await self._catch_up()
        for submission in batch:
            submission.resolve(
                [
                    self._reply_to(transition, is_logged, is_current)
                    for transition in submission.transitions
                ]
            )

    def _reply_to(
        self,
        transition: key_messages.KeyTransition,
        is_logged: bool,
        is_current: bool,
    ) -> key_messages.CommitReply:
        """Returns the reply to a transition.

        A claim that seems free or won is refused if the log has lost entries
        that may hold an earlier claim of the key.
        """
        status = self.table.status(transition.key)
        is_claim = transition.kind is key_messages.TransitionKind.CLAIM
        is_won = status.claim == transition.claim
        is_free = status.state in key_messages.FREE_STATES
        if is_claim and (is_won or is_free) and not self._is_history_complete:
            self._state.counters.add("keys.history_short")
            return key_messages.CommitReply(
                False, False, key_messages.KeyStatus()
            )
        return key_messages.CommitReply(is_logged, is_current, status)

    async def _append(
        self, transitions: Sequence[key_messages.KeyTransition]
    ) -> bool:
        """Appends a batch; returns whether it was read back.

        If the append fails, the batch is looked for in the log and otherwise
        sent again under the same id. Of two copies only the first has effect.
        """
        environment = self._state.environment
        if not self._has_read and not await self._catch_up():
            return False
        entry = interfaces.NewEntry(
            environment.new_id(),
            self._codec.encode_entry(transitions, self.table.now_s),
        )
        self._expected_id = entry.entry_id
        self._is_expected_read = False
        for _ in range(_MAX_APPEND_ATTEMPTS):
            self._last_append_s = environment.monotonic_s()
            self._state.counters.add("keys.appends")
            try:
                async with asyncio.timeout(_LOG_TIMEOUT_S):
                    await self._log.append(self._name, [entry])
            except (errors.LogUnavailableError, TimeoutError):
                self._state.counters.add("keys.append_failed")
            await self._catch_up()
            if self._is_expected_read:
                return True
        return False

    async def _catch_up(self) -> bool:
        """Reads to the end of the stream; returns whether it was reached."""
        while True:
            try:
                async with asyncio.timeout(_LOG_TIMEOUT_S):
                    page = await self._log.read(
                        self._name, self._next_offset, _PAGE_ENTRIES, 0.0
                    )
            except (errors.LogUnavailableError, TimeoutError):
                self._state.counters.add("keys.read_failed")
                return False
            if page.first > self._next_offset and page.entries:
                self._record_expired(page.entries[0])
            for entry in page.entries:
                self._apply(entry)
            if self._next_offset >= page.next or not page.entries:
                self._has_read = True
                return True

    def _record_expired(self, oldest: interfaces.AppendedEntry) -> None:
        """Records the log time of the newest entry that expired unread."""
        try:
            expired_s = self._codec.decode_previous_s(oldest.data)
        except Exception:
            logging.exception(
                "stream %s: can't decode the previous log time at offset %d",
                self._name,
                oldest.offset,
            )
            expired_s = oldest.at_s
        self._newest_expired_s = max(self._newest_expired_s, expired_s)

    @property
    def _is_history_complete(self) -> bool:
        """Whether no expired entry can concern a key that is still valid."""
        return self.table.now_s - self._newest_expired_s > key_table.KEY_TTL_S

    def _apply(self, entry: interfaces.AppendedEntry) -> None:
        if entry.offset < self._next_offset:
            return
        self._next_offset = entry.offset + 1
        if entry.entry_id == self._expected_id:
            self._is_expected_read = True
        for transition in self._decode_entry(entry):
            self.table.apply(entry.offset, entry.at_s, transition)

    def _decode_entry(
        self, entry: interfaces.AppendedEntry
    ) -> Sequence[key_messages.KeyTransition]:
        """Returns an entry's transitions, none if it can't be decoded."""
        try:
            return self._codec.decode_entry(entry.data)
        except Exception:
            # Whatever the codec raises, later entries must still be read.
            logging.exception(
                "stream %s: can't decode the entry at offset %d",
                self._name,
                entry.offset,
            )
            self._state.counters.add("keys.undecodable")
            return ()

    async def stored_result(self, key: bytes) -> bytes:
        """Returns the stored answer of a completed key, empty if none."""
        offset = self.table.offset(key)
        try:
            async with asyncio.timeout(_LOG_TIMEOUT_S):
                page = await self._log.read(self._name, offset, 1, 0.0)
        except (errors.LogUnavailableError, TimeoutError):
            return b""
        for entry in page.entries:
            for transition in self._decode_entry(entry):
                if (
                    transition.key == key
                    and transition.kind is key_messages.TransitionKind.DONE
                ):
                    return transition.result
        return b""


def _uncommitted_replies(
    transitions: Sequence[key_messages.KeyTransition],
) -> Sequence[key_messages.CommitReply]:
    uncommitted = key_messages.CommitReply(
        False, False, key_messages.KeyStatus()
    )
    return [uncommitted for _ in transitions]
