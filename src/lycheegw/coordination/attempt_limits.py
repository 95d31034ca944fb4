"""Limits of attempts: how long they may take, and when no other one follows."""

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import forward_dependencies
from lycheegw.coordination import model_cascade
from lycheegw.coordination.load import balancing
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import verdicts

__all__ = [
    "ABSENT_REASONS",
    "MIN_RETRY_AFTER_S",
    "MIN_TIME_LEFT_S",
    "AttemptLimits",
    "shutting_down_error",
]

_NOT_RUN = verdicts.RunVerdict.NOT_RUN

# Rejections by upstreams after which a request is refused. Upstreams are tried
# one after the other, and more attempts would only burden a busy fleet.
_MAX_REJECTIONS = 3
# How long a request may wait while all upstreams are at their limits, as a
# share of its target latency; a refusal serves the client better after that.
_MAX_WAIT_SHARE_OF_TARGET = 0.125
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
MIN_TIME_LEFT_S = 0.02
# Connections of each node to a service without a connection limit.
_DEFAULT_CONNECTIONS = 64
# Part of a connection limit that all nodes together use.
_CONNECTION_SHARE = 0.9
# Failures by which the listed process is not running at its address.
ABSENT_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.MISDIRECTED,
    }
)


def shutting_down_error() -> errors.RefusalError:
    """Returns the refusal of a request that the process may not outlast."""
    return errors.RefusalError(
        reasons.RefusalReason.SHUTTING_DOWN,
        "the node is shutting down",
        verdicts.RunVerdict.NOT_RUN,
        retry_after_s=MIN_RETRY_AFTER_S,
    )


class AttemptLimits:
    """Time limits of attempts, and the reasons for which none follows."""

    def __init__(
        self,
        state: node_state.NodeState,
        dependencies: forward_dependencies.Dependencies,
    ):
        self._state = state
        self._dependencies = dependencies
        self._response_times = dependencies.timings

    def connection_limit(self, service: routing.Service) -> int:
        """Returns this node's part of the limit on a service's connections."""
        if not service.max_connections:
            return _DEFAULT_CONNECTIONS
        share = _CONNECTION_SHARE * service.max_connections
        return max(1, int(share / max(1, self._dependencies.member_count())))

    def max_wait_s(self, accepted: accepted_requests.AcceptedRequest) -> float:
        """Returns how long a request may wait for an upstream."""
        max_wait_s = (
            _MAX_WAIT_SHARE_OF_TARGET * accepted.work.route.target_latency_s
        )
        return min(max_wait_s, self.left_s(accepted.request))

    def head_timeout_s(
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
        if timeout_s + (estimate_s or min_timeout_s) > self.left_s(
            accepted.request
        ):
            return None
        return timeout_s

    def refusal_reason(
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
        if self.left_s(accepted.request) < MIN_TIME_LEFT_S:
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

    def no_upstream_error(
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
        retry_after_s = self.retry_after_s(
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

    def retry_after_s(
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

    def time_left(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> model_cascade.TimeLeft:
        """Returns the time left until the request's target and deadline."""
        passed_s = self._now_s() - accepted.work.incoming.received_s
        return model_cascade.TimeLeft(
            accepted.work.route.target_latency_s - passed_s,
            self.left_s(accepted.request),
        )

    def duration_estimate(
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

    def left_s(self, request: requests.Request) -> float:
        """Returns the seconds until the deadline, always above 0."""
        return max(0.001, request.deadline_s - self._now_s())

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
