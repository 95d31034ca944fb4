"""Rates and budgets hold over all nodes without messages between them."""

import asyncio
import collections

import hypothesis
from hypothesis import strategies

from lycheegw.coordination import cold_rates
from lycheegw.coordination import retry_budgets
from lycheegw.coordination import store_rate_limiter
from lycheegw.state import edge_settings
from lycheegw.state import routing
from tests import fakes

SERVICE = routing.Service("m", "/", 100, 3.0, 8.0, None)


def _bounds() -> edge_settings.ServiceLevels:
    return fakes.BOUNDS


@hypothesis.given(
    nodes=strategies.integers(1, 90),
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
        cold_rates.ColdRates(state, _bounds, lambda: members)
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
                rate.note_sent(upstream, SERVICE)
                sent.append(clock.now_s)
        while sent and sent[0] < clock.now_s - 1:
            sent.popleft()
        assert len(sent) <= bound


def test_some_node_may_send_to_a_cold_upstream() -> None:
    clock = fakes.ManualClock()
    members = [f"n{number}" for number in range(76)]
    sent = 0
    for member in members:
        state = fakes.node(clock, member)
        upstream = fakes.add_upstream(state, "u")
        upstream.cold_until_s = clock.now_s + 9
        rates = cold_rates.ColdRates(state, _bounds, lambda: members)
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


def test_service_without_cold_starts_is_not_limited_after_ejection() -> None:
    """zone_cut: a service that was unreachable is used again at once."""
    clock = fakes.ManualClock()
    state = fakes.node(clock, "n1")
    upstream = fakes.add_upstream(state, "u")
    upstream.connect_failed_s = clock.now_s
    rates = cold_rates.ColdRates(state, _bounds, lambda: ["n1"])
    plain = SERVICE._replace(cold_s=0.0, cold_per_s=0.0)
    for _ in range(5):
        assert rates.may_send(upstream, plain)
        rates.note_sent(upstream, plain)
    rates.note_sent(upstream, SERVICE)
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
