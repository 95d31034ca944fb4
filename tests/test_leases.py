"""A lease never has two holders, despite pauses and lost or late answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lycheegw.coordination import interfaces
from lycheegw.coordination import leases
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import limits
from lycheegw.state import node_state

TERM_S = 10.0
NODE_COUNT = 3


class SimulatedLog:
    """Simulated time and a log whose answers are late or lost.

    Attributes:
        request_delay_s: Time from an append's call until it takes effect.
        answer_delay_s: Time from an append's effect until its answer.
        on_append: Called once, while the next append is in flight.
    """

    def __init__(self) -> None:
        self.now_s = 100.0
        self.entries: list[interfaces.AppendedEntry] = []
        self.first = 0
        self.request_delay_s = 0.0
        self.answer_delay_s = 0.0
        self.is_down = False
        self.loses_answer = False
        self.on_append: Callable[[], Awaitable[None]] | None = None

    async def _run_on_append(self) -> None:
        """Calls `on_append`, without delays, while an append is in flight."""
        on_append, self.on_append = self.on_append, None
        if on_append is not None:
            request_delay_s, answer_delay_s = (
                self.request_delay_s,
                self.answer_delay_s,
            )
            self.request_delay_s = self.answer_delay_s = 0.0
            await on_append()
            self.request_delay_s, self.answer_delay_s = (
                request_delay_s,
                answer_delay_s,
            )

    async def append(
        self, stream: str, entries: Sequence[interfaces.NewEntry]
    ) -> int:
        if self.is_down:
            raise errors.LogUnavailableError("down", False)
        self.now_s += self.request_delay_s
        if self.request_delay_s:
            await self._run_on_append()
        offset = self.first + len(self.entries)
        for index, each in enumerate(entries):
            self.entries.append(
                interfaces.AppendedEntry(
                    offset + index, self.now_s, each.entry_id, each.data
                )
            )
        await self._run_on_append()
        self.now_s += self.answer_delay_s
        if self.loses_answer:
            raise errors.LogUnavailableError("lost")
        return offset

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> interfaces.LogPage:
        if self.is_down:
            raise errors.LogUnavailableError("down", False)
        begin = max(0, start - self.first)
        page = self.entries[begin : begin + limit]
        end = self.first + len(self.entries)
        return interfaces.LogPage(self.first, end, page)

    def node(self, name: str) -> leases.Leases:
        generator = random.Random(name)
        environment = clocks.Environment(
            lambda: self.now_s,
            lambda: self.now_s,
            generator,
            lambda: f"{name}-{generator.getrandbits(60)}",
        )
        state = node_state.create(
            node_state.Identity(name, "z", "r"), limits.Limits(), environment
        )
        return leases.Leases(state, self)


def run_or_none(work):
    try:
        return asyncio.run(work)
    except errors.LogUnavailableError:
        return None


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Nodes acquire and renew one lease, pause, restart and lose answers."""

    def __init__(self) -> None:
        super().__init__()
        self.log = SimulatedLog()
        self.nodes = [self.log.node(f"n{i}") for i in range(NODE_COUNT)]
        self.held: list[leases.Lease | None] = [None] * NODE_COUNT
        self.fencings: list[int] = []
        self.restarts = 0

    @stateful.initialize()
    def wait_for_a_term(self) -> None:
        for node in self.nodes:
            run_or_none(node.acquire("m"))
        self.log.now_s += 2 * TERM_S

    @stateful.rule(node=strategies.integers(0, NODE_COUNT - 1))
    def acquire(self, node: int) -> None:
        self.record_acquired(node, run_or_none(self.nodes[node].acquire("m")))

    @stateful.rule(
        node=strategies.integers(0, NODE_COUNT - 1),
        other=strategies.integers(0, NODE_COUNT - 1),
    )
    def acquire_while_another_appends(self, node: int, other: int) -> None:
        async def on_append() -> None:
            with contextlib.suppress(errors.LogUnavailableError):
                self.record_acquired(
                    other, await self.nodes[other].acquire("m")
                )

        if node != other:
            self.log.on_append = on_append
            if self.held[node] is None:
                self.acquire(node)
            else:
                self.renew(node)

    def record_acquired(self, node: int, acquired: leases.Lease | None) -> None:
        if acquired is not None:
            assert acquired.fencing not in self.fencings
            self.fencings.append(acquired.fencing)
            self.held[node] = acquired

    @stateful.rule(node=strategies.integers(0, NODE_COUNT - 1))
    def renew(self, node: int) -> None:
        lease = self.held[node]
        if lease is not None:
            self.held[node] = run_or_none(self.nodes[node].renew(lease))

    @stateful.rule(seconds=strategies.sampled_from([0.5, 4.0, 9.5, 11.5, 30]))
    def wait(self, seconds: float) -> None:
        self.log.now_s += seconds

    @stateful.rule(
        request_delay_s=strategies.sampled_from([0.0, 3.0, 7.5, 12.0]),
        answer_delay_s=strategies.sampled_from([0.0, 3.0, 7.5, 12.0]),
        loses_answer=strategies.booleans(),
        is_down=strategies.sampled_from([False] * 5 + [True]),
    )
    def change_log(
        self,
        request_delay_s: float,
        answer_delay_s: float,
        loses_answer: bool,
        is_down: bool,
    ) -> None:
        self.log.request_delay_s = request_delay_s
        self.log.answer_delay_s = answer_delay_s
        self.log.loses_answer = loses_answer
        self.log.is_down = is_down

    @stateful.rule()
    def expire(self) -> None:
        oldest_s = self.log.now_s - 3 * TERM_S
        while self.log.entries and self.log.entries[0].at_s < oldest_s:
            self.log.entries.pop(0)
            self.log.first += 1

    @stateful.rule(node=strategies.integers(0, NODE_COUNT - 1))
    def restart(self, node: int) -> None:
        self.restarts += 1
        self.nodes[node] = self.log.node(f"n{node}-{self.restarts}")
        self.held[node] = None

    @stateful.invariant()
    def has_at_most_one_holder(self) -> None:
        holders = [
            lease
            for node, lease in zip(self.nodes, self.held, strict=True)
            if lease is not None and node.is_held(lease)
        ]
        assert len(holders) <= 1


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50, deadline=None
)


