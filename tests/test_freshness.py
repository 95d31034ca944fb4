"""Outdated copies are renewed once, and a stall is no fault of the store."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from lycheegw.coordination import freshness
from lycheegw.state import errors
from lycheegw.state import topics
from lycheegw.state import verdicts
from tests import fakes

UPSTREAMS = topics.Topic.UPSTREAMS


class _Readers:
    """Readers whose reads take the given seconds and may fail."""

    def __init__(self, clock: fakes.ManualClock, reads: list[Any]):
        self.confirmed = clock.now_s
        self.read_count = 0
        self.failed_s = -1000.0
        self._clock = clock
        self._reads = reads

    def age_s(self, topic: topics.Topic) -> float:
        return self._clock.now_s - self.confirmed

    def confirmed_s(self, topic: topics.Topic) -> float:
        return self.confirmed

    async def refresh(self, topic: topics.Topic, timeout_s: float) -> bool:
        self.read_count += 1
        begun_s = self._clock.now_s
        seconds, is_answered = self._reads.pop(0)
        await asyncio.sleep(0)
        self._clock.now_s += seconds
        if is_answered:
            self.confirmed = begun_s
        else:
            self.failed_s = begun_s
        return bool(is_answered)

    def last_failure_s(self, topic: topics.Topic) -> float:
        return self.failed_s


def _limit(topic: topics.Topic) -> float:
    return 2.0 if topic is UPSTREAMS else float("inf")


def _freshness(
    clock: fakes.ManualClock,
    readers: _Readers,
    note: Callable[..., None] = lambda *_, **__: None,
    is_behind: Callable[[], bool] = lambda: False,
) -> freshness.Freshness:
    return freshness.Freshness(
        fakes.node(clock, "n"),
        readers,  # type: ignore[arg-type]
        _limit,
        lambda _: is_behind(),
        note,
    )


async def test_concurrent_requests_wait_for_one_read() -> None:
    clock = fakes.ManualClock()
    readers = _Readers(clock, [(0.01, True)])
    fresh = _freshness(clock, readers)
    clock.now_s += 2.1
    assert not fresh.is_current()
    await asyncio.gather(*(fresh.ensure_current() for _ in range(5)))
    assert readers.read_count == 1
    assert fresh.is_current()


async def test_copy_within_its_limit_is_not_read() -> None:
    clock = fakes.ManualClock()
    readers = _Readers(clock, [])
    fresh = _freshness(clock, readers)
    clock.now_s += 1.9
    await fresh.ensure_current()
    assert readers.read_count == 0


async def test_read_is_repeated_after_a_stall_of_the_event_loop() -> None:
    """DRAIN, issue 19: a stalled node took its own delay for an outage."""
    clock = fakes.ManualClock()
    stalled = (1.2, False)
    readers = _Readers(clock, [stalled, stalled, (0.01, True)])
    fresh = _freshness(clock, readers)
    clock.now_s += 2.1
    await fresh.ensure_current()
    assert readers.age_s(UPSTREAMS) < 0.1


async def test_outage_ends_the_wait_until_the_copy_is_renewed() -> None:
    clock = fakes.ManualClock()
    failed = (0.25, False)
    readers = _Readers(clock, [failed, failed, (0.01, True)])
    fresh = _freshness(clock, readers)
    clock.now_s += 2.1
    await fresh.ensure_current()
    assert readers.read_count == 2
    clock.now_s += 10.0
    readers.failed_s = clock.now_s - 2.0
    assert fresh.is_current()
    readers.confirmed = clock.now_s - 2.5
    await fresh.ensure_current()
    assert readers.read_count == 3


async def test_copy_is_read_again_if_no_read_failed_lately() -> None:
    """DRAIN, soak seed 2: after a freeze, an outage of before was assumed."""
    clock = fakes.ManualClock()
    failed = (0.25, False)
    readers = _Readers(clock, [failed, failed, (0.01, True)])
    fresh = _freshness(clock, readers)
    clock.now_s += 2.1
    await fresh.ensure_current()
    clock.now_s += 3.0
    assert not fresh.is_current()
    await fresh.ensure_current()
    assert readers.read_count == 3
    assert readers.age_s(UPSTREAMS) < 0.1


async def test_read_goes_on_if_the_request_that_began_it_is_cancelled() -> None:
    clock = fakes.ManualClock()
    readers = _Readers(clock, [(0.01, True)])
    fresh = _freshness(clock, readers)
    clock.now_s += 2.1
    request = asyncio.create_task(fresh.ensure_current())
    await asyncio.sleep(0)
    request.cancel()
    await fresh.ensure_current()
    assert readers.read_count == 1
    assert fresh.is_current()


async def test_line_tells_stalled_reads_from_failed_ones() -> None:
    """A stalled process and an outage of the store look alike otherwise."""
    clock = fakes.ManualClock()
    readers = _Readers(clock, [(1.2, False), (0.25, False), (0.01, True)])
    lines: list[dict[str, Any]] = []
    fresh = _freshness(clock, readers, lambda _, **each: lines.append(each))
    clock.now_s += 2.1
    await fresh.ensure_current()
    (line,) = lines
    assert (line["reads"], line["failed"], line["read_s"]) == (3, 1, 1.2)


async def test_copy_is_not_used_in_an_outage_if_peers_have_more() -> None:
    """CONFIG, issue 45: a node knew of a change and went on without it."""
    clock = fakes.ManualClock()
    failed = (0.25, False)
    readers = _Readers(clock, [failed, failed, failed, failed])
    behind = True
    fresh = _freshness(clock, readers, is_behind=lambda: behind)
    clock.now_s += 1.9
    await fresh.ensure_current()
    clock.now_s += 0.2
    with pytest.raises(errors.RefusalError) as refused:
        await fresh.ensure_current()
    assert refused.value.verdict is verdicts.RunVerdict.NOT_RUN
    # At once, as long as the outage is known.
    with pytest.raises(errors.RefusalError):
        await fresh.ensure_current()
    assert readers.read_count == 2
    behind = False
    await fresh.ensure_current()


async def test_request_goes_on_once_a_peer_has_renewed_the_copy() -> None:
    """Requests of a slow node waited for a read although peers knew more."""
    clock = fakes.ManualClock()
    readers = _Readers(clock, [])
    read = asyncio.Event()

    async def refresh(*_: Any) -> bool:
        await read.wait()
        return False

    readers.refresh = refresh  # type: ignore[method-assign]
    fresh = _freshness(clock, readers)
    clock.now_s += 2.1
    requests = [asyncio.create_task(fresh.ensure_current()) for _ in range(3)]
    await asyncio.sleep(0.01)
    requests.pop().cancel()
    # An update that brings nothing.
    fresh.note_update()
    await asyncio.sleep(0.01)
    assert not any(each.done() for each in requests)
    readers.confirmed = clock.now_s
    fresh.note_update()
    async with asyncio.timeout(1.0):
        await asyncio.gather(*requests)
    read.set()
