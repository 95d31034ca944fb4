"""Streams that are slow but sound, and streams that stall.

Pattern: an upstream sends whole events at the longest gap that is allowed, or a
byte of an event now and then; the client reads slowly.
"""

import asyncio
import types
from typing import Any

import pytest

from lycheegw.coordination import answer_delivery
from lycheegw.protocol import engine_api
from lycheegw.state import errors
from lycheegw.state import memory_budget
from lycheegw.state import reasons
from lycheegw.transport import upstream_client
from tests import fakes

_GAP_S = 0.3


class _Call:
    """A response whose parts come after a time each."""

    def __init__(self, parts: list[bytes], interval_s: float):
        self._parts = parts
        self._interval_s = interval_s

    async def read(self, timeout_s: float | None = None) -> bytes | None:
        """Returns the next part, None at the end."""
        if not self._parts:
            return None
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(self._interval_s)
        return self._parts.pop(0)


class _Sink:
    """A client that takes a time to read each part."""

    def __init__(self, write_s: float = 0.0):
        self.is_started = False
        self.memory = memory_budget.MemoryBudget().open()
        self.written = b""
        self._write_s = write_s

    async def start(self, *_: Any) -> None:
        """Records the head."""
        self.is_started = True

    async def write(self, data: bytes) -> None:
        """Reads a part."""
        await asyncio.sleep(self._write_s)
        self.written += data

    async def finish(self) -> None:
        """Does nothing."""


async def _forward(call: _Call, sink: _Sink) -> None:
    route = fakes.STREAM_ROUTE._replace(target_gap_s=0.0)
    progress = types.SimpleNamespace(
        last_event=None, event_count=0, version=None
    )
    accepted: Any = types.SimpleNamespace(
        work=types.SimpleNamespace(route=route), progress=progress, sink=sink
    )
    head: Any = types.SimpleNamespace(status=200, headers=())
    await answer_delivery._forward_stream(
        accepted,
        call,  # type: ignore[arg-type]
        head,
        "v1",
        lambda: None,
        lambda: True,
    )


def _events(count: int) -> list[bytes]:
    return [b"id: %d\ndata: x\n\n" % number for number in range(1, count + 1)]


@pytest.fixture(autouse=True)
def _short_gap(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(answer_delivery, "_MIN_GAP_S", _GAP_S)


async def test_slow_but_sound_stream_is_forwarded_whole() -> None:
    sink = _Sink()
    await _forward(_Call(_events(4), 0.6 * _GAP_S), sink)
    assert sink.written == b"".join(_events(4))


async def test_slow_client_does_not_end_a_sound_stream() -> None:
    sink = _Sink(write_s=1.5 * _GAP_S)
    await _forward(_Call(_events(3), 0.0), sink)
    assert sink.written == b"".join(_events(3))


async def test_stalled_stream_ends_although_bytes_come_now_and_then() -> None:
    """Each byte began a new gap, so that it lasted until the deadline."""
    stalled = _events(1) + [b"d"] * 100
    begun_s = asyncio.get_running_loop().time()
    with pytest.raises(errors.UpstreamError) as raised:
        await _forward(_Call(stalled, 0.4 * _GAP_S), _Sink())
    assert raised.value.reason is reasons.RetryReason.TOKEN_GAP
    assert asyncio.get_running_loop().time() - begun_s < 4 * _GAP_S


# Guards against events that are recorded as forwarded, and were not, as a fault
# came in the same read: a resumed stream would go on behind them.
async def test_events_before_a_fault_in_the_same_read_are_forwarded() -> None:
    sink = _Sink()
    sound = b"".join(_events(2))
    with pytest.raises(errors.UpstreamError) as raised:
        await _forward(_Call([sound + b"\n\n" * 2000], 0.0), sink)
    assert raised.value.reason is reasons.RetryReason.MALFORMED
    assert sink.written.startswith(sound)


async def test_stalled_engine_stream_ends_although_bytes_come() -> None:
    """The same at the chat interface's engines."""
    call = _Call([b"d"] * 100, 0.4 * _GAP_S)
    stream = upstream_client.EngineStream(call, "r", 0, _GAP_S)  # type: ignore[arg-type]
    begun_s = asyncio.get_running_loop().time()
    with pytest.raises(errors.UpstreamError) as raised:
        await stream.read()
    assert raised.value.reason is reasons.RetryReason.TOKEN_GAP
    assert asyncio.get_running_loop().time() - begun_s < 4 * _GAP_S


async def test_slow_but_sound_engine_stream_is_read() -> None:
    frames = [engine_api.token_frame("r", word) for word in ("a ", "b ")]
    call = _Call(list(frames), 0.6 * _GAP_S)
    stream = upstream_client.EngineStream(call, "r", 0, _GAP_S)  # type: ignore[arg-type]
    assert (await stream.read()).payload == frames[0]
    assert (await stream.read()).payload == frames[1]
