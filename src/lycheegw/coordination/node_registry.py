"""Registers this node in the store and reads which other nodes exist.

The nodes write their addresses to one topic of the store. Each writes its own
again if a restored store lacks it; until then the others keep it listed.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import json
import math

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination import topic_readers
from lycheegw.state import addresses
from lycheegw.state import errors
from lycheegw.state import json_fields
from lycheegw.state import node_state
from lycheegw.state import topics
from lycheegw.state import upstreams

__all__ = ["NodeRegistry"]

_REGISTER_RETRY_S = 0.5
# Interval at which a node without live peers reads the list of nodes again.
_REREAD_WITHOUT_PEERS_S = 2.0
# Time within which the nodes in contact with the store or with a peer know of a
# new node.
_SETTLE_S = 5.0
# Number of nodes assumed before the list was read. If it is too high, this
# node's part of shared budgets is too small, which is safe.
_DEFAULT_MEMBERS = 16


class NodeRegistry:
    """Registers this node and keeps the list of registered nodes."""

    def __init__(
        self,
        state: node_state.NodeState,
        store: interfaces.KeyedStore,
        readers: topic_readers.TopicReaders,
        topic_state: topics.TopicState,
        apply_host_list: Callable[[Iterable[upstreams.HostEntry]], None],
        live_nodes: Callable[[], Sequence[str]],
    ):
        self._state = state
        self._store = store
        self._readers = readers
        self._topic_state = topic_state
        self._apply_host_list = apply_host_list
        self._live_nodes = live_nodes
        self._entries: list[upstreams.HostEntry] = []
        self._era = 0
        # Entries that a restored store lacks, kept until a monotonic second.
        self._lost_entries: list[upstreams.HostEntry] = []
        self._lost_until_s = -math.inf
        self._skipped_by_id: dict[str, bytes] = {}
        self._members: Sequence[str] = [state.identity.node_id]
        self._settled_s = math.inf
        self._is_joining = True
        self._is_restarted: bool | None = None

    def is_restarted(self) -> bool | None:
        """Returns whether this node was registered before it started.

        Returns None as long as the list of nodes is unknown.
        """
        return self._is_restarted

    def members(self) -> Sequence[str]:
        """Returns the ids of all registered nodes, dead ones included."""
        return self._members

    def settled_members(self) -> Sequence[str] | None:
        """Returns the ids of all registered nodes once they know this one.

        Returns None before, and as long as the list is unknown. The lists of
        two nodes then differ only by nodes for which this returns None.
        """
        if self._state.environment.monotonic_s() < self._settled_s:
            return None
        return self.members()

    def budget_member_count(self, window_s: float) -> int | None:
        """Returns the number of nodes among which a budget is divided.

        Returns None while this node has no part in it: its list is unknown, or
        it joined so recently that the others may have used larger parts within
        the window.

        Args:
            window_s: Window of the budget.
        """
        now_s = self._state.environment.monotonic_s()
        if not self._topic_state.is_known or (
            self._is_joining and now_s < self._settled_s + window_s
        ):
            return None
        return len(self.members())

    def zones(self) -> set[str]:
        """Returns the zones of all registered nodes."""
        return {each.zone for each in self._entries}

    def member_count(self) -> int:
        """Returns the number of nodes among which budgets are divided."""
        if not self._topic_state.is_known:
            return _DEFAULT_MEMBERS
        return len(self.members())

    def apply(self) -> None:
        """Applies the list of nodes that was read from the store."""
        former = self._entries
        self._entries = []
        skipped = {}
        for node_id, value in self._topic_state.values().items():
            try:
                self._entries.append(_decode(node_id, value))
            except errors.RecordError as error:
                skipped[node_id] = value
                if self._skipped_by_id.get(node_id) != value:
                    self._state.counters.add("nodes.unreadable")
                    logging.warning("skipping unreadable node entry: %s", error)
        self._skipped_by_id = skipped
        self._keep_lost(former)
        own_id = self._state.identity.node_id
        ids = {own_id, *(each.host_id for each in self._entries)}
        self._members = sorted(ids)
        self._apply_host_list(self._entries)

    def _keep_lost(self, former: Sequence[upstreams.HostEntry]) -> None:
        """Keeps nodes that a restored store lacks until they registered."""
        now_s = self._state.environment.monotonic_s()
        listed = {each.host_id for each in self._entries}
        if 0 < self._era < self._topic_state.era:
            self._lost_entries = list(former)
            self._lost_until_s = now_s + _SETTLE_S
        self._era = self._topic_state.era
        if now_s >= self._lost_until_s:
            self._lost_entries = []
        self._entries += [
            each for each in self._lost_entries if each.host_id not in listed
        ]

    async def run(self, address: str) -> None:
        """Registers this node if need be, and reads the list.

        Runs until it is cancelled. Without peers, the list is read again. A
        node that a restored store lacks registers again.
        """
        await self._readers.load_until_known(topics.Topic.NODES)
        is_new = self._topic_state.value(self._state.identity.node_id) is None
        self._is_restarted = not is_new
        self._is_joining = is_new and bool(self._topic_state.values())
        await self._register(address)
        now_s = self._state.environment.monotonic_s()
        self._settled_s = now_s + (_SETTLE_S if is_new else 0.0)
        while True:
            await self._state.environment.sleep(_REREAD_WITHOUT_PEERS_S)
            if self._lost_entries:
                self.apply()
            if len(self._live_nodes()) <= 1:
                await self._readers.load(topics.Topic.NODES)
            if self._topic_state.value(self._state.identity.node_id) is None:
                self._state.counters.add("nodes.registered_again")
                await self._register(address)

    async def _register(self, address: str) -> None:
        """Writes this node's entry unless the store has it."""
        identity = self._state.identity
        value = json.dumps({"address": address, "zone": identity.zone})
        if self._topic_state.value(identity.node_id) == value.encode():
            return
        sleep = self._state.environment.sleep
        while True:
            begun_s = self._state.environment.monotonic_s()
            try:
                position = await self._store.put(
                    topics.Topic.NODES, identity.node_id, value.encode(), None
                )
            except errors.StoreError as error:
                self._state.counters.add("nodes.register_failed")
                logging.warning("registering this node failed: %s", error)
                await sleep(_REGISTER_RETRY_S)
            else:
                break
        if position == self._topic_state.position:
            record = topics.TopicRecord(
                identity.node_id, position.offset, value.encode()
            )
            self._readers.apply_written(
                topics.Topic.NODES, record, position.era, begun_s
            )
            return
        # Other nodes registered at the same time.
        while not await self._readers.load(topics.Topic.NODES):
            await sleep(_REGISTER_RETRY_S)


def _decode(node_id: str, value: bytes) -> upstreams.HostEntry:
    """Returns the entry of a node; raises errors.RecordError."""
    fields = json_fields.load_object(node_id, value)
    address = json_fields.read(node_id, fields, "address", str)
    try:
        addresses.parse(address)
    except ValueError as error:
        raise errors.RecordError([f"{node_id}/address: {error}"]) from error
    return upstreams.HostEntry(
        node_id,
        upstreams.HostRole.NODE,
        "",
        address,
        json_fields.read(node_id, fields, "zone", str),
        False,
        False,
    )
