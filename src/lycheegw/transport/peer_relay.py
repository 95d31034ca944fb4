"""Sends requests to other nodes and serves those that they send.

Each relayed request is one stream, on a connection to the peer that is kept as
long as it is used.
"""

from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

from absl import logging
from grpclib import client
from grpclib import config

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import interfaces
from lycheegw.coordination import relays
from lycheegw.protocol import relay_codec
from lycheegw.protocol.pb import peer_grpc
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import memory_budget
from lycheegw.state import silence_timeouts
from lycheegw.state import zone_traffic
from lycheegw.transport import ingress
from lycheegw.transport import peer_bus
from lycheegw.transport import peer_link

__all__ = ["RelayClient", "RelayServer"]

# Time for a peer to accept a request.
_ACCEPT_TIMEOUT_S = 0.6
# Largest body that is relayed; a message holds the whole request.
_MAX_BODY_BYTES = 512 * 1024
# Bytes of a response that a peer may send before its caller reads them; with
# 64 KiB each, 64 slow callers don't keep others on the connection waiting.
_CONFIGURATION = config.Configuration(http2_stream_window_size=2**16 - 1)
# Copies of a body in a message and in its bytes.
_BODY_COPIES = 2
# Time after its last use at which a connection to a peer is closed.
_IDLE_S = 5.0


RelayHandler = Callable[
    [accepted_requests.ResponseSink, Callable[[], Awaitable[None]]],
    Awaitable[None],
]


class _PeerConnection:
    """A connection to a peer and its use."""

    def __init__(self, channel: client.Channel):
        self.channel = channel
        self.running = 0
        self.used_s = 0.0


class RelayClient:
    """Sends requests to peers that serve them in this node's place."""

    def __init__(
        self,
        bus: peer_bus.GrpcPeerBus,
        now_s: Callable[[], float],
        budget: memory_budget.MemoryBudget,
        traffic: zone_traffic.ZoneTraffic,
    ):
        self._bus = bus
        self._traffic = traffic
        self._now_s = now_s
        self._budget = budget
        self._connection_by_address: dict[str, _PeerConnection] = {}

    async def relay(
        self,
        node_id: str,
        incoming: forwarded_requests.IncomingRequest,
        time_left_s: float,
    ) -> AsyncGenerator[interfaces.RelayedPart, None]:
        """Yields the parts of the response.

        Raises:
            errors.PeerUnavailableError: The request was not sent.
            errors.PeerLostError: The peer may have run the request.
        """
        peer = self._bus.liveness.peer(node_id)
        if peer is None or len(incoming.body) > _MAX_BODY_BYTES:
            raise errors.PeerUnavailableError(f"can't relay to {node_id}")
        held = self._budget.open()
        request_size = _BODY_COPIES * len(incoming.body)
        if not held.resize(request_size):
            raise errors.PeerUnavailableError("no memory left to relay")
        connection = self._connection(peer.address)
        connection.running += 1
        is_sent = False
        try:
            nonce, metadata = self._bus.sign_introduction()
            stub = peer_grpc.PeerStub(connection.channel)
            async with stub.Relay.open(metadata=metadata) as stream:
                async with silence_timeouts.silence_timeout(_ACCEPT_TIMEOUT_S):
                    await stream.send_request()
                    await stream.recv_initial_metadata()
                accepted = self._bus.verify_acceptance(
                    nonce, stream.initial_metadata or {}
                )
                if accepted is None or accepted.node_id != node_id:
                    raise ConnectionError(f"{peer.address} is not {node_id}")
                peer_link.limit_message_size(stream)
                is_sent = True
                request = relay_codec.encode_request(incoming, time_left_s)
                self._traffic.add(peer.zone, "relay", request.ByteSize())
                await stream.send_message(request, end=True)
                while (message := await stream.recv_message()) is not None:
                    if not held.resize(request_size + len(message.data)):
                        raise errors.PeerLostError(
                            f"no memory left for the response of {node_id}"
                        )
                    self._traffic.add(peer.zone, "relay", message.ByteSize())
                    yield relay_codec.decode_part(message)
        except peer_link.LINK_ERRORS as error:
            if not connection.running > 1:
                self._close(peer.address)
            if is_sent:
                raise errors.PeerLostError(f"{node_id}: {error!r}") from error
            raise errors.PeerUnavailableError(
                f"{node_id}: {error!r}"
            ) from error
        finally:
            held.release()
            connection.running -= 1
            connection.used_s = self._now_s()

    def _connection(self, address: str) -> _PeerConnection:
        connection = self._connection_by_address.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = _PeerConnection(
                client.Channel(host, int(port), config=_CONFIGURATION)
            )
            self._connection_by_address[address] = connection
        return connection

    def _close(self, address: str) -> None:
        connection = self._connection_by_address.pop(address, None)
        if connection is not None:
            connection.channel.close()

    def close_idle(self) -> None:
        """Closes the connections that were not used for a while."""
        now_s = self._now_s()
        for address, connection in list(self._connection_by_address.items()):
            if not connection.running and now_s > connection.used_s + _IDLE_S:
                self._close(address)

    def close(self) -> None:
        """Closes all connections."""
        for address in list(self._connection_by_address):
            self._close(address)


