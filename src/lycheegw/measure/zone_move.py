"""Counts lost requests while a zone is taken out of service and returns.

Lakeshore's traffic runs throughout. One node of the zone can't read
configuration from the log. Operators take the zone out by a record and mark
its upstreams as leaving in the host list, which lags. Later the upstreams go
down, and then all return. Baseline nodes follow only the lagging host list.
"""

import asyncio
from collections.abc import Sequence
import time
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import config_follower
from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.measure import traffic
from lycheegw.state import errors

__all__ = ["run"]

_RATE_PER_S = 30.0
_LIST_LAG_S = 5.0
_ZONE_OUT_S = 2.0
_ZONE_DOWN_S = 5.0
_ZONE_BACK_S = 7.0
_TRAFFIC_S = 14.0
_ZONE = deployments.LAKESHORE.zones[0]
_BLOCKED_NODE = "node-0"


class _ZoneTimes(NamedTuple):
    """Monotonic times of the start, the zone's removal and its return."""

    begin_s: float
    out_s: float
    back_s: float


def _zone_hosts(fleet: harness.Fleet) -> list[str]:
    return [
        host_id
        for host_id, host in fleet.hosts.host_by_id.items()
        if host["zone"] == _ZONE and host["role"] != "node"
    ]


def _set_leaving(fleet: harness.Fleet, is_leaving: bool) -> None:
    for host_id in _zone_hosts(fleet):
        host = fleet.hosts.host_by_id[host_id]
        fleet.hosts.put(host | {"is_leaving": is_leaving})


def _set_dead(fleet: harness.Fleet, is_dead: bool) -> None:
    standins = fleet.upstream_standins()
    for host_id in _zone_hosts(fleet):
        standins[host_id].set_faults({"is_dead": is_dead})


def _block_configuration(fleet: harness.Fleet) -> None:
    """Makes one node fail to read configuration from the log.

    Key streams stay readable: without them a node refuses non-idempotent
    requests, which at-most-once and partition measure.
    """
    log = fleet.nodes[_BLOCKED_NODE].log
    original = log.read

    async def read(stream: str, *rest: Any) -> Any:
        if stream == config_follower.CONFIGURATION_STREAM:
            raise errors.LogUnavailableError("no connection to the log", False)
        return await original(stream, *rest)

    vars(log)["read"] = read


def _ignore_zone_records(fleet: harness.Fleet) -> None:
    """Makes nodes ignore the records of zones."""
    for node in fleet.nodes.values():
        vars(node.state.catalog)["is_zone_serving"] = lambda _: True


async def _move_zone(fleet: harness.Fleet) -> _ZoneTimes:
    """Takes the zone out of service and back; returns the times."""
    begin_s = time.monotonic()
    await asyncio.sleep(_ZONE_OUT_S)
    status = {"is_serving": False}
    await fleet.publish(harness.record("zone", _ZONE, status, 1))
    out_s = time.monotonic()
    _set_leaving(fleet, True)
    await asyncio.sleep(_ZONE_DOWN_S - _ZONE_OUT_S)
    _set_dead(fleet, True)
    await asyncio.sleep(_ZONE_BACK_S - _ZONE_DOWN_S)
    _set_dead(fleet, False)
    _set_leaving(fleet, False)
    status = {"is_serving": True}
    await fleet.publish(harness.record("zone", _ZONE, status, 2))
    return _ZoneTimes(begin_s, out_s, time.monotonic())


_Result = tuple[dict[str, float], list[dict[str, Any]]]


async def _run_fleet(seed: int, scale: float, is_baseline: bool) -> _Result:
    async with harness.Fleet(seed) as fleet:
        await deployments.build(fleet, deployments.LAKESHORE)
        _block_configuration(fleet)
        if is_baseline:
            _ignore_zone_records(fleet)
        fleet.hosts.set_faults({"lag_s": _LIST_LAG_S})
        callers = traffic.Traffic(fleet, deployments.LAKESHORE, seed)
        times, _ = await asyncio.gather(
            _move_zone(fleet), callers.run(_RATE_PER_S * scale, _TRAFFIC_S)
        )
        runs = [
            each.at_s
            for host_id in _zone_hosts(fleet)
            for each in fleet.upstream_standins()[host_id].runs
        ]
    lost = [
        {
            "is_baseline": is_baseline,
            "at_s": each.sent_s,
            "why": each.refusal_reason,
        }
        | {"request_id": each.request_id, "latency_s": each.latency_s}
        for each in callers.outcomes
        if not each.is_answered
    ]
    return _figures(times, runs, callers.outcomes), lost


def _figures(
    times: _ZoneTimes,
    runs: Sequence[float],
    outcomes: Sequence[traffic.Outcome],
) -> dict[str, float]:
    in_zone = [at_s for at_s in runs if times.out_s < at_s < times.back_s]
    lost = [each for each in outcomes if not each.is_answered]
    latencies_s = sorted(
        each.latency_s
        for each in outcomes
        if times.out_s < times.begin_s + each.sent_s < times.back_s
    )
    latency_s = latencies_s[int(0.95 * (len(latencies_s) - 1))]
    return {
        "last_new_work_s": max((s - times.out_s for s in in_zone), default=0.0),
        "work_after_out": len(in_zone),
        "lost_requests": len(lost),
        "latency_p95_s": latency_s,
        "requests": len(outcomes),
        "work_after_return": sum(at_s > times.back_s for at_s in runs),
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on the router and on the baseline."""
    figures, lost = await _run_fleet(seed, scale, False)
    baseline, baseline_lost = await _run_fleet(seed, scale, True)
    raw = (*lost, *baseline_lost)
    return report.Findings(figures, "lagging list only", baseline, raw)
