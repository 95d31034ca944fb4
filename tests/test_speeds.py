"""Upstreams of one service that aren't equally fast.

The patterns: one upstream among equals takes twice as long, a machine that is
slow for a moment says so, and the node that adds up what all learn is lost.
"""

import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from lycheegw.state import upstreams
from tests import fakes
from tests import load_nodes


def _learn(nodes: list[load_nodes.Node], slow: str, rounds: int) -> None:
    """Lets each node get responses of all upstreams, one takes twice as long.

    Times vary by half, and the second half of the nodes gets few responses.
    """
    generator = random.Random(1)
    for number in range(rounds):
        for node in nodes[: len(nodes) // 2] if number % 24 else nodes:
            for host_id, upstream in node.state.upstreams.by_id.items():
                usual_s = 0.03 * generator.uniform(0.75, 1.25)
                factor = 2.0 if host_id == slow else 1.0
                node.speeds.note_work(upstream, "m", "small", factor * usual_s)


def _exchange(clock: fakes.ManualClock, nodes: list[load_nodes.Node]) -> None:
    """Lets nodes exchange for as long as samples take to all of them."""
    for _ in range(4):
        clock.now_s += 1.1
        for node in nodes:
            node.exchange()


def _factor(node: load_nodes.Node, host_id: str) -> float:
    return node.speeds.factor(node.state.upstreams.by_id[host_id])


# Guards against a slow upstream that each node has to learn by itself.
def test_slow_upstream_among_equals_is_known_to_nodes_that_did_not_use_it() -> (
    None
):
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 4, 6)
    _learn(nodes, "u1", 240)
    _exchange(clock, nodes)
    for node in nodes:
        factors = {each: _factor(node, each) for each in ("u0", "u1", "u5")}
        assert factors["u1"] > 1.5
        assert factors["u0"] == pytest.approx(0.85, abs=0.15)
        assert factors["u5"] == pytest.approx(0.85, abs=0.15)


# Guards against an upstream that gets no request, and so no sample, ever again.
def test_upstream_without_samples_counts_as_fast_as_the_fastest() -> None:
    (node,) = load_nodes.nodes(fakes.ManualClock(), 1, 4)
    for _ in range(40):
        for host_id, factor in (("u0", 0.7), ("u1", 0.9), ("u2", 1.5)):
            upstream = node.state.upstreams.by_id[host_id]
            node.speeds.note(upstream, 1.0, factor)
    assert _factor(node, "u3") == _factor(node, "u0") < _factor(node, "u1")


# Guards against samples that count once for each report or each zone.
def test_samples_count_once_however_often_they_are_reported() -> None:
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 3, 4)
    upstream = nodes[0].state.upstreams.by_id["u1"]
    for _ in range(4):
        nodes[0].speeds.note(upstream, 1.0, 2.0)
    _exchange(clock, nodes)
    before = _factor(nodes[2], "u1")
    for _ in range(2):
        _exchange(clock, nodes)
    # Samples decay; they don't add up.
    assert 1.0 < _factor(nodes[2], "u1") <= before


# Guards against an upstream that is avoided for what was true long ago.
def test_machine_that_was_slow_for_a_moment_is_soon_like_the_others() -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 3)
    upstream = node.state.upstreams.by_id["u1"]
    upstream.record_load(
        upstreams.LoadReport(frozenset(), 1, 0, 0.0, 0, clock.now_s, 2.5)
    )
    assert node.speeds.factor(upstream) == pytest.approx(2.5)
    clock.now_s += 0.6
    assert 1.0 < node.speeds.factor(upstream) < 1.5
    clock.now_s += 3.0
    assert node.speeds.factor(upstream) == pytest.approx(1.0, abs=0.01)


# Guards against a noisy guess where the upstream says it itself.
def test_what_an_upstream_reports_goes_before_the_pace_of_its_streams() -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 3)
    first, second, third = node.state.upstreams.by_id.values()
    for _ in range(20):
        for upstream, slowness in ((first, 0.7), (second, 0.7), (third, 1.7)):
            upstream.record_load(
                upstreams.LoadReport(
                    frozenset(), 1, 0, 0.0, 0, clock.now_s, slowness
                )
            )
            node.speeds.note(upstream, 1.0, slowness)
            node.speeds.note_work(upstream, "m", None, 5.0 - slowness)
        clock.now_s += 0.5
    clock.now_s += 5.0
    ratio = node.speeds.factor(third) / node.speeds.factor(first)
    assert ratio == pytest.approx(1.7 / 0.7, rel=0.4)


def test_speeds_are_known_without_an_aggregator() -> None:
    """The aggregator is lost: own samples go on to count, and come back."""
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 2, 3)
    _learn(nodes, "u1", 240)
    _exchange(clock, nodes)
    for node in nodes:
        node.bus.others = []
    clock.now_s += 4.0
    assert _factor(nodes[0], "u1") > 1.3
    # A node with few responses of its own knows little by itself.
    assert 1.0 < _factor(nodes[1], "u1") < _factor(nodes[0], "u1")


def test_samples_of_a_lost_node_expire() -> None:
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 2, 3)
    _learn(nodes, "u1", 240)
    _exchange(clock, nodes)
    for _ in range(14):
        clock.now_s += 1.0
        nodes[1].exchange()
    assert _factor(nodes[1], "u1") < 1.2


@pytest.mark.parametrize(
    ("expected_s", "actual_s"),
    [(0.0, 1.0), (1.0, 0.0), (1.0, -1.0), (1.0, math.inf), (math.nan, 1.0)],
)
def test_times_that_can_not_be_are_counted_and_change_nothing(
    expected_s: float, actual_s: float
) -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 2)
    upstream = node.state.upstreams.by_id["u1"]
    node.speeds.note(upstream, expected_s, actual_s)
    assert not node.speeds.own_figures()
    assert node.state.counters.by_name["speeds.unusable_samples"] == 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3), strategies.floats(1e-6, 1e6)
        ),
        max_size=30,
    )
)
def test_factors_are_bounded_whatever_responses_take(
    samples: list[tuple[int, float]],
) -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 4)
    for number, ratio in samples:
        upstream = node.state.upstreams.by_id[f"u{number}"]
        node.speeds.note(upstream, 1.0, ratio)
    for upstream in node.state.upstreams.by_id.values():
        assert 0.25 <= node.speeds.factor(upstream) <= 4.0


# Guards against exchanges that hold all speeds, since samples decay.
def test_speeds_are_told_every_two_seconds_only() -> None:
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 4, 40)
    _learn(nodes, "u1", 12)
    _exchange(clock, nodes)
    sizes = []
    for _ in range(40):
        clock.now_s += 0.1
        before = sum(node.bus.bytes_sent for node in nodes)
        for node in nodes:
            node.exchange()
        sizes.append(sum(node.bus.bytes_sent for node in nodes) - before)
    # A report and a reply of each node have no speeds, as a rule.
    assert sum(size < 4 * 120 for size in sizes) >= 30
