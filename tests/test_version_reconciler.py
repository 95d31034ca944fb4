"""Reconciliation of versions: dead and paused lease holders, no log."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from lycheegw.coordination import interfaces
from lycheegw.coordination import leases
from lycheegw.coordination import version_reconciler
from lycheegw.coordination import version_selection
from lycheegw.measure import harness
from lycheegw.protocol import record_codec
from lycheegw.standins import engine
from lycheegw.state import record_validation
from lycheegw.state import requests
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from tests import test_leases
from tests import test_path

TIMEOUT_S = 20.0
ROLLOUT = {"from_version": "v1", "to_version": "v2", "share": 0.5}
BOTH_VERSIONS = {"v1", "v2"}


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def fleet_of_three(engines: int = 4) -> AsyncIterator[harness.Fleet]:
    """Three nodes; engines with v1, the first one without fencing."""
    async with harness.Fleet(node_limits={"lease_term_s": 1.0}) as fleet:
        for index in range(engines):
            config = engine.EngineSettings(honours_fencing=index > 0)
            await fleet.add_engine(f"e{index}", "z1", config)
        for index in range(3):
            await fleet.add_node(f"n{index}", "z1")
        await fleet.wait_applied(await fleet.publish(*test_path.RECORDS))
        await fleet.wait_upstreams()
        yield fleet


def sent_orders(fleet: harness.Fleet) -> list[dict]:
    return [order for each in fleet.engines.values() for order in each.orders]


def first_sender(fleet: harness.Fleet) -> str | None:
    """Returns a node that has sent an order, None if there is none."""
    for node_id, node in fleet.nodes.items():
        if node.state.counters.by_name["rollouts.orders"]:
            return node_id
    return None


def are_versions_loaded(fleet: harness.Fleet, wanted: set[str]) -> bool:
    return all(each.versions == wanted for each in fleet.engines.values())


def test_another_node_continues_after_the_lease_holder_dies() -> None:
    async def main() -> None:
        async with fleet_of_three() as fleet:
            fleet.weights.set_faults({"seconds_per_fetch": 0.4})
            await fleet.publish(harness.record("rollout", "drafter", ROLLOUT))
            await wait_until(lambda: first_sender(fleet) is not None)
            first = first_sender(fleet)
            await fleet.kill_node(first)
            assert not are_versions_loaded(fleet, BOTH_VERSIONS)
            await wait_until(lambda: are_versions_loaded(fleet, BOTH_VERSIONS))
            assert len({order["fencing"] for order in sent_orders(fleet)}) >= 2
            for each in fleet.engines.values():
                numbers = [order["fencing"] for order in each.orders]
                assert numbers == sorted(numbers)
            assert fleet.weights.fetches <= len(sent_orders(fleet)) + 2

    asyncio.run(main())


def test_no_order_is_sent_without_the_log() -> None:
    async def main() -> None:
        async with fleet_of_three(2) as fleet:
            await fleet.wait_applied(
                await fleet.publish(
                    harness.record("rollout", "drafter", ROLLOUT)
                )
            )
            fleet.log.set_faults({"is_refusing": True})
            nodes = fleet.nodes.values()
            await wait_until(
                lambda: any(
                    node.state.counters.by_name["rollouts.no_log"] > 2
                    for node in nodes
                )
            )
            assert sent_orders(fleet) == []
            fleet.log.set_faults({"is_refusing": False})
            await wait_until(lambda: are_versions_loaded(fleet, BOTH_VERSIONS))

    asyncio.run(main())


def test_late_order_of_a_lapsed_lease_holder_is_corrected() -> None:
    async def main() -> None:
        async with fleet_of_three(2) as fleet:
            await fleet.publish(harness.record("rollout", "drafter", ROLLOUT))
            await wait_until(lambda: are_versions_loaded(fleet, BOTH_VERSIONS))
            late = interfaces.UpstreamOrder(frozenset(["v1"]), 0)
            node = fleet.nodes["n0"]
            entry = node.state.upstreams.by_id["e0"].entry
            await node.upstream_client.order(entry, late, 2.0)
            assert fleet.engines["e0"].versions == {"v1"}
            await wait_until(lambda: are_versions_loaded(fleet, BOTH_VERSIONS))
            withdrawn = {"is_withdrawn": True}
            await fleet.publish(
                harness.record("withdrawal", "drafter@v1", withdrawn)
            )
            await wait_until(lambda: are_versions_loaded(fleet, {"v2"}))

    asyncio.run(main())


class RecordingClient:
    """Upstream client that records orders."""

    def __init__(self) -> None:
        self.orders: list[interfaces.UpstreamOrder] = []

    async def order(
        self, target: object, order: interfaces.UpstreamOrder, timeout_s: float
    ) -> None:
        self.orders.append(order)


def test_no_order_is_sent_if_the_lease_lapsed_during_a_pause() -> None:
    """The weight store answers after the lease's term."""
    world = test_leases.SimulatedLog()
    held = world.node("n1")
    state = held._state
    records = [
        *test_path.RECORDS[:1],
        harness.record("rollout", "drafter", ROLLOUT),
    ]
    for offset, value in enumerate(records):
        record = record_codec.decode(value)
        record_validation.apply(state.catalog, offset, 0.0, record)
    entry = upstreams.HostEntry(
        "e1", upstreams.HostRole.ENGINE, "drafter", "", "z", False, False
    )
    state.upstreams.replace_entries([entry])
    report = upstreams.LoadReport(frozenset(["v1"]), 0, 0, 0.0, 0, 0.0)
    state.upstreams.record_reports({"e1": report})
    client = RecordingClient()
    pauses_s = [2 * test_leases.TERM_S]

    class Weights:
        async def reserve(self, model: str, version: str) -> float:
            world.now_s += pauses_s.pop() if pauses_s else 0.0
            return 0.0

    async def sleep(seconds: float) -> None:
        world.now_s += seconds
        if client.orders:
            state.upstreams.record_reports(
                {
                    "e1": upstreams.LoadReport(
                        client.orders[-1].versions, *report[1:]
                    )
                }
            )

    state = state._replace(environment=state.environment._replace(sleep=sleep))
    held = leases.Leases(state, world)
    worker = version_reconciler.VersionReconciler(
        state, held, client, Weights(), lambda: ["n1"]
    )
    asyncio.run(worker.reconcile_model("drafter"))
    world.now_s += 2 * test_leases.TERM_S
    asyncio.run(worker.reconcile_model("drafter"))
    assert client.orders == []
    assert not pauses_s
    world.now_s += 2 * test_leases.TERM_S
    asyncio.run(worker.reconcile_model("drafter"))
    assert [order.versions for order in client.orders] == [
        frozenset(BOTH_VERSIONS)
    ]


