"""Makes the attempts of a forwarded request until one is answered.

After each failure, the route, the verdict on whether the attempt ran, the time
left and the retry budget decide whether another attempt follows.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import answer_delivery
from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import directory
from lycheegw.coordination import freshness
from lycheegw.coordination import held_answers
from lycheegw.coordination import interfaces
from lycheegw.coordination import model_cascade
from lycheegw.coordination import relays
from lycheegw.coordination import retry_budgets
from lycheegw.coordination import shared_rates
from lycheegw.coordination import suspects
from lycheegw.coordination import upstream_notices
from lycheegw.coordination import upstream_reach
from lycheegw.coordination import zone_reachability
from lycheegw.coordination.load import backlogs
from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import speeds
from lycheegw.coordination.load import wait_queues
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import run_evidence
from lycheegw.state import silence_timeouts
from lycheegw.state import upstreams
from lycheegw.state import verdicts

__all__ = [
    "MIN_RETRY_AFTER_S",
    "WAIT_POLL_INTERVAL_S",
    "Dependencies",
    "ForwardAttempts",
]

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN
_RAN = verdicts.RunVerdict.RAN

# Rejections by upstreams after which a request is refused. Upstreams are tried
# one after the other, and more attempts would only burden a busy fleet.
_MAX_REJECTIONS = 3
# How long a request may wait while all upstreams are at their limits, as a
# share of its target latency; a refusal serves the client better after that.
_MAX_WAIT_SHARE_OF_TARGET = 0.125
WAIT_POLL_INTERVAL_S = 0.02
# Retry-after time as a share of the target latency, and its bounds.
_RETRY_AFTER_SHARE_OF_TARGET = 0.25
MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 1.0
# Retry-after time if there is no upstream. A crashed one is back after some
# seconds, and clients retry only once.
_NO_UPSTREAM_RETRY_AFTER_S = 1.0
# An attempt times out after this many times the expected time to the first
# byte, but not before a share of the target latency.
_TIMEOUT_FACTOR = 5.0
_MIN_TIMEOUT_SHARE_OF_TARGET = {
    routing.RequestKind.IDEMPOTENT: 2.5,
    routing.RequestKind.STREAM: 0.5,
}
# No attempt is begun with less time left than this.
_MIN_TIME_LEFT_S = 0.02
# Connections of each node to a service without a connection limit.
_DEFAULT_CONNECTIONS = 64
# Part of a connection limit that all nodes together use.
_CONNECTION_SHARE = 0.9
# Urgency at the upstream (0 is most urgent) of requests to the smallest of
# several models, and of requests to the others. A prompt is less urgent by one
# level for each of these lengths that it exceeds. On the first deployment,
# prefill of prompts of these lengths takes 0.25 s and more than 1 s.
_SMALLEST_MODEL_URGENCY = 2
_DEFAULT_URGENCY = 5
_LONG_PROMPT_TOKENS = (8_000, 25_000)
# Logged age of a load or a backlog that was never reported.
_UNKNOWN_AGE_S = 999.0

# Failures caused by an upstream's software, which count against its version.
_SOFTWARE_FAILURES = frozenset(
    {
        reasons.RetryReason.SERVER_ERROR,
        reasons.RetryReason.MALFORMED,
        reasons.RetryReason.UNCLEAR_REJECTION,
        reasons.RetryReason.UNSIGNED,
    }
)
# Failures before anything of the request reached an upstream.
_UNSENT_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.NO_FREE_CONNECTION,
    }
)
# Failures by which the listed process is not running at its address.
_ABSENT_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.MISDIRECTED,
    }
)
# Failures by which an upstream seems to be unreachable.
_UNREACHABLE_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.HEAD_TIMEOUT,
        reasons.RetryReason.TOKEN_GAP,
    }
)


class Dependencies(NamedTuple):
    """The collaborators needed to serve requests.

    Attributes:
        directory: Manifest and operator orders in force.
        balancer: Selects upstreams.
        timings: Expected response times.
        backlogs: Outstanding prefill work of upstreams.
        speeds: How fast each upstream is.
        rates: Rate limits of upstreams that all nodes share.
        budgets: Limits retries.
        rollouts: Selects the version of a request.
        suspects: Requests whose upstreams crashed.
        notices: What upstreams announced about themselves.
        client: Sends requests to upstreams.
        reachability: Detects unreachable zones.
        reach: Tells whether this node is cut off from all upstreams.
        relays: Lets peers serve requests while it is.
        is_store_read: Returns whether the store was ever read.
        is_closing: Returns whether the process is shutting down.
        time_to_stop_s: Returns the seconds until it aborts what still runs,
            infinity unless it is shutting down.
        member_count: Returns how many nodes share a limit.
        refresh_upstreams: Requests an early read of the list of upstreams.
        list_age_s: Returns the age of the list of upstreams.
        freshness: Bounds the age of the orders and the list of upstreams.
        note: Writes a line to the event log.
        observe: Adds a time to a histogram, by name and label.
    """

    directory: directory.Directory
    balancer: balancing.Balancer
    timings: response_times.ResponseTimes
    backlogs: backlogs.Backlogs
    speeds: speeds.Speeds
    rates: shared_rates.SharedRates
    budgets: retry_budgets.RetryBudgets
    rollouts: canary_rollouts.CanaryRollouts
    suspects: suspects.Suspects
    notices: upstream_notices.UpstreamNotices
    client: interfaces.ForwardClient
    reachability: zone_reachability.ZoneReachability
    reach: upstream_reach.UpstreamReach
    relays: relays.Relays
    is_store_read: Callable[[], bool]
    is_closing: Callable[[], bool]
    time_to_stop_s: Callable[[], float]
    member_count: Callable[[], int]
    refresh_upstreams: Callable[[], None]
    list_age_s: Callable[[], float]
    freshness: freshness.Freshness
    note: Callable[..., None]
    observe: Callable[[str, str, float], None]


class ForwardAttempts:
    """Makes the attempts of accepted requests and handles their failures."""

    def __init__(self, state: node_state.NodeState, dependencies: Dependencies):
        self._state = state
        self._dependencies = dependencies
        self._response_times = dependencies.timings
        self._wait_queue = wait_queues.WaitQueues()

    async def serve(self, accepted: accepted_requests.AcceptedRequest) -> None:
        """Serves a request to the end of its response.

        Raises:
            errors.RefusalError: The request failed.
        """
        if not accepted.work.incoming.is_relayed:
            # The node that relays a request has counted it.
            self._dependencies.budgets.note_request(accepted.service.name)
        try:
            await self._serve_here(accepted)
        except errors.RefusalError:
            unreached = len(accepted.progress.unreached)
            if not (
                unreached
                and await self._dependencies.reach.check(unreached)
                and _may_relay(accepted)
                and await self._relay(accepted)
            ):
                raise

    async def _relay(self, accepted: accepted_requests.AcceptedRequest) -> bool:
        """Lets a peer serve a request; returns whether one took it."""
        if accepted.progress.held_answer is not None:
            # Its upstream is out of reach, like all others.
            accepted.progress.held_answer.drop()
        return await self._dependencies.relays.serve(accepted)

    async def _serve_here(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> None:
        """Makes attempts at upstreams as long as these are within reach."""
        progress = accepted.progress
        progress.model = model_cascade.first_model(accepted.work)
        try:
            await self._make_attempts(accepted)
        except errors.RefusalError:
            if not await self._deliver_held(accepted):
                raise
        finally:
            if progress.held_answer is not None:
                progress.held_answer.drop()

    async def _make_attempts(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> None:
        """Makes attempts at upstreams until a response has ended.

        Raises:
            errors.RefusalError: The request failed.
        """
        progress = accepted.progress
        memory_of_request = accepted.sink.memory.size
        while True:
            # Gives back the memory of the attempt before.
            accepted.sink.memory.resize(memory_of_request)
            self._dependencies.suspects.refuse_blocked(accepted.request)
            if (
                self._dependencies.reach.is_cut_off
                and _may_relay(accepted)
                and await self._relay(accepted)
            ):
                return
            choice = await self._next_choice(accepted)
            try:
                larger = await self._attempt(accepted, choice)
            except errors.UpstreamError as error:
                if error.reason is reasons.RetryReason.OUTDATED_CHOICE:
                    self._note_outdated_choice(accepted, choice)
                    continue
                await self._handle_failure(accepted, choice, error)
                if progress.is_error_forwarded:
                    return
                if (
                    progress.held_answer is not None
                    and progress.held_answer.model == progress.model
                    and await self._deliver_held(accepted)
                ):
                    return
                continue
            except BaseException:
                self._dependencies.suspects.release(
                    accepted.request, choice.upstream
                )
                raise
            self._dependencies.suspects.note_success(
                accepted.request,
                choice.upstream,
                larger is None and progress.status < 300,
            )
            if larger is None:
                return
            progress.model = larger
            progress.tried.clear()

    def connection_limit(self, service: routing.Service) -> int:
        """Returns this node's part of the limit on a service's connections."""
        if not service.max_connections:
            return _DEFAULT_CONNECTIONS
        share = _CONNECTION_SHARE * service.max_connections
        return max(1, int(share / max(1, self._dependencies.member_count())))

    async def _next_choice(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> balancing.Choice:
        """Returns the upstream of the next attempt, by current copies.

        Raises:
            errors.RefusalError: No upstream can get the attempt, or not as soon
                as an answer that is held can be delivered.
        """
        held = accepted.progress.held_answer
        is_held = held is not None and held.model is not None
        try:
            async with asyncio.timeout(
                held_answers.MAX_WAIT_S if is_held else None
            ):
                if accepted.service.engine is not None:
                    await self._dependencies.backlogs.refresh()
                await self._dependencies.freshness.ensure_current()
                return await self._choose(accepted)
        except TimeoutError:
            raise errors.RefusalError(
                reasons.RefusalReason.NO_UPSTREAM,
                f"no upstream for {accepted.progress.model} in time",
                accepted.progress.runs.verdict,
                self._retry_after_s(accepted.work, False),
            ) from None

    async def _choose(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> balancing.Choice:
        """Returns the upstream of the next attempt; isolates suspect requests.

        Raises:
            errors.RefusalError: No upstream can get the attempt.
        """
        if not self._dependencies.suspects.is_suspect(accepted.request):
            return await self._wait_for_choice(accepted)
        choices: list[balancing.Choice] = []

        async def choose() -> upstreams.Upstream:
            choices.append(await self._wait_for_choice(accepted))
            return choices[-1].upstream

        # A suspect request may crash its upstream and fail all others there.
        await self._dependencies.suspects.choose(
            accepted.request,
            choose,
            lambda upstream: self._dependencies.rates.may_send(
                upstream, accepted.service
            ),
        )
        return choices[-1]

    async def _wait_for_choice(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> balancing.Choice:
        """Returns an upstream; waits a little if all are at their limits.

        Raises:
            errors.RefusalError: No upstream became available.
        """
        progress = accepted.progress
        choice = self._choose_in_turn(accepted, None)
        if (
            isinstance(choice, balancing.NoUpstream)
            and choice.pool_size
            and choice.pause_s <= self._max_wait_s(accepted)
        ):
            choice = await self._wait_in_queue(accepted, choice)
        if isinstance(choice, balancing.NoUpstream) and progress.tried:
            # All usable upstreams have failed; one may succeed by now.
            progress.tried.clear()
            choice = self._choose_upstream(accepted)
        if isinstance(choice, balancing.Choice):
            return choice
        raise self._no_upstream_error(accepted, choice)

    def _no_upstream_error(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.NoUpstream,
    ) -> errors.RefusalError:
        """Returns the refusal of a request that no upstream can get."""
        reason = reasons.RefusalReason.NO_UPSTREAM
        if choice.pause_s:
            reason = reasons.RefusalReason.UPSTREAMS_PAUSED
        elif choice.is_limit_announced:
            reason = reasons.RefusalReason.UPSTREAM_LIMIT
        elif choice.is_at_limit:
            reason = reasons.RefusalReason.COLD_LIMIT
        retry_after_s = self._retry_after_s(
            accepted.work, not choice.is_at_limit and not choice.pause_s
        )
        return errors.RefusalError(
            reason,
            f"no available upstream among {choice.pool_size} of"
            f" {accepted.service.name}",
            accepted.progress.runs.verdict,
            # Clients return spread out after the pause.
            choice.pause_s + retry_after_s,
        )

    def _max_wait_s(self, accepted: accepted_requests.AcceptedRequest) -> float:
        """Returns how long a request may wait for an upstream."""
        max_wait_s = (
            _MAX_WAIT_SHARE_OF_TARGET * accepted.work.route.target_latency_s
        )
        return min(max_wait_s, self._left_s(accepted.request))

    async def _wait_in_queue(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.NoUpstream,
    ) -> balancing.Choice | balancing.NoUpstream:
        """Waits for an upstream, in order of priority and arrival."""
        request, service = accepted.request, accepted.service
        until_s = self._now_s() + self._max_wait_s(accepted)
        latest: balancing.Choice | balancing.NoUpstream = choice
        with self._wait_queue.wait(service.name, request.priority) as ticket:
            while self._now_s() < until_s:
                await self._state.environment.sleep(WAIT_POLL_INTERVAL_S)
                latest = self._choose_in_turn(accepted, ticket)
                if isinstance(latest, balancing.Choice):
                    break
        return latest

    def _choose_in_turn(
        self,
        accepted: accepted_requests.AcceptedRequest,
        ticket: wait_queues.Ticket | None,
    ) -> balancing.Choice | balancing.NoUpstream:
        """Returns an upstream unless requests in the queue go first."""
        if not self._wait_queue.may_proceed(
            accepted.service.name, accepted.request.priority, ticket
        ):
            return balancing.NoUpstream(1, True)
        return self._choose_upstream(accepted)

    def _choose_upstream(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> balancing.Choice | balancing.NoUpstream:
        return self._dependencies.balancer.choose(
            accepted.request,
            accepted.work,
            accepted.service,
            accepted.progress.model,
            accepted.progress.tried,
            accepted.progress.version,
        )

    async def _attempt(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> str | None:
        """Makes one attempt; returns the larger model to ask next, if any.

        Raises:
            errors.UpstreamError: The attempt failed.
        """
        progress = accepted.progress
        self._note_attempt(accepted, choice)
        call: interfaces.ForwardCall | None = None
        try:
            with self._dependencies.backlogs.track(
                choice.upstream.entry.host_id,
                choice.work_s,
                accepted.service.name,
                accepted.request.organisation,
            ):
                call = await self._dependencies.client.send(
                    self._build_attempt(accepted, choice)
                )
                self._note_sent(accepted)
                head = await self._wait_for_head(accepted, call, choice)
            progress.head_s = self._now_s() - progress.attempt_start_s
            progress.status = head.status
            evidence = self._note_evidence(accepted, head)
            progress.confidence = head.confidence
            self._note_load(choice, head)
            self._dependencies.notices.note_response(
                choice.upstream, head, progress.attempt_start_s
            )
            await answer_delivery.check_head(
                head,
                evidence,
                call,
                accepted.sink.is_started,
                accepted.sink.memory,
            )
            if progress.held_answer is not None:
                if head.status >= 300 and progress.held_answer.model:
                    raise errors.UpstreamError(
                        reasons.RetryReason.SERVER_ERROR,
                        f"status {head.status} instead of a better answer",
                        _RAN,
                    )
                progress.held_answer.drop()
            larger = self._larger_model(accepted)
            self._note_answer(accepted, choice, larger)
            answer = held_answers.Answer(
                call,
                head,
                choice,
                progress.model,
                progress.head_s,
            )
            if larger is not None:
                progress.runs.end(_RAN)
                progress.held_answer = held_answers.HeldAnswer(
                    answer, lambda: self._note_call_ended(accepted, choice)
                )
                if not self._may_hold(accepted, choice):
                    progress.held_answer.drop()
                return larger
        except BaseException:
            if call is not None:
                call.abort()
            self._note_call_ended(accepted, choice)
            raise
        await self._deliver(accepted, answer)
        return None

    async def _deliver(
        self,
        accepted: accepted_requests.AcceptedRequest,
        answer: held_answers.Answer,
    ) -> None:
        """Forwards the body of a response; raises errors.UpstreamError."""
        version = answer.choice.upstream.entry.version
        memory_before = accepted.sink.memory.size
        try:
            await answer_delivery.deliver(
                accepted,
                answer.call,
                answer.head,
                version,
                lambda: self._note_pace(accepted, answer.choice),
                lambda: self._may_try_elsewhere(accepted, answer.choice),
            )
            answer.call.finish()
            self._note_stream_end(accepted)
        except BaseException:
            answer.call.abort()
            raise
        finally:
            accepted.sink.memory.resize(memory_before)
            self._note_call_ended(accepted, answer.choice)

    def _may_hold(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> bool:
        """Returns whether an answer may be held while another model is asked.

        A suspect request runs alone, and the last connection to an upstream may
        be what the larger model needs.
        """
        return not self._dependencies.suspects.is_suspect(
            accepted.request
        ) and self._dependencies.client.has_capacity(
            choice.upstream.entry, self.connection_limit(accepted.service)
        )

    def _note_call_ended(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> None:
        """Records that an upstream has no more work with an attempt."""
        choice.upstream.in_flight -= 1
        self._dependencies.rollouts.note_ended(
            accepted.service.name,
            choice.upstream.entry.version,
            accepted.request.session,
        )

    async def _deliver_held(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> bool:
        """Delivers the answer that was to be given up, if it is still there.

        Raises:
            errors.RefusalError: It broke off, and the request failed.
        """
        progress = accepted.progress
        if accepted.sink.is_started:
            return False
        answer = (
            None
            if progress.held_answer is None
            else progress.held_answer.take()
        )
        if answer is None:
            return False
        progress.model = answer.model
        progress.upstream = answer.choice.upstream.entry.host_id
        progress.status = answer.head.status
        progress.confidence = answer.head.confidence
        # Its pace counts from now.
        progress.attempt_start_s = self._now_s() - answer.head_s
        progress.head_s = answer.head_s
        progress.evidence = str(
            answer.head.evidence(accepted.request.request_id)
        )
        self._state.counters.add("answers.held_delivered")
        self._dependencies.note(
            "held_answer",
            request_id=accepted.request.request_id,
            upstream=progress.upstream,
            model=progress.model,
            confidence=progress.confidence,
        )
        try:
            await self._deliver(accepted, answer)
        except errors.UpstreamError as error:
            await self._handle_failure(accepted, answer.choice, error)
            if not progress.is_error_forwarded:
                await self._make_attempts(accepted)
            return True
        self._dependencies.suspects.note_success(
            accepted.request, answer.choice.upstream
        )
        return True

    def _note_attempt(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> None:
        """Records the start of an attempt in budgets, rates, load and log."""
        upstream, service = choice.upstream, accepted.service
        progress, now_s = accepted.progress, self._now_s()
        progress.attempt_count += 1
        progress.attempt_start_s = now_s
        progress.upstream = upstream.entry.host_id
        progress.evidence = ""
        if progress.sent_count:
            self._dependencies.budgets.note_extra_attempt(service.name)
        progress.sent_count += 1
        self._dependencies.rates.note_sent(upstream)
        self._dependencies.rollouts.note_sent(
            service.name, upstream.entry.version, accepted.request.session
        )
        upstream.note_sent()
        load_age_s = min(_UNKNOWN_AGE_S, upstream.report_age_s(now_s))
        wait_age_s = min(_UNKNOWN_AGE_S, self._dependencies.backlogs.age_s())
        if service.engine is not None:
            self._dependencies.observe("backlog_age", service.name, wait_age_s)
        self._dependencies.note(
            "attempt",
            request_id=accepted.request.request_id,
            upstream=upstream.entry.host_id,
            version=upstream.entry.version,
            model=progress.model,
            session=accepted.work.traits.session,
            number=progress.attempt_count,
            why=choice.selection_reason,
            prompt=balancing.affinity_key(accepted.work.traits)[0],
            tokens=accepted.work.traits.prompt_tokens,
            load=round(upstream.estimated_load(now_s), 1),
            load_age_s=round(load_age_s, 2),
            wait_s=round(choice.wait_s, 2),
            wait_age_s=round(wait_age_s, 2),
            speed=round(choice.speed, 2),
            left_s=round(self._left_s(accepted.request), 3),
            last_event=progress.last_event,
        )

    def _note_evidence(
        self,
        accepted: accepted_requests.AcceptedRequest,
        head: forwarded_requests.ResponseHead,
    ) -> run_evidence.RunEvidence:
        """Returns and records what a response says about a run."""
        evidence = head.evidence(accepted.request.request_id)
        accepted.progress.evidence = str(evidence)
        basis = run_evidence.judge(evidence).basis
        self._state.counters.add(f"evidence.{basis.value}")
        return evidence

    def _note_sent(self, accepted: accepted_requests.AcceptedRequest) -> None:
        """Records how late, and by how old a list, an attempt was sent."""
        progress, route = accepted.progress, accepted.work.route.name
        if progress.held_answer is not None:
            progress.held_answer.note_sent()
        progress.send_delay_s = self._now_s() - progress.attempt_start_s
        progress.list_age_s = self._dependencies.list_age_s()
        self._dependencies.observe("send_delay", route, progress.send_delay_s)
        self._dependencies.observe("list_age", route, progress.list_age_s)

    def _build_attempt(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> interfaces.ForwardAttempt:
        progress = accepted.progress
        return interfaces.ForwardAttempt(
            accepted.work,
            choice.upstream.entry,
            accepted.request.organisation,
            progress.model,
            lambda: self._left_s(accepted.request),
            progress.last_event if progress.event_count else None,
            _urgency(accepted.work, progress.model),
            self.connection_limit(accepted.service),
            lambda: self._may_send(accepted, choice),
            progress.answered,
        )

    def _may_send(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> bool:
        """Begins an attempt, in the turn of its first byte, or rules it out."""
        if self._new_objections(accepted, choice):
            return False
        accepted.progress.runs.begin()
        return True

    def _new_objections(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> frozenset[str]:
        """Returns what speaks against an attempt since it was chosen."""
        if not self._dependencies.freshness.is_current():
            return frozenset({"list_outdated"})
        if self._dependencies.suspects.is_blocked(accepted.request):
            return frozenset({"request_blocked"})
        current = self._dependencies.balancer.objections(
            choice.upstream, choice.service
        )
        return current - choice.objections

    def _note_outdated_choice(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> None:
        """Records an attempt that was not sent; another choice follows."""
        reason = reasons.RetryReason.OUTDATED_CHOICE
        self._state.counters.add(f"retry.{reason.value}")
        self._dependencies.note(
            "attempt_failed",
            request_id=accepted.request.request_id,
            upstream=choice.upstream.entry.host_id,
            version=choice.upstream.entry.version,
            reason=reason.value,
            run=_NOT_RUN.value,
            message=", ".join(sorted(self._new_objections(accepted, choice))),
        )
        self._revert_sent_count(accepted)
        self._dependencies.suspects.release(accepted.request, choice.upstream)

    async def _wait_for_head(
        self,
        accepted: accepted_requests.AcceptedRequest,
        call: interfaces.ForwardCall,
        choice: balancing.Choice,
    ) -> forwarded_requests.ResponseHead:
        """Returns the response head; raises UpstreamError on a timeout."""
        timeout_s = self._head_timeout_s(accepted)
        if timeout_s is None:
            return await call.head()
        try:
            async with silence_timeouts.silence_timeout(
                timeout_s, lambda: self._may_try_elsewhere(accepted, choice)
            ):
                return await call.head()
        except TimeoutError:
            self._response_times.note_head_timeout(
                accepted.service.name,
                accepted.progress.model,
                accepted.work.traits.prompt_tokens,
                timeout_s,
            )
            # Without this, only the fast responses of a version would count.
            self._dependencies.rollouts.note_first_byte_timeout(
                accepted.service.name, choice.upstream.entry.version, timeout_s
            )
            raise errors.UpstreamError(
                reasons.RetryReason.HEAD_TIMEOUT,
                f"no response head within {timeout_s:.2f} s",
                _MAY_HAVE_RUN,
                is_timeout=True,
            ) from None

    def _may_try_elsewhere(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> bool:
        """Returns whether a silent attempt may be given up for another one.

        Where nobody else may go on, the deadlines of route and client are the
        only limits.
        """
        route, progress = accepted.work.route, accepted.progress
        may_repeat = (
            accepted.request.is_idempotent
            and (route.is_resumable or not progress.event_count)
            and progress.runs.run_count + 1 < route.max_attempts
            and self._left_s(accepted.request) >= _MIN_TIME_LEFT_S
            and self._dependencies.budgets.allows_attempt(accepted.service.name)
        )
        upstream_id = choice.upstream.entry.host_id
        is_option = may_repeat and isinstance(
            self._dependencies.balancer.choose(
                accepted.request,
                accepted.work,
                accepted.service,
                progress.model,
                progress.tried | {upstream_id},
                progress.version,
            ),
            balancing.Choice,
        )
        if not is_option:
            self._state.counters.add("attempts.silence_awaited")
            self._dependencies.note(
                "silence_awaited",
                request_id=accepted.request.request_id,
                upstream=upstream_id,
                events=progress.event_count,
                left_s=round(self._left_s(accepted.request), 3),
            )
        return is_option

    def _head_timeout_s(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> float | None:
        """Returns how long to wait for the response head, None for no limit."""
        route, progress = accepted.work.route, accepted.progress
        if not accepted.request.is_idempotent:
            return None
        if progress.runs.run_count + 1 >= route.max_attempts:
            return None
        min_timeout_s = (
            _MIN_TIMEOUT_SHARE_OF_TARGET[route.kind] * route.target_latency_s
        )
        estimate_s = self._response_times.expected_first_byte_s(
            accepted.service.name,
            progress.model,
            accepted.work.traits.prompt_tokens,
        )
        timeout_s = max(min_timeout_s, _TIMEOUT_FACTOR * (estimate_s or 0.0))
        # A retry starts from scratch and needs the expected time again.
        if timeout_s + (estimate_s or min_timeout_s) > self._left_s(
            accepted.request
        ):
            return None
        return timeout_s

    def _note_load(
        self, choice: balancing.Choice, head: forwarded_requests.ResponseHead
    ) -> None:
        """Records the load and health that a response reports."""
        upstream = choice.upstream
        now_s = self._now_s()
        upstream.note_reachable()
        self._dependencies.reach.note_answer()
        upstream.end_connect_failure(now_s, choice.service.cold_s)
        self._dependencies.reachability.note_answer(upstream.entry.zone)
        if head.cold_s is not None:
            upstream.cold_until_s = now_s + head.cold_s
        if head.running is None or head.waiting is None:
            return
        upstream.record_load(
            upstreams.LoadReport(
                frozenset({upstream.entry.version}),
                head.running,
                head.waiting,
                upstream.entry.started_ms / 1000,
                0,
                now_s,
                head.slowness,
            )
        )
        if head.slowness is not None:
            self._dependencies.speeds.note(upstream, 1.0, head.slowness)

    def _larger_model(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> str | None:
        """Returns the model to ask next, None if the response is kept."""
        progress, service = accepted.progress, accepted.service
        has_attempt = (
            progress.runs.run_count + 1 < accepted.work.route.max_attempts
        )
        if progress.event_count or not has_attempt:
            return None
        larger = model_cascade.larger_model(
            accepted.work,
            progress.model,
            progress.confidence,
            self._time_left(accepted),
            self._duration_estimate(accepted),
        )
        if larger is None or not self._dependencies.budgets.allows_attempt(
            service.name
        ):
            return None
        if self._dependencies.balancer.are_all_cold(service):
            # The capacity serves another request better.
            return None
        return larger

    def _time_left(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> model_cascade.TimeLeft:
        """Returns the time left until the request's target and deadline."""
        passed_s = self._now_s() - accepted.work.incoming.received_s
        return model_cascade.TimeLeft(
            accepted.work.route.target_latency_s - passed_s,
            self._left_s(accepted.request),
        )

    def _duration_estimate(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> model_cascade.DurationEstimator:
        """Returns a function that estimates the response time of a model."""
        traits, service = accepted.work.traits, accepted.service.name

        def estimate(model: str) -> model_cascade.AnswerDuration:
            head_s = self._response_times.expected_first_byte_s(
                service, model, traits.prompt_tokens
            )
            rest_s = self._response_times.expected_rest_s(
                service, model, traits.max_tokens
            )
            return model_cascade.AnswerDuration(head_s or 0.0, rest_s)

        return estimate

    def _note_answer(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
        larger: str | None,
    ) -> None:
        """Records the response head, and whether another model is asked."""
        progress, service = accepted.progress, accepted.service.name
        version = choice.upstream.entry.version
        if choice.service.engine is None and progress.status < 300:
            self._dependencies.speeds.note_work(
                choice.upstream, service, None, progress.head_s
            )
        tokens = accepted.work.traits.prompt_tokens
        self._response_times.note_first_byte(
            service, progress.model, tokens, progress.head_s
        )
        self._dependencies.rollouts.note_answer(
            service, version, progress.head_s
        )
        self._dependencies.observe(
            "head", accepted.work.route.name, progress.head_s
        )
        if larger is not None:
            self._state.counters.add("retry.low_confidence")
            self._dependencies.note(
                "answer_not_kept",
                request_id=accepted.request.request_id,
                model=progress.model,
                instead=larger,
                confidence=progress.confidence,
                head_s=round(progress.head_s, 3),
            )

    def _note_pace(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> None:
        """Records the time between the first events of a stream."""
        progress, service = accepted.progress, accepted.service.name
        passed_s = self._now_s() - progress.attempt_start_s - progress.head_s
        pace_s = passed_s / (answer_delivery.PACE_EVENTS - 1)
        upstream = choice.upstream
        self._dependencies.rollouts.note_pace(
            service, upstream.entry.version, pace_s
        )
        self._dependencies.speeds.note_work(
            upstream, service, progress.model, pace_s
        )

    def _note_stream_end(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> None:
        """Records the duration of a stream that ended normally."""
        max_tokens = accepted.work.traits.max_tokens
        if answer_delivery.is_stream(accepted.work) and max_tokens:
            progress = accepted.progress
            rest_s = self._now_s() - progress.attempt_start_s - progress.head_s
            self._response_times.note_rest(
                accepted.service.name, progress.model, max_tokens, rest_s
            )

    async def _handle_failure(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
        error: errors.UpstreamError,
    ) -> None:
        """Prepares a retry, or forwards the upstream's error response.

        Raises:
            errors.RefusalError: The request failed.
        """
        progress = accepted.progress
        if progress.held_answer is not None:
            progress.held_answer.note_failed()
        progress.runs.end(error.verdict)
        progress.rejection_count += error.verdict is _NOT_RUN
        progress.tried.add(choice.upstream.entry.host_id)
        await self._note_failure(accepted, choice, error)
        reason = self._refusal_reason(accepted, error)
        if reason is None:
            self._state.counters.add(f"retry.{error.reason.value}")
            self._choose_retry_model(accepted)
        elif (
            isinstance(error, accepted_requests.HttpStatusError)
            and not progress.event_count
            and (
                progress.held_answer is None
                or progress.held_answer.model is None
            )
        ):
            await _forward_error_response(accepted, error.answer)
        else:
            raise errors.RefusalError(
                reason,
                f"{progress.attempt_count} attempts, last error: {error}",
                progress.runs.verdict,
                self._retry_after_s(
                    accepted.work, error.reason in _ABSENT_REASONS
                ),
            ) from error

    def _choose_retry_model(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> None:
        """Selects the model of the retry, unless a stream has begun."""
        if not accepted.progress.event_count:
            accepted.progress.model = model_cascade.model_after_failure(
                accepted.work,
                accepted.progress.model,
                self._time_left(accepted),
                self._duration_estimate(accepted),
            )

    async def _note_failure(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
        error: errors.UpstreamError,
    ) -> None:
        """Records a failure for its upstream, zone, version and request."""
        upstream = choice.upstream
        host_id, version = upstream.entry.host_id, upstream.entry.version
        now_s = self._now_s()
        self._state.counters.add(f"failure.{error.reason.value}")
        self._dependencies.note(
            "attempt_failed",
            request_id=accepted.request.request_id,
            run=error.verdict.value,
            evidence=accepted.progress.evidence,
            upstream=host_id,
            version=version,
            reason=error.reason.value,
            message=str(error),
        )
        if error.reason in _UNSENT_REASONS:
            self._revert_sent_count(accepted)
        if error.reason in _ABSENT_REASONS:
            self._dependencies.refresh_upstreams()
        if error.reason in _SOFTWARE_FAILURES:
            self._dependencies.rollouts.note_failed(
                accepted.service.name, version, host_id
            )
        if error.reason in _UNREACHABLE_REASONS:
            upstream.note_unreachable(now_s)
        if error.reason is reasons.RetryReason.CONNECT_FAILED or (
            error.reason is reasons.RetryReason.CONNECTION_LOST
            and error.is_timeout
        ):
            accepted.progress.unreached.add(host_id)
            self._dependencies.reach.note_unreached(upstream)
        if error.is_timeout:
            self._dependencies.reachability.note_timeout(
                upstream.entry.zone, host_id
            )
        if error.reason is reasons.RetryReason.CONNECT_FAILED:
            upstream.exclude(now_s)
            upstream.connect_failed_s = now_s
        await self._dependencies.suspects.note_failure(
            accepted.request,
            upstream,
            error,
            upstream.entry.started_ms / 1000,
            accepted.progress.attempt_start_s,
        )

    def _revert_sent_count(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> None:
        """Reverts the count of an attempt that reached no upstream."""
        accepted.progress.sent_count -= 1
        if accepted.progress.sent_count:
            self._dependencies.budgets.refund_extra_attempt(
                accepted.service.name
            )

    def _refusal_reason(
        self,
        accepted: accepted_requests.AcceptedRequest,
        error: errors.UpstreamError,
    ) -> reasons.RefusalReason | None:
        """Returns why the request ends, None if a retry follows."""
        route, progress = accepted.work.route, accepted.progress
        if accepted.sink.is_started and not (
            progress.event_count and route.is_resumable
        ):
            return reasons.RefusalReason.STREAM_BROKEN
        may_have_run = progress.runs.verdict is not _NOT_RUN
        if may_have_run and not accepted.request.is_idempotent:
            return reasons.RefusalReason.MAY_HAVE_RUN
        if progress.runs.run_count >= route.max_attempts:
            return reasons.RefusalReason.ATTEMPTS_EXHAUSTED
        if progress.rejection_count > _MAX_REJECTIONS:
            return reasons.RefusalReason.SHED
        if self._left_s(accepted.request) < _MIN_TIME_LEFT_S:
            return reasons.RefusalReason.DEADLINE_TOO_SHORT
        # Without an attempt that was sent, the next one is not an extra one.
        if (
            progress.sent_count
            and not self._dependencies.budgets.allows_attempt(
                accepted.service.name
            )
        ):
            return reasons.RefusalReason.RETRY_BUDGET
        return None

    def _retry_after_s(
        self, work: forwarded_requests.ForwardedWork, is_absent: bool
    ) -> float:
        """Returns the retry-after time; jitter spreads the clients' retries.

        Args:
            work: What is forwarded.
            is_absent: Whether there is no upstream, rather than no capacity.
        """
        unbounded_s = _RETRY_AFTER_SHARE_OF_TARGET * work.route.target_latency_s
        bounded_s = min(_MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, unbounded_s))
        if is_absent:
            bounded_s = _NO_UPSTREAM_RETRY_AFTER_S
        jitter = 0.75 + self._state.environment.random.random() / 2
        return bounded_s * jitter

    def _left_s(self, request: requests.Request) -> float:
        """Returns the seconds until the deadline, always above 0."""
        return max(0.001, request.deadline_s - self._now_s())

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _may_relay(accepted: accepted_requests.AcceptedRequest) -> bool:
    """Returns whether a peer may serve a request in this node's place."""
    progress = accepted.progress
    has_not_run = progress.runs.verdict is _NOT_RUN
    has_attempt = progress.runs.run_count < accepted.work.route.max_attempts
    return (
        not accepted.work.incoming.is_relayed
        and not progress.is_relay_declined
        and not accepted.sink.is_started
        and (has_not_run or (accepted.request.is_idempotent and has_attempt))
    )


def _urgency(
    work: forwarded_requests.ForwardedWork, model: str | None
) -> int | None:
    """Returns the urgency of an attempt at its upstream, None for the default.

    Shorter prefills go first. Those of the smallest model take a tenth of the
    time of the largest model's, so they delay others little. They go first
    also because a low confidence must be known early for a larger model to
    respond in time.
    """
    if not work.route.models:
        return None
    if model == work.route.models[0]:
        return _SMALLEST_MODEL_URGENCY
    tokens = work.traits.prompt_tokens
    longer_than = sum(tokens > bound for bound in _LONG_PROMPT_TOKENS)
    return _DEFAULT_URGENCY + longer_than


async def _forward_error_response(
    accepted: accepted_requests.AcceptedRequest,
    answer: accepted_requests.WholeAnswer,
) -> None:
    """Forwards an upstream's error response."""
    accepted.progress.is_error_forwarded = True
    await accepted.sink.start(
        answer.head.status, answer.head.headers, len(answer.body)
    )
    await accepted.sink.write(answer.body)
    await accepted.sink.finish()
