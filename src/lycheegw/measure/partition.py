"""Measures a partition of a zone from log, host list and other zones.

Records are published and the zone's callers send requests meanwhile. Baseline
nodes refuse work without the log, as if they depended on a central store.
"""

import asyncio
from collections.abc import Mapping
import random
from typing import Any

from lycheegw import app
from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.state import reasons

__all__ = ["run"]

_DEPLOYMENT = deployments.LAKESHORE
_PARTITION_S = 12.0
_RECORD_INTERVAL_S = 0.5
_REQUEST_INTERVAL_S = 0.05
_POLL_INTERVAL_S = 0.01
_CATCH_UP_TIMEOUT_S = 30.0
_CHAT = "/v1/chat/completions"


class _Callers:
    """Callers of the nodes in the partitioned zone.

    Attributes:
        answered: Requests answered with status 200.
        refused: Look-ups and model calls that were refused.
        keyed_refused: Refused non-idempotent calls, which need the log.
        keyed_not_run: Those of them that were refused as "not run".
    """

    def __init__(self, fleet: harness.Fleet, nodes: list[app.Node], seed: int):
        self._fleet = fleet
        self._nodes = nodes
        self._random = random.Random(seed)
        self.answered = 0
        self.refused = 0
        self.keyed_refused = 0
        self.keyed_not_run = 0

    async def run(self, seconds: float) -> None:
        """Sends model calls, look-ups and keyed calls for `seconds`."""
        tasks = []
        for index in range(int(seconds / _REQUEST_INTERVAL_S)):
            tasks.append(asyncio.create_task(self._send(index)))
            await asyncio.sleep(_REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _send(self, index: int) -> None:
        service = f"/v1/services/{_DEPLOYMENT.service}"
        headers = {"x-request-id": f"cut-{index}"}
        body: Mapping[str, Any] = {"about": index}
        is_keyed = index % 10 == 9
        if is_keyed:
            path = f"{service}/book-visit"
            headers |= {"idempotency-key": f"key-{index}"}
        elif index % 2:
            path = f"{service}/account-status"
        else:
            message = {"role": "user", "content": f"note {index}"}
            path = _CHAT
            body = {
                "model": _DEPLOYMENT.model,
                "messages": [message],
                "max_tokens": 8,
            }
        reply = await self._fleet.call(
            self._random.choice(self._nodes),
            path,
            body,
            deployments.organisation_key(_DEPLOYMENT, 0),
            headers,
        )
        self._count(reply, is_keyed)

    def _count(self, reply: harness.Reply, is_keyed: bool) -> None:
        if reply.status == 200:
            self.answered += 1
        elif is_keyed:
            self.keyed_refused += 1
            run = reply.json()["error"]["run"]
            self.keyed_not_run += run == "not_run"
        else:
            self.refused += 1


def _refuse_without_log(node: app.Node) -> None:
    """Makes a node not ready while it can't read the log."""
    original = node.api.unready_reason

    def unready_reason() -> reasons.RefusalReason | None:
        if not node.config_follower.is_healthy:
            return reasons.RefusalReason.NOT_READY
        return original()

    node.api.unready_reason = unready_reason  # type: ignore


async def _publish(fleet: harness.Fleet, seconds: float) -> int:
    """Publishes records for `seconds`; returns the offset of the last one."""
    offset = 0
    for index in range(int(seconds / _RECORD_INTERVAL_S)):
        zone = {"is_serving": index % 2 == 0}
        offset = await fleet.publish(
            harness.record("zone", "spare", zone, index)
        )
        await asyncio.sleep(_RECORD_INTERVAL_S)
    return offset


async def _record_reverts(fleet: harness.Fleet, reverts: list[str]) -> None:
    """Records each node whose offset falls, until cancelled."""
    offset_by_id: dict[str, int] = {}
    while True:
        for node_id, node in fleet.nodes.items():
            offset = node.state.catalog.offset
            if offset < offset_by_id.get(node_id, offset):
                reverts.append(node_id)
            offset_by_id[node_id] = offset
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _run_fleet(
    seed: int, partition_s: float, is_baseline: bool
) -> Mapping[str, float]:
    """Returns the figures of one fleet."""
    async with harness.Fleet(seed) as fleet:
        zone_platform = await fleet.add_platform()
        zone = _DEPLOYMENT.zones[0]
        await deployments.build(fleet, _DEPLOYMENT, {zone: zone_platform})
        zone_nodes = [
            node
            for node in fleet.nodes.values()
            if node.state.identity.zone == zone
        ]
        if is_baseline:
            for node in fleet.nodes.values():
                _refuse_without_log(node)
        reverts: list[str] = []
        recording = asyncio.create_task(_record_reverts(fleet, reverts))
        zone_platform.set_faults({"is_silent": True})
        fleet.partition([node.state.identity.node_id for node in zone_nodes])
        callers = _Callers(fleet, zone_nodes, seed)
        last_offset, _ = await asyncio.gather(
            _publish(fleet, partition_s), callers.run(partition_s)
        )
        nodes_behind = sum(
            node.state.catalog.offset < last_offset for node in zone_nodes
        )
        fleet.heal_partition()
        zone_platform.set_faults({"is_silent": False})
        begin_s = asyncio.get_running_loop().time()
        async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
            while any(
                node.state.catalog.offset < last_offset for node in zone_nodes
            ):
                await asyncio.sleep(_POLL_INTERVAL_S)
        catch_up_s = asyncio.get_running_loop().time() - begin_s
        recording.cancel()
    return {
        "refused_while_cut": callers.refused,
        "catch_up_s": catch_up_s,
        "reverts": len(reverts),
        "answered_while_cut": callers.answered,
        "keyed_refused_while_cut": callers.keyed_refused,
        "keyed_not_run_while_cut": callers.keyed_not_run,
        "nodes_behind_at_heal": nodes_behind,
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on a partition and its end."""
    figures, baseline = await asyncio.gather(
        _run_fleet(seed, _PARTITION_S * scale, False),
        _run_fleet(seed, _PARTITION_S * scale, True),
    )
    return report.Findings(figures, "no log, no work", baseline)
