"""Requests that crash each upstream that runs them, and harmless ones."""

import asyncio

from lycheegw.coordination import crash_table
from lycheegw.coordination import suspect_leases
from lycheegw.measure import harness
from lycheegw.standins import engine
from lycheegw.state import clocks
from tests import test_path

CRASHING_BODY = test_path.BODY | {
    "messages": [{"role": "user", "content": "drop-dead"}]
}


async def _build(fleet: harness.Fleet, cold_s: float = 0.0) -> None:
    for index in range(6):
        config = engine.EngineSettings(
            versions=("v1", "v2"), cold_s=cold_s, token_gap_s=0.02
        )
        standin = await fleet.add_engine(f"e{index}", "z1", config)
        standin.set_faults({"dies_on": "drop-dead"})
    for index in range(2):
        await fleet.add_node(f"n{index}", "z1")
    await fleet.wait_applied(await fleet.publish(*test_path.RECORDS))
    await fleet.wait_upstreams()
    async with asyncio.timeout(10):
        while any(
            len(node.peers.live_nodes()) < 2 for node in fleet.nodes.values()
        ):
            await asyncio.sleep(0.02)


async def _send(
    fleet: harness.Fleet, index: int, content: str, tokens: int = 8
) -> harness.Reply:
    node = fleet.nodes[f"n{index % 2}"]
    body = test_path.BODY | {
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
    }
    return await fleet.call(node, test_path.CHAT, body, test_path.KEY)


def _crash_count(fleet: harness.Fleet) -> int:
    return sum(standin.crash_count for standin in fleet.engines.values())


def test_crashing_request_crashes_two_upstreams_over_all_nodes() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            await _build(fleet)
            harmless = [
                asyncio.create_task(_send(fleet, index, f"fine-{index}", 60))
                for index in range(24)
            ]
            await asyncio.sleep(0.3)
            resent = [
                await _send(fleet, index, "drop-dead") for index in range(6)
            ]
            assert {reply.refusal_reason for reply in resent} == {"poison"}
            # The last ones were refused without a run.
            assert resent[0].json()["error"]["run"] == "may_have_run"
            assert resent[-1].json()["error"]["run"] == "not_run"
            assert _crash_count(fleet) == 2
            replies = await asyncio.gather(*harmless)
            assert [reply.status for reply in replies] == [200] * 24
            again = await _send(fleet, 1, "fine-0")
            assert again.status == 200

    asyncio.run(main())


def test_crashing_request_during_a_cold_start() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            await _build(fleet, cold_s=30.0)
            harmless = [
                asyncio.create_task(_send(fleet, index, f"fine-{index}"))
                for index in range(4)
            ]
            crashing = await _send(fleet, 0, "drop-dead")
            replies = await asyncio.gather(*harmless)
            assert crashing.refusal_reason == "poison"
            assert _crash_count(fleet) == 2
            assert [reply.status for reply in replies] == [200] * 4

    asyncio.run(main())


def test_broken_connection_to_a_live_upstream_is_no_crash() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            await _build(fleet)
            for standin in fleet.engines.values():
                standin.set_faults({"truncates_after": 6})
            reply = await _send(fleet, 0, "fine")
            assert reply.refusal_reason == "attempts_exhausted"
            for standin in fleet.engines.values():
                standin.set_faults({"truncates_after": None})
            assert (await _send(fleet, 0, "fine")).status == 200
            counters = fleet.nodes["n0"].state.counters.by_name
            assert counters["suspects.strikes"] == 0

    asyncio.run(main())


def test_hung_upstreams_are_no_crash() -> None:
    async def main() -> None:
        async with harness.Fleet(node_limits={"head_timeout_s": 0.2}) as fleet:
            await _build(fleet)
            for standin in fleet.engines.values():
                standin.set_faults({"is_silent": True})
            reply = await _send(fleet, 0, "fine")
            assert reply.refusal_reason == "attempts_exhausted"
            counters = fleet.nodes["n0"].state.counters.by_name
            assert counters["suspects.strikes"] == 0

    asyncio.run(main())


def test_lost_zone_blocks_no_request() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            await _build(fleet)
            running = [
                asyncio.create_task(_send(fleet, index, f"fine-{index}", 60))
                for index in range(12)
            ]
            await asyncio.sleep(0.4)
            for standin in fleet.engines.values():
                standin.set_faults({"is_dead": True})
                for task in list(standin._tasks):
                    task.cancel()
            replies = await asyncio.gather(*running)
            assert "poison" not in {reply.refusal_reason for reply in replies}
            assert not sum(
                node.state.counters.by_name["suspects.strikes"]
                for node in fleet.nodes.values()
            )

    asyncio.run(main())


def _environment(now_s: list[float]) -> clocks.Environment:
    return clocks.seeded(1)._replace(monotonic_s=lambda: now_s[0])


def test_crashes_are_counted_once_and_expire() -> None:
    now_s = [100.0]
    table = crash_table.CrashTable(_environment(now_s))
    crash = crash_table.Crash("f", "e1", 1.0)
    assert table.add(crash)
    assert not table.add(crash)
    assert table.blocked_s("f") == 0
    assert table.add(crash._replace(started_at_s=9.0))
    assert 590 < table.blocked_s("f") <= 600
    now_s[0] += 601
    assert table.blocked_s("f") == 0
    for index in range(5000):
        table.add(crash_table.Crash(str(index), "e1", 1.0))
    assert table.count("0") == 0
    assert table.count("4999") == 1


def test_suspects_run_alone_and_leases_of_dead_nodes_end() -> None:
    now_s = [100.0]
    table = suspect_leases.SuspectLeases(_environment(now_s))
    live = {"n1", "n2"}
    run_request = crash_table.RunRequest("f", "e1", False, 5.0)
    assert table.grant("n1", run_request, live)
    assert not table.grant("n2", run_request._replace(upstream="e2"), live)
    assert not table.grant("n2", run_request._replace(fingerprint="g"), live)
    assert table.grant(
        "n2", crash_table.RunRequest("g", "e2", False, 5.0), live
    )
    table.release("n2", run_request)
    table.release("n1", run_request._replace(upstream="e3"))
    assert not table.grant("n2", run_request, live)
    assert table.grant("n2", run_request, {"n2"})
    now_s[0] += 7
    assert table.grant("n1", run_request, live)
