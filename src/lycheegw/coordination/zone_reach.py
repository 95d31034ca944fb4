"""Zones that can't be reached, told by the first upstreams that are silent.

When a zone is cut off, each of its upstreams would have to be found silent by
itself, at the cost of a time-out each. Two of them, with no answer from the
zone in between, speak for the others for a while.
"""

from lycheegw.state import clocks

__all__ = ["ZoneReach"]

# Upstreams of a zone that must be silent.
_LEAST_SILENT = 2
# How long their silence counts. Afterwards one request at a time finds out
# whether the zone is back, since the upstreams themselves stay out longer.
_SILENT_S = 2.0


class ZoneReach:
    """What this node knows of the ways to the zones."""

    def __init__(self, environment: clocks.Environment):
        self._environment = environment
        self._silent_s_by_upstream_by_zone: dict[str, dict[str, float]] = {}
        self._cut_off: set[str] = set()

    def note_silent(self, zone: str, upstream_id: str) -> None:
        """Takes note that an upstream of a zone did not answer."""
        silent = self._silent_s_by_upstream_by_zone.setdefault(zone, {})
        silent[upstream_id] = self._environment.monotonic_s()

    def note_answer(self, zone: str) -> None:
        """Takes note that the zone was reached."""
        self._silent_s_by_upstream_by_zone.pop(zone, None)
        self._cut_off.discard(zone)

    def unreachable(self) -> set[str]:
        """Returns the zones that are best avoided now."""
        now_s = self._environment.monotonic_s()
        return {
            zone
            for zone, silent in self._silent_s_by_upstream_by_zone.items()
            if sum(now_s - at_s < _SILENT_S for at_s in silent.values())
            >= _LEAST_SILENT
        }

    def cut_off(self, without_peers: set[str]) -> set[str]:
        """Returns the zones that were silent and gave no sign of life since.

        Args:
            without_peers: Zones of which no node is heard. Where there are
                such, a zone stays cut off without requests that find it so.
        """
        self._cut_off = self.unreachable() | (self._cut_off & without_peers)
        return self._cut_off
