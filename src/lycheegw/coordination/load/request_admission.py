"""Admission of requests to model services, by what callers need.

A request that is chosen an upstream is sent, held back at this node, or
refused. It is held back while the expected wait exceeds what more urgent
requests bear, and while it can still be in time itself afterwards; so no kind
of request starves. It is refused at once if it can't be served before its time
limit and nobody has run it.
"""

import bisect
from collections.abc import Iterator
from collections.abc import Mapping
import enum
import itertools
import math
from typing import NamedTuple

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import directory
from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import fair_shares
from lycheegw.coordination.load import head_estimates
from lycheegw.coordination.load import response_times
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import routing
from lycheegw.state import verdicts

__all__ = [
    "Decision",
    "Facts",
    "Reason",
    "RequestAdmission",
    "Verdict",
    "judge",
    "urgency",
]

# Share of its target latency that a request bears to wait at an upstream: a
# second model may wait as long again, and both have to read the prompt.
_BEARABLE_SHARE = 0.25
# Clients honour a retry-after time up to this share of the time they have left.
_MAX_RETRY_AFTER_SHARE = 1 / 3
_MIN_RETRY_AFTER_S = 0.1
# Urgency at the upstream (0 is first, 9 last) of requests to the smallest of
# several models, whose prefill takes a tenth of the largest one's, and of
# requests to the others, where all have one priority. A prompt is less urgent
# by one level for each of the lengths that it exceeds.
_SMALLEST_MODEL_URGENCY = 2
_DEFAULT_URGENCY = 5
_LONG_PROMPT_TOKENS = (8_000, 25_000)
# Where there are several priorities, the first one gains a level, and each rank
# loses one, so that long prompts of the first don't keep out all others.
_FIRST_RANK_URGENCY = 4
_MAX_RANK = 2
# Urgency of what gives way to all of these.
_OVER_SHARE_URGENCY = 8
_LATE_URGENCY = 9


class Verdict(enum.Enum):
    """What happens to a request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


class Reason(enum.Enum):
    """Why; each verdict and reason is the name of a counter."""

    ROOM = "room"
    URGENT = "urgent"
    NO_SLACK = "no_slack"
    LESS_URGENT = "less_urgent"
    OVER_SHARE = "over_share"
    NO_TIME = "no_time"


class Facts(NamedTuple):
    """What a decision depends on.

    Attributes:
        head: When the response head is expected.
        rest_s: Expected seconds from there to the end of the answer.
        target_left_s: Seconds until the target latency has passed.
        left_s: Seconds until the time limit.
        bearable_s: Longest wait that all more urgent requests bear, infinity
            without such requests.
        own_bearable_s: Longest wait that the request itself bears.
        is_over_share: Whether its organisation exceeds its fair share.
        may_refuse: Whether nobody has run it.
        held_s: Seconds for which it has been held back.
    """

    head: head_estimates.HeadEstimate
    rest_s: float
    target_left_s: float
    left_s: float
    bearable_s: float = math.inf
    own_bearable_s: float = math.inf
    is_over_share: bool = False
    may_refuse: bool = True
    held_s: float = 0.0

    @property
    def slack_s(self) -> float:
        """Seconds for which the request can wait and still be in time."""
        left_s = min(self.target_left_s, self.left_s - self.rest_s)
        return left_s - self.head.late_s

    @property
    def is_room_short(self) -> bool:
        """Whether the wait is longer than other requests bear."""
        return self.head.wait_s > self.bearable_s or (
            self.is_over_share and self.head.wait_s > self.own_bearable_s
        )

    @property
    def is_crowded(self) -> bool:
        """Whether the wait is longer than the request itself bears."""
        return self.head.wait_s > self.own_bearable_s

    @property
    def is_late(self) -> bool:
        """Whether the head can't be in time any more."""
        return self.target_left_s <= 0


class Decision(NamedTuple):
    """What happens to a request, and why.

    Attributes:
        verdict: What happens.
        reason: Why.
        retry_after_s: Seconds after which a refused client may retry.
        hold_s: Longest further time to hold the request.
    """

    verdict: Verdict
    reason: Reason
    retry_after_s: float = 0.0
    hold_s: float = 0.0


