"""State machine test of keys under crashes, lost and late answers."""

import asyncio
import collections
import hashlib
from typing import Any

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from lycheegw.coordination import key_claims
from lycheegw.coordination import key_coordinator
from lycheegw.coordination import key_table
from lycheegw.protocol import key_codec
from lycheegw.state import errors
from lycheegw.state import requests
from lycheegw.state import verdicts
from tests import key_fakes

KEYS = strategies.sampled_from(["a", "b"])
INDEXES = strategies.integers(0, 2)
OUTCOMES = strategies.sampled_from(["ran", "ran_unseen", "not_run", "killed"])


class Node:
    """A node with nothing but idempotency keys."""

    def __init__(self, machine: "KeyMachine", node_id: str):
        state = key_fakes.state_of(node_id, machine.clock)
        bus = key_fakes.Bus(machine.network, node_id)
        codec = key_codec.CODEC
        self.node_id = node_id
        self.coordinator = key_coordinator.KeyCoordinator(
            state, machine.log, bus, codec
        )
        self.key_claims = key_claims.KeyClaims(
            state, bus, self.coordinator, codec
        )


class KeyMachine(stateful.RuleBasedStateMachine):
    """Callers send keys to nodes that are killed, with a faulty log.

    No key may run twice, and no refusal may say not_run for one that ran.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock = key_fakes.Clock()
        self.start_s = self.clock.now_s
        self.log = key_fakes.Log(self.clock)
        self.network = key_fakes.Network()
        self.started_count = 0
        self.nodes = [self.new_node() for _ in range(3)]
        self.runs: collections.Counter[str] = collections.Counter()
        self.result_by_key: dict[str, Any] = {}
        self.sent_keys: set[str] = set()

    def new_node(self) -> Node:
        self.started_count += 1
        return Node(self, f"n{self.started_count}")

    def request(self, key: str, is_first: bool) -> requests.Request:
        work = requests.ServiceWork("deskapp", "book", {})
        deadline_s = self.clock.now_s + 60
        return requests.Request(
            "r",
            "desk",
            "k",
            work,
            None,
            None,
            deadline_s,
            5,
            key,
            False,
            "0f",
            is_first,
        )

    async def send(self, index: int, key: str, outcome: str) -> None:
        """Sends a key to a node, which runs it unless it is refused."""
        node = self.nodes[index]
        request = self.request(key, key not in self.sent_keys)
        self.sent_keys.add(key)
        try:
            stored = await node.key_claims.begin(request)
        except errors.RefusalError as error:
            if error.verdict is verdicts.RunVerdict.NOT_RUN:
                assert not self.runs[key], (
                    f"ran, but the refusal says not_run: {error}"
                )
            return
        if stored is not None:
            assert self.runs[key] == 1
            assert stored.result == self.result_by_key[key]
            return
        await asyncio.sleep(0)
        await self.run(node, request, key, outcome)

    async def run(
        self, node: Node, request: requests.Request, key: str, outcome: str
    ) -> None:
        if outcome != "not_run":
            self.runs[key] += 1
            self.result_by_key[key] = {"number": self.runs[key]}
        assert self.runs[key] <= 1, "the key ran more than once"
        await asyncio.sleep(0)
        if outcome == "killed":
            self.kill(node)
        elif outcome == "ran":
            verdict = verdicts.RunVerdict.RAN
            answer = key_claims.StoredAnswer(self.result_by_key[key])
            await node.key_claims.complete(request, verdict, answer)
        elif outcome == "ran_unseen":
            verdict = verdicts.RunVerdict.MAY_HAVE_RUN
            await node.key_claims.complete(request, verdict, None)
        else:
            verdict = verdicts.RunVerdict.NOT_RUN
            await node.key_claims.complete(request, verdict, None)

    def kill(self, node: Node) -> None:
        if node in self.nodes:
            del self.network.bus_by_id[node.node_id]
            self.nodes[self.nodes.index(node)] = self.new_node()

    @stateful.rule(index=INDEXES, key=KEYS, outcome=OUTCOMES)
    def send_one(self, index: int, key: str, outcome: str) -> None:
        self.runner.run(self.send(index, key, outcome))

    @stateful.rule(key=KEYS, outcome=OUTCOMES)
    def send_to_all_at_once(self, key: str, outcome: str) -> None:
        async def main() -> None:
            await asyncio.gather(
                *(self.send(i, key, outcome) for i in range(3))
            )

        self.runner.run(main())

    @stateful.rule(fault=strategies.sampled_from(["", "lost", "late", "down"]))
    def set_log_fault(self, fault: str) -> None:
        self.log.fault = fault

    @stateful.rule()
    def apply_late(self) -> None:
        self.log.apply_late()

    @stateful.rule(loses=strategies.booleans())
    def lose_replies(self, loses: bool) -> None:
        self.network.loses_replies = loses

    @stateful.rule(index=INDEXES)
    def flush(self, index: int) -> None:
        self.runner.run(self.nodes[index].key_claims.flush())

    @stateful.rule(index=INDEXES)
    def kill_one(self, index: int) -> None:
        self.kill(self.nodes[index])

    @stateful.rule()
    def update_host_list(self) -> None:
        self.network.listed[:] = self.network.bus_by_id

    @stateful.rule(seconds=strategies.sampled_from([1.0, 6.0, 600.0]))
    def wait(self, seconds: float) -> None:
        # The tests of KeyTable cover what happens after a key expires.
        if self.clock.now_s + seconds - self.start_s < key_table.KEY_TTL_S / 2:
            self.clock.now_s += seconds

    def teardown(self) -> None:
        self.runner.close()


def test_keys_run_at_most_once() -> None:
    stateful.run_state_machine_as_test(
        KeyMachine,
        settings=settings(max_examples=300, stateful_step_count=30),
    )


def stream_index_of(key: str) -> int:
    digest = hashlib.blake2b(f"desk\n{key}".encode(), digest_size=16)
    return key_coordinator.stream_index(digest.digest())


def test_no_claim_while_expired_entries_may_hold_the_key() -> None:
    machine = KeyMachine()
    same_stream_key = next(
        f"key-{number}"
        for number in range(10_000)
        if stream_index_of(f"key-{number}") == stream_index_of("a")
    )

    async def main() -> None:
        for key in ("a", same_stream_key):
            await machine.send(0, key, "ran")
            await machine.nodes[0].key_claims.flush()
        machine.log.first = 2
        machine.network.listed.clear()
        for node in list(machine.nodes):
            machine.kill(node)
        await machine.send(0, "a", "ran")
        assert machine.runs["a"] == 1
        machine.clock.now_s += key_table.KEY_TTL_S + 2
        machine.runs.clear()
        await machine.send(1, "a", "ran")
        assert machine.runs["a"] == 1

    machine.runner.run(main())
    machine.teardown()
