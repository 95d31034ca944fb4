"""Store calls of a fleet as a whole, at 7 to 374 nodes, without a network.

Patterns: a zone is cut off (`zone_cut`), so that its nodes and the others can't
tell each other what they blocked; all nodes start again (`power_off_all`).
"""

import asyncio
import contextlib
from typing import Any

import pytest

from lycheegw.coordination import block_records
from lycheegw.coordination import node_registry
from lycheegw.state import topics
from tests import fakes

_ZONES = 3


def _ids_by_zone(nodes: int) -> dict[str, list[str]]:
    return {
        f"z{zone}": [f"n{index}" for index in range(zone, nodes, _ZONES)]
        for zone in range(_ZONES)
    }


def _readers(
    live_by_zone: dict[str, list[str]], zones: set[str], nodes: int
) -> list[str]:
    return [
        node_id
        for ids in live_by_zone.values()
        for node_id in ids
        if block_records.is_reader(node_id, live_by_zone, zones, nodes)
    ]


@pytest.mark.parametrize("nodes", [7, 76, 186, 374])
def test_few_nodes_on_each_side_of_a_cut_read_the_blocked_parts(
    nodes: int,
) -> None:
    """Each node read them every 2 s: 19 calls at 20 nodes in a cut of 5 s."""
    ids_by_zone = _ids_by_zone(nodes)
    zones = set(ids_by_zone)
    cut_off = {"z0": ids_by_zone["z0"]}
    others = {"z1": ids_by_zone["z1"], "z2": ids_by_zone["z2"]}
    assert 1 <= len(_readers(cut_off, zones, nodes)) <= 3
    assert 1 <= len(_readers(others, zones, nodes)) <= 3
    assert _readers(ids_by_zone, zones, nodes) == []


def test_node_that_hears_nobody_reads_the_blocked_parts() -> None:
    assert block_records.is_reader("n0", {"z0": ["n0"]}, {"z0"}, 7)
    assert block_records.is_reader("n0", {}, {"z0"}, 7)
    assert not block_records.is_reader("n0", {"z0": ["n0"]}, {"z0"}, 1)


class _Store:
    """Store of the list of nodes that counts its writes."""

    def __init__(self, records: list[topics.TopicRecord]):
        self.state = topics.TopicState(topics.Topic.NODES)
        self.state.apply_page(topics.TopicPage(records, len(records), True))
        self.writes: list[str] = []

    async def put(
        self, topic: Any, key: str, value: bytes, expected_end: int | None
    ) -> topics.Position:
        """Counts a write."""
        self.writes.append(key)
        return self.state.position

    def live_nodes(self) -> list[str]:
        """Ends the test; called once the node is registered."""
        raise asyncio.CancelledError

    async def load_until_known(self, topic: Any) -> None:
        """Does nothing, since the list is known."""

    def apply_written(
        self, topic: Any, record: topics.TopicRecord, era: int, begun_s: float
    ) -> None:
        """Does nothing; the test looks at the writes."""


async def _register(store: _Store, address: str) -> None:
    state = fakes.node(fakes.ManualClock(), "n0")
    registry = node_registry.NodeRegistry(
        state,
        store,  # type: ignore[arg-type]
        store,  # type: ignore[arg-type]
        store.state,
        lambda _: None,
        store.live_nodes,
    )
    with contextlib.suppress(asyncio.CancelledError):
        await registry.run(address)


async def test_node_that_restarts_with_its_address_writes_nothing() -> None:
    """power_off_all: each restarted node wrote an entry that was there."""
    value = b'{"address": "127.0.0.1:7", "zone": "z"}'
    store = _Store([topics.TopicRecord("n0", 0, value)])
    await _register(store, "127.0.0.1:7")
    assert store.writes == []
    await _register(store, "127.0.0.1:8")
    assert store.writes == ["n0"]


async def test_node_that_starts_for_the_first_time_registers() -> None:
    store = _Store([])
    await _register(store, "127.0.0.1:7")
    assert store.writes == ["n0"]