def judge(facts: Facts) -> Decision:
    """Decides whether a request is sent, held back or refused."""
    if facts.may_refuse and facts.is_crowded and _is_hopeless(facts):
        retry_after_s = min(
            max(_MIN_RETRY_AFTER_S, facts.head.wait_s),
            _MAX_RETRY_AFTER_SHARE * facts.left_s,
        )
        return Decision(Verdict.REFUSE, Reason.NO_TIME, retry_after_s)
    wait_s = facts.head.wait_s
    if not facts.is_room_short:
        is_urgent = wait_s > facts.own_bearable_s
        reason = Reason.URGENT if is_urgent else Reason.ROOM
        return Decision(Verdict.SEND, reason)
    hold_s = min(facts.slack_s, facts.own_bearable_s - facts.held_s)
    if hold_s <= 0:
        return Decision(Verdict.SEND, Reason.NO_SLACK)
    is_less_urgent = wait_s > facts.bearable_s
    reason = Reason.LESS_URGENT if is_less_urgent else Reason.OVER_SHARE
    return Decision(Verdict.HOLD, reason, hold_s=hold_s)


def _is_hopeless(facts: Facts) -> bool:
    """Returns whether even a fast answer would exceed the time limit."""
    margin = facts.head.early_s / max(facts.head.expected_s, 1e-6)
    return facts.head.early_s + margin * facts.rest_s > facts.left_s


def urgency(
    work: forwarded_requests.ForwardedWork,
    model: str | None,
    rank: int | None,
    facts: Facts | None,
) -> int | None:
    """Returns the urgency of an attempt at its upstream, None for the default.

    Args:
        work: The request.
        model: Model that is asked.
        rank: Rank of its priority among those of the service, 0 for the first;
            None if the service has only one.
        facts: What is known when the attempt is chosen, None for a stream that
            goes on.
    """
    if not work.route.models:
        return None
    if facts is not None and rank is not None:
        if facts.is_late:
            return _LATE_URGENCY
        if facts.is_over_share:
            return _OVER_SHARE_URGENCY
    if model == work.route.models[0]:
        return _SMALLEST_MODEL_URGENCY - (rank == 0)
    first = _DEFAULT_URGENCY
    if rank is not None:
        first = _FIRST_RANK_URGENCY + min(rank, _MAX_RANK)
    tokens = work.traits.prompt_tokens
    longer_than = sum(tokens > bound for bound in _LONG_PROMPT_TOKENS)
    return min(first + longer_than, _OVER_SHARE_URGENCY - 1)


class _Priority(NamedTuple):
    """Priority of a request; lower ones go first.

    Attributes:
        own: That of the organisation if it has one, else of the route.
        route: That of the route, which orders an organisation's requests.
    """

    own: int
    route: int


class _Targets:
    """The shortest target latency of each priority at one service."""

    def __init__(self, target_s_by_priority: Mapping[_Priority, float]):
        self._target_s_by_priority = target_s_by_priority
        self._order = sorted(target_s_by_priority)

    def bearable_s(self, priority: _Priority) -> float:
        """Returns the wait that all more urgent requests bear."""
        count = bisect.bisect_left(self._order, priority)
        targets_s = map(self._target_s_by_priority.get, self._order[:count])
        return _BEARABLE_SHARE * min(filter(None, targets_s), default=math.inf)

    def rank(self, priority: _Priority) -> int | None:
        """Returns 0 for the first priority up to the last rank.

        None means that there is no choice of priorities.
        """
        steps = len(self._order) - 1
        if steps < 1:
            return None
        position = min(bisect.bisect_left(self._order, priority), steps)
        return round(position * min(_MAX_RANK, steps) / steps)

    def position(self, priority: _Priority) -> int:
        """Returns the number of more urgent priorities."""
        return bisect.bisect_left(self._order, priority)


_NO_TARGETS = _Targets({})


