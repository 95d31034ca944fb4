"""Sessions that keep the old version during the canary phase of a roll-out.

The share of a canary is selected by a hash of the session. A session that the
hash selects but that has used the old version must not move before the ramp.
Each node therefore holds such sessions, and gossips a hash of each. New
canaries wait until the nodes have had time to learn of each other's holds.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from lycheegw.coordination import change_tracker
from lycheegw.state import recent_sessions

__all__ = ["HoldUpdate", "SessionHolds"]

# Holds of one service, and of one message.
_MAX_HOLDS = 20_000
_MAX_HOLDS_PER_UPDATE = 2_000


class HoldUpdate(NamedTuple):
    """Sessions held in a roll-out, as sent to a neighbour.

    Attributes:
        service: Service that is rolled out.
        order_offset: Offset of the roll-out order.
        session_hashes: 32-bit hashes of the sessions.
    """

    service: str
    order_offset: int
    session_hashes: tuple[int, ...]


class _RolloutHolds:
    """The sessions held in one roll-out.

    Attributes:
        order_offset: Offset of the order.
        is_open: Whether the canary phase lasts.
        holds: Hash of each session, by its text.
    """

    def __init__(self, order_offset: int):
        self.order_offset = order_offset
        self.is_open = True
        self.holds: change_tracker.ChangeTracker[int] = (
            change_tracker.ChangeTracker(_MAX_HOLDS)
        )


class SessionHolds:
    """Holds the sessions of each service that stay on the old version.

    Attributes:
        recent: Sessions used at this node recently.
    """

    def __init__(self) -> None:
        self.recent = recent_sessions.RecentSessions()
        self._holds_by_service: dict[str, _RolloutHolds] = {}

    def begin(
        self, service: str, order_offset: int, sessions: Iterable[str]
    ) -> None:
        """Begins a canary phase with holds of `sessions`."""
        holds = self._current(service, order_offset)
        if holds is not None:
            for session in sessions:
                _put(holds, _session_hash(session), None)

    def hold(self, service: str, order_offset: int, session: str) -> bool:
        """Holds a session; returns whether it wasn't held before."""
        holds = self._current(service, order_offset)
        return holds is not None and _put(holds, _session_hash(session), None)

    def is_held(self, service: str, order_offset: int, session: str) -> bool:
        """Returns whether a session keeps the old version."""
        holds = self._holds_by_service.get(service)
        return (
            holds is not None
            and holds.order_offset == order_offset
            and holds.holds.get(str(_session_hash(session))) is not None
        )

    def end(self, service: str, order_offset: int) -> None:
        """Ends a canary phase, which drops its holds."""
        holds = self._current(service, order_offset)
        if holds is not None:
            closed = _RolloutHolds(order_offset)
            closed.is_open = False
            self._holds_by_service[service] = closed

    def updates_for(self, neighbour: str) -> tuple[HoldUpdate, ...]:
        """Returns the holds not yet sent to a neighbour."""
        updates = []
        for service, holds in self._holds_by_service.items():
            hashes = holds.holds.take_unsent(neighbour, _MAX_HOLDS_PER_UPDATE)
            if hashes:
                updates.append(
                    HoldUpdate(service, holds.order_offset, tuple(hashes))
                )
        return tuple(updates)

    def merge(self, neighbour: str, update: HoldUpdate) -> bool:
        """Adds a neighbour's holds; returns whether any was new."""
        holds = self._current(update.service, update.order_offset)
        if holds is None:
            return False
        # All are put, so `any` must not stop at the first new one.
        are_new = [
            _put(holds, each, neighbour) for each in update.session_hashes
        ]
        return any(are_new)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        for holds in self._holds_by_service.values():
            holds.holds.forget_sent(neighbour)

    def _current(self, service: str, order_offset: int) -> _RolloutHolds | None:
        """Returns the holds of an order, None if it is over or an older one."""
        holds = self._holds_by_service.get(service)
        if holds is None or holds.order_offset < order_offset:
            holds = _RolloutHolds(order_offset)
            self._holds_by_service[service] = holds
        if holds.order_offset > order_offset or not holds.is_open:
            return None
        return holds


def _session_hash(session: str) -> int:
    return xxhash.xxh32_intdigest(session.encode())


def _put(holds: _RolloutHolds, session_hash: int, source: str | None) -> bool:
    """Holds a session; returns whether it wasn't held before."""
    key = str(session_hash)
    if holds.holds.get(key) is not None:
        return False
    holds.holds.put(key, session_hash, source)
    return True
