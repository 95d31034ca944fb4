"""Tests of calls and deltas between nodes over real streams."""

import asyncio

import pytest

from lycheegw.measure import harness
from lycheegw.state import errors
from tests.platform import slow_loops


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


# Issue 45: a slow process gave up calls to peers whose replies had arrived, as
# the fetches of a manifest.
def test_slow_process_reads_the_reply_to_its_call() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            first = await fleet.add_node("n1", "z1")
            second = await fleet.add_node("n2", "z1")

            async def echo(sender: str, payload: bytes) -> bytes:
                return sender.encode() + payload

            second.peers.on_call("echo", echo)
            await _wait_live(fleet, 2)
            await first.peers.call("n2", "echo", b"!", 2.0)
            async with slow_loops.slow_event_loop(0.1):
                reply = await first.peers.call("n2", "echo", b"!", 0.25)
            assert reply == b"n1!"

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


# Guards against links that end because one topic has something that can't be
# encoded.
def test_delta_that_cannot_be_encoded_does_not_delay_the_others(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            first = await fleet.add_node("n1", "z1")
            second = await fleet.add_node("n2", "z1")
            received: list[bytes] = []
            is_malformed = True

            def encode(_: str) -> bytes:
                if is_malformed:
                    raise ValueError("odd")
                return b"odd no more"

            for topic in ("odd", "news"):
                second.peers.on_delta(
                    topic, lambda _: None, lambda _, data: received.append(data)
                )
            await _wait_live(fleet, 2)
            first.peers.on_delta("odd", encode, lambda *_: None)
            first.peers.on_delta("news", lambda _: b"x", lambda *_: None)
            async with asyncio.timeout(5):
                while received.count(b"x") < 3:
                    await asyncio.sleep(0.02)
            counts = first.state.counters.by_name
            assert counts["peers.bad_source"] >= 3
            lines = [each for each in caplog.records if each.exc_info]
            assert len(lines) == 1
            is_malformed = False
            async with asyncio.timeout(5):
                while b"odd no more" not in received:
                    await asyncio.sleep(0.02)

    asyncio.run(main())
