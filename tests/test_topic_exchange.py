"""What a node believes of the age of a copied topic is never too young."""

import collections
from collections.abc import Sequence
import itertools
import math
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lycheegw.coordination import topic_exchange
from lycheegw.protocol import topic_codec
from lycheegw.protocol.pb import topics_pb2
from lycheegw.state import topics
from tests import fakes

UPSTREAMS = topics.Topic.UPSTREAMS
PAGE = topics.TopicPage([topics.TopicRecord("u", 0, b"v")], 1, True)


class _Node:
    """The topics of one node and its fake links."""

    def __init__(self, clock: fakes.ManualClock, node_id: str):
        self.bus = fakes.FakePeerBus(node_id)
        self.copy = topics.TopicState(UPSTREAMS)
        self.exchange = topic_exchange.TopicExchange(
            fakes.node(clock, node_id),
            self.bus,  # type: ignore[arg-type]
            topic_codec.CODEC,
            {UPSTREAMS: self.copy},
            lambda *_: None,
            lambda: None,
            lambda *_: None,
        )

    def read(self, clock: fakes.ManualClock) -> None:
        """Reads the store, which has nothing new."""
        self.exchange.apply_read(UPSTREAMS, PAGE, clock.now_s)

    def encode(self, neighbour: str) -> bytes:
        payload = self.bus._source_by_topic["topics"](neighbour)
        assert payload is not None
        return payload

    def receive(self, sender: str, payload: bytes) -> None:
        self.bus._target_by_topic["topics"](sender, payload)


def _chain(
    clock: fakes.ManualClock, node_ids: Sequence[str], transit_s: float
) -> list[_Node]:
    """Returns nodes whose copies came from the first one, hop by hop."""
    nodes = [_Node(clock, each) for each in node_ids]
    for in_transit_s in (0.0, transit_s):
        clock.now_s += 1.0
        nodes[0].read(clock)
        for sender, receiver in itertools.pairwise(nodes):
            payload = sender.encode(receiver.bus.node_id)
            clock.now_s += in_transit_s
            receiver.receive(sender.bus.node_id, payload)
    return nodes


def test_age_of_a_copy_includes_the_transit_of_gossip() -> None:
    """DRAIN, issue 19: messages in the buffers of a slow node seemed fresh."""
    clock = fakes.ManualClock()
    nodes = _chain(clock, ["a", "b", "c", "d"], 0.5)
    ages_s = [clock.now_s - node.copy.confirmed_s for node in nodes]
    assert [round(each, 3) for each in ages_s] == [1.5, 1.5, 1.5, 1.5]


def test_update_that_waited_does_not_renew_a_copy() -> None:
    """DRAIN, issue 19: a frozen peer's late message postponed the own read."""
    clock = fakes.ManualClock()
    reader, node = _chain(clock, ["a", "b"], 0.0)
    clock.now_s += 1.0
    reader.read(clock)
    payload = reader.encode("b")
    clock.now_s += 5.0
    node.receive("a", payload)
    assert round(clock.now_s - node.copy.confirmed_s, 3) == 5.0


# Sender and receiver; a copy may reach the third node by two hops.
LINKS = ((0, 1), (1, 2))


