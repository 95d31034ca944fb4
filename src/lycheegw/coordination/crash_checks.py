"""Finds out whether an upstream crashed after a connection to it broke."""

import asyncio
from collections.abc import Callable
import enum

from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import upstreams

__all__ = ["CrashChecker", "Finding"]

_UNREACHABLE_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.SEND_FAILED,
    }
)
_PROBE_TIMEOUT_S = 0.5
_START_TIME_TOLERANCE_S = 0.2
_MAX_ZONE_PROBES = 3
_MIN_ZONE_PROBES = 2


class Finding(enum.Enum):
    """What became of an upstream."""

    CRASHED = "crashed"
    NOT_CRASHED = "not_crashed"
    ZONE_DOWN = "zone_down"


class CrashChecker:
    """Probes upstreams; checks of one process at the same time are shared."""

    def __init__(
        self,
        state: node_state.NodeState,
        client: interfaces.ReportClient,
        crashed_upstreams: Callable[[], set[str]],
    ):
        """Creates a checker.

        Args:
            state: State of this node.
            client: Sends the probes.
            crashed_upstreams: Returns the ids of upstreams that are known to
                have crashed and not to have restarted.
        """
        self._state = state
        self._client = client
        self._crashed_upstreams = crashed_upstreams
        self._task_by_process: dict[
            tuple[str, float], asyncio.Task[Finding]
        ] = {}

    async def check(
        self, upstream: upstreams.Upstream, started_at_s: float
    ) -> Finding:
        """Returns what became of an upstream that had started at a time."""
        process = (upstream.entry.host_id, started_at_s)
        task = self._task_by_process.get(process)
        if task is None:
            task = asyncio.get_running_loop().create_task(
                self._check(upstream, started_at_s)
            )
            self._task_by_process[process] = task
            task.add_done_callback(
                lambda _: self._task_by_process.pop(process, None)
            )
        return await asyncio.shield(task)

    async def _check(
        self, upstream: upstreams.Upstream, started_at_s: float
    ) -> Finding:
        finding = Finding.NOT_CRASHED
        if await self._has_crashed(upstream, started_at_s):
            finding = Finding.CRASHED
            if await self._is_zone_down(upstream):
                finding = Finding.ZONE_DOWN
        self._state.counters.add(f"suspects.found.{finding.value}")
        return finding

    async def _has_crashed(
        self, upstream: upstreams.Upstream, started_at_s: float
    ) -> bool:
        """Returns whether an upstream is unreachable or has restarted.

        One that accepts connections but does not respond is hung or cut off,
        which says nothing about the requests that it ran.
        """
        try:
            report = await self._client.report(upstream.entry, _PROBE_TIMEOUT_S)
        except errors.UpstreamError as error:
            return error.reason in _UNREACHABLE_REASONS
        if not started_at_s:
            return False
        return abs(report.started_at_s - started_at_s) > _START_TIME_TOLERANCE_S

    async def _is_zone_down(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether other upstreams of the zone are unreachable, too.

        No single request takes down a zone; those that ran there aren't blamed.
        Upstreams that crashed before, one by one, don't count.
        """
        crashed = self._crashed_upstreams()
        others = [
            other
            for other in self._state.upstreams.by_id.values()
            if other.entry.zone == upstream.entry.zone
            and other is not upstream
            and other.entry.host_id not in crashed
        ]
        count = min(_MAX_ZONE_PROBES, len(others))
        probed = self._state.environment.random.sample(others, count)
        unreachable = await asyncio.gather(
            *(self._is_unreachable(each) for each in probed)
        )
        return len(unreachable) >= _MIN_ZONE_PROBES and all(unreachable)

    async def _is_unreachable(self, upstream: upstreams.Upstream) -> bool:
        try:
            await self._client.report(upstream.entry, _PROBE_TIMEOUT_S)
        except errors.UpstreamError:
            return True
        return False
