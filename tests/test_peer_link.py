"""A link tells of an update that is too long, and splits many long ones."""

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
