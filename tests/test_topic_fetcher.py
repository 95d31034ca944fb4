"""Long values reach all nodes by gossip, whatever they have and miss."""

import asyncio
import collections
import json
from typing import Any

import pytest

from lycheegw.coordination import neighbours
from lycheegw.coordination import topic_exchange
from lycheegw.coordination import topic_fetcher
from lycheegw.protocol import topic_codec
from lycheegw.state import topics
from tests import fakes
from tests.platform import long_manifests

ORDERS = topics.Topic.ORDERS
# Heartbeats within which a change reaches all nodes: five hops in a zone, two
# more between zones, and a fetch at each.
_MAX_ROUNDS = 12


class _Node:
    """A node's copy of the orders, its gossip and its fetches."""

    def __init__(self, clock: fakes.ManualClock, node_id: str):
        self.clock = clock
        self.state = fakes.node(clock, node_id)
        self.bus = fakes.FakePeerBus(node_id)
        self.copy = topics.TopicState(ORDERS)
        self.lines: list[dict[str, Any]] = []
        self.exchange = topic_exchange.TopicExchange(
            self.state,
            self.bus,  # type: ignore[arg-type]
            topic_codec.CODEC,
            {ORDERS: self.copy},
            lambda *_: None,
            lambda: None,
            lambda *_: None,
        )
        self.fetcher = topic_fetcher.TopicFetcher(
            self.state,
            self.bus,  # type: ignore[arg-type]
            self.exchange,
            topic_codec.FETCH_CODEC,
            lambda: None,
            lambda event, **fields: self.lines.append(fields),
        )

    @property
    def value(self) -> bytes | None:
        return self.copy.value("config")

    def read(self, page: topics.TopicPage) -> None:
        """Applies a read of the store."""
        self.exchange.apply_read(ORDERS, page, self.clock.now_s)

    def counted(self, name: str) -> int:
        return self.state.counters.by_name[name]


def _link(one: _Node, other: _Node) -> None:
    if other.bus not in one.bus.others:
        one.bus.others.append(other.bus)
        other.bus.others.append(one.bus)


def _unlink(one: _Node, other: _Node) -> None:
    one.bus.others.remove(other.bus)
    other.bus.others.remove(one.bus)
    one.exchange.forget_neighbour(other.bus.node_id)
    other.exchange.forget_neighbour(one.bus.node_id)


async def _gossip(nodes: list[_Node], rounds: int = 1) -> None:
    """Sends heartbeats; each node then ends the fetches that it began."""
    for _ in range(rounds):
        for node in nodes:
            if not node.bus.is_dead:
                node.clock.now_s += 0.001
                node.bus.send_deltas()
        for node in nodes:
            await node.fetcher._fetch_until_current(ORDERS)


def _page(version: int, routes: int = 1400, **changes: Any) -> topics.TopicPage:
    """Returns the read of a version; its offset is its number."""
    value = json.dumps(
        long_manifests.manifest(version, routes, **changes)
    ).encode()
    record = topics.TopicRecord("config", version, value)
    return topics.TopicPage([record], version + 1, False)


def _pair(clock: fakes.ManualClock) -> tuple[_Node, _Node]:
    nodes = _Node(clock, "a"), _Node(clock, "b")
    _link(*nodes)
    return nodes


async def test_change_goes_to_a_neighbour_as_a_patch() -> None:
    reader, other = nodes = _pair(fakes.ManualClock())
    reader.read(_page(1))
    await _gossip(list(nodes), 2)
    assert other.value == reader.value
    before = reader.bus.bytes_sent
    reader.read(_page(2, tenants=[]))
    await _gossip(list(nodes))
    assert other.value == reader.value
    assert reader.bus.bytes_sent - before < 1000
    assert other.counted("topics.fetched") == 1


