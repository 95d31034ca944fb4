"""Counts that nodes exchange in a roll-out: cost and effect at several sizes.

Pattern: a steady load over all nodes, 200 requests a second in all, on a
version that is good or fails half of its requests, without a network.
"""

import math

import pytest

from tests import fakes
from tests import rollout_fleet

_REQUESTS_PER_S = 200
_GOSSIP_INTERVAL_S = 0.2
_NODES = (7, 76, 186, 374)
# Bytes that a node may send a second for control, from the letter on size; here
# a bound on each link in one direction.
_MAX_LINK_BYTES_PER_S = 7_000


def _serve(
    fleet: rollout_fleet.RolloutFleet, seconds: float, is_target_bad: bool
) -> list[tuple[float, bool]]:
    """Returns the time since the start and the failure of target requests."""
    served = []
    steps = round(seconds / _GOSSIP_INTERVAL_S)
    per_step = round(_REQUESTS_PER_S * _GOSSIP_INTERVAL_S)
    for step in range(steps):
        for index in range(per_step):
            number = step * per_step + index
            node = number * 7 % len(fleet.rollouts)
            version = fleet.version(node, f"s{number}", number)
            rollouts = fleet.rollouts[node]
            rollouts.note_sent(rollout_fleet.SERVICE, version)
            is_failed = version == "v2" and is_target_bad and number % 2 == 0
            if version == "v2":
                now_s = fleet.clock.now_s - fleet.begin_s
                served.append((now_s, is_failed))
            if is_failed:
                upstream = f"u{number % 5}"
                rollouts.note_failed(rollout_fleet.SERVICE, version, upstream)
            else:
                rollouts.note_answer(rollout_fleet.SERVICE, version, 0.2)
            rollouts.note_ended(rollout_fleet.SERVICE, version)
        fleet.clock.now_s += _GOSSIP_INTERVAL_S
        fleet.tick()
    return served


def _ordered_fleet(nodes: int) -> rollout_fleet.RolloutFleet:
    fleet = rollout_fleet.RolloutFleet(nodes)
    for node in range(nodes):
        fleet.order(node, "v2", 7)
    fleet.tick()
    return fleet


@pytest.mark.parametrize("nodes", _NODES)
def test_bytes_of_a_canary_phase_do_not_grow_with_the_nodes(nodes: int) -> None:
    """Each link carries a bounded number of counts a second."""
    fleet = _ordered_fleet(nodes)
    sent_before = sum(bus.bytes_sent for bus in fleet.buses)
    _serve(fleet, 6.0, False)
    sent_bytes = sum(bus.bytes_sent for bus in fleet.buses) - sent_before
    links = sum(len(bus.others) for bus in fleet.buses)
    assert sent_bytes / links / 6.0 <= _MAX_LINK_BYTES_PER_S


@pytest.mark.parametrize("nodes", _NODES)
def test_bad_version_is_rejected_by_all_nodes_in_time(nodes: int) -> None:
    """rollout_bad: within the exposure, and 5 s after the 50th bad answer."""
    fleet = _ordered_fleet(nodes)
    served = _serve(fleet, rollout_fleet.DURATION_S / 2, True)
    bad_s = [at_s for at_s, is_failed in served if is_failed]
    last_allowed_s = math.inf
    if len(bad_s) >= 50:
        last_allowed_s = bad_s[49] + fakes.BOUNDS.rollback_s
    total = _REQUESTS_PER_S * rollout_fleet.DURATION_S / 2
    allowed = fakes.BOUNDS.exposure_share * total + fakes.BOUNDS.exposure_slack
    assert served
    assert len(served) <= allowed
    assert served[-1][0] <= last_allowed_s
    assert {each.share(rollout_fleet.SERVICE) for each in fleet.rollouts} == {
        0.0
    }


@pytest.mark.parametrize("nodes", _NODES)
def test_good_version_gets_everything_and_completes(nodes: int) -> None:
    """rollout_good: all nodes know that all have moved before the end."""
    fleet = _ordered_fleet(nodes)
    _serve(fleet, rollout_fleet.DURATION_S - 1.5, False)
    rollouts = fleet.rollouts[nodes // 2]
    known = fleet.directories[nodes // 2].rollout_by_service
    assert {each.share(rollout_fleet.SERVICE) for each in fleet.rollouts} == {
        1.0
    }
    assert rollouts._decide(known[rollout_fleet.SERVICE]) is not None


@pytest.mark.parametrize("nodes", _NODES)
def test_node_that_joins_learns_the_age_of_the_order(nodes: int) -> None:
    """add_nodes: statuses that were made long ago tell the age as of now."""
    fleet = _ordered_fleet(nodes)
    _serve(fleet, 10.0, False)
    known = fleet.directories[nodes - 1]
    rollouts = fleet.rollouts[nodes - 1]
    rollouts._progress_by_service.clear()
    rollouts._status_by_key.clear()
    fleet.order(nodes - 1, "v2", 7)
    for other in fleet.rollouts[:-1]:
        other.forget_neighbour(f"n{nodes - 1}")
    fleet.tick()
    progress = rollouts._progress(
        known.rollout_by_service[rollout_fleet.SERVICE]
    )
    age_s = fleet.clock.now_s - progress.first_seen_s
    assert age_s == pytest.approx(10.0, abs=0.2)


def test_neighbour_with_an_older_status_gets_the_newer_one() -> None:
    """A late message must not mark the newer status as known there."""
    fleet = _ordered_fleet(2)
    first, second = fleet.rollouts
    older = first._status_by_key[rollout_fleet.SERVICE, "n0"]
    newer = older._replace(sequence=older.sequence + 5, share=1.0)
    second._merge_status("n2", newer)
    second._merge_status("n0", older)
    statuses = second._statuses_to_gossip.take_unsent("n0", 10)
    assert newer in statuses
