"""Sessions that visit several nodes while a roll-out begins, without a network.

Pattern: traffic in sessions of a few requests, each at any node, the next one
within `session_s` of the end of the one before or while it still runs.
"""

import heapq
import itertools
import random
from typing import NamedTuple

import pytest

from tests import fakes
from tests import rollout_fleet

# Time from the start of a simulation to the order.
_ORDER_S = 8.0
_GOSSIP_INTERVAL_S = 0.1
_TICK_S = 0.1


class _Run(NamedTuple):
    """A request of a session.

    Attributes:
        session: Its session.
        node: Node that served it.
        version: Version that it was sent to.
        begin_s: Seconds since the start at which it was sent.
        end_s: Seconds since the start at which it ended.
    """

    session: str
    node: int
    version: str
    begin_s: float
    end_s: float


def _play(
    nodes: int,
    sessions_per_s: float,
    lag_s: float,
    until_s: float,
    seed: int = 1,
) -> list[_Run]:
    """Returns the requests of a day with one roll-out.

    Args:
        nodes: Number of nodes.
        sessions_per_s: Sessions that begin each second.
        lag_s: Greatest time after which a node learns of the order.
        until_s: Seconds to play.
        seed: Seed of the traffic.
    """
    fleet = rollout_fleet.RolloutFleet(nodes)
    generator = random.Random(seed)
    numbers = itertools.count()
    # Time, tie-breaker, kind and what it is about.
    queue: list[tuple[float, int, str, tuple]] = []

    def push(at_s: float, kind: str, *details: object) -> None:
        heapq.heappush(queue, (at_s, next(numbers), kind, details))

    for node in range(nodes):
        push(_ORDER_S + generator.uniform(0, lag_s), "order", node)
    push(_ORDER_S, "tick")
    at_s = 0.0
    while at_s < until_s:
        at_s += generator.expovariate(sessions_per_s)
        push(at_s, "send", f"s{next(numbers)}", generator.choice((1, 2, 2, 4)))
    runs = []
    while queue:
        at_s, number, kind, details = heapq.heappop(queue)
        if at_s > until_s:
            break
        fleet.clock.now_s = fleet.begin_s + at_s
        if kind == "order":
            fleet.order(*details, "v2", 7)
        elif kind == "tick":
            fleet.tick()
            push(at_s + _TICK_S, "tick")
        elif kind == "end":
            node, version, session = details
            fleet.rollouts[node].note_ended(
                rollout_fleet.SERVICE, version, session
            )
        else:
            session, left = details
            node = generator.randrange(nodes)
            version = fleet.version(node, session, number)
            fleet.rollouts[node].note_sent(
                rollout_fleet.SERVICE, version, session
            )
            fleet.rollouts[node].note_answer(
                rollout_fleet.SERVICE, version, 0.2
            )
            end_s = at_s + generator.uniform(0.5, 3.0)
            push(end_s, "end", node, version, session)
            runs.append(_Run(session, node, version, at_s, end_s))
            if left > 1:
                gap_s = generator.uniform(-0.5, 0.9 * fakes.BOUNDS.session_s)
                next_s = max(at_s + 1.0, end_s + gap_s)
                push(next_s, "send", session, left - 1)
    return runs


def _moves(runs: list[_Run]) -> list[tuple[_Run, _Run]]:
    """Returns the requests that changed their session's version wrongly.

    To the new version is wrong in the first half of the roll-out, back to the
    old one always.
    """
    by_session: dict[str, list[_Run]] = {}
    for run in runs:
        by_session.setdefault(run.session, []).append(run)
    half_s = _ORDER_S + rollout_fleet.DURATION_S / 2
    return [
        (before, run)
        for session_runs in by_session.values()
        for before, run in itertools.pairwise(session_runs)
        if run.version != before.version
        and (run.version == "v1" or run.begin_s < half_s)
    ]


