"""The choice of neighbours: few links, few hops, links to each zone."""

from lycheegw.coordination import neighbours


def _links(ids_by_zone: dict[str, list[str]]) -> dict[str, set[str]]:
    """Returns the nodes to which each node has a link, in any direction."""
    links_by_id: dict[str, set[str]] = {
        each: set() for ids in ids_by_zone.values() for each in ids
    }
    for zone, ids in ids_by_zone.items():
        for own_id in ids:
            for other in neighbours.choose(own_id, zone, ids_by_zone):
                links_by_id[own_id].add(other)
                links_by_id[other].add(own_id)
    return links_by_id


def _hops(links_by_id: dict[str, set[str]], start: str) -> dict[str, int]:
    """Returns the number of hops from `start` to each reachable node."""
    hops_by_id = {start: 0}
    queue = [start]
    for each in queue:
        for other in links_by_id[each] - set(hops_by_id):
            hops_by_id[other] = hops_by_id[each] + 1
            queue.append(other)
    return hops_by_id


def test_few_links_reach_a_whole_zone_in_few_hops() -> None:
    bounds = {2: 1, 3: 1, 8: 2, 20: 3, 93: 5, 120: 6}
    for count, max_hops in bounds.items():
        ids = [f"node-{index}" for index in range(count)]
        links_by_id = _links({"z1": ids})
        assert max(len(others) for others in links_by_id.values()) <= 6
        hops_by_id = _hops(links_by_id, ids[0])
        assert len(hops_by_id) == count
        assert max(hops_by_id.values()) <= max_hops


def test_zones_stay_linked_after_the_loss_of_all_gateways() -> None:
    ids_by_zone = {
        zone: [f"{zone}-{index}" for index in range(93)] for zone in "abcdefgh"
    }
    links_by_id = _links(ids_by_zone)
    gateways = {
        each for each in ids_by_zone["a"] if links_by_id[each] & {*_ids_of("b")}
    }
    assert len(gateways) >= 4
    remaining_ids = [each for each in ids_by_zone["a"] if each not in gateways]
    links_by_id = _links(ids_by_zone | {"a": remaining_ids})
    assert len(_hops(links_by_id, remaining_ids[0])) == 8 * 93 - len(gateways)


def _ids_of(zone: str) -> list[str]:
    return [f"{zone}-{index}" for index in range(93)]
