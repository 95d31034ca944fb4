"""Each answer is billed once in a fleet with faults."""

import asyncio

from lycheegw.measure import harness
from tests import test_at_most_once
from tests import test_path

LOOKUP = "/v1/services/deskapp/lookup"


async def look_up(
    fleet: harness.Fleet, node: str, request_id: str
) -> harness.Reply:
    return await fleet.call(
        fleet.nodes[node],
        LOOKUP,
        {"about": request_id},
        test_path.KEY,
        {"x-request-id": request_id},
    )


async def wait_billed(fleet: harness.Fleet, request_ids: set[str]) -> None:
    async with asyncio.timeout(15):
        while set(fleet.billed_request_ids()) != request_ids:
            await asyncio.sleep(0.05)


def test_replica_holder_logs_the_bills_of_a_killed_node() -> None:
    async def main() -> None:
        async with test_at_most_once.three_nodes() as fleet:
            fleet.log.set_faults({"is_refusing": True})
            for index in range(3):
                reply = await look_up(fleet, "n0", f"r{index}")
                assert reply.status == 200, reply.body
            await fleet.kill_node("n0")
            fleet.log.set_faults({"is_refusing": False})
            assert (
                sum(n.bill_replicas.row_count for n in fleet.nodes.values())
                == 3
            )
            for node in fleet.nodes.values():
                await node.bill_replicas.append_or_copy_all()
            await wait_billed(fleet, {"r0", "r1", "r2"})

    asyncio.run(main())


def test_repeated_request_and_lost_append_answers_bill_once() -> None:
    async def main() -> None:
        async with test_at_most_once.three_nodes() as fleet:
            fleet.log.set_faults({"loses_append_answers": True})
            for node in ("n0", "n1"):
                assert (await look_up(fleet, node, "r")).status == 200
            await fleet.flush_bills()
            fleet.log.set_faults({"loses_append_answers": False})
            await fleet.flush_bills()
            assert fleet.billed_request_ids() == ["r"]
            assert len(fleet.log.stream("billing").entries) > 1

    asyncio.run(main())


def test_bill_is_logged_before_the_answer_without_a_second_node() -> None:
    async def main() -> None:
        async with test_at_most_once.three_nodes() as fleet:
            for node in ("n1", "n2"):
                await fleet.kill_node(node)
            assert (await look_up(fleet, "n0", "r")).status == 200
            assert fleet.billed_request_ids() == ["r"]

    asyncio.run(main())
