"""The bus between the nodes, over grpclib streams that both ends speak on."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
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
from lycheegw.protocol import knowledge_codec
from lycheegw.protocol import peer_auth
from lycheegw.protocol.pb import peer_grpc
from lycheegw.protocol.pb import peer_pb2
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import upstreams
from lycheegw.transport import peer_link

__all__ = ["PeerEdge"]

_RECONCILE_S = 0.5
_WATCH_S = 0.2
_OPEN_TIMEOUT_S = 1.5
# More links beat more slowly; news that can't wait does not wait for a beat.
_MIN_BEAT_S = 0.5
_MAX_BEAT_S = 1.0
_BEAT_S_PER_LINK = 0.17
_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 5.0
_IDLE_S = 3.0
_LINGER_S = 1.0
_RETRY_DOUBTFUL_S = 2.0
_LIVENESS_TOPIC = "liveness"

ConnectListener = Callable[[str], None]


class PeerEdge(peer_grpc.PeerBase):
    """The bus between the nodes.

    Attributes:
        address: The bound "ip:port" of the server.
        liveness: Which nodes are live.
        choose: Returns the nodes to keep a stream to.
        hooks: What the links ask of this bus.
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
        self._verifier = peer_auth.Verifier(peer_key)
        self._server = server.Server([self])
        self._link_by_id: dict[str, peer_link.Link] = {}
        self._keeper_by_id: dict[str, asyncio.Task[None]] = {}
        self._opening_by_id: dict[str, asyncio.Task[peer_link.Link]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._handler_by_topic: dict[str, interfaces.CallHandler] = {}
        self._source_by_topic: dict[str, interfaces.DeltaSource] = {}
        self._target_by_topic: dict[str, interfaces.DeltaTarget] = {}
        self._connect_listeners: list[ConnectListener] = []
        self.hooks = peer_link.LinkHooks(
            self._deltas,
            self._merge,
            self._answer,
            self._heard,
            self._beat_s,
        )
        self._retry_doubtful_s = 0.0
        self._is_stopping = False
        self.address = listen
        self.choose = neighbours.choose
        self.is_reachable: Callable[[str], bool] = lambda _: True
        self.liveness = liveness.Liveness(state)
        self.on_delta(_LIVENESS_TOPIC, self._rumours_for, self._merge_rumours)
        self.on_connect(self.liveness.forget_neighbour)

    async def start(self) -> None:
        """Binds the server."""
        await self._server.start(*self._listen)
        bound = self._server._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self.liveness.set_address(self.address)

    async def stop(self) -> None:
        """Closes all links and the server."""
        self._is_stopping = True
        for task in (*self._keeper_by_id.values(), *self._tasks):
            task.cancel()
        for link in list(self._link_by_id.values()):
            link.close()
        await asyncio.gather(
            *self._keeper_by_id.values(), *self._tasks, return_exceptions=True
        )
        self._server.close()
        await self._server.wait_closed()

    def on_call(self, topic: str, handler: interfaces.CallHandler) -> None:
        """Answers calls on `topic` by `handler`."""
        self._handler_by_topic[topic] = handler

    def on_delta(
        self,
        topic: str,
        source: interfaces.DeltaSource,
        target: interfaces.DeltaTarget,
    ) -> None:
        """Exchanges deltas on `topic` once a beat."""
        self._source_by_topic[topic] = source
        self._target_by_topic[topic] = target

    def on_connect(self, listener: ConnectListener) -> None:
        """Calls `listener` with the id of each neighbour newly linked."""
        self._connect_listeners.append(listener)

    def nudge(self) -> None:
        """Lets news go out now, not with the next beat."""
        for link in self._link_by_id.values():
            if link.is_neighbour:
                link.nudge()

    def take_entries(self, entries: Iterable[upstreams.HostEntry]) -> None:
        """Takes over the nodes of the platform's list."""
        self.liveness.take_entries(entries)

    def live_nodes(self, zone: str | None = None) -> Sequence[str]:
        """Returns ids of nodes held live, this one included, sorted."""
        return self.liveness.live(zone)

    def links(self) -> Sequence[peer_link.Link]:
        """Returns the open links."""
        return list(self._link_by_id.values())

    async def leave(self) -> None:
        """Tells the neighbours that this node takes no new work."""
        self.liveness.leave()
        self.nudge()

    async def call(
        self, node_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Sends a message to one node; returns its reply.

        Raises:
            errors.PeerUnavailableError: No reply came; it may have been seen.
        """
        if node_id == self._state.identity.node_id:
            return await self._handler_by_topic[topic](node_id, payload)
        try:
            async with asyncio.timeout(timeout_s):
                link = await self._usable_link(node_id)
                frame = await link.call(topic, payload)
        except peer_link.FAILURES as error:
            self._state.counters.add("peers.call_failed")
            raise errors.PeerUnavailableError(
                f"{topic} to {node_id}: {error!r}"
            ) from error
        if frame.is_error:
            raise errors.PeerUnavailableError(f"{topic} failed at {node_id}")
        return bytes(frame.payload)

    async def run(self) -> None:
        """Keeps streams to the chosen neighbours until cancelled."""
        while True:
            if self._seeds and len(self.live_nodes()) == 1:
                await self._join()
            self._reconcile()
            await self._state.environment.sleep(_RECONCILE_S)

    async def _join(self) -> None:
        """Links to a seed, for a start without the platform's list."""
        address = self._state.environment.random.choice(self._seeds)
        if address != self.address:
            with contextlib.suppress(*peer_link.FAILURES):
                await self._open_at(address, None, is_neighbour=True)

    async def watch(self) -> None:
        """Lets a new configuration go on at once, until cancelled."""
        offset = self._state.catalog.offset
        while True:
            await self._state.environment.sleep(_WATCH_S)
            if self._state.catalog.offset != offset:
                offset = self._state.catalog.offset
                self.nudge()

    def _reconcile(self) -> None:
        """Starts and ends keepers as the choice of neighbours changes."""
        wanted = set(self._wanted())
        for node_id in set(self._keeper_by_id) - wanted:
            self._keeper_by_id.pop(node_id).cancel()
        for node_id in wanted - set(self._keeper_by_id):
            self._keeper_by_id[node_id] = self._spawn(self._keep(node_id))
        for link in list(self._link_by_id.values()):
            is_surplus = link.is_neighbour and link.peer.node_id not in wanted
            if self._is_idle(link) or (link.is_opener and is_surplus):
                link.close()

    def _wanted(self) -> list[str]:
        identity = self._state.identity
        wanted = self.choose(
            identity.node_id, identity.zone, self.liveness.live_by_zone()
        )
        now_s = self._state.environment.monotonic_s()
        doubtful = self.liveness.listed_not_live()
        if doubtful and now_s >= self._retry_doubtful_s:
            self._retry_doubtful_s = now_s + _RETRY_DOUBTFUL_S
            node_id = self._state.environment.random.choice(doubtful)
            self._spawn(self._try(node_id))
        return wanted

    def _is_idle(self, link: peer_link.Link) -> bool:
        now_s = self._state.environment.monotonic_s()
        is_call_link = link.is_opener and not link.is_neighbour
        return is_call_link and now_s - link.used_s > _IDLE_S

    async def _try(self, node_id: str) -> None:
        """Opens a link to a node that may be back; it then tells of itself."""
        with contextlib.suppress(*peer_link.FAILURES):
            await self._usable_link(node_id)

    async def _keep(self, node_id: str) -> None:
        """Keeps one neighbour linked until cancelled."""
        failures = 0
        while True:
            link = self._link_by_id.get(node_id)
            if link is not None and link.is_open and link.is_neighbour:
                failures = 0
                await self._state.environment.sleep(_RECONCILE_S)
                continue
            try:
                await self._open_shared(node_id, is_neighbour=True)
                await self._state.environment.sleep(_RECONCILE_S)
            except peer_link.FAILURES:
                failures += 1
                self.liveness.note_unreachable(node_id)
                await self._back_off(failures)

    async def _back_off(self, failures: int) -> None:
        bound_s = min(_MAX_BACKOFF_S, _BACKOFF_S * 2**failures)
        jitter = 0.5 + self._state.environment.random.random() / 2
        await self._state.environment.sleep(bound_s * jitter)

    async def _usable_link(self, node_id: str) -> peer_link.Link:
        """Returns an open link; raises one of peer_link.FAILURES."""
        link = self._link_by_id.get(node_id)
        if link is not None and link.is_open:
            return link
        return await self._open_shared(node_id, is_neighbour=False)

    async def _open_shared(
        self, node_id: str, is_neighbour: bool
    ) -> peer_link.Link:
        """Opens a link, or waits for the one that is being opened."""
        opening = self._opening_by_id.get(node_id)
        if opening is None:
            opening = self._spawn(self._open(node_id, is_neighbour))
            self._opening_by_id[node_id] = opening
            opening.add_done_callback(
                lambda _: self._opening_by_id.pop(node_id, None)
            )
        return await asyncio.shield(opening)

    async def _open(self, node_id: str, is_neighbour: bool) -> peer_link.Link:
        """Opens a link to a known node; raises peer_link.FAILURES."""
        peer = self.liveness.peer(node_id)
        if peer is None or not self.is_reachable(node_id):
            raise OSError(f"node {node_id} is not known or out of reach")
        return await self._open_at(peer.address, node_id, is_neighbour)

    async def _open_at(
        self, address: str, node_id: str | None, is_neighbour: bool
    ) -> peer_link.Link:
        """Opens a link to `address`; raises peer_link.FAILURES."""
        host, _, port = address.rpartition(":")
        channel = client.Channel(host, int(port))
        try:
            async with asyncio.timeout(_OPEN_TIMEOUT_S):
                peer, stream = await self._handshake(channel, is_neighbour)
            if peer.node_id != (node_id or peer.node_id):
                raise ConnectionError(f"{address} is {peer.node_id}")
        except BaseException:
            channel.close()
            raise
        link = self._adopt(
            peer._replace(address=address), stream, is_neighbour, True
        )
        self._spawn(self._run_opened(link, channel))
        return self._link_by_id[peer.node_id]

    async def _handshake(
        self, channel: client.Channel, is_neighbour: bool
    ) -> tuple[liveness.Peer, Any]:
        """Returns a stream and the node that its other end proved to be."""
        nonce = self._state.environment.new_id()
        own = self.liveness.set_address(self.address)
        metadata = peer_auth.sign(
            self._peer_key,
            peer_auth.Introduction(own, is_neighbour, nonce),
            self._state.environment.wall_s(),
        )
        stream = peer_grpc.PeerStub(channel).Exchange.open(metadata=metadata)
        await stream.__aenter__()
        await stream.send_request()
        await stream.recv_initial_metadata()
        peer = peer_auth.read_answer(
            self._peer_key, nonce, stream.initial_metadata or {}
        )
        if peer is None:
            self._state.counters.add("peers.strangers")
            raise ConnectionError("the other end does not know the key")
        peer_link.bound_size(stream)
        return peer, stream

    async def _run_opened(
        self, link: peer_link.Link, channel: client.Channel
    ) -> None:
        try:
            await self._run_link(link)
        finally:
            channel.close()

    def _adopt(
        self,
        peer: liveness.Peer,
        stream: Any,
        is_neighbour: bool,
        is_opener: bool,
    ) -> peer_link.Link:
        """Makes a new stream the link to `peer`."""
        link = peer_link.Link(
            self._state, peer, stream, self.hooks, is_neighbour, is_opener
        )
        former = self._link_by_id.get(peer.node_id)
        if former is None or self._is_better(link, former):
            self._link_by_id[peer.node_id] = link
            if former is not None:
                # Calls that wait on it get their replies first.
                loop = asyncio.get_running_loop()
                loop.call_later(_LINGER_S, former.close)
        if is_neighbour:
            for listener in self._connect_listeners:
                listener(peer.node_id)
        self.liveness.note_heartbeat(peer)
        return link

    def _is_better(self, link: peer_link.Link, former: peer_link.Link) -> bool:
        """Returns whether a new link replaces one to the same node.

        Where both ends open one at the same time, both keep the one that
        the node with the lower id opened.
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
                self._spawn(self._look_after(node_id))

    async def _look_after(self, node_id: str) -> None:
        """Tries a neighbour that had opened a link and does not come back."""
        await self._state.environment.sleep(liveness.HEARTBEAT_TIMEOUT_S)
        link = self._link_by_id.get(node_id)
        if link is not None and link.is_open:
            return
        try:
            await self._open_shared(node_id, is_neighbour=False)
        except peer_link.FAILURES:
            self.liveness.note_unreachable(node_id)

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Serves a stream that another node opened."""
        introduction = self._verifier.read(
            stream.metadata, self._state.environment.wall_s()
        )
        if introduction is None:
            self._state.counters.add("peers.strangers")
            raise grpclib.GRPCError(const.Status.UNAUTHENTICATED)
        await stream.send_initial_metadata(
            metadata=peer_auth.answer(
                self._peer_key,
                self.liveness.set_address(self.address),
                introduction.nonce,
            )
        )
        peer_link.bound_size(stream)
        link = self._adopt(
            introduction.peer, stream, introduction.is_neighbour, False
        )
        await self._run_link(link)
        with contextlib.suppress(*peer_link.FAILURES):
            await stream.cancel()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if not isinstance(task.exception(), peer_link.FAILURES):
            logging.error("peer task failed", exc_info=task.exception())

    def _beat_s(self) -> float:
        beat_s = _BEAT_S_PER_LINK * len(self._link_by_id)
        return min(_MAX_BEAT_S, max(_MIN_BEAT_S, beat_s))

    def _heard(self, peer: liveness.Peer) -> None:
        self.liveness.note_heartbeat(peer)

    def _deltas(self, node_id: str) -> list[Any]:
        """Returns what a neighbour lacks, by topic."""
        deltas = []
        for topic, source in self._source_by_topic.items():
            payload = source(node_id)
            if payload is not None:
                deltas.append(peer_pb2.Delta(topic=topic, payload=payload))
        return deltas

    def _merge(self, node_id: str, delta: Any) -> None:
        target = self._target_by_topic.get(delta.topic)
        if target is None:
            return
        try:
            target(node_id, delta.payload)
        except Exception:
            logging.exception("delta on %s from %s bad", delta.topic, node_id)
            self._state.counters.add("peers.bad_delta")

    async def _answer(self, node_id: str, frame: Any) -> Any:
        try:
            handler = self._handler_by_topic[frame.topic]
            payload = await handler(node_id, frame.payload)
        except Exception:
            logging.exception("call on %s from %s failed", frame.topic, node_id)
            return peer_pb2.Frame(call_id=frame.call_id, is_error=True)
        return peer_pb2.Frame(call_id=frame.call_id, payload=payload)

    def _rumours_for(self, node_id: str) -> bytes | None:
        rumours = self.liveness.updates_for(node_id)
        if not rumours:
            return None
        return knowledge_codec.encode_rumours(rumours)

    def _merge_rumours(self, node_id: str, payload: bytes) -> None:
        self.liveness.merge(node_id, knowledge_codec.decode_rumours(payload))
