"""Load balancing by prefill backlogs, with few long and many short prompts.

One request in ten has a prompt whose prefill takes fifty times as long. Load
balancing by the number of requests would queue short prompts behind long ones.
All nodes choose upstreams at the same time, each by the sums that it got last.
"""

import collections
import contextlib
import heapq
import math
import random
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lycheegw.coordination import rendezvous
from lycheegw.coordination.load import backlog_aggregator
from lycheegw.coordination.load import backlog_sums
from lycheegw.coordination.load import backlogs
from lycheegw.coordination.load import zone_costs
from lycheegw.protocol import backlog_codec
from lycheegw.protocol.pb import backlogs_pb2
from lycheegw.state import edge_settings
from tests import fakes
from tests import load_nodes

SHORT_TOKENS, LONG_TOKENS = load_nodes.SHORT_TOKENS, load_nodes.LONG_TOKENS
# Half of a prompt is shared; prefill takes longer if that half is not cached.
UNCACHED_FACTOR = 3.0
CACHE_TOKENS = 240_000
REPORT_INTERVAL_S = 0.1
LATE_AFTER_S = 0.5


class _Upstream:
    """Prefills prompts one at a time, in order of arrival."""

    def __init__(self, now_s: float) -> None:
        self.free_s = now_s
        self.tokens_by_subject: dict[tuple[int, int], int] = {}

    def prefill(self, now_s: float, subject: int, tokens: int) -> float:
        """Returns how long the prompt waits before its prefill."""
        wait_s = max(0.0, self.free_s - now_s)
        is_miss = not self._is_cached((subject, tokens), tokens // 2)
        prefill_s = load_nodes.PREFILL_S[tokens] * (
            UNCACHED_FACTOR if is_miss else 1.0
        )
        self.free_s = now_s + wait_s + prefill_s
        return wait_s

    def _is_cached(self, key: tuple[int, int], tokens: int) -> bool:
        """Caches a shared part, evicting the least recently used ones."""
        cached = self.tokens_by_subject
        was_cached = cached.pop(key, None) is not None
        cached[key] = tokens
        while sum(cached.values()) > CACHE_TOKENS:
            del cached[next(iter(cached))]
        return was_cached


class _Run:
    """A fleet that gets a random stream of requests."""

    def __init__(self, seed: int):
        self.requests_per_s = 30.0
        self.rng = random.Random(seed)
        self.clock = fakes.ManualClock()
        self.nodes = load_nodes.nodes(self.clock, 4, 6)
        ids = self.nodes[0].state.upstreams.by_id
        self.by_id = {each: _Upstream(self.clock.now_s) for each in ids}
        self.sent: collections.Counter[str] = collections.Counter()
        self.reported: collections.Counter[str] = collections.Counter()
        self._pending_heads: list[tuple[float, int, str]] = []
        self._hold_by_number: dict[int, Any] = {}
        self._reported_s = self.clock.now_s

    def _advance(self) -> None:
        self.clock.now_s += self.rng.expovariate(self.requests_per_s)
        while (
            self._pending_heads
            and self._pending_heads[0][0] <= self.clock.now_s
        ):
            _, number, host_id = heapq.heappop(self._pending_heads)
            self.sent[host_id] -= 1
            self._hold_by_number.pop(number).__exit__(None, None, None)
        for node in self.nodes:
            node.exchange_if_due()
        if self.clock.now_s - self._reported_s > REPORT_INTERVAL_S:
            self._reported_s = self.clock.now_s
            self.reported = self.sent.copy()

    def _choose(
        self, node: load_nodes.Node, number: int, tokens: int, policy: str
    ) -> tuple[str, float]:
        """Returns an upstream's id and the expected prefill time."""
        if policy == "backlog":
            if node.backlogs.is_outdated():
                node.exchange()
            choice = node.choose(number, tokens)
            return choice.upstream.entry.host_id, choice.prefill_s
        # By count: the upstream that has the prefix cached, unless it has many
        # more requests than the others.
        mean = sum(self.reported.values()) / len(self.by_id)
        order = rendezvous.order(
            f"{tokens} {number % load_nodes.SUBJECT_COUNT}", self.by_id
        )
        host_id = next(
            (each for each in order if self.reported[each] <= 1.3 * mean + 3),
            order[0],
        )
        return host_id, 0.0

    def simulate(self, policy: str) -> list[float]:
        """Returns the waits of all short prompts."""
        waits = []
        for number in range(1200):
            self._advance()
            is_long = self.rng.random() < 0.1
            tokens = LONG_TOKENS if is_long else SHORT_TOKENS
            node = self.rng.choice(self.nodes)
            host_id, prefill_s = self._choose(node, number, tokens, policy)
            hold = node.backlogs.track(host_id, prefill_s)
            hold.__enter__()
            self._hold_by_number[number] = hold
            self.sent[host_id] += 1
            upstream = self.by_id[host_id]
            wait_s = upstream.prefill(
                self.clock.now_s, number % load_nodes.SUBJECT_COUNT, tokens
            )
            heapq.heappush(
                self._pending_heads, (upstream.free_s, number, host_id)
            )
            if not is_long:
                waits.append(wait_s)
        return waits


@pytest.mark.parametrize(
    "requests_per_s",
    [
        30.0,
        38.0,
        pytest.param(
            46.0, marks=pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True)
        ),
    ],
)
def test_balancing_by_backlog_delays_fewer_short_prompts_than_by_count(
    requests_per_s: float,
) -> None:
    late = late_by_count = 0
    for seed in range(1, 13):
        run, by_count = _Run(seed), _Run(seed)
        run.requests_per_s = by_count.requests_per_s = requests_per_s
        late += sum(each > LATE_AFTER_S for each in run.simulate("backlog"))
        late_by_count += sum(
            each > LATE_AFTER_S for each in by_count.simulate("count")
        )
    assert late < late_by_count


