"""A roll-out whose holders die and pause, with the log and the store failing.

Half of the engines ignore fencing numbers. An order counts as sent on a lapsed
lease unless the log, judged here by itself, says that its lease is in force.
The baseline has no lease: each candidate sends orders on its own.
"""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import time
from typing import Any

from lycheegw import app
from lycheegw.coordination import interfaces
from lycheegw.coordination import leases
from lycheegw.measure import report
from lycheegw.measure import rig
from lycheegw.standins import engine
from lycheegw.state import upstreams

__all__ = ["run"]

_MODEL = "drafter"
_ZONES = ("z1", "z2", "z3")
_NODES = 6
_ENGINES = 12
_TERM_S = 1.5
_SECONDS_PER_FETCH = 0.25
_PAUSE_S = 3.0
_PAUSED_CALLS = frozenset((2, 5))
_OUTAGE_S = 3.0
_TIMEOUT_S = 30.0
_POLL_S = 0.02
_RECORDS = (
    rig.record(
        "model",
        _MODEL,
        {
            "default": "v1",
            "versions": {
                "v1": {"cost_per_1k_tokens": 1.0},
                "v2": {"cost_per_1k_tokens": 1.0},
            },
        },
    ),
)
_ROLLOUT = {"from_version": "v1", "to_version": "v2", "share": 0.5}


class _NoLeases:
    """Leases that everyone has at once."""

    async def take(self, name: str, delay_s: float = 0.0) -> leases.Lease:
        """Returns a lease."""
        del delay_s
        return leases.Lease(name, 0, 0.0)

    async def renew(self, lease: leases.Lease) -> leases.Lease:
        """Returns the lease."""
        return lease

    def is_held(self, lease: leases.Lease) -> bool:
        """Returns true."""
        del lease
        return True

    def left_s(self, lease: leases.Lease) -> float:
        """Returns a while."""
        del lease
        return _TERM_S

    def is_renewal_due(self, lease: leases.Lease) -> bool:
        """Returns false."""
        del lease
        return False


class _Judge:
    """Judges each order by the log's entries alone.

    Attributes:
        orders: Orders sent.
        lapsed: Orders sent without a lease in force.
    """

    def __init__(self, fleet: rig.Fleet):
        self._fleet = fleet
        self.orders = 0
        self.lapsed = 0

    def attach(self, node: app.Node) -> None:
        """Watches the orders of a node."""
        send = node.upstream_client.order

        async def order(
            target: upstreams.HostEntry,
            sent: interfaces.UpstreamOrder,
            timeout_s: float,
        ) -> None:
            self.orders += 1
            self.lapsed += sent.fencing != self._fencing_in_force()
            await send(target, sent, timeout_s)

        node.upstream_client.order = order  # type: ignore

    def _fencing_in_force(self) -> int | None:
        """Returns the offset of the lease in force now, None for none."""
        now_s = time.time()
        fencing, free_s = None, 0.0
        for entry in self._fleet.log.stream(leases.LEASE_STREAM).entries:
            if entry["at_s"] > free_s:
                fencing = entry["offset"]
            free_s = max(free_s, entry["at_s"] + entry["data"]["term_s"])
        return fencing if now_s <= free_s else None


def _pause_in_the_store(node: app.Node) -> None:
    """Lets some answers of the weight store come after the lease's term."""
    reserve = node.rollouts._weights.reserve
    calls = 0

    async def paused(model: str, version: str) -> float:
        nonlocal calls
        calls += 1
        wait_s = await reserve(model, version)
        if calls in _PAUSED_CALLS:
            await asyncio.sleep(_PAUSE_S)
        return wait_s

    node.rollouts._weights.reserve = paused  # type: ignore


async def _build(fleet: rig.Fleet, is_baseline: bool) -> _Judge:
    judge = _Judge(fleet)
    fleet.weights.set_faults({"seconds_per_fetch": _SECONDS_PER_FETCH})
    for index in range(_ENGINES):
        config = engine.EngineSettings(
            model=_MODEL, honours_fencing=index % 2 == 0
        )
        await fleet.add_engine(f"e{index}", _ZONES[index % 3], config)
    for index in range(_NODES):
        node = await fleet.add_node(f"n{index}", _ZONES[index % 3])
        judge.attach(node)
        _pause_in_the_store(node)
        if is_baseline:
            node.rollouts._leases = _NoLeases()  # type: ignore
    await fleet.wait_applied(await fleet.publish(*_RECORDS))
    await fleet.wait_upstreams()
    return judge


def _missing(fleet: rig.Fleet, wanted: frozenset[str]) -> int:
    return sum(each.versions != wanted for each in fleet.engines.values())


async def _wait_done(
    fleet: rig.Fleet, wanted: frozenset[str], missing: int = 0
) -> None:
    """Waits until no more than `missing` engines differ from `wanted`."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + _TIMEOUT_S
    while _missing(fleet, wanted) > missing and loop.time() < end_s:
        await asyncio.sleep(_POLL_S)


def _busiest(fleet: rig.Fleet) -> str:
    """Returns the node that has sent the most orders."""
    return max(
        fleet.nodes,
        key=lambda each: fleet.nodes[each].state.counters.by_name[
            "rollouts.orders"
        ],
    )


async def _fail(fleet: rig.Fleet, wanted: frozenset[str]) -> None:
    """Kills a holder a third of the way, then takes the log away."""
    await _wait_done(fleet, wanted, _ENGINES * 2 // 3)
    await fleet.kill_node(_busiest(fleet))
    await _wait_done(fleet, wanted, _ENGINES // 3)
    fleet.log.set_faults({"is_dead": True})
    await asyncio.sleep(_OUTAGE_S)
    fleet.log.set_faults({"is_dead": False})


async def _run_fleet(seed: int, is_baseline: bool) -> Mapping[str, float]:
    """Returns the figures of one fleet."""
    limits: dict[str, Any] = {"lease_term_s": _TERM_S}
    async with rig.Fleet(seed, limits) as fleet:
        judge = await _build(fleet, is_baseline)
        wanted = frozenset(("v1", "v2"))
        begin_s = asyncio.get_running_loop().time()
        await fleet.publish(rig.record("rollout", _MODEL, _ROLLOUT))
        await _fail(fleet, wanted)
        await _wait_done(fleet, wanted)
        seconds = asyncio.get_running_loop().time() - begin_s
        return {
            "orders_on_lapsed_lease": judge.lapsed,
            "unfinished": _missing(fleet, wanted),
            "orders": judge.orders,
            "fetches": fleet.weights.fetches,
            "seconds": seconds,
            "rejected_orders": _rejected(list(fleet.nodes.values())),
        }


def _rejected(nodes: Sequence[app.Node]) -> int:
    return sum(
        node.state.counters.by_name["rollouts.order_failed"] for node in nodes
    )


async def run(seed: int, scale: float) -> report.Findings:
    """Measures a roll-out under failures; returns the findings."""
    del scale
    figures, baseline = await asyncio.gather(
        _run_fleet(seed, False), _run_fleet(seed, True)
    )
    return report.Findings(figures, "no lease", baseline)
