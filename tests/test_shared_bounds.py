"""Rates and budgets hold over all nodes without messages between them."""

import asyncio
import bisect
import collections
import random

import hypothesis
from hypothesis import strategies

from lycheegw.coordination import retry_budgets
from lycheegw.coordination import shared_rates
from lycheegw.coordination import store_rate_limiter
from lycheegw.state import edge_settings
from lycheegw.state import routing
from tests import fakes

SERVICE = routing.Service("m", "/", 100, 3.0, 8.0, None)


def _bounds() -> edge_settings.ServiceLevels:
    return fakes.BOUNDS


_NODES = strategies.one_of(
    strategies.integers(1, 90), strategies.sampled_from([7, 76, 186, 374])
)


@hypothesis.given(
    nodes=_NODES,
    steps=strategies.lists(strategies.floats(0.0, 0.4), max_size=80),
)
def test_cold_upstream_gets_at_most_its_bound_in_any_second(
    nodes: int, steps: list[float]
) -> None:
    """cold_return, zone_loss: every node sends as soon as it may."""
    clock = fakes.ManualClock()
    members = [f"n{number}" for number in range(nodes)]
    states = [fakes.node(clock, member) for member in members]
    rates = [
        shared_rates.SharedRates(
            state, _bounds, lambda: members, lambda _: None, lambda _: False
        )
        for state in states
    ]
    upstreams = [fakes.add_upstream(state, "u") for state in states]
    for upstream in upstreams:
        upstream.cold_until_s = clock.now_s + 60
    sent: collections.deque[float] = collections.deque()
    bound = (
        SERVICE.cold_per_s * fakes.BOUNDS.cold_overage + fakes.BOUNDS.cold_slack
    )
    for step in steps:
        clock.now_s += step
        for rate, upstream in zip(rates, upstreams, strict=True):
            if rate.may_send(upstream, SERVICE):
                rate.note_sent(upstream)
                sent.append(clock.now_s)
        while sent and sent[0] < clock.now_s - 1:
            sent.popleft()
        assert len(sent) <= bound


LIMIT_WINDOW_S = 4.0


class _Fleet:
    """Nodes whose lists of members differ, and an upstream they share.

    The first `settled` nodes in the order of registration know each other; a
    list may lack any of the later ones, which know that they are new.
    """

    def __init__(self, generator: random.Random, nodes: int, settled: int):
        self.clock = fakes.ManualClock()
        self.limit_per_s: float | None = None
        self.is_brittle = False
        self.sent_s: list[float] = []
        self._upstream_and_rates = []
        ids = [f"n{number}" for number in range(nodes)]
        for number, node_id in enumerate(ids):
            state = fakes.node(self.clock, node_id)
            known = generator.randint(settled, nodes)
            members = ids[:known] if number < settled else None
            rates = shared_rates.SharedRates(
                state,
                _bounds,
                lambda members=members: members,  # type: ignore[misc]
                lambda _: self.limit_per_s,
                lambda _: self.is_brittle,
            )
            self._upstream_and_rates.append(
                (fakes.add_upstream(state, "u"), rates)
            )

    def set_cold(self) -> None:
        for upstream, _ in self._upstream_and_rates:
            upstream.cold_until_s = self.clock.now_s + 1e6

    def send_all(self) -> None:
        """Lets every node send as much as it may."""
        for upstream, rates in self._upstream_and_rates:
            for _ in range(50):
                if not rates.may_send(upstream, SERVICE):
                    break
                rates.note_sent(upstream)
                self.sent_s.append(self.clock.now_s)


def _most_in_window(times_s: list[float], window_s: float) -> int:
    """Returns the most times within any window of that length."""
    ordered = sorted(times_s)
    return max(
        (
            bisect.bisect_left(ordered, start_s + window_s) - index
            for index, start_s in enumerate(ordered)
        ),
        default=0,
    )


