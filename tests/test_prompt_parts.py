"""Attribution of crashes to parts of prompts, by one node and by a fleet."""

import asyncio
from collections.abc import Callable
import itertools
import json
import random
from typing import Any

import pytest

from lycheegw.coordination import block_records
from lycheegw.coordination import crash_table
from lycheegw.coordination import interfaces
from lycheegw.coordination import prompt_parts
from lycheegw.coordination import suspects
from lycheegw.protocol import suspect_codec
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import topics
from lycheegw.state import verdicts
from tests import fakes

BLOCKED = prompt_parts.PartStatus.BLOCKED
SUSPECT = prompt_parts.PartStatus.SUSPECT
SOUND = prompt_parts.PartStatus.SOUND


class _Node:
    """The tables of one node."""

    def __init__(self) -> None:
        self.clock = fakes.ManualClock()
        environment = self.clock.environment()
        self.crashes = crash_table.CrashTable(environment)
        self.parts = prompt_parts.PartTable(environment, self.crashes)
        self._numbers = itertools.count()

    def crash(self, *prompts: str) -> prompt_parts.PartVerdict | None:
        """Records a crash under prompts and applies the verdict on it."""
        number = next(self._numbers)
        for index, prompt in enumerate(prompts):
            self.crashes.add(
                crash_table.Crash(
                    f"f{number}-{index}",
                    f"u{number}",
                    1.0,
                    0.0,
                    tuple(prompt.split()),
                )
            )
        verdict = self.parts.judge(f"u{number}", 1.0)
        if verdict is not None:
            assert self.parts.apply(verdict)
        self.clock.now_s += 0.1
        return verdict


def test_part_that_all_crashes_have_is_blocked_at_the_third() -> None:
    node = _Node()
    assert node.crash("first dead a") is None
    assert node.crash("first dead b") is not None
    assert node.parts.status("dead") is SUSPECT
    node.crash("first dead c")
    assert node.parts.status("dead") is BLOCKED
    for part in ("first", "a", "b", "c"):
        assert node.parts.status(part) is SOUND
    assert 599 < node.parts.blocked_s(["first", "dead", "d"]) <= 600
    assert node.parts.blocked_s(["first", "other"]) == 0
    node.clock.now_s += 601
    assert node.parts.blocked_s(["dead"]) == 0


def test_parts_of_sound_prompts_on_the_same_upstreams_are_not_blamed() -> None:
    """Sound prompts are answered elsewhere all the time."""
    node = _Node()
    for _ in range(6):
        node.parts.note_answered(["first", "topic", "other"])
        node.crash("first dead", "first topic", "other topic")
    assert node.parts.status("dead") is BLOCKED
    for part in ("first", "topic", "other"):
        assert node.parts.status(part) is SOUND


def test_new_part_with_as_many_crashes_as_another_is_not_blocked() -> None:
    node = _Node()
    for _ in range(4):
        node.crash("x dead", "y unlucky")
    assert {node.parts.status("dead"), node.parts.status("unlucky")} <= {
        SOUND,
        SUSPECT,
    }
    node.crash("x dead")
    assert node.parts.status("dead") is BLOCKED
    assert node.parts.status("unlucky") is not BLOCKED


def test_part_that_turns_bad_after_it_was_answered_is_blocked() -> None:
    node = _Node()
    node.parts.note_answered(["first", "dead"])
    node.clock.now_s += 3.0
    for number in range(5):
        node.parts.note_answered(["first"])
        node.crash(f"first dead own-{number}")
    assert node.parts.status("dead") is BLOCKED
    assert node.parts.status("first") is SOUND


def test_crashes_that_a_blocked_part_explains_count_for_no_other() -> None:
    node = _Node()
    for _ in range(3):
        node.crash("first dead")
    for number in range(9):
        assert node.crash("first dead", f"first late-{number % 2}") is None
    assert node.parts.status("late-0") is SOUND
    assert node.crashes.blocked_s("f5-1") == 0