def test_prompt_goes_to_its_cached_prefix_unless_the_wait_is_longer() -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 6)
    # The home is in another zone, so that a longer wait has to outweigh less.
    subject, home = next(
        (number, choice.upstream.entry.host_id)
        for number in range(load_nodes.SUBJECT_COUNT)
        if (choice := node.choose(number, LONG_TOKENS)).upstream.entry.zone
        == "y"
    )
    miss_penalty_s = node.times.miss_penalty_s(
        "m", "m", LONG_TOKENS, LONG_TOKENS // 2
    )
    crossing_s = zone_costs.ZoneCosts(
        "z", edge_settings.LoadSettings()
    ).crossing_s("y", 0)
    with node.backlogs.track(home, 0.9 * (miss_penalty_s - crossing_s)):
        assert node.choose(subject, LONG_TOKENS).upstream.entry.host_id == home
    with node.backlogs.track(home, miss_penalty_s - 0.5 * crossing_s):
        assert node.choose(subject, LONG_TOKENS).upstream.entry.host_id != home
    with node.backlogs.track(home, 1.5 * miss_penalty_s):
        choice = node.choose(subject, LONG_TOKENS)
        assert choice.upstream.entry.host_id != home
        assert choice.prefill_s > node.times.prefill_s("m", "m", LONG_TOKENS)


def test_backlog_of_a_lost_node_expires() -> None:
    clock = fakes.ManualClock()
    first, second = load_nodes.nodes(clock, 2, 3)

    def exchange_all() -> None:
        first.exchange()
        second.exchange()

    with first.backlogs.track("u1", 4.0):
        exchange_all()
        assert second.backlogs.wait_s("u1") == 4.0
        clock.now_s += 2.0
        exchange_all()
        clock.now_s += 2.0
        second.exchange()
        assert second.backlogs.wait_s("u1") == 4.0
        clock.now_s += 2.0
        second.exchange()
        assert second.backlogs.wait_s("u1") == 0.0


