"""Peer links and liveness: silent peers, authentication, wrong node lists."""

import asyncio
from collections.abc import Callable

from grpclib import client
import pytest

from lycheegw import app
from lycheegw.coordination import liveness
from lycheegw.measure import harness
from lycheegw.protocol import peer_auth
from lycheegw.protocol.pb import peer_grpc
from lycheegw.protocol.pb import peer_pb2
from lycheegw.state import errors
from lycheegw.transport import peer_link

TIMEOUT_S = 15.0


async def until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds, at most `TIMEOUT_S`."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


def counter(node: app.Node, name: str) -> int:
    return node.state.counters.by_name[name]


class Forwarder:
    """Forwards bytes to an address; while frozen it reads and drops them."""

    def __init__(self, target: str):
        self._target = target
        self.is_frozen = False

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._forward(reader, far_writer), self._forward(far_reader, writer)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            if not self.is_frozen:
                writer.write(data)
        writer.close()


def test_silent_peer_is_detected_and_becomes_live_again() -> None:
    """Connections carry no data for a while, but stay open."""

    async def main() -> None:
        async with harness.Fleet() as fleet:
            forwarders = []
            for node_id in ("n1", "n2"):
                node = await fleet.add_node(node_id, "z1")
                forwarders.append(Forwarder(node.peers.address))
                node.peers.address = await forwarders[-1].start()
                address = {"address": node.peers.address}
                fleet.hosts.put(fleet.hosts.host_by_id[node_id] | address)
            first, second = fleet.nodes.values()
            await until(lambda: len(first.peers.links()) == 1)
            link = first.peers.links()[0]
            for forwarder in forwarders:
                forwarder.is_frozen = True
            await until(lambda: first.peers.live_nodes() == ["n1"])
            assert sum(
                counter(node, "peers.silent_links")
                for node in fleet.nodes.values()
            )
            assert not link.is_open
            with pytest.raises(errors.PeerUnavailableError):
                await first.peers.call("n2", "session.ask", b"", 0.5)
            for forwarder in forwarders:
                forwarder.is_frozen = False
            await until(lambda: len(first.peers.live_nodes()) == 2)
            await until(lambda: len(second.peers.live_nodes()) == 2)

    asyncio.run(main())


def test_unauthenticated_and_replayed_streams_are_refused() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            node = await fleet.add_node("n1", "z1")
            seen: list[bytes] = []
            node.peers.on_delta(
                "news", lambda _: None, lambda _, payload: seen.append(payload)
            )
            own = node.peers.liveness.set_address("127.0.0.1:1")
            introduction = peer_auth.Introduction(
                own._replace(node_id="n9"), True, "nonce"
            )
            wall_s = node.state.environment.wall_s()
            key = node.settings.secrets.peer_key
            genuine = peer_auth.sign_introduction(key, introduction, wall_s)
            strangers = [
                peer_auth.sign_introduction(
                    "another-key", introduction, wall_s
                ),
                peer_auth.sign_introduction(key, introduction, wall_s - 3600),
                genuine | {"x-node-id": "n8"},
                {},
            ]
            for metadata in strangers:
                with pytest.raises(peer_link.LINK_ERRORS):
                    await _send_delta(node, metadata)
            assert node.peers.live_nodes() == ["n1"]
            await _send_delta(node, genuine)
            await until(lambda: seen == [b"x"])
            with pytest.raises(peer_link.LINK_ERRORS):
                await _send_delta(node, genuine)
            assert counter(node, "peers.strangers") == len(strangers) + 1
            assert seen == [b"x"]

    asyncio.run(main())


async def _send_delta(
    node: app.Node, metadata: dict[str, str], size: int = 1
) -> None:
    """Opens a stream with `metadata` and sends one delta on it."""
    host, _, port = node.peers.address.rpartition(":")
    async with client.Channel(host, int(port)) as channel:
        stub = peer_grpc.PeerStub(channel)
        stream = stub.Exchange.open(metadata=metadata)
        await stream.__aenter__()
        await stream.send_request()
        await stream.recv_initial_metadata()
        delta = peer_pb2.Delta(topic="news", payload=b"x" * size)
        await stream.send_message(peer_pb2.Frame(deltas=[delta]))
        await stream.recv_message()
        await stream.cancel()


def test_oversized_messages_are_dropped_and_the_link_stays() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            first = await fleet.add_node("n1", "z1")
            second = await fleet.add_node("n2", "z1")
            await until(lambda: len(first.peers.links()) == 1)
            too_large = b"x" * (peer_link.MAX_PAYLOAD_BYTES + 1)
            seen: list[int] = []
            second.peers.on_delta(
                "news", lambda _: None, lambda _, each: seen.append(len(each))
            )
            (link,) = first.peers.links()
            delta = peer_pb2.Delta(topic="news", payload=too_large)
            link._queue.put_nowait(peer_pb2.Frame(deltas=[delta]))
            link.send_soon()
            payloads = [too_large, b"x"]
            first.peers.on_delta(
                "news",
                lambda _: payloads.pop(0) if payloads else None,
                lambda *_: None,
            )
            await until(lambda: seen == [1])
            assert counter(first, "peers.oversized") == 1
            assert counter(second, "peers.oversized") == 1
            with pytest.raises(errors.PeerUnavailableError):
                await first.peers.call("n2", "session.ask", too_large, 2.0)
            huge = b"x" * peer_link.MAX_FRAME_BYTES
            with pytest.raises(errors.PeerUnavailableError):
                await first.peers.call("n2", "session.ask", huge, 2.0)
            await until(lambda: len(first.peers.links()) == 1)
            await until(lambda: len(second.peers.live_nodes()) == 2)

    asyncio.run(main())


def test_wrong_node_list_is_corrected_by_heartbeats() -> None:
    """A dead node is listed, a live one isn't, and one leaves but is listed."""

    async def main() -> None:
        async with harness.Fleet() as fleet:
            first = await fleet.add_node("n1", "z1")
            await fleet.add_node("n2", "z1")
            dead = {"host_id": "n9", "address": "127.0.0.1:9"}
            fleet.hosts.put(fleet.hosts.host_by_id["n1"] | dead)
            fresh = await fleet.add_node("n3", "z1")
            fleet.hosts.remove("n3")
            await until(lambda: len(first.peers.live_nodes()) > 1)
            nodes = [first, fleet.nodes["n2"], fresh]
            await until(
                lambda: all(
                    node.peers.live_nodes() == ["n1", "n2", "n3"]
                    for node in nodes
                )
            )
            fleet.nodes["n2"].peers.liveness.leave()
            await until(
                lambda: all(
                    node.peers.live_nodes("z1") == ["n1", "n3"]
                    for node in (first, fresh)
                )
            )

    asyncio.run(main())


def test_falsely_accused_node_refutes_the_accusation() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            nodes = [await fleet.add_node(f"n{i}", "z1") for i in range(3)]
            await until(lambda: all(len(n.peers.links()) == 2 for n in nodes))
            accused = nodes[2].peers.liveness.set_address(
                nodes[2].peers.address
            )
            accusation = liveness.NodeUpdate(
                accused, False, frozenset({"n8", "n9"})
            )
            nodes[0].peers.liveness.merge("n8", [accusation])
            await until(
                lambda: (
                    nodes[2].peers.liveness.incarnation > accused.incarnation
                )
            )
            await until(
                lambda: all(len(n.peers.live_nodes()) == 3 for n in nodes)
            )

    asyncio.run(main())