def test_whole_answer_exonerates_a_part() -> None:
    node = _Node()
    node.crash("first dead")
    node.crash("first dead")
    assert node.parts.note_answered(["first", "dead"]) == ["dead"]
    assert node.parts.apply(node.parts.exonerate("dead"))
    assert node.parts.status("dead") is SOUND
    node.clock.now_s += 3.0
    for _ in range(2):
        node.crash("first dead")
    assert node.parts.status("dead") is SOUND


def test_verdicts_are_ordered_by_revision_and_the_milder_one_wins() -> None:
    table = _Node().parts
    blocked = prompt_parts.PartVerdict("p", BLOCKED, 2)
    sound = prompt_parts.PartVerdict("p", SOUND, 2)
    assert table.apply(blocked)
    assert not table.apply(blocked._replace(status=SUSPECT, revision=1))
    assert table.apply(sound)
    assert not table.apply(blocked)
    assert table.apply(blocked._replace(revision=3))
    assert table.status("p") is BLOCKED


def test_verdict_is_refuted_by_a_later_answer_only() -> None:
    node = _Node()
    node.parts.note_answered(["p"])
    node.clock.now_s += 10.0
    verdict = prompt_parts.PartVerdict("p", BLOCKED, 1, 0.0, 5.0)
    assert not node.parts.is_refuted(verdict)
    assert node.parts.is_refuted(verdict._replace(crashes_age_s=11.0))


def test_tables_are_bounded() -> None:
    node = _Node()
    for number in range(9000):
        node.parts.note_answered([f"a{number}"])
        node.parts.apply(prompt_parts.PartVerdict(f"v{number}", BLOCKED, 1))
    assert len(node.parts.blocked_parts()) == 1024
    assert node.parts.answer_ages(["a0", "a8999"]).keys() == {"a8999"}