def test_sums_that_are_not_read_again_expire() -> None:
    clock = fakes.ManualClock()
    first, second = load_nodes.nodes(clock, 2, 3)
    with first.backlogs.track("u1", 4.0):
        first.exchange()
        second.exchange()
        clock.now_s += 2.9
        assert second.backlogs.wait_s("u1") == 4.0
        clock.now_s += 0.2
        assert second.backlogs.wait_s("u1") == 0.0


def test_exchanges_hold_what_changed_whatever_the_number_of_nodes() -> None:
    """Issue 52: each node got and passed on the reports of all others."""
    clock = fakes.ManualClock()
    sizes = []
    for count in (7, 76, 374):
        nodes = load_nodes.nodes(clock, count, 40)
        last = nodes[-1]
        with contextlib.ExitStack() as holds:
            for number, node in enumerate(nodes):
                hold = node.backlogs.track(f"u{number % 40}", 1.0)
                holds.enter_context(hold)
                node.exchange()
            last.exchange()
            total_s = sum(last.backlogs.wait_s(f"u{u}") for u in range(40))
            assert total_s == pytest.approx(count)
            holds.enter_context(nodes[0].backlogs.track("u3", 0.5))
            nodes[0].exchange()
            before = sum(node.bus.bytes_sent for node in nodes)
            last.exchange()
            sizes.append(sum(node.bus.bytes_sent for node in nodes) - before)
            clock.now_s += 5.0
    assert max(sizes) < 120


def test_next_node_adds_up_once_the_aggregator_does_not_reply() -> None:
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 5, 3)
    dead = next(each for each in nodes if _is_aggregator(each))
    alive = [each for each in nodes if each is not dead]
    dead.bus.is_dead = True
    with alive[0].backlogs.track("u1", 4.0):
        for _ in range(2):
            for node in alive:
                node.exchange()
        for node in alive:
            node.exchange()
            assert node.backlogs.wait_s("u1") == 4.0
    assert alive[0].state.counters.by_name["backlogs.unread"] == 1


def _is_aggregator(node: load_nodes.Node) -> bool:
    aggregators = node.backlogs._aggregators
    return aggregators.aggregator("z") == node.state.identity.node_id


def test_restarted_aggregator_sends_complete_sums() -> None:
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 3, 3)
    index = next(
        number for number, each in enumerate(nodes) if _is_aggregator(each)
    )
    first, second = (each for each in nodes if not _is_aggregator(each))
    with first.backlogs.track("u1", 4.0):
        first.exchange()
        second.exchange()
    clock.now_s += 0.2
    first.exchange()
    restarted = load_nodes.Node(clock, f"n{index}", 3, {})
    first.bus.others = [restarted.bus, second.bus]
    second.bus.others = [restarted.bus, first.bus]
    with first.backlogs.track("u2", 2.0):
        first.exchange()
        second.exchange()
        assert second.backlogs.wait_s("u1") == 0.0
        assert second.backlogs.wait_s("u2") == 2.0


def test_report_that_arrives_late_replaces_no_later_one() -> None:
    clock = fakes.ManualClock()
    (node,) = load_nodes.nodes(clock, 1, 3)
    late = backlog_aggregator.Report("n9", 5, 1, {"u1": 9000})
    latest = backlog_aggregator.Report("n9", 5, 2, {"u1": 1000})
    for report in (latest, late):
        sums = node.aggregator.answer(backlog_aggregator.Query(report, 0, 0))
        assert sums.value_by_key == {"u1": 1000}
    restarted = backlog_aggregator.Report("n9", 6, 1, {})
    sums = node.aggregator.answer(backlog_aggregator.Query(restarted, 0, 0))
    assert not sums.value_by_key


def test_work_of_an_organisation_at_all_nodes_is_known_to_each_node() -> None:
    """An organisation that sends through many nodes is one and the same."""
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 3, 3)
    with contextlib.ExitStack() as holds:
        for number, node in enumerate(nodes):
            for service, organisation in (("m", "large"), ("other", "large")):
                hold = node.backlogs.track(
                    f"u{number}", 2.0, service, organisation
                )
                holds.enter_context(hold)
            holds.enter_context(node.backlogs.track("u0", 1.0, "m", ""))
        for node in (*nodes, *nodes):
            node.exchange()
        for node in nodes:
            assert node.backlogs.organisations("m") == {"large": 6.0}
            assert node.backlogs.wait_s("u0") == 7.0
        clock.now_s += 4.0
        # A node that hears nothing goes on with its own part.
        assert nodes[0].backlogs.organisations("m") == {"large": 2.0}
    assert not nodes[0].backlogs.organisations("m")


