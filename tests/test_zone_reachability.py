"""Two upstreams that time out mark their zone as unreachable for a while."""

import pytest

from lycheegw.coordination import zone_reachability
from tests import fakes


def test_zone_is_unreachable_after_two_upstreams_time_out() -> None:
    clock = fakes.ManualClock()
    reach = zone_reachability.ZoneReachability(clock.environment())
    reach.note_timeout("a", "u1")
    reach.note_timeout("a", "u1")
    assert reach.unreachable() == set()
    reach.note_timeout("a", "u2")
    assert reach.unreachable() == {"a"}
    clock.now_s += 2.1
    assert reach.unreachable() == set()


def test_any_response_makes_the_zone_reachable() -> None:
    clock = fakes.ManualClock()
    reach = zone_reachability.ZoneReachability(clock.environment())
    reach.note_timeout("a", "u1")
    reach.note_answer("a")
    reach.note_timeout("a", "u2")
    assert reach.unreachable() == set()


def test_cut_off_zone_costs_two_timeouts_rather_than_one_per_upstream() -> None:
    """Requests during a cut of 6 s, each sent to the zone while reachable."""
    clock = fakes.ManualClock()
    reach = zone_reachability.ZoneReachability(clock.environment())
    timeouts = 0
    for request in range(60):
        clock.now_s += 0.1
        if "a" not in reach.unreachable():
            timeouts += 1
            reach.note_timeout("a", f"u{request % 6}")
    assert timeouts <= 2 * 6 / 2 + 2


def test_zone_stays_cut_off_until_a_response() -> None:
    """Without further requests, no further timeout marks the zone."""
    clock = fakes.ManualClock()
    reach = zone_reachability.ZoneReachability(clock.environment())
    assert reach.cut_off({"b"}) == set()
    reach.note_timeout("b", "u1")
    reach.note_timeout("b", "u2")
    assert reach.cut_off(set()) == {"b"}
    clock.now_s += 10
    assert reach.cut_off({"b", "c"}) == {"b"}
    reach.note_answer("b")
    assert reach.cut_off({"b", "c"}) == set()


@pytest.mark.xfail(strict=True, reason="KNOWN-RED: a cut that resets")
def test_zone_whose_upstreams_refuse_connections_is_unreachable() -> None:
    """zone_cut, reset: connections are refused at once instead of timing out.

    The nodes of the zone stayed ready for a service whose upstreams were all in
    other zones, and refused its requests.
    """
    clock = fakes.ManualClock()
    reach = zone_reachability.ZoneReachability(clock.environment())
    for upstream_id in ("u1", "u2", "u3"):
        reach.note_refused("a", upstream_id)
    assert reach.unreachable() == {"a"}
    assert reach.cut_off({"a"}) == {"a"}
