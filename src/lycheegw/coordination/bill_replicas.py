"""Replicas of other nodes' bills, held until the log has them.

A replica holder writes the bills of a node that has been silent for a while
to the log itself. It need not know whether that node is dead, since
duplicate bills do no harm.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib

from lycheegw.coordination import bill_buffer
from lycheegw.coordination import bill_messages
from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.state import errors
from lycheegw.state import node_state

__all__ = [
    "BillReplicas",
    "append_entry",
    "copy_rows",
    "rank_holders",
    "replicate",
]

_TOPIC = "bills"
_SILENCE_TIMEOUT_S = 12.0
_CHECK_INTERVAL_S = 1.0
_LOG_TIMEOUT_S = 3.0
_PEER_TIMEOUT_S = 0.5
_ROWS_PER_ENTRY = 500
_ROWS_PER_MESSAGE = 500
_MAX_ROWS = 97_200
_MAX_HOLDERS_TRIED = 3
_STOP_TIMEOUT_S = 5.0


def rank_holders(
    owner_run: str, peers: interfaces.PeerBus, own: node_state.Identity
) -> Sequence[str]:
    """Returns the nodes that may hold replicas of a run's bills, by preference.

    Other nodes of this node's zone come first, then those of other zones.
    """
    same_zone = rendezvous.order(owner_run, peers.live_nodes(own.zone))
    all_zones = rendezvous.order(owner_run, peers.live_nodes())
    candidates = dict.fromkeys([*same_zone, *all_zones])
    return [node_id for node_id in candidates if node_id != own.node_id]


async def replicate(
    peers: interfaces.PeerBus,
    codec: bill_messages.Codec,
    holder_id: str,
    request: bill_messages.ReplicateRequest,
    timeout_s: float = _PEER_TIMEOUT_S,
) -> bill_messages.ReplicateReply | None:
    """Sends bills to a replica holder; returns its reply, None if none came."""
    payload = codec.encode_request(request)
    try:
        encoded = await peers.call(holder_id, _TOPIC, payload, timeout_s)
    except errors.PeerUnavailableError:
        return None
    return codec.decode_reply(encoded)


async def copy_rows(
    peers: interfaces.PeerBus,
    codec: bill_messages.Codec,
    owner_run: str,
    buffer: bill_buffer.BillBuffer,
    holder_ids: Iterable[str],
) -> bool:
    """Copies all rows to the first node that accepts them; returns success.

    The first message carries no rows and asks which ones that node lacks.
    """
    for holder_id in holder_ids:
        rows: Sequence[bytes] = ()
        next_seq = buffer.next_seq
        while True:
            request = bill_messages.ReplicateRequest(
                owner_run, buffer.first_seq, next_seq, rows
            )
            reply = await replicate(peers, codec, holder_id, request)
            if reply is None or not reply.is_kept:
                break
            if reply.next_seq >= buffer.next_seq:
                return True
            next_seq = reply.next_seq
            rows = buffer.rows(next_seq, _ROWS_PER_MESSAGE)
    return False


async def append_entry(
    state: node_state.NodeState,
    log: interfaces.LogClient,
    entry: interfaces.NewEntry,
) -> bool:
    """Appends an entry of bills; returns whether the log confirmed it."""
    state.counters.add("billing.appends")
    try:
        async with asyncio.timeout(_LOG_TIMEOUT_S):
            await log.append(bill_messages.STREAM, [entry])
    except (errors.LogUnavailableError, TimeoutError):
        state.counters.add("billing.append_failed")
        return False
    return True


class _Replica:
    """Replica of the bills of one run of another node.

    Attributes:
        sender_id: Node that sent the last message about them and holds them
            too: their owner or another replica holder.
        buffer: Bills that are not known to be in the log.
        last_message_s: Monotonic time in seconds of the last message.
    """

    def __init__(self, sender_id: str, logged_seq: int):
        self.sender_id = sender_id
        self.buffer = bill_buffer.BillBuffer(logged_seq)
        self.last_message_s = 0.0


class BillReplicas:
    """Holds other nodes' bills and logs them when those nodes fall silent."""

    def __init__(
        self,
        state: node_state.NodeState,
        log: interfaces.LogClient,
        peers: interfaces.PeerBus,
        codec: bill_messages.Codec,
        max_rows: int = _MAX_ROWS,
    ):
        self._state = state
        self._log = log
        self._peers = peers
        self._codec = codec
        self._max_rows = max_rows
        self._replica_by_run: dict[str, _Replica] = {}
        peers.on_call(_TOPIC, self._handle_call)

    @property
    def row_count(self) -> int:
        """Number of bills held for other nodes."""
        return sum(
            len(replica.buffer) for replica in self._replica_by_run.values()
        )

    async def _handle_call(self, sender: str, payload: bytes) -> bytes:
        request = self._codec.decode_request(payload)
        return self._codec.encode_reply(self._store(sender, request))

    def _store(
        self, sender: str, request: bill_messages.ReplicateRequest
    ) -> bill_messages.ReplicateReply:
        """Stores rows if there is room and no row before them is missing."""
        replica = self._replica_by_run.get(request.owner_run)
        if replica is None:
            replica = _Replica(sender, request.logged_seq)
            self._replica_by_run[request.owner_run] = replica
        replica.sender_id = sender
        replica.last_message_s = self._state.environment.monotonic_s()
        replica.buffer.drop(request.logged_seq)
        has_room = self.row_count + len(request.rows) <= self._max_rows
        if has_room and request.first_seq <= replica.buffer.next_seq:
            for row in request.rows[
                replica.buffer.next_seq - request.first_seq :
            ]:
                replica.buffer.add(row)
        return bill_messages.ReplicateReply(has_room, replica.buffer.next_seq)

    async def run(self) -> None:
        """Writes the bills of silent nodes to the log until cancelled."""
        while True:
            await self._state.environment.sleep(_CHECK_INTERVAL_S)
            await self.check_senders()

    async def check_senders(self) -> None:
        """Writes the bills of each node that may be gone."""
        for owner_run, replica in list(self._replica_by_run.items()):
            if self._may_be_last_copy(replica):
                await self._append_or_copy(owner_run, replica)

    def _may_be_last_copy(self, replica: _Replica) -> bool:
        """Returns whether this node may hold the last copy of some bills."""
        now_s = self._state.environment.monotonic_s()
        is_live = replica.sender_id in self._peers.live_nodes()
        return (
            not is_live or now_s - replica.last_message_s > _SILENCE_TIMEOUT_S
        )

    async def _append_or_copy(self, owner_run: str, replica: _Replica) -> None:
        """Writes a run's bills to the log, else copies them to another node."""
        if len(replica.buffer):
            self._state.counters.add("billing.guard_released")
        if await self._append_rows(owner_run, replica):
            self._replica_by_run.pop(owner_run, None)
        else:
            await self._copy_to_other_node(owner_run, replica)

    async def _copy_to_other_node(
        self, owner_run: str, replica: _Replica
    ) -> None:
        """Copies a run's bills to another node."""
        holders = rank_holders(owner_run, self._peers, self._state.identity)
        await copy_rows(
            self._peers,
            self._codec,
            owner_run,
            replica.buffer,
            holders[:_MAX_HOLDERS_TRIED],
        )

    async def _append_rows(self, owner_run: str, replica: _Replica) -> bool:
        """Writes a run's bills to the log; returns whether it has them all."""
        while len(replica.buffer):
            first_seq = replica.buffer.first_seq
            rows = replica.buffer.rows(first_seq, _ROWS_PER_ENTRY)
            entry = bill_messages.build_entry(owner_run, first_seq, rows)
            if not await append_entry(self._state, self._log, entry):
                return False
            replica.buffer.drop(first_seq + len(rows))
        return True

    async def stop(self) -> None:
        """Writes all bills to the log, else copies them to other nodes.

        Stops trying after `_STOP_TIMEOUT_S`.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self.append_or_copy_all()

    async def append_or_copy_all(self) -> None:
        """Writes all bills to the log, else copies them to other nodes."""
        for owner_run, replica in list(self._replica_by_run.items()):
            await self._append_or_copy(owner_run, replica)
