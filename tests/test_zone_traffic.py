"""Bytes between zones: counted by purpose, and bounded for gossip."""

import asyncio
import collections
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import pytest

from lycheegw.coordination import liveness
from lycheegw.coordination import neighbours
from lycheegw.coordination import topic_exchange
from lycheegw.coordination import topic_fetcher
from lycheegw.protocol import topic_codec
from lycheegw.protocol.pb import peer_pb2
from lycheegw.state import counters
from lycheegw.state import topics
from lycheegw.state import zone_traffic
from lycheegw.transport import metrics_page
from lycheegw.transport import peer_bus
from lycheegw.transport import peer_link
from tests import fakes

UPSTREAMS = topics.Topic.UPSTREAMS
ENTRY_BYTES = 300


def _fleet(nodes: int, zones: int) -> dict[str, list[str]]:
    """Returns node ids by zone."""
    ids_by_zone: dict[str, list[str]] = {}
    for number in range(nodes):
        zone = f"z{number % zones}"
        ids_by_zone.setdefault(zone, []).append(f"{zone}-{number}")
    return ids_by_zone


def _crossing_links(
    ids_by_zone: Mapping[str, Sequence[str]], with_slow: bool
) -> collections.Counter[tuple[str, str]]:
    """Returns the links between each two zones that gossip at once, or all."""
    found = set()
    for zone, ids in ids_by_zone.items():
        for own_id in ids:
            slow = neighbours.slow_neighbours(own_id, zone, ids_by_zone)
            for other in neighbours.choose(own_id, zone, ids_by_zone):
                crosses = not other.startswith(f"{zone}-")
                if crosses and (with_slow or other not in slow):
                    found.add((min(own_id, other), max(own_id, other)))
    return collections.Counter(
        (one.partition("-")[0], other.partition("-")[0]) for one, other in found
    )


# Gossip of small and large fleets: what crosses grows with the links.
@pytest.mark.parametrize(("nodes", "zones"), [(7, 3), (79, 4), (374, 4)])
def test_links_between_two_zones_do_not_grow_with_the_nodes(
    nodes: int, zones: int
) -> None:
    ids_by_zone = _fleet(nodes, zones)
    pairs = zones * (zones - 1) // 2
    prompt = _crossing_links(ids_by_zone, with_slow=False)
    assert len(prompt) == pairs
    # Two in each direction at most, where the first ones share a node.
    assert set(prompt.values()) <= {1, 2, 3, 4}
    links = _crossing_links(ids_by_zone, with_slow=True)
    assert set(links.values()) <= set(range(2, 9))


# A gateway that is alive but starved isn't replaced: another one passes on.
@pytest.mark.parametrize(("nodes", "zones"), [(7, 3), (79, 4), (374, 4)])
def test_no_node_has_all_prompt_links_of_two_zones(
    nodes: int, zones: int
) -> None:
    ids_by_zone = _fleet(nodes, zones)
    links_by_pair: dict[frozenset[str], list[set[str]]] = {}
    for zone, ids in ids_by_zone.items():
        for own_id in ids:
            slow = neighbours.slow_neighbours(own_id, zone, ids_by_zone)
            for other in neighbours.choose(own_id, zone, ids_by_zone):
                other_zone = other.partition("-")[0]
                if other_zone != zone and other not in slow:
                    pair = frozenset((zone, other_zone))
                    links_by_pair.setdefault(pair, []).append({own_id, other})
    for links in links_by_pair.values():
        assert not set.intersection(*links)


# Gateways lost halfway: others take their place, with as many links.
def test_lost_gateways_are_replaced() -> None:
    ids_by_zone = _fleet(79, 4)
    gateways = {
        own_id
        for own_id in ids_by_zone["z0"]
        for other in neighbours.choose(own_id, "z0", ids_by_zone)
        if other.startswith("z1")
    }
    ids_by_zone["z0"] = [
        each for each in ids_by_zone["z0"] if each not in gateways
    ]
    links = _crossing_links(ids_by_zone, with_slow=False)
    assert set(links.values()) <= {1, 2}
    assert len(links) == 6


