"""Attempts of a request that is passed on, and what follows a failure."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from lycheegw.coordination import answer_delivery
from lycheegw.coordination import backlogs
from lycheegw.coordination import balancing
from lycheegw.coordination import cascades
from lycheegw.coordination import cold_rates
from lycheegw.coordination import directory
from lycheegw.coordination import fleet_rollouts
from lycheegw.coordination import head_times
from lycheegw.coordination import pending
from lycheegw.coordination import seams
from lycheegw.coordination import shared_budgets
from lycheegw.coordination import suspects
from lycheegw.coordination import waiting_lines
from lycheegw.coordination import zone_reach
from lycheegw.state import errors
from lycheegw.state import forwarded
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import upstreams
from lycheegw.state import verdicts

__all__ = ["HOLD_POLL_S", "MIN_RETRY_AFTER_S", "ForwardAttempts", "Parts"]

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN

# Upstreams that may turn a request down before it is refused; each has to be
# asked in turn, and a busy fleet is not helped by more.
_MAX_REJECTIONS = 3
# How long a request may wait for an upstream that bears no more right now, as
# a share of its objective; beyond this a refusal serves the caller better.
_HOLD_SHARE = 0.125
HOLD_POLL_S = 0.02
# When to come back after a refusal, as a share of the objective, and bounds.
_RETRY_AFTER_SHARE = 0.25
MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 1.0
# The same where no upstream is there. One that crashed is back after some
# seconds, and callers come back once.
_ABSENT_RETRY_AFTER_S = 1.0
# An upstream is given up for silent after this many times the usual time to
# the head, but not before a share of the objective.
_SILENT_FACTOR = 5.0
_SILENT_SHARE_OF_TARGET = {
    routing.RequestKind.IDEMPOTENT: 2.5,
    routing.RequestKind.STREAM: 0.5,
}
# Requests that can't be answered in this time are not begun.
_LEAST_TIME_S = 0.02
# A service without a connection bound gets this many from each node.
_DEFAULT_CONNECTIONS = 64
# Part of the bound on connections that all nodes together use.
_CONNECTION_SHARE = 0.9
# Urgency (0 first) of requests to the smallest of several models, and to the
# others, where each of these lengths makes a prompt less urgent. On the first
# deployment an upstream needs a quarter of a second and more than one second
# for prompts of these lengths.
_SMALLEST_URGENCY = 2
_USUAL_URGENCY = 5
_LONG_PROMPT_TOKENS = (8_000, 25_000)
# Age of a load that was never told, in the log.
_NO_LOAD_AGE_S = 999.0

# Failures that an upstream's software makes by itself.
_OWN_FAILURES = frozenset(
    {
        reasons.RetryReason.SERVER_ERROR,
        reasons.RetryReason.MALFORMED,
        reasons.RetryReason.UNSIGNED,
    }
)
# Nothing of the request reached an upstream.
_UNSENT_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.NO_FREE_CONNECTION,
    }
)
# The process that the list has at an address is not there.
_ABSENT_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.MISDIRECTED,
    }
)
_SILENT_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.HEAD_TIMEOUT,
        reasons.RetryReason.TOKEN_GAP,
    }
)


class Parts(NamedTuple):
    """What serving a request asks.

    Attributes:
        directory: The orders in force.
        balancer: Chooses upstreams.
        times: How long upstreams take.
        backlogs: Prefill work that upstreams have left.
        rates: Bounds what cold upstreams get.
        budgets: Bounds further attempts.
        rollouts: Which version gets a request.
        suspects: Requests whose upstreams died.
        client: Sends requests.
        reach: Zones that can't be reached.
        is_known: Returns whether the store was ever read.
        is_closing: Returns whether the process goes down.
        members: Returns how many nodes share a bound.
        refresh_upstreams: Has the list of upstreams read early.
        note: Writes a line to the log of events.
        observe: Adds a time to a histogram, by name and label.
    """

    directory: directory.Directory
    balancer: balancing.Balancer
    times: head_times.HeadTimes
    backlogs: backlogs.Backlogs
    rates: cold_rates.ColdRates
    budgets: shared_budgets.RetryBudgets
    rollouts: fleet_rollouts.FleetRollouts
    suspects: suspects.Suspects
    client: seams.ForwardClient
    reach: zone_reach.ZoneReach
    is_known: Callable[[], bool]
    is_closing: Callable[[], bool]
    members: Callable[[], int]
    refresh_upstreams: Callable[[], None]
    note: Callable[..., None]
    observe: Callable[[str, str, float], None]


class ForwardAttempts:
    """Makes attempts until a request is answered."""

    def __init__(self, state: node_state.NodeState, parts: Parts):
        self._state = state
        self._parts = parts
        self._times = parts.times
        self._lines = waiting_lines.WaitingLines()

    async def serve(self, served: pending.Pending) -> None:
        """Serves a request to the end of its answer.

        Raises:
            errors.RefusalError: There is none.
        """
        progress = served.progress
        self._parts.suspects.check(served.request)
        self._parts.budgets.note_request(served.service.name)
        progress.model = cascades.first_model(served.work)
        while True:
            choice = await self._choose(served)
            try:
                larger = await self._attempt(served, choice)
            except errors.UpstreamError as error:
                await self._after_failure(served, choice, error)
                if progress.is_answered:
                    return
                continue
            self._parts.suspects.note_success(served.request, choice.upstream)
            if larger is None:
                return
            progress.model = larger
            progress.runs += 1
            progress.tried.clear()

    def connection_limit(self, service: routing.Service) -> int:
        """Returns this node's part of the bound on connections."""
        if not service.max_connections:
            return _DEFAULT_CONNECTIONS
        share = _CONNECTION_SHARE * service.max_connections
        return max(1, int(share / max(1, self._parts.members())))

    async def _choose(self, served: pending.Pending) -> balancing.Choice:
        """Returns the upstream of the next attempt.

        Raises:
            errors.RefusalError: There is none.
        """
        if not self._parts.suspects.is_suspect(served.request):
            return await self._wait_for_choice(served)
        choices: list[balancing.Choice] = []

        async def choose() -> upstreams.Upstream:
            choices.append(await self._wait_for_choice(served))
            return choices[-1].upstream

        # Other requests must not die beside one that may crash its upstream.
        await self._parts.suspects.choose(
            served.request, choose, lambda _: True
        )
        return choices[-1]

    async def _wait_for_choice(
        self, served: pending.Pending
    ) -> balancing.Choice:
        """Returns an upstream; waits a little for one that may get more.

        Raises:
            errors.RefusalError: There is none.
        """
        progress, service = served.progress, served.service
        choice = self._try_to_choose(served, None)
        if isinstance(choice, balancing.NoUpstream) and choice.known:
            choice = await self._wait_in_line(served, choice)
        if isinstance(choice, balancing.NoUpstream) and progress.tried:
            # All that were left failed it; one of them may do better now.
            progress.tried.clear()
            choice = self._ask_balancer(served)
        if isinstance(choice, balancing.Choice):
            return choice
        reason = reasons.RefusalReason.NO_UPSTREAM
        if choice.is_cold:
            reason = reasons.RefusalReason.COLD_LIMIT
        raise errors.RefusalError(
            reason,
            f"none of {choice.known} upstreams of {service.name}",
            progress.verdict,
            self._retry_after_s(served.work, not choice.is_cold),
        )

    async def _wait_in_line(
        self, served: pending.Pending, choice: balancing.NoUpstream
    ) -> balancing.Choice | balancing.NoUpstream:
        """Tries again for a while, after more urgent requests."""
        request, service = served.request, served.service
        hold_s = _HOLD_SHARE * served.work.route.target_s
        until_s = self._now_s() + min(hold_s, self._left_s(request))
        latest: balancing.Choice | balancing.NoUpstream = choice
        with self._lines.wait(service.name, request.priority) as ticket:
            while self._now_s() < until_s:
                await self._state.environment.sleep(HOLD_POLL_S)
                latest = self._try_to_choose(served, ticket)
                if isinstance(latest, balancing.Choice):
                    break
        return latest

    def _try_to_choose(
        self, served: pending.Pending, ticket: waiting_lines.Ticket | None
    ) -> balancing.Choice | balancing.NoUpstream:
        """Returns an upstream unless others in line go first."""
        if not self._lines.may_try(
            served.service.name, served.request.priority, ticket
        ):
            return balancing.NoUpstream(1, True)
        return self._ask_balancer(served)

    def _ask_balancer(
        self, served: pending.Pending
    ) -> balancing.Choice | balancing.NoUpstream:
        return self._parts.balancer.choose(
            served.request,
            served.work,
            served.service,
            served.progress.model,
            served.progress.tried,
            served.progress.version,
        )

    async def _attempt(
        self, served: pending.Pending, choice: balancing.Choice
    ) -> str | None:
        """Makes one attempt; returns the model to ask instead, if any.

        Raises:
            errors.UpstreamError: It failed.
        """
        progress = served.progress
        version = choice.upstream.entry.version
        self._note_attempt(served, choice)
        call: seams.ForwardCall | None = None
        try:
            with self._parts.backlogs.track(
                choice.upstream.entry.host_id, choice.prefill_s
            ):
                call = await self._parts.client.send(
                    self._encode(served, choice)
                )
                # Before this the request was on no connection.
                progress.is_out = True
                head = await self._head(served, call, version)
            progress.head_s = self._now_s() - progress.begun_s
            progress.confidence = head.confidence
            self._take_load(choice, head)
            await answer_delivery.check(head, call)
            larger = self._larger_model(served)
            self._note_answer(served, version, larger)
            if larger is not None:
                call.abort()
                return larger
            await answer_delivery.deliver(
                served,
                call,
                head,
                version,
                lambda: self._note_pace(served, version),
            )
            call.finish()
            self._note_whole(served)
            return None
        except BaseException:
            if call is not None:
                call.abort()
            raise
        finally:
            choice.upstream.in_flight -= 1
            self._parts.rollouts.note_ended(served.service.name, version)

    def _note_attempt(
        self, served: pending.Pending, choice: balancing.Choice
    ) -> None:
        """Counts an attempt wherever attempts are counted."""
        upstream, service = choice.upstream, served.service
        progress, now_s = served.progress, self._now_s()
        progress.sends += 1
        progress.begun_s = now_s
        progress.upstream = upstream.entry.host_id
        if progress.arrivals:
            self._parts.budgets.note_extra(service.name)
        progress.arrivals += 1
        self._parts.rates.note_sent(upstream, service)
        self._parts.rollouts.note_sent(service.name, upstream.entry.version)
        upstream.note_sent()
        load_age_s = min(_NO_LOAD_AGE_S, upstream.report_age_s(now_s))
        self._parts.note(
            "attempt",
            request_id=served.request.request_id,
            upstream=upstream.entry.host_id,
            version=upstream.entry.version,
            model=progress.model,
            number=progress.sends,
            why=choice.why,
            prompt=balancing.affinity_key(served.work.traits)[0],
            tokens=served.work.traits.prompt_tokens,
            load=round(upstream.estimated_load(now_s), 1),
            load_age_s=round(load_age_s, 2),
            wait_s=round(choice.wait_s, 2),
            left_s=round(self._left_s(served.request), 3),
            last_event=progress.last_event,
        )

    def _encode(
        self, served: pending.Pending, choice: balancing.Choice
    ) -> seams.ForwardAttempt:
        progress = served.progress
        return seams.ForwardAttempt(
            served.work,
            choice.upstream.entry,
            served.request.organisation,
            progress.model,
            self._left_s(served.request),
            progress.last_event if progress.events else None,
            _urgency(served.work, progress.model),
            self.connection_limit(served.service),
        )

    async def _head(
        self, served: pending.Pending, call: seams.ForwardCall, version: str
    ) -> forwarded.AnswerHead:
        """Returns the head of the answer; raises errors.UpstreamError."""
        limit_s = self._head_limit_s(served)
        try:
            async with asyncio.timeout(limit_s):
                return await call.head()
        except TimeoutError:
            self._times.note_at_least(
                served.service.name,
                served.progress.model,
                served.work.traits.prompt_tokens,
                limit_s or 0.0,
            )
            # A slow version would else be judged by its fast answers alone.
            self._parts.rollouts.note_silent(
                served.service.name, version, limit_s or 0.0
            )
            raise errors.UpstreamError(
                reasons.RetryReason.HEAD_TIMEOUT,
                f"no head in {limit_s:.2f} s",
                _MAY_HAVE_RUN,
                is_silence=True,
            ) from None

    def _head_limit_s(self, served: pending.Pending) -> float | None:
        """Returns how long an upstream may be silent, None for no limit."""
        route, progress = served.work.route, served.progress
        if not served.request.is_idempotent:
            return None
        if progress.runs + 1 >= route.max_attempts:
            return None
        least_s = _SILENT_SHARE_OF_TARGET[route.kind] * route.target_s
        usual_s = self._times.expected_s(
            served.service.name,
            progress.model,
            served.work.traits.prompt_tokens,
        )
        limit_s = max(least_s, _SILENT_FACTOR * (usual_s or 0.0))
        # Another upstream begins anew; it needs the usual time, too.
        if limit_s + (usual_s or least_s) > self._left_s(served.request):
            return None
        return limit_s

    def _take_load(
        self, choice: balancing.Choice, head: forwarded.AnswerHead
    ) -> None:
        """Takes what an answer tells of its upstream."""
        upstream = choice.upstream
        now_s = self._now_s()
        upstream.note_reachable()
        upstream.end_doubt(now_s, choice.service.cold_s)
        self._parts.reach.note_answer(upstream.entry.zone)
        if head.cold_s is not None:
            upstream.cold_until_s = now_s + head.cold_s
        if head.running is None or head.waiting is None:
            return
        upstream.take_load(
            upstreams.LoadReport(
                frozenset({upstream.entry.version}),
                head.running,
                head.waiting,
                upstream.entry.started_ms / 1000,
                0,
                now_s,
            )
        )

    def _larger_model(self, served: pending.Pending) -> str | None:
        """Returns the model that is to answer instead, None for none."""
        progress, service = served.progress, served.service
        has_attempt = progress.runs + 1 < served.work.route.max_attempts
        if progress.events or not has_attempt:
            return None
        larger = cascades.larger_model(
            served.work,
            progress.model,
            progress.confidence,
            self._clock(served),
            self._expected(served),
        )
        if larger is None or not self._parts.budgets.has_room(service.name):
            return None
        if self._parts.balancer.is_scarce(service):
            # The place serves another request better.
            return None
        return larger

    def _clock(self, served: pending.Pending) -> cascades.Clock:
        """Returns where a request stands in its time."""
        passed_s = self._now_s() - served.work.incoming.received_s
        return cascades.Clock(
            served.work.route.target_s - passed_s,
            self._left_s(served.request),
        )

    def _expected(self, served: pending.Pending) -> cascades.Expected:
        """Returns what tells how long an answer usually takes."""
        traits, service = served.work.traits, served.service.name

        def expected(model: str) -> cascades.Duration:
            head_s = self._times.expected_s(
                service, model, traits.prompt_tokens
            )
            rest_s = self._times.expected_rest_s(
                service, model, traits.max_tokens
            )
            return cascades.Duration(head_s or 0.0, rest_s)

        return expected

    def _note_answer(
        self, served: pending.Pending, version: str, larger: str | None
    ) -> None:
        """Counts an answer that is kept, or asked for again."""
        progress, service = served.progress, served.service.name
        tokens = served.work.traits.prompt_tokens
        self._times.note(service, progress.model, tokens, progress.head_s)
        self._parts.rollouts.note_answer(service, version, progress.head_s)
        self._parts.observe("head", served.work.route.name, progress.head_s)
        if larger is not None:
            self._state.counters.add("retry.low_confidence")
            self._parts.note(
                "answer_not_kept",
                request_id=served.request.request_id,
                model=progress.model,
                instead=larger,
                confidence=progress.confidence,
                head_s=round(progress.head_s, 3),
            )

    def _note_pace(self, served: pending.Pending, version: str) -> None:
        """Takes the time between the first events of a stream."""
        progress = served.progress
        passed_s = self._now_s() - progress.begun_s - progress.head_s
        self._parts.rollouts.note_pace(
            served.service.name,
            version,
            passed_s / (answer_delivery.PACE_EVENTS - 1),
        )

    def _note_whole(self, served: pending.Pending) -> None:
        """Takes the time of a stream that ended whole."""
        max_tokens = served.work.traits.max_tokens
        if answer_delivery.is_stream(served.work) and max_tokens:
            progress = served.progress
            rest_s = self._now_s() - progress.begun_s - progress.head_s
            self._times.note_rest(
                served.service.name, progress.model, max_tokens, rest_s
            )

    async def _after_failure(
        self,
        served: pending.Pending,
        choice: balancing.Choice,
        error: errors.UpstreamError,
    ) -> None:
        """Returns where the request goes out again, or was answered.

        Raises:
            errors.RefusalError: It ends here.
        """
        progress = served.progress
        progress.is_out = False
        progress.verdict = progress.verdict.worse(error.verdict)
        if error.verdict is _NOT_RUN:
            progress.rejections += 1
        else:
            progress.runs += 1
        progress.tried.add(choice.upstream.entry.host_id)
        await self._note_failure(served, choice, error)
        reason = self._end_reason(served, error)
        if reason is None:
            self._state.counters.add(f"retry.{error.reason.value}")
            self._choose_model_anew(served)
        elif isinstance(error, pending.AnsweredError) and not progress.events:
            await _pass_on_failure(served, error.answer)
        else:
            raise errors.RefusalError(
                reason,
                f"{progress.sends} attempts, the last: {error}",
                progress.verdict,
                self._retry_after_s(
                    served.work, error.reason in _ABSENT_REASONS
                ),
            ) from error

    def _choose_model_anew(self, served: pending.Pending) -> None:
        """Takes the model that still is in time, before any event is out."""
        if not served.progress.events:
            served.progress.model = cascades.model_after_failure(
                served.work,
                served.progress.model,
                self._clock(served),
                self._expected(served),
            )

    async def _note_failure(
        self,
        served: pending.Pending,
        choice: balancing.Choice,
        error: errors.UpstreamError,
    ) -> None:
        """Takes what a failure tells of its upstream, and of the request."""
        upstream = choice.upstream
        host_id, version = upstream.entry.host_id, upstream.entry.version
        now_s = self._now_s()
        self._state.counters.add(f"failure.{error.reason.value}")
        self._parts.note(
            "attempt_failed",
            request_id=served.request.request_id,
            upstream=host_id,
            version=version,
            reason=error.reason.value,
            run=error.verdict.value,
            message=str(error),
        )
        if error.reason in _UNSENT_REASONS:
            self._refund_arrival(served)
        if error.reason in _ABSENT_REASONS:
            self._parts.refresh_upstreams()
        if error.reason in _OWN_FAILURES:
            self._parts.rollouts.note_failed(
                served.service.name, version, host_id
            )
        if error.reason in _SILENT_REASONS:
            upstream.note_unreachable(now_s)
        if error.is_silence:
            self._parts.reach.note_silent(upstream.entry.zone, host_id)
        if error.reason is reasons.RetryReason.CONNECT_FAILED:
            upstream.take_out(now_s)
            upstream.doubted_s = now_s
        await self._parts.suspects.note_failure(
            served.request,
            upstream,
            error,
            upstream.entry.started_ms / 1000,
            served.progress.begun_s,
        )

    def _refund_arrival(self, served: pending.Pending) -> None:
        """Takes back the count of an attempt that reached no upstream."""
        served.progress.arrivals -= 1
        if served.progress.arrivals:
            self._parts.budgets.refund_extra(served.service.name)

    def _end_reason(
        self, served: pending.Pending, error: errors.UpstreamError
    ) -> reasons.RefusalReason | None:
        """Returns why no attempt follows, None where one does."""
        route, progress = served.work.route, served.progress
        if progress.events and not route.is_resumable:
            return reasons.RefusalReason.STREAM_BROKEN
        if error.verdict is not _NOT_RUN and not served.request.is_idempotent:
            return reasons.RefusalReason.MAY_HAVE_RUN
        if progress.runs >= route.max_attempts:
            return reasons.RefusalReason.ATTEMPTS_EXHAUSTED
        if progress.rejections > _MAX_REJECTIONS:
            return reasons.RefusalReason.SHED
        if self._left_s(served.request) < _LEAST_TIME_S:
            return reasons.RefusalReason.DEADLINE_TOO_SHORT
        if not self._parts.budgets.has_room(served.service.name):
            return reasons.RefusalReason.RETRY_BUDGET
        return None

    def _retry_after_s(
        self, work: forwarded.ForwardedWork, is_absent: bool
    ) -> float:
        """Returns when to come back; jitter keeps callers apart.

        Args:
            work: The request.
            is_absent: Whether there is no upstream, and not just no room.
        """
        wanted_s = _RETRY_AFTER_SHARE * work.route.target_s
        bounded_s = min(_MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wanted_s))
        if is_absent:
            bounded_s = _ABSENT_RETRY_AFTER_S
        jitter = 0.75 + self._state.environment.random.random() / 2
        return bounded_s * jitter

    def _left_s(self, request: requests.Request) -> float:
        """Returns seconds until the deadline, never 0."""
        return max(0.001, request.deadline_s - self._now_s())

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _urgency(work: forwarded.ForwardedWork, model: str | None) -> int | None:
    """Returns how urgent an attempt is at its upstream, None for the usual.

    Shorter prefills go first. Those of the smallest model take a tenth of the
    time of the largest: they delay the others little, and a low confidence
    leaves time for a larger model only if it is known early.
    """
    if not work.route.models:
        return None
    if model == work.route.models[0]:
        return _SMALLEST_URGENCY
    tokens = work.traits.prompt_tokens
    longer_than = sum(tokens > bound for bound in _LONG_PROMPT_TOKENS)
    return _USUAL_URGENCY + longer_than


async def _pass_on_failure(
    served: pending.Pending, answer: pending.WholeAnswer
) -> None:
    """Passes an upstream's own failure on."""
    served.progress.is_answered = True
    await served.sink.start(
        answer.head.status, answer.head.headers, len(answer.body)
    )
    await served.sink.write(answer.body)
    await served.sink.finish()