@hypothesis.given(
    nodes=_NODES,
    settled_share=strategies.floats(0.0, 1.0),
    limit_per_s=strategies.one_of(
        strategies.just(0.0),
        strategies.floats(0.001, 3.0),
        strategies.floats(3.0, 200.0),
    ),
    steps=strategies.lists(strategies.floats(0.0, 1.5), max_size=40),
    generator=strategies.randoms(use_true_random=False),
)
def test_announced_limit_holds_over_all_nodes_if_member_lists_differ(
    nodes: int,
    settled_share: float,
    limit_per_s: float,
    steps: list[float],
    generator: random.Random,
) -> None:
    """However small the limit is, and whichever nodes joined or know less."""
    fleet = _Fleet(generator, nodes, int(settled_share * nodes))
    fleet.limit_per_s = limit_per_s
    for step in [0.0, *steps]:
        fleet.clock.now_s += step
        fleet.send_all()
    # Requests arrive up to a second later, in another order.
    arrived_s = [each + generator.random() for each in fleet.sent_s]
    allowed = 1.5 * LIMIT_WINDOW_S * limit_per_s + 5
    assert _most_in_window(arrived_s, LIMIT_WINDOW_S) <= allowed
    if limit_per_s == 0:
        assert not fleet.sent_s


@hypothesis.given(
    nodes=_NODES,
    settled_share=strategies.floats(0.0, 1.0),
    steps=strategies.lists(strategies.floats(0.0, 0.4), max_size=60),
    generator=strategies.randoms(use_true_random=False),
)
def test_cold_bound_holds_over_all_nodes_if_member_lists_differ(
    nodes: int,
    settled_share: float,
    steps: list[float],
    generator: random.Random,
) -> None:
    """A node without a list took itself for the only sender before."""
    fleet = _Fleet(generator, nodes, int(settled_share * nodes))
    fleet.set_cold()
    for step in [0.0, *steps]:
        fleet.clock.now_s += step
        fleet.send_all()
    bound = (
        SERVICE.cold_per_s * fakes.BOUNDS.cold_overage + fakes.BOUNDS.cold_slack
    )
    assert _most_in_window(fleet.sent_s, 1.0) <= bound


@hypothesis.given(
    nodes=_NODES,
    settled_share=strategies.floats(0.0, 1.0),
    slots=strategies.integers(1, 100),
    generator=strategies.randoms(use_true_random=False),
)
def test_brittle_upstream_gets_no_more_than_its_slots_from_all_nodes(
    nodes: int,
    settled_share: float,
    slots: int,
    generator: random.Random,
) -> None:
    """Every node sends all that it may, and none of it ends."""
    fleet = _Fleet(generator, nodes, int(settled_share * nodes))
    fleet.is_brittle = True
    running = 0
    for upstream, rates in fleet._upstream_and_rates:
        upstream.entry = upstream.entry._replace(slots=slots)
        while rates.may_send(upstream, SERVICE):
            upstream.in_flight += 1
            running += 1
    assert running <= slots


def test_announced_limit_is_used_by_some_node_and_ends_with_it() -> None:
    fleet = _Fleet(random.Random(1), 76, 76)
    fleet.limit_per_s = 1.1
    for _ in range(100):
        fleet.clock.now_s += 0.5
        fleet.send_all()
    # 50 s at 1.1 a second, and one request of each of six senders at the start.
    assert 0.9 * 55 <= len(fleet.sent_s) <= 55 + 6
    fleet.limit_per_s = None
    fleet.send_all()
    assert len(fleet.sent_s) >= 76 * 50


def test_some_node_may_send_to_a_cold_upstream() -> None:
    clock = fakes.ManualClock()
    members = [f"n{number}" for number in range(76)]
    sent = 0
    for member in members:
        state = fakes.node(clock, member)
        upstream = fakes.add_upstream(state, "u")
        upstream.cold_until_s = clock.now_s + 9
        rates = shared_rates.SharedRates(
            state, _bounds, lambda: members, lambda _: None, lambda _: False
        )
        sent += rates.may_send(upstream, SERVICE)
    assert 1 <= sent <= 17


