"""Makes the attempts of a forwarded request until one is answered.

After each failure, the route, the verdict on whether the attempt ran, the time
left and the retry budget decide whether another attempt follows.
"""

import asyncio

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import answer_delivery
from lycheegw.coordination import attempt_limits
from lycheegw.coordination import attempt_records
from lycheegw.coordination import forward_dependencies
from lycheegw.coordination import held_answers
from lycheegw.coordination import interfaces
from lycheegw.coordination import model_cascade
from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import request_admission
from lycheegw.coordination.load import wait_queues
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import silence_timeouts
from lycheegw.state import upstreams
from lycheegw.state import verdicts

__all__ = [
    "WAIT_POLL_INTERVAL_S",
    "ForwardAttempts",
]

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN
_RAN = verdicts.RunVerdict.RAN

WAIT_POLL_INTERVAL_S = 0.02
# Shortest time after which a request that is held back is judged again.
_HOLD_POLL_INTERVAL_S = 0.05


class ForwardAttempts:
    """Makes the attempts of accepted requests and handles their failures.

    Attributes:
        limits: Time limits of the attempts.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        dependencies: forward_dependencies.Dependencies,
    ):
        self._state = state
        self._dependencies = dependencies
        self._response_times = dependencies.timings
        self.limits = attempt_limits.AttemptLimits(state, dependencies)
        self._records = attempt_records.AttemptRecords(
            state, dependencies, self.limits
        )
        self._wait_queue = wait_queues.WaitQueues()
        self._held = wait_queues.WaitQueues()

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
                    self._records.note_outdated_choice(
                        accepted, choice, self._new_objections(accepted, choice)
                    )
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
                self.limits.retry_after_s(accepted.work, False),
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
        choice = await self._choose_or_queue(accepted)
        if isinstance(choice, balancing.NoUpstream) and progress.tried:
            # All usable upstreams have failed; one may succeed by now.
            progress.tried.clear()
            choice = self._choose_upstream(accepted)
        if isinstance(choice, balancing.Choice):
            return await self._admit(accepted, choice)
        raise self.limits.no_upstream_error(accepted, choice)

    async def _choose_or_queue(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> balancing.Choice | balancing.NoUpstream:
        """Returns an upstream, at once or when one is below its limit again."""
        choice = self._choose_in_turn(accepted, None)
        if (
            isinstance(choice, balancing.NoUpstream)
            and choice.pool_size
            and choice.pause_s <= self.limits.max_wait_s(accepted)
        ):
            return await self._wait_in_queue(accepted, choice)
        return choice

    async def _wait_in_queue(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.NoUpstream,
    ) -> balancing.Choice | balancing.NoUpstream:
        """Waits for an upstream, in order of priority and arrival."""
        request, service = accepted.request, accepted.service
        until_s = self._now_s() + self.limits.max_wait_s(accepted)
        latest: balancing.Choice | balancing.NoUpstream = choice
        with self._wait_queue.wait(service.name, request.priority) as ticket:
            while self._now_s() < until_s:
                await self._state.environment.sleep(WAIT_POLL_INTERVAL_S)
                latest = self._choose_in_turn(accepted, ticket)
                if isinstance(latest, balancing.Choice):
                    break
        return latest

    async def _admit(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> balancing.Choice:
        """Returns the upstream of a new request once it may be sent.

        Raises:
            errors.RefusalError: It can't be served in time.
        """
        if accepted.service.engine is None or accepted.progress.attempt_count:
            return choice
        decision = self._dependencies.admission.judge(
            accepted, choice, self._held_s(accepted)
        )
        if decision.verdict is request_admission.Verdict.HOLD:
            choice, decision = await self._hold(accepted, choice, decision)
        self._state.counters.add(
            f"admission.{decision.verdict.value}.{decision.reason.value}"
        )
        if decision.verdict is request_admission.Verdict.REFUSE:
            raise errors.RefusalError(
                reasons.RefusalReason.WAIT_TOO_LONG,
                f"a wait of {choice.wait_s:.2f} s is expected, and"
                f" {self.limits.left_s(accepted.request):.2f} s are left",
                accepted.progress.runs.verdict,
                # Clients return spread out.
                decision.retry_after_s
                * (0.75 + self._state.environment.random.random() / 4),
            )
        return choice

    def _held_s(self, accepted: accepted_requests.AcceptedRequest) -> float:
        """Returns for how long a request has been held back so far."""
        start_s = accepted.progress.hold_start_s
        return 0.0 if start_s is None else self._now_s() - start_s

    async def _hold(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
        decision: request_admission.Decision,
    ) -> tuple[balancing.Choice, request_admission.Decision]:
        """Holds a request until there is room or its time gets short.

        Raises:
            errors.RefusalError: No upstream is left, or the process is ending.
        """
        request, service = accepted.request, accepted.service
        backlogs = self._dependencies.backlogs
        start_s = self._now_s()
        if accepted.progress.hold_start_s is None:
            accepted.progress.hold_start_s = start_s
        due_s = start_s + decision.hold_s
        reason = decision.reason
        self._state.counters.add(f"admission.hold.{reason.value}")
        position = self._dependencies.admission.position(accepted)
        with self._held.wait(service.name, position, due_s) as ticket:
            while decision.verdict is request_admission.Verdict.HOLD:
                # The estimate may still leave some time when it is due.
                wait_s = min(backlogs.interval_s(), due_s - self._now_s())
                await self._state.environment.sleep(
                    max(_HOLD_POLL_INTERVAL_S, wait_s)
                )
                if self._dependencies.is_closing():
                    # Its answer could outlast the process.
                    raise attempt_limits.shutting_down_error()
                if self._now_s() < due_s and not self._held.may_proceed(
                    service.name, position, ticket
                ):
                    continue
                await backlogs.refresh()
                latest = await self._choose_or_queue(accepted)
                if isinstance(latest, balancing.NoUpstream):
                    raise self.limits.no_upstream_error(accepted, latest)
                choice = latest
                decision = self._dependencies.admission.judge(
                    accepted, choice, self._held_s(accepted)
                )
        held_s = self._now_s() - start_s
        self._dependencies.observe("hold", accepted.work.route.name, held_s)
        self._dependencies.note(
            "request_held",
            request_id=request.request_id,
            why=reason.value,
            released=decision.reason.value,
            held_s=round(held_s, 3),
            limit_s=round(due_s - start_s, 3),
            wait_s=round(choice.wait_s, 2),
            left_s=round(self.limits.left_s(request), 3),
        )
        return choice, decision

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
        progress.urgency = self._dependencies.admission.urgency(
            accepted, choice
        )
        self._records.note_attempt(accepted, choice, progress.urgency)
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
                self._records.note_sent(accepted)
                head = await self._wait_for_head(accepted, call, choice)
            progress.head_s = self._now_s() - progress.attempt_start_s
            progress.status = head.status
            evidence = self._records.note_evidence(accepted, head)
            progress.confidence = head.confidence
            self._records.note_load(choice, head)
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
            # A rejection comes sooner than any head of an answer.
            self._dependencies.admission.note_head(
                accepted.service.name, progress.model, choice, progress.head_s
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
            self._records.note_answer(accepted, choice, larger)
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
                    answer,
                    lambda: self._records.note_call_ended(accepted, choice),
                )
                if not self._may_hold(accepted, choice):
                    progress.held_answer.drop()
                return larger
        except BaseException:
            if call is not None:
                call.abort()
            self._records.note_call_ended(accepted, choice)
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
                lambda: self._records.note_pace(accepted, answer.choice),
                lambda: self._may_try_elsewhere(accepted, answer.choice),
            )
            answer.call.finish()
            self._records.note_stream_end(accepted)
        except BaseException:
            answer.call.abort()
            raise
        finally:
            accepted.sink.memory.resize(memory_before)
            self._records.note_call_ended(accepted, answer.choice)

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
            choice.upstream.entry,
            self.limits.connection_limit(accepted.service),
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
            lambda: self.limits.left_s(accepted.request),
            progress.last_event if progress.event_count else None,
            progress.urgency,
            self.limits.connection_limit(accepted.service),
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

    async def _wait_for_head(
        self,
        accepted: accepted_requests.AcceptedRequest,
        call: interfaces.ForwardCall,
        choice: balancing.Choice,
    ) -> forwarded_requests.ResponseHead:
        """Returns the response head; raises UpstreamError on a timeout."""
        timeout_s = self.limits.head_timeout_s(accepted)
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
            and self.limits.left_s(accepted.request)
            >= attempt_limits.MIN_TIME_LEFT_S
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
                left_s=round(self.limits.left_s(accepted.request), 3),
            )
        return is_option

    def _outlook(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> model_cascade.Outlook | None:
        """Returns what the load means for an answer of the largest model.

        The upstream is the one that would be chosen now. While the wait there
        is one that all requests bear, the usual times decide (None).
        """
        confidence = accepted.progress.confidence
        if confidence is None or not model_cascade.is_low(confidence):
            return None
        if not model_cascade.may_choose_model(accepted.work):
            return None
        admission = self._dependencies.admission
        largest = accepted.work.route.models[-1]
        choice = self._dependencies.balancer.choose(
            accepted.request,
            accepted.work,
            accepted.service,
            largest,
            set(),
            accepted.progress.version,
        )
        if isinstance(choice, balancing.NoUpstream):
            # The answer that would be given up may have the last connection.
            return None
        facts = admission.facts(accepted, choice, largest)
        if not (facts.is_room_short or facts.is_crowded):
            return None
        return model_cascade.Outlook(
            facts.head.chance_within(facts.target_left_s),
            self._dependencies.late_worth,
            facts.is_room_short,
            facts.is_crowded,
        )

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
            self.limits.time_left(accepted),
            self.limits.duration_estimate(accepted),
            self._outlook(accepted),
        )
        if larger is None or not self._dependencies.budgets.allows_attempt(
            service.name
        ):
            return None
        if self._dependencies.balancer.are_all_cold(service):
            # The capacity serves another request better.
            return None
        return larger

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
        await self._records.note_failure(accepted, choice, error)
        reason = self.limits.refusal_reason(accepted, error)
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
                self.limits.retry_after_s(
                    accepted.work, error.reason in attempt_limits.ABSENT_REASONS
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
                self.limits.time_left(accepted),
                self.limits.duration_estimate(accepted),
            )

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
