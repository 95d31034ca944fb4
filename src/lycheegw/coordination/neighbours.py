"""Chooses the neighbours to which a node opens streams for gossip.

In its own zone a node links to the next node and to two more distant ones on a
ring. Including the links that others open it has six, and gossip reaches 93
nodes in at most five hops. A few nodes of each zone link to every other zone.
"""

from collections.abc import Mapping
from collections.abc import Sequence

from lycheegw.coordination import rendezvous

__all__ = ["choose"]

# Up to this number of nodes in a zone, each links to all others.
_MAX_FULL_MESH_NODES = 7
_GATEWAYS_PER_ZONE = 4


def _choose_in_own_zone(
    own_id: str, zone: str, ids: Sequence[str]
) -> list[str]:
    """Returns the nodes of the own zone to which to open streams."""
    ring = rendezvous.order(zone, ids)
    count = len(ring)
    own_index = ring.index(own_id)
    if count <= _MAX_FULL_MESH_NODES:
        ring_distances = set(range(1, count // 2 + 1))
    else:
        ring_distances = {1, round(count ** (1 / 3)), round(count ** (2 / 3))}
    return [
        ring[(own_index + distance) % count]
        for distance in sorted(ring_distances)
    ]


def _choose_in_other_zone(
    own_id: str,
    zone: str,
    own_zone_ids: Sequence[str],
    other_zone_ids: Sequence[str],
) -> list[str]:
    """Returns the node of another zone to which to open a stream, if any."""
    gateways = rendezvous.order(f"to {zone}", own_zone_ids)[:_GATEWAYS_PER_ZONE]
    if own_id not in gateways or not other_zone_ids:
        return []
    targets = rendezvous.order(f"in {zone}", other_zone_ids)[
        :_GATEWAYS_PER_ZONE
    ]
    return [targets[gateways.index(own_id) % len(targets)]]


def choose(
    own_id: str, own_zone: str, ids_by_zone: Mapping[str, Sequence[str]]
) -> list[str]:
    """Returns the ids of the nodes to which to open streams.

    Args:
        own_id: This node.
        own_zone: Its availability zone.
        ids_by_zone: Ids of the live nodes of each zone, this one included.
    """
    own_zone_ids = ids_by_zone[own_zone]
    chosen = _choose_in_own_zone(own_id, own_zone, own_zone_ids)
    for zone, other_zone_ids in sorted(ids_by_zone.items()):
        if zone != own_zone:
            chosen += _choose_in_other_zone(
                own_id, zone, own_zone_ids, other_zone_ids
            )
    return [each for each in dict.fromkeys(chosen) if each != own_id]