def test_report_of_very_many_organisations_is_bounded() -> None:
    clock = fakes.ManualClock()
    first, second = load_nodes.nodes(clock, 2, 3)
    with contextlib.ExitStack() as holds:
        for number in range(1_000):
            hold = first.backlogs.track("u1", 0.01, "m", f"small{number}")
            holds.enter_context(hold)
        holds.enter_context(first.backlogs.track("u1", 5.0, "m", "large"))
        first.exchange()
        second.exchange()
    known = second.backlogs.organisations("m")
    assert known["large"] == 5.0
    assert len(known) == backlogs._MAX_ORGANISATIONS


def test_figures_of_later_builds_are_ignored() -> None:
    """A field that this build doesn't know, beside those that it knows."""
    query = backlog_aggregator.Query(
        backlog_aggregator.Report("n", 5, 1, {"u1": 9}), 0, 0
    )
    report = backlogs_pb2.Report(
        node_id="n",
        started_ms=5,
        sequence=1,
        backlogs=[backlogs_pb2.Backlog(upstream="u1", milliseconds=9)],
    )
    # Field 99, of two bytes.
    later = report.SerializeToString() + b"\x9a\x06\x02hi"
    payload = b"\x0a" + bytes([len(later)]) + later
    assert backlog_codec.CODEC.decode_query(payload) == query


class BacklogMachine(stateful.RuleBasedStateMachine):
    """Nodes that send requests, exchange sums, and are cut off at times."""

    NODES, UPSTREAMS = 3, 3

    def __init__(self) -> None:
        super().__init__()
        self.clock = fakes.ManualClock()
        self.nodes = load_nodes.nodes(self.clock, self.NODES, self.UPSTREAMS)
        self.holds: list[tuple[int, str, float, Any]] = []

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        upstream=strategies.integers(0, UPSTREAMS - 1),
        seconds=strategies.floats(0.01, 3.0),
    )
    def send(self, node: int, upstream: int, seconds: float) -> None:
        hold = self.nodes[node].backlogs.track(f"u{upstream}", seconds)
        hold.__enter__()
        self.holds.append((node, f"u{upstream}", seconds, hold))

    @stateful.precondition(lambda self: self.holds)
    @stateful.rule(data=strategies.data())
    def answer(self, data: strategies.DataObject) -> None:
        place = data.draw(strategies.integers(0, len(self.holds) - 1))
        self.holds.pop(place)[3].__exit__(None, None, None)

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        step=strategies.floats(0.0, 0.5),
    )
    def exchange(self, node: int, step: float) -> None:
        self.clock.now_s += step
        self.nodes[node].exchange()

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        is_dead=strategies.booleans(),
    )
    def cut(self, node: int, is_dead: bool) -> None:
        self.nodes[node].bus.is_dead = is_dead

    @stateful.invariant()
    def own_requests_are_in_the_backlog(self) -> None:
        for number, node in enumerate(self.nodes):
            for upstream in range(self.UPSTREAMS):
                own = sum(
                    seconds
                    for sender, host_id, seconds, _ in self.holds
                    if (sender, host_id) == (number, f"u{upstream}")
                )
                assert node.backlogs.wait_s(f"u{upstream}") >= own - 1e-6

    @stateful.rule()
    def all_agree_after_an_exchange(self) -> None:
        # Those that did not reply are asked again by then.
        self.clock.now_s += 2.5
        for node in self.nodes:
            node.bus.is_dead = False
        for node in (*self.nodes, *self.nodes):
            node.exchange()
        for upstream in range(self.UPSTREAMS):
            total = sum(
                seconds
                for _, host_id, seconds, _ in self.holds
                if host_id == f"u{upstream}"
            )
            for node in self.nodes:
                # Reports are rounded to milliseconds.
                assert abs(node.backlogs.wait_s(f"u{upstream}") - total) < 0.05


