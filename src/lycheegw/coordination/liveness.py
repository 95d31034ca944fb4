"""Decides which nodes are live, from the host list, heartbeats and gossip.

Only its neighbours receive the heartbeats of a node. Neighbours that receive
none accuse it, and gossip spreads the accusation together with the incarnation
of the accused node, which refutes it by a higher incarnation.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from lycheegw.coordination import change_tracker
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["HEARTBEAT_TIMEOUT_S", "Liveness", "NodeUpdate", "Peer"]

HEARTBEAT_TIMEOUT_S = 3.0
_MIN_ACCUSERS = 2
_KEEP_UNLISTED_S = 300.0
_MAX_NODES = 2000
_MAX_UPDATES_PER_HEARTBEAT = 200
_MAX_ACCUSERS = 8
# How long the computed set of live nodes is reused.
_LIVE_CACHE_S = 0.25


class Peer(NamedTuple):
    """A node, as it describes itself or as the host list has it.

    Attributes:
        node_id: Identifier.
        zone: Availability zone.
        address: "ip:port" of its peer server.
        incarnation: Increases with each start and with each refuted
            accusation; 0 if the node is known from the host list only.
    """

    node_id: str
    zone: str
    address: str
    incarnation: int = 0


class NodeUpdate(NamedTuple):
    """A gossip message about one node.

    Attributes:
        peer: The node.
        is_leaving: Whether it takes no new requests.
        accusers: Ids of nodes that receive no heartbeats from it.
    """

    peer: Peer
    is_leaving: bool = False
    accusers: frozenset[str] = frozenset()


class Liveness:
    """Decides from heartbeats, gossip and the host list which nodes are live.

    Attributes:
        incarnation: The incarnation of this node.
    """

    def __init__(self, state: node_state.NodeState):
        self._state = state
        self._own_id = state.identity.node_id
        self._entry_by_id: dict[str, upstreams.HostEntry] = {}
        self._heartbeat_s_by_id: dict[str, float] = {}
        self._updated_s_by_id: dict[str, float] = {}
        self._updates: change_tracker.ChangeTracker[NodeUpdate] = (
            change_tracker.ChangeTracker(_MAX_NODES)
        )
        self._live_cache: Mapping[str, Sequence[str]] = {}
        self._live_cache_until_s = 0.0
        self._own_address = ""
        self._is_leaving = False
        self.incarnation = int(state.environment.wall_s() * 1000)

    def set_address(self, address: str) -> Peer:
        """Sets the address of this node's peer server; returns this node."""
        self._own_address = address
        return self._own_peer()

    def _own_peer(self) -> Peer:
        return Peer(
            self._own_id,
            self._state.identity.zone,
            self._own_address,
            self.incarnation,
        )

    def apply_host_list(self, entries: Iterable[upstreams.HostEntry]) -> None:
        """Replaces the nodes known from the host list."""
        self._entry_by_id = {
            entry.host_id: entry
            for entry in entries
            if entry.role is upstreams.HostRole.NODE
        }
        self._live_cache_until_s = 0.0

    def note_heartbeat(self, peer: Peer) -> None:
        """Records an authenticated frame from `peer` itself."""
        if peer.node_id not in self._heartbeat_s_by_id:
            self._live_cache_until_s = 0.0
        self._heartbeat_s_by_id[peer.node_id] = self._now_s()
        known = self._updates.get(peer.node_id)
        if known is not None and known.peer.incarnation >= peer.incarnation:
            return
        if known is not None or peer.node_id not in self._entry_by_id:
            self._store(NodeUpdate(peer))

    def accuse(self, node_id: str) -> None:
        """Accuses a node from which this one receives no heartbeats."""
        self._heartbeat_s_by_id.pop(node_id, None)
        peer = self.peer(node_id)
        known = self._updates.get(node_id)
        update = known or (NodeUpdate(peer) if peer is not None else None)
        if update is None or self._own_id in update.accusers:
            return
        self._state.counters.add("peers.accused")
        self._store(update._replace(accusers=update.accusers | {self._own_id}))

    def note_unreachable(self, node_id: str) -> None:
        """Accuses a node that is unreachable and sent no recent heartbeat."""
        if not self._has_heartbeat(node_id):
            self.accuse(node_id)

    def leave(self) -> None:
        """Announces that this node takes no new requests."""
        self._is_leaving = True
        self._refute()

    def _refute(self) -> None:
        self.incarnation += 1
        self._store(NodeUpdate(self._own_peer(), self._is_leaving))

    def _store(self, update: NodeUpdate, source: str | None = None) -> None:
        self._updated_s_by_id[update.peer.node_id] = self._now_s()
        self._updates.put(update.peer.node_id, update, source)
        self._live_cache_until_s = 0.0

    def merge(self, source: str, updates: Iterable[NodeUpdate]) -> None:
        """Merges updates from a neighbour."""
        for update in updates:
            if update.peer.node_id == self._own_id:
                self._merge_own(update)
            else:
                self._merge_other(source, update)

    def _merge_own(self, update: NodeUpdate) -> None:
        is_newer = update.peer.incarnation > self.incarnation
        # An accuser that knows this node from the host list only sends 0.
        is_accused = update.peer.incarnation in {0, self.incarnation}
        if is_newer or (is_accused and update.accusers):
            self._state.counters.add("peers.refuted")
            self.incarnation = max(self.incarnation, update.peer.incarnation)
            self._refute()

    def _merge_other(self, source: str, update: NodeUpdate) -> None:
        known = self._updates.get(update.peer.node_id)
        if known is None or update.peer.incarnation > known.peer.incarnation:
            self._store(update, source)
            return
        if update.peer.incarnation < known.peer.incarnation:
            return
        accusers = known.accusers | update.accusers
        merged = known._replace(
            is_leaving=known.is_leaving or update.is_leaving,
            accusers=frozenset(sorted(accusers)[:_MAX_ACCUSERS]),
        )
        if merged != known:
            self._store(merged, source if merged == update else None)

    def updates_for(self, neighbour: str) -> list[NodeUpdate]:
        """Returns the updates to send to a neighbour."""
        return self._updates.take_unsent(neighbour, _MAX_UPDATES_PER_HEARTBEAT)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._updates.forget_sent(neighbour)

    def peer(self, node_id: str) -> Peer | None:
        """Returns a node, live or not; None if it is unknown."""
        update = self._updates.get(node_id)
        entry = self._entry_by_id.get(node_id)
        if update is not None and (update.peer.incarnation or entry is None):
            return update.peer
        if entry is None:
            return None
        return Peer(node_id, entry.zone, entry.address)

    def _is_live(self, node_id: str) -> bool:
        if node_id == self._own_id:
            return True
        update = self._updates.get(node_id)
        entry = self._entry_by_id.get(node_id)
        if update is not None and update.is_leaving:
            return False
        if entry is not None and entry.is_leaving:
            return False
        if self._has_heartbeat(node_id):
            return True
        if update is not None and self._is_accused_dead(update):
            return False
        return entry is not None or self._has_recent_update(node_id)

    def _has_heartbeat(self, node_id: str) -> bool:
        heartbeat_s = self._heartbeat_s_by_id.get(node_id)
        return (
            heartbeat_s is not None
            and self._now_s() - heartbeat_s <= HEARTBEAT_TIMEOUT_S
        )

    def _has_recent_update(self, node_id: str) -> bool:
        updated_s = self._updated_s_by_id.get(node_id)
        return (
            updated_s is not None
            and self._now_s() - updated_s <= _KEEP_UNLISTED_S
        )

    def _is_accused_dead(self, update: NodeUpdate) -> bool:
        return (
            self._own_id in update.accusers
            or len(update.accusers) >= _MIN_ACCUSERS
        )

    def _known_ids(self) -> set[str]:
        updated_ids = {update.peer.node_id for update in self._updates.values()}
        return updated_ids | set(self._entry_by_id) | {self._own_id}

    def live(self, zone: str | None = None) -> list[str]:
        """Returns the ids of live nodes, this one included, sorted."""
        by_zone = self.live_by_zone()
        if zone is not None:
            return list(by_zone.get(zone, ()))
        return sorted(each for ids in by_zone.values() for each in ids)

    def live_by_zone(self) -> Mapping[str, Sequence[str]]:
        """Returns the ids of live nodes by zone, this one included, sorted.

        The same object as before is returned unless they have changed.
        """
        if self._now_s() >= self._live_cache_until_s:
            self._expire()
            live_by_zone = self._live_by_zone()
            if live_by_zone != self._live_cache:
                self._live_cache = live_by_zone
            self._live_cache_until_s = self._now_s() + _LIVE_CACHE_S
        return self._live_cache

    def _live_by_zone(self) -> dict[str, list[str]]:
        ids_by_zone: dict[str, list[str]] = {}
        for node_id in sorted(self._known_ids()):
            if self._is_live(node_id):
                ids_by_zone.setdefault(self._zone(node_id), []).append(node_id)
        return ids_by_zone

    def _expire(self) -> None:
        """Drops expired heartbeats, and old updates about unlisted nodes."""
        for update in self._updates.values():
            node_id = update.peer.node_id
            if node_id not in self._entry_by_id and not self._has_recent_update(
                node_id
            ):
                self._updates.discard(node_id)
                self._updated_s_by_id.pop(node_id, None)
        self._heartbeat_s_by_id = {
            node_id: heartbeat_s
            for node_id, heartbeat_s in self._heartbeat_s_by_id.items()
            if self._now_s() - heartbeat_s <= HEARTBEAT_TIMEOUT_S
        }

    def _zone(self, node_id: str) -> str:
        if node_id == self._own_id:
            return self._state.identity.zone
        peer = self.peer(node_id)
        return peer.zone if peer is not None else ""

    def listed_not_live(self) -> list[str]:
        """Returns listed nodes that are not live, to be tried again."""
        return sorted(
            entry.host_id
            for entry in self._entry_by_id.values()
            if not entry.is_leaving and not self._is_live(entry.host_id)
        )

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
