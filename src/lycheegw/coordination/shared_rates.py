"""Bounds the requests that an upstream gets from all nodes together.

Cold upstreams and those that announce a limit are bounded in rate, brittle ones
in the requests that run at a time, so that they need not reject any. Only some
nodes may send to such an upstream. They are the first ones in the order of
rendezvous hashing over all registered nodes, so that no messages are needed to
agree on them, and nodes that die or are cut off leave a gap instead of a
duplicate. A node that has registered too recently for all others to know it
sends nothing, so nodes with older lists can't choose more senders than those
with newer ones. Each sender has a token bucket of one request, and an equal
part of the slots of a brittle upstream.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import NamedTuple

from lycheegw.coordination import rendezvous
from lycheegw.state import edge_settings
from lycheegw.state import node_state
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = ["SharedRates"]

# Rate for a service that configures no rate for cold upstreams; the slack of
# the bound alone allows for it.
_DEFAULT_COLD_RATE_PER_S = 2.0
# Share of the bound on cold upstreams that is used. The rest is for requests
# that arrive closer together than they were sent.
_COLD_BOUND_SHARE = 0.95
# Highest rate relative to the configured one; upstreams crash well above it.
_MAX_COLD_OVERLOAD = 1.15
# Requests beyond its announced limit that an upstream tolerates in a window,
# over all nodes: one burst of this many senders.
_LIMIT_SLACK = 5
# Share of a brittle upstream's slots that all nodes together use. Health checks
# and new connections take slots, too.
_SLOT_SHARE = 0.9
# Upstreams whose latest request is remembered.
_MAX_UPSTREAMS = 4096


class _Share(NamedTuple):
    """How a bound is divided.

    Attributes:
        senders: Nodes that may send.
        rate_per_s: Requests per second of each of them.
    """

    senders: int
    rate_per_s: float


class SharedRates:
    """Limits the rate at which this node sends to each bounded upstream."""

    def __init__(
        self,
        state: node_state.NodeState,
        bounds: Callable[[], edge_settings.ServiceLevels],
        members: Callable[[], Sequence[str] | None],
        announced_limit: Callable[[upstreams.Upstream], float | None],
        is_brittle: Callable[[upstreams.Upstream], bool],
    ):
        """Creates the limits.

        Args:
            state: State of this node.
            bounds: Returns the service levels.
            members: Returns the ids of all registered nodes, None as long as
                other nodes may not know of this one.
            announced_limit: Returns the requests per second that an upstream
                accepts from all nodes together, None without a limit.
            is_brittle: Returns whether an upstream may fail if it has to reject
                requests.
        """
        self._state = state
        self._bounds = bounds
        self._members = members
        self._announced_limit = announced_limit
        self._is_brittle = is_brittle
        self._sent_s_by_id: dict[str, float] = {}
        self._ranked_members: Sequence[str] = ()
        self._rank_by_id: dict[str, int] = {}

    def may_send(
        self, upstream: upstreams.Upstream, service: routing.Service
    ) -> bool:
        """Returns whether this node may send a request to an upstream now."""
        now_s = self._state.environment.monotonic_s()
        limit_per_s = self._announced_limit(upstream)
        is_cold = _is_cold(upstream, service, now_s)
        is_brittle = self._is_brittle(upstream)
        if limit_per_s is None and not is_cold and not is_brittle:
            return True
        members = self._members()
        if not members:
            return False
        if is_brittle and not self._has_slot(upstream, members):
            return False
        if limit_per_s is None and not is_cold:
            return True
        shares = []
        if is_cold:
            shares.append(self._cold_share(service, len(members)))
        if limit_per_s is not None:
            shares.append(_limit_share(limit_per_s, len(members)))
        rate_per_s = min(share.rate_per_s for share in shares)
        if rate_per_s <= 0:
            return False
        host_id = upstream.entry.host_id
        sent_s = self._sent_s_by_id.get(host_id, -math.inf)
        if now_s < sent_s + 1 / rate_per_s:
            return False
        count = min(share.senders for share in shares)
        return self._own_rank(host_id, members) < count

    def _has_slot(
        self, upstream: upstreams.Upstream, members: Sequence[str]
    ) -> bool:
        """Returns whether this node's part of an upstream's slots is free."""
        slots = max(1, int(_SLOT_SHARE * upstream.entry.slots))
        senders = min(slots, len(members))
        rank = self._own_rank(upstream.entry.host_id, members)
        # The first senders get the slots that are left over by an equal split.
        part = slots // senders + (rank < slots % senders)
        return rank < senders and upstream.in_flight < part

    def note_sent(self, upstream: upstreams.Upstream) -> None:
        """Records a request that was sent, which empties the bucket."""
        host_id = upstream.entry.host_id
        self._sent_s_by_id.pop(host_id, None)
        self._sent_s_by_id[host_id] = self._state.environment.monotonic_s()
        if len(self._sent_s_by_id) > _MAX_UPSTREAMS:
            del self._sent_s_by_id[next(iter(self._sent_s_by_id))]

    def _own_rank(self, host_id: str, members: Sequence[str]) -> int:
        """Returns this node's rank among the senders to an upstream."""
        # The list is replaced as a whole when it changes.
        if members is not self._ranked_members:
            self._ranked_members = members
            self._rank_by_id.clear()
        rank = self._rank_by_id.get(host_id)
        if rank is None:
            ranking = rendezvous.order(f"senders {host_id}", members)
            rank = ranking.index(self._state.identity.node_id)
            self._rank_by_id[host_id] = rank
        return rank

    def _cold_share(self, service: routing.Service, members: int) -> _Share:
        """Returns the shares that keep to the bound in any second."""
        service_rate = service.cold_per_s or _DEFAULT_COLD_RATE_PER_S
        bound = (
            service_rate * self._bounds().cold_overage
            + self._bounds().cold_slack
        )
        senders = max(1, min(members, int(bound - service_rate)))
        # The full bucket of each sender is added to the rate.
        rate = min(
            _MAX_COLD_OVERLOAD * service_rate,
            _COLD_BOUND_SHARE * bound - senders,
        )
        return _Share(senders, max(rate, 0.5 * service_rate) / senders)


def _limit_share(limit_per_s: float, members: int) -> _Share:
    """Returns the shares that use an announced limit up.

    A window of any length gets what the limit allows in it, and one request
    more of each sender.
    """
    senders = min(members, int(min(limit_per_s, members)) + _LIMIT_SLACK)
    return _Share(senders, limit_per_s / senders)


def _is_cold(
    upstream: upstreams.Upstream, service: routing.Service, now_s: float
) -> bool:
    """Returns whether the rate of an upstream is bounded since it is cold.

    An upstream of a service without cold starts is bounded only while it
    announces itself that it is cold.
    """
    if service.cold_s <= 0:
        return now_s < upstream.cold_until_s
    return upstream.is_cold(now_s)