# A node that starts knows the others before any of them knows it.
@pytest.mark.parametrize("zone", ["y", "zz"])
def test_first_node_of_a_zone_opens_links_itself(zone: str) -> None:
    ids_by_zone = {"z": [f"z-{each}" for each in range(8)], zone: ["new"]}
    assert neighbours.choose("new", zone, ids_by_zone)


def test_both_ends_agree_on_which_links_are_slow() -> None:
    ids_by_zone = _fleet(79, 4)
    slow_by_id = {
        own_id: neighbours.slow_neighbours(own_id, zone, ids_by_zone)
        for zone, ids in ids_by_zone.items()
        for own_id in ids
    }
    for own_id, others in slow_by_id.items():
        for other, interval_s in others.items():
            assert slow_by_id[other][own_id] == interval_s


class _Node:
    """A node's copy of the upstreams, its gossip and its fetches."""

    def __init__(self, clock: fakes.ManualClock, node_id: str):
        self.state = fakes.node(clock, node_id)
        self.bus: Any = fakes.FakePeerBus(node_id)
        self.copy = topics.TopicState(UPSTREAMS)
        self.exchange = topic_exchange.TopicExchange(
            self.state,
            self.bus,
            topic_codec.CODEC,
            {UPSTREAMS: self.copy},
            lambda *_: None,
            lambda: None,
            lambda *_: None,
        )
        self.fetcher = topic_fetcher.TopicFetcher(
            self.state,
            self.bus,
            self.exchange,
            topic_codec.FETCH_CODEC,
            lambda: None,
            lambda *_, **__: None,
        )

    def read(self, upstreams: int, now_s: float) -> None:
        """Applies a read of a store that lists some upstreams."""
        records = [
            topics.TopicRecord(f"u{each}", each, bytes([each]) * ENTRY_BYTES)
            for each in range(upstreams)
        ]
        page = topics.TopicPage(records, upstreams, True)
        self.exchange.apply_read(UPSTREAMS, page, now_s)


def _pair(clock: fakes.ManualClock) -> tuple[_Node, _Node]:
    one, other = _Node(clock, "a"), _Node(clock, "b")
    one.bus.others, other.bus.others = [other.bus], [one.bus]
    return one, other


# Links that break and open again, as in cuts and restarts of many nodes.
def test_new_link_brings_no_copy_to_a_neighbour_that_has_it() -> None:
    clock = fakes.ManualClock()
    one, other = _pair(clock)
    one.read(60, clock.now_s)
    other.read(60, clock.now_s)
    for _ in range(5):
        one.exchange.forget_neighbour("b")
        one.bus.send_deltas()
    assert one.bus.bytes_sent < 5 * 100
    assert not other.state.counters.by_name["topics.gap"]


# A node that starts: it has nothing, and its neighbours have everything.
async def test_neighbour_without_a_copy_fetches_it() -> None:
    clock = fakes.ManualClock()
    one, other = _pair(clock)
    one.read(60, clock.now_s)
    one.bus.send_deltas()
    await other.fetcher._fetch_until_current(UPSTREAMS)
    assert other.copy.values() == one.copy.values()
    # Compressed, and once.
    assert one.bus.bytes_sent < 60 * ENTRY_BYTES


# The store is down, and the only neighbour that has a copy doesn't reply once.
async def test_fetch_that_failed_is_tried_again() -> None:
    clock = fakes.ManualClock()
    one, other = _pair(clock)
    one.read(60, clock.now_s)
    one.bus.send_deltas()
    one.bus.is_dead = True
    await other.fetcher._fetch_until_current(UPSTREAMS)
    assert not other.copy.is_known
    one.bus.is_dead = False
    running = asyncio.ensure_future(other.fetcher.run())
    for _ in range(20):
        await asyncio.sleep(0)
    running.cancel()
    assert other.copy.values() == one.copy.values()