class _RelayedExchange:
    """The response to a relayed request, written to the peer's stream.

    Attributes:
        incoming: The request.
        is_started: Whether the response head was sent.
        is_finished: Whether the response was sent completely.
        memory: What the request and its response take.
    """

    def __init__(
        self,
        stream: Any,
        incoming: forwarded_requests.IncomingRequest,
        memory: memory_budget.Reservation,
    ):
        self.incoming = incoming
        self.memory = memory
        self.is_started = False
        self.is_finished = False
        self._stream = stream

    async def send(self, response: forwarded_requests.LocalResponse) -> None:
        """Sends a complete response; raises ingress.CallerGoneError."""
        await self.start(response.status, response.headers, len(response.body))
        await self.write(response.body)
        await self.finish()

    async def start(
        self,
        status: int,
        headers: forwarded_requests.Headers,
        content_length: int | None,
    ) -> None:
        """Sends the response head; raises ingress.CallerGoneError."""
        self.is_started = True
        await self._send(
            interfaces.RelayedPart(status, headers, content_length)
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; raises ingress.CallerGoneError."""
        for index in range(0, len(data), peer_link.MAX_PAYLOAD_BYTES):
            chunk = data[index : index + peer_link.MAX_PAYLOAD_BYTES]
            await self._send(interfaces.RelayedPart(data=chunk))

    async def finish(self) -> None:
        """Ends a complete response; raises ingress.CallerGoneError."""
        await self._send(interfaces.RelayedPart(is_end=True))
        self.is_finished = True

    async def decline(self) -> None:
        """Tells the peer that the request has not run and will not."""
        await self._send(interfaces.RelayedPart(is_declined=True))
        self.is_finished = True

    def abort(self) -> None:
        """Leaves the response without its end, which the peer notices."""

    async def _send(self, part: interfaces.RelayedPart) -> None:
        try:
            await self._stream.send_message(relay_codec.encode_part(part))
        except peer_link.LINK_ERRORS as error:
            raise ingress.CallerGoneError(
                f"the relaying node is gone: {error!r}"
            ) from error


class RelayServer:
    """Serves the requests that other nodes relay."""

    def __init__(
        self,
        handle: RelayHandler,
        declines: Callable[[], bool],
        now_s: Callable[[], float],
        budget: memory_budget.MemoryBudget,
    ):
        """Creates a server.

        Args:
            handle: Serves a request; its second argument declines it.
            declines: Returns whether this node takes no relayed requests.
            now_s: Returns the monotonic time.
            budget: Bounds the memory that requests and responses take.
        """
        self._handle = handle
        self._budget = budget
        self._declines = declines
        self._now_s = now_s
        self._limit = relays.RelayLimit()

    @property
    def running(self) -> int:
        """Number of requests that are being served."""
        return self._limit.running

    async def serve(self, stream: Any) -> None:
        """Serves the request of an authenticated stream."""
        message = await stream.recv_message()
        if message is None:
            return
        try:
            incoming = relay_codec.decode_request(message, self._now_s())
        except errors.PeerMessageError as error:
            logging.warning("relayed request: %s", error)
            return
        held = self._budget.open()
        exchange = _RelayedExchange(stream, incoming, held)
        try:
            with contextlib.suppress(ingress.CallerGoneError):
                if (
                    self._declines()
                    or self._limit.is_reached
                    or not held.resize(_BODY_COPIES * len(incoming.body))
                ):
                    await exchange.decline()
                    return
                with self._limit.hold():
                    await self._handle(exchange, exchange.decline)
        finally:
            held.release()
