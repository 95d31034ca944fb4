"""Replicates the platform's list of hosts among the nodes.

With a thousand hosts a read of the list is large. So in each interval only one
node of a zone reads it and sends the changes to the others.
"""

from collections.abc import Sequence
from typing import NamedTuple

from lycheegw.coordination import change_tracker
from lycheegw.state import upstreams

__all__ = ["HostChange", "HostList", "HostListUpdate"]

_MAX_HOSTS = 20_000
_MAX_CHANGES_PER_HEARTBEAT = 500
_KEEP_REMOVED_S = 600.0
# Timestamps further ahead of this node's clock are reduced to this.
_MAX_CLOCK_AHEAD_S = 1.0


class HostChange(NamedTuple):
    """A line of the list or its removal, with the wall second of the read."""

    entry: upstreams.HostEntry
    is_gone: bool
    seen_s: float


class HostListUpdate(NamedTuple):
    """A gossip message about the list.

    Attributes:
        read_s: Wall second of the newest read that the sender knows of.
        changes: Changes that the receiver may lack.
    """

    read_s: float
    changes: Sequence[HostChange]


class HostList:
    """A copy of the list; the newest read of each line counts.

    Attributes:
        read_s: Wall second of the newest read that this node knows of.
    """

    def __init__(self) -> None:
        self.read_s = 0.0
        self._changes: change_tracker.ChangeTracker[HostChange] = (
            change_tracker.ChangeTracker(_MAX_HOSTS)
        )
        self._sent_read_s_by_neighbour: dict[str, float] = {}

    def entries(self) -> list[upstreams.HostEntry]:
        """Returns the hosts that are on the list."""
        return [
            change.entry
            for change in self._changes.values()
            if not change.is_gone
        ]

    def apply_read(
        self, entries: Sequence[upstreams.HostEntry], read_s: float
    ) -> bool:
        """Applies a read of the whole list; returns whether it changed."""
        self.read_s = max(self.read_s, read_s)
        listed = {entry.host_id for entry in entries}
        read_changes = [HostChange(entry, False, read_s) for entry in entries]
        read_changes += [
            HostChange(change.entry, True, read_s)
            for change in self._changes.values()
            if change.entry.host_id not in listed
        ]
        is_changed = [
            self._store_if_newer(change, None) for change in read_changes
        ]
        self._drop_old_removals(read_s)
        return any(is_changed)

    def merge(self, source: str, update: HostListUpdate, now_s: float) -> bool:
        """Merges a neighbour's update; returns whether anything changed."""
        latest_s = now_s + _MAX_CLOCK_AHEAD_S
        self.read_s = max(self.read_s, min(update.read_s, latest_s))
        is_changed = [
            self._store_if_newer(
                change._replace(seen_s=min(change.seen_s, latest_s)), source
            )
            for change in update.changes
        ]
        return any(is_changed)

    def _store_if_newer(self, change: HostChange, source: str | None) -> bool:
        host_id = change.entry.host_id
        known = self._changes.get(host_id)
        if known is not None:
            is_older = change.seen_s < known.seen_s
            if is_older or change[:2] == known[:2]:
                return False
        self._changes.put(host_id, change, source)
        return True

    def _drop_old_removals(self, now_s: float) -> None:
        for change in self._changes.values():
            if change.is_gone and now_s - change.seen_s > _KEEP_REMOVED_S:
                self._changes.discard(change.entry.host_id)

    def update_for(self, neighbour: str) -> HostListUpdate | None:
        """Returns the update to send to a neighbour, None if nothing is new."""
        unsent = self._changes.take_unsent(
            neighbour, _MAX_CHANGES_PER_HEARTBEAT
        )
        sent_read_s = self._sent_read_s_by_neighbour.get(neighbour, 0.0)
        if not unsent and sent_read_s >= self.read_s:
            return None
        self._sent_read_s_by_neighbour[neighbour] = self.read_s
        return HostListUpdate(self.read_s, unsent)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._changes.forget_sent(neighbour)
        self._sent_read_s_by_neighbour.pop(neighbour, None)
