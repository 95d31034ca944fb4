"""Counts orders without a valid lease in a roll-out under failures.

A lease holder is killed, replies of the weight store are late and the log
fails. Half of the engines ignore fencing numbers. Whether an order's lease is
in force is computed here from the log alone. The baseline has no leases: each
candidate sends orders.
"""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import time
from typing import Any

from lycheegw import app
from lycheegw.coordination import interfaces
from lycheegw.coordination import leases
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.standins import engine
from lycheegw.state import upstreams

__all__ = ["run"]

_MODEL = "drafter"
_ZONES = ("z1", "z2", "z3")
_NODES = 6
_ENGINES = 12
_TERM_S = 1.5
_SECONDS_PER_FETCH = 0.25
_RESERVATION_DELAY_S = 3.0
_DELAYED_CALLS = frozenset((2, 5))
_OUTAGE_S = 3.0
_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02
_RECORDS = (
    harness.record(
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
    """Grants every lease to every node at once."""

    async def acquire(self, name: str, delay_s: float = 0.0) -> leases.Lease:
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

    def remaining_s(self, lease: leases.Lease) -> float:
        """Returns the full term."""
        del lease
        return _TERM_S

    def is_renewal_due(self, lease: leases.Lease) -> bool:
        """Returns false."""
        del lease
        return False


class _OrderChecker:
    """Checks the lease of each order by the entries of the log alone.

    Attributes:
        orders: Number of orders sent.
        lapsed: Number of orders sent without a lease in force.
    """

    def __init__(self, fleet: harness.Fleet):
        self._fleet = fleet
        self.orders = 0
        self.lapsed = 0

    def attach(self, node: app.Node) -> None:
        """Checks each order that a node sends from now on."""
        send = node.upstream_client.order

        async def order(
            target: upstreams.HostEntry,
            sent: interfaces.UpstreamOrder,
            timeout_s: float,
        ) -> None:
            self.orders += 1
            self.lapsed += sent.fencing != self._fencing_number_in_force()
            await send(target, sent, timeout_s)

        node.upstream_client.order = order  # type: ignore

    def _fencing_number_in_force(self) -> int | None:
        """Returns the fencing number of the lease in force, None if none is."""
        now_s = time.time()
        fencing_number, lease_end_s = None, 0.0
        for entry in self._fleet.log.stream(leases.LEASE_STREAM).entries:
            if entry["at_s"] > lease_end_s:
                fencing_number = entry["offset"]
            lease_end_s = max(
                lease_end_s, entry["at_s"] + entry["data"]["term_s"]
            )
        return fencing_number if now_s <= lease_end_s else None


def _delay_reservations(node: app.Node) -> None:
    """Delays some replies of the weight store beyond the lease's term."""
    reserve = node.version_reconciler._weights.reserve
    calls = 0

    async def reserve_late(model: str, version: str) -> float:
        nonlocal calls
        calls += 1
        wait_s = await reserve(model, version)
        if calls in _DELAYED_CALLS:
            await asyncio.sleep(_RESERVATION_DELAY_S)
        return wait_s

    node.version_reconciler._weights.reserve = reserve_late  # type: ignore


async def _build(fleet: harness.Fleet, is_baseline: bool) -> _OrderChecker:
    checker = _OrderChecker(fleet)
    fleet.weights.set_faults({"seconds_per_fetch": _SECONDS_PER_FETCH})
    for index in range(_ENGINES):
        config = engine.EngineSettings(
            model=_MODEL, honours_fencing=index % 2 == 0
        )
        await fleet.add_engine(f"e{index}", _ZONES[index % 3], config)
    for index in range(_NODES):
        node = await fleet.add_node(f"n{index}", _ZONES[index % 3])
        checker.attach(node)
        _delay_reservations(node)
        if is_baseline:
            node.version_reconciler._leases = _NoLeases()  # type: ignore
    await fleet.wait_applied(await fleet.publish(*_RECORDS))
    await fleet.wait_upstreams()
    return checker


def _unfinished_count(fleet: harness.Fleet, wanted: frozenset[str]) -> int:
    return sum(each.versions != wanted for each in fleet.engines.values())


async def _wait_finished(
    fleet: harness.Fleet, wanted: frozenset[str], max_unfinished: int = 0
) -> None:
    """Waits until at most `max_unfinished` engines differ from `wanted`.

    Returns after a timeout, too.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + _TIMEOUT_S
    while (
        _unfinished_count(fleet, wanted) > max_unfinished
        and loop.time() < end_s
    ):
        await asyncio.sleep(_POLL_INTERVAL_S)


def _busiest(fleet: harness.Fleet) -> str:
    """Returns the node that has sent the most orders."""
    return max(
        fleet.nodes,
        key=lambda each: fleet.nodes[each].state.counters.by_name[
            "rollouts.orders"
        ],
    )


async def _inject_failures(
    fleet: harness.Fleet, wanted: frozenset[str]
) -> None:
    """Kills the busiest node after a third of the engines, then fails the log.

    The log fails after two thirds of the engines and recovers later.
    """
    await _wait_finished(fleet, wanted, _ENGINES * 2 // 3)
    await fleet.kill_node(_busiest(fleet))
    await _wait_finished(fleet, wanted, _ENGINES // 3)
    fleet.log.set_faults({"is_dead": True})
    await asyncio.sleep(_OUTAGE_S)
    fleet.log.set_faults({"is_dead": False})


async def _run_fleet(seed: int, is_baseline: bool) -> Mapping[str, float]:
    """Returns the figures of one fleet."""
    limits: dict[str, Any] = {"lease_term_s": _TERM_S}
    async with harness.Fleet(seed, limits) as fleet:
        checker = await _build(fleet, is_baseline)
        wanted = frozenset(("v1", "v2"))
        begin_s = asyncio.get_running_loop().time()
        await fleet.publish(harness.record("rollout", _MODEL, _ROLLOUT))
        await _inject_failures(fleet, wanted)
        await _wait_finished(fleet, wanted)
        seconds = asyncio.get_running_loop().time() - begin_s
        return {
            "orders_on_lapsed_lease": checker.lapsed,
            "unfinished": _unfinished_count(fleet, wanted),
            "orders": checker.orders,
            "fetches": fleet.weights.fetches,
            "seconds": seconds,
            "rejected_orders": _rejected_count(list(fleet.nodes.values())),
        }


def _rejected_count(nodes: Sequence[app.Node]) -> int:
    return sum(
        node.state.counters.by_name["rollouts.order_failed"] for node in nodes
    )


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on a roll-out under failures."""
    del scale
    figures, baseline = await asyncio.gather(
        _run_fleet(seed, False), _run_fleet(seed, True)
    )
    return report.Findings(figures, "no lease", baseline)
