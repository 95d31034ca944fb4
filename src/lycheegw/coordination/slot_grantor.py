"""Grants the slots of cold upstreams to the nodes in short leases.

Each cold upstream has one grantor, the live node of its zone that ranks first
by rendezvous hashing. A lease starts for the holder when it sends the request
and for the grantor when it replies, so that it ends at the holder first.

Nodes may disagree on which nodes are live. A node therefore grants only while
most of the zone's recently live nodes are live, and only once each node that
ranks before it has not replied for longer than any lease of that node lasts.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from lycheegw.coordination import cold_detection
from lycheegw.coordination import rendezvous
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["LEASE_S", "SlotGrantor", "SlotLease", "SlotRequest", "ZoneMembers"]

LEASE_S = 2.0
# After this time without contact, no lease of an earlier grantor is in force.
_HANDOVER_S = 1.5 * LEASE_S
_MEMBER_TTL_S = 60.0
_MINIMUM_SLOTS = 1
# Time by which a load report may lag behind the counts of the holders.
_REPORT_LAG_S = 1.5
# How long reports must show no unleased request until those are dropped.
_MIN_ABSENCE_S = 2.0
# A longer gap between ticks means that the process was paused.
_MAX_TICK_GAP_S = 0.75 * LEASE_S
_REQUEST_TTL_S = 5.0


class SlotRequest(NamedTuple):
    """A node's request to the grantor of one upstream.

    Attributes:
        upstream_id: Identifier of the upstream.
        wanted: Slots that the node could use.
        held: Requests of the node that run there now.
        cold_age_s: Seconds since the node saw it turn cold, -1 if it is warm.
    """

    upstream_id: str
    wanted: int
    held: int
    cold_age_s: float


class SlotLease(NamedTuple):
    """Slots granted for `LEASE_S`, 0 if the grantor can grant none."""

    upstream_id: str
    slots: int


def _minimum_slots(limit: int) -> int:
    return _MINIMUM_SLOTS if limit > _MINIMUM_SLOTS else 0


def _running(upstream: upstreams.Upstream) -> int:
    """Returns the requests at an upstream as of its last load report."""
    if upstream.report is None:
        return 0
    return upstream.report.running + upstream.report.queued


class _Membership(NamedTuple):
    """The live nodes of a zone, and since when they are the same."""

    live: tuple[str, ...]
    since_s: float


class ZoneMembers:
    """The nodes of each zone: those live now and those live recently."""

    def __init__(
        self,
        state: node_state.NodeState,
        live_nodes: Callable[[str | None], Sequence[str]],
    ):
        self._state = state
        self._live_nodes = live_nodes
        self._membership_by_zone: dict[str, _Membership] = {}
        self._last_live_s_by_node_by_zone: dict[str, dict[str, float]] = {}

    def live(self, zone: str) -> tuple[str, ...]:
        """Returns the live nodes of a zone, of all zones if it has none."""
        return self._membership(zone).live

    def since_s(self, zone: str) -> float:
        """Returns the monotonic second at which the live nodes changed."""
        return self._membership(zone).since_s

    def recently_live(self, zone: str) -> list[str]:
        """Returns the nodes that were live in the last `_MEMBER_TTL_S`."""
        self._membership(zone)
        return sorted(self._last_live_s_by_node_by_zone[zone])

    def is_majority(self, zone: str) -> bool:
        """Returns whether most of the recently live nodes are live now."""
        return 2 * len(self.live(zone)) > len(self.recently_live(zone))

    def _membership(self, zone: str) -> _Membership:
        now_s = self._state.environment.monotonic_s()
        live = tuple(self._live_nodes(zone) or self._live_nodes(None))
        last_live_s_by_node = self._last_live_s_by_node_by_zone.setdefault(
            zone, {}
        )
        last_live_s_by_node.update(dict.fromkeys(live, now_s))
        for node_id, last_live_s in list(last_live_s_by_node.items()):
            if now_s - last_live_s > _MEMBER_TTL_S:
                del last_live_s_by_node[node_id]
        membership = self._membership_by_zone.get(zone)
        if membership is None or membership.live != live:
            membership = _Membership(live, now_s)
            self._membership_by_zone[zone] = membership
        return membership


class _Grant(NamedTuple):
    """Slots granted to a node, and how many requests it runs there."""

    slots: int
    held: int
    until_s: float


class _UnleasedRequests:
    """Requests that may still run although their lease has ended.

    Attributes:
        held_by_node: Their count by the node that last reported them, under
            an empty name if an earlier grantor granted the slots.
    """

    def __init__(self) -> None:
        self.held_by_node: dict[str, int] = {}
        self._held: collections.deque[tuple[float, int]] = collections.deque()
        self._absent_since_s: float | None = None

    def add(self, node_id: str, held: int) -> None:
        """Records requests whose lease has ended."""
        self.held_by_node[node_id] = held
        self._absent_since_s = None

    def note_held(self, now_s: float, held: int) -> None:
        """Records how many requests the holders run now."""
        self._held.append((now_s, held))
        # The last entry before the window holds the value at its start.
        while len(self._held) > 1 and self._held[1][0] < now_s - _REPORT_LAG_S:
            self._held.popleft()

    def unexplained(self, running: int) -> int:
        """Returns how many reported requests no holder can account for."""
        held = min((held for _, held in self._held), default=0)
        return max(0, running - held)

    def release(self, now_s: float, running: int) -> None:
        """Drops them once reports have shown none for `_MIN_ABSENCE_S`.

        A single report is not enough: holders may have ended requests
        without having reported it yet.
        """
        if self.unexplained(running) or self._absent_since_s is None:
            self._absent_since_s = now_s
        if now_s - self._absent_since_s >= _MIN_ABSENCE_S:
            self.held_by_node = {}


class SlotGrantor:
    """Grants slot leases for the upstreams whose grantor this node is."""

    def __init__(
        self,
        state: node_state.NodeState,
        members: ZoneMembers,
        cold_detector: cold_detection.ColdDetector,
    ):
        self._state = state
        self._members = members
        self._cold_detector = cold_detector
        self._grants_by_id: dict[str, dict[str, _Grant]] = {}
        self._granting_ids: set[str] = set()
        self._unleased_by_id: dict[str, _UnleasedRequests] = {}
        self._requested_s_by_id: dict[str, float] = {}
        self._silent_since_s_by_node: dict[str, float] = {}
        self._ticked_s = state.environment.monotonic_s()
        self._resumed_s = self._ticked_s

    def grantor_of(self, upstream: upstreams.Upstream) -> str | None:
        """Returns the node that grants the slots of an upstream."""
        live = self._members.live(upstream.entry.zone)
        return rendezvous.first(upstream.entry.host_id, live)

    def minimum_slots(self, upstream: upstreams.Upstream) -> int:
        """Returns the slots that this node may use without a lease.

        One node of the zone has a slot of its own, so that the upstream is
        used even if no grantor can grant slots. It is chosen from the nodes
        that were live recently, which are the same on both sides of a
        partition.
        """
        now_s = self._state.environment.monotonic_s()
        limit = self._cold_detector.limit(upstream) or 0
        if self._is_unsettled(upstream.entry.zone, now_s):
            return 0
        is_owner = self._minimum_owner(upstream) == self._state.identity.node_id
        return _minimum_slots(limit) if is_owner else 0

    def _minimum_owner(self, upstream: upstreams.Upstream) -> str | None:
        recent = self._members.recently_live(upstream.entry.zone)
        return rendezvous.first(f"floor {upstream.entry.host_id}", recent)

    def grant_slots(
        self, holder: str, requests: Sequence[SlotRequest]
    ) -> list[SlotLease]:
        """Returns a lease for each request on a listed upstream."""
        now_s = self._state.environment.monotonic_s()
        self._check_pause(now_s)
        self.tick()
        leases = []
        for request in requests:
            upstream = self._state.upstreams.by_id.get(request.upstream_id)
            if upstream is None:
                continue
            self._cold_detector.merge_signs(
                holder,
                [
                    cold_detection.ColdSign(
                        request.upstream_id, request.cold_age_s
                    )
                ],
            )
            self._requested_s_by_id[request.upstream_id] = now_s
            slots = self._grant_one(holder, upstream, request)
            leases.append(SlotLease(request.upstream_id, slots))
        return leases

    def tick(self) -> None:
        """Drops expired state; must be called more often than leases end."""
        now_s = self._state.environment.monotonic_s()
        self._check_pause(now_s)
        self._ticked_s = now_s
        for upstream_id in list(self._granting_ids):
            upstream = self._state.upstreams.by_id.get(upstream_id)
            if upstream is None or not self._may_grant(upstream, now_s):
                self._granting_ids.discard(upstream_id)
        for upstream_id, requested_s in list(self._requested_s_by_id.items()):
            if now_s - requested_s > _REQUEST_TTL_S:
                del self._requested_s_by_id[upstream_id]
        for upstream_id, grants in list(self._grants_by_id.items()):
            self._end_grants(upstream_id, grants, now_s)
        for upstream_id in list(self._unleased_by_id):
            if upstream_id not in self._state.upstreams.by_id:
                del self._unleased_by_id[upstream_id]

    def _end_grants(
        self, upstream_id: str, grants: dict[str, _Grant], now_s: float
    ) -> None:
        """Drops expired grants; requests under them may still run."""
        unleased = self._unleased(upstream_id)
        for holder, grant in list(grants.items()):
            if grant.until_s <= now_s:
                del grants[holder]
                if grant.slots:
                    unleased.add(holder, grant.slots)
        if not grants:
            del self._grants_by_id[upstream_id]

    def _unleased(self, upstream_id: str) -> _UnleasedRequests:
        return self._unleased_by_id.setdefault(upstream_id, _UnleasedRequests())

    def nodes_ranked_before(self) -> set[str]:
        """Returns the nodes that must be silent before this node may grant."""
        by_id = self._state.upstreams.by_id
        predecessors: set[str] = set()
        for upstream_id in self._requested_s_by_id:
            if upstream_id in by_id and self._is_grantor(by_id[upstream_id]):
                predecessors.update(self._predecessors(by_id[upstream_id]))
        return predecessors

    def note_probe(self, node_id: str, is_alive: bool) -> None:
        """Records whether a node that ranks before this one replied."""
        now_s = self._state.environment.monotonic_s()
        if is_alive:
            self._silent_since_s_by_node.pop(node_id, None)
        else:
            self._silent_since_s_by_node.setdefault(node_id, now_s)

    def _check_pause(self, now_s: float) -> None:
        """Restarts the handover wait if this process was paused.

        Other nodes may have become grantors meanwhile.
        """
        if now_s - self._ticked_s > _MAX_TICK_GAP_S:
            self._resumed_s = now_s
            self._silent_since_s_by_node.clear()
            self._ticked_s = now_s

    def _predecessors(self, upstream: upstreams.Upstream) -> list[str]:
        """Returns the recently live nodes that rank before this one."""
        recent = self._members.recently_live(upstream.entry.zone)
        ordered = list(rendezvous.order(upstream.entry.host_id, recent))
        own_id = self._state.identity.node_id
        return ordered[: ordered.index(own_id)] if own_id in ordered else []

    def _is_grantor(self, upstream: upstreams.Upstream) -> bool:
        return self.grantor_of(upstream) == self._state.identity.node_id

    def _is_unsettled(self, zone: str, now_s: float) -> bool:
        return now_s - self._members.since_s(zone) < _HANDOVER_S

    def _may_grant(self, upstream: upstreams.Upstream, now_s: float) -> bool:
        """Returns whether no lease of another grantor can be in force."""
        upstream_id = upstream.entry.host_id
        zone = upstream.entry.zone
        is_certain = (
            self._is_grantor(upstream)
            and self._members.is_majority(zone)
            and now_s - self._resumed_s >= _HANDOVER_S
            and self._are_predecessors_silent(upstream, now_s)
        )
        if not is_certain:
            self._granting_ids.discard(upstream_id)
            return False
        # A lower-ranking node may have granted leases until it saw this one.
        if upstream_id not in self._granting_ids:
            if self._is_unsettled(zone, now_s):
                return False
            self._granting_ids.add(upstream_id)
            unleased = self._unleased(upstream_id)
            running = _running(upstream)
            unleased.add("", unleased.unexplained(running))
        return True

    def _are_predecessors_silent(
        self, upstream: upstreams.Upstream, now_s: float
    ) -> bool:
        """Returns whether the leases of all nodes before this one ended."""
        return all(
            now_s - self._silent_since_s_by_node.get(each, now_s) >= _HANDOVER_S
            for each in self._predecessors(upstream)
        )

    def _grant_one(
        self, holder: str, upstream: upstreams.Upstream, request: SlotRequest
    ) -> int:
        now_s = self._state.environment.monotonic_s()
        limit = self._cold_detector.limit(upstream)
        if limit is None:
            limit = self._state.limits.warm_limit
        may_grant = self._may_grant(upstream, now_s)
        grants = self._grants_by_id.setdefault(request.upstream_id, {})
        grants.pop(holder, None)
        unleased = self._unleased(request.upstream_id)
        unleased.held_by_node.pop(holder, None)
        held = request.held + sum(grant.held for grant in grants.values())
        unleased.note_held(now_s, held)
        slots = 0
        if may_grant:
            free_slots = self._free_slots(upstream, limit, grants, holder)
            slots = self._fair_share(
                request, limit, len(grants) + 1, free_slots
            )
        else:
            self._state.counters.add("slots.not_steward")
        if slots or request.held:
            grants[holder] = _Grant(
                max(slots, request.held),
                request.held,
                now_s + LEASE_S,
            )
        return slots

    def _free_slots(
        self,
        upstream: upstreams.Upstream,
        limit: int,
        grants: dict[str, _Grant],
        holder: str,
    ) -> int:
        """Returns the slots that no other node holds."""
        slots_by_node = {node: grant.slots for node, grant in grants.items()}
        owner = self._minimum_owner(upstream)
        if owner is not None and owner != holder:
            minimum = _minimum_slots(limit)
            slots_by_node[owner] = max(minimum, slots_by_node.get(owner, 0))
        unleased = self._unleased(upstream.entry.host_id)
        now_s = self._state.environment.monotonic_s()
        unleased.release(now_s, _running(upstream))
        granted = sum(slots_by_node.values())
        return max(0, limit - granted - sum(unleased.held_by_node.values()))

    def _fair_share(
        self, request: SlotRequest, limit: int, holders: int, free_slots: int
    ) -> int:
        """Returns the slots to grant, with a fair share for each holder.

        A node that holds more than its share gets no more than it holds, so
        that its lease shrinks as its requests end.
        """
        share = max(1, limit // holders)
        wanted = min(request.wanted, max(share, request.held))
        return min(wanted, free_slots)
