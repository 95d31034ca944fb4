"""Estimates how long messages from peers were in transit.

The clocks of two machines differ by an unknown offset, so a single message
tells nothing. The message with the smallest difference between the receiver's
and the sender's clock was the fastest; any larger difference is the additional
time that a message spent in buffers, on the network, or in a process that was
slow or suspended.
"""

from lycheegw.state import clocks

__all__ = ["TransitTimes"]


class TransitTimes:
    """The fastest transit of messages from each neighbour."""

    def __init__(self, environment: clocks.Environment):
        self._environment = environment
        self._least_difference_s_by_neighbour: dict[str, float] = {}

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets a neighbour, whose clock may have restarted."""
        self._least_difference_s_by_neighbour.pop(neighbour, None)

    def note_message(self, neighbour: str, sent_s: float) -> float:
        """Returns the seconds by which a message was slower than the fastest.

        Args:
            neighbour: Id of the sender.
            sent_s: Second of the sender's monotonic clock at which it encoded
                the message, 0 if unknown.
        """
        if not sent_s:
            return 0.0
        difference_s = self._environment.monotonic_s() - sent_s
        least_s = min(
            difference_s,
            self._least_difference_s_by_neighbour.get(neighbour, difference_s),
        )
        self._least_difference_s_by_neighbour[neighbour] = least_s
        return difference_s - least_s