class RequestAdmission:
    """Judges requests by the load that this node knows of."""

    def __init__(
        self,
        state: node_state.NodeState,
        fleet_directory: directory.Directory,
        timings: response_times.ResponseTimes,
        organisation_sums: fair_shares.Sums,
    ):
        """Initializes the admission.

        Args:
            state: The node's state.
            fleet_directory: The manifest in force.
            timings: Expected response times.
            organisation_sums: Returns the outstanding prefill seconds of each
                organisation at a service, over all nodes that are heard of.
        """
        self._state = state
        self._directory = fleet_directory
        self._response_times = timings
        self._organisation_sums = organisation_sums
        self._estimates = head_estimates.HeadEstimates()
        self._manifest: routing.Manifest | None = None
        self._targets_by_service: dict[str, _Targets] = {}

    def judge(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
        held_s: float = 0.0,
    ) -> Decision:
        """Decides what happens to a request for which an upstream is chosen.

        Args:
            accepted: The request.
            choice: The upstream.
            held_s: Seconds for which the request has been held back.
        """
        if accepted.service.engine is None or not accepted.work.route.models:
            return Decision(Verdict.SEND, Reason.ROOM)
        facts = self.facts(accepted, choice, accepted.progress.model)
        return judge(facts._replace(held_s=held_s))

    def position(self, accepted: accepted_requests.AcceptedRequest) -> int:
        """Returns the place of a request's priority in the queue, 0 first."""
        targets = self._targets(accepted.service.name)
        return targets.position(_priority(accepted))

    def facts(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
        model: str | None,
    ) -> Facts:
        """Returns what a decision about an attempt depends on."""
        progress, route = accepted.progress, accepted.work.route
        service, now_s = accepted.service.name, self._now_s()
        targets = self._targets(service)
        passed_s = now_s - accepted.work.incoming.received_s
        is_held = progress.held_answer is not None
        head = self.head_estimate(service, model, choice)
        own_bearable_s = _BEARABLE_SHARE * route.target_latency_s
        # A share binds only while room is short.
        is_over_share = (
            head.wait_s > own_bearable_s
            and fair_shares.is_over_share(
                accepted.request.organisation, self._organisation_sums(service)
            )
        )
        return Facts(
            head,
            self._response_times.expected_rest_s(
                service, model, accepted.work.traits.max_tokens
            ),
            route.target_latency_s - passed_s,
            accepted.request.deadline_s - now_s,
            targets.bearable_s(_priority(accepted)),
            own_bearable_s,
            is_over_share,
            progress.runs.verdict is verdicts.RunVerdict.NOT_RUN
            and not is_held
            and not accepted.sink.is_started,
        )

    def head_estimate(
        self, service: str, model: str | None, choice: balancing.Choice
    ) -> head_estimates.HeadEstimate:
        """Returns when the response head of a chosen attempt is expected."""
        return self._estimates.estimate(
            service, model, choice.wait_s, choice.prefill_s
        )

    def note_head(
        self,
        service: str,
        model: str | None,
        choice: balancing.Choice,
        head_s: float,
    ) -> None:
        """Records after how many seconds a response head arrived."""
        self._estimates.note(
            service, model, choice.wait_s, choice.prefill_s, head_s
        )

    def urgency(
        self,
        accepted: accepted_requests.AcceptedRequest,
        choice: balancing.Choice,
    ) -> int | None:
        """Returns the urgency of an attempt at its upstream."""
        if not accepted.work.route.models:
            return None
        progress = accepted.progress
        rank = self._targets(accepted.service.name).rank(_priority(accepted))
        facts = None
        if rank is not None and not progress.event_count:
            facts = self.facts(accepted, choice, progress.model)
        return urgency(accepted.work, progress.model, rank, facts)

    def _targets(self, service: str) -> _Targets:
        """Returns the targets of the routes to a service."""
        manifest = self._directory.manifest
        if manifest is not self._manifest:
            self._manifest = manifest
            self._targets_by_service = _index_targets(manifest)
        return self._targets_by_service.get(service, _NO_TARGETS)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _priority(accepted: accepted_requests.AcceptedRequest) -> _Priority:
    return _Priority(accepted.request.priority, accepted.work.route.priority)


def _index_targets(
    manifest: routing.Manifest | None,
) -> dict[str, _Targets]:
    """Returns the targets of the routes on which the node chooses models."""
    if manifest is None:
        return {}
    organisations = (manifest.organisation_by_key or {}).values()
    own_priorities = {each.priority for each in organisations} or {None}
    target_s_by_service: dict[str, dict[_Priority, float]] = {}
    kinds = {
        (backend.service, route.priority, route.target_latency_s)
        for route in _routes(manifest)
        for backend in route.backends
    }
    for (service, level, target_s), own in itertools.product(
        kinds, own_priorities
    ):
        priority = _Priority(level if own is None else own, level)
        targets = target_s_by_service.setdefault(service, {})
        targets[priority] = min(target_s, targets.get(priority, math.inf))
    return {
        service: _Targets(target_s)
        for service, target_s in target_s_by_service.items()
    }


def _routes(manifest: routing.Manifest) -> Iterator[routing.Route]:
    """Yields the routes on which the node chooses models."""
    for routes in manifest.routes_by_host.values():
        for route in routes.route_by_prefix.values():
            if route.models:
                yield route
