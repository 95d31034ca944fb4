"""What a node believes of the age of a copied topic is never too young."""

from collections.abc import Sequence
import itertools

from lycheegw.coordination import topic_exchange
from lycheegw.protocol import topic_codec
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
