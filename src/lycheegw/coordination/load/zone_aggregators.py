"""Chooses the node that adds up the reports of a zone's nodes.

It is the first live node of the zone by rendezvous hashing. One that doesn't
reply is passed over for a while.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math

from lycheegw.coordination import rendezvous
from lycheegw.state import node_state

__all__ = ["ZoneAggregators"]

# Nodes of a zone that are tried, one after the other. A node that reaches none
# of them is probably cut off itself.
_MAX_CANDIDATES = 3
# Time for which a node that didn't reply is passed over, in seconds.
_AVOID_S = 2.0


class ZoneAggregators:
    """The aggregator of each zone, as this node sees it."""

    def __init__(
        self,
        state: node_state.NodeState,
        live_by_zone: Callable[[], Mapping[str, Sequence[str]]],
    ):
        self._state = state
        self._live_by_zone = live_by_zone
        self._avoid_until_s_by_id: dict[str, float] = {}
        # The live nodes from which the candidates were chosen.
        self._live: Mapping[str, Sequence[str]] = {}
        self._candidates_by_zone: dict[str, Sequence[str]] = {}

    def zones(self) -> Sequence[str]:
        """Returns the zones that have live nodes."""
        return sorted(self._live_by_zone())

    def node_count(self, zone: str) -> int:
        """Returns the number of live nodes of a zone."""
        return len(self._live_by_zone().get(zone, ()))

    def aggregator(self, zone: str) -> str | None:
        """Returns the id of a zone's aggregator, None if none is known."""
        live = self._live_by_zone()
        if live is not self._live:
            self._live = live
            self._candidates_by_zone.clear()
        if zone not in self._candidates_by_zone:
            order = rendezvous.order(f"aggregator {zone}", live.get(zone, ()))
            self._candidates_by_zone[zone] = order[:_MAX_CANDIDATES]
        now_s = self._state.environment.monotonic_s()
        for node_id in self._candidates_by_zone[zone]:
            if self._avoid_until_s_by_id.get(node_id, -math.inf) <= now_s:
                return node_id
        return None

    def note_no_reply(self, node_id: str) -> None:
        """Passes over a node that didn't reply, for a while."""
        now_s = self._state.environment.monotonic_s()
        self._avoid_until_s_by_id = {
            each: until_s
            for each, until_s in self._avoid_until_s_by_id.items()
            if until_s > now_s
        }
        self._avoid_until_s_by_id[node_id] = now_s + _AVOID_S
