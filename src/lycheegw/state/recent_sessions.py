"""Sessions with requests in progress or recently ended, by service."""

import collections
from typing import NamedTuple

__all__ = ["RecentSessions"]

# Sessions that are remembered; those that were used longest ago are dropped.
_MAX_SESSIONS = 20_000


class _Key(NamedTuple):
    service: str
    session: str


class _Use(NamedTuple):
    """The latest use of a session.

    Attributes:
        version: Version that got the latest request.
        running: Requests in progress.
        used_s: Monotonic time at which a request last began or ended.
    """

    version: str
    running: int
    used_s: float


class RecentSessions:
    """The version that each recently used session was sent to."""

    def __init__(self) -> None:
        # Ordered by `used_s`.
        self._use_by_key: collections.OrderedDict[_Key, _Use] = (
            collections.OrderedDict()
        )

    def note_sent(
        self, service: str, session: str, version: str, now_s: float
    ) -> None:
        """Records a request that was sent."""
        key = _Key(service, session)
        use = self._use_by_key.get(key)
        running = use.running if use is not None else 0
        self._put(key, _Use(version, running + 1, now_s))
        if len(self._use_by_key) > _MAX_SESSIONS:
            self._use_by_key.popitem(last=False)

    def note_ended(self, service: str, session: str, now_s: float) -> None:
        """Records that a request has ended."""
        key = _Key(service, session)
        use = self._use_by_key.get(key)
        if use is not None:
            running = max(0, use.running - 1)
            self._put(key, use._replace(running=running, used_s=now_s))

    def prune(self, before_s: float) -> None:
        """Drops the sessions without a request in progress or since a time."""
        while self._use_by_key:
            key, use = next(iter(self._use_by_key.items()))
            if use.used_s >= before_s:
                return
            if use.running:
                self._put(key, use._replace(used_s=before_s))
            else:
                del self._use_by_key[key]

    def on_other_versions(self, service: str, version: str) -> list[str]:
        """Returns the sessions of a service that use another version."""
        return [
            key.session
            for key, use in self._use_by_key.items()
            if key.service == service and use.version != version
        ]

    def _put(self, key: _Key, use: _Use) -> None:
        self._use_by_key[key] = use
        self._use_by_key.move_to_end(key)
