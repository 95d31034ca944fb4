"""Chooses the neighbours to which a node opens streams for gossip.

In its own zone a node links to the next node and to two more distant ones on a
ring. Including the links that others open it has six, and gossip reaches 93
nodes in at most five hops. A few nodes of each zone link to every other zone.
Of these links one in each direction passes gossip on at once, since all of it
crosses each of them; the others do so at intervals.
"""

from collections.abc import Mapping
from collections.abc import Sequence

from lycheegw.coordination import rendezvous

__all__ = ["choose", "slow_neighbours"]

# Up to this number of nodes in a zone, each links to all others.
_MAX_FULL_MESH_NODES = 7
_GATEWAYS_PER_ZONE = 4
# Gateways of a zone that pass gossip on at once, and the seconds between two
# updates of the one that backs them up and of the others. Those only have to
# notice if a zone is lost: a gateway that fails is replaced sooner.
_PROMPT_GATEWAYS = 1
_BACKUP_INTERVAL_S = 2.0
_SPARE_INTERVAL_S = 10.0


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
    links = _links_to(zone, own_zone_ids, other_zone_ids)
    return [target for gateway, target in links if gateway == own_id]


def _links_to(
    zone: str, own_zone_ids: Sequence[str], other_zone_ids: Sequence[str]
) -> list[tuple[str, str]]:
    """Returns the links that a zone's gateways open, in their order."""
    gateways = rendezvous.order(f"to {zone}", own_zone_ids)[:_GATEWAYS_PER_ZONE]
    targets = rendezvous.order(f"in {zone}", other_zone_ids)[
        :_GATEWAYS_PER_ZONE
    ]
    if not targets:
        return []
    return [
        (gateway, targets[rank % len(targets)])
        for rank, gateway in enumerate(gateways)
    ]


def slow_neighbours(
    own_id: str, own_zone: str, ids_by_zone: Mapping[str, Sequence[str]]
) -> dict[str, float]:
    """Returns the seconds between updates to nodes of other zones.

    Nodes that get updates at once are left out. The arguments are those of
    `choose`.
    """
    interval_s_by_id: dict[str, float] = {}
    own_ids = ids_by_zone[own_zone]
    for zone, ids in ids_by_zone.items():
        if zone == own_zone:
            continue
        directions = (
            _links_to(zone, own_ids, ids),
            _links_to(own_zone, ids, own_ids),
        )
        prompt = _prompt_count(*directions)
        for links in directions:
            for rank, link in enumerate(links):
                if own_id in link:
                    other = link[own_id == link[0]]
                    interval_s_by_id[other] = min(
                        _interval_s(rank, prompt),
                        interval_s_by_id.get(other, _SPARE_INTERVAL_S),
                    )
    return {
        other: interval_s
        for other, interval_s in interval_s_by_id.items()
        if interval_s
    }


def _prompt_count(
    links: Sequence[tuple[str, str]], others: Sequence[tuple[str, str]]
) -> int:
    """Returns how many links of each direction pass updates on at once.

    One more does where the first ones of both directions share a node, so that
    no single node stops all of them.
    """
    first = {*links[:1], *others[:1]}
    ends = [node for link in first for node in link]
    has_shared_end = len(set(ends)) < len(ends)
    return _PROMPT_GATEWAYS + has_shared_end


def _interval_s(rank: int, prompt: int) -> float:
    """Returns the seconds between updates on a link, by its rank."""
    if rank < prompt:
        return 0.0
    return _BACKUP_INTERVAL_S if rank == prompt else _SPARE_INTERVAL_S


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
