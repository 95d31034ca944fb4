"""Selects the upstream of an attempt at a model or service call.

Zones, versions and reachability decide which upstreams are candidates; among
these, the load decides.
"""

from collections.abc import Callable
from collections.abc import Collection

from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["Selector", "candidates", "power_of_two_choices", "split_by_zone"]

Selector = Callable[[list[upstreams.Upstream]], upstreams.Upstream]


def candidates(
    state: node_state.NodeState,
    pool: str,
    version: str | None,
    excluded: Collection[str],
) -> list[upstreams.Upstream]:
    """Returns the upstreams that may get new work, in any zone.

    Upstreams that are leaving, that don't serve the version or whose zone is
    disabled are never included. Upstreams that were recently unreachable, or
    that have left the host list, are included only if there are no others.
    """
    allowed = [
        upstream
        for upstream in state.upstreams.accepting_in_pool(pool)
        if state.catalog.is_zone_serving(upstream.entry.zone)
        and upstream.serves(version)
        and upstream.entry.host_id not in excluded
    ]
    now_s = state.environment.monotonic_s()
    reachable = [each for each in allowed if not each.is_excluded(now_s)]
    listed = [each for each in reachable if each.is_listed]
    return listed or reachable or allowed


def split_by_zone(
    state: node_state.NodeState, options: list[upstreams.Upstream]
) -> tuple[list[upstreams.Upstream], list[upstreams.Upstream]]:
    """Returns the upstreams in this node's zone and those in other zones."""
    zone = state.identity.zone
    local = [each for each in options if each.entry.zone == zone]
    remote = [each for each in options if each.entry.zone != zone]
    return local, remote


def power_of_two_choices(state: node_state.NodeState) -> Selector:
    """Returns a function that picks the less loaded of two random upstreams."""

    def choose(options: list[upstreams.Upstream]) -> upstreams.Upstream:
        pair = state.environment.random.sample(options, min(2, len(options)))
        return min(pair, key=lambda upstream: upstream.load)

    return choose