def two_nodes() -> tuple[SimulatedLog, leases.Leases, leases.Leases]:
    """Returns a log and two nodes that have read it for longer than a term."""
    log = SimulatedLog()
    nodes = log.node("n1"), log.node("n2")
    for node in nodes:
        assert run_or_none(node.acquire("m")) is None
    log.now_s += 2 * TERM_S
    return log, *nodes


def acquire_during_append(
    log: SimulatedLog, node: leases.Leases
) -> list[leases.Lease | None]:
    """Lets a node acquire the lease while the next append is in flight."""
    acquired: list[leases.Lease | None] = []

    async def on_append() -> None:
        acquired.append(await node.acquire("m"))

    log.on_append = on_append
    return acquired


def test_late_answer_doesnt_lengthen_the_lease() -> None:
    log, first, second = two_nodes()
    acquire_during_append(log, second)
    log.answer_delay_s = 1.2 * TERM_S
    lease = run_or_none(first.acquire("m"))
    assert lease is not None and not first.is_held(lease)
    log.answer_delay_s = 0.0
    assert run_or_none(second.acquire("m")) is not None


def test_late_acquisition_loses_to_an_earlier_one() -> None:
    log, first, second = two_nodes()
    acquired = acquire_during_append(log, second)
    log.request_delay_s = 3.0
    assert run_or_none(first.acquire("m")) is None
    assert acquired[0] is not None and second.is_held(acquired[0])


def test_late_renewal_loses_to_an_earlier_acquisition() -> None:
    log, first, second = two_nodes()
    lease = run_or_none(first.acquire("m"))
    assert lease is not None
    run_or_none(second.acquire("m"))
    log.now_s += 5
    acquired = acquire_during_append(log, second)
    log.request_delay_s = 7.0
    assert run_or_none(first.renew(lease)) is None
    assert acquired[0] is not None and second.is_held(acquired[0])


def test_concurrent_acquisitions_have_one_winner() -> None:
    """Both nodes see the lease as free; the order of the log decides."""
    log, first, second = two_nodes()

    async def main() -> None:
        await second._read()
        lease = await first.acquire("m")
        assert lease is not None and first.is_held(lease)
        assert await second._append("m") != second._fencing("m")
        log.now_s += 8
        renewed = await first.renew(lease)
        assert renewed is not None and renewed.fencing == lease.fencing
        # The first term is over by now, but the renewal extends it.
        log.now_s += 4
        assert await second._append("m") != second._fencing("m")

    asyncio.run(main())


def test_lease_of_a_paused_holder_lapses_before_the_next_one() -> None:
    log, first, second = two_nodes()
    lease = run_or_none(first.acquire("m"))
    assert lease is not None
    run_or_none(second.acquire("m"))
    log.now_s += 1.2 * TERM_S
    assert not first.is_held(lease)
    acquired = run_or_none(second.acquire("m"))
    assert acquired is not None and acquired.fencing > lease.fencing
    assert run_or_none(first.renew(lease)) is None


def test_lease_is_acquired_and_renewed_when_answers_are_lost() -> None:
    log = SimulatedLog()
    node = log.node("n1")
    assert run_or_none(node.acquire("m")) is None
    log.now_s += 2 * TERM_S
    log.loses_answer = True
    lease = run_or_none(node.acquire("m"))
    assert lease is not None
    log.now_s += 5
    renewed = run_or_none(node.renew(lease))
    assert renewed is not None
    assert renewed.until_s > lease.until_s
