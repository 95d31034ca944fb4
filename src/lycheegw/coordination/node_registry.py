"""Nodes find each other through a topic of the store."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import json

from absl import logging

from lycheegw.coordination import seams
from lycheegw.coordination import topic_readers
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import topics
from lycheegw.state import upstreams

__all__ = ["NodeRegistry"]

_RETRY_S = 0.5
# A node that sees no other reads the list of nodes again after this long.
_ALONE_S = 2.0
# Nodes assumed where the list was never read; more than there are makes a
# node's part of shared budgets too small, never too large.
_UNKNOWN_MEMBERS = 16


class NodeRegistry:
    """Registers this node and knows the others."""

    def __init__(
        self,
        state: node_state.NodeState,
        store: seams.KeyedStore,
        readers: topic_readers.TopicReaders,
        known: topics.TopicState,
        take_entries: Callable[[Iterable[upstreams.HostEntry]], None],
        live_nodes: Callable[[], Sequence[str]],
    ):
        self._state = state
        self._store = store
        self._readers = readers
        self._known = known
        self._take_entries = take_entries
        self._live_nodes = live_nodes
        self._entries: list[upstreams.HostEntry] = []

    def members(self) -> list[str]:
        """Returns ids of all registered nodes, dead ones included."""
        own_id = self._state.identity.node_id
        return sorted({own_id, *(each.host_id for each in self._entries)})

    def zones(self) -> set[str]:
        """Returns the zones of all registered nodes."""
        return {each.zone for each in self._entries}

    def count(self) -> int:
        """Returns how many nodes may share a budget."""
        if not self._known.is_known:
            return _UNKNOWN_MEMBERS
        return len(self.members())

    def apply(self) -> None:
        """Takes over the list of nodes."""
        self._entries = []
        for node_id, value in self._known.values().items():
            try:
                loaded = json.loads(value)
                entry = upstreams.HostEntry(
                    node_id,
                    upstreams.HostRole.NODE,
                    "",
                    str(loaded["address"]),
                    str(loaded["zone"]),
                    False,
                    False,
                )
            except (ValueError, KeyError, TypeError) as error:
                logging.warning("node %s is left out: %r", node_id, error)
                continue
            self._entries.append(entry)
        self._take_entries(self._entries)

    async def run(self, address: str) -> None:
        """Registers this node and keeps the list known, until cancelled."""
        await self._register(address)
        await self._readers.load_until_known(topics.Topic.NODES)
        sleep = self._state.environment.sleep
        while True:
            await sleep(_ALONE_S)
            if len(self._live_nodes()) <= 1:
                await self._readers.load(topics.Topic.NODES)

    async def _register(self, address: str) -> None:
        identity = self._state.identity
        value = json.dumps({"address": address, "zone": identity.zone})
        while True:
            try:
                await self._store.put(
                    topics.Topic.NODES, identity.node_id, value.encode(), None
                )
            except errors.StoreError as error:
                self._state.counters.add("nodes.register_failed")
                logging.warning("not registered yet: %s", error)
                await self._state.environment.sleep(_RETRY_S)
            else:
                return
