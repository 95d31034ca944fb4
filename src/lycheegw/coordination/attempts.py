"""Makes the attempts of a model or service call.

Selects the upstream of each attempt and decides by verdict, time left and
retry budget whether a failed attempt is retried.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import bad_version_detector
from lycheegw.coordination import bill_messages
from lycheegw.coordination import billing
from lycheegw.coordination import ejections
from lycheegw.coordination import interfaces
from lycheegw.coordination import key_claims
from lycheegw.coordination import retries
from lycheegw.coordination import session_pins
from lycheegw.coordination import slots
from lycheegw.coordination import suspects
from lycheegw.coordination import upstream_selection
from lycheegw.coordination import version_plans
from lycheegw.coordination.load import admission
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import upstreams
from lycheegw.state import verdicts

__all__ = ["Attempts", "Deadline", "Dependencies", "Progress"]

_DEFAULT_RETRY_AFTER_S = 1.0
_MIN_RETRY_AFTER_S = 0.05


class Dependencies(NamedTuple):
    """The collaborators needed to run model and service calls."""

    admission: admission.Admission
    billing: billing.Billing
    choose: upstream_selection.Selector
    key_claims: key_claims.KeyClaims
    planner: version_plans.Planner
    retry_budget: retries.RetryBudget
    slots: slots.Slots
    suspects: suspects.Suspects
    upstream_client: interfaces.UpstreamClient
    sessions: session_pins.SessionPinner
    bad_version_detector: bad_version_detector.BadVersionDetector


class Progress:
    """The state of a request over all its attempts.

    Attributes:
        attempts: Number of attempts begun.
        runs: Verdict over all attempts.
        attempt_start_s: Monotonic time at which the last attempt was sent.
        started_at_s: Wall time at which the last attempt's upstream started.
        tried: Ids of upstreams that failed the request in this round.
        retry_at_s_by_id: Monotonic time from which an upstream may be retried,
            for those that sent a retry-after time.
        text: Text that the current step has received so far.
        tokens: Tokens in `text`.
        generated_tokens: Tokens generated over all attempts and steps.
        cost: Cost of the tokens of the response.
        is_started: Whether a part of the response was sent to the client.
        timeout: Timeout at the deadline, None if none is set.
    """

    def __init__(self) -> None:
        self.attempts = 0
        self.runs = verdicts.RunLedger()
        self.attempt_start_s = 0.0
        self.started_at_s = 0.0
        self.tried: set[str] = set()
        self.retry_at_s_by_id: dict[str, float] = {}
        self.text = ""
        self.tokens = 0
        self.generated_tokens = 0
        self.cost = 0.0
        self.is_started = False
        self.timeout: asyncio.Timeout | None = None

    def start_step(self) -> None:
        """Clears the text of the previous step but keeps its cost."""
        self.text = ""
        self.tokens = 0
        self.tried = set()

    def discard(self) -> None:
        """Clears the text and cost of a response that will not be sent."""
        self.start_step()
        self.cost = 0.0


class Attempts:
    """Makes the attempts of requests and decides on retries."""

    def __init__(self, state: node_state.NodeState, dependencies: Dependencies):
        self._state = state
        self._dependencies = dependencies
        self._ejections = ejections.Ejections(state)
        self._min_times = retries.MinFirstByteTimes()

    def enforce_deadline(
        self, request: requests.Request, progress: Progress
    ) -> "Deadline":
        """Returns a context that raises a refusal at the request's deadline."""
        left_s = request.deadline_s - self._state.environment.monotonic_s()
        return Deadline(left_s, progress)

    async def choose(
        self,
        request: requests.Request,
        pool: str,
        version: str | None,
        progress: Progress,
    ) -> upstreams.Upstream:
        """Returns an upstream with a free slot for the next attempt.

        Raises:
            errors.RefusalError: No upstream had a free slot in time.
        """

        async def choose() -> upstreams.Upstream:
            return await self._choose(request, pool, version, progress)

        return await self._dependencies.suspects.choose(
            request, choose, self._dependencies.slots.has_free
        )

    async def _choose(
        self,
        request: requests.Request,
        pool: str,
        version: str | None,
        progress: Progress,
    ) -> upstreams.Upstream:
        def find_candidates() -> Sequence[list[upstreams.Upstream]]:
            options = self._candidates(pool, version, progress)
            return upstream_selection.split_by_zone(self._state, options)

        upstream = await self._dependencies.slots.pick(
            request, pool, find_candidates, self._dependencies.choose
        )
        if upstream is None:
            raise errors.RefusalError(
                reasons.RefusalReason.NO_UPSTREAM,
                f"no upstream available for {pool}@{version or 'any'}",
                progress.runs.verdict,
                self._retry_after_s(progress),
            )
        self._ejections.note_chosen(upstream)
        return upstream

    def _candidates(
        self, pool: str, version: str | None, progress: Progress
    ) -> list[upstreams.Upstream]:
        """Returns untried upstreams; starts a new round if all have failed."""
        options = self._untried_candidates(pool, version, progress)
        if not options and progress.tried:
            # Often only the connection failed; the attempts are limited.
            progress.tried = self._in_retry_after(progress)
            options = self._untried_candidates(pool, version, progress)
        return options

    def _untried_candidates(
        self, pool: str, version: str | None, progress: Progress
    ) -> list[upstreams.Upstream]:
        """Returns untried upstreams, ejected ones only as a last resort."""
        tried = progress.tried
        ejected = (
            self._ejections.ejected()
            | self._dependencies.suspects.crashed_upstreams()
        )
        return upstream_selection.candidates(
            self._state, pool, version, tried | ejected
        ) or upstream_selection.candidates(self._state, pool, version, tried)

    def _in_retry_after(self, progress: Progress) -> set[str]:
        """Returns the upstreams whose retry-after time has not passed."""
        now_s = self._state.environment.monotonic_s()
        return {
            host_id
            for host_id, retry_at_s in progress.retry_at_s_by_id.items()
            if now_s < retry_at_s
        }

    def _retry_after_s(self, progress: Progress) -> float:
        """Returns the retry-after time, the shortest of any upstream."""
        now_s = self._state.environment.monotonic_s()
        waits = [
            retry_at_s - now_s
            for retry_at_s in progress.retry_at_s_by_id.values()
        ]
        return max(
            _MIN_RETRY_AFTER_S, min(waits, default=_DEFAULT_RETRY_AFTER_S)
        )

    @contextlib.asynccontextmanager
    async def attempt(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        progress: Progress,
        check_allowed: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[None]:
        """Counts an attempt and holds its slot until the block ends.

        The request may have run from the start of the block on, unless the
        block raises an error with another verdict.

        Args:
            request: The request.
            upstream: The upstream of the attempt.
            progress: State of the request.
            check_allowed: Raises errors.RefusalError if the request may not be
                sent now.
        """
        progress.attempts += 1
        self._state.trace(
            request.request_id,
            "attempt",
            upstream=upstream.entry.host_id,
            zone=upstream.entry.zone,
        )
        try:
            async with self._dependencies.slots.hold(upstream, request):
                check_allowed()
                self._note_sent(upstream, progress)
                yield
                progress.runs.end(verdicts.RunVerdict.RAN)
        except errors.UpstreamError as error:
            progress.runs.end(error.verdict)
            # `handle_failure` counts a crash before it releases a suspect.
            raise
        except BaseException:
            self._dependencies.suspects.release(request, upstream)
            raise
        self._dependencies.suspects.note_success(request, upstream)
        self._ejections.note_success(upstream)

    def _note_sent(
        self, upstream: upstreams.Upstream, progress: Progress
    ) -> None:
        progress.runs.begin()
        progress.attempt_start_s = self._state.environment.monotonic_s()
        report = upstream.report
        progress.started_at_s = report.started_at_s if report else 0.0

    def note_head(
        self, upstream: upstreams.Upstream, progress: Progress
    ) -> None:
        """Records the time to the response head."""
        now_s = self._state.environment.monotonic_s()
        self._min_times.add(
            upstream.entry.pool, now_s - progress.attempt_start_s
        )

    def head_timeout_s(
        self, request: requests.Request, progress: Progress
    ) -> float:
        """Returns how long the attempt may wait for its response head."""
        return retries.attempt_timeout_s(
            request, self.left_s(request), progress.attempts
        )

    async def handle_failure(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        error: errors.UpstreamError,
        progress: Progress,
    ) -> None:
        """Records a failed attempt and waits for the backoff before a retry.

        Raises:
            errors.RefusalError: The request is not retried.
        """
        self._note_failure(request, upstream, error, progress)
        self._ejections.note_failure(upstream, error, progress.attempt_start_s)
        await self._dependencies.suspects.note_failure(
            request,
            upstream,
            error,
            progress.started_at_s,
            progress.attempt_start_s,
        )
        if error.reason is reasons.RetryReason.CONNECT_FAILED:
            upstream.note_unreachable(self._state.environment.monotonic_s())
        pause_s = retries.backoff_s(
            progress.attempts, self._state.environment.random
        )
        pool = upstream.entry.pool
        needed_s = pause_s + self._min_times.min_s(pool)
        reason = self._refusal_reason(request, progress, needed_s)
        if reason is not None:
            raise self._refusal(reason, error, progress)
        self._dependencies.suspects.refuse_blocked(request)
        self._state.counters.add(f"retry.{error.reason.value}")
        self._state.trace(
            request.request_id, "retry", reason=error.reason.value
        )
        await self._state.environment.sleep(pause_s)

    def _note_failure(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        error: errors.UpstreamError,
        progress: Progress,
    ) -> None:
        host_id = upstream.entry.host_id
        progress.tried.add(host_id)
        if error.retry_after_s is not None:
            now_s = self._state.environment.monotonic_s()
            progress.retry_at_s_by_id[host_id] = now_s + error.retry_after_s
        self._state.counters.add(f"failure.{error.reason.value}")
        self._state.trace(
            request.request_id,
            "attempt_failed",
            upstream=host_id,
            reason=error.reason.value,
            run=error.verdict.value,
            message=str(error),
        )

    def _refusal_reason(
        self,
        request: requests.Request,
        progress: Progress,
        needed_s: float,
    ) -> reasons.RefusalReason | None:
        """Returns why the request ends, None if a retry follows."""
        if not retries.is_retry_safe(request, progress.runs.verdict):
            return reasons.RefusalReason.MAY_HAVE_RUN
        if progress.attempts >= retries.MAX_ATTEMPTS:
            return reasons.RefusalReason.ATTEMPTS_EXHAUSTED
        if self.left_s(request) < needed_s:
            return reasons.RefusalReason.DEADLINE_TOO_SHORT
        if not self._dependencies.retry_budget.take(progress.tokens > 0):
            return reasons.RefusalReason.RETRY_BUDGET
        return None

    def _refusal(
        self,
        reason: reasons.RefusalReason,
        error: errors.UpstreamError,
        progress: Progress,
    ) -> errors.RefusalError:
        message = f"{progress.attempts} attempts, last error: {error}"
        if progress.is_started:
            message = f"{reason.value}: {message}"
            reason = reasons.RefusalReason.STREAM_BROKEN
        return errors.RefusalError(
            reason,
            message,
            progress.runs.verdict,
            self._retry_after_s(progress),
        )

    async def bill(
        self,
        request: requests.Request,
        what: str,
        totals: requests.AnswerTotals,
        progress: Progress,
    ) -> None:
        """Records the bill of a request with a complete response.

        Disables the deadline, so that a billed request is never refused.
        """
        if progress.timeout is not None:
            progress.timeout.reschedule(None)
        await self._dependencies.billing.add(
            bill_messages.build_bill(request, what, totals)
        )

    def left_s(self, request: requests.Request) -> float:
        """Returns the seconds until the deadline, always above 0."""
        now_s = self._state.environment.monotonic_s()
        return max(0.001, request.deadline_s - now_s)


class Deadline:
    """Context manager that raises a refusal at a request's deadline."""

    def __init__(self, left_s: float, progress: Progress):
        self._timeout = asyncio.timeout(left_s)
        self._progress = progress
        progress.timeout = self._timeout

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, kind: Any, error: Any, trace: Any) -> None:
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            raise errors.RefusalError(
                reasons.RefusalReason.DEADLINE_PASSED,
                f"deadline passed after {self._progress.attempts} attempts",
                self._progress.runs.verdict,
            ) from None
