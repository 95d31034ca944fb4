"""Demonstration of both example deployments under traffic.

Operators roll out, withdraw and close a zone meanwhile; then each promise is
checked and a report is printed.
"""

import asyncio
import collections
from collections.abc import Sequence
import statistics

from lycheegw.measure import deployments
from lycheegw.measure import guarantees
from lycheegw.measure import harness
from lycheegw.measure import traffic

__all__ = ["run"]

_RATE_PER_S = 20.0
_TRAFFIC_S = 24.0
_STEP_PAUSE_S = 2.5
_COLD_PHASE_S = 3.0
_SETTLE_S = 2.0
_OLD_VERSION = "full-1"
_NEW_VERSION = "full-2"
_ROLLOUT_SHARE = 0.5
_TOKENS_PER_PRICE_UNIT = 1000


async def run(seed: int) -> int:
    """Runs the demonstration; returns exit status 0 if all promises held."""
    async with (
        harness.Fleet(seed) as lakeshore,
        harness.Fleet(seed + 1000) as metsatoo,
    ):
        results = await asyncio.gather(
            _run_deployment(lakeshore, deployments.LAKESHORE, seed),
            _run_deployment(metsatoo, deployments.METSATOO, seed + 1),
        )
    print("\nevery promise held" if all(results) else "\nA PROMISE WAS BROKEN")
    return 0 if all(results) else 1


async def _run_deployment(
    fleet: harness.Fleet, deployment: deployments.Deployment, seed: int
) -> bool:
    """Runs one deployment; returns whether every promise held."""
    await deployments.build(fleet, deployment)
    generator = traffic.Traffic(fleet, deployment, seed)
    moves = guarantees.OperatorActions(fleet)
    watcher = asyncio.create_task(moves.watch())
    leaving_engine = f"{deployment.model}-1"
    await asyncio.gather(
        generator.run(_RATE_PER_S, _TRAFFIC_S),
        _operate(fleet, deployment, moves, leaving_engine),
    )
    await asyncio.sleep(_SETTLE_S)
    await fleet.flush_bills()
    watcher.cancel()
    promise_checks = guarantees.check_all(
        guarantees.Observations(
            fleet, deployment, generator.outcomes, moves, leaving_engine
        )
    )
    _print_report(fleet, deployment, generator.outcomes, promise_checks)
    return all(promise.is_held for promise in promise_checks)


async def _operate(
    fleet: harness.Fleet,
    deployment: deployments.Deployment,
    moves: guarantees.OperatorActions,
    leaving_engine: str,
) -> None:
    """Changes the deployment step by step, as operators do, under traffic."""
    model = deployment.model
    zone = deployment.zones[0]
    await asyncio.sleep(_STEP_PAUSE_S)
    rollout = {
        "from_version": _OLD_VERSION,
        "to_version": _NEW_VERSION,
        "share": _ROLLOUT_SHARE,
    }
    await moves.publish("roll-out", harness.record("rollout", model, rollout))
    await asyncio.sleep(_STEP_PAUSE_S)
    fleet.set_leaving(leaving_engine)
    moves.mark("upstream leaves")
    await asyncio.sleep(_STEP_PAUSE_S)
    await moves.publish(
        "withdrawal",
        harness.record(
            "withdrawal", f"{model}@{_NEW_VERSION}", {"is_withdrawn": True}
        ),
    )
    await asyncio.sleep(_STEP_PAUSE_S)
    await moves.publish(
        "zone out", harness.record("zone", zone, {"is_serving": False}, 1)
    )
    await asyncio.sleep(2 * _STEP_PAUSE_S)
    _restart_cold(fleet, zone)
    await moves.publish(
        "zone back", harness.record("zone", zone, {"is_serving": True}, 2)
    )
    await asyncio.sleep(_STEP_PAUSE_S)
    moves.mark("node stops")
    await fleet.stop_node("node-0")
    moves.mark("node stopped")
    await fleet.add_node("node-new", zone, deployment.region)


def _restart_cold(fleet: harness.Fleet, zone: str) -> None:
    """Restarts a zone's engines cold, every other one unannounced."""
    for index, (host_id, standin) in enumerate(fleet.engines.items()):
        if fleet.hosts.host_by_id[host_id]["zone"] == zone:
            standin.config = standin.config._replace(cold_s=_COLD_PHASE_S)
            standin.restart(is_announced=index % 2 == 0)


def _print_report(
    fleet: harness.Fleet,
    deployment: deployments.Deployment,
    outcomes: Sequence[traffic.Outcome],
    promise_checks: Sequence[guarantees.Guarantee],
) -> None:
    nodes = len(fleet.nodes)
    print(f"\n{deployment.name}: {len(outcomes)} requests to {nodes} nodes")
    print(f"  {'kind':20} {'answers':>9} {'p50 ms':>7} {'p95 ms':>7}  refusals")
    for kind, each in sorted(traffic.group_by_kind(outcomes).items()):
        _print_kind(kind, each)
    _print_retries(fleet)
    _print_cost(fleet)
    for promise in promise_checks:
        verdict = "held  " if promise.is_held else "BROKEN"
        print(f"  {verdict} {promise.name}: {promise.detail}")


def _print_kind(kind: str, outcomes: Sequence[traffic.Outcome]) -> None:
    answers = [outcome for outcome in outcomes if outcome.is_answered]
    refusals = collections.Counter(
        outcome.refusal_reason for outcome in outcomes if outcome.refusal_reason
    )
    refusal_counts = " ".join(
        f"{name}={count}" for name, count in refusals.items()
    )
    latencies_ms = sorted(outcome.latency_s * 1000 for outcome in answers)
    p50_ms = p95_ms = float("nan")
    if len(latencies_ms) > 1:
        cuts = statistics.quantiles(latencies_ms, n=20, method="inclusive")
        p50_ms, p95_ms = cuts[9], cuts[18]
    print(
        f"  {kind:20} {len(answers):4}/{len(outcomes):4}"
        f" {p50_ms:7.0f} {p95_ms:7.0f}  {refusal_counts}"
    )


def _print_cost(fleet: harness.Fleet) -> None:
    """Prints the billed cost and its ratio to that of the best version."""
    bills = [bill for bill in fleet.bills() if bill.tokens]
    cost = sum(bill.cost for bill in bills)
    tokens = sum(bill.tokens for bill in bills)
    best_cost = (
        tokens
        * deployments.cost_per_1k_tokens(_OLD_VERSION)
        / _TOKENS_PER_PRICE_UNIT
    )
    print(
        f"  cost of {len(bills)} model calls: {cost:.2f},"
        f" always-best {best_cost:.2f}, ratio {cost / best_cost:.2f}"
    )


def _print_retries(fleet: harness.Fleet) -> None:
    totals: collections.Counter[str] = collections.Counter()
    for node in fleet.nodes.values():
        totals += node.state.counters.by_name
    retries = [
        f"{name.removeprefix('retry.')}={count}"
        for name, count in sorted(totals.items())
        if name.startswith("retry.")
    ]
    print(f"  retries by reason: {' '.join(retries) or 'none'}")
