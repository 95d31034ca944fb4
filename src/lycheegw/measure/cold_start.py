"""Measures overloads of cold upstreams, which crash above their cold limit.

The engines of a zone restart, then one engine becomes cold unannounced. In the
baseline each node limits only its own requests to a cold upstream.
"""

import asyncio
from typing import Any

from lycheegw.coordination import slots
from lycheegw.measure import harness
from lycheegw.measure import minimal_config
from lycheegw.measure import report
from lycheegw.standins import engine

__all__ = ["run"]

_KEY = "cold-key"
_LOCAL_ZONE, _REMOTE_ZONE = "z-a", "z-b"
_NODES = 6
_ENGINES = 3
_COLD_S = 4.0
_LIMITS = {"warm_up_s": 5.0, "default_deadline_s": 8.0}
_OUTAGE_S = 1.5
_HIGH_LOAD_CALLERS = 18
_LOW_LOAD_CALLERS = 4
_WARM_CALLERS = 12
_WARM_PHASE_S = 2.0
_UNANNOUNCED_S = 3.5
_UNANNOUNCED_COLD_S = 7.0
_ENGINE_SETTINGS = engine.EngineSettings(
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
_RECORDS = minimal_config.records(_KEY)


class _Callers:
    """Callers that each send one request after another to one node."""

    def __init__(self, fleet: harness.Fleet):
        self._fleet = fleet
        self.latencies_s: list[float] = []
        self.refused = 0

    async def run(self, callers: int, seconds: float) -> None:
        """Keeps `callers` requests running, spread over the nodes."""
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


async def _build(fleet: harness.Fleet, is_baseline: bool) -> None:
    for index in range(_ENGINES):
        for zone, cold_s in ((_LOCAL_ZONE, _COLD_S), (_REMOTE_ZONE, 0.0)):
            config = _ENGINE_SETTINGS._replace(cold_s=cold_s)
            started = await fleet.add_engine(f"{zone}-{index}", zone, config)
            started.backdate_start(3600.0)
    for index in range(_NODES):
        node = await fleet.add_node(f"node-{index}", _LOCAL_ZONE)
        if is_baseline:
            node.slots.allowance = slots.per_node_allowance(node.cold_detector)
    await fleet.wait_applied(await fleet.publish(*_RECORDS))
    await fleet.wait_upstreams()


async def _restart_zone(fleet: harness.Fleet, callers: _Callers) -> None:
    """Stops the local zone's engines under load and restarts them cold."""
    local_engines = [
        each for name, each in fleet.engines.items() if _LOCAL_ZONE in name
    ]
    load_task = asyncio.create_task(
        callers.run(_HIGH_LOAD_CALLERS, 1 + _OUTAGE_S + _COLD_S + 1.5)
    )
    await asyncio.sleep(1)
    for each in local_engines:
        each.set_faults({"is_dead": True})
    await asyncio.sleep(_OUTAGE_S)
    for each in local_engines:
        each.set_faults({"is_dead": False})
        each.restart(is_announced=True)
    await load_task


async def _restart_unannounced(fleet: harness.Fleet, callers: _Callers) -> None:
    """Makes an engine cold without notice at low load, then raises load."""
    await callers.run(_WARM_CALLERS, _WARM_PHASE_S)
    victim = fleet.engines[f"{_LOCAL_ZONE}-0"]
    victim.config = victim.config._replace(cold_s=_UNANNOUNCED_COLD_S)
    victim.restart(is_announced=False)
    await callers.run(_LOW_LOAD_CALLERS, _UNANNOUNCED_S)
    await callers.run(_HIGH_LOAD_CALLERS, 1.0)


async def _run_once(seed: int, scale: float, is_baseline: bool) -> Any:
    del scale
    async with harness.Fleet(seed, _LIMITS) as fleet:
        await _build(fleet, is_baseline)
        callers = _Callers(fleet)
        await _restart_zone(fleet, callers)
        zone_figures = {
            "falls_zone": sum(e.crash_count for e in fleet.engines.values())
        }
        await _restart_unannounced(fleet, callers)
        local_engines = [
            each for name, each in fleet.engines.items() if _LOCAL_ZONE in name
        ]
        latencies_s = sorted(callers.latencies_s)
        answered = len(latencies_s)
        counters: dict[str, int] = {}
        for node in fleet.nodes.values():
            for name, count in node.state.counters.by_name.items():
                counters[name] = counters.get(name, 0) + count
        figures = {
            "falls": sum(each.crash_count for each in fleet.engines.values()),
            **zone_figures,
            "peak_at_cold_upstream": max(
                each.peak_running_while_cold for each in local_engines
            ),
            "answered": answered,
            "refused": callers.refused,
            "latency_p95_s": latencies_s[int(0.95 * answered)],
        }
        return figures, counters


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on crashes, with and without slot grantors."""
    figures, counters = await _run_once(seed, scale, is_baseline=False)
    baseline, _ = await _run_once(seed, scale, is_baseline=True)
    return report.Findings(
        figures, "per-node limit", baseline, ({"counters": counters},)
    )
