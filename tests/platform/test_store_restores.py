"""The store is restored from a backup that lacks its latest records."""

import asyncio
import json
from typing import Any

import pytest

from lycheegw import edge_app
from lycheegw.coordination import prompt_parts
from lycheegw.state import errors
from lycheegw.state import topics
from tests.platform import fleet_harness
from tests.platform import platform_standins

# Time within which a confirmed order is in force (`config_apply_ms`), and a
# removed upstream gets no more requests (`drain_ms`).
_BOUND_S = 2.0


def _store() -> platform_standins.Store:
    store = platform_standins.Store()
    store.era = 1
    return store


def _version(node: edge_app.EdgeNode) -> int:
    manifest = node.directory.manifest
    return -1 if manifest is None else manifest.version


async def _linked(fleet: fleet_harness.Fleet) -> None:
    count = len(fleet.nodes)
    await fleet_harness.wait_until(
        lambda: all(
            len(node.peers.live_nodes()) == count for node in fleet.nodes
        )
    )


async def _evacuate(store: platform_standins.Store) -> None:
    """Orders an evacuation and takes it back, which uses two offsets."""
    await store.put("keyed.op", "evacuate/z-c", {})
    await store.delete("keyed.op", "evacuate/z-c")


async def _wait_for_version(fleet: fleet_harness.Fleet, version: int) -> None:
    await fleet_harness.wait_until(
        lambda: all(_version(node) == version for node in fleet.nodes), _BOUND_S
    )


@pytest.mark.parametrize("restores", [1, 2])
async def test_manifest_below_the_lost_offsets_is_applied(
    restores: int,
) -> None:
    """CONFIG, review/1: withdrawn keys ran and new ones got 401 for good."""
    async with fleet_harness.fleet(nodes=3, store=_store()) as fleet:
        await _linked(fleet)
        for _ in range(restores):
            backup = fleet.store.backup()
            await _evacuate(fleet.store)
            await asyncio.sleep(0.5)
            await fleet.store.restore(backup)
        await asyncio.sleep(0.5)
        await fleet.store.put(
            "keyed.op", "config", platform_standins.manifest(12)
        )
        await _wait_for_version(fleet, 12)
        assert all(
            node.topic_exchange.era == 1 + restores for node in fleet.nodes
        )


async def test_manifest_that_was_lost_and_written_again_never_reverts() -> None:
    """CONFIG, issue 49: confirmed just before the store went away."""
    async with fleet_harness.fleet(nodes=2, store=_store()) as fleet:
        await _linked(fleet)
        backup = fleet.store.backup()
        await _evacuate(fleet.store)
        lost = platform_standins.manifest(5)
        await fleet.store.put("keyed.op", "config", lost)
        await _wait_for_version(fleet, 5)
        await fleet.store.restore(backup)
        for _ in range(20):
            await asyncio.sleep(0.1)
            assert {_version(node) for node in fleet.nodes} == {5}
        await fleet.store.put("keyed.op", "config", lost)
        await fleet.store.put(
            "keyed.op", "config", platform_standins.manifest(6)
        )
        await _wait_for_version(fleet, 6)


async def test_node_cut_off_from_the_store_learns_of_the_restore() -> None:
    """CONFIG, issue 49: a peer's records were older by their offsets."""
    async with fleet_harness.fleet(nodes=2, store=_store()) as fleet:
        await _linked(fleet)
        backup = fleet.store.backup()
        await _evacuate(fleet.store)
        await asyncio.sleep(0.5)

        async def fail(*_: object) -> topics.TopicPage:
            raise errors.StoreError("refused by the store")

        cut_off = fleet.nodes[1]
        cut_off.store.newest = fail  # type: ignore[method-assign]
        cut_off.store.changes = fail  # type: ignore[method-assign]
        await fleet.store.restore(backup)
        await fleet.store.put(
            "keyed.op", "config", platform_standins.manifest(12)
        )
        await _wait_for_version(fleet, 12)


