"""Requests with an idempotency key run at most once in a fleet with faults."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from lycheegw.measure import harness
from tests import test_path

BOOK = "/v1/services/deskapp/book"


@contextlib.asynccontextmanager
async def three_nodes() -> AsyncIterator[harness.Fleet]:
    async with harness.Fleet() as fleet:
        await fleet.add_service("s1", "z1", "deskapp")
        for index, zone in enumerate(("z1", "z2", "z3")):
            await fleet.add_node(f"n{index}", zone)
        await fleet.wait_applied(await fleet.publish(*test_path.RECORDS))
        await fleet.wait_upstreams()
        async with asyncio.timeout(10):
            while any(
                len(node.peers.live_nodes()) < 3
                for node in fleet.nodes.values()
            ):
                await asyncio.sleep(0.02)
        yield fleet


async def book(
    fleet: harness.Fleet,
    node: str,
    key: str,
    body: object = "a truck",
    **more: str,
) -> harness.Reply:
    """Sends a booking with an idempotency key to a node."""
    headers = {"idempotency-key": key, "x-deadline-ms": "6000", **more}
    return await fleet.call(
        fleet.nodes[node], BOOK, {"what": body}, test_path.KEY, headers
    )


def run_count(fleet: harness.Fleet) -> int:
    return len(fleet.services["s1"].runs)


def test_repeated_key_gets_the_stored_answer_on_every_node() -> None:
    async def main() -> None:
        async with three_nodes() as fleet:
            first = await book(fleet, "n0", "k")
            assert first.status == 200, first.body
            for node in ("n0", "n1", "n2"):
                repeated = await book(fleet, node, "k")
                assert repeated.status == 200, repeated.body
                assert repeated.json()["result"] == first.json()["result"]
            other = await book(fleet, "n1", "k", "another truck")
            assert other.refusal_reason == "key_mismatch"
            assert run_count(fleet) == 1

    asyncio.run(main())


def test_key_sent_to_all_nodes_at_once_runs_once() -> None:
    async def main() -> None:
        async with three_nodes() as fleet:
            replies = await asyncio.gather(
                *(book(fleet, f"n{i % 3}", "k") for i in range(9))
            )
            assert run_count(fleet) == 1
            for reply in replies:
                assert reply.refusal_reason in ("", "key_in_use")
            assert "" in [reply.refusal_reason for reply in replies]

    asyncio.run(main())


def test_request_runs_once_when_append_answers_are_lost() -> None:
    async def main() -> None:
        async with three_nodes() as fleet:
            fleet.log.set_faults({"loses_append_answers": True})
            first = await book(fleet, "n0", "k")
            repeated = await book(fleet, "n1", "k")
            assert (first.status, repeated.status) == (200, 200), first.body
            assert run_count(fleet) == 1

    asyncio.run(main())


def test_key_of_a_killed_node_may_have_run_with_or_without_the_log() -> None:
    async def main() -> None:
        async with three_nodes() as fleet:
            fleet.services["s1"].set_faults({"is_silent": True})
            first = asyncio.create_task(book(fleet, "n0", "k"))
            while not fleet.nodes["n0"].state.counters.by_name["keys.claimed"]:
                await asyncio.sleep(0.02)
            repeated = await book(fleet, "n1", "k")
            assert repeated.refusal_reason == "key_in_use", repeated.body
            await fleet.kill_node("n0")
            await asyncio.gather(first, return_exceptions=True)
            fleet.services["s1"].set_faults({"is_silent": False})
            repeated = await book(fleet, "n1", "k")
            assert repeated.refusal_reason == "may_have_run", repeated.body
            fleet.log.set_faults({"is_refusing": True})
            for node in ("n1", "n2"):
                repeated = await book(fleet, node, "k")
                assert repeated.json()["error"]["run"] == "may_have_run"
            fresh = await book(fleet, "n1", "new", **{"x-first-send": "true"})
            assert fresh.refusal_reason == "log_unavailable", fresh.body
            assert fresh.json()["error"]["run"] == "not_run"
            fleet.log.set_faults({"is_refusing": False})
            async with asyncio.timeout(10):
                while (await book(fleet, "n2", "new")).status != 200:
                    await asyncio.sleep(0.1)
            assert run_count(fleet) == 1

    asyncio.run(main())
