"""Measures the cost of model calls at the quality target.

Both deployments' traffic runs without sessions, since a session keeps its
version and leaves nothing to plan. Engines give the same answer to the same
call, so cost and quality of other policies can be computed for each call. Calls
of the first part of the run, in which the router learns, are left out.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import NamedTuple

from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.measure import traffic
from lycheegw.standins import engine

__all__ = ["run"]

_RATE_PER_S = 36.0
_NODES = 5
_LEARNING_S = 38.0
_COUNTED_S = 13.0
_BEST_VERSION = "full-1"
_CHEAPEST_VERSION = "mini-1"
_THRESHOLDS = tuple(index / 10 for index in range(1, 10))
_TOKENS_PER_COST_UNIT = 1000


class _Result(NamedTuple):
    """The cost of one call and whether its answer was good."""

    cost: float
    is_good: bool


class _Call(NamedTuple):
    """One model call, its result and the draw of each version for it."""

    kind: deployments.TrafficKind
    draw_by_version: Mapping[str, engine.SampledAnswer]
    actual: _Result


Policy = Callable[[_Call], _Result]


def _cost(call: _Call, version: str) -> float:
    price = deployments.cost_per_1k_tokens(version)
    return call.kind.tokens * price / _TOKENS_PER_COST_UNIT


def _single_version(version: str) -> Policy:
    def policy(call: _Call) -> _Result:
        is_good = call.draw_by_version[version].is_good
        return _Result(_cost(call, version), is_good)

    return policy


def _cascade(first: str, second: str, threshold: float) -> Policy:
    def policy(call: _Call) -> _Result:
        draw_of_first = call.draw_by_version[first]
        if draw_of_first.confidence >= threshold:
            return _Result(_cost(call, first), draw_of_first.is_good)
        escalated = _single_version(second)(call)
        return _Result(_cost(call, first) + escalated.cost, escalated.is_good)

    return policy


def _random_version(seed: int) -> Policy:
    generator = random.Random(seed)

    def policy(call: _Call) -> _Result:
        return _single_version(generator.choice(deployments.ALLOWED_VERSIONS))(
            call
        )

    return policy


def _cost_and_quality(results: Iterable[_Result]) -> tuple[float, float]:
    """Returns the total cost and the share of good answers."""
    listed = list(results)
    good = sum(result.is_good for result in listed)
    return sum(result.cost for result in listed), good / max(1, len(listed))


def _apply(policy: Policy, calls: Sequence[_Call]) -> tuple[float, float]:
    return _cost_and_quality(policy(call) for call in calls)


def _fixed_policies(is_stream: bool) -> list[Policy]:
    """Returns each single version and, for unstreamed calls, each cascade."""
    names = deployments.ALLOWED_VERSIONS
    policies = [_single_version(version) for version in names]
    if is_stream:
        return policies
    return policies + [
        _cascade(first, second, threshold)
        for first in names
        for second in names
        for threshold in _THRESHOLDS
        if deployments.cost_per_1k_tokens(first)
        < deployments.cost_per_1k_tokens(second)
    ]


def _hindsight_cost(calls: Sequence[_Call], target: float) -> float:
    """Returns the cost of the cheapest fixed policy per kind, in hindsight.

    Where no policy reaches the target, the one of the best quality counts.
    """
    total = 0.0
    for kind in {call.kind for call in calls}:
        calls_of_kind = [call for call in calls if call.kind == kind]
        outcomes = [
            _apply(policy, calls_of_kind)
            for policy in _fixed_policies(kind.is_streamed)
        ]
        costs_at_target = [cost for cost, share in outcomes if share >= target]
        best = max(outcomes, key=lambda outcome: outcome[1])
        total += min(costs_at_target, default=best[0])
    return total


def _counted_calls(
    fleet: harness.Fleet,
    deployment: deployments.Deployment,
    outcomes: Sequence[traffic.Outcome],
) -> list[_Call]:
    """Returns the counted model calls that were answered and billed."""
    cost_by_id = {bill.request_id: bill.cost for bill in fleet.bills()}
    quality = deployments.quality_by_version(deployment)
    calls = []
    for outcome in outcomes:
        is_counted = outcome.sent_s >= _LEARNING_S and outcome.is_answered
        if not is_counted or not outcome.kind.tokens:
            continue
        assert outcome.reply is not None
        messages = traffic.path_and_body(outcome.kind, outcome.request_id)[1][
            "messages"
        ]
        draws = {
            version: engine.sample_answer(
                messages,
                deployment.model,
                version,
                engine.answer_quality(quality, messages, version),
            )
            for version in deployments.ALLOWED_VERSIONS
        }
        is_good = engine.GOOD_MARK.encode() in outcome.reply.body
        actual = _Result(cost_by_id[outcome.request_id], is_good)
        calls.append(_Call(outcome.kind, draws, actual))
    return calls


async def _run_deployment(
    deployment: deployments.Deployment, seed: int, scale: float
) -> list[_Call]:
    deployment = deployment._replace(nodes=_NODES)
    async with harness.Fleet(seed) as fleet:
        await deployments.build(fleet, deployment)
        callers = traffic.Traffic(fleet, deployment, seed, 0.0)
        await callers.run(_RATE_PER_S * scale, _LEARNING_S + _COUNTED_S)
        await fleet.flush_bills()
        return _counted_calls(fleet, deployment, callers.outcomes)


def _figures(
    deployment: deployments.Deployment, calls: Sequence[_Call], seed: int
) -> dict[str, float]:
    target = deployment.quality_target
    cost, quality = _cost_and_quality(call.actual for call in calls)
    best_cost, best_quality = _apply(_single_version(_BEST_VERSION), calls)
    cheap_cost, cheap_quality = _apply(
        _single_version(_CHEAPEST_VERSION), calls
    )
    random_cost, random_quality = _apply(_random_version(seed), calls)
    return {
        "calls": len(calls),
        "cost_to_always_best": cost / best_cost,
        "cost_to_hindsight": cost / _hindsight_cost(calls, target),
        "quality_minus_target": quality - target,
        "always_best_quality_minus_target": best_quality - target,
        "cheapest_cost_to_always_best": cheap_cost / best_cost,
        "cheapest_quality_minus_target": cheap_quality - target,
        "random_cost_to_always_best": random_cost / best_cost,
        "random_quality_minus_target": random_quality - target,
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on cost and quality of both deployments."""
    lakeshore, metsatoo = await asyncio.gather(
        _run_deployment(deployments.LAKESHORE, seed, scale),
        _run_deployment(deployments.METSATOO, seed + 1, scale),
    )
    figures = _figures(deployments.METSATOO, metsatoo, seed)
    other = _figures(deployments.LAKESHORE, lakeshore, seed)
    figures |= {f"lakeshore_{name}": value for name, value in other.items()}
    baseline = {
        "cost_to_always_best": 1.0,
        "quality_minus_target": figures["always_best_quality_minus_target"],
    }
    return report.Findings(figures, "always best", baseline)