async def test_node_several_versions_behind_gets_the_patches() -> None:
    """CONFIG, issue 32: later updates left a gap for good."""
    reader, other = nodes = _pair(fakes.ManualClock())
    reader.read(_page(1))
    await _gossip(list(nodes), 2)
    _unlink(reader, other)
    for version in range(2, 7):
        reader.read(_page(version, tenants=long_manifests.tenants()))
    _link(reader, other)
    before = reader.bus.bytes_sent
    await _gossip(list(nodes), 2)
    assert other.value == reader.value
    assert other.copy.end_offset == 7
    assert reader.bus.bytes_sent - before < 3000


async def test_node_that_skipped_versions_gets_the_value() -> None:
    """The patches of a node that read less often don't fit a neighbour's."""
    clock = fakes.ManualClock()
    one, other = _pair(clock)
    one.read(_page(1))
    await _gossip([one, other], 2)
    _unlink(one, other)
    other.read(_page(2, tenants=[]))
    one.read(_page(4, tenants=long_manifests.tenants("k")))
    _link(one, other)
    await _gossip([one, other], 2)
    assert other.value == one.value


async def test_fetch_goes_on_at_another_peer_if_the_first_dies() -> None:
    clock = fakes.ManualClock()
    nodes = [_Node(clock, each) for each in "abc"]
    one, other, joined = nodes
    _link(one, other)
    one.read(_page(1))
    await _gossip([one, other], 2)
    _link(one, joined)
    _link(other, joined)
    for node in (one, other):
        node.bus.send_deltas()
    one.bus.is_dead = True
    await _gossip([joined])
    assert joined.value == one.value
    assert joined.counted("topics.fetch_failed") <= 1


async def test_value_that_changes_during_a_fetch_arrives() -> None:
    clock = fakes.ManualClock()
    reader, other = _pair(clock)
    reader.read(_page(1, 10_000))
    reader.bus.send_deltas()
    task = asyncio.ensure_future(other.fetcher._fetch_until_current(ORDERS))
    await asyncio.sleep(0)
    for version in range(2, 9):
        reader.read(_page(version, 10_000, tenants=[]))
        reader.bus.send_deltas()
        await asyncio.sleep(0)
    await task
    await _gossip([reader, other], 2)
    assert other.value == reader.value


async def test_fetched_copy_is_no_younger_than_its_confirmation() -> None:
    clock = fakes.ManualClock()
    reader, other = _pair(clock)
    reader.read(_page(1))
    read_s = clock.now_s
    clock.now_s += 1.0
    reader.bus.send_deltas()
    clock.now_s += 1.0
    await other.fetcher._fetch_until_current(ORDERS)
    assert other.copy.confirmed_s <= read_s + 1e-6


async def test_peer_without_fetches_leaves_the_copy_to_the_store() -> None:
    """Rolling restart: nodes of the former version don't know the call."""
    reader, other = _pair(fakes.ManualClock())
    reader.read(_page(1))
    reader.bus._handler_by_topic.clear()
    await _gossip([reader, other])
    assert other.value is None
    assert other.counted("topics.fetch_failed") == 1
    other.read(_page(1))
    await _gossip([reader, other])
    assert other.value == reader.value


def test_update_with_patches_is_unknown_to_the_former_version() -> None:
    """Rolling restart: else it would take a patched value for an empty one."""
    one = topics.TopicState(ORDERS)
    one.apply_page(_page(1))
    one.apply_page(_page(2, tenants=[]))
    patched = one.patched_record("config", 2)
    assert patched is not None
    update = topic_exchange.TopicUpdate(
        ORDERS, 3, 0.0, 2, (), "reader", (patched,)
    )
    message = topic_exchange.TopicMessage(0.0, [update])
    payload = topic_codec.CODEC.encode(message)
    assert topic_codec.CODEC.decode(payload) == message
    # The former version reads field 1 of a batch alone.
    batch = topic_codec.topics_pb2.Batch.FromString(payload)
    assert not batch.news


