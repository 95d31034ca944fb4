"""Fakes and factories for tests: a manual clock, node state, peer links."""

import itertools
import random

from lycheegw.coordination import interfaces
from lycheegw.state import clocks
from lycheegw.state import edge_settings
from lycheegw.state import errors
from lycheegw.state import limits
from lycheegw.state import node_state
from lycheegw.state import routing
from lycheegw.state import upstreams

BOUNDS = edge_settings.ServiceLevels(
    2.0, 8.0, 2.0, 0.9, 10.0, 54.0, 0.15, 30.0, 5.0, 1.5, 5.0, 0.12, 5.0
)
STREAM_ROUTE = routing.Route(
    "ask",
    "h",
    "/",
    routing.RequestKind.STREAM,
    12.0,
    3.0,
    0.8,
    0,
    3,
    True,
    True,
    (),
    (routing.Backend("m", 1.0),),
)


class ManualClock:
    """A clock that only moves when a test or a sleep advances it."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def environment(self, seed: int = 1) -> clocks.Environment:
        """Returns an environment with this clock."""
        numbers = itertools.count()

        async def sleep(seconds: float) -> None:
            self.now_s += seconds

        return clocks.Environment(
            lambda: self.now_s,
            lambda: self.now_s,
            random.Random(seed),
            lambda: f"id-{next(numbers)}",
            sleep,
        )


def node(
    clock: ManualClock, node_id: str, **bounds: float
) -> node_state.NodeState:
    """Returns the state of a node in zone "z"."""
    return node_state.create(
        node_state.Identity(node_id, "z", "r"),
        limits.Limits(**bounds),
        clock.environment(),
    )


def add_upstream(
    state: node_state.NodeState, upstream_id: str, zone: str = "z"
) -> upstreams.Upstream:
    """Adds an engine of pool "m" to the host list; returns it."""
    entries = [each.entry for each in state.upstreams.by_id.values()]
    entries.append(
        upstreams.HostEntry(
            upstream_id,
            upstreams.HostRole.ENGINE,
            "m",
            "127.0.0.1:1",
            zone,
            False,
            True,
        )
    )
    state.upstreams.replace_entries(entries)
    return state.upstreams.by_id[upstream_id]


def load_report(
    clock: ManualClock,
    started_at_s: float,
    running: int = 0,
    queued: int = 0,
    completed: int = 0,
) -> upstreams.LoadReport:
    """Returns a load report that is received now."""
    return upstreams.LoadReport(
        frozenset({"v1"}),
        running,
        queued,
        started_at_s,
        completed,
        clock.now_s,
    )


class FakePeerBus:
    """Fake peer links of one node; `send_deltas` sends all deltas.

    Attributes:
        node_id: Id of the node.
        others: The nodes with which it has links.
        bytes_sent: Bytes of its deltas, calls and replies.
        is_dead: Whether calls to it fail.
    """

    def __init__(self, node_id: str):
        self.node_id = node_id
        self.others: list[FakePeerBus] = []
        self.bytes_sent = 0
        self.is_dead = False
        self._handler_by_topic: dict[str, interfaces.CallHandler] = {}
        self._source_by_topic: dict[str, interfaces.DeltaSource] = {}
        self._target_by_topic: dict[str, interfaces.DeltaTarget] = {}

    def on_delta(
        self,
        topic: str,
        source: interfaces.DeltaSource,
        target: interfaces.DeltaTarget,
    ) -> None:
        """Registers the source and the target of the deltas of a topic."""
        self._source_by_topic[topic] = source
        self._target_by_topic[topic] = target

    def on_call(self, topic: str, handler: interfaces.CallHandler) -> None:
        """Registers the handler of calls on a topic."""
        self._handler_by_topic[topic] = handler

    async def call(
        self, node_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Returns the reply of this node or another one."""
        if node_id == self.node_id:
            return await self._handler_by_topic[topic](node_id, payload)
        found = [each for each in self.others if each.node_id == node_id]
        if not found or found[0].is_dead:
            raise errors.PeerUnavailableError(f"no reply from {node_id}")
        handler = found[0]._handler_by_topic.get(topic)
        if handler is None:
            raise errors.PeerUnavailableError(f"{node_id} has no {topic}")
        self.bytes_sent += len(payload)
        reply = await handler(self.node_id, payload)
        found[0].bytes_sent += len(reply)
        return reply

    def live_nodes(self, zone: str | None = None) -> list[str]:
        """Returns the ids of all nodes."""
        return [self.node_id, *(each.node_id for each in self.others)]

    def send_deltas(self) -> None:
        """Sends the deltas of all topics to each other node."""
        for other in self.others:
            for topic, source in self._source_by_topic.items():
                payload = source(other.node_id)
                if payload is not None:
                    self.bytes_sent += len(payload)
                    other._target_by_topic[topic](self.node_id, payload)
