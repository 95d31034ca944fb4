"""Records attempts and their results in load, budgets, versions and the log."""

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import answer_delivery
from lycheegw.coordination import attempt_limits
from lycheegw.coordination import forward_dependencies
from lycheegw.coordination.load import balancing
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import run_evidence
from lycheegw.state import upstreams
from lycheegw.state import verdicts

__all__ = ["AttemptRecords"]

_NOT_RUN = verdicts.RunVerdict.NOT_RUN

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
# Failures by which an upstream seems to be unreachable.
_UNREACHABLE_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.HEAD_TIMEOUT,
        reasons.RetryReason.TOKEN_GAP,
    }
)


class AttemptRecords:
    """Records the attempts, responses and failures of accepted requests."""

    def __init__(
        self,
        state: node_state.NodeState,
        dependencies: forward_dependencies.Dependencies,
        limits: attempt_limits.AttemptLimits,
    ):
        self._state = state
        self._dependencies = dependencies
        self._limits = limits
        self._response_times = dependencies.timings

    def note_attempt(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
        urgency: int | None,
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
            prefill_s=round(choice.prefill_s, 3),
            urgency=urgency,
            wait_age_s=round(wait_age_s, 2),
            speed=round(choice.speed, 2),
            left_s=round(self._limits.left_s(accepted.request), 3),
            last_event=progress.last_event,
        )

    def note_evidence(
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

    def note_sent(self, accepted: accepted_requests.AcceptedRequest) -> None:
        """Records how late, and by how old a list, an attempt was sent."""
        progress, route = accepted.progress, accepted.work.route.name
        if progress.held_answer is not None:
            progress.held_answer.note_sent()
        progress.send_delay_s = self._now_s() - progress.attempt_start_s
        progress.list_age_s = self._dependencies.list_age_s()
        self._dependencies.observe("send_delay", route, progress.send_delay_s)
        self._dependencies.observe("list_age", route, progress.list_age_s)

    def note_load(
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

    def note_answer(
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

    def note_pace(
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

    def note_stream_end(
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

    def note_call_ended(
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

    def note_outdated_choice(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
        objections: frozenset[str],
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
            message=", ".join(sorted(objections)),
        )
        self.revert_sent_count(accepted)
        self._dependencies.suspects.release(accepted.request, choice.upstream)

    async def note_failure(
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
            self.revert_sent_count(accepted)
        if error.reason in attempt_limits.ABSENT_REASONS:
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

    def revert_sent_count(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> None:
        """Reverts the count of an attempt that reached no upstream."""
        accepted.progress.sent_count -= 1
        if accepted.progress.sent_count:
            self._dependencies.budgets.refund_extra_attempt(
                accepted.service.name
            )

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
