"""State machine test of bills under crashes, lost answers and log outages."""

import asyncio

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from lycheegw.coordination import bill_messages
from lycheegw.coordination import bill_replicas
from lycheegw.coordination import billing
from lycheegw.protocol import bill_codec
from lycheegw.state import errors
from tests import key_fakes

MAX_ROWS = 6
INDEXES = strategies.integers(0, 2)


class Node:
    """A node with nothing but billing."""

    def __init__(self, machine: "BillMachine", node_id: str):
        state = key_fakes.state_of(node_id, machine.clock)
        bus = key_fakes.Bus(machine.network, node_id)
        codec = bill_codec.CODEC
        self.node_id = node_id
        self.counters = state.counters.by_name
        self.replicas = bill_replicas.BillReplicas(
            state, machine.log, bus, codec
        )
        self.billing = billing.Billing(state, machine.log, bus, codec, MAX_ROWS)


class BillMachine(stateful.RuleBasedStateMachine):
    """Nodes answer requests and end one at a time, with a faulty log.

    Every answered request must be in the log at the end, and no other.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock = key_fakes.Clock()
        self.log = key_fakes.Log(self.clock)
        self.network = key_fakes.Network()
        self.started_count = 0
        self.nodes = [self.new_node() for _ in range(3)]
        self.answered: set[str] = set()

    def new_node(self) -> Node:
        self.started_count += 1
        return Node(self, f"n{self.started_count}")

    async def answer_request(self, index: int, bill_id: str) -> None:
        node = self.nodes[index]
        try:
            node.billing.check_capacity()
        except errors.RefusalError:
            assert node.billing.unlogged_count >= MAX_ROWS
            return
        bill = bill_messages.Bill(bill_id, bill_id, "desk", "k", "m@v", 1, 0.5)
        await node.billing.add(bill)
        assert not node.counters["billing.single_copy"]
        self.answered.add(bill_id)

    @stateful.rule(index=INDEXES, number=strategies.integers(0, 30))
    def answer_one(self, index: int, number: int) -> None:
        self.runner.run(self.answer_request(index, f"b{number}"))

    @stateful.rule(index=INDEXES)
    def answer_many_at_once(self, index: int) -> None:
        async def main() -> None:
            await asyncio.gather(
                *(
                    self.answer_request(index, f"c{self.started_count}-{i}")
                    for i in range(4)
                )
            )

        self.runner.run(main())

    @stateful.rule(fault=strategies.sampled_from(["", "lost", "down"]))
    def set_log_fault(self, fault: str) -> None:
        self.log.fault = fault

    @stateful.rule(index=INDEXES)
    def flush(self, index: int) -> None:
        self.runner.run(self.nodes[index].billing.flush())

    @stateful.rule(index=INDEXES)
    def end_two_nodes_in_an_outage(self, index: int) -> None:
        """Ends two nodes in a row while the log is down.

        Bills then survive only if a replica holder copied them to a third.
        """
        self.log.fault = "down"
        self.answer_one(index, 40 + index)
        for step in range(2):
            self.replace((index + step) % 3, False)

    @stateful.rule(index=INDEXES, is_graceful=strategies.booleans())
    def replace(self, index: int, is_graceful: bool) -> None:
        """Ends and replaces a node, then leaves time to copy its bills."""
        node = self.nodes[index]
        if is_graceful:
            self.runner.run(node.billing.stop())
            self.runner.run(node.replicas.stop())
        node.billing.cancel()
        del self.network.bus_by_id[node.node_id]
        self.network.listed.remove(node.node_id)
        self.nodes[index] = self.new_node()
        self.copy_bills_of_ended_nodes()

    def copy_bills_of_ended_nodes(self) -> None:
        """Sends heartbeats, then lets the silence timeout of replicas pass."""

        async def main() -> None:
            for node in self.nodes:
                await node.billing.heartbeat()
            self.clock.now_s += 13.0
            for node in self.nodes:
                await node.billing.heartbeat()
            for node in self.nodes:
                await node.replicas.check_senders()

        self.runner.run(main())

    def teardown(self) -> None:
        self.log.fault = ""
        self.log.apply_late()
        for _ in range(2):
            self.copy_bills_of_ended_nodes()
        billed = [
            row[0]
            for entry in self.log.entries_by_stream.get("billing", [])
            for row in entry.data["bills"]
        ]
        self.runner.close()
        assert set(billed) == self.answered


def test_each_answered_request_is_billed() -> None:
    stateful.run_state_machine_as_test(
        BillMachine,
        settings=settings(max_examples=100, stateful_step_count=30),
    )
