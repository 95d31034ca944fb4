"""One authenticated stream between two nodes, alike at both ends."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

from grpclib import exceptions

from lycheegw.coordination import liveness
from lycheegw.protocol.pb import peer_pb2
from lycheegw.state import node_state

__all__ = [
    "FAILURES",
    "MAX_FRAME_BYTES",
    "MAX_PAYLOAD_BYTES",
    "Link",
    "LinkHooks",
    "bound_size",
]

MAX_PAYLOAD_BYTES = 256 * 1024
MAX_FRAME_BYTES = 1024 * 1024
_CALL_LINK_BEAT_S = 1.0
_SECOND_LOOK_S = 0.1
_MAX_QUEUED = 256
_MAX_HANDLERS = 64
_BEAT_JITTER = 0.2
# News that can't wait goes out at once, but not more often than this.
_NUDGE_GAP_S = 0.1

FAILURES = (
    OSError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
)


class LinkHooks:
    """What a link asks of its owner.

    Attributes:
        deltas: Returns the deltas that a neighbour lacks.
        merge: Takes in one delta of a neighbour.
        answer: Answers a call by topic and payload.
        heard: Takes note of a sign of life.
        beat_s: Returns the seconds between two heartbeats.
    """

    def __init__(
        self,
        deltas: Callable[[str], list[Any]],
        merge: Callable[[str, Any], None],
        answer: Callable[[str, Any], Awaitable[Any]],
        heard: Callable[[liveness.Peer], None],
        beat_s: Callable[[], float],
    ):
        self.beat_s = beat_s
        self.deltas = deltas
        self.merge = merge
        self.answer = answer
        self.heard = heard


def bound_size(stream: Any) -> None:
    """Makes a stream of grpclib break off where a message is too large.

    The library reads a message whole before anything else can look at its
    length, so the bound is set where it asks for the bytes.
    """
    inner = stream._stream
    receive = inner.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > MAX_FRAME_BYTES:
            raise exceptions.ProtocolError(f"message of {size} bytes")
        return bytes(await receive(size))

    inner.recv_data = receive_bounded


class Link:
    """A stream to another node, with a writer and a reader.

    Attributes:
        peer: The other node.
        is_neighbour: Whether deltas go over it.
        is_opener: Whether this node opened it.
        is_open: Whether it can be used.
        is_silent: Whether it ended since nothing was heard.
        used_s: Monotonic second of the last call.
        heard_s: Monotonic second of the last frame received.
        bytes_passed: Bytes of frames sent and received, without headers.
        frames_passed: Frames sent and received.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        peer: liveness.Peer,
        stream: Any,
        hooks: LinkHooks,
        is_neighbour: bool,
        is_opener: bool,
    ):
        self.peer = peer
        self.is_neighbour = is_neighbour
        self.is_opener = is_opener
        self.is_open = True
        self.is_silent = False
        self.bytes_passed = 0
        self.frames_passed = 0
        self._state = state
        self._stream = stream
        self._hooks = hooks
        self.used_s = self.heard_s = self._now_s()
        self._queue: asyncio.Queue[Any] = asyncio.Queue(_MAX_QUEUED)
        self._reply_by_call_id: dict[int, asyncio.Future[Any]] = {}
        self._last_call_id = 0
        self._handlers: set[asyncio.Task[None]] = set()
        self._nudged = asyncio.Event()
        # Of its own, so that how often links beat changes no other choice.
        self._random = random.Random(peer.node_id)
        self._writer: asyncio.Task[None] | None = None
        self._reader: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serves the link until it breaks or falls silent."""
        loop = asyncio.get_running_loop()
        self._reader = loop.create_task(self._read())
        self._writer = loop.create_task(self._write())
        both = {self._reader, self._writer}
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.close()
            await asyncio.gather(*both, return_exceptions=True)

    def close(self) -> None:
        """Ends the link; calls that wait on it fail."""
        self.is_open = False
        for task in (self._reader, self._writer, *self._handlers):
            if task is not None:
                task.cancel()
        for waiting in self._reply_by_call_id.values():
            if not waiting.done():
                waiting.set_exception(ConnectionResetError("link closed"))
        self._reply_by_call_id.clear()

    def nudge(self) -> None:
        """Sends the next beat now."""
        self._nudged.set()

    async def call(self, topic: str, payload: bytes) -> Any:
        """Returns the reply frame; raises one of FAILURES."""
        if not self.is_open or self._queue.full():
            raise ConnectionError(f"link to {self.peer.node_id} is not usable")
        self.used_s = self._now_s()
        self._last_call_id += 1
        call_id = self._last_call_id
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_call_id[call_id] = reply
        self._queue.put_nowait(
            peer_pb2.Frame(call_id=call_id, topic=topic, payload=payload)
        )
        self._nudged.set()
        try:
            return await reply
        finally:
            self._reply_by_call_id.pop(call_id, None)

    async def _write(self) -> None:
        """Sends queued frames at once and a heartbeat once a beat."""
        beat_s = nudged_s = 0.0
        while not await self._has_fallen_silent():
            while not self._queue.empty():
                await self._send(self._queue.get_nowait())
            if self._now_s() >= beat_s:
                nudged_s = self._now_s() + _NUDGE_GAP_S
                await self._send(self._beat())
                beat_s = self._next_beat_s()
            is_nudged = await self._wait(beat_s)
            if is_nudged and self.is_neighbour:
                beat_s = min(beat_s, max(self._now_s(), nudged_s))

    async def _has_fallen_silent(self) -> bool:
        if self._silence_s() <= liveness.HEARTBEAT_TIMEOUT_S:
            return False
        # This node may have been paused; what came meanwhile is read first.
        await asyncio.sleep(_SECOND_LOOK_S)
        self.is_silent = self._silence_s() > liveness.HEARTBEAT_TIMEOUT_S
        return self.is_silent

    def _silence_s(self) -> float:
        return self._now_s() - self.heard_s

    def _next_beat_s(self) -> float:
        beat_s = _CALL_LINK_BEAT_S
        if self.is_neighbour:
            beat_s = self._hooks.beat_s()
        jitter = 1 + _BEAT_JITTER * self._random.random()
        return self._now_s() + beat_s * jitter

    async def _wait(self, until_s: float) -> bool:
        """Waits for the next beat; returns whether it was nudged before."""
        try:
            async with asyncio.timeout(max(0.0, until_s - self._now_s())):
                await self._nudged.wait()
        except TimeoutError:
            return False
        self._nudged.clear()
        return True

    def _beat(self) -> Any:
        if not self.is_neighbour:
            return peer_pb2.Frame()
        return peer_pb2.Frame(deltas=self._hooks.deltas(self.peer.node_id))

    async def _send(self, frame: Any) -> None:
        self._count(frame)
        # A peer that takes nothing in blocks the sender by flow control.
        try:
            async with asyncio.timeout(liveness.HEARTBEAT_TIMEOUT_S):
                await self._stream.send_message(frame)
        except TimeoutError:
            self.is_silent = True
            raise

    async def _read(self) -> None:
        """Takes frames in until the stream ends."""
        async for frame in self._stream:
            self.heard_s = self._now_s()
            self._count(frame)
            self._hooks.heard(self.peer)
            for delta in frame.deltas:
                self._merge(delta)
            if frame.is_reply:
                self._take_reply(frame)
            elif frame.call_id:
                self._take_call(frame)

    def _count(self, frame: Any) -> None:
        self.frames_passed += 1
        self.bytes_passed += frame.ByteSize()

    def _merge(self, delta: Any) -> None:
        if len(delta.payload) > MAX_PAYLOAD_BYTES:
            self._state.counters.add("peers.oversized")
        elif self.is_neighbour:
            self._hooks.merge(self.peer.node_id, delta)

    def _take_reply(self, frame: Any) -> None:
        waiting = self._reply_by_call_id.pop(frame.call_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(frame)

    def _take_call(self, frame: Any) -> None:
        """Answers a call in a task of its own, so that reading goes on."""
        if len(frame.payload) > MAX_PAYLOAD_BYTES:
            self._state.counters.add("peers.oversized")
            self._reply(peer_pb2.Frame(call_id=frame.call_id, is_error=True))
        elif len(self._handlers) >= _MAX_HANDLERS:
            self._state.counters.add("peers.calls_refused")
            self._reply(peer_pb2.Frame(call_id=frame.call_id, is_error=True))
        else:
            task = asyncio.get_running_loop().create_task(self._answer(frame))
            self._handlers.add(task)
            task.add_done_callback(self._handlers.discard)

    async def _answer(self, frame: Any) -> None:
        self.used_s = self._now_s()
        self._reply(await self._hooks.answer(self.peer.node_id, frame))

    def _reply(self, frame: Any) -> None:
        frame.is_reply = True
        if self._queue.full():
            self._state.counters.add("peers.replies_dropped")
            return
        self._queue.put_nowait(frame)
        self._nudged.set()

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
