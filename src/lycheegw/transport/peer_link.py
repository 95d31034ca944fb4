"""Link between two nodes over one bidirectional stream, used by both ends.

Sends heartbeats, deltas of topics, and calls with their replies. It ends if
nothing is received for the heartbeat timeout.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
import random
from typing import Any

from absl import logging
from grpclib import exceptions

from lycheegw.coordination import liveness
from lycheegw.protocol.pb import peer_pb2
from lycheegw.state import node_state

__all__ = [
    "LINK_ERRORS",
    "MAX_FRAME_BYTES",
    "MAX_PAYLOAD_BYTES",
    "Link",
    "LinkCallbacks",
    "limit_message_size",
]

MAX_PAYLOAD_BYTES = 256 * 1024
MAX_FRAME_BYTES = 1024 * 1024
_CALL_LINK_HEARTBEAT_S = 1.0
_SILENCE_RECHECK_S = 0.1
_MAX_QUEUED_FRAMES = 256
_MAX_CONCURRENT_CALLS = 64
_HEARTBEAT_JITTER = 0.2
# Bytes that HTTP/2 and gRPC add to a message.
_MESSAGE_HEADER_BYTES = 14
# Minimum time between two heartbeats that were requested early.
_MIN_EARLY_HEARTBEAT_S = 0.1

LINK_ERRORS = (
    OSError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
)


class LinkCallbacks:
    """Callbacks of a link to its owner.

    Attributes:
        deltas_for: Returns the deltas to send to a neighbour.
        merge_delta: Merges a delta received from a neighbour.
        handle_call: Handles a call; returns the reply frame.
        note_heartbeat: Records that a frame was received from a peer.
        heartbeat_interval_s: Returns the heartbeat interval in seconds.
        min_delta_interval_s: Returns the minimum time between two heartbeats
            with deltas to a neighbour, by its id; 0 for no minimum.
    """

    def __init__(
        self,
        deltas_for: Callable[[str], list[Any]],
        merge_delta: Callable[[str, Any], None],
        handle_call: Callable[[str, Any], Awaitable[Any]],
        note_heartbeat: Callable[[liveness.Peer], None],
        heartbeat_interval_s: Callable[[], float],
    ):
        self.heartbeat_interval_s = heartbeat_interval_s
        self.deltas_for = deltas_for
        self.merge_delta = merge_delta
        self.handle_call = handle_call
        self.note_heartbeat = note_heartbeat
        self.min_delta_interval_s: Callable[[str], float] = lambda _: 0.0


def limit_message_size(stream: Any) -> None:
    """Makes a grpclib stream fail on a message above MAX_FRAME_BYTES.

    grpclib reads a complete message before its size can be checked, so the
    function that reads the bytes is replaced by one that checks.
    """
    inner = stream._stream
    receive = inner.recv_data

    async def receive_limited(size: int) -> bytes:
        if size > MAX_FRAME_BYTES:
            raise exceptions.ProtocolError(
                f"message of {size} bytes, the limit is {MAX_FRAME_BYTES}"
            )
        return bytes(await receive(size))

    inner.recv_data = receive_limited


class Link:
    """A stream to another node, with a writer and a reader.

    Attributes:
        peer: The other node.
        is_neighbour: Whether heartbeats carry deltas.
        is_opener: Whether this node opened it.
        is_open: Whether frames can be sent.
        is_silent: Whether it ended because the peer was unresponsive.
        last_call_s: Monotonic time of the last call.
        last_received_s: Monotonic time of the last frame received.
        bytes_transferred: Bytes of frames sent and received, without headers.
        frames_transferred: Number of frames sent and received.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        peer: liveness.Peer,
        stream: Any,
        callbacks: LinkCallbacks,
        is_neighbour: bool,
        is_opener: bool,
    ):
        self.peer = peer
        self.is_neighbour = is_neighbour
        self.is_opener = is_opener
        self.is_open = True
        self.is_silent = False
        self.bytes_transferred = 0
        self.frames_transferred = 0
        self._state = state
        self._stream = stream
        self._callbacks = callbacks
        self.last_call_s = self.last_received_s = self._now_s()
        self._queue: asyncio.Queue[Any] = asyncio.Queue(_MAX_QUEUED_FRAMES)
        self._reply_by_call_id: dict[int, asyncio.Future[Any]] = {}
        self._last_call_id = 0
        self._call_tasks: set[asyncio.Task[None]] = set()
        # The writer waits for this future until a monotonic second.
        self._waiter: asyncio.Future[None] | None = None
        self._wake_timer: asyncio.TimerHandle | None = None
        self._wake_s = math.inf
        self._is_early_requested = False
        self._earliest_heartbeat_s = 0.0
        # Deltas that may wait do so from the beginning.
        self._deltas_sent_s = self._now_s()
        # The send that lasts, if any, and how many checks it has outlasted.
        self._is_sending = False
        self._blocked_checks = 0
        # A separate generator: the number of heartbeats doesn't affect other
        # random choices.
        self._random = random.Random(peer.node_id)
        self._writer: asyncio.Task[None] | None = None
        self._reader: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Sends and receives frames until the stream ends or is silent."""
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
        """Ends the link; pending calls fail."""
        self.is_open = False
        for task in (self._reader, self._writer, *self._call_tasks):
            if task is not None:
                task.cancel()
        for pending in self._reply_by_call_id.values():
            if not pending.done():
                pending.set_exception(ConnectionResetError("link closed"))
        self._reply_by_call_id.clear()

    def send_soon(self) -> None:
        """Requests that the pending deltas are sent, if there are any."""
        self._is_early_requested = True
        self._wake_writer_by(self._earliest_heartbeat_s)

    def check_blocked(self, interval_s: float) -> None:
        """Ends the link if a send lasts for longer than the timeout.

        Flow control blocks a send if the peer doesn't read. Checks are counted
        rather than seconds, as a process that was suspended may have sent.

        Args:
            interval_s: Interval at which this is called.
        """
        if not self._is_sending:
            self._blocked_checks = 0
            return
        self._blocked_checks += 1
        if self._blocked_checks * interval_s > liveness.HEARTBEAT_TIMEOUT_S:
            self.is_silent = True
            self.close()

    async def call(self, topic: str, payload: bytes) -> Any:
        """Returns the reply frame; raises one of LINK_ERRORS."""
        if not self.is_open or self._queue.full():
            raise ConnectionError(
                f"link to {self.peer.node_id} is closed or its queue is full"
            )
        self.last_call_s = self._now_s()
        self._last_call_id += 1
        call_id = self._last_call_id
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_call_id[call_id] = reply
        self._put(
            peer_pb2.Frame(call_id=call_id, topic=topic, payload=payload),
            f"call.{topic}",
        )
        try:
            return await reply
        finally:
            self._reply_by_call_id.pop(call_id, None)

    async def _write(self) -> None:
        """Sends queued frames at once, and heartbeats at their interval."""
        heartbeat_s = 0.0
        while not await self._check_silence():
            while not self._queue.empty():
                await self._send(self._queue.get_nowait())
            is_regular = self._now_s() >= heartbeat_s
            if is_regular or self._is_early_heartbeat_due():
                frames = [peer_pb2.Frame()]
                wait_s = self._delta_wait_s()
                self._earliest_heartbeat_s = self._now_s() + max(
                    wait_s, _MIN_EARLY_HEARTBEAT_S
                )
                if not wait_s:
                    self._is_early_requested = False
                    self._deltas_sent_s = self._now_s()
                    frames = self._heartbeat_frames()
                # An early heartbeat is of use only for its deltas.
                if is_regular or frames[0].deltas:
                    for frame in frames:
                        self._count_deltas(frame)
                        await self._send(frame)
                    heartbeat_s = self._next_heartbeat_s()
            until_s = heartbeat_s
            if self._is_early_requested and self.is_neighbour:
                until_s = min(until_s, self._earliest_heartbeat_s)
            await self._wait_until(until_s)

    def _is_early_heartbeat_due(self) -> bool:
        return (
            self._is_early_requested
            and self.is_neighbour
            and self._now_s() >= self._earliest_heartbeat_s
        )

    def _delta_wait_s(self) -> float:
        """Returns the seconds until deltas may be sent, 0 if they may now."""
        interval_s = self._callbacks.min_delta_interval_s(self.peer.node_id)
        return max(0.0, self._deltas_sent_s + interval_s - self._now_s())

    async def _check_silence(self) -> bool:
        if self._silence_s() <= liveness.HEARTBEAT_TIMEOUT_S:
            return False
        # This process may have been paused; read what arrived meanwhile first.
        await asyncio.sleep(_SILENCE_RECHECK_S)
        self.is_silent = self._silence_s() > liveness.HEARTBEAT_TIMEOUT_S
        return self.is_silent

    def _silence_s(self) -> float:
        return self._now_s() - self.last_received_s

    def _next_heartbeat_s(self) -> float:
        interval_s = _CALL_LINK_HEARTBEAT_S
        if self.is_neighbour:
            interval_s = self._callbacks.heartbeat_interval_s()
        jitter = 1 + _HEARTBEAT_JITTER * self._random.random()
        return self._now_s() + interval_s * jitter

    async def _wait_until(self, until_s: float) -> None:
        """Waits until `until_s`, or until the writer is woken before that."""
        if not self._queue.empty():
            return
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._wake_s = math.inf
        self._wake_writer_by(until_s)
        try:
            await self._waiter
        finally:
            self._waiter = None
            if self._wake_timer is not None:
                self._wake_timer.cancel()
                self._wake_timer = None

    def _wake_writer_by(self, at_s: float) -> None:
        """Ends the writer's wait at a monotonic second, or before."""
        if self._waiter is None or at_s >= self._wake_s:
            return
        self._wake_s = at_s
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        delay_s = max(0.0, at_s - self._now_s())
        self._wake_timer = asyncio.get_running_loop().call_later(
            delay_s, self._wake_writer
        )

    def _wake_writer(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _heartbeat_frames(self) -> list[Any]:
        """Returns a heartbeat, in several frames if its deltas are long."""
        frames = [peer_pb2.Frame()]
        if not self.is_neighbour:
            return frames
        size = 0
        for delta in self._callbacks.deltas_for(self.peer.node_id):
            if len(delta.payload) > MAX_PAYLOAD_BYTES:
                # Its receiver would drop it. The component counts it as sent.
                self._note_oversized("not sending to", delta)
                continue
            if size and size + len(delta.payload) > MAX_PAYLOAD_BYTES:
                frames.append(peer_pb2.Frame())
                size = 0
            frames[-1].deltas.append(delta)
            size += len(delta.payload)
        return frames

    def _note_oversized(self, action: str, delta: Any) -> None:
        self._state.counters.add("peers.oversized")
        logging.error(
            "%s %s: update on %s has %d bytes, the limit is %d",
            action,
            self.peer.node_id,
            delta.topic,
            len(delta.payload),
            MAX_PAYLOAD_BYTES,
        )

    async def _send(self, frame: Any) -> None:
        self._count(frame)
        self._is_sending = True
        try:
            await self._stream.send_message(frame)
        finally:
            self._is_sending = False
            self._blocked_checks = 0

    async def _read(self) -> None:
        """Handles received frames until the stream ends."""
        async for frame in self._stream:
            self.last_received_s = self._now_s()
            self._count(frame)
            self._callbacks.note_heartbeat(self.peer)
            for delta in frame.deltas:
                self._merge(delta)
            if frame.is_reply:
                self._handle_reply(frame)
            elif frame.call_id:
                self._handle_call(frame)

    def _put(self, frame: Any, purpose: str) -> None:
        """Queues a frame; the writer sends it at once."""
        self._state.zone_traffic.add(
            self.peer.zone, purpose, frame.ByteSize() + _MESSAGE_HEADER_BYTES
        )
        self._queue.put_nowait(frame)
        self._wake_writer_by(0.0)

    def _count_deltas(self, frame: Any) -> None:
        """Counts a heartbeat and its deltas, if they leave the zone."""
        traffic = self._state.zone_traffic
        if not traffic.is_crossing(self.peer.zone):
            return
        for delta in frame.deltas:
            traffic.add(
                self.peer.zone, f"delta.{delta.topic}", delta.ByteSize()
            )
        traffic.add(self.peer.zone, "heartbeat", _MESSAGE_HEADER_BYTES)

    def _count(self, frame: Any) -> None:
        self.frames_transferred += 1
        self.bytes_transferred += frame.ByteSize()

    def _merge(self, delta: Any) -> None:
        if len(delta.payload) > MAX_PAYLOAD_BYTES:
            self._note_oversized("ignoring from", delta)
        elif self.is_neighbour:
            self._callbacks.merge_delta(self.peer.node_id, delta)

    def _handle_reply(self, frame: Any) -> None:
        pending = self._reply_by_call_id.pop(frame.call_id, None)
        if pending is not None and not pending.done():
            pending.set_result(frame)

    def _handle_call(self, frame: Any) -> None:
        """Handles a call in a separate task, so that reading continues."""
        if len(frame.payload) > MAX_PAYLOAD_BYTES:
            self._state.counters.add("peers.oversized")
            self._reply(frame, peer_pb2.Frame(is_error=True))
        elif len(self._call_tasks) >= _MAX_CONCURRENT_CALLS:
            self._state.counters.add("peers.calls_refused")
            self._reply(frame, peer_pb2.Frame(is_error=True))
        else:
            task = asyncio.get_running_loop().create_task(
                self._run_handler(frame)
            )
            self._call_tasks.add(task)
            task.add_done_callback(self._call_tasks.discard)

    async def _run_handler(self, frame: Any) -> None:
        self.last_call_s = self._now_s()
        self._reply(
            frame, await self._callbacks.handle_call(self.peer.node_id, frame)
        )

    def _reply(self, call: Any, frame: Any) -> None:
        frame.call_id = call.call_id
        frame.is_reply = True
        if self._queue.full():
            self._state.counters.add("peers.replies_dropped")
            return
        self._put(frame, f"reply.{call.topic}")

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
