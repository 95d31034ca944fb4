"""Isolates and blocks requests that crash the upstreams that run them.

A request becomes a suspect if an upstream crashes while it runs; all nodes
learn of the crash before the request is sent again. A suspect runs alone: the
grantor of its pool lets one suspect at a time run on an upstream, so that a
second crash can be attributed to it. After two crashes the request is blocked
until they expire. The same holds for all requests whose prompts have a part
that upstreams crash on; see `prompt_parts`.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import change_tracker
from lycheegw.coordination import crash_checks
from lycheegw.coordination import crash_table
from lycheegw.coordination import interfaces
from lycheegw.coordination import prompt_parts
from lycheegw.coordination import rendezvous
from lycheegw.coordination import suspect_leases
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import upstreams
from lycheegw.state import verdicts

__all__ = ["Codec", "SuspectUpdate", "Suspects"]

_UPDATE_TOPIC = "suspects.news"
_RUN_LEASE_TOPIC = "suspects.care"
_CRASH_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.SEND_FAILED,
        reasons.RetryReason.TRUNCATED,
    }
)
_UPDATE_TIMEOUT_S = 0.5
_RUN_LEASE_TIMEOUT_S = 0.5
_RUN_LEASE_RETRY_S = 0.05
_MAX_RUN_LEASE_FAILURES = 3
# Longest wait for a run alone of a request whose prompt has a suspect part.
# Others with the part wait, too, and the caller may be served elsewhere.
_MAX_PART_WAIT_S = 1.0
_RETRY_AFTER_S = 1.0
# Time in which the failures of all requests that ran on a crashed upstream
# arrive, and the reports of other nodes about it.
_COLLECT_S = 0.01
_SETTLE_S = 0.05
_GOSSIP_TTL_S = 30.0
_MAX_GOSSIPED_CRASHES = 256
_MAX_GOSSIPED_VERDICTS = 1024
# Crashes, and verdicts, in a gossip message; the rest go with later ones.
_MAX_PER_MESSAGE = 64
# Prefix of the name under which a part of a prompt is leased.
_PART_PREFIX = "part "
# Source of verdicts that came from no node.
_STORE = "store"

Choose = Callable[[], Awaitable[upstreams.Upstream]]
HasFree = Callable[[upstreams.Upstream], bool]


class SuspectUpdate(NamedTuple):
    """What a node sends to its peers about suspects.

    Attributes:
        crashes: Crashes of upstreams that ran suspects.
        cleared: Fingerprints that are no longer suspect.
        verdicts: What is held of parts of prompts.
    """

    crashes: tuple[crash_table.Crash, ...] = ()
    cleared: tuple[str, ...] = ()
    verdicts: tuple[prompt_parts.PartVerdict, ...] = ()


class Codec(NamedTuple):
    """Encodes and decodes the messages about suspects.

    A receipt is the reply to an update: for each part of a prompt in it, the
    seconds since the receiver last saw such a prompt answered whole.
    """

    encode_update: Callable[[SuspectUpdate], bytes]
    decode_update: Callable[[bytes], SuspectUpdate]
    encode_receipt: Callable[[Mapping[str, float]], bytes]
    decode_receipt: Callable[[bytes], dict[str, float]]
    encode_request: Callable[[crash_table.RunRequest], bytes]
    decode_request: Callable[[bytes], crash_table.RunRequest]
    encode_grant: Callable[[bool], bytes]
    decode_grant: Callable[[bytes], bool]


class _ReceivedCrash(NamedTuple):
    """A crash to gossip for a while, and when it was received."""

    received_s: float
    crash: crash_table.Crash


def _ignore_verdict(verdict: prompt_parts.PartVerdict, is_own: bool) -> None:
    """Does nothing with a verdict."""


class Suspects:
    """Tracks suspects, runs them alone and refuses blocked requests.

    Attributes:
        on_verdict: Called with each new verdict on a part of prompts, and
            whether this node made it.
    """

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
        self._peers = peers
        self._codec = codec
        self._note = note
        self._crash_table = crash_table.CrashTable(state.environment)
        self._parts = prompt_parts.PartTable(
            state.environment, self._crash_table
        )
        self._checker = crash_checks.CrashChecker(
            state, client, self.crashed_upstreams
        )
        self._run_leases = suspect_leases.SuspectLeases(state.environment)
        self._lease_by_run: dict[tuple[str, str], str] = {}
        self._unreported: list[crash_table.Crash] = []
        self._report_task: asyncio.Task[None] | None = None
        self._crashes_to_gossip: change_tracker.ChangeTracker[
            _ReceivedCrash
        ] = change_tracker.ChangeTracker(_MAX_GOSSIPED_CRASHES)
        self._parts_to_gossip: change_tracker.ChangeTracker[str] = (
            change_tracker.ChangeTracker(_MAX_GOSSIPED_VERDICTS)
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_verdict: Callable[[prompt_parts.PartVerdict, bool], None] = (
            _ignore_verdict
        )
        peers.on_call(_UPDATE_TOPIC, self._handle_update)
        peers.on_call(_RUN_LEASE_TOPIC, self._handle_run_request)
        peers.on_delta(_UPDATE_TOPIC, self._gossip, self._merge_gossip)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._crashes_to_gossip.forget_sent(neighbour)
        self._parts_to_gossip.forget_sent(neighbour)

    def refuse_blocked(self, request: requests.Request) -> None:
        """Raises errors.RefusalError (POISON) if a request is blocked."""
        left_s = self._crash_table.blocked_s(request.fingerprint)
        if left_s > 0:
            raise errors.RefusalError(
                reasons.RefusalReason.POISON,
                "upstreams crashed while they ran this request",
                verdicts.RunVerdict.NOT_RUN,
                retry_after_s=left_s,
            )
        left_s = self._parts.blocked_s(request.prompt_parts)
        if left_s > 0:
            raise errors.RefusalError(
                reasons.RefusalReason.POISON,
                "upstreams crashed while they answered prompts with a part of"
                " this one",
                verdicts.RunVerdict.NOT_RUN,
                retry_after_s=left_s,
            )

    def is_blocked(self, request: requests.Request) -> bool:
        """Returns whether a request is blocked now."""
        return (
            self._crash_table.blocked_s(request.fingerprint) > 0
            or self._parts.blocked_s(request.prompt_parts) > 0
        )

    def is_suspect(self, request: requests.Request) -> bool:
        """Returns whether a request may only run alone."""
        return self._lease_name(request) is not None

    def _lease_name(self, request: requests.Request) -> str | None:
        """Returns the name under which a suspect is leased, else None."""
        part_id = self._parts.suspect(request.prompt_parts)
        if part_id is not None:
            return _PART_PREFIX + part_id
        if self._crash_table.count(request.fingerprint) > 0:
            return request.fingerprint
        return None

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
        started_s = self._state.environment.monotonic_s()
        while True:
            upstream = await choose()
            name = self._lease_name(request)
            if name is None:
                return upstream
            run = (request.request_id, upstream.entry.host_id)
            self._lease_by_run[run] = name
            try:
                if await self._request_run(name, request, upstream, False):
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
                        verdicts.RunVerdict.NOT_RUN,
                        retry_after_s=_RETRY_AFTER_S,
                    ) from error
            self._lease_by_run.pop(run, None)
            waited_s = self._state.environment.monotonic_s() - started_s
            if name.startswith(_PART_PREFIX) and waited_s > _MAX_PART_WAIT_S:
                raise errors.RefusalError(
                    reasons.RefusalReason.ISOLATED,
                    "another prompt with a suspect part of this one runs",
                    verdicts.RunVerdict.NOT_RUN,
                    retry_after_s=_RETRY_AFTER_S,
                )
            jitter = 0.5 + self._state.environment.random.random()
            await self._state.environment.sleep(_RUN_LEASE_RETRY_S * jitter)
            self.refuse_blocked(request)

    async def _request_run(
        self,
        name: str,
        request: requests.Request,
        upstream: upstreams.Upstream,
        is_release: bool,
    ) -> bool:
        """Requests or releases a run; returns whether it is granted."""
        now_s = self._state.environment.monotonic_s()
        run_request = crash_table.RunRequest(
            name,
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
        live = set(self._peers.live_nodes())
        return self._codec.encode_grant(
            not self._is_lease_blocked(run_request.fingerprint)
            and self._run_leases.grant(sender, run_request, live)
        )

    def _is_lease_blocked(self, name: str) -> bool:
        if name.startswith(_PART_PREFIX):
            return self._parts.blocked_s([name[len(_PART_PREFIX) :]]) > 0
        return self._crash_table.blocked_s(name) > 0

    def release(
        self, request: requests.Request, upstream: upstreams.Upstream
    ) -> None:
        """Releases the run of a suspect, if it has one, in the background."""
        run = (request.request_id, upstream.entry.host_id)
        name = self._lease_by_run.pop(run, None)
        if name is not None:
            self._spawn(self._release(name, request, upstream))

    async def _release(
        self, name: str, request: requests.Request, upstream: upstreams.Upstream
    ) -> None:
        try:
            await self._request_run(name, request, upstream, True)
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
        if (
            had_crashed
            or error.reason not in _CRASH_REASONS
            or upstream.entry.is_leaving
        ):
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
        finding = await self._checker.check(upstream, started_at_s)
        self._note(
            "upstream_checked",
            request_id=request.request_id,
            upstream=upstream.entry.host_id,
            finding=finding.value,
            prompt=request.prompt_parts,
        )
        if finding is crash_checks.Finding.CRASHED:
            self._state.counters.add("suspects.strikes")
            self._state.trace(
                request.request_id, "strike", upstream=upstream.entry.host_id
            )
            self._unreported.append(
                crash_table.Crash(
                    request.fingerprint,
                    upstream.entry.host_id,
                    started_at_s,
                    prompt_parts=request.prompt_parts,
                )
            )
            if self._report_task is None:
                self._report_task = self._spawn(self._report())
            await self._report_task
        self.release(request, upstream)

    async def _report(self) -> None:
        """Tells all nodes of crashes, and then what they are blamed on."""
        await self._state.environment.sleep(_COLLECT_S)
        crashes = tuple(self._unreported)
        self._unreported.clear()
        self._report_task = None
        await self._broadcast(SuspectUpdate(crashes))
        if any(crash.prompt_parts for crash in crashes):
            self._spawn(self._judge(crashes))

    async def _judge(self, crashes: Iterable[crash_table.Crash]) -> None:
        """Blames parts of the prompts that ran on crashed upstreams."""
        await self._state.environment.sleep(_SETTLE_S)
        processes = {(each.upstream, each.started_at_s) for each in crashes}
        verdicts = []
        for upstream, started_at_s in sorted(processes):
            verdict = self._parts.judge(upstream, started_at_s)
            if verdict is not None:
                self._apply_verdict(verdict, None)
                verdicts.append(verdict)
        if verdicts:
            await self._broadcast(SuspectUpdate(verdicts=tuple(verdicts)))

    def note_success(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        is_answered: bool = True,
    ) -> None:
        """Clears a suspect that ran to its end.

        Args:
            request: Request that ran.
            upstream: Upstream on which it ran.
            is_answered: Whether the whole answer was received, not an error or
                a part of it.
        """
        self.release(request, upstream)
        if not is_answered:
            return
        cleared: tuple[str, ...] = ()
        if self._crash_table.count(request.fingerprint) > 0:
            self._state.counters.add("suspects.cleared")
            cleared = (request.fingerprint,)
        verdicts = tuple(
            self._parts.exonerate(part_id)
            for part_id in self._parts.note_answered(request.prompt_parts)
        )
        if cleared or verdicts:
            update = SuspectUpdate(cleared=cleared, verdicts=verdicts)
            self._spawn(self._broadcast(update))

    async def _broadcast(self, update: SuspectUpdate) -> None:
        """Applies an update and sends it to all live nodes."""
        self._apply(update, None)
        payload = self._codec.encode_update(update)
        own_id = self._state.identity.node_id
        others = [each for each in self._peers.live_nodes() if each != own_id]
        replies = await asyncio.gather(
            *(
                self._peers.call(
                    node_id, _UPDATE_TOPIC, payload, _UPDATE_TIMEOUT_S
                )
                for node_id in others
            ),
            return_exceptions=True,
        )
        for reply in replies:
            if isinstance(reply, bytes):
                self._parts.merge_answer_ages(self._codec.decode_receipt(reply))

    def _apply(self, update: SuspectUpdate, source: str | None) -> None:
        """Applies an update, and keeps what is new in it for gossip."""
        now_s = self._state.environment.monotonic_s()
        for crash in update.crashes:
            if self._crash_table.add(crash):
                key = f"{crash.fingerprint} {crash.upstream}"
                received = _ReceivedCrash(now_s, crash)
                self._crashes_to_gossip.put(key, received, source)
        for fingerprint in update.cleared:
            self._crash_table.clear(fingerprint)
        for verdict in update.verdicts:
            self._apply_verdict(verdict, source)

    def _apply_verdict(
        self, verdict: prompt_parts.PartVerdict, source: str | None
    ) -> None:
        """Applies a verdict, unless an answer that this node saw refutes it."""
        if not self._parts.apply(verdict):
            return
        if self._parts.is_refuted(verdict):
            self._state.counters.add("suspects.parts_refuted")
            # The store may hold the refuted verdict.
            self.on_verdict(verdict, False)
            verdict = self._parts.exonerate(verdict.part_id)
            self._parts.apply(verdict)
            source = None
        self._parts_to_gossip.put(verdict.part_id, verdict.part_id, source)
        self._state.counters.add(
            f"suspects.parts.{verdict.status.name.lower()}"
        )
        self._note(
            "prompt_part",
            part=verdict.part_id,
            status=verdict.status.name.lower(),
            revision=verdict.revision,
            crashes_age_s=round(verdict.crashes_age_s, 3),
            source=source,
        )
        self.on_verdict(verdict, source is None)

    async def _handle_update(self, sender: str, payload: bytes) -> bytes:
        update = self._codec.decode_update(payload)
        self._apply(update, sender)
        named = {
            part for crash in update.crashes for part in crash.prompt_parts
        }
        return self._codec.encode_receipt(self._parts.answer_ages(named))

    def _gossip(self, neighbour: str) -> bytes | None:
        """Returns crashes and verdicts for a node that missed the calls."""
        now_s = self._state.environment.monotonic_s()
        crashes = tuple(
            each.crash._replace(
                age_s=each.crash.age_s + now_s - each.received_s
            )
            for each in self._crashes_to_gossip.take_unsent(
                neighbour, _MAX_PER_MESSAGE
            )
            if now_s - each.received_s < _GOSSIP_TTL_S
        )
        part_ids = self._parts_to_gossip.take_unsent(
            neighbour, _MAX_PER_MESSAGE
        )
        verdicts = tuple(
            verdict
            for part_id in part_ids
            if (verdict := self._parts.verdict(part_id)) is not None
        )
        if not crashes and not verdicts:
            return None
        return self._codec.encode_update(
            SuspectUpdate(crashes, verdicts=verdicts)
        )

    def _merge_gossip(self, neighbour: str, payload: bytes) -> None:
        update = self._codec.decode_update(payload)
        # Cleared fingerprints are left out: gossip does not tell whether they
        # came before or after a crash.
        self._apply(update._replace(cleared=()), neighbour)

    def learn(self, verdicts: Iterable[prompt_parts.PartVerdict]) -> None:
        """Applies verdicts that were kept in the store."""
        for verdict in verdicts:
            self._apply_verdict(verdict, _STORE)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