async def test_upstream_removed_after_a_restore_gets_no_request() -> None:
    """DRAIN, review/1: removals below the lost offsets were ignored."""
    async with fleet_harness.fleet(nodes=2, store=_store()) as fleet:
        await _linked(fleet)
        backup = fleet.store.backup()
        upstream = fleet.upstream_by_name["d1"]
        for sequence in range(2, 8):
            await fleet.store.put(
                "keyed.servers", "d1", upstream.entry("desk", sequence=sequence)
            )
        await asyncio.sleep(1.5)
        await fleet.store.restore(backup)
        await asyncio.sleep(0.5)
        await fleet.store.delete("keyed.servers", "d1")
        await fleet_harness.wait_until(
            lambda: all(
                "d1" not in node.state.upstreams.by_id for node in fleet.nodes
            ),
            _BOUND_S + 1.0,
        )


def _registered(fleet: fleet_harness.Fleet) -> set[str]:
    return set(fleet.store.newest("keyed.nodes"))


async def test_nodes_register_again_and_keep_their_shares_meanwhile() -> None:
    """BUDGET, issue 49: the nodes that a backup lacks left the divisor."""
    async with fleet_harness.fleet(nodes=3, store=_store()) as fleet:
        await _linked(fleet)
        await fleet_harness.wait_until(
            lambda: all(
                node.node_registry.member_count() == 3 for node in fleet.nodes
            )
        )
        await fleet.store.restore({**fleet.store.backup(), "keyed.nodes": 0})
        ids = {node.state.identity.node_id for node in fleet.nodes}
        async with asyncio.timeout(fleet_harness.WAIT_S):
            while _registered(fleet) != ids:
                assert {
                    node.node_registry.member_count() for node in fleet.nodes
                } == {3}
                await asyncio.sleep(0.05)
        await fleet_harness.wait_until(
            lambda: all(
                set(node.state_by_topic[topics.Topic.NODES].values()) == ids
                for node in fleet.nodes
            ),
            3.0,
        )


async def test_outcome_that_was_lost_is_written_again() -> None:
    """EXPOSURE, issue 49: the operator never learnt how a roll-out ended."""
    async with fleet_harness.fleet(nodes=2, store=_store()) as fleet:
        await _linked(fleet)
        order = {"service": "llm", "target": "v2", "duration_s": 60}
        await fleet.store.put("keyed.op", "rollout/llm", order)
        await fleet.store.put("keyed.status", "rollout/desk", {"state": "odd"})
        for node in fleet.nodes:
            await node.topic_readers.load(topics.Topic.OUTCOMES)
        backup = fleet.store.backup()
        outcome = {"state": "rolled_back", "target": "v2"}
        await fleet.store.put("keyed.status", "rollout/llm", outcome)
        for node in fleet.nodes:
            await node.topic_readers.load(topics.Topic.OUTCOMES)
        await fleet.store.restore(backup)

        def written() -> dict[str, Any]:
            value = fleet.store.newest("keyed.status").get("rollout/llm")
            return dict(json.loads(value or b"{}"))

        await fleet_harness.wait_until(
            lambda: written().get("state") == "rolled_back", 4.0
        )
        assert written()["target"] == "v2"
        assert fleet.store.end_offset("keyed.status") == 2


async def test_blocked_part_that_was_lost_is_recorded_again() -> None:
    """BUDGET, issue 49: nodes that start later would run crashing prompts."""
    async with fleet_harness.fleet(store=_store()) as fleet:
        backup = fleet.store.backup()
        records = fleet.nodes[0].block_records
        for part_id, status in (
            ("blocked", prompt_parts.PartStatus.BLOCKED),
            ("ended", prompt_parts.PartStatus.BLOCKED),
            ("ended", prompt_parts.PartStatus.SOUND),
        ):
            records.note_verdict(
                prompt_parts.PartVerdict(part_id, status, 1, 0.0, 1.0), True
            )
        await fleet_harness.wait_until(
            lambda: len(fleet.store.newest("keyed.blocked")) == 2
        )
        before = fleet.store.newest("keyed.blocked")
        await fleet.store.restore(backup)
        assert not fleet.store.newest("keyed.blocked")
        await fleet_harness.wait_until(
            lambda: fleet.store.newest("keyed.blocked") == before, 4.0
        )
