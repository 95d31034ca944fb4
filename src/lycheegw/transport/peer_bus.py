"""Message bus between the nodes, over bidirectional grpclib streams.

Keeps links to the chosen neighbours, opens links to other nodes for calls,
and routes received calls and deltas to the handlers of their topics.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
from typing import Any

from absl import logging
import grpclib
from grpclib import client
from grpclib import const
from grpclib import server

from lycheegw.coordination import interfaces
from lycheegw.coordination import liveness
from lycheegw.coordination import neighbours
from lycheegw.protocol import gossip_codec
from lycheegw.protocol import peer_auth
from lycheegw.protocol.pb import peer_grpc
from lycheegw.protocol.pb import peer_pb2
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import silence_timeouts
from lycheegw.state import upstreams
from lycheegw.transport import peer_link

__all__ = ["GrpcPeerBus"]

_RECONCILE_INTERVAL_S = 0.5
_CONFIG_CHECK_INTERVAL_S = 0.2
_OPEN_TIMEOUT_S = 1.5
# The heartbeat interval grows with the number of links. Urgent updates are sent
# without waiting for it.
_MIN_HEARTBEAT_S = 0.5
_MAX_HEARTBEAT_S = 1.0
_HEARTBEAT_S_PER_LINK = 0.17
_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 5.0
_MAX_CALL_LINK_IDLE_S = 3.0
_REPLACED_LINK_CLOSE_DELAY_S = 1.0
_NOT_LIVE_RETRY_INTERVAL_S = 2.0
# About how many bytes either end sends until a stream is open.
_OPENING_BYTES = 430
_ACCEPTING_BYTES = 240
_LIVENESS_TOPIC = "liveness"

ConnectListener = Callable[[str], None]


async def _refuse_relayed(stream: Any) -> None:
    """Refuses a relayed request, as this node serves none."""
    raise grpclib.GRPCError(const.Status.UNIMPLEMENTED)


class GrpcPeerBus(peer_grpc.PeerBase):
    """Sends and receives calls and deltas over links to other nodes.

    Attributes:
        address: The bound "ip:port" of the server.
        liveness: Decides which nodes are live.
        choose_neighbours: Returns the neighbours, to which links are kept open.
        link_callbacks: Callbacks of the links.
        is_reachable: Returns whether a node id may be connected to.
        serve_relayed: Serves the request of an authenticated stream.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        listen: str,
        peer_key: str,
        seeds: Sequence[str] = (),
    ):
        host, _, port = listen.rpartition(":")
        self._state = state
        self._seeds = seeds
        self._listen = (host, int(port))
        self._peer_key = peer_key
        self._verifier = peer_auth.IntroductionVerifier(peer_key)
        self._server = server.Server([self])
        self._link_by_id: dict[str, peer_link.Link] = {}
        self._maintain_task_by_id: dict[str, asyncio.Task[None]] = {}
        self._open_task_by_id: dict[str, asyncio.Task[peer_link.Link]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._handler_by_topic: dict[str, interfaces.CallHandler] = {}
        self._source_by_topic: dict[str, interfaces.DeltaSource] = {}
        self._target_by_topic: dict[str, interfaces.DeltaTarget] = {}
        # Topics of which the latest delta could not be encoded.
        self._failed_topics: set[str] = set()
        self._connect_listeners: list[ConnectListener] = []
        self.link_callbacks = peer_link.LinkCallbacks(
            self._deltas_for,
            self._merge,
            self._handle_call,
            self._note_heartbeat,
            self._heartbeat_interval_s,
        )
        self.link_callbacks.min_delta_interval_s = self._min_delta_interval_s
        self._next_not_live_retry_s = 0.0
        # The live nodes by which the slow neighbours were chosen.
        self._live_by_zone: Mapping[str, Sequence[str]] = {}
        self._slow_neighbours: Mapping[str, float] = {}
        self._is_stopping = False
        self.address = listen
        self.choose_neighbours = neighbours.choose
        self.is_reachable: Callable[[str], bool] = lambda _: True
        self.serve_relayed: Callable[[Any], Awaitable[None]] = _refuse_relayed
        self.liveness = liveness.Liveness(state)
        self.on_delta(
            _LIVENESS_TOPIC, self._encode_updates_for, self._merge_updates
        )
        self.on_connect(self.liveness.forget_neighbour)

    async def start(self) -> None:
        """Binds the server's address."""
        await self._server.start(*self._listen)
        bound = self._server._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self.liveness.set_address(self.address)

    async def stop(self) -> None:
        """Closes all links and the server."""
        self._is_stopping = True
        for task in (*self._maintain_task_by_id.values(), *self._tasks):
            task.cancel()
        for link in list(self._link_by_id.values()):
            link.close()
        await asyncio.gather(
            *self._maintain_task_by_id.values(),
            *self._tasks,
            return_exceptions=True,
        )
        self._server.close()
        await self._server.wait_closed()

    def on_call(self, topic: str, handler: interfaces.CallHandler) -> None:
        """Registers the handler of calls on `topic`."""
        self._handler_by_topic[topic] = handler

    def on_delta(
        self,
        topic: str,
        source: interfaces.DeltaSource,
        target: interfaces.DeltaTarget,
    ) -> None:
        """Exchanges deltas on `topic` with each heartbeat."""
        self._source_by_topic[topic] = source
        self._target_by_topic[topic] = target

    def on_connect(self, listener: ConnectListener) -> None:
        """Calls `listener` with the neighbour's id after each new link."""
        self._connect_listeners.append(listener)

    def send_soon(self) -> None:
        """Sends pending deltas soon, before the next regular heartbeat."""
        for link in self._link_by_id.values():
            if link.is_neighbour:
                link.send_soon()

    def apply_host_list(self, entries: Iterable[upstreams.HostEntry]) -> None:
        """Records the nodes of the platform's host list."""
        self.liveness.apply_host_list(entries)

    def live_nodes(self, zone: str | None = None) -> Sequence[str]:
        """Returns the ids of live nodes, this one included, sorted."""
        return self.liveness.live(zone)

    def links(self) -> Sequence[peer_link.Link]:
        """Returns the open links."""
        return list(self._link_by_id.values())

    async def leave(self) -> None:
        """Informs the neighbours that this node takes no new work."""
        self.liveness.leave()
        self.send_soon()

    async def call(
        self, node_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Sends a message to one node; returns its reply.

        Raises:
            errors.PeerUnavailableError: No reply was received; the node may
                have handled the message.
        """
        if node_id == self._state.identity.node_id:
            return await self._handler_by_topic[topic](node_id, payload)
        try:
            async with silence_timeouts.silence_timeout(timeout_s):
                link = await self._link_to(node_id)
                frame = await link.call(topic, payload)
        except peer_link.LINK_ERRORS as error:
            self._state.counters.add("peers.call_failed")
            raise errors.PeerUnavailableError(
                f"call on {topic} to {node_id} failed: {error!r}"
            ) from error
        if frame.is_error:
            raise errors.PeerUnavailableError(
                f"call on {topic} failed at {node_id}"
            )
        return bytes(frame.payload)

    async def run(self) -> None:
        """Keeps links to the chosen neighbours until cancelled."""
        while True:
            if self._seeds and len(self.live_nodes()) == 1:
                await self._join()
            self._reconcile()
            await self._state.environment.sleep(_RECONCILE_INTERVAL_S)

    async def _join(self) -> None:
        """Opens a link to a random seed, if the host list has no other node."""
        address = self._state.environment.random.choice(self._seeds)
        if address != self.address:
            with contextlib.suppress(*peer_link.LINK_ERRORS):
                await self._open_at(address, None, is_neighbour=True)

    async def send_config_changes(self) -> None:
        """Sends deltas soon after a configuration change, until cancelled."""
        offset = self._state.catalog.offset
        while True:
            await self._state.environment.sleep(_CONFIG_CHECK_INTERVAL_S)
            if self._state.catalog.offset != offset:
                offset = self._state.catalog.offset
                self.send_soon()

    def _reconcile(self) -> None:
        """Maintains links to the wanted neighbours and closes surplus links."""
        wanted = set(self._wanted_neighbours())
        for node_id in set(self._maintain_task_by_id) - wanted:
            self._maintain_task_by_id.pop(node_id).cancel()
        for node_id in wanted - set(self._maintain_task_by_id):
            self._maintain_task_by_id[node_id] = self._spawn(
                self._maintain_link(node_id)
            )
        for link in list(self._link_by_id.values()):
            link.check_blocked(_RECONCILE_INTERVAL_S)
            is_surplus = link.is_neighbour and link.peer.node_id not in wanted
            if self._is_idle(link) or (link.is_opener and is_surplus):
                link.close()

    def _wanted_neighbours(self) -> list[str]:
        identity = self._state.identity
        wanted = self.choose_neighbours(
            identity.node_id, identity.zone, self.liveness.live_by_zone()
        )
        now_s = self._state.environment.monotonic_s()
        not_live = self.liveness.listed_not_live()
        if not_live and now_s >= self._next_not_live_retry_s:
            self._next_not_live_retry_s = now_s + _NOT_LIVE_RETRY_INTERVAL_S
            node_id = self._state.environment.random.choice(not_live)
            self._spawn(self._try_to_connect(node_id))
        return wanted

    def _is_idle(self, link: peer_link.Link) -> bool:
        now_s = self._state.environment.monotonic_s()
        is_call_link = link.is_opener and not link.is_neighbour
        return is_call_link and now_s - link.last_call_s > _MAX_CALL_LINK_IDLE_S

    async def _try_to_connect(self, node_id: str) -> None:
        """Opens a link to a node that is not live, as it may be back."""
        with contextlib.suppress(*peer_link.LINK_ERRORS):
            await self._link_to(node_id)

    async def _maintain_link(self, node_id: str) -> None:
        """Keeps a link to one neighbour open until cancelled."""
        failures = 0
        while True:
            link = self._link_by_id.get(node_id)
            if link is not None and link.is_open and link.is_neighbour:
                failures = 0
                await self._state.environment.sleep(_RECONCILE_INTERVAL_S)
                continue
            try:
                await self._open_once(node_id, is_neighbour=True)
                await self._state.environment.sleep(_RECONCILE_INTERVAL_S)
            except peer_link.LINK_ERRORS:
                failures += 1
                self.liveness.note_unreachable(node_id)
                await self._back_off(failures)

    async def _back_off(self, failures: int) -> None:
        max_delay_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**failures)
        jitter = 0.5 + self._state.environment.random.random() / 2
        await self._state.environment.sleep(max_delay_s * jitter)

    async def _link_to(self, node_id: str) -> peer_link.Link:
        """Returns or opens a link; raises one of peer_link.LINK_ERRORS."""
        link = self._link_by_id.get(node_id)
        if link is not None and link.is_open:
            return link
        return await self._open_once(node_id, is_neighbour=False)

    async def _open_once(
        self, node_id: str, is_neighbour: bool
    ) -> peer_link.Link:
        """Opens a link, or waits for a concurrent attempt to open it."""
        open_task = self._open_task_by_id.get(node_id)
        if open_task is None:
            open_task = self._spawn(self._open(node_id, is_neighbour))
            self._open_task_by_id[node_id] = open_task
            open_task.add_done_callback(
                lambda _: self._open_task_by_id.pop(node_id, None)
            )
        return await asyncio.shield(open_task)

    async def _open(self, node_id: str, is_neighbour: bool) -> peer_link.Link:
        """Opens a link to a known node; raises one of peer_link.LINK_ERRORS."""
        peer = self.liveness.peer(node_id)
        if peer is None or not self.is_reachable(node_id):
            raise OSError(f"node {node_id} is unknown or unreachable")
        return await self._open_at(peer.address, node_id, is_neighbour)

    async def _open_at(
        self, address: str, node_id: str | None, is_neighbour: bool
    ) -> peer_link.Link:
        """Opens a link to `address`; raises one of peer_link.LINK_ERRORS."""
        host, _, port = address.rpartition(":")
        channel = client.Channel(host, int(port))
        try:
            async with silence_timeouts.silence_timeout(_OPEN_TIMEOUT_S):
                peer, stream = await self._handshake(channel, is_neighbour)
            if peer.node_id != (node_id or peer.node_id):
                raise ConnectionError(
                    f"{address} is node {peer.node_id}, expected {node_id}"
                )
        except BaseException:
            channel.close()
            raise
        link = self._add_link(
            peer._replace(address=address), stream, is_neighbour, True
        )
        self._spawn(self._run_and_close(link, channel))
        return self._link_by_id[peer.node_id]

    def sign_introduction(
        self, is_neighbour: bool = False
    ) -> tuple[str, dict[str, str]]:
        """Returns the nonce and the metadata with which to open a stream."""
        nonce = self._state.environment.new_id()
        own = self.liveness.set_address(self.address)
        return nonce, peer_auth.sign_introduction(
            self._peer_key,
            peer_auth.Introduction(own, is_neighbour, nonce),
            self._state.environment.wall_s(),
        )

    def verify_acceptance(
        self, nonce: str, metadata: Mapping[str, object]
    ) -> liveness.Peer | None:
        """Returns the peer that accepted a stream, None if it is a stranger."""
        peer = peer_auth.verify_acceptance(self._peer_key, nonce, metadata)
        if peer is None:
            self._state.counters.add("peers.strangers")
        return peer

    async def _handshake(
        self, channel: client.Channel, is_neighbour: bool
    ) -> tuple[liveness.Peer, Any]:
        """Opens a stream; returns the authenticated peer and the stream."""
        nonce, metadata = self.sign_introduction(is_neighbour)
        stream = peer_grpc.PeerStub(channel).Exchange.open(metadata=metadata)
        await stream.__aenter__()
        await stream.send_request()
        await stream.recv_initial_metadata()
        peer = self.verify_acceptance(nonce, stream.initial_metadata or {})
        if peer is None:
            raise ConnectionError("the peer failed to authenticate")
        peer_link.limit_message_size(stream)
        return peer, stream

    async def _run_and_close(
        self, link: peer_link.Link, channel: client.Channel
    ) -> None:
        try:
            await self._run_link(link)
        finally:
            channel.close()

    def _add_link(
        self,
        peer: liveness.Peer,
        stream: Any,
        is_neighbour: bool,
        is_opener: bool,
    ) -> peer_link.Link:
        """Returns a link for a new stream; it may replace a former one."""
        link = peer_link.Link(
            self._state,
            peer,
            stream,
            self.link_callbacks,
            is_neighbour,
            is_opener,
        )
        self._state.zone_traffic.add(
            peer.zone,
            "link",
            _OPENING_BYTES if is_opener else _ACCEPTING_BYTES,
        )
        former = self._link_by_id.get(peer.node_id)
        if former is None or self._is_better(link, former):
            self._link_by_id[peer.node_id] = link
            if former is not None:
                # Pending calls can still receive their replies.
                loop = asyncio.get_running_loop()
                loop.call_later(_REPLACED_LINK_CLOSE_DELAY_S, former.close)
        if is_neighbour:
            for listener in self._connect_listeners:
                listener(peer.node_id)
        self.liveness.note_heartbeat(peer)
        return link

    def _is_better(self, link: peer_link.Link, former: peer_link.Link) -> bool:
        """Returns whether a new link replaces a former one to the same node.

        If both nodes open a link at the same time, both keep the link that
        was opened by the node with the lower id.
        """
        if link.is_neighbour != former.is_neighbour:
            return link.is_neighbour
        if link.is_opener == former.is_opener:
            return True
        own_is_lower = self._state.identity.node_id < link.peer.node_id
        return link.is_opener == own_is_lower

    async def _run_link(self, link: peer_link.Link) -> None:
        node_id = link.peer.node_id
        try:
            if self._link_by_id.get(node_id) is link:
                await link.run()
        finally:
            if self._link_by_id.get(node_id) is link:
                del self._link_by_id[node_id]
            if link.is_silent:
                self._state.counters.add("peers.silent_links")
                self.liveness.accuse(node_id)
            elif link.is_neighbour and not (
                link.is_opener or self._is_stopping
            ):
                self._spawn(self._reconnect_if_lost(node_id))

    async def _reconnect_if_lost(self, node_id: str) -> None:
        """Connects to a neighbour whose link ended, unless it reconnects."""
        await self._state.environment.sleep(liveness.HEARTBEAT_TIMEOUT_S)
        link = self._link_by_id.get(node_id)
        if link is not None and link.is_open:
            return
        try:
            await self._open_once(node_id, is_neighbour=False)
        except peer_link.LINK_ERRORS:
            self.liveness.note_unreachable(node_id)

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Authenticates and serves a stream that another node opened."""
        introduction = await self._accept(stream)
        link = self._add_link(
            introduction.peer, stream, introduction.is_neighbour, False
        )
        await self._run_link(link)
        with contextlib.suppress(*peer_link.LINK_ERRORS):
            await stream.cancel()

    async def Relay(self, stream: Any) -> None:  # noqa: N802
        """Authenticates another node and serves the request that it relays."""
        await self._accept(stream)
        await self.serve_relayed(stream)

    async def _accept(self, stream: Any) -> peer_auth.Introduction:
        """Authenticates the node that opened a stream."""
        introduction = self._verifier.verify(
            stream.metadata, self._state.environment.wall_s()
        )
        if introduction is None:
            self._state.counters.add("peers.strangers")
            raise grpclib.GRPCError(const.Status.UNAUTHENTICATED)
        await stream.send_initial_metadata(
            metadata=peer_auth.sign_acceptance(
                self._peer_key,
                self.liveness.set_address(self.address),
                introduction.nonce,
            )
        )
        peer_link.limit_message_size(stream)
        return introduction

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if not isinstance(task.exception(), peer_link.LINK_ERRORS):
            logging.error(
                "background task of the peer bus failed",
                exc_info=task.exception(),
            )

    def _min_delta_interval_s(self, node_id: str) -> float:
        live_by_zone = self.liveness.live_by_zone()
        if live_by_zone is not self._live_by_zone:
            self._live_by_zone = live_by_zone
            identity = self._state.identity
            self._slow_neighbours = neighbours.slow_neighbours(
                identity.node_id, identity.zone, live_by_zone
            )
        return self._slow_neighbours.get(node_id, 0.0)

    def _heartbeat_interval_s(self) -> float:
        interval_s = _HEARTBEAT_S_PER_LINK * len(self._link_by_id)
        return min(_MAX_HEARTBEAT_S, max(_MIN_HEARTBEAT_S, interval_s))

    def _note_heartbeat(self, peer: liveness.Peer) -> None:
        self.liveness.note_heartbeat(peer)

    def _deltas_for(self, node_id: str) -> list[Any]:
        """Returns the pending deltas of all topics for a neighbour."""
        deltas = []
        for topic, source in self._source_by_topic.items():
            payload = self._encode_delta(topic, source, node_id)
            if payload is not None:
                deltas.append(peer_pb2.Delta(topic=topic, payload=payload))
        return deltas

    def _encode_delta(
        self, topic: str, source: interfaces.DeltaSource, node_id: str
    ) -> bytes | None:
        """Returns a delta; None if there is none or it can't be encoded."""
        try:
            payload = source(node_id)
        except Exception:
            # The deltas of other topics must still be sent.
            self._state.counters.add("peers.bad_source")
            if topic not in self._failed_topics:
                self._failed_topics.add(topic)
                logging.exception(
                    "encoding a delta on %s for %s failed", topic, node_id
                )
            return None
        self._failed_topics.discard(topic)
        return payload

    def _merge(self, node_id: str, delta: Any) -> None:
        target = self._target_by_topic.get(delta.topic)
        if target is None:
            return
        try:
            target(node_id, delta.payload)
        except Exception:
            logging.exception(
                "merging a delta on %s from %s failed", delta.topic, node_id
            )
            self._state.counters.add("peers.bad_delta")

    async def _handle_call(self, node_id: str, frame: Any) -> Any:
        try:
            handler = self._handler_by_topic[frame.topic]
            payload = await handler(node_id, frame.payload)
        except Exception:
            logging.exception(
                "handling a call on %s from %s failed", frame.topic, node_id
            )
            return peer_pb2.Frame(call_id=frame.call_id, is_error=True)
        return peer_pb2.Frame(call_id=frame.call_id, payload=payload)

    def _encode_updates_for(self, node_id: str) -> bytes | None:
        updates = self.liveness.updates_for(node_id)
        if not updates:
            return None
        return gossip_codec.encode_node_updates(updates)

    def _merge_updates(self, node_id: str, payload: bytes) -> None:
        self.liveness.merge(node_id, gossip_codec.decode_node_updates(payload))
