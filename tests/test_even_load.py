"""Many nodes that choose at the same moment by figures that are a little old.

The patterns: a herd of nodes with one old figure, a slow upstream among equals,
figures that are too old, and requests without a model at few upstreams.
"""

import collections
import itertools

import pytest

from lycheegw.coordination.load import selection
from lycheegw.state import routing
from lycheegw.state import upstreams
from tests import fakes
from tests import load_nodes

_APPLICATION = routing.Service("m", "/", 100, 0.0, 0.0, None)
_NODES, _UPSTREAMS = 40, 10


def _old_news(clock: fakes.ManualClock, age_s: float) -> list[load_nodes.Node]:
    """Returns nodes that all know one figure of the age: u0 has least to do."""
    nodes = load_nodes.nodes(clock, _NODES, _UPSTREAMS)
    for number in range(_UPSTREAMS):
        # The work of a node that says no more.
        nodes[0].backlogs._add(f"u{number}", 2.0 + 0.02 * number)
    for node in (*nodes, *nodes):
        node.exchange()
    clock.now_s += age_s
    return nodes


# Guards against a herd: each node takes the upstream that had least to do.
def test_nodes_with_one_old_figure_spread() -> None:
    nodes = _old_news(fakes.ManualClock(), 0.3)
    counts: collections.Counter[str] = collections.Counter()
    for number, node in enumerate(nodes[1:]):
        choice = node.choose(number, load_nodes.SHORT_TOKENS)
        counts[choice.upstream.entry.host_id] += 1
    assert max(counts.values()) <= 3 * (_NODES - 1) / _UPSTREAMS
    assert len(counts) >= _UPSTREAMS / 2


# Guards against spreading that reads shared parts again everywhere.
def test_prefix_stays_where_it_is_cached_for_all_nodes() -> None:
    nodes = _old_news(fakes.ManualClock(), 0.1)
    for subject in range(load_nodes.SUBJECT_COUNT):
        homes = {
            node.choose(subject, load_nodes.LONG_TOKENS).upstream.entry.host_id
            for node in nodes[1:]
        }
        assert len(homes) == 1


# Guards against an upstream that idles since it is a little slower.
def test_slow_upstream_among_equals_is_home_to_fewer_prefixes() -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 4)
    for host_id, upstream in node.state.upstreams.by_id.items():
        for _ in range(60):
            ratio = 2.4 if host_id == "u0" else 1.0
            node.speeds.note(upstream, 1.0, ratio)
    clock.now_s += 1.0
    options = list(node.state.upstreams.by_id.values())
    counts: collections.Counter[str] = collections.Counter()
    for number in range(2_000):
        work = load_nodes.work(f"s{number}", load_nodes.LONG_TOKENS)
        first = node.balancer.affinity_order(work, "m", options)[0]
        counts[first.entry.host_id] += 1
    others = [count for host_id, count in counts.items() if host_id != "u0"]
    assert 0.25 <= counts["u0"] / min(others) <= 0.75
    assert max(others) <= 1.25 * min(others)


# Guards against a home that is left as soon as it tells its load, for others
# of which nothing is known.
def test_upstream_that_is_heard_of_is_no_busier_than_the_others() -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 6)
    home = node.choose(1, load_nodes.SHORT_TOKENS).upstream
    home.record_load(
        upstreams.LoadReport(frozenset(), 40, 5, 0.0, 0, clock.now_s)
    )
    for age_s in (0.0, 0.5, 5.0):
        clock.now_s += age_s
        choice = node.choose(1, load_nodes.SHORT_TOKENS)
        assert choice.upstream is home


# Guards against work on a slow upstream that counts twice as a wait there.
def test_wait_at_a_slow_upstream_is_as_long_as_its_work_takes() -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 1)
    (upstream,) = node.state.upstreams.by_id.values()
    upstream.record_load(
        upstreams.LoadReport(frozenset(), 0, 0, 0.0, 0, clock.now_s, 2.0)
    )
    choice = node.choose(1, load_nodes.LONG_TOKENS)
    assert choice.prefill_s == pytest.approx(2 * choice.work_s)
    with node.backlogs.track("u0", choice.work_s):
        behind = node.choose(2, load_nodes.LONG_TOKENS)
    assert behind.wait_s == pytest.approx(choice.prefill_s)


# Guards against choices by the figures of a lost aggregator.
def test_node_goes_on_with_its_own_requests_once_figures_are_too_old() -> None:
    nodes = _old_news(fakes.ManualClock(), 3.1)
    node = nodes[1]
    choice = node.choose(1, load_nodes.LONG_TOKENS)
    assert choice.wait_s == 0.0
    with node.backlogs.track(choice.upstream.entry.host_id, 60.0):
        other = node.choose(1, load_nodes.LONG_TOKENS)
    assert other.upstream is not choice.upstream


@pytest.mark.parametrize(
    ("costs_s", "age_s", "rank"),
    [
        ([1.0, 1.0, 1.0], 0.0, 0),
        ([1.3, 1.2, 1.0], 0.0, 2),
        ([1.15, 1.08, 1.0], 0.1, 1),
        ([1.15, 1.08, 1.0], 9.0, 0),
        # The bound on the age: a long queue is never as good.
        ([9.0, 1.0, 1.0], 60.0, 1),
    ],
)
def test_costs_within_the_age_of_the_figures_are_equal(
    costs_s: list[float], age_s: float, rank: int
) -> None:
    misses_s = [0.0] * len(costs_s)
    assert selection.first_as_good(costs_s, misses_s, age_s) == rank


# Guards against application calls that queue at one of a few upstreams, since
# each node knows few of the requests there.
def test_application_requests_of_all_nodes_count() -> None:
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 12, 4)
    for node in nodes:
        node.times.note_first_byte("m", None, 0, 0.03)
    chosen: collections.Counter[str] = collections.Counter()
    for number, node in zip(range(48), itertools.cycle(nodes)):
        choice = node.choose(number, 0, _APPLICATION)
        host_id = choice.upstream.entry.host_id
        node.backlogs.track(host_id, choice.work_s).__enter__()
        choice.upstream.note_sent()
        chosen[host_id] += 1
        node.exchange()
    assert max(chosen.values()) <= 1.25 * 48 / 4


# Guards against application calls to an upstream that takes thrice as long.
def test_slow_application_upstream_gets_fewer_requests() -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 3)
    for upstream in node.state.upstreams.by_id.values():
        for _ in range(30):
            ratio = 3.0 if upstream.entry.host_id == "u1" else 1.0
            node.speeds.note(upstream, 1.0, ratio)
    clock.now_s += 1.0
    counts: collections.Counter[str] = collections.Counter()
    for number in range(60):
        choice = node.choose(number, 0, _APPLICATION)
        choice.upstream.note_sent()
        counts[choice.upstream.entry.host_id] += 1
    assert 0 < counts["u1"] < 0.6 * counts["u0"]