def test_session_keeps_its_version_while_the_share_grows_and_shrinks() -> None:
    state = test_leases.SimulatedLog().node("n1")._state
    for offset, value in enumerate(test_path.RECORDS):
        record = record_codec.decode(value)
        record_validation.apply(state.catalog, offset, 0.0, record)
    work = requests.ModelWork("drafter", None, (), 1, False, None)
    shares = (0.2, 0.6, 0.2)
    on_new: list[set[int]] = []
    for revision, share in enumerate(shares):
        value = harness.record(
            "rollout", "drafter", ROLLOUT | {"share": share}, revision
        )
        record = record_codec.decode(value)
        record_validation.apply(state.catalog, 10 + revision, 0.0, record)
        on_new.append(
            {
                index
                for index in range(1000)
                if version_selection.choose_versions(
                    state,
                    _request(work, index),
                    work,
                    None,
                    verdicts.RunVerdict.NOT_RUN,
                ).versions[0]
                == "v2"
            }
        )
    assert on_new[0] == on_new[2]
    assert on_new[0] < on_new[1]
    for chosen, share in zip(on_new, shares, strict=True):
        assert abs(len(chosen) / 1000 - share) < 0.05


def _request(work: requests.ModelWork, index: int) -> requests.Request:
    fields = dict.fromkeys(requests.Request._fields)
    fields |= {
        "request_id": f"r{index}",
        "organisation": "desk",
        "session": f"s{index}",
        "work": work,
    }
    return requests.Request(**fields)