def _linked_nodes(count: int) -> list[_Node]:
    """Returns nodes of four zones with the links that they choose."""
    clock = fakes.ManualClock()
    nodes = [_Node(clock, f"n{number}") for number in range(count)]
    zone_by_id = {
        node.bus.node_id: f"z{index % 4}" for index, node in enumerate(nodes)
    }
    ids_by_zone = collections.defaultdict(list)
    for node_id, zone in zone_by_id.items():
        ids_by_zone[zone].append(node_id)
    by_id = {node.bus.node_id: node for node in nodes}
    for node_id, zone in zone_by_id.items():
        for other_id in neighbours.choose(node_id, zone, ids_by_zone):
            _link(by_id[node_id], by_id[other_id])
    return nodes


async def test_versions_in_quick_succession_fit_a_slow_link() -> None:
    """CONFIG, issue 24: 25 versions of 50 routes, 0.06 s apart.

    The bound is half of what a link of 5 Mbit/s passes in that time.
    """
    versions, step_s = 25, 0.06
    nodes = _linked_nodes(76)
    reader = nodes[0]
    for node in nodes:
        node.read(_page(1, 50))
    await _gossip(nodes, 2)
    for node in nodes:
        node.bus.bytes_sent = 0
    for version in range(2, 2 + versions):
        keys = long_manifests.tenants(f"key-{version}")
        reader.read(_page(version, 50, tenants=keys))
        await _gossip(nodes)
    await _gossip(nodes, _MAX_ROUNDS)
    assert {node.value for node in nodes} == {reader.value}
    most = max(node.bus.bytes_sent for node in nodes)
    assert most < 0.5 * 5e6 / 8 * versions * step_s


@pytest.mark.parametrize("count", [76, 370])
@pytest.mark.parametrize("routes", [3, 1400])
async def test_change_reaches_all_nodes_at_the_cost_of_the_change(
    count: int, routes: int
) -> None:
    """CONFIG, issue 32: each version went whole over each link.

    One node joins with an empty copy, one was five versions behind, and one
    dies. The bound is the users' for control: 7 KB a second for each node and
    1,900 changes a day, so 45 s for each.
    """
    nodes = _linked_nodes(count)
    reader, behind, joined, dead = nodes[:4]
    for node in nodes:
        if node not in {behind, joined}:
            node.read(_page(6, routes))
    behind.read(_page(1, routes))
    await _gossip(nodes, 2)
    dead.bus.is_dead = True
    for node in nodes:
        node.bus.bytes_sent = 0
    reader.read(_page(7, routes, tenants=long_manifests.tenants()))
    await _gossip(nodes, _MAX_ROUNDS)
    values = {node.value for node in nodes if node is not dead}
    assert values == {reader.value}
    most = max(node.bus.bytes_sent for node in nodes)
    assert most < 7000 * 45
    mean = sum(node.bus.bytes_sent for node in nodes) / count
    assert mean < 7000


@pytest.mark.parametrize("part", [b"", b"\xff\xff", b"x" * 100])
async def test_malformed_reply_is_counted_and_the_next_peer_is_asked(
    part: bytes,
) -> None:
    """Found by reading: it ended the fetches of a node for good."""
    clock = fakes.ManualClock()
    nodes = [_Node(clock, each) for each in "abc"]
    one, other, joined = nodes
    for node in (one, other):
        node.read(_page(1))
        _link(node, joined)

    async def reply(peer: str, payload: bytes) -> bytes:
        broken = topic_fetcher.Reply(1, 2, 0.0, part)
        return topic_codec.FETCH_CODEC.encode_reply(broken) if part else b"\xff"

    one.bus._handler_by_topic["topics.fetch"] = reply
    one.bus.send_deltas()
    other.bus.send_deltas()
    task = asyncio.ensure_future(joined.fetcher.run())
    for _ in range(20):
        await asyncio.sleep(0)
    assert not task.done()
    task.cancel()
    assert joined.value == other.value
    assert joined.counted("topics.fetch_failed") == 1
