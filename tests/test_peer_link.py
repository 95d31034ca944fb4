"""A link's frames: long updates, early ones, and sends that are blocked."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time
from typing import Any

import pytest

from lycheegw.coordination import liveness
from lycheegw.protocol.pb import peer_pb2
from lycheegw.transport import peer_link
from tests import fakes


class _Fixture:
    """A link without a stream, and the updates that it sends and merges."""

    def __init__(self) -> None:
        self.deltas: list[Any] = []
        self.merged: list[str] = []
        self.state = fakes.node(fakes.ManualClock(), "a")
        callbacks = peer_link.LinkCallbacks(
            lambda _: self.deltas,
            lambda _, delta: self.merged.append(delta.topic),
            lambda *_: None,  # type: ignore[arg-type,return-value]
            lambda _: None,
            lambda: 1.0,
        )
        self.link = peer_link.Link(
            self.state,
            liveness.Peer("b", "z", "127.0.0.1:1", 1),
            None,
            callbacks,
            True,
            True,
        )

    def add(self, topic: str, size: int) -> None:
        self.deltas.append(peer_pb2.Delta(topic=topic, payload=bytes(size)))


@pytest.mark.parametrize("is_sent", [True, False])
def test_update_above_the_limit_is_logged(
    is_sent: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """CONFIG, issue 32: it was dropped without a line."""
    fixture = _Fixture()
    fixture.add("topics", peer_link.MAX_PAYLOAD_BYTES + 1)
    fixture.add("liveness", 10)
    with caplog.at_level("ERROR"):
        if is_sent:
            (frame,) = fixture.link._heartbeat_frames()
            assert [each.topic for each in frame.deltas] == ["liveness"]
        else:
            for delta in fixture.deltas:
                fixture.link._merge(delta)
            assert fixture.merged == ["liveness"]
    assert fixture.state.counters.by_name["peers.oversized"] == 1
    assert "b: update on topics has" in caplog.text


def test_frame_stays_below_the_limit_of_a_stream() -> None:
    """A frame above it closes the link."""
    fixture = _Fixture()
    for number in range(8):
        fixture.add(f"t{number}", peer_link.MAX_PAYLOAD_BYTES)
    frames = fixture.link._heartbeat_frames()
    assert max(each.ByteSize() for each in frames) < peer_link.MAX_FRAME_BYTES
    topics = [delta.topic for frame in frames for delta in frame.deltas]
    assert topics == [f"t{number}" for number in range(8)]


class _Stream:
    """Records the frames that a link sends, and delivers none."""

    def __init__(self) -> None:
        self.frames: list[Any] = []
        self.is_blocked = False

    async def send_message(self, frame: Any) -> None:
        if self.is_blocked:
            await asyncio.Event().wait()
        self.frames.append(frame)

    def __aiter__(self) -> Any:
        return self

    async def __anext__(self) -> Any:
        await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def _running_link() -> AsyncIterator[tuple[_Fixture, _Stream]]:
    fixture, stream = _Fixture(), _Stream()
    fixture.link._stream = stream
    fixture.link._state = fixture.state._replace(
        environment=fixture.state.environment._replace(
            monotonic_s=time.monotonic
        )
    )
    fixture.link.last_received_s = time.monotonic()
    running = asyncio.ensure_future(fixture.link.run())
    await asyncio.sleep(0.02)
    try:
        yield fixture, stream
    finally:
        fixture.link.close()
        await asyncio.gather(running, return_exceptions=True)


async def test_early_frame_is_sent_only_with_deltas() -> None:
    """Issue 52: half of a node's work were frames, some of them empty."""
    async with _running_link() as (fixture, stream):
        assert len(stream.frames) == 1
        for _ in range(20):
            fixture.link.send_soon()
            await asyncio.sleep(0.01)
        assert len(stream.frames) == 1
        fixture.add("topics", 10)
        fixture.link.send_soon()
        await asyncio.sleep(0.15)
        assert len(stream.frames) == 2
        assert [each.topic for each in stream.frames[1].deltas] == ["topics"]


async def test_requests_for_early_frames_share_one_turn_of_the_writer() -> None:
    async with _running_link() as (fixture, stream):
        wakes: list[None] = []
        wake = fixture.link._wake_writer
        fixture.link._wake_writer = (  # type: ignore[method-assign]
            lambda: wakes.append(wake())  # type: ignore[func-returns-value]
        )
        fixture.add("topics", 10)
        await asyncio.sleep(0.1)
        begin_s = time.monotonic()
        while time.monotonic() - begin_s < 0.5:
            fixture.link.send_soon()
            await asyncio.sleep(0.002)
        assert 4 <= len(stream.frames) - 1 <= 6
        assert len(wakes) <= len(stream.frames)


async def test_call_is_sent_at_once_while_the_writer_waits() -> None:
    async with _running_link() as (fixture, stream):
        call = asyncio.ensure_future(fixture.link.call("topic", b"x"))
        await asyncio.sleep(0.02)
        assert [each.payload for each in stream.frames[1:]] == [b"x"]
        call.cancel()


async def test_link_ends_if_a_send_outlasts_the_timeout() -> None:
    """The peer doesn't read, and may still send."""
    async with _running_link() as (fixture, stream):
        for _ in range(20):
            fixture.link.check_blocked(0.5)
        assert fixture.link.is_open
        stream.is_blocked = True
        fixture.add("topics", 10)
        fixture.link.send_soon()
        await asyncio.sleep(0.15)
        for _ in range(6):
            fixture.link.check_blocked(0.5)
        assert fixture.link.is_open
        fixture.link.check_blocked(0.5)
        assert fixture.link.is_silent
        assert not fixture.link.is_open
