"""Coordinators commit key transitions to the log for other nodes.

Any node can coordinate any stream of keys. The nodes agree on one coordinator
per stream only so that its appends and reads are shared. Safety depends on
the log alone, so two coordinators of one stream do no harm.
"""

import asyncio
from collections.abc import Sequence

from lycheegw.coordination import interfaces
from lycheegw.coordination import key_messages
from lycheegw.coordination import key_stream
from lycheegw.coordination import rendezvous
from lycheegw.state import node_state

__all__ = [
    "MAX_APPENDS_PER_S",
    "TOPIC",
    "KeyCoordinator",
    "rank_coordinators",
    "stream_index",
]

TOPIC = "keys"

_STREAM_COUNT = 64
# With one coordinator per stream; a temporary second one adds its own appends.
MAX_APPENDS_PER_S = _STREAM_COUNT / key_stream.APPEND_INTERVAL_S
_REFRESH_INTERVAL_S = 10.0


def stream_index(key: bytes) -> int:
    """Returns the index of the stream that the digest of a key belongs to."""
    return key[0] % _STREAM_COUNT


def rank_coordinators(index: int, peers: interfaces.PeerBus) -> Sequence[str]:
    """Returns the live nodes, the preferred coordinators of a stream first."""
    return rendezvous.order(f"keys-{index}", peers.live_nodes())


class KeyCoordinator:
    """Commits transitions for the streams that this node coordinates.

    Other nodes may submit to it for any stream, so it also holds streams that
    it was asked about and doesn't coordinate.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        log: interfaces.LogClient,
        peers: interfaces.PeerBus,
        codec: key_messages.Codec,
    ):
        self._state = state
        self._log = log
        self._peers = peers
        self._codec = codec
        self._stream_by_index: dict[int, key_stream.KeyStream] = {}
        peers.on_call(TOPIC, self._handle_call)

    def _open_stream(self, index: int) -> key_stream.KeyStream:
        stream = self._stream_by_index.get(index)
        if stream is None:
            stream = key_stream.KeyStream(
                f"keys-{index:02}", self._state, self._log, self._codec
            )
            self._stream_by_index[index] = stream
        return stream

    async def submit(
        self, index: int, transitions: Sequence[key_messages.KeyTransition]
    ) -> Sequence[key_messages.CommitReply]:
        """Commits transitions of one stream; returns a reply for each."""
        stream = self._open_stream(index)
        replies = await stream.submit(transitions)
        return [
            await _with_stored_result(stream, transition, reply)
            for transition, reply in zip(transitions, replies, strict=True)
        ]

    async def _handle_call(self, sender: str, payload: bytes) -> bytes:
        del sender
        transitions = self._codec.decode_transitions(payload)
        replies = await self.submit(
            stream_index(transitions[0].key), transitions
        )
        return self._codec.encode_commit_replies(replies)

    async def run(self) -> None:
        """Keeps the key tables of this node's streams current until cancelled.

        A new coordinator then has read its stream before most callers ask.
        """
        while True:
            await self._state.environment.sleep(_REFRESH_INTERVAL_S)
            for index in range(_STREAM_COUNT):
                await self._refresh(index)

    async def _refresh(self, index: int) -> None:
        stream = self._stream_by_index.get(index)
        if rank_coordinators(index, self._peers)[0] == self._node_id:
            await self._open_stream(index).submit([])
        elif stream is not None and stream.is_idle:
            del self._stream_by_index[index]

    @property
    def _node_id(self) -> str:
        return self._state.identity.node_id

    async def stop(self) -> None:
        """Stops the writer tasks."""
        streams = self._stream_by_index.values()
        await asyncio.gather(*(stream.stop() for stream in streams))


async def _with_stored_result(
    stream: key_stream.KeyStream,
    transition: key_messages.KeyTransition,
    reply: key_messages.CommitReply,
) -> key_messages.CommitReply:
    """Adds the stored answer if another claim has completed the key."""
    status = reply.status
    is_claim = transition.kind is key_messages.TransitionKind.CLAIM
    if not is_claim or status.state is not key_messages.KeyState.DONE:
        return reply
    result = await stream.stored_result(transition.key)
    return reply._replace(status=status._replace(result=result))
