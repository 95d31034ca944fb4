"""Counts the bytes that a node exchanges with other zones, by purpose.

A link between two nodes is counted by each end for what it sends, so the sum
over all nodes has every byte once.
"""

import collections

__all__ = ["ZoneTraffic"]


class ZoneTraffic:
    """Bytes between this node's zone and others since the process started.

    Attributes:
        bytes_by_purpose: Bytes by purpose, such as "request" or
            "delta.topics". Purposes are named in the code, and are few.
    """

    def __init__(self, own_zone: str):
        self.bytes_by_purpose: collections.Counter[str] = collections.Counter()
        self._own_zone = own_zone
        self._taken: collections.Counter[str] = collections.Counter()

    def is_crossing(self, zone: str) -> bool:
        """Returns whether bytes to or from a zone are counted."""
        return zone != self._own_zone

    def add(self, zone: str, purpose: str, size: int) -> None:
        """Counts bytes to or from a zone, unless it is the node's own."""
        if zone != self._own_zone:
            self.bytes_by_purpose[purpose] += size

    def take_increase(self) -> dict[str, int]:
        """Returns the bytes by purpose since the last call."""
        increase = self.bytes_by_purpose - self._taken
        self._taken = self.bytes_by_purpose.copy()
        return dict(increase)
