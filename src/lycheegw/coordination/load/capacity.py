"""Computes the concurrency limit of each pool at a node from load reports."""

from collections.abc import Callable
from collections.abc import Sequence

from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["CapacityEstimator"]

_REFRESH_INTERVAL_S = 0.25
_HEADROOM_SHARE = 1.1
_HEADROOM_REQUESTS = 2.0
# Growth of an estimate with each report of an upstream that runs at least the
# share below of it without a queue.
_GROWTH_FACTOR = 1.05
_NEARLY_FULL_SHARE = 0.9


def _add_headroom(capacity: float) -> float:
    """Allows for a short queue, as nodes balance load by outdated reports."""
    return max(_HEADROOM_SHARE * capacity, capacity + _HEADROOM_REQUESTS)


class CapacityEstimator:
    """Estimates how many requests each upstream can run at once.

    An upstream that reports queued requests runs as many as it can; the
    estimate of one that is nearly full without a queue is raised.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        live_nodes: Callable[[str | None], Sequence[str]],
    ):
        self._state = state
        self._live_nodes = live_nodes
        self._capacity_by_id: dict[str, float] = {}
        self._last_report_s_by_id: dict[str, float] = {}
        self._limit_by_pool: dict[str, tuple[float, int]] = {}

    def limit(self, pool: str) -> int:
        """Returns this node's part of the capacity of the pool's upstreams."""
        now_s = self._state.environment.monotonic_s()
        at_s, limit = self._limit_by_pool.get(pool, (-_REFRESH_INTERVAL_S, 0))
        if now_s - at_s >= _REFRESH_INTERVAL_S:
            limit = self._compute_limit(pool)
            self._limit_by_pool[pool] = (now_s, limit)
        return limit

    def _compute_limit(self, pool: str) -> int:
        """Returns this node's part of its zone's capacity.

        If the zone has no upstreams or isn't serving, it is a part of the
        capacity of all zones, divided by all nodes.
        """
        own_zone = self._state.identity.zone
        serving = [
            each
            for each in self._state.upstreams.accepting_in_pool(pool)
            if self._state.catalog.is_zone_serving(each.entry.zone)
        ]
        local = [each for each in serving if each.entry.zone == own_zone]
        nodes = len(self._live_nodes(own_zone if local else None)) or 1
        capacity = sum(
            _add_headroom(self._upstream_capacity(each))
            for each in local or serving
        )
        return max(1, round(capacity / nodes))

    def _upstream_capacity(self, upstream: upstreams.Upstream) -> float:
        upstream_id = upstream.entry.host_id
        estimate = self._capacity_by_id.get(
            upstream_id, float(self._state.limits.warm_limit)
        )
        report = upstream.report
        if report is None:
            return estimate
        if self._last_report_s_by_id.get(upstream_id) == report.received_s:
            return estimate
        self._last_report_s_by_id[upstream_id] = report.received_s
        if report.queued and report.running:
            estimate = float(report.running)
        elif report.running >= _NEARLY_FULL_SHARE * estimate:
            estimate = min(
                self._state.limits.warm_limit, estimate * _GROWTH_FACTOR
            )
        self._capacity_by_id[upstream_id] = estimate
        return estimate
