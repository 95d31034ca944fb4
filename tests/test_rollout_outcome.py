"""The store never holds two different outcomes of a roll-out.

Writers pause between the decision and the write, answers are lost, writes are
applied late, nodes restart, and nodes have different counts of the versions.
"""

import asyncio
from collections.abc import Generator
import contextlib
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import directory
from lycheegw.coordination import topic_exchange
from lycheegw.platform import records
from lycheegw.protocol import rollout_codec
from lycheegw.protocol import topic_codec
from lycheegw.state import errors
from lycheegw.state import orders
from lycheegw.state import topics
from lycheegw.state import upstreams
from tests import fakes

ORDER = orders.RolloutOrder("m", "v2", 10.0)
NODES = 3
_OUTCOMES = topics.Topic.OUTCOMES
Write = Any


class _Pause:
    """Suspends a coroutine until it is sent the result of its call."""

    def __await__(self) -> Generator[None, str, str]:
        result = yield
        return result


class _Store:
    """The topic of outcomes; each write waits until its result is sent."""

    def __init__(self) -> None:
        self.log: list[tuple[str, bytes]] = []
        self.late_writes: list[tuple[str, bytes, int]] = []
        self.result = "answered"

    def _append(self, key: str, value: bytes, expected_end: int) -> int:
        if expected_end != len(self.log):
            raise errors.StoreConflictError("end offset differs")
        self.log.append((key, value))
        return len(self.log) - 1

    async def put(
        self,
        topic: topics.Topic,
        key: str,
        value: bytes,
        expected_end: int | None,
    ) -> topics.Position:
        """Writes a key with the result that the test sends."""
        assert topic is _OUTCOMES and expected_end is not None
        self.result = await _Pause()
        if self.result == "down":
            raise errors.StoreError("down")
        if self.result == "late":
            self.late_writes.append((key, value, expected_end))
            raise errors.StoreError("no answer", True)
        offset = self._append(key, value, expected_end)
        if self.result == "lost":
            raise errors.StoreError("no answer", True)
        return topics.Position(0, offset)

    def land_late_write(self) -> None:
        """Applies a write whose writer saw no answer."""
        key, value, expected_end = self.late_writes.pop(0)
        if expected_end == len(self.log):
            self.log.append((key, value))

    async def newest(self, topic: topics.Topic) -> topics.TopicPage:
        """Returns the newest outcome of each key."""
        if self.result == "down":
            raise errors.StoreError("down")
        newest = {
            key: topics.TopicRecord(key, offset, value)
            for offset, (key, value) in enumerate(self.log)
        }
        return topics.TopicPage(list(newest.values()), len(self.log), True)


class _Node:
    """One process with its copy of the topic and of the order."""

    def __init__(
        self, clock: fakes.ManualClock, bus: fakes.FakePeerBus, store: _Store
    ):
        self.state = fakes.node(clock, bus.node_id)
        fakes.add_upstream(self.state, "u2")
        upstream = self.state.upstreams.by_id["u2"]
        entry = upstream.entry._replace(version=ORDER.version)
        self.state.upstreams.by_id["u2"] = upstreams.Upstream(entry)
        self.store = store
        known = {topic: topics.TopicState(topic) for topic in topics.Topic}
        self.directory = directory.Directory(
            self.state,
            records.create_codec(),
            known,
            1.2,
            lambda *_, **__: None,
        )
        self.known = directory.KnownRollout(ORDER, 7, clock.now_s)
        self.directory.rollout_by_service["m"] = self.known
        self.exchange = topic_exchange.TopicExchange(
            self.state,
            bus,  # type: ignore[arg-type]
            topic_codec.CODEC,
            known,
            self.directory.apply,
            lambda: None,
            lambda *_: None,
        )
        self.rollouts = canary_rollouts.CanaryRollouts(
            self.state,
            self.directory,
            bus,  # type: ignore[arg-type]
            rollout_codec.CODEC,
            lambda: fakes.BOUNDS,
            lambda: None,
            lambda *_, **__: None,
        )

    @property
    def outcome(self) -> orders.RolloutOutcome | None:
        return self.directory.outcome_by_service.get("m")

    def decide(self) -> orders.RolloutState | None:
        """Returns the outcome that is due, None if the store has one."""
        if self.outcome is not None:
            return None
        self.rollouts._evaluate("m")
        decision = self.rollouts._decide(self.known)
        self.rollouts._set_own_status(self.known)
        return decision

    def begin_write(self, decision: orders.RolloutState) -> Write:
        """Runs up to the call of the store and pauses the process there."""
        write = self.rollouts._write_outcome(
            self.store,  # type: ignore[arg-type]
            self.exchange,
            records.encode_outcome,
            self.known,
            decision,
        )
        write.send(None)
        return write


