"""Measures how soon all nodes apply a record while the log fails for some.

The log is silent for the nodes of one zone and slow for those of another.
Records are published throughout, some repeated and some racing; a node is
added to the zone without the log. In the baseline nodes read only the log.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

from lycheegw import app
from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.measure import report

__all__ = ["run"]

_DEPLOYMENT = deployments.LAKESHORE
_OUTAGE_S = 16.0
_LOG_DELAY_S = 0.3
_RECORD_INTERVAL_S = 0.5
_SAMPLE_INTERVAL_S = 0.01
_SETTLE_S = 5.0


class _OffsetMonitor:
    """Records when all nodes have applied a record, and offsets that fall."""

    def __init__(self, fleet: harness.Fleet):
        self._fleet = fleet
        self._offset_by_node: dict[int, int] = {}
        self._published_s_by_offset: dict[int, float] = {}
        self.apply_s_by_offset: dict[int, float] = {}
        self.reverts = 0

    def note_published(self, offset: int) -> None:
        """Records that the log accepted a record now."""
        self._published_s_by_offset[offset] = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Samples the nodes' offsets until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Counts reverts and records which offsets all nodes have applied."""
        now_s = asyncio.get_running_loop().time()
        for node in self._fleet.nodes.values():
            offset = node.state.catalog.offset
            if offset < self._offset_by_node.get(id(node), offset):
                self.reverts += 1
            self._offset_by_node[id(node)] = offset
        lowest = min(
            node.state.catalog.offset for node in self._fleet.nodes.values()
        )
        for offset, at_s in self._published_s_by_offset.items():
            if offset <= lowest and offset not in self.apply_s_by_offset:
                self.apply_s_by_offset[offset] = now_s - at_s


def _disable_exchange(node: app.Node) -> None:
    """Makes a node get no configuration from other nodes."""

    async def pull(_: str) -> bool:
        return False

    node.config_exchange.pull = pull  # type: ignore


def _next_records(index: int) -> list[dict[str, Any]]:
    """Returns the records of one step.

    Of three steps one repeats its record and one adds a racing record.
    """
    zone = {"is_serving": index % 2 == 0}
    value = harness.record("zone", "spare", zone, index, f"step-{index}")
    if index % 3 == 1:
        return [value, value]
    if index % 3 == 2:
        return [value, value | {"id": f"race-{index}"}]
    return [value]


async def _publish(
    fleet: harness.Fleet, monitor: _OffsetMonitor, seconds: float
) -> None:
    """Publishes records at a fixed interval for `seconds`."""
    for index in range(int(seconds / _RECORD_INTERVAL_S)):
        monitor.note_published(await fleet.publish(*_next_records(index)))
        await asyncio.sleep(_RECORD_INTERVAL_S)


async def _add_replacement(
    fleet: harness.Fleet, platform: harness.Platform, is_baseline: bool
) -> float:
    """Adds a node without the log; returns seconds until it has a catalog."""
    begin_s = asyncio.get_running_loop().time()
    node = await fleet.add_node(
        "fresh", _DEPLOYMENT.zones[0], _DEPLOYMENT.region, platform
    )
    if is_baseline:
        _disable_exchange(node)
    while node.state.catalog.is_empty:
        await asyncio.sleep(_SAMPLE_INTERVAL_S)
    return asyncio.get_running_loop().time() - begin_s


async def _run_fleet(
    seed: int, outage_s: float, is_baseline: bool
) -> Mapping[str, float]:
    """Returns the figures of one fleet."""
    async with harness.Fleet(seed) as fleet:
        failed, slow = [await fleet.add_platform() for _ in range(2)]
        zones = _DEPLOYMENT.zones
        await deployments.build(
            fleet, _DEPLOYMENT, {zones[0]: failed, zones[1]: slow}
        )
        for node in fleet.nodes.values():
            if is_baseline:
                _disable_exchange(node)
        monitor = _OffsetMonitor(fleet)
        monitoring = asyncio.create_task(monitor.run())
        failed.log.set_faults({"is_silent": True})
        slow.log.set_faults({"delay_s": _LOG_DELAY_S})
        replacement = asyncio.create_task(
            _add_replacement(fleet, failed, is_baseline)
        )
        await _publish(fleet, monitor, outage_s)
        failed.log.set_faults({"is_silent": False})
        last_offset = await fleet.publish(*_next_records(3))
        async with asyncio.timeout(_SETTLE_S + _OUTAGE_S):
            replacement_s = await replacement
        await fleet.wait_applied(last_offset)
        monitor.sample()
        monitoring.cancel()
        return _figures(fleet, monitor, replacement_s)


def _figures(
    fleet: harness.Fleet, monitor: _OffsetMonitor, replacement_s: float
) -> Mapping[str, float]:
    apply_times_s = sorted(monitor.apply_s_by_offset.values())
    snapshots = {
        node.catalog_updater.snapshot() for node in fleet.nodes.values()
    }
    return {
        "in_force_everywhere_s": apply_times_s[-1],
        "in_force_everywhere_p50_s": apply_times_s[len(apply_times_s) // 2],
        "fresh_start_s": replacement_s,
        "reverts": monitor.reverts,
        "differing_nodes": len(snapshots) - 1,
        "records": len(apply_times_s),
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on how soon records are applied."""
    figures, baseline = await asyncio.gather(
        _run_fleet(seed, _OUTAGE_S * scale, False),
        _run_fleet(seed, _OUTAGE_S * scale, True),
    )
    return report.Findings(figures, "log alone", baseline)
