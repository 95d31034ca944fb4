"""Isolates and blocks requests that crash the upstreams that run them.

A request becomes a suspect if an upstream crashes while it runs; all nodes
learn of the crash before the request is sent again. A suspect runs alone: the
grantor of its pool lets one suspect at a time run on an upstream, so that a
second crash can be attributed to it. After two crashes the request is blocked
until they expire.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import crash_table
from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.coordination import suspect_leases
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import upstreams

__all__ = ["Codec", "Suspects"]

_UPDATE_TOPIC = "suspects.news"
_RUN_LEASE_TOPIC = "suspects.care"
_CRASH_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.SEND_FAILED,
        reasons.RetryReason.TRUNCATED,
    }
)
_UNREACHABLE_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.SEND_FAILED,
    }
)
# Findings of a check of an upstream, for log and counters.
_CRASHED = "crashed"
_NOT_CRASHED = "not_crashed"
_ZONE_DOWN = "zone_down"
_PROBE_TIMEOUT_S = 0.5
_UPDATE_TIMEOUT_S = 0.5
_RUN_LEASE_TIMEOUT_S = 0.5
_RUN_LEASE_RETRY_S = 0.05
_MAX_RUN_LEASE_FAILURES = 3
_RETRY_AFTER_S = 1.0
_START_TIME_TOLERANCE_S = 0.2
_MAX_ZONE_PROBES = 3
_MIN_ZONE_PROBES = 2
_GOSSIP_TTL_S = 30.0
_MAX_GOSSIPED_UPDATES = 64

Choose = Callable[[], Awaitable[upstreams.Upstream]]
HasFree = Callable[[upstreams.Upstream], bool]


class Codec(NamedTuple):
    """Encodes and decodes the messages about suspects."""

    encode_update: Callable[[crash_table.SuspectUpdate], bytes]
    decode_update: Callable[[bytes], crash_table.SuspectUpdate]
    encode_request: Callable[[crash_table.RunRequest], bytes]
    decode_request: Callable[[bytes], crash_table.RunRequest]
    encode_grant: Callable[[bool], bytes]
    decode_grant: Callable[[bytes], bool]


class _ReceivedUpdate(NamedTuple):
    """An update to gossip for a while, and when it was received."""

    received_s: float
    update: crash_table.SuspectUpdate


class Suspects:
    """Tracks suspects, runs them alone and refuses blocked requests."""

    def __init__(
        self,
        state: node_state.NodeState,
        client: interfaces.ReportClient,
        peers: interfaces.PeerBus,
        codec: Codec,
        note: Callable[..., None],
    ):
        """Creates an empty table of suspects.

        Args:
            state: State of this node.
            client: Probes upstreams that seem to have crashed.
            peers: Links to the other nodes.
            codec: Codec of the messages about suspects.
            note: Writes a line to the event log.
        """
        self._state = state
        self._client = client
        self._peers = peers
        self._codec = codec
        self._note = note
        self._crash_table = crash_table.CrashTable(state.environment)
        self._run_leases = suspect_leases.SuspectLeases(state.environment)
        self._recent_updates: list[_ReceivedUpdate] = []
        self._tasks: set[asyncio.Task[None]] = set()
        peers.on_call(_UPDATE_TOPIC, self._handle_update)
        peers.on_call(_RUN_LEASE_TOPIC, self._handle_run_request)
        peers.on_delta(_UPDATE_TOPIC, self._gossip, self._merge_gossip)

    def refuse_blocked(self, request: requests.Request) -> None:
        """Raises errors.RefusalError (POISON) if a request is blocked."""
        left_s = self._crash_table.blocked_s(request.fingerprint)
        if left_s > 0:
            raise errors.RefusalError(
                reasons.RefusalReason.POISON,
                "upstreams crashed while they ran this request",
                retry_after_s=left_s,
            )

    def is_suspect(self, request: requests.Request) -> bool:
        """Returns whether an upstream crashed while it ran a request."""
        return self._crash_table.count(request.fingerprint) > 0

    def crashes_by_fingerprint(self) -> dict[str, int]:
        """Returns the number of unexpired crashes of each suspect."""
        return self._crash_table.counts_by_fingerprint()

    def crashed_upstreams(self) -> set[str]:
        """Returns the ids of crashed upstreams that have not restarted."""
        return {
            upstream_id
            for upstream_id, started_at_s in self._crash_table.recent_crashes()
            if self._has_not_restarted(upstream_id, started_at_s)
        }

    def _has_not_restarted(self, upstream_id: str, started_at_s: int) -> bool:
        upstream = self._state.upstreams.by_id.get(upstream_id)
        if upstream is None or upstream.report is None:
            return True
        return round(upstream.report.started_at_s) == started_at_s

    async def choose(
        self, request: requests.Request, choose: Choose, has_free: HasFree
    ) -> upstreams.Upstream:
        """Returns an upstream, for a suspect once it may run there alone.

        Args:
            request: The request to send.
            choose: Returns an upstream with a free slot.
            has_free: Returns whether it still has one when the run is granted.

        Raises:
            errors.RefusalError: The request is blocked, or the grantor is
                unreachable.
        """
        failures = 0
        while True:
            upstream = await choose()
            if not self.is_suspect(request):
                return upstream
            try:
                if await self._request_run(request, upstream, False):
                    if has_free(upstream):
                        self._state.counters.add("suspects.run_alone")
                        return upstream
                    self.release(request, upstream)
            except asyncio.CancelledError:
                # The grantor may have granted the run.
                self.release(request, upstream)
                raise
            except errors.PeerUnavailableError as error:
                failures += 1
                if failures >= _MAX_RUN_LEASE_FAILURES:
                    raise errors.RefusalError(
                        reasons.RefusalReason.NO_UPSTREAM,
                        f"grantor of suspect runs unavailable: {error}",
                        retry_after_s=_RETRY_AFTER_S,
                    ) from error
            jitter = 0.5 + self._state.environment.random.random()
            await self._state.environment.sleep(_RUN_LEASE_RETRY_S * jitter)
            self.refuse_blocked(request)

    async def _request_run(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        is_release: bool,
    ) -> bool:
        """Requests or releases a run; returns whether it is granted."""
        now_s = self._state.environment.monotonic_s()
        run_request = crash_table.RunRequest(
            request.fingerprint,
            upstream.entry.host_id,
            is_release,
            max(0.0, request.deadline_s - now_s),
        )
        ranking = rendezvous.order(
            f"suspects-{upstream.entry.pool}", self._peers.live_nodes()
        )
        reply = await self._peers.call(
            ranking[0],
            _RUN_LEASE_TOPIC,
            self._codec.encode_request(run_request),
            _RUN_LEASE_TIMEOUT_S,
        )
        return self._codec.decode_grant(reply)

    async def _handle_run_request(self, sender: str, payload: bytes) -> bytes:
        """Handles a request to run a suspect, or the end of its run."""
        run_request = self._codec.decode_request(payload)
        if run_request.is_release:
            self._run_leases.release(sender, run_request)
            return self._codec.encode_grant(False)
        is_blocked = self._crash_table.blocked_s(run_request.fingerprint) > 0
        live = set(self._peers.live_nodes())
        return self._codec.encode_grant(
            not is_blocked and self._run_leases.grant(sender, run_request, live)
        )

    def release(
        self, request: requests.Request, upstream: upstreams.Upstream
    ) -> None:
        """Releases the run of a suspect in the background."""
        if self.is_suspect(request):
            self._spawn(self._release(request, upstream))

    async def _release(
        self, request: requests.Request, upstream: upstreams.Upstream
    ) -> None:
        try:
            await self._request_run(request, upstream, True)
        except errors.PeerUnavailableError:
            # The lease expires after the deadline of the request.
            self._state.counters.add("suspects.release_failed")

    async def note_failure(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        error: errors.UpstreamError,
        started_at_s: float,
        attempt_start_s: float,
    ) -> None:
        """Records a crash if the upstream crashed, and informs all nodes.

        The work goes on if the calling task is cancelled.
        """
        crashed_s = self._crash_table.crashed_at_s(
            upstream.entry.host_id, started_at_s
        )
        had_crashed = crashed_s is not None and crashed_s < attempt_start_s
        if had_crashed or error.reason not in _CRASH_REASONS:
            self.release(request, upstream)
            return
        await asyncio.shield(
            self._spawn(self._investigate(request, upstream, started_at_s))
        )

    async def _investigate(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        started_at_s: float,
    ) -> None:
        finding = await self._find_cause(upstream, started_at_s)
        self._state.counters.add(f"suspects.found.{finding}")
        self._note(
            "upstream_checked",
            request_id=request.request_id,
            upstream=upstream.entry.host_id,
            finding=finding,
            prompt=request.prompt_parts,
        )
        if finding == _CRASHED:
            crash = crash_table.Crash(
                request.fingerprint, upstream.entry.host_id, started_at_s
            )
            self._state.counters.add("suspects.strikes")
            self._state.trace(
                request.request_id, "strike", upstream=upstream.entry.host_id
            )
            await self._broadcast(crash_table.SuspectUpdate(crashes=(crash,)))
        self.release(request, upstream)

    async def _find_cause(
        self, upstream: upstreams.Upstream, started_at_s: float
    ) -> str:
        """Returns what became of an upstream whose connection broke."""
        if not await self._has_crashed(upstream, started_at_s):
            return _NOT_CRASHED
        return _ZONE_DOWN if await self._is_zone_down(upstream) else _CRASHED

    async def _has_crashed(
        self, upstream: upstreams.Upstream, started_at_s: float
    ) -> bool:
        """Returns whether an upstream is unreachable or has restarted.

        One that accepts connections but does not respond is hung or cut off,
        which says nothing about the request.
        """
        try:
            report = await self._client.report(upstream.entry, _PROBE_TIMEOUT_S)
        except errors.UpstreamError as error:
            return error.reason in _UNREACHABLE_REASONS
        if not started_at_s:
            return False
        return abs(report.started_at_s - started_at_s) > _START_TIME_TOLERANCE_S

    async def _is_unreachable(self, upstream: upstreams.Upstream) -> bool:
        try:
            await self._client.report(upstream.entry, _PROBE_TIMEOUT_S)
        except errors.UpstreamError:
            return True
        return False

    async def _is_zone_down(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether other upstreams of the zone are unreachable, too.

        No single request takes down a zone; those that ran there aren't blamed.
        """
        others = [
            other
            for other in self._state.upstreams.by_id.values()
            if other.entry.zone == upstream.entry.zone and other is not upstream
        ]
        count = min(_MAX_ZONE_PROBES, len(others))
        probed = self._state.environment.random.sample(others, count)
        unreachable = await asyncio.gather(
            *(self._is_unreachable(each) for each in probed)
        )
        return len(unreachable) >= _MIN_ZONE_PROBES and all(unreachable)

    def note_success(
        self, request: requests.Request, upstream: upstreams.Upstream
    ) -> None:
        """Clears a suspect that ran to its end."""
        if self.is_suspect(request):
            self.release(request, upstream)
            cleared = crash_table.SuspectUpdate(cleared=(request.fingerprint,))
            self._state.counters.add("suspects.cleared")
            self._spawn(self._broadcast(cleared))

    async def _broadcast(self, update: crash_table.SuspectUpdate) -> None:
        """Applies an update and sends it to all live nodes."""
        self._apply(update)
        payload = self._codec.encode_update(update)
        own_id = self._state.identity.node_id
        others = [each for each in self._peers.live_nodes() if each != own_id]
        await asyncio.gather(
            *(
                self._peers.call(
                    node_id, _UPDATE_TOPIC, payload, _UPDATE_TIMEOUT_S
                )
                for node_id in others
            ),
            return_exceptions=True,
        )

    def _apply(self, update: crash_table.SuspectUpdate) -> None:
        """Applies an update and keeps what is new for gossip."""
        new = crash_table.SuspectUpdate(
            tuple(
                each for each in update.crashes if self._crash_table.add(each)
            ),
            tuple(
                each for each in update.cleared if self._crash_table.clear(each)
            ),
        )
        if new.crashes or new.cleared:
            now_s = self._state.environment.monotonic_s()
            self._recent_updates.append(_ReceivedUpdate(now_s, new))
            del self._recent_updates[:-_MAX_GOSSIPED_UPDATES]

    async def _handle_update(self, sender: str, payload: bytes) -> bytes:
        del sender
        self._apply(self._codec.decode_update(payload))
        return b""

    def _gossip(self, neighbour: str) -> bytes | None:
        """Returns recent crashes, for nodes that missed the call."""
        del neighbour
        now_s = self._state.environment.monotonic_s()
        recent = [
            each
            for each in self._recent_updates
            if now_s - each.received_s < _GOSSIP_TTL_S
        ]
        if not recent:
            return None
        return self._codec.encode_update(_merge_crashes(recent, now_s))

    def _merge_gossip(self, neighbour: str, payload: bytes) -> None:
        del neighbour
        update = self._codec.decode_update(payload)
        # Clearings are left out: gossip does not tell whether they came before
        # or after a crash.
        self._apply(crash_table.SuspectUpdate(crashes=update.crashes))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _merge_crashes(
    recent: Sequence[_ReceivedUpdate], now_s: float
) -> crash_table.SuspectUpdate:
    """Returns all crashes of the updates, with their present age."""
    return crash_table.SuspectUpdate(
        tuple(
            crash._replace(age_s=crash.age_s + now_s - each.received_s)
            for each in recent
            for crash in each.update.crashes
        )
    )
