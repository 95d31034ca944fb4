"""The transit of a message is measured against the fastest one."""

from lycheegw.coordination import transit_times
from tests import fakes


def _sent(clock: fakes.ManualClock, in_transit_s: float) -> float:
    """Returns the sender's time of a message that arrives now."""
    offset_s = 5000.0
    return clock.now_s + offset_s - in_transit_s


def test_time_in_transit_beyond_the_fastest_message_is_returned() -> None:
    clock = fakes.ManualClock()
    transits = transit_times.TransitTimes(clock.environment())
    assert transits.note_message("a", _sent(clock, 0.002)) == 0.0
    clock.now_s += 4.0
    delay_s = transits.note_message("a", _sent(clock, 3.002))
    assert abs(delay_s - 3.0) < 1e-6


def test_neighbours_are_measured_apart_and_forgotten() -> None:
    clock = fakes.ManualClock()
    transits = transit_times.TransitTimes(clock.environment())
    transits.note_message("a", _sent(clock, 0.0))
    assert transits.note_message("b", _sent(clock, 2.0)) == 0.0
    transits.forget_neighbour("a")
    assert transits.note_message("a", _sent(clock, 2.0)) == 0.0


def test_a_message_without_a_time_has_no_delay() -> None:
    clock = fakes.ManualClock()
    transits = transit_times.TransitTimes(clock.environment())
    assert transits.note_message("a", 0.0) == 0.0


def test_clocks_that_drift_apart_add_no_lasting_delay() -> None:
    """A day of drift of 100 ppm, 8.6 s, is no time in transit."""
    clock = fakes.ManualClock()
    transits = transit_times.TransitTimes(clock.environment())
    started_s = clock.now_s
    delays_s = []
    for _ in range(86_400):
        clock.now_s += 1.0
        drift_s = 100e-6 * (clock.now_s - started_s)
        delays_s.append(transits.note_message("a", _sent(clock, drift_s)))
    assert max(delays_s) < 0.15
