"""Configuration from peers: entries after an offset, or a whole snapshot.

A node asks a peer that is ahead of it, and asks peers at random, often while
it can't follow the log. Nothing is pushed, so a node decides what it takes.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import intake
from lycheegw.coordination import seams
from lycheegw.state import catalog as catalogs
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = ["Codec", "ConfigExchange", "Reply", "Request"]

_TOPIC = "configuration"
_CALL_TIMEOUT_S = 2.0
_CALM_INTERVAL_S = 5.0
_BEHIND_INTERVAL_S = 0.5
_REPLY_BYTES = 96 * 1024
_MAX_PARTS = 256
_MAX_ROUNDS = 64


class Request(NamedTuple):
    """Asks for entries after an offset, or for a part of a snapshot.

    Attributes:
        after: Offset that the asking node has applied.
        snapshot_offset: Offset of the snapshot being fetched.
        part: Index of the part wanted, 0 for entries or a first part.
    """

    after: int
    snapshot_offset: int = catalogs.NO_OFFSET
    part: int = 0


class Reply(NamedTuple):
    """Entries after the offset asked for, or one part of a snapshot.

    Attributes:
        entries: Entries that follow each other after the offset.
        snapshot_offset: Offset of the snapshot.
        parts: Count of its parts, 0 where there is none.
        part: The part asked for.
    """

    entries: tuple[intake.TailEntry, ...]
    snapshot_offset: int = catalogs.NO_OFFSET
    parts: int = 0
    part: bytes = b""


class Codec(NamedTuple):
    """Wire form of requests and replies; decoding raises PeerMessageError."""

    encode_request: Callable[[Request], bytes]
    decode_request: Callable[[bytes], Request]
    encode_reply: Callable[[Reply], bytes]
    decode_reply: Callable[[bytes], Reply]


class ConfigExchange:
    """Answers peers that lag and asks peers that may be ahead."""

    def __init__(
        self,
        state: node_state.NodeState,
        bus: seams.PeerBus,
        entries: intake.Intake,
        codec: Codec,
        is_log_healthy: Callable[[], bool],
    ):
        self._state = state
        self._bus = bus
        self._intake = entries
        self._codec = codec
        self._is_log_healthy = is_log_healthy
        self._ahead_id: str | None = None
        self._ahead = asyncio.Event()
        bus.on_call(_TOPIC, self._answer)

    def note_offset(self, node_id: str, offset: int) -> None:
        """Wakes the asking task where another node is ahead of this one."""
        if offset > self._state.catalog.offset:
            self._ahead_id = node_id
            self._ahead.set()

    async def run(self) -> None:
        """Asks peers until cancelled."""
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
                logging.warning("configuration of %s: %s", node_id, error)

    async def _next_peer(self) -> str | None:
        """Returns the node that is known to be ahead, else one at random."""
        try:
            async with asyncio.timeout(self._interval_s()):
                await self._ahead.wait()
        except TimeoutError:
            return self._random_peer()
        self._ahead.clear()
        return self._ahead_id

    def _interval_s(self) -> float:
        is_calm = self._is_log_healthy()
        interval_s = _CALM_INTERVAL_S if is_calm else _BEHIND_INTERVAL_S
        return interval_s * (0.5 + self._state.environment.random.random())

    def _random_peer(self) -> str | None:
        """Returns a live node, of the own zone every other time."""
        identity = self._state.identity
        is_near = self._state.environment.random.random() < 0.5
        near = self._bus.live_nodes(identity.zone) if is_near else ()
        for known in (near, self._bus.live_nodes()):
            others = [each for each in known if each != identity.node_id]
            if others:
                return self._state.environment.random.choice(others)
        return None

    async def pull(self, node_id: str) -> bool:
        """Takes over what a node has and this one lacks; returns whether any.

        Raises:
            errors.PeerUnavailableError: The node did not answer.
            errors.PeerMessageError: Its answer can't be read.
            errors.RecordError: Its snapshot can't be read.
        """
        is_changed = False
        for _ in range(_MAX_ROUNDS):
            after = self._state.catalog.offset
            reply = await self._ask(node_id, Request(after))
            if reply.parts:
                return await self._fetch_snapshot(node_id, after, reply)
            if not self._intake.take_tail(after, reply.entries):
                break
            if not is_changed:
                # Before the next round, which may fail or take a while.
                self._state.counters.add("exchange.entries_taken")
            is_changed = True
        return is_changed

    async def _fetch_snapshot(
        self, node_id: str, after: int, first: Reply
    ) -> bool:
        """Fetches the other parts; a snapshot that changed is given up."""
        if first.parts > _MAX_PARTS:
            raise errors.PeerMessageError(f"{first.parts} parts")
        data = first.part
        for part in range(1, first.parts):
            request = Request(after, first.snapshot_offset, part)
            reply = await self._ask(node_id, request)
            if reply.snapshot_offset != first.snapshot_offset:
                return False
            data += reply.part
        is_taken = self._intake.take_snapshot(data)
        if is_taken:
            self._state.counters.add("exchange.snapshot_taken")
        return is_taken

    async def _ask(self, node_id: str, request: Request) -> Reply:
        payload = await self._bus.call(
            node_id,
            _TOPIC,
            self._codec.encode_request(request),
            _CALL_TIMEOUT_S,
        )
        return self._codec.decode_reply(payload)

    async def _answer(self, sender: str, payload: bytes) -> bytes:
        del sender
        request = self._codec.decode_request(payload)
        return self._codec.encode_reply(self._reply_to(request))

    def _reply_to(self, request: Request) -> Reply:
        """Returns entries where they are kept, else a part of a snapshot."""
        if request.after >= self._state.catalog.offset:
            return Reply(())
        if not request.part:
            entries = self._intake.tail(request.after, _REPLY_BYTES)
            if entries is not None:
                return Reply(tuple(entries))
        offset, data = self._intake.snapshot()
        if request.part and request.snapshot_offset != offset:
            return Reply(())
        begin = request.part * _REPLY_BYTES
        part = data[begin : begin + _REPLY_BYTES]
        parts = -(-len(data) // _REPLY_BYTES)
        return Reply((), offset, parts, part)