@pytest.mark.parametrize(
    ("nodes", "sessions_per_s"), [(3, 20.0), (72, 90.0), (186, 90.0)]
)
def test_sessions_under_way_keep_the_old_version_as_a_canary_begins(
    nodes: int, sessions_per_s: float
) -> None:
    """rollout_good: the order comes while sessions go from node to node."""
    runs = _play(
        nodes, sessions_per_s, 0.4, _ORDER_S + rollout_fleet.DURATION_S / 2
    )
    canaries = [run for run in runs if run.version == "v2"]
    assert not _moves(runs)
    assert len(canaries) >= 12


@pytest.mark.parametrize("nodes", [3, 72])
def test_session_served_by_a_fallback_keeps_the_old_version(nodes: int) -> None:
    """The target has no upstream yet, so the old version gets a canary."""
    fleet = rollout_fleet.RolloutFleet(nodes)
    for node in range(nodes):
        fleet.order(node, "v2", 7)
    fleet.tick()
    fleet.clock.now_s += 4.0
    sessions = [f"s{number}" for number in range(300)]
    canaries = [each for each in sessions if fleet.version(0, each, 0) == "v2"]
    assert canaries
    for session in canaries:
        fleet.rollouts[0].note_sent(rollout_fleet.SERVICE, "v1", session)
    for _ in range(10):
        fleet.clock.now_s += _GOSSIP_INTERVAL_S
        fleet.tick()
    assert all(
        fleet.version(node, each, 0) == "v1"
        for each in canaries
        for node in range(nodes)
    )


def test_node_that_joins_learns_which_sessions_are_held() -> None:
    """add_nodes, roll_term: a node without a memory gets the holds at once."""
    fleet = rollout_fleet.RolloutFleet(3)
    sessions = [f"s{number}" for number in range(300)]
    for session in sessions:
        fleet.rollouts[0].note_sent(rollout_fleet.SERVICE, "v1", session)
    for node in range(2):
        fleet.order(node, "v2", 7)
    for _ in range(50):
        fleet.clock.now_s += _GOSSIP_INTERVAL_S
        fleet.tick()
    fleet.order(2, "v2", 7)
    for rollouts in fleet.rollouts[:2]:
        rollouts.forget_neighbour("n2")
    fleet.tick()
    assert {fleet.version(2, each, 0) for each in sessions} == {"v1"}


def test_sessions_on_the_first_target_are_held_as_a_second_order_comes() -> (
    None
):
    """Two roll-outs in a row: the latest version in use counts as the old."""
    fleet = rollout_fleet.RolloutFleet(3)
    for node in range(3):
        fleet.order(node, "v2", 7)
    sessions = [f"s{number}" for number in range(300)]
    for session in sessions:
        fleet.rollouts[1].note_sent(rollout_fleet.SERVICE, "v2", session)
    for node in range(3):
        fleet.order(node, "v3", 9)
    for _ in range(40):
        fleet.clock.now_s += _GOSSIP_INTERVAL_S
        fleet.tick()
    assert not any(
        fleet.rollouts[node].wants_target(
            rollout_fleet.SERVICE, "r", None, each
        )
        for each in sessions
        for node in range(3)
    )
    assert any(
        fleet.rollouts[0].wants_target(
            rollout_fleet.SERVICE, "r", None, f"t{number}"
        )
        for number in range(300)
    )


def test_held_sessions_are_sent_once_on_each_link() -> None:
    """Cost grows with the holds that are new, not with those known."""
    fleet = rollout_fleet.RolloutFleet(2)
    for node in range(2):
        fleet.order(node, "v2", 7)
    for number in range(2000):
        fleet.rollouts[0].note_sent(rollout_fleet.SERVICE, "v1", f"s{number}")
    fleet.tick()
    fleet.tick()
    sent_bytes = fleet.buses[0].bytes_sent
    fleet.tick()
    assert fleet.buses[0].bytes_sent == sent_bytes
    # A tenth of 2,000 sessions at four bytes, and the counts.
    assert sent_bytes < 2_000