# A peer that never replies is not asked for ever.
async def test_fetches_that_fail_end() -> None:
    clock = fakes.ManualClock()
    one, other = _pair(clock)
    one.read(60, clock.now_s)
    one.bus.send_deltas()
    one.bus.is_dead = True
    for _ in range(20):
        await other.fetcher._fetch_until_current(UPSTREAMS)
    failed = other.state.counters.by_name["topics.fetch_failed"]
    assert failed == topic_fetcher._MAX_RETRIES + 1


class _Stream:
    def __init__(self) -> None:
        self.frames: list[Any] = []

    async def send_message(self, frame: Any) -> None:
        self.frames.append(frame)


def _link(
    state: Any, zone: str, topics_sent: Sequence[str]
) -> tuple[peer_link.Link, peer_link.LinkCallbacks]:
    callbacks = peer_link.LinkCallbacks(
        lambda _: [
            peer_pb2.Delta(topic=each, payload=bytes(50))
            for each in topics_sent
        ],
        lambda *_: None,
        lambda *_: None,  # type: ignore[arg-type,return-value]
        lambda _: None,
        lambda: 1.0,
    )
    peer = liveness.Peer("b", zone, "127.0.0.1:1", 1)
    link = peer_link.Link(state, peer, _Stream(), callbacks, True, True)
    return link, callbacks


@pytest.mark.parametrize("zone", ["y", "z"])
def test_deltas_are_counted_by_topic_if_they_cross(zone: str) -> None:
    state = fakes.node(fakes.ManualClock(), "a")
    link, _ = _link(state, zone, ["topics", "liveness"])
    for frame in link._heartbeat_frames():
        link._count_deltas(frame)
    counted = state.zone_traffic.bytes_by_purpose
    if zone == "z":
        assert not counted
    else:
        assert set(counted) == {"delta.topics", "delta.liveness", "heartbeat"}
        assert 50 < counted["delta.topics"] < 80


# Many small changes a second: the links that back others up pass on the last.
def test_slow_link_sends_deltas_at_intervals() -> None:
    clock = fakes.ManualClock()
    link, callbacks = _link(fakes.node(clock, "a"), "y", ["topics"])
    callbacks.min_delta_interval_s = lambda _: 2.0
    sent = 0
    for _ in range(80):
        clock.now_s += 0.125
        if not link._delta_wait_s():
            link._deltas_sent_s = clock.now_s
            sent += 1
    assert sent == 5


async def test_bus_thins_out_only_links_that_back_others_up() -> None:
    ids_by_zone = {
        zone: [f"{zone}-{each}" for each in range(5)] for zone in ("y", "z")
    }
    slow_by_id = {
        own_id: neighbours.slow_neighbours(own_id, "z", ids_by_zone)
        for own_id in ids_by_zone["z"]
    }
    own_id = next(each for each, slow in slow_by_id.items() if slow)
    state = fakes.node(fakes.ManualClock(), own_id)
    bus = peer_bus.GrpcPeerBus(state, "127.0.0.1:0", "k")
    for zone, ids in ids_by_zone.items():
        for node_id in ids:
            bus.liveness.note_heartbeat(
                liveness.Peer(node_id, zone, "127.0.0.1:1", 1)
            )
    thinned = {
        node_id
        for ids in ids_by_zone.values()
        for node_id in ids
        if bus._min_delta_interval_s(node_id) > 0
    }
    assert thinned == set(slow_by_id[own_id])


def test_increase_is_what_was_counted_since() -> None:
    traffic = zone_traffic.ZoneTraffic("z")
    traffic.add("y", "request", 5)
    traffic.add("z", "request", 100)
    assert traffic.take_increase() == {"request": 5}
    assert traffic.take_increase() == {}
    traffic.add("y", "request", 2)
    assert traffic.take_increase() == {"request": 2}
    page = metrics_page.render(
        counters.Counters(), metrics_page.Histograms(), dict, traffic
    )
    assert b'lycheegw_zone_bytes_total{purpose="request"} 7\n' in page