def _end_write(write: Write, result: str) -> None:
    """Resumes a process that was paused before its call."""
    with contextlib.suppress(StopIteration):
        write.send(result)


class OutcomeMachine(stateful.RuleBasedStateMachine):
    """Nodes that carry out one roll-out against one store."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = fakes.ManualClock()
        self.store = _Store()
        self.buses = [
            fakes.FakePeerBus(f"n{number}") for number in range(NODES)
        ]
        for bus in self.buses:
            bus.others = [each for each in self.buses if each is not bus]
        self.nodes = [_Node(self.clock, bus, self.store) for bus in self.buses]
        self.write_by_node: dict[int, Write] = {}

    node = strategies.integers(0, NODES - 1)

    @stateful.rule(step=strategies.floats(0.1, 4.0))
    def pass_time(self, step: float) -> None:
        self.clock.now_s += step

    @stateful.rule(number=node, is_good=strategies.booleans())
    def serve(self, number: int, is_good: bool) -> None:
        rollouts = self.nodes[number].rollouts
        for count in range(15):
            version = "v2" if count % 2 else "v1"
            rollouts.note_sent("m", version)
            if version == "v2" and not is_good:
                rollouts.note_failed("m", version, f"u{count % 4}")
            else:
                rollouts.note_answer("m", version, 0.1)
                rollouts.note_pace("m", version, 0.02)
            rollouts.note_ended("m", version)

    @stateful.rule(number=node)
    def send_update(self, number: int) -> None:
        self.buses[number].send_deltas()

    @stateful.rule(number=node)
    def decide(self, number: int) -> None:
        decision = self.nodes[number].decide()
        if decision is not None and number not in self.write_by_node:
            self.write_by_node[number] = self.nodes[number].begin_write(
                decision
            )

    @stateful.rule(
        number=node,
        decision=strategies.sampled_from(
            [orders.RolloutState.COMPLETED, orders.RolloutState.ROLLED_BACK]
        ),
    )
    def decide_by_another_view(
        self, number: int, decision: orders.RolloutState
    ) -> None:
        """A node with other counts of the versions decides."""
        node = self.nodes[number]
        if node.outcome is None and number not in self.write_by_node:
            self.write_by_node[number] = node.begin_write(decision)

    @stateful.precondition(lambda self: self.write_by_node)
    @stateful.rule(
        data=strategies.data(),
        result=strategies.sampled_from(["answered", "lost", "late", "down"]),
    )
    def end_write(self, data: strategies.DataObject, result: str) -> None:
        number = data.draw(strategies.sampled_from(sorted(self.write_by_node)))
        _end_write(self.write_by_node.pop(number), result)
        self.store.result = "answered"

    @stateful.precondition(lambda self: self.store.late_writes)
    @stateful.rule()
    def land_late_write(self) -> None:
        self.store.land_late_write()

    @stateful.rule(number=node)
    def restart(self, number: int) -> None:
        write = self.write_by_node.pop(number, None)
        if write is not None:
            write.close()
        self.clock.now_s += 0.2
        node = _Node(self.clock, self.buses[number], self.store)
        self.nodes[number] = node
        page = asyncio.run(self.store.newest(_OUTCOMES))
        node.exchange.apply_read(_OUTCOMES, page, self.clock.now_s)

    @stateful.invariant()
    def store_has_one_outcome(self) -> None:
        assert len({value for _, value in self.store.log}) <= 1

    @stateful.invariant()
    def nodes_know_no_other_outcome(self) -> None:
        written = {value for _, value in self.store.log}
        for node in self.nodes:
            if node.outcome is not None:
                assert records.encode_outcome(node.outcome)[1] in written


TestOutcomeMachine = OutcomeMachine.TestCase
TestOutcomeMachine.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=40, deadline=None
)


def test_paused_writer_does_not_overwrite_the_outcome() -> None:
    """node_freeze, leader: frozen after deciding, while another one writes."""
    machine = OutcomeMachine()
    first, second = machine.nodes[:2]
    machine.serve(1, False)
    paused = first.begin_write(orders.RolloutState.COMPLETED)
    _end_write(second.begin_write(orders.RolloutState.ROLLED_BACK), "answered")
    _end_write(paused, "answered")
    assert len(machine.store.log) == 1
    assert first.outcome is not None
    assert first.outcome.state is orders.RolloutState.ROLLED_BACK
