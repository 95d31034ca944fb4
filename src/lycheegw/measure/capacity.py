"""Measure `capacity`: what a node needs idle, and the appends at full size.

The idle figures come from a process that also holds the stand-ins, so that
they are upper bounds. Appends are counted at two sizes and follow the slope
to the size of the letter; the baseline appends for each request.
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
from lycheegw.measure import report
from lycheegw.measure import rig
from lycheegw.measure import traffic

__all__ = ["run"]

_NODES_AT_SIZE = 370
_REQUESTS_PER_S_AT_SIZE = 9_900
# A claim, its outcome and a bill for a keyed call; a bill for the rest.
_BASELINE_APPENDS_PER_REQUEST = 1.2
_KEYS = "keys"
_OTHERS = "others"
_SMALL_NODES = 2
_LARGE_NODES = 6
_RATE_PER_NODE_S = 4.0
_SECONDS = 8.0
_MEGABYTE = 1024 * 1024
_READY_POLL_S = 0.005


def _resident_bytes() -> int:
    gc.collect()
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


async def _ready_s(fleet: rig.Fleet, zone: str, node_id: str) -> float:
    """Returns seconds from the start of a node until it takes work."""
    begin_s = time.monotonic()
    node = await fleet.add_node(node_id, zone)
    await _wait_ready(node)
    return time.monotonic() - begin_s


async def _wait_ready(node: app.Node) -> None:
    while node.edge.unready_reason() is not None:
        await asyncio.sleep(_READY_POLL_S)


async def _appends_per_s(
    nodes: int, seed: int, seconds: float
) -> dict[str, float]:
    """Returns appends a second by family of streams."""
    deployment = deployments.LAKESHORE._replace(nodes=nodes, engines=3)
    async with rig.Fleet(seed) as fleet:
        await deployments.build(fleet, deployment)
        before = _appends_by_family(fleet)
        callers = traffic.Traffic(fleet, deployment, seed)
        await callers.run(_RATE_PER_NODE_S * nodes, seconds)
        grown = _appends_by_family(fleet)
        grown.subtract(before)
        return {family: grown[family] / seconds for family in (_KEYS, _OTHERS)}


def _appends_by_family(fleet: rig.Fleet) -> collections.Counter[str]:
    appends: collections.Counter[str] = collections.Counter()
    for name, stream in fleet.log.streams_by_name.items():
        appends[_KEYS if name.startswith(_KEYS) else _OTHERS] += stream.appends
    return appends


def _at_size(small: float, large: float) -> float:
    """Follows the slope of two sizes to the letter's."""
    slope = (large - small) / (_LARGE_NODES - _SMALL_NODES)
    return small + slope * (_NODES_AT_SIZE - _SMALL_NODES)


async def _idle_figures(seed: int) -> dict[str, float]:
    """Returns memory and time to readiness of an idle node."""
    deployment = deployments.LAKESHORE._replace(nodes=1)
    zone = deployment.zones[0]
    async with rig.Fleet(seed) as fleet:
        await deployments.build(fleet, deployment)
        idle = _resident_bytes()
        ready_s = await _ready_s(fleet, zone, "fresh-0")
        before = _resident_bytes()
        for index in range(1, 1 + _LARGE_NODES):
            await _ready_s(fleet, zone, f"fresh-{index}")
        grown = _resident_bytes() - before
    return {
        "idle_memory_mb": idle / _MEGABYTE,
        "ready_s": ready_s,
        "memory_per_further_node_mb": grown / _LARGE_NODES / _MEGABYTE,
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Measures idle memory, time to readiness and appends."""
    figures = await _idle_figures(seed)
    small = await _appends_per_s(_SMALL_NODES, seed, _SECONDS * scale)
    large = await _appends_per_s(_LARGE_NODES, seed, _SECONDS * scale)
    for family in (_KEYS, _OTHERS):
        figures[f"{family}_appends_per_s_2_nodes"] = small[family]
        figures[f"{family}_appends_per_s_6_nodes"] = large[family]
    # Claims share batches: a stream of keys is appended to at a bounded rate.
    keys = min(
        _at_size(small[_KEYS], large[_KEYS]), key_coordinator.MAX_APPENDS_PER_S
    )
    others = _at_size(small[_OTHERS], large[_OTHERS])
    figures["appends_per_s_at_size"] = keys + others
    baseline = {
        "appends_per_s_at_size": _REQUESTS_PER_S_AT_SIZE
        * _BASELINE_APPENDS_PER_REQUEST,
    }
    return report.Findings(figures, "append each", baseline)
