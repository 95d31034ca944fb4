"""Detects unreachable zones by the timeouts of their upstreams.

When a zone is cut off, requests would time out once on each of its upstreams.
Instead, timeouts of two upstreams with no response from the zone in between
mark the whole zone as unreachable for a short time.
"""

from lycheegw.state import clocks

__all__ = ["ZoneReachability"]

# Upstreams that must have timed out for a zone to count as unreachable.
_MIN_TIMED_OUT_UPSTREAMS = 2
# How long a timeout counts. Afterwards one request at a time probes whether the
# zone is back, since the upstreams themselves are avoided for longer.
_TIMEOUT_TTL_S = 2.0


class ZoneReachability:
    """Tracks which zones this node can't reach."""

    def __init__(self, environment: clocks.Environment):
        self._environment = environment
        self._timeout_s_by_upstream_by_zone: dict[str, dict[str, float]] = {}
        self._cut_off: set[str] = set()

    def note_timeout(self, zone: str, upstream_id: str) -> None:
        """Records a timeout of an upstream in a zone."""
        timeouts = self._timeout_s_by_upstream_by_zone.setdefault(zone, {})
        timeouts[upstream_id] = self._environment.monotonic_s()

    def note_answer(self, zone: str) -> None:
        """Records a response from a zone."""
        self._timeout_s_by_upstream_by_zone.pop(zone, None)
        self._cut_off.discard(zone)

    def unreachable(self) -> set[str]:
        """Returns the zones in which several upstreams just timed out."""
        now_s = self._environment.monotonic_s()
        return {
            zone
            for zone, timeouts in self._timeout_s_by_upstream_by_zone.items()
            if sum(now_s - at_s < _TIMEOUT_TTL_S for at_s in timeouts.values())
            >= _MIN_TIMED_OUT_UPSTREAMS
        }

    def cut_off(self, without_peers: set[str]) -> set[str]:
        """Returns the zones that became unreachable and have not recovered.

        Args:
            without_peers: Zones in which no peer is reachable. Such a zone
                stays cut off even if no further request times out there.
        """
        self._cut_off = self.unreachable() | (self._cut_off & without_peers)
        return self._cut_off
