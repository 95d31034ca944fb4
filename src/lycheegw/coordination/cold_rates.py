"""Bounds the rate of requests that a cold upstream gets from all nodes.

Only a few nodes may send. They are chosen by rendezvous hashing, so that nodes
with the same member list choose the same ones. Each sender has a token bucket
of one request. Together they stay within the bound in any second, even if all
of them send at once.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math

from lycheegw.coordination import rendezvous
from lycheegw.state import edge_settings
from lycheegw.state import node_state
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = ["ColdRates"]

# Rate for a service that configures no rate for cold upstreams; the slack of
# the bound alone allows for it.
_DEFAULT_RATE_PER_S = 2.0
# Share of the bound that is used; the rest is for nodes whose member lists
# differ.
_BOUND_SHARE = 0.95
# Highest rate relative to the configured one; upstreams crash well above it.
_MAX_OVERLOAD = 1.15


class _Bucket:
    """Token bucket that holds one request."""

    def __init__(self) -> None:
        self.next_send_s = -math.inf


class ColdRates:
    """Limits the rate at which this node sends to each cold upstream."""

    def __init__(
        self,
        state: node_state.NodeState,
        bounds: Callable[[], edge_settings.ServiceLevels],
        members: Callable[[], Sequence[str]],
    ):
        self._state = state
        self._bounds = bounds
        self._members = members
        self._bucket_by_id: dict[str, _Bucket] = {}

    def may_send(
        self, upstream: upstreams.Upstream, service: routing.Service
    ) -> bool:
        """Returns whether this node may send a request to an upstream now."""
        now_s = self._state.environment.monotonic_s()
        if not _is_bounded(upstream, service, now_s):
            return True
        if self._rate(upstream, service) <= 0:
            return False
        bucket = self._bucket_by_id.get(upstream.entry.host_id)
        return bucket is None or now_s >= bucket.next_send_s

    def note_sent(
        self, upstream: upstreams.Upstream, service: routing.Service
    ) -> None:
        """Records a request that was sent, which empties the bucket."""
        now_s = self._state.environment.monotonic_s()
        if not _is_bounded(upstream, service, now_s):
            self._bucket_by_id.pop(upstream.entry.host_id, None)
            return
        rate = max(self._rate(upstream, service), 0.01)
        bucket = self._bucket_by_id.setdefault(
            upstream.entry.host_id, _Bucket()
        )
        bucket.next_send_s = now_s + 1 / rate

    def _rate(
        self, upstream: upstreams.Upstream, service: routing.Service
    ) -> float:
        """Returns this node's requests per second, 0 if it is no sender."""
        service_rate = service.cold_per_s or _DEFAULT_RATE_PER_S
        bound = (
            service_rate * self._bounds().cold_overage
            + self._bounds().cold_slack
        )
        own_id = self._state.identity.node_id
        members = {*self._members(), own_id}
        senders = max(1, min(len(members), int(bound - service_rate)))
        ranking = rendezvous.order(f"cold {upstream.entry.host_id}", members)
        if own_id not in ranking[:senders]:
            return 0.0
        # The full bucket of each sender is added to the rate.
        rate = min(_MAX_OVERLOAD * service_rate, _BOUND_SHARE * bound - senders)
        return max(rate, 0.5 * service_rate) / senders


def _is_bounded(
    upstream: upstreams.Upstream, service: routing.Service, now_s: float
) -> bool:
    """Returns whether the rate of an upstream is bounded now.

    An upstream of a service without cold starts is bounded only while it
    announces itself that it is cold.
    """
    if service.cold_s <= 0:
        return now_s < upstream.cold_until_s
    return upstream.is_cold(now_s)
