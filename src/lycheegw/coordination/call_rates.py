"""Keeps the store calls of all nodes together within the store's rates.

Each node takes its part of the rate, by the nodes that are registered, so that
no message is needed. In normal service a node makes a fraction of a call a
second; the bound counts where reads fail and are tried again, or where many
nodes start at once.
"""

from collections.abc import Callable
import math

from lycheegw.state import node_state

__all__ = ["CallRates"]

# Part of a rate that is handed out as steady calls, and the part that nodes
# may use at once after a pause. The rest is for nodes that are not registered
# yet.
_STEADY_SHARE = 0.5
_BURST_SHARE = 0.3


class CallRates:
    """This node's part of the rates, for reads and for writes."""

    def __init__(
        self,
        state: node_state.NodeState,
        reads_per_s: float,
        writes_per_s: float,
        members: Callable[[], int],
    ):
        self._state = state
        self._rate_by_is_write = {False: reads_per_s, True: writes_per_s}
        self._members = members
        self._due_s_by_is_write = {False: -math.inf, True: -math.inf}

    async def wait(self, is_write: bool) -> float:
        """Waits until a call may go out; returns for how many seconds."""
        part = self._rate_by_is_write[is_write] / max(1, self._members())
        if part <= 0:
            return 0.0
        step_s = 1.0 / (_STEADY_SHARE * part)
        # One call at least, or a node that rests for a while could make none.
        burst = max(1.0, _BURST_SHARE * part)
        now_s = self._state.environment.monotonic_s()
        due_s = max(
            self._due_s_by_is_write[is_write], now_s - (burst - 1.0) * step_s
        )
        self._due_s_by_is_write[is_write] = due_s + step_s
        wait_s = max(0.0, due_s - now_s)
        if wait_s:
            self._state.counters.add("store.paced")
            await self._state.environment.sleep(wait_s)
        return wait_s