class Ages(stateful.RuleBasedStateMachine):
    """Nodes that read a store and gossip over links with any delays.

    The first message on a new link arrives at once, as after a handshake.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = fakes.ManualClock()
        self.log: list[topics.TopicRecord] = []
        self.nodes = [_Node(self.clock, each) for each in "abc"]
        # When the store really had nothing newer than each node's copy.
        self.read_s = [-math.inf] * len(self.nodes)
        self.queues: dict[tuple[int, int], collections.deque[Any]] = {}

    @stateful.rule(seconds=strategies.floats(0.01, 4.0))
    def wait(self, seconds: float) -> None:
        self.clock.now_s += seconds

    @stateful.rule()
    def write(self) -> None:
        self.log.append(topics.TopicRecord("u", len(self.log), b"v"))

    @stateful.rule()
    def read(self) -> None:
        page = topics.TopicPage(self.log[-1:], len(self.log), True)
        self.nodes[0].exchange.apply_read(UPSTREAMS, page, self.clock.now_s)
        self.read_s[0] = self.clock.now_s

    @stateful.rule(link=strategies.sampled_from(LINKS))
    def send(self, link: tuple[int, int]) -> None:
        sender, receiver = link
        payload = self.nodes[sender].bus._source_by_topic["topics"](
            self.nodes[receiver].bus.node_id
        )
        if payload is None:
            return
        is_first = link not in self.queues
        queue = self.queues.setdefault(link, collections.deque())
        queue.append((payload, self.read_s[sender]))
        if is_first:
            self._deliver(sender, receiver)

    @stateful.rule(link=strategies.sampled_from(LINKS))
    def deliver(self, link: tuple[int, int]) -> None:
        if self.queues.get(link):
            self._deliver(*link)

    def _deliver(self, sender: int, receiver: int) -> None:
        payload, read_s = self.queues[sender, receiver].popleft()
        node = self.nodes[receiver]
        node.receive(self.nodes[sender].bus.node_id, payload)
        (update,) = topic_codec.CODEC.decode(payload).updates
        if update.end_offset >= node.copy.end_offset:
            self.read_s[receiver] = max(self.read_s[receiver], read_s)

    @stateful.rule(link=strategies.sampled_from(LINKS))
    def break_link(self, link: tuple[int, int]) -> None:
        self.queues.pop(link, None)
        for one, other in (link, link[::-1]):
            node = self.nodes[one]
            node.exchange.forget_neighbour(self.nodes[other].bus.node_id)

    @stateful.invariant()
    def no_copy_counts_as_younger_than_it_is(self) -> None:
        for node, read_s in zip(self.nodes, self.read_s, strict=True):
            assert node.copy.confirmed_s <= read_s + 1e-6


TestAges: Any = Ages.TestCase
TestAges.settings = hypothesis.settings(
    max_examples=500, stateful_step_count=40, deadline=None
)


# Guards against nodes that learn nothing from a peer of a newer build, because
# of a topic that they don't know.
def test_unknown_topic_does_not_hide_the_others(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = fakes.ManualClock()
    newer, older = _Node(clock, "a"), _Node(clock, "b")
    newer.read(clock)
    for _ in range(3):
        clock.now_s += 1.0
        newer.read(clock)
        batch = topics_pb2.Batch.FromString(newer.encode("b"))
        batch.news.add(topic="odd", end_offset=7)
        batch.patched_news.add(topic="odder", end_offset=7)
        older.receive("a", batch.SerializeToString())
        assert older.copy.value("u") == b"v"
        assert older.copy.confirmed_s == clock.now_s
    counters = older.exchange._state.counters.by_name
    assert counters["topics.unknown"] == 3
    assert len(caplog.records) == 1


def _restored_page(era: int, *keys: str) -> topics.TopicPage:
    records = [
        topics.TopicRecord(key, at, b"%d" % era) for at, key in enumerate(keys)
    ]
    return topics.TopicPage(records, len(keys), True, era=era)


def test_node_cut_off_during_a_restore_neither_spreads_nor_keeps_its_copy() -> (
    None
):
    """CONFIG, issue 49: offsets of a lost history hid those of the new one."""
    clock = fakes.ManualClock()
    reader, cut_off = _Node(clock, "a"), _Node(clock, "b")
    lost = _restored_page(1, "u", "v", "w")
    cut_off.exchange.apply_read(UPSTREAMS, lost, clock.now_s)
    reader.exchange.apply_read(UPSTREAMS, _restored_page(2, "u"), clock.now_s)
    clock.now_s += 1.0
    cut_off.exchange.apply_read(UPSTREAMS, lost, clock.now_s)
    reader.receive("b", cut_off.encode("a"))
    assert reader.copy.values() == {"u": b"2"}
    assert reader.copy.confirmed_s < clock.now_s
    assert not reader.exchange.is_behind(UPSTREAMS)
    cut_off.receive("a", reader.encode("b"))
    assert cut_off.copy.values() == {"u": b"2"}
    # A read that began before the restore returns late.
    cut_off.exchange.apply_read(UPSTREAMS, lost, clock.now_s)
    assert cut_off.copy.position == topics.Position(2, 1)


def test_updates_of_earlier_builds_count_until_the_store_is_restored() -> None:
    """Rolling restart: earlier builds don't know eras."""
    clock = fakes.ManualClock()
    newer, older = _Node(clock, "a"), _Node(clock, "b")
    newer.exchange.apply_read(UPSTREAMS, _restored_page(1, "u"), clock.now_s)
    older.exchange.apply_read(
        UPSTREAMS, _restored_page(0, "u", "v"), clock.now_s
    )
    newer.receive("b", older.encode("a"))
    assert set(newer.copy.values()) == {"u", "v"}
    newer.exchange.apply_read(UPSTREAMS, _restored_page(2, "u"), clock.now_s)
    older.exchange.apply_read(
        UPSTREAMS, _restored_page(0, "u", "v", "w"), clock.now_s
    )
    newer.receive("b", older.encode("a"))
    assert newer.copy.values() == {"u": b"2"}
