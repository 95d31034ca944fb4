"""Retry budgets: a fleet-wide bound that needs no messages between nodes.

Attempts beyond the first of each request are bounded over all nodes by a
ratio of the requests plus a slack. Each node applies the ratio to its own
requests and takes an equal part of the slack, so that the sum stays within
the bound without any knowledge of the other nodes' requests.
"""

import collections
from collections.abc import Callable

from lycheegw.state import edge_settings
from lycheegw.state import node_state

__all__ = ["RetryBudgets"]

# Share of the bound that is used, as attempts that are sent at the end of a
# window may arrive in the next one.
_BOUND_SHARE = 0.85


class _SlidingWindow:
    """Counts events within a sliding window."""

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._times_s: collections.deque[float] = collections.deque()

    def add(self, now_s: float) -> None:
        """Adds an event."""
        self._times_s.append(now_s)

    def remove_latest(self) -> None:
        """Removes the latest event."""
        if self._times_s:
            self._times_s.pop()

    def count(self, now_s: float) -> int:
        """Returns the number of events within the window."""
        while self._times_s and self._times_s[0] < now_s - self._seconds:
            self._times_s.popleft()
        return len(self._times_s)


class RetryBudgets:
    """This node's budget of attempts beyond the first, by service."""

    def __init__(
        self,
        state: node_state.NodeState,
        bounds: Callable[[], edge_settings.ServiceLevels],
        members: Callable[[], int | None],
    ):
        """Creates the budgets.

        Args:
            state: State of this node.
            bounds: Returns the service levels.
            members: Returns the number of nodes that share the slack, None
                while this node has no part in it.
        """
        self._state = state
        self._bounds = bounds
        self._members = members
        self._requests_by_service: dict[str, _SlidingWindow] = {}
        self._extras_by_service: dict[str, _SlidingWindow] = {}

    def note_request(self, service: str) -> None:
        """Records a client's request."""
        self._window(self._requests_by_service, service).add(self._now_s())

    def allows_attempt(self, service: str) -> bool:
        """Returns whether the budget allows another attempt."""
        now_s = self._now_s()
        requests = self._window(self._requests_by_service, service).count(now_s)
        extras = self._window(self._extras_by_service, service).count(now_s)
        members = self._members()
        slack = self._bounds().retry_slack / members if members else 0.0
        allowed = self._bounds().retry_ratio * requests + slack
        return extras + 1 <= _BOUND_SHARE * allowed

    def note_extra_attempt(self, service: str) -> None:
        """Records an attempt beyond the first of its request."""
        self._window(self._extras_by_service, service).add(self._now_s())

    def refund_extra_attempt(self, service: str) -> None:
        """Refunds an attempt that reached no upstream."""
        self._window(self._extras_by_service, service).remove_latest()

    def _window(
        self, windows: dict[str, _SlidingWindow], service: str
    ) -> _SlidingWindow:
        # Longer than the window of the bound, as attempts arrive after they are
        # sent.
        return windows.setdefault(
            service, _SlidingWindow(self._bounds().retry_window_s)
        )

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
