"""Configuration of several nodes that share a log.

Covers outages of the log, nodes that start without it, retention, appends
whose reply is lost, withdrawals and unreadable records.
"""

import asyncio
from collections.abc import Callable
import json
import pathlib

import pytest

from lycheegw import app
from lycheegw import commands
from lycheegw.measure import harness
from lycheegw.standins import engine
from lycheegw.state import errors
from lycheegw.state import reasons
from tests import test_path

TIMEOUT_S = 20.0
WITHDRAWN = {"is_withdrawn": True}
WITHDRAWAL = harness.record("withdrawal", "drafter@v1", WITHDRAWN)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


def zone_toggles(count: int, first: int = 0) -> list[dict]:
    """Returns records that take a zone out of service and back in turns."""
    return [
        harness.record("zone", "z9", {"is_serving": index % 2 == 0}, index)
        for index in range(first, first + count)
    ]


def counter(node: app.Node, name: str) -> int:
    return node.state.counters.by_name[name]


def test_withdrawal_reaches_a_node_whose_log_is_down() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            await fleet.add_engine("e1", "z1", engine.EngineSettings())
            separate_platform = await fleet.add_platform()
            for node_id in ("n1", "n2"):
                await fleet.add_node(node_id, "z1")
            cut = await fleet.add_node("n3", "z2", platform=separate_platform)
            await fleet.wait_applied(await fleet.publish(*test_path.RECORDS))
            await fleet.wait_upstreams()
            # Ends the pending read, which could still return the record.
            separate_platform.log.set_faults({"is_dead": True})
            await until(lambda: counter(cut, "log.read_failed") > 0)
            separate_platform.log.set_faults(
                {"is_dead": False, "is_silent": True}
            )
            await fleet.wait_applied(await fleet.publish(WITHDRAWAL))
            assert counter(cut, "exchange.entries_taken") > 0
            body = test_path.BODY | {"model": "drafter@v1"}
            reply = await fleet.call(cut, test_path.CHAT, body, test_path.KEY)
            assert reply.refusal_reason == "version_withdrawn"
            assert reply.json()["error"]["run"] == "not_run"
            snapshots = {
                node.catalog_updater.snapshot() for node in fleet.nodes.values()
            }
            assert len(snapshots) == 1

    asyncio.run(main())


def test_node_without_log_is_not_ready_until_it_has_a_peer() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            separate_platform = await fleet.add_platform()
            separate_platform.log.set_faults({"is_dead": True})
            await fleet.add_service("s1", "z1", "deskapp")
            only_node = await fleet.add_node(
                "n0", "z1", platform=separate_platform
            )
            await fleet.wait_upstreams()
            reply = await fleet.call(
                only_node, test_path.CHAT, test_path.BODY, test_path.KEY
            )
            assert reply.refusal_reason == "not_ready"
            assert reply.json()["error"]["run"] == "not_run"
            peer = await fleet.add_node("n1", "z1")
            # More entries than a node keeps, so that a snapshot is fetched.
            records = [*test_path.RECORDS, *zone_toggles(600)]
            await fleet.wait_applied(await fleet.publish(*records))
            await fleet.wait_upstreams()
            assert only_node.api.unready_reason() is None
            assert (
                only_node.catalog_updater.snapshot()
                == peer.catalog_updater.snapshot()
            )
            late_node = await fleet.add_node(
                "n2", "z2", platform=separate_platform
            )
            await until(lambda: late_node.api.unready_reason() is None)
            assert (
                late_node.catalog_updater.snapshot()
                == peer.catalog_updater.snapshot()
            )
            assert counter(late_node, "exchange.snapshot_taken") == 1

    asyncio.run(main())


def test_node_starts_from_a_checkpoint_after_the_log_expired() -> None:
    async def main() -> None:
        limits = {"checkpoint_entries": 20}
        async with harness.Fleet(node_limits=limits) as fleet:
            first = await fleet.add_node("n1", "z1")
            other = await fleet.add_platform()
            away = await fleet.add_node("n2", "z1", platform=other)
            records = [*test_path.RECORDS, *zone_toggles(30)]
            await fleet.wait_applied(await fleet.publish(*records))
            await until(lambda: first.checkpoints.last_offset >= 0)
            fleet.partition(["n1"])
            other.log.set_faults({"is_dead": True})
            await fleet.publish(*zone_toggles(40, 30))
            await until(lambda: first.state.catalog.offset == 72)
            await until(lambda: first.checkpoints.last_offset == 72)
            assert away.state.catalog.offset < 72
            fleet.log.stream("configuration").expire(5)
            await fleet.publish(*zone_toggles(3, 70))
            other.log.set_faults({"is_dead": False})
            fresh = await fleet.add_node("n3", "z1")
            for node in (fresh, away):
                await until(lambda node=node: node.state.catalog.offset == 75)
                assert (
                    node.catalog_updater.snapshot()
                    == first.catalog_updater.snapshot()
                )
            assert counter(fresh, "records.snapshots") == 1

    asyncio.run(main())


