"""Chooses the neighbours to which a node opens streams for gossip.

In its own zone a node links to the next node and to two more distant ones on a
ring. Including the links that others open it has six, and gossip reaches 93
nodes in at most five hops. A few links join each pair of zones, of which two
pass gossip on at once; all of it crosses each of them.
"""

from collections.abc import Mapping
from collections.abc import Sequence

from lycheegw.coordination import rendezvous

__all__ = ["choose", "slow_neighbours"]

# Up to this number of nodes in a zone, each links to all others.
_MAX_FULL_MESH_NODES = 7
# Links between two zones, and those of them that pass gossip on at once. The
# others pass it on at intervals, in case that both of these fail.
_LINKS_PER_ZONE_PAIR = 4
_PROMPT_LINKS_PER_ZONE_PAIR = 2


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


def _links_between(
    zone: str, other_zone: str, ids_by_zone: Mapping[str, Sequence[str]]
) -> list[tuple[str, str]]:
    """Returns the ends of the links between two zones, the prompt ones first.

    Either end opens its links: the others may not know a node that is new.
    """
    first, second = sorted((zone, other_zone))
    nodes = rendezvous.order(f"to {second}", ids_by_zone[first])
    others = rendezvous.order(f"to {first}", ids_by_zone[second])
    if not nodes or not others:
        return []
    count = min(_LINKS_PER_ZONE_PAIR, max(len(nodes), len(others)))
    return [
        (nodes[rank % len(nodes)], others[rank % len(others)])
        for rank in range(count)
    ]


def slow_neighbours(
    own_id: str, own_zone: str, ids_by_zone: Mapping[str, Sequence[str]]
) -> set[str]:
    """Returns the nodes of other zones that get gossip at intervals only.

    The arguments are those of `choose`.
    """
    found = set()
    for zone in ids_by_zone:
        if zone != own_zone:
            links = _links_between(own_zone, zone, ids_by_zone)
            for link in links[_PROMPT_LINKS_PER_ZONE_PAIR:]:
                if own_id in link:
                    found |= set(link) - {own_id}
    return found


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
    for zone in sorted(ids_by_zone):
        if zone != own_zone:
            for link in _links_between(own_zone, zone, ids_by_zone):
                if own_id in link:
                    chosen += link
    return [each for each in dict.fromkeys(chosen) if each != own_id]