@hypothesis.given(
    loads=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 60), strategies.integers(0, 9)
        ),
        min_size=1,
        max_size=9,
    )
)
def test_extra_attempts_of_all_nodes_stay_within_the_retry_budget(
    loads: list[tuple[int, int]],
) -> None:
    """answer_lost, srv_grey: every request makes all attempts it may."""
    clock = fakes.ManualClock()
    count = len(loads)
    extras = 0
    for number, (requests, wanted) in enumerate(loads):
        budget = retry_budgets.RetryBudgets(
            fakes.node(clock, f"n{number}"), _bounds, lambda: count
        )
        for _ in range(requests):
            budget.note_request("m")
            for _ in range(wanted):
                if budget.allows_attempt("m"):
                    budget.note_extra_attempt("m")
                    extras += 1
    total = sum(requests for requests, _ in loads)
    assert extras <= fakes.BOUNDS.retry_ratio * total + fakes.BOUNDS.retry_slack


def test_node_without_a_part_in_the_slack_keeps_to_the_ratio() -> None:
    """add_nodes, platform_down: it joined, or does not know the other nodes."""
    clock = fakes.ManualClock()
    budget = retry_budgets.RetryBudgets(
        fakes.node(clock, "n1"), _bounds, lambda: None
    )
    extras = 0
    for _ in range(20):
        budget.note_request("m")
        while budget.allows_attempt("m"):
            budget.note_extra_attempt("m")
            extras += 1
    assert 0 < extras <= fakes.BOUNDS.retry_ratio * 20


def test_service_without_cold_starts_is_not_limited_after_ejection() -> None:
    """zone_cut: a service that was unreachable is used again at once."""
    clock = fakes.ManualClock()
    state = fakes.node(clock, "n1")
    upstream = fakes.add_upstream(state, "u")
    upstream.connect_failed_s = clock.now_s
    rates = shared_rates.SharedRates(
        state, _bounds, lambda: ["n1"], lambda _: None, lambda _: False
    )
    plain = SERVICE._replace(cold_s=0.0, cold_per_s=0.0)
    for _ in range(5):
        assert rates.may_send(upstream, plain)
        rates.note_sent(upstream)
    rates.note_sent(upstream)
    assert not rates.may_send(upstream, SERVICE)


@hypothesis.given(
    nodes=strategies.integers(1, 76),
    steps=strategies.lists(strategies.floats(0.0, 0.5), max_size=25),
)
def test_store_calls_of_all_nodes_stay_within_the_rate_limit(
    nodes: int, steps: list[float]
) -> None:
    """platform_down, herd_kill: every node calls as often as it may."""
    writes_per_s = 400.0
    clock = fakes.ManualClock()
    waits: list[float] = []

    async def sleep(seconds: float) -> None:
        waits.append(seconds)

    state = fakes.node(clock, "n")
    state = state._replace(environment=state.environment._replace(sleep=sleep))
    rates = [
        store_rate_limiter.StoreRateLimiter(
            state, 2000.0, writes_per_s, lambda: nodes
        )
        for _ in range(nodes)
    ]
    sent: list[float] = []

    async def call_all() -> None:
        for rate in rates:
            waits.clear()
            waited_s = await rate.wait(True)
            assert waited_s == sum(waits)
            sent.append(clock.now_s + waited_s)

    for step in [0.0, *steps]:
        clock.now_s += step
        for _ in range(4):
            asyncio.run(call_all())
    sent.sort()
    window: collections.deque[float] = collections.deque()
    for at_s in sent:
        window.append(at_s)
        while window[0] <= at_s - 1.0:
            window.popleft()
        assert len(window) <= writes_per_s


def test_store_call_after_a_pause_does_not_wait() -> None:
    clock = fakes.ManualClock()
    rates = store_rate_limiter.StoreRateLimiter(
        fakes.node(clock, "n"), 2000.0, 400.0, lambda: 370
    )
    assert asyncio.run(rates.wait(False)) == 0.0
    clock.now_s += 1.0
    assert asyncio.run(rates.wait(False)) == 0.0
