"""Bounds the requests a second that a cold upstream gets from all nodes.

A few nodes, the same at each node that knows the same members, may send; each
has a bucket that holds one request. Together they stay within the bound in
any second, even where all of them send at once.
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

# Rate for a service whose configuration does not say what a cold upstream
# bears; the slack of the bound alone allows for it.
_DEFAULT_PER_S = 2.0
# Share of the bound that is handed out; the rest is for nodes that do not
# know the same members.
_BOUND_SHARE = 0.95
# Most of what an upstream bears that it gets; it falls over well above that.
_MAX_OVERLOAD = 1.15


class _Bucket:
    """Holds one request; refills at a rate."""

    def __init__(self) -> None:
        self.empty_until_s = -math.inf


class ColdRates:
    """The rate at which this node may send to each cold upstream."""

    def __init__(
        self,
        state: node_state.NodeState,
        bounds: Callable[[], edge_settings.Bounds],
        members: Callable[[], Sequence[str]],
    ):
        self._state = state
        self._bounds = bounds
        self._members = members
        self._bucket_by_id: dict[str, _Bucket] = {}

    def may_send(
        self, upstream: upstreams.Upstream, service: routing.Service
    ) -> bool:
        """Returns whether an upstream may get a request now."""
        now_s = self._state.environment.monotonic_s()
        if not _is_bounded(upstream, service, now_s):
            return True
        if self._rate(upstream, service) <= 0:
            return False
        bucket = self._bucket_by_id.get(upstream.entry.host_id)
        return bucket is None or now_s >= bucket.empty_until_s

    def note_sent(
        self, upstream: upstreams.Upstream, service: routing.Service
    ) -> None:
        """Takes a request out of the bucket."""
        now_s = self._state.environment.monotonic_s()
        if not _is_bounded(upstream, service, now_s):
            self._bucket_by_id.pop(upstream.entry.host_id, None)
            return
        rate = max(self._rate(upstream, service), 0.01)
        bucket = self._bucket_by_id.setdefault(
            upstream.entry.host_id, _Bucket()
        )
        bucket.empty_until_s = now_s + 1 / rate

    def _rate(
        self, upstream: upstreams.Upstream, service: routing.Service
    ) -> float:
        """Returns this node's requests a second, 0 where others send."""
        borne = service.cold_per_s or _DEFAULT_PER_S
        bound = borne * self._bounds().cold_overage + self._bounds().cold_slack
        own_id = self._state.identity.node_id
        members = {*self._members(), own_id}
        senders = max(1, min(len(members), int(bound - borne)))
        order = rendezvous.order(f"cold {upstream.entry.host_id}", members)
        if own_id not in order[:senders]:
            return 0.0
        # A full bucket of each sender comes on top of the rate.
        rate = min(_MAX_OVERLOAD * borne, _BOUND_SHARE * bound - senders)
        return max(rate, 0.5 * borne) / senders


def _is_bounded(
    upstream: upstreams.Upstream, service: routing.Service, now_s: float
) -> bool:
    """Returns whether an upstream bears few requests now.

    One of a service that is never cold only where it says so itself.
    """
    if service.cold_s <= 0:
        return now_s < upstream.cold_until_s
    return upstream.is_cold(now_s)