class _Bus(fakes.FakePeerBus):
    """Peer bus whose calls fail where a node is cut off, dead or unknown."""

    def __init__(self, node_id: str, fleet: "_Fleet"):
        super().__init__(node_id)
        self._fleet = fleet
        self.handler_by_topic: dict[str, interfaces.CallHandler] = {}

    def on_call(self, topic: str, handler: interfaces.CallHandler) -> None:
        self.handler_by_topic[topic] = handler

    def live_nodes(self, zone: str | None = None) -> list[str]:
        return sorted(self._fleet.members)

    async def call(
        self, node_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes:
        await asyncio.sleep(0)
        if not self._fleet.is_reachable(self.node_id, node_id):
            raise errors.PeerUnavailableError(f"{node_id} is out of reach")
        other = self._fleet.bus_by_id[node_id]
        return await other.handler_by_topic[topic](self.node_id, payload)


class _Store:
    """The records of blocked parts."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    async def newest(self, topic: topics.Topic) -> topics.TopicPage:
        del topic
        records = [
            topics.TopicRecord(key, index, value)
            for index, (key, value) in enumerate(self.value_by_key.items())
        ]
        return topics.TopicPage(records, len(records), True)

    async def put(
        self, topic: topics.Topic, key: str, value: bytes, end: int | None
    ) -> topics.Position:
        del topic, end
        self.value_by_key[key] = value
        return topics.Position(0, 1)


class _Fleet:
    """Nodes that send prompts to upstreams, on a manual clock.

    Upstreams crash on the part "dead"; a crashed one is at once replaced.
    """

    def __init__(self, nodes: int, seed: int) -> None:
        self.clock = fakes.ManualClock()
        self.random = random.Random(seed)
        self.members: set[str] = set()
        self.cut_off: set[str] = set()
        self.bus_by_id: dict[str, _Bus] = {}
        self.suspects_by_id: dict[str, suspects.Suspects] = {}
        self.records_by_id: dict[str, block_records.BlockRecords] = {}
        self.store = _Store()
        self.arrivals_s: list[float] = []
        self.refused_sound = 0
        self._numbers = itertools.count()
        for number in range(nodes):
            self.start_node(f"n{number}")

    def is_reachable(self, node_id: str, other: str) -> bool:
        is_cut = node_id in self.cut_off or other in self.cut_off
        return other in self.members and (node_id == other or not is_cut)

    def start_node(self, node_id: str) -> None:
        """Starts a node that knows nothing."""
        state = fakes.node(self.clock, node_id)
        bus = _Bus(node_id, self)
        self.members.add(node_id)
        self.bus_by_id[node_id] = bus

        class _Client:
            async def report(self, target: Any, timeout_s: float) -> Any:
                raise errors.UpstreamError(
                    reasons.RetryReason.CONNECT_FAILED,
                    "refused",
                    verdicts.RunVerdict.NOT_RUN,
                )

        node = suspects.Suspects(
            state, _Client(), bus, suspect_codec.CODEC, lambda *_, **__: None
        )
        self.suspects_by_id[node_id] = node
        records = block_records.BlockRecords(
            state, self.store, node.learn, lambda: True, lambda: True
        )
        node.on_verdict = records.note_verdict
        self.records_by_id[node_id] = records

    async def gossip(self) -> None:
        """Passes gossip on, and lets nodes read and write the records."""
        for node_id in sorted(self.members):
            bus = self.bus_by_id[node_id]
            reachable = [
                each
                for each in sorted(self.members - {node_id})
                if self.is_reachable(node_id, each)
            ]
            others = self.random.sample(reachable, min(4, len(reachable)))
            bus.others = [self.bus_by_id[each] for each in others]
            bus.send_deltas()
            await self.records_by_id[node_id]._write()
            if node_id in self.cut_off:
                await self.records_by_id[node_id]._load()

    async def send(self, prompt: str) -> None:
        """Sends a prompt to a random node, which makes two attempts."""
        node_id = self.random.choice(sorted(self.members))
        node = self.suspects_by_id[node_id]
        number = next(self._numbers)
        request = _request(f"r{number}", prompt, self.clock.now_s)
        for attempt in range(2):
            state = fakes.node(self.clock, node_id)
            upstream = fakes.add_upstream(state, f"u{number}-{attempt}")
            try:
                node.refuse_blocked(request)
                await node.choose(request, _returning(upstream), lambda _: True)
            except errors.RefusalError:
                self.refused_sound += "dead" not in prompt
                return
            if "dead" not in prompt:
                node.note_success(request, upstream)
                return
            self.arrivals_s.append(self.clock.now_s)
            error = errors.UpstreamError(
                reasons.RetryReason.CONNECTION_LOST,
                "reset",
                verdicts.RunVerdict.MAY_HAVE_RUN,
            )
            await node.note_failure(request, upstream, error, 1.0, 0.0)


def _returning(upstream: Any) -> Callable[[], Any]:
    async def choose() -> Any:
        return upstream

    return choose


def _request(request_id: str, prompt: str, now_s: float) -> requests.Request:
    work = forwarded_requests.ForwardedWork(None, None, fakes.STREAM_ROUTE)  # type: ignore[arg-type]
    return requests.Request(
        request_id,
        "org",
        "ask",
        work,
        None,
        None,
        now_s + 5.0,
        0,
        None,
        True,
        request_id,
        prompt_parts=tuple(prompt.split()),
    )


# Guards against a part that crashes more upstreams than the bound over all
# nodes allows, where some nodes missed what the others learned.
@pytest.mark.parametrize("nodes", [1, 7, 76])
@pytest.mark.parametrize("seed", range(4))
async def test_bound_holds_with_nodes_that_join_restart_or_are_cut_off(
    nodes: int, seed: int
) -> None:
    fleet = _Fleet(nodes, seed)
    for step in range(100):
        if step == 30:
            for node_id in sorted(fleet.members)[: nodes // 3]:
                fleet.start_node(node_id)
            for number in range(nodes // 5):
                fleet.start_node(f"j{number}")
        if step == 45:
            dead = fleet.random.sample(sorted(fleet.members), nodes // 4)
            fleet.members.difference_update(dead)
        if step == 60:
            cut = fleet.random.sample(sorted(fleet.members), nodes // 4)
            fleet.cut_off = set(cut)
        if step in {30, 60, 80}:
            # A node that starts, or is cut off, has as long to learn.
            for _ in range(20):
                await fleet.gossip()
        if step == 80:
            for node_id in sorted(fleet.members):
                fleet.start_node(node_id)
                await fleet.records_by_id[node_id]._load()
        for prompt in ("first dead", "first topic", "other topic"):
            await fleet.send(f"{prompt} x{step % 9}")
        await fleet.gossip()
        fleet.clock.now_s += 0.2
        await asyncio.sleep(0)
    assert len(fleet.arrivals_s) >= 3
    fifth_s = fleet.arrivals_s[:5][-1]
    assert sum(each > fifth_s + 3.0 for each in fleet.arrivals_s) <= 3
    assert fleet.refused_sound <= 5


def _recorded_status(fleet: _Fleet, part: str) -> str:
    return str(json.loads(fleet.store.value_by_key[part])["status"])


def _blocked(part: str) -> prompt_parts.PartVerdict:
    return prompt_parts.PartVerdict(
        part, prompt_parts.PartStatus.BLOCKED, 1, 0.1, 0.4
    )


async def test_block_that_a_peer_refutes_is_not_kept_in_the_store() -> None:
    """cold_return, then power_off_all: sound prompts were refused again.

    Upstreams of a zone restarted, and a part that all prompts share was blocked
    for 0.1 s. The node that refuted it had never held the block, so the record
    stayed, and all nodes read it as they started again.
    """
    fleet = _Fleet(2, 1)
    first, second = fleet.suspects_by_id["n0"], fleet.suspects_by_id["n1"]
    request = _request("r0", "shared own", fleet.clock.now_s)
    state = fakes.node(fleet.clock, "n1")
    second.note_success(request, fakes.add_upstream(state, "u0"))
    first._apply_verdict(_blocked("shared"), None)
    await fleet.records_by_id["n0"]._write()
    assert _recorded_status(fleet, "shared") == "BLOCKED"
    second._apply_verdict(_blocked("shared"), "n0")
    await fleet.records_by_id["n1"]._write()
    assert _recorded_status(fleet, "shared") == "SOUND"
    fleet.start_node("n2")
    await fleet.records_by_id["n2"]._load()
    fleet.suspects_by_id["n2"].refuse_blocked(request)


async def test_record_of_a_block_that_lands_late_is_corrected() -> None:
    """platform_slow: the block is written after its end was."""
    fleet = _Fleet(2, 1)
    first, second = fleet.suspects_by_id["n0"], fleet.suspects_by_id["n1"]
    first._apply_verdict(_blocked("shared"), None)
    second._apply_verdict(_blocked("shared"), "n0")
    sound = second._parts.exonerate("shared")
    second._apply_verdict(sound, None)
    await fleet.records_by_id["n1"]._write()
    await fleet.records_by_id["n0"]._write()
    first._apply_verdict(sound, "n1")
    await fleet.records_by_id["n0"]._write()
    assert _recorded_status(fleet, "shared") == "SOUND"


async def test_verdict_that_comes_during_a_write_is_written_next() -> None:
    fleet = _Fleet(1, 1)
    node, records = fleet.suspects_by_id["n0"], fleet.records_by_id["n0"]
    put = fleet.store.put
    node._apply_verdict(_blocked("shared"), None)

    async def put_slowly(*arguments: Any) -> int:
        if not fleet.store.value_by_key:
            node._apply_verdict(node._parts.exonerate("shared"), None)
        return await put(*arguments)

    records._store.put = put_slowly
    await records._write()
    assert records._has_unwritten.is_set()
    await records._write()
    assert _recorded_status(fleet, "shared") == "SOUND"
