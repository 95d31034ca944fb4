"""Limits the rate of a node's calls to the shared store.

Each node uses an equal share of the store's rate, computed from the number of
registered nodes, so that the nodes need not coordinate. In normal operation a
node makes less than one call a second; the limit takes effect when reads fail
and are retried, or when many nodes start at once.
"""

from collections.abc import Callable
import math

from lycheegw.state import node_state

__all__ = ["StoreRateLimiter"]

# Share of a rate for steady calls, and the share that may be used as a burst
# after a pause. The rest is reserved for nodes that are not registered yet.
_STEADY_RATE_SHARE = 0.5
_BURST_RATE_SHARE = 0.3


class StoreRateLimiter:
    """Limits this node's reads and writes to its share of the rates."""

    def __init__(
        self,
        state: node_state.NodeState,
        reads_per_s: float,
        writes_per_s: float,
        count_nodes: Callable[[], int],
    ):
        self._state = state
        self._rate_by_is_write = {False: reads_per_s, True: writes_per_s}
        self._count_nodes = count_nodes
        self._due_s_by_is_write = {False: -math.inf, True: -math.inf}

    async def wait(self, is_write: bool) -> float:
        """Waits until a call is allowed; returns the seconds waited."""
        node_rate_per_s = self._rate_by_is_write[is_write] / max(
            1, self._count_nodes()
        )
        if node_rate_per_s <= 0:
            return 0.0
        interval_s = 1.0 / (_STEADY_RATE_SHARE * node_rate_per_s)
        # At least one call: with less, a call after a pause would have to wait.
        burst = max(1.0, _BURST_RATE_SHARE * node_rate_per_s)
        now_s = self._state.environment.monotonic_s()
        due_s = max(
            self._due_s_by_is_write[is_write],
            now_s - (burst - 1.0) * interval_s,
        )
        self._due_s_by_is_write[is_write] = due_s + interval_s
        wait_s = max(0.0, due_s - now_s)
        if wait_s:
            self._state.counters.add("store.paced")
            await self._state.environment.sleep(wait_s)
        return wait_s
