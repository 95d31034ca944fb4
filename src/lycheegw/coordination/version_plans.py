"""Plans which versions of a model a request runs on, and in which order.

A plan is a single version, or a cascade: a cheap version whose answer is kept
if the engine's confidence is high enough, and else a better one. Of the plans
whose share of good answers meets the quality target, the cheapest is chosen.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from lycheegw.coordination import version_selection
from lycheegw.state import node_state
from lycheegw.state import quality
from lycheegw.state import requests

__all__ = [
    "Plan",
    "Planner",
    "PlannerKind",
    "Step",
    "cascade_plans",
    "single_version_plans",
]

# Above every confidence: the answer is rated but never kept.
_KEEP_NO_ANSWER = 2.0
_EXPLORE_SHARE = 0.03
_EARLY_EXPLORE_SHARE = 0.25
_STREAM_EXPLORE_FACTOR = 0.3
# Ratings below which a version is explored more often.
_WELL_KNOWN_RATINGS = 15.0
# Ratings from which a version may be part of a cascade, or be chosen although
# no plan meets the target.
_MIN_USABLE_RATINGS = 12.0
# Expected time to generate a token, to check whether two answers fit.
_SECONDS_PER_TOKEN = 0.059


class Step(NamedTuple):
    """One step of a cascade.

    Attributes:
        version: Version to run.
        min_confidence: Confidence from which the answer is kept; 0 keeps all.
    """

    version: str
    min_confidence: float


class Plan(NamedTuple):
    """Steps with their expected quality and cost.

    Attributes:
        steps: Steps, the last of which keeps any answer.
        quality: Sampled share of good answers.
        cost: Expected cost of a thousand answer tokens.
    """

    steps: tuple[Step, ...]
    quality: float
    cost: float


class _Candidate(NamedTuple):
    """A version with its price and estimated quality.

    Attributes:
        version: Name of the version.
        price: Cost of a thousand tokens.
        estimate: Quality by the ratings.
        sampled_error: Random sample of the error of the estimate.
    """

    version: str
    price: float
    estimate: quality.Estimate
    sampled_error: float


PlannerKind = Callable[
    [requests.Request, requests.ModelWork, version_selection.VersionChoice],
    tuple[Step, ...],
]


def single_version_plans(candidates: Iterable[_Candidate]) -> list[Plan]:
    """Returns a plan for each version alone."""
    return [
        Plan(
            (Step(candidate.version, 0.0),),
            candidate.estimate.shrunken_quality + candidate.sampled_error,
            candidate.price,
        )
        for candidate in candidates
    ]


def cascade_plans(candidates: Iterable[_Candidate]) -> list[Plan]:
    """Returns a plan for each pair of versions and each threshold."""
    all_candidates = list(candidates)
    return [
        _cascade_plan(first, second, index)
        for first in all_candidates
        for second in all_candidates
        if first.price < second.price
        for index in range(1, quality.CONFIDENCE_BINS)
    ]


def _cascade_plan(first: _Candidate, second: _Candidate, index: int) -> Plan:
    """Returns the cascade that keeps answers of `first` from a bin on."""
    kept = sum(first.estimate.bin_shares[index:])
    pairs = zip(
        first.estimate.bin_shares[index:],
        first.estimate.good_shares[index:],
        strict=True,
    )
    good = sum(bin_share * good_share for bin_share, good_share in pairs)
    expected = good + (1 - kept) * second.estimate.shrunken_quality
    weaker = min(first, second, key=lambda candidate: candidate.estimate.weight)
    return Plan(
        (
            Step(first.version, index / quality.CONFIDENCE_BINS),
            Step(second.version, 0.0),
        ),
        expected + weaker.sampled_error,
        first.price + (1 - kept) * second.price,
    )


class Planner:
    """Chooses the steps of requests by the quality table."""

    def __init__(
        self, state: node_state.NodeState, table: quality.QualityTable
    ):
        self._state = state
        self._table = table

    def plan(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        choice: version_selection.VersionChoice,
    ) -> tuple[Step, ...]:
        """Returns the steps, the last of which keeps any answer."""
        first = (Step(choice.versions[0], 0.0),)
        is_kept = choice.is_pinned or request.session is not None
        if is_kept or len(choice.versions) == 1:
            # A session has requests of all kinds and keeps its first version.
            return first
        candidates = self._candidates(request, work, choice)
        may_cascade = self._may_cascade(request, work)
        explored = self._exploration_steps(
            candidates, choice.versions[0], may_cascade
        )
        if explored is not None:
            return explored
        usable = [
            candidate
            for candidate in candidates
            if candidate.estimate.weight >= _MIN_USABLE_RATINGS
        ]
        plans = single_version_plans(candidates)
        if may_cascade:
            plans += cascade_plans(usable)
        target = self._target(request, work)
        good = [plan for plan in plans if plan.quality >= target]
        if not good:
            return self._best_usable_steps(usable, first)
        return min(good, key=lambda plan: plan.cost).steps

    def _candidates(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        choice: version_selection.VersionChoice,
    ) -> list[_Candidate]:
        """Returns the usable versions without the roll-out's other arm."""
        model = self._state.catalog.model(work.model)
        if model is None:
            return []
        other_arm = self._other_arm(work.model, choice.versions[0])
        key = quality.QualityKey(
            request.organisation, request.kind, work.model, ""
        )
        return [
            self._candidate(
                key._replace(version=version),
                model.versions[version].cost_per_1k_tokens,
            )
            for version in choice.versions
            if version in model.versions and version != other_arm
        ]

    def _candidate(self, key: quality.QualityKey, price: float) -> _Candidate:
        """Returns a version with a random sample of its quality.

        By Thompson sampling a version is used as often as it is likely to meet
        the target, so an early wrong estimate gets corrected.
        """
        estimate = self._table.estimate(key)
        deviation = self._state.environment.random.gauss(0.0, 1.0)
        return _Candidate(
            key.version, price, estimate, deviation * estimate.standard_error
        )

    def _other_arm(self, model: str, selected: str) -> str | None:
        """Returns the version of a roll-out that wasn't selected."""
        rollout = self._state.catalog.rollout(model)
        if rollout is None:
            return None
        arms = {rollout.from_version, rollout.to_version}
        return (arms - {selected}).pop() if selected in arms else None

    def _may_cascade(
        self, request: requests.Request, work: requests.ModelWork
    ) -> bool:
        """Returns whether there is time for a second answer.

        A stream can't wait for a whole first answer before its first token.
        """
        if work.stream:
            return False
        left_s = request.deadline_s - self._state.environment.monotonic_s()
        return left_s > 2 * work.max_tokens * _SECONDS_PER_TOKEN

    def _exploration_steps(
        self, candidates: list[_Candidate], first: str, may_cascade: bool
    ) -> tuple[Step, ...] | None:
        """Returns, for a small share of requests, steps that explore a version.

        The explored answer is rated but the client gets that of the first
        version, so exploring costs money and no quality. A stream gets the
        explored answer itself, so streams explore far less.
        """
        unknown = [
            candidate
            for candidate in candidates
            if candidate.version != first
            and candidate.estimate.weight < _WELL_KNOWN_RATINGS
        ]
        share = _EARLY_EXPLORE_SHARE if unknown else _EXPLORE_SHARE
        if not may_cascade:
            share *= _STREAM_EXPLORE_FACTOR
        generator = self._state.environment.random
        others = [
            candidate for candidate in candidates if candidate.version != first
        ]
        if not others or generator.random() >= share:
            return None
        explored = generator.choice(unknown or others)
        if not may_cascade:
            return (Step(explored.version, 0.0),)
        return (Step(explored.version, _KEEP_NO_ANSWER), Step(first, 0.0))

    def _target(
        self, request: requests.Request, work: requests.ModelWork
    ) -> float:
        if work.quality_target is not None:
            return work.quality_target
        owner = self._state.catalog.organisation(request.organisation)
        return 1.0 if owner is None else owner.quality_target

    def _best_usable_steps(
        self, usable: list[_Candidate], first: tuple[Step, ...]
    ) -> tuple[Step, ...]:
        """Returns `first`, or the usable version that is clearly better."""
        by_version = {candidate.version: candidate for candidate in usable}
        if first[0].version not in by_version:
            return first
        best = max(usable, key=lambda candidate: candidate.estimate.quality)
        current = by_version[first[0].version].estimate
        if best.estimate.quality - current.quality > 2 * current.standard_error:
            return (Step(best.version, 0.0),)
        return first
