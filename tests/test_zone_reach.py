"""zone_cut: two silent upstreams speak for their zone, for a while."""

from lycheegw.coordination import zone_reach
from tests import fakes


def test_zone_is_avoided_after_two_silent_upstreams() -> None:
    clock = fakes.Clock()
    reach = zone_reach.ZoneReach(clock.environment())
    reach.note_silent("a", "u1")
    reach.note_silent("a", "u1")
    assert reach.unreachable() == set()
    reach.note_silent("a", "u2")
    assert reach.unreachable() == {"a"}
    clock.now_s += 2.1
    assert reach.unreachable() == set()


def test_any_answer_takes_the_zone_back() -> None:
    clock = fakes.Clock()
    reach = zone_reach.ZoneReach(clock.environment())
    reach.note_silent("a", "u1")
    reach.note_answer("a")
    reach.note_silent("a", "u2")
    assert reach.unreachable() == set()


def test_cut_zone_costs_two_time_outs_not_one_an_upstream() -> None:
    """Requests over a cut of 6 s, each first sent where it belongs."""
    clock = fakes.Clock()
    reach = zone_reach.ZoneReach(clock.environment())
    time_outs = 0
    for request in range(60):
        clock.now_s += 0.1
        if "a" not in reach.unreachable():
            time_outs += 1
            reach.note_silent("a", f"u{request % 6}")
    assert time_outs <= 2 * 6 / 2 + 2


def test_zone_stays_cut_off_until_a_sign_of_life() -> None:
    """Without requests nothing finds a zone silent anew."""
    clock = fakes.Clock()
    reach = zone_reach.ZoneReach(clock.environment())
    assert reach.cut_off({"b"}) == set()
    reach.note_silent("b", "u1")
    reach.note_silent("b", "u2")
    assert reach.cut_off(set()) == {"b"}
    clock.now_s += 10
    assert reach.cut_off({"b", "c"}) == {"b"}
    reach.note_answer("b")
    assert reach.cut_off({"b", "c"}) == set()
