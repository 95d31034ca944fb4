"""Service while an availability zone is taken out, goes away and returns.

Lakeshore's traffic runs throughout. One node of the zone can't read
configuration from the log. Operators take the zone out by a record and mark
its upstreams leaving in the list, which lags; a while later the upstreams
die; then all come back. The baseline policy follows the lagging list alone.
"""

import asyncio
from collections.abc import Sequence
import time
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import config_follower
from lycheegw.measure import deployments
from lycheegw.measure import report
from lycheegw.measure import rig
from lycheegw.measure import traffic
from lycheegw.state import errors

__all__ = ["run"]

_RATE_PER_S = 30.0
_LIST_LAG_S = 5.0
_OUT_S = 2.0
_DIE_S = 5.0
_BACK_S = 7.0
_END_S = 14.0
_ZONE = deployments.LAKESHORE.zones[0]
_CUT_NODE = "node-0"


class _Moves(NamedTuple):
    """Monotonic seconds of what operators and hosts did."""

    begin_s: float
    out_s: float
    back_s: float


def _zone_hosts(fleet: rig.Fleet) -> list[str]:
    return [
        host_id
        for host_id, host in fleet.hosts.host_by_id.items()
        if host["zone"] == _ZONE and host["role"] != "node"
    ]


def _mark(fleet: rig.Fleet, is_leaving: bool) -> None:
    for host_id in _zone_hosts(fleet):
        host = fleet.hosts.host_by_id[host_id]
        fleet.hosts.put(host | {"is_leaving": is_leaving})


def _set_dead(fleet: rig.Fleet, is_dead: bool) -> None:
    standins = fleet.standins()
    for host_id in _zone_hosts(fleet):
        standins[host_id].set_faults({"is_dead": is_dead})


def _cut_from_configuration(fleet: rig.Fleet) -> None:
    """Makes one node fail to read configuration from the log.

    The streams of keys stay readable: a node that can't read those refuses
    what may run once only, which at-most-once and partition measure.
    """
    log = fleet.nodes[_CUT_NODE].log
    whole = log.read

    async def read(stream: str, *rest: Any) -> Any:
        if stream == config_follower.CONFIGURATION_STREAM:
            raise errors.LogUnavailableError("cut off from the log", False)
        return await whole(stream, *rest)

    vars(log)["read"] = read


def _follow_list_only(fleet: rig.Fleet) -> None:
    """Makes the nodes ignore what records say of zones."""
    for node in fleet.nodes.values():
        vars(node.state.catalog)["is_zone_serving"] = lambda _: True


async def _move(fleet: rig.Fleet) -> _Moves:
    """Takes the zone out and back at the set times."""
    begin_s = time.monotonic()
    await asyncio.sleep(_OUT_S)
    status = {"is_serving": False}
    await fleet.publish(rig.record("zone", _ZONE, status, 1))
    out_s = time.monotonic()
    _mark(fleet, True)
    await asyncio.sleep(_DIE_S - _OUT_S)
    _set_dead(fleet, True)
    await asyncio.sleep(_BACK_S - _DIE_S)
    _set_dead(fleet, False)
    _mark(fleet, False)
    status = {"is_serving": True}
    await fleet.publish(rig.record("zone", _ZONE, status, 2))
    return _Moves(begin_s, out_s, time.monotonic())


_Result = tuple[dict[str, float], list[dict[str, Any]]]


async def _run_one(seed: int, scale: float, is_baseline: bool) -> _Result:
    async with rig.Fleet(seed) as fleet:
        await deployments.build(fleet, deployments.LAKESHORE)
        _cut_from_configuration(fleet)
        if is_baseline:
            _follow_list_only(fleet)
        fleet.hosts.set_faults({"lag_s": _LIST_LAG_S})
        callers = traffic.Traffic(fleet, deployments.LAKESHORE, seed)
        moves, _ = await asyncio.gather(
            _move(fleet), callers.run(_RATE_PER_S * scale, _END_S)
        )
        runs = [
            each.at_s
            for host_id in _zone_hosts(fleet)
            for each in fleet.standins()[host_id].runs
        ]
    lost = [
        {"is_baseline": is_baseline, "at_s": each.sent_s, "why": each.refusal}
        | {"request_id": each.request_id, "latency_s": each.latency_s}
        for each in callers.outcomes
        if not each.is_answer
    ]
    return _figures(moves, runs, callers.outcomes), lost


def _figures(
    moves: _Moves, runs: Sequence[float], outcomes: Sequence[traffic.Outcome]
) -> dict[str, float]:
    in_zone = [at_s for at_s in runs if moves.out_s < at_s < moves.back_s]
    lost = [each for each in outcomes if not each.is_answer]
    moving = sorted(
        each.latency_s
        for each in outcomes
        if moves.out_s < moves.begin_s + each.sent_s < moves.back_s
    )
    latency_s = moving[int(0.95 * (len(moving) - 1))]
    return {
        "last_new_work_s": max((s - moves.out_s for s in in_zone), default=0.0),
        "work_after_out": len(in_zone),
        "lost_requests": len(lost),
        "latency_p95_s": latency_s,
        "requests": len(outcomes),
        "work_after_return": sum(at_s > moves.back_s for at_s in runs),
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Runs the move under the router and under the baseline."""
    figures, lost = await _run_one(seed, scale, False)
    baseline, also_lost = await _run_one(seed, scale, True)
    raw = (*lost, *also_lost)
    return report.Findings(figures, "lagging list only", baseline, raw)