TestBacklogMachine = BacklogMachine.TestCase
TestBacklogMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.sampled_from(["u0", "u1"]),
            strategies.floats(0.1, 3.0),
            strategies.floats(0.0, 2.0),
        ),
        max_size=12,
    )
)
@hypothesis.settings(max_examples=100, deadline=None)
def test_backlog_is_the_sum_of_the_reports_that_have_not_expired(
    steps: list[tuple[int, str, float, float]],
) -> None:
    clock = fakes.ManualClock()
    nodes = load_nodes.nodes(clock, 5, 3)
    watched = nodes[4].backlogs
    own_by_node: dict[int, collections.Counter[str]] = {}
    reported_s_by_node: dict[int, float] = {}
    for index, upstream_id, seconds, wait_s in steps:
        nodes[index].backlogs._add(upstream_id, seconds)
        own = own_by_node.setdefault(index, collections.Counter())
        own[upstream_id] += seconds  # type: ignore[assignment]
        nodes[index].exchange()
        reported_s_by_node[index] = clock.now_s
        clock.now_s += wait_s
        nodes[4].exchange()
        for each in ("u0", "u1"):
            expected = sum(
                own_by_node[node][each]
                for node, reported_s in reported_s_by_node.items()
                if clock.now_s - reported_s < backlog_aggregator.EXPIRE_AFTER_S
            )
            # Reports are rounded to milliseconds.
            assert watched.wait_s(each) == pytest.approx(expected, abs=0.005)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["a", "b", "c"]),
            strategies.dictionaries(
                strategies.sampled_from(["u0", "u1", "u2"]),
                strategies.integers(0, 5000),
            ),
            strategies.booleans(),
        ),
        max_size=20,
    )
)
def test_copy_that_gets_only_changes_equals_the_sums(
    steps: list[tuple[str, dict[str, int], bool]],
) -> None:
    sums, copy = backlog_sums.BacklogSums(7), backlog_sums.SumsCopy()
    for number, (source, ms_by_upstream, is_read) in enumerate(steps):
        sums.put(source, ms_by_upstream, number + 5.0)
        sums.expire(float(number))
        if is_read:
            copy.apply(sums.since(copy.started_ms, copy.sequence), 0.0)
            complete = sums.since(0, 0)
            assert complete.is_complete
            assert copy.value_by_key == complete.value_by_key


def test_sums_of_upstreams_that_are_gone_are_dropped() -> None:
    """Each start of an upstream has another id; copies still learn of zeros."""
    sums, copy = backlog_sums.BacklogSums(7), backlog_sums.SumsCopy()
    sums.put("n1", {"u0": 900, "kept": 50}, math.inf)
    copy.apply(sums.since(0, 0), 0.0)
    for number in range(10_000):
        sums.put("n1", {f"u{number}": 900, "kept": 50}, math.inf)
    assert len(sums._change_by_key) <= backlog_sums._MAX_KEYS
    copy.apply(sums.since(copy.started_ms, copy.sequence), 0.0)
    assert copy.value_by_key == {"u9999": 900, "kept": 50}


# Guards against exchanges that end because of one estimate.
@pytest.mark.parametrize("seconds", [-1.0, 0.0, 1e7, 1e12, 1e300, math.inf])
def test_backlog_of_any_length_is_exchanged(seconds: float) -> None:
    clock = fakes.ManualClock()
    first, second, third = load_nodes.nodes(clock, 3, 3)
    for node in (first, second):
        node.backlogs._add("u1", seconds)
        node.backlogs._add("u2", 2.0)
        node.exchange()
    third.exchange()
    assert third.backlogs.wait_s("u2") == 4.0
    assert third.backlogs.wait_s("u1") >= min(max(0.0, seconds), 4e6)
