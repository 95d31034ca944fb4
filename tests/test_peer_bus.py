"""Tests of calls and deltas between nodes over real streams."""

import asyncio

import pytest

from lycheegw.measure import harness
from lycheegw.state import errors


async def _wait_live(fleet: harness.Fleet, count: int) -> None:
    async with asyncio.timeout(10):
        while any(
            len(node.peers.live_nodes()) < count
            for node in fleet.nodes.values()
        ):
            await asyncio.sleep(0.02)


def test_call_and_delta_are_received_by_other_node() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            first = await fleet.add_node("n1", "z1")
            second = await fleet.add_node("n2", "z2")
            delta_received = asyncio.Event()

            async def echo(sender: str, payload: bytes) -> bytes:
                return sender.encode() + payload

            second.peers.on_call("echo", echo)
            second.peers.on_delta(
                "news", lambda _: None, lambda *_: delta_received.set()
            )
            first.peers.on_delta("news", lambda _: b"x", lambda *_: None)
            await _wait_live(fleet, 2)
            reply = await first.peers.call("n2", "echo", b"!", 2.0)
            assert reply == b"n1!"
            async with asyncio.timeout(5):
                await delta_received.wait()

    asyncio.run(main())


def test_call_to_stopped_node_fails_within_timeout() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            first = await fleet.add_node("n1", "z1")
            second = await fleet.add_node("n2", "z1")
            await _wait_live(fleet, 2)
            await second.peers.stop()
            with pytest.raises(errors.PeerUnavailableError):
                await first.peers.call("n2", "echo", b"!", 1.0)

    asyncio.run(main())
