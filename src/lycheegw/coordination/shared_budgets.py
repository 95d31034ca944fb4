"""Budgets for further attempts that all nodes share without talking.

The bound over the fleet is a ratio of the requests and a slack. Each node
keeps the ratio by its own requests and takes its part of the slack, so that
the sum keeps the bound whatever the nodes see of each other.
"""

import collections
from collections.abc import Callable

from lycheegw.state import edge_settings
from lycheegw.state import node_state

__all__ = ["RetryBudgets"]

# Share of the bound that is used; what is sent at the edge of a window may
# arrive in the next one.
_USED_SHARE = 0.85


class _Window:
    """Times of events within a sliding window."""

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now_s: float) -> None:
        """Adds an event."""
        self._times.append(now_s)

    def remove_latest(self) -> None:
        """Drops the latest event."""
        if self._times:
            self._times.pop()

    def count(self, now_s: float) -> int:
        """Returns the events within the window."""
        while self._times and self._times[0] < now_s - self._seconds:
            self._times.popleft()
        return len(self._times)


class RetryBudgets:
    """Further attempts by service."""

    def __init__(
        self,
        state: node_state.NodeState,
        bounds: Callable[[], edge_settings.Bounds],
        members: Callable[[], int],
    ):
        self._state = state
        self._bounds = bounds
        self._members = members
        self._requests_by_service: dict[str, _Window] = {}
        self._extras_by_service: dict[str, _Window] = {}

    def note_request(self, service: str) -> None:
        """Counts a request of a caller."""
        self._window(self._requests_by_service, service).add(self._now_s())

    def has_room(self, service: str) -> bool:
        """Returns whether another attempt may be made."""
        now_s = self._now_s()
        requests = self._window(self._requests_by_service, service).count(now_s)
        extras = self._window(self._extras_by_service, service).count(now_s)
        slack = self._bounds().retry_slack / max(1, self._members())
        allowed = self._bounds().retry_ratio * requests + slack
        return extras + 1 <= _USED_SHARE * allowed

    def note_extra(self, service: str) -> None:
        """Counts an attempt beyond the first of its request."""
        self._window(self._extras_by_service, service).add(self._now_s())

    def refund_extra(self, service: str) -> None:
        """Takes back an attempt that reached no upstream."""
        self._window(self._extras_by_service, service).remove_latest()

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        # Longer than asked for, since attempts arrive after they are sent.
        return windows.setdefault(
            service, _Window(self._bounds().retry_window_s)
        )

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
