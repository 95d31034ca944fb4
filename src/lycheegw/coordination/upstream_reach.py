"""Finds out whether this node is cut off from all upstreams.

Upstreams of several zones that all can't be connected to are the sign; peers,
clients and the store may still be within reach.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["UpstreamReach"]

# Upstreams that a check connects to. All of them being down for other reasons
# is unlikely, and a wrong finding only costs a detour.
_CHECKED_UPSTREAMS = 4
# Upstreams that a node that is cut off connects to, to notice the end of it.
_CHECKED_WHILE_CUT_OFF = 2
# Least number of upstreams by which a node can tell. As many have to be out of
# reach, with no response in between, before a check is made.
_MIN_UPSTREAMS = 2

# Connects to an upstream; raises errors.UpstreamError.
Connect = Callable[[upstreams.Upstream], Awaitable[None]]


class UpstreamReach:
    """Checks the way to the upstreams after failures, and until it is back.

    Attributes:
        is_cut_off: Whether no upstream was within reach of the last check.
        on_change: Called with `is_cut_off` after it has changed.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        connect: Connect,
        crashed_upstreams: Callable[[], set[str]],
        note: Callable[..., None],
    ):
        """Creates a checker that assumes that upstreams are within reach.

        Args:
            state: State of this node.
            connect: Connects to an upstream.
            crashed_upstreams: Returns the ids of upstreams that are known to
                have crashed, which say nothing about the way to them.
            note: Writes a line to the event log.
        """
        self.is_cut_off = False
        self.on_change: Callable[[bool], None] = lambda _: None
        self._state = state
        self._connect = connect
        self._crashed_upstreams = crashed_upstreams
        self._note = note
        self._unreached: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def note_answer(self) -> None:
        """Records a response of an upstream."""
        self._unreached.clear()

    def note_unreached(self, upstream: upstreams.Upstream) -> None:
        """Records that an upstream could not be reached."""
        self._unreached.add(upstream.entry.host_id)
        if len(self._unreached) >= _MIN_UPSTREAMS:
            self._check_soon()

    def _check_soon(self) -> None:
        """Begins a check unless one is under way."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._check())
            self._task.add_done_callback(self._end_check)

    def _end_check(self, task: "asyncio.Task[None]") -> None:
        del task
        self._task = None

    async def check(self, unreached: int) -> bool:
        """Returns whether this node is cut off now.

        Args:
            unreached: Upstreams that could not be reached for one request.
        """
        if max(unreached, len(self._unreached)) >= _MIN_UPSTREAMS:
            self._check_soon()
        if self._task is not None:
            await asyncio.shield(self._task)
        return self.is_cut_off

    def tick(self) -> None:
        """Looks whether the way is back; called at a regular interval."""
        if self.is_cut_off:
            self._check_soon()

    async def _check(self) -> None:
        count, needed = _CHECKED_UPSTREAMS, _MIN_UPSTREAMS
        if self.is_cut_off:
            count, needed = _CHECKED_WHILE_CUT_OFF, 1
        checked = self._sample(count)
        if len(checked) < needed:
            self._set_cut_off(False, checked)
            return
        reached = await asyncio.gather(*map(self._is_reached, checked))
        self._set_cut_off(not any(reached), checked)

    def _sample(self, count: int) -> list[upstreams.Upstream]:
        """Returns random upstreams, of as many zones as there are."""
        crashed = self._crashed_upstreams()
        by_zone: dict[str, list[upstreams.Upstream]] = {}
        for upstream in self._state.upstreams.by_id.values():
            is_gone = upstream.entry.is_leaving or not upstream.is_listed
            if not is_gone and upstream.entry.host_id not in crashed:
                by_zone.setdefault(upstream.entry.zone, []).append(upstream)
        generator = self._state.environment.random
        zones = list(by_zone.values())
        generator.shuffle(zones)
        for zone in zones:
            generator.shuffle(zone)
        in_turn = [
            zone[index]
            for index in range(count)
            for zone in zones
            if index < len(zone)
        ]
        return in_turn[:count]

    async def _is_reached(self, upstream: upstreams.Upstream) -> bool:
        try:
            await self._connect(upstream)
        except errors.UpstreamError:
            return False
        return True

    def _set_cut_off(
        self, is_cut_off: bool, checked: Sequence[upstreams.Upstream]
    ) -> None:
        if is_cut_off == self.is_cut_off:
            return
        self.is_cut_off = is_cut_off
        self._unreached.clear()
        if not is_cut_off:
            for upstream in self._state.upstreams.by_id.values():
                upstream.forget_failures()
        name = "upstreams.cut_off" if is_cut_off else "upstreams.regained"
        self._state.counters.add(name)
        self._note(
            "upstreams_unreachable" if is_cut_off else "upstreams_reachable",
            checked=[upstream.entry.host_id for upstream in checked],
        )
        self.on_change(is_cut_off)
