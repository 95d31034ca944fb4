"""Estimates how long messages from peers were in transit.

The clocks of two machines differ by an unknown offset, so a single message
tells nothing. The message with the smallest difference between the receiver's
and the sender's clock was the fastest; any larger difference is the additional
time that a message spent in buffers, on the network, or in a process that was
slow or suspended.
"""

from typing import NamedTuple

from lycheegw.state import clocks

__all__ = ["TransitTimes"]

# Messages are compared with the fastest one of this time at least, and of twice
# this time at most, since clocks drift apart: by 60 ms in it at 100 ppm.
_WINDOW_S = 600.0


class _Window(NamedTuple):
    """The least differences of two clocks in this window and the one before."""

    begun_s: float
    least_s: float
    former_least_s: float


class TransitTimes:
    """The fastest transit of messages from each neighbour."""

    def __init__(self, environment: clocks.Environment):
        self._environment = environment
        self._window_by_neighbour: dict[str, _Window] = {}

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets a neighbour, whose clock may have restarted."""
        self._window_by_neighbour.pop(neighbour, None)

    def note_message(self, neighbour: str, sent_s: float) -> float:
        """Returns the seconds by which a message was slower than the fastest.

        Args:
            neighbour: Id of the sender.
            sent_s: Second of the sender's monotonic clock at which it encoded
                the message, 0 if unknown.
        """
        if not sent_s:
            return 0.0
        now_s = self._environment.monotonic_s()
        difference_s = now_s - sent_s
        window = self._window_by_neighbour.get(neighbour)
        if window is None:
            window = _Window(now_s, difference_s, difference_s)
        elif now_s - window.begun_s > _WINDOW_S:
            window = _Window(now_s, difference_s, window.least_s)
        window = window._replace(least_s=min(window.least_s, difference_s))
        self._window_by_neighbour[neighbour] = window
        return difference_s - min(window.least_s, window.former_least_s)