def test_gap_in_the_log_without_a_checkpoint_is_not_skipped() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            await fleet.publish(*test_path.RECORDS, *zone_toggles(10))
            fleet.log.stream("configuration").expire(5)
            node = await fleet.add_node("n1", "z1")
            await until(lambda: counter(node, "log.gap") > 0)
            assert node.state.catalog.is_empty
            assert node.api.unready_reason() is reasons.RefusalReason.NOT_READY

    asyncio.run(main())


def test_repeated_append_and_conflicting_records_give_one_result(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture
) -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            for node_id in ("n1", "n2"):
                await fleet.add_node(node_id, "z1")
            first_record = harness.record(
                "zone", "z1", {"is_serving": False}, 0, "mine"
            )
            other = harness.record(
                "zone", "z1", {"is_serving": True}, 0, "other"
            )
            path = tmp_path / "records.json"
            path.write_text(json.dumps(first_record))
            fleet.log.set_faults({"loses_append_answers": True})
            with pytest.raises(errors.LogUnavailableError):
                await commands.publish(path, fleet.log.address)
            fleet.log.set_faults({"loses_append_answers": False})
            assert await commands.publish(path, fleet.log.address) == 0
            await fleet.wait_applied(await fleet.publish(other))
            assert fleet.log.stream("configuration").next_offset == 5
            for node in fleet.nodes.values():
                assert not node.state.catalog.is_zone_serving("z1")
                first_status, other_status = node.status()["records"]
                assert first_status["outcome"] == "accepted"
                assert first_status["revision"] == 1
                assert other_status["reason"].startswith("replaces revision 0")

    asyncio.run(main())


def test_status_lists_nodes_that_lag() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            first = await fleet.add_node("n1", "z1")
            await fleet.add_node("n2", "z1")
            separate_platform = await fleet.add_platform()
            await fleet.add_node("n3", "z1", platform=separate_platform)
            await fleet.wait_applied(await fleet.publish(*test_path.RECORDS))
            await until(lambda: first.status()["records"][0]["applied_by"] == 3)
            assert first.status()["lagging"] == []
            separate_platform.log.set_faults({"is_dead": True})
            # The node still receives heartbeats but fetches nothing from peers.
            fleet.nodes["n3"].config_exchange.note_offset = lambda *_: None
            fleet.nodes["n3"].config_progress._on_offset = lambda *_: None
            fleet.nodes["n3"].config_exchange.pull = _pull_nothing
            await fleet.publish(*zone_toggles(1))
            await until(lambda: first.status()["lagging"] == ["n3"])
            assert first.status()["records"][-1]["lagging"] == ["n3"]

    asyncio.run(main())


async def _pull_nothing(_: str) -> bool:
    return False


@pytest.mark.parametrize(
    ("model", "refusal"),
    [
        ("drafter@v1", "version_withdrawn"),
        # A retry may use another version, whose stream breaks as well.
        ("drafter", "attempts_exhausted"),
    ],
)
def test_withdrawn_version_is_not_resumed(model: str, refusal: str) -> None:
    """A version is withdrawn during an answer, and then the stream breaks."""

    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            node = fleet.nodes["n1"]
            for each in fleet.engines.values():
                each.set_faults({"token_delay_s": 0.1, "truncates_after": 5})
            body = test_path.BODY | {"model": model}
            call = asyncio.ensure_future(
                fleet.call(node, test_path.CHAT, body, test_path.KEY)
            )
            engines = fleet.engines.values()
            await until(lambda: sum(each.running for each in engines) == 1)
            await fleet.wait_applied(await fleet.publish(WITHDRAWAL))
            reply = await call
            assert reply.refusal_reason == refusal
            assert reply.json()["error"]["run"] != "not_run"
            versions = [
                run.version_or_operation
                for each in engines
                for run in each.runs
            ]
            assert versions.count("v1") == 1

    asyncio.run(main())


def test_unreadable_record_refuses_only_dependent_requests() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            node = fleet.nodes["n1"]
            new = harness.record("service", "deskapp", {"new": 1}, 1, schema=3)
            await fleet.wait_applied(await fleet.publish(new))
            path = "/v1/services/deskapp/lookup"
            reply = await fleet.call(node, path, {}, test_path.KEY)
            assert reply.refusal_reason == "configuration_unreadable"
            assert reply.json()["error"]["run"] == "not_run"
            reply = await fleet.call(
                node, test_path.CHAT, test_path.BODY, test_path.KEY
            )
            assert reply.status == 200
            assert node.status()["unreadable"] == ["service/deskapp"]

    asyncio.run(main())
