"""Named leases with fencing numbers, granted by the order of a log stream.

An entry acquires a lease if its log time is later than that of every earlier
entry for the same name plus that entry's term. Whether an earlier entry
itself acquired the lease doesn't matter, so a reader needs only the entries
of the last term. A holder renews its lease by further entries. It counts the
term by its own monotonic clock from before the append, so it stops before
another node can acquire the lease, even if the log's answer was late.
"""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = ["LEASE_STREAM", "Lease", "Leases"]

LEASE_STREAM = "leases"

# Largest relative difference in rate between the clocks of log and node.
_MAX_CLOCK_DRIFT = 0.1
_PAGE_ENTRIES = 500
_MAX_NAMES = 10_000
_NO_OFFSET = -1


class Lease(NamedTuple):
    """A lease that this node acquired.

    Attributes:
        name: Resource that it is for.
        fencing: Fencing number: the offset of the entry that acquired it.
        until_s: Time on this node's monotonic clock at which it lapses.
    """

    name: str
    fencing: int
    until_s: float


class _LeaseState(NamedTuple):
    """State of one lease after the entries read so far.

    Attributes:
        free_s: Log time after which the lease can be acquired.
        fencing: Offset of the last entry that acquired it.
        seen_s: Time on this node's monotonic clock of the last entry's read.
    """

    free_s: float
    fencing: int
    seen_s: float


class Leases:
    """Acquires and renews leases for one node."""

    def __init__(
        self,
        state: node_state.NodeState,
        log: interfaces.LogClient,
    ):
        self._state = state
        self._log = log
        self._term_s = state.limits.lease_term_s
        self._next_offset: int | None = None
        self._started_s = 0.0
        self._lease_state_by_name: dict[str, _LeaseState] = {}
        # Offset of this node's last entry, `_NO_OFFSET` until it is read.
        self._offset_by_entry_id: dict[str, int] = {}

    def is_held(self, lease: Lease) -> bool:
        """Returns whether a lease is still valid."""
        return self.remaining_s(lease) > 0

    def remaining_s(self, lease: Lease) -> float:
        """Returns how long a lease is still valid, 0 if it has lapsed."""
        return max(0.0, lease.until_s - self._now_s())

    def is_renewal_due(self, lease: Lease) -> bool:
        """Returns whether a lease should be renewed now."""
        return (
            self.remaining_s(lease) < self._term_s * (1 - _MAX_CLOCK_DRIFT) / 2
        )

    async def acquire(self, name: str, delay_s: float = 0.0) -> Lease | None:
        """Acquires a lease; returns None if another node has or may have it.

        It appends an entry only if none was seen for the term plus `delay_s`,
        since each failed attempt extends the time until the lease is free.

        Raises:
            errors.LogUnavailableError: The log did not answer.
        """
        await self._read()
        if not self._is_likely_free(name, delay_s):
            return None
        begin_s = self._now_s()
        offset = await self._append(name)
        if offset is None or offset != self._fencing(name):
            self._state.counters.add("leases.lost")
            return None
        self._state.counters.add("leases.taken")
        return Lease(name, offset, self._end_s(begin_s))

    async def renew(self, lease: Lease) -> Lease | None:
        """Renews a lease; returns it with a new term, None if it was lost.

        Raises:
            errors.LogUnavailableError: The log did not answer.
        """
        if not self.is_held(lease):
            return None
        begin_s = self._now_s()
        offset = await self._append(lease.name)
        # A renewal that reached the log after the old term acquires a new
        # lease, with another fencing number.
        if self._fencing(lease.name) != lease.fencing:
            self._state.counters.add("leases.lost")
            return None
        if offset is None:
            return lease
        return lease._replace(until_s=self._end_s(begin_s))

    def _fencing(self, name: str) -> int:
        lease_state = self._lease_state_by_name.get(name)
        return _NO_OFFSET if lease_state is None else lease_state.fencing

    def _end_s(self, begin_s: float) -> float:
        return begin_s + self._term_s * (1 - _MAX_CLOCK_DRIFT)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    def _is_likely_free(self, name: str, delay_s: float) -> bool:
        """Returns whether an attempt to acquire is likely to succeed."""
        lease_state = self._lease_state_by_name.get(name)
        seen_s = self._started_s if lease_state is None else lease_state.seen_s
        wait_s = self._term_s * (1 + _MAX_CLOCK_DRIFT) + delay_s
        return self._now_s() - seen_s >= wait_s

    async def _append(self, name: str) -> int | None:
        """Appends an entry and reads the log up to its end.

        Returns the entry's offset, None if it isn't in the log.
        """
        entry_id = self._state.environment.new_id()
        data = {
            "name": name,
            "holder": self._state.identity.node_id,
            "term_s": self._term_s,
        }
        try:
            await self._log.append(
                LEASE_STREAM, [interfaces.NewEntry(entry_id, data)]
            )
        except errors.LogUnavailableError as error:
            if not error.may_have_applied:
                raise
        self._offset_by_entry_id = {entry_id: _NO_OFFSET}
        await self._read()
        offset = self._offset_by_entry_id[entry_id]
        return None if offset == _NO_OFFSET else offset

    async def _read(self) -> None:
        """Reads to the end of the stream; raises LogUnavailableError."""
        if self._next_offset is None:
            await self._seek_near_end()
        while True:
            page = await self._log.read(
                LEASE_STREAM, self._next_offset or 0, _PAGE_ENTRIES, 0.0
            )
            for entry in page.entries:
                self._apply(entry)
            self._next_offset = max(self._next_offset or 0, page.first)
            if page.entries:
                self._next_offset = page.entries[-1].offset + 1
            if self._next_offset >= page.next:
                return

    async def _seek_near_end(self) -> None:
        """Starts near the end: entries older than a term don't matter."""
        page = await self._log.read(LEASE_STREAM, 0, 1, 0.0)
        self._next_offset = max(page.first, page.next - _PAGE_ENTRIES)
        self._started_s = self._now_s()

    def _apply(self, entry: interfaces.AppendedEntry) -> None:
        """Applies an entry, which may acquire or extend a lease."""
        name = entry.data.get("name")
        term_s = _term_of(entry.data)
        if not isinstance(name, str) or term_s is None:
            return
        previous = self._lease_state_by_name.get(name)
        free_s, fencing = entry.at_s + term_s, entry.offset
        if previous is not None:
            free_s = max(free_s, previous.free_s)
            if entry.at_s <= previous.free_s:
                fencing = previous.fencing
        if len(self._lease_state_by_name) < _MAX_NAMES or previous is not None:
            lease_state = _LeaseState(free_s, fencing, self._now_s())
            self._lease_state_by_name[name] = lease_state
        if entry.entry_id in self._offset_by_entry_id:
            self._offset_by_entry_id[entry.entry_id] = entry.offset


def _term_of(data: Mapping[str, Any]) -> float | None:
    term_s = data.get("term_s")
    is_number = isinstance(term_s, int | float) and not isinstance(term_s, bool)
    return float(term_s) if is_number and term_s and term_s > 0 else None
