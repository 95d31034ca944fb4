"""Cold upstreams: a zone returns, then one turns cold without a word.

The baseline is a limit for each node by itself.
"""

import asyncio
from typing import Any

from lycheegw.coordination import slots
from lycheegw.measure import basics
from lycheegw.measure import report
from lycheegw.measure import rig
from lycheegw.standins import engine

__all__ = ["run"]

_KEY = "cold-key"
_NEAR, _FAR = "z-a", "z-b"
_NODES = 6
_ENGINES = 3
_COLD_S = 4.0
_LIMITS = {"warm_up_s": 5.0, "default_deadline_s": 8.0}
_AWAY_S = 1.5
_BUSY_CALLERS = 18
_QUIET_CALLERS = 4
_WARM_CALLERS = 12
_WARM_S = 2.0
_UNSEEN_S = 3.5
_UNSEEN_COLD_S = 7.0
_ENGINE = engine.EngineSettings(
    first_token_s=0.05,
    token_gap_s=0.01,
    cold_s=_COLD_S,
    cold_slowdown=5.0,
)
_BODY = {
    "model": "drafter",
    "messages": [{"role": "user", "content": "summarise"}],
    "max_tokens": 25,
}
_RECORDS = basics.records(_KEY)


class _Callers:
    """Callers that send one request after another to the nodes in turn."""

    def __init__(self, fleet: rig.Fleet):
        self._fleet = fleet
        self.latencies_s: list[float] = []
        self.refused = 0

    async def run(self, callers: int, seconds: float) -> None:
        """Keeps `callers` requests running."""
        end_s = asyncio.get_running_loop().time() + seconds
        nodes = list(self._fleet.nodes.values())
        await asyncio.gather(
            *(
                self._send(nodes[index % len(nodes)], end_s)
                for index in range(callers)
            )
        )

    async def _send(self, node: Any, end_s: float) -> None:
        while asyncio.get_running_loop().time() < end_s:
            reply = await self._fleet.call(
                node, "/v1/chat/completions", _BODY, _KEY
            )
            if reply.status == 200:
                self.latencies_s.append(reply.latency_s)
            else:
                self.refused += 1
                await asyncio.sleep(0.1)


async def _build(fleet: rig.Fleet, is_baseline: bool) -> None:
    for index in range(_ENGINES):
        for zone, cold_s in ((_NEAR, _COLD_S), (_FAR, 0.0)):
            config = _ENGINE._replace(cold_s=cold_s)
            started = await fleet.add_engine(f"{zone}-{index}", zone, config)
            started.age(3600.0)
    for index in range(_NODES):
        node = await fleet.add_node(f"node-{index}", _NEAR)
        if is_baseline:
            node.slots.allowance = slots.per_node_allowance(node.coldness)
    await fleet.wait_applied(await fleet.publish(*_RECORDS))
    await fleet.wait_upstreams()


async def _zone_returns(fleet: rig.Fleet, callers: _Callers) -> None:
    """Takes the near engines away under load and brings them back cold."""
    near = [each for name, each in fleet.engines.items() if _NEAR in name]
    load = asyncio.create_task(
        callers.run(_BUSY_CALLERS, 1 + _AWAY_S + _COLD_S + 1.5)
    )
    await asyncio.sleep(1)
    for each in near:
        each.set_faults({"is_dead": True})
    await asyncio.sleep(_AWAY_S)
    for each in near:
        each.set_faults({"is_dead": False})
        each.restart(is_announced=True)
    await load


async def _turns_cold_unseen(fleet: rig.Fleet, callers: _Callers) -> None:
    """Turns one engine cold in a quiet time, before load comes back."""
    await callers.run(_WARM_CALLERS, _WARM_S)
    victim = fleet.engines[f"{_NEAR}-0"]
    victim.config = victim.config._replace(cold_s=_UNSEEN_COLD_S)
    victim.restart(is_announced=False)
    await callers.run(_QUIET_CALLERS, _UNSEEN_S)
    await callers.run(_BUSY_CALLERS, 1.0)


async def _run_once(seed: int, scale: float, is_baseline: bool) -> Any:
    del scale
    async with rig.Fleet(seed, _LIMITS) as fleet:
        await _build(fleet, is_baseline)
        callers = _Callers(fleet)
        await _zone_returns(fleet, callers)
        falls = {"falls_zone": sum(e.falls for e in fleet.engines.values())}
        await _turns_cold_unseen(fleet, callers)
        near = [each for name, each in fleet.engines.items() if _NEAR in name]
        latencies_s = sorted(callers.latencies_s)
        answered = len(latencies_s)
        counters: dict[str, int] = {}
        for node in fleet.nodes.values():
            for name, count in node.state.counters.by_name.items():
                counters[name] = counters.get(name, 0) + count
        figures = {
            "falls": sum(each.falls for each in fleet.engines.values()),
            **falls,
            "peak_at_cold_upstream": max(each.peak_cold for each in near),
            "answered": answered,
            "refused": callers.refused,
            "latency_p95_s": latencies_s[int(0.95 * answered)],
        }
        return figures, counters


async def run(seed: int, scale: float) -> report.Findings:
    """Counts the upstreams that fall over, with and without grantors."""
    figures, counters = await _run_once(seed, scale, is_baseline=False)
    baseline, _ = await _run_once(seed, scale, is_baseline=True)
    return report.Findings(
        figures, "per-node limit", baseline, ({"counters": counters},)
    )
