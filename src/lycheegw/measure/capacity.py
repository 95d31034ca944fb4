"""Measures an idle node's memory and start time, and appends at target size.

The process also runs the stand-ins, so the idle figures are upper bounds.
Appends are counted with two numbers of nodes and extrapolated linearly to the
target size. The baseline appends for each request.
"""

import asyncio
import collections
import gc
import pathlib
import resource
import time

from lycheegw import app
from lycheegw.coordination import key_coordinator
from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.measure import traffic

__all__ = ["run"]

_NODES_AT_SIZE = 370
_REQUESTS_PER_S_AT_SIZE = 9_900
# A claim, an outcome and a bill for a keyed call, a bill for each other one.
_BASELINE_APPENDS_PER_REQUEST = 1.2
_KEYS = "keys"
_OTHERS = "others"
_SMALL_NODES = 2
_LARGE_NODES = 6
_RATE_PER_NODE_S = 4.0
_SECONDS = 8.0
_MEGABYTE = 1024 * 1024
_POLL_INTERVAL_S = 0.005


def _resident_bytes() -> int:
    gc.collect()
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


async def _seconds_to_ready(
    fleet: harness.Fleet, zone: str, node_id: str
) -> float:
    """Starts a node; returns the seconds until it is ready."""
    begin_s = time.monotonic()
    node = await fleet.add_node(node_id, zone)
    await _wait_ready(node)
    return time.monotonic() - begin_s


async def _wait_ready(node: app.Node) -> None:
    while node.api.unready_reason() is not None:
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _appends_per_s(
    nodes: int, seed: int, seconds: float
) -> dict[str, float]:
    """Returns appends per second to the streams of keys and to all others."""
    deployment = deployments.LAKESHORE._replace(nodes=nodes, engines=3)
    async with harness.Fleet(seed) as fleet:
        await deployments.build(fleet, deployment)
        before = _appends_by_family(fleet)
        callers = traffic.Traffic(fleet, deployment, seed)
        await callers.run(_RATE_PER_NODE_S * nodes, seconds)
        increase = _appends_by_family(fleet)
        increase.subtract(before)
        return {
            family: increase[family] / seconds for family in (_KEYS, _OTHERS)
        }


def _appends_by_family(fleet: harness.Fleet) -> collections.Counter[str]:
    appends: collections.Counter[str] = collections.Counter()
    for name, stream in fleet.log.streams_by_name.items():
        appends[_KEYS if name.startswith(_KEYS) else _OTHERS] += stream.appends
    return appends


def _extrapolate(small: float, large: float) -> float:
    """Extrapolates from the two measured sizes to the target size."""
    slope = (large - small) / (_LARGE_NODES - _SMALL_NODES)
    return small + slope * (_NODES_AT_SIZE - _SMALL_NODES)


async def _idle_figures(seed: int) -> dict[str, float]:
    """Returns an idle node's memory and the time until a new one is ready."""
    deployment = deployments.LAKESHORE._replace(nodes=1)
    zone = deployment.zones[0]
    async with harness.Fleet(seed) as fleet:
        await deployments.build(fleet, deployment)
        idle = _resident_bytes()
        ready_s = await _seconds_to_ready(fleet, zone, "fresh-0")
        before = _resident_bytes()
        for index in range(1, 1 + _LARGE_NODES):
            await _seconds_to_ready(fleet, zone, f"fresh-{index}")
        increase = _resident_bytes() - before
    return {
        "idle_memory_mb": idle / _MEGABYTE,
        "ready_s": ready_s,
        "memory_per_further_node_mb": increase / _LARGE_NODES / _MEGABYTE,
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on idle memory, time to readiness and appends."""
    figures = await _idle_figures(seed)
    small = await _appends_per_s(_SMALL_NODES, seed, _SECONDS * scale)
    large = await _appends_per_s(_LARGE_NODES, seed, _SECONDS * scale)
    for family in (_KEYS, _OTHERS):
        figures[f"{family}_appends_per_s_2_nodes"] = small[family]
        figures[f"{family}_appends_per_s_6_nodes"] = large[family]
    # Claims are batched, so the append rate of the key streams is bounded.
    keys = min(
        _extrapolate(small[_KEYS], large[_KEYS]),
        key_coordinator.MAX_APPENDS_PER_S,
    )
    others = _extrapolate(small[_OTHERS], large[_OTHERS])
    figures["appends_per_s_at_size"] = keys + others
    baseline = {
        "appends_per_s_at_size": _REQUESTS_PER_S_AT_SIZE
        * _BASELINE_APPENDS_PER_REQUEST,
    }
    return report.Findings(figures, "append each", baseline)
