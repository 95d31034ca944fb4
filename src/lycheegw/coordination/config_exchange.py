"""Fetches configuration from peers: entries after an offset, or a snapshot.

A node asks a peer known to be ahead of it, else a random peer at intervals;
the intervals are shorter while the node can't read the log. Peers never push
entries, so each node decides what it applies.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import catalog_updater
from lycheegw.coordination import interfaces
from lycheegw.state import catalog as catalogs
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = ["Codec", "ConfigExchange", "Reply", "Request"]

_TOPIC = "configuration"
_CALL_TIMEOUT_S = 2.0
_HEALTHY_INTERVAL_S = 5.0
_LOG_DOWN_INTERVAL_S = 0.5
_MAX_REPLY_BYTES = 96 * 1024
_MAX_PARTS = 256
_MAX_ROUNDS = 64


class Request(NamedTuple):
    """A request for entries after an offset, or for a part of a snapshot.

    Attributes:
        after: Last offset that the requesting node has applied.
        snapshot_offset: Offset of the snapshot being fetched.
        part: Index of the requested part, 0 for entries or the first part.
    """

    after: int
    snapshot_offset: int = catalogs.NO_OFFSET
    part: int = 0


class Reply(NamedTuple):
    """Entries after the requested offset, or one part of a snapshot.

    Attributes:
        entries: Consecutive entries after the offset.
        snapshot_offset: Offset of the snapshot.
        parts: Number of its parts, 0 if the reply has no snapshot.
        part: Data of the requested part.
    """

    entries: tuple[catalog_updater.TailEntry, ...]
    snapshot_offset: int = catalogs.NO_OFFSET
    parts: int = 0
    part: bytes = b""


class Codec(NamedTuple):
    """Encodes and decodes messages; decoding raises PeerMessageError."""

    encode_request: Callable[[Request], bytes]
    decode_request: Callable[[bytes], Request]
    encode_reply: Callable[[Reply], bytes]
    decode_reply: Callable[[bytes], Reply]


class ConfigExchange:
    """Serves peers that are behind, and fetches from peers that are ahead."""

    def __init__(
        self,
        state: node_state.NodeState,
        bus: interfaces.PeerBus,
        updater: catalog_updater.CatalogUpdater,
        codec: Codec,
        is_log_healthy: Callable[[], bool],
    ):
        self._state = state
        self._bus = bus
        self._updater = updater
        self._codec = codec
        self._is_log_healthy = is_log_healthy
        self._ahead_node_id: str | None = None
        self._peer_is_ahead = asyncio.Event()
        bus.on_call(_TOPIC, self._handle_call)

    def note_offset(self, node_id: str, offset: int) -> None:
        """Starts a fetch if another node is ahead of this one."""
        if offset > self._state.catalog.offset:
            self._ahead_node_id = node_id
            self._peer_is_ahead.set()

    async def run(self) -> None:
        """Fetches from peers until cancelled."""
        while True:
            node_id = await self._next_peer()
            if node_id is None:
                continue
            try:
                await self.pull(node_id)
            except (
                errors.PeerUnavailableError,
                errors.PeerMessageError,
                errors.RecordError,
            ) as error:
                self._state.counters.add("exchange.failed")
                logging.warning(
                    "fetching configuration from node %s failed: %s",
                    node_id,
                    error,
                )

    async def _next_peer(self) -> str | None:
        """Waits; returns a node known to be ahead, else a random live node."""
        try:
            async with asyncio.timeout(self._interval_s()):
                await self._peer_is_ahead.wait()
        except TimeoutError:
            return self._random_peer()
        self._peer_is_ahead.clear()
        return self._ahead_node_id

    def _interval_s(self) -> float:
        is_healthy = self._is_log_healthy()
        interval_s = _HEALTHY_INTERVAL_S if is_healthy else _LOG_DOWN_INTERVAL_S
        return interval_s * (0.5 + self._state.environment.random.random())

    def _random_peer(self) -> str | None:
        """Returns a live node, in half of the cases one of the own zone."""
        identity = self._state.identity
        prefers_own_zone = self._state.environment.random.random() < 0.5
        own_zone_ids = (
            self._bus.live_nodes(identity.zone) if prefers_own_zone else ()
        )
        for candidates in (own_zone_ids, self._bus.live_nodes()):
            other_ids = [
                each for each in candidates if each != identity.node_id
            ]
            if other_ids:
                return self._state.environment.random.choice(other_ids)
        return None

    async def pull(self, node_id: str) -> bool:
        """Applies what a node has and this one lacks; returns whether any.

        Raises:
            errors.PeerUnavailableError: The node did not reply.
            errors.PeerMessageError: Its reply can't be decoded.
            errors.RecordError: Its snapshot can't be decoded.
        """
        is_changed = False
        for _ in range(_MAX_ROUNDS):
            after = self._state.catalog.offset
            reply = await self._send_request(node_id, Request(after))
            if reply.parts:
                return await self._fetch_snapshot(node_id, after, reply)
            if not self._updater.apply_tail(after, reply.entries):
                break
            if not is_changed:
                # Count before the next round, which may fail or take long.
                self._state.counters.add("exchange.entries_taken")
            is_changed = True
        return is_changed

    async def _fetch_snapshot(
        self, node_id: str, after: int, first: Reply
    ) -> bool:
        """Fetches a snapshot in parts; returns whether it was installed.

        If the peer's snapshot changes meanwhile, nothing is installed.
        """
        if first.parts > _MAX_PARTS:
            raise errors.PeerMessageError(
                f"snapshot of {first.parts} parts, expected 1 to {_MAX_PARTS}"
            )
        data = first.part
        for part in range(1, first.parts):
            request = Request(after, first.snapshot_offset, part)
            reply = await self._send_request(node_id, request)
            if reply.snapshot_offset != first.snapshot_offset:
                return False
            data += reply.part
        is_installed = self._updater.install_snapshot(data)
        if is_installed:
            self._state.counters.add("exchange.snapshot_taken")
        return is_installed

    async def _send_request(self, node_id: str, request: Request) -> Reply:
        payload = await self._bus.call(
            node_id,
            _TOPIC,
            self._codec.encode_request(request),
            _CALL_TIMEOUT_S,
        )
        return self._codec.decode_reply(payload)

    async def _handle_call(self, sender: str, payload: bytes) -> bytes:
        del sender
        request = self._codec.decode_request(payload)
        return self._codec.encode_reply(self._build_reply(request))

    def _build_reply(self, request: Request) -> Reply:
        """Returns entries if they are still kept, else a snapshot part."""
        if request.after >= self._state.catalog.offset:
            return Reply(())
        if not request.part:
            entries = self._updater.tail(request.after, _MAX_REPLY_BYTES)
            if entries is not None:
                return Reply(tuple(entries))
        offset, data = self._updater.snapshot()
        if request.part and request.snapshot_offset != offset:
            return Reply(())
        begin = request.part * _MAX_REPLY_BYTES
        part = data[begin : begin + _MAX_REPLY_BYTES]
        parts = -(-len(data) // _MAX_REPLY_BYTES)
        return Reply((), offset, parts, part)
