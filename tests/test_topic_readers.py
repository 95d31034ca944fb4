"""A read confirms a copy for no later time than the store vouched for."""

import asyncio
import contextlib
from typing import Any

import pytest

from lycheegw.coordination import rendezvous
from lycheegw.coordination import topic_exchange
from lycheegw.coordination import topic_readers
from lycheegw.protocol import topic_codec
from lycheegw.state import errors
from lycheegw.state import topics
from tests import fakes

ORDERS = topics.Topic.ORDERS
# Calls after which the fake store ends a test.
_MAX_CALLS = 3


class _Store:
    """Store whose replies are read some time after it sent them."""

    def __init__(self, clock: fakes.ManualClock):
        self.reply_delay_s = 0.0
        self.failed_calls_s: list[float] = []
        self.calls_s: list[float] = []
        self._clock = clock

    async def newest(self, topic: topics.Topic) -> topics.TopicPage:
        return topics.TopicPage([], 1, True)

    async def changes(
        self,
        topic: topics.Topic,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> topics.TopicPage:
        self.calls_s.append(self._clock.now_s)
        if self.failed_calls_s:
            self._clock.now_s += self.failed_calls_s.pop(0)
            raise errors.StoreError("no reply")
        if len(self.calls_s) > _MAX_CALLS:
            raise asyncio.CancelledError
        self._clock.now_s += wait_s + self.reply_delay_s
        return topics.TopicPage([], 1, False)


def _readers(
    clock: fakes.ManualClock, store: Any
) -> topic_readers.TopicReaders:
    state = fakes.node(clock, "n")
    exchange = topic_exchange.TopicExchange(
        state,
        fakes.FakePeerBus("n"),  # type: ignore[arg-type]
        topic_codec.CODEC,
        {ORDERS: topics.TopicState(ORDERS)},
        lambda *_: None,
        lambda: None,
        lambda *_: None,
    )
    return topic_readers.TopicReaders(
        state,
        store,
        exchange,
        lambda: {"z": ["n"]},
        topic_readers.ReadAges(1.1, 1.5),
        topic_readers.DependencyMonitor("store", lambda *_: None),
    )


async def test_open_read_that_returns_late_does_not_renew_a_copy() -> None:
    """CONFIG, issue 19: a frozen node took an old reply for a fresh one."""
    clock = fakes.ManualClock()
    store = _Store(clock)
    readers = _readers(clock, store)
    await readers.load(ORDERS)
    store.reply_delay_s = 5.0
    await readers._read(ORDERS, 20.0)
    assert readers.age_s(ORDERS) == 5.0


async def test_open_read_confirms_a_copy_up_to_the_end_of_its_wait() -> None:
    clock = fakes.ManualClock()
    readers = _readers(clock, _Store(clock))
    await readers.load(ORDERS)
    await readers._read(ORDERS, 20.0)
    assert readers.age_s(ORDERS) == 0.0


@pytest.mark.parametrize(("failed_s", "is_pause"), [(1.0, True), (3.0, False)])
async def test_read_that_a_stall_failed_is_repeated_at_once(
    failed_s: float, is_pause: bool
) -> None:
    """DRAIN, soak seed 2: a frozen node paused as if the store were away."""
    clock = fakes.ManualClock()
    store = _Store(clock)
    readers = _readers(clock, store)
    store.failed_calls_s = [failed_s]
    with contextlib.suppress(asyncio.CancelledError):
        await readers.poll(ORDERS)
    pause_s = store.calls_s[1] - store.calls_s[0] - failed_s
    assert (pause_s > 0) == is_pause


class _LongLog:
    """Store whose reads return one record at a time, with failures."""

    def __init__(self, clock: fakes.ManualClock, end_offset: int):
        self.end_offset = end_offset
        self.read_offsets: list[int] = []
        self.fails_at: int | None = None
        self._clock = clock

    async def newest(self, topic: topics.Topic) -> topics.TopicPage:
        return topics.TopicPage([], 1, True)

    async def changes(
        self,
        topic: topics.Topic,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> topics.TopicPage:
        self._clock.now_s += 0.1
        if offset == self.fails_at:
            raise errors.StoreError("no reply")
        self.read_offsets.append(offset)
        record = topics.TopicRecord("config", offset, b"%d" % offset)
        has_more = offset + 1 < self.end_offset
        return topics.TopicPage([record], offset + 1, False, has_more)


async def test_read_goes_on_to_the_end_of_the_log() -> None:
    """CONFIG, issue 32: the first part of a long log counted as all of it."""
    clock = fakes.ManualClock()
    store = _LongLog(clock, 5)
    readers = _readers(clock, store)
    await readers.load(ORDERS)
    assert await readers._read(ORDERS, 0.0)
    assert store.read_offsets == [1, 2, 3, 4]
    assert round(readers.age_s(ORDERS), 3) == 0.1


async def test_read_that_fails_before_the_end_does_not_renew_a_copy() -> None:
    """CONFIG, issue 32: the first part of a long log counted as all of it."""
    clock = fakes.ManualClock()
    store = _LongLog(clock, 5)
    store.fails_at = 3
    readers = _readers(clock, store)
    await readers.load(ORDERS)
    assert not await readers._read(ORDERS, 0.0)
    assert round(readers.age_s(ORDERS), 3) == 0.3


async def test_order_of_turns_is_computed_when_the_live_nodes_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Issue 26: each node computed it twenty times a second for each topic."""
    clock = fakes.ManualClock()
    readers = _readers(clock, _Store(clock))
    ids = [f"m{number}" for number in range(60)]
    readers._live_by_zone = lambda: {"z": ["n", *ids]}
    computed: list[Any] = []
    order = rendezvous.order

    def count(key: str, members: Any) -> Any:
        computed.append(key)
        return order(key, members)

    monkeypatch.setattr(rendezvous, "order", count)
    ages = {readers._max_age_s("m1") for _ in range(20)}
    assert ages and len(computed) == 1
    ids.pop()
    readers._max_age_s("m1")
    assert len(computed) == 2


async def test_node_whose_turn_is_far_wakes_seldom() -> None:
    """Issue 26: each node woke twenty times a second for each topic."""
    clock = fakes.ManualClock()
    readers = _readers(clock, _Store(clock))
    await readers.load(ORDERS)
    wakes = []
    sleep = readers._sleep

    async def count(seconds: float) -> None:
        wakes.append(seconds)
        await sleep(seconds)

    readers._sleep = count  # type: ignore[method-assign]
    begun_s = clock.now_s
    await readers._wait_for_turn(ORDERS, 0)
    assert clock.now_s - begun_s >= readers.read_ages.turn_age_s - 0.2
    assert len(wakes) <= 6


async def test_requested_refresh_ends_the_wait_for_a_turn() -> None:
    """A connect failure shows that the list of upstreams is outdated."""
    clock = fakes.ManualClock()
    readers = _readers(clock, _Store(clock))
    await readers.load(ORDERS)
    is_asleep = asyncio.Event()

    async def sleep(seconds: float) -> None:
        del seconds
        is_asleep.set()
        await asyncio.Event().wait()

    readers._sleep = sleep  # type: ignore[method-assign]
    waiting = asyncio.ensure_future(readers._wait_for_turn(ORDERS, 0))
    await is_asleep.wait()
    clock.now_s += 0.2
    readers.request_refresh(ORDERS)
    async with asyncio.timeout(5.0):
        await waiting
