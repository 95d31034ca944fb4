"""A silent peer is detected in time, and a slow process isn't taken for one."""

import asyncio
import time

import pytest

from lycheegw.state import silence_timeouts
from tests.platform import slow_loops


async def _wait_turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def test_silence_ends_the_block_in_time() -> None:
    begun_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with silence_timeouts.silence_timeout(0.3):
            await asyncio.sleep(30)
    assert 0.3 <= time.monotonic() - begun_s < 0.6


async def test_block_that_ends_in_time_is_not_disturbed() -> None:
    async with silence_timeouts.silence_timeout(0.1):
        pass
    await asyncio.sleep(0.2)


# CONFIG, issue 45: replies that take several turns of the event loop.
async def test_slow_turns_of_the_event_loop_are_no_silence() -> None:
    async with (
        slow_loops.slow_event_loop(0.1),
        silence_timeouts.silence_timeout(0.25),
    ):
        await _wait_turns(4)


async def test_stall_counts_as_one_tick() -> None:
    async with silence_timeouts.silence_timeout(0.2):
        slow_loops.stall(0.5)
        await asyncio.sleep(0.05)


async def test_silence_is_detected_by_a_slow_process() -> None:
    async with slow_loops.slow_event_loop(0.1):
        with pytest.raises(TimeoutError):
            async with silence_timeouts.silence_timeout(0.25):
                await asyncio.sleep(30)


async def test_limit_may_be_raised_while_a_reply_arrives() -> None:
    async with silence_timeouts.silence_timeout(0.1) as limit:
        await asyncio.sleep(0.05)
        limit.set_limit(1.0)
        await asyncio.sleep(0.2)


async def test_limit_may_be_raised_by_what_arrives_last() -> None:
    """What arrives in the turn in which the time is over still counts."""
    loop = asyncio.get_running_loop()
    arrived = loop.create_future()
    loop.call_later(0.05, arrived.set_result, None)
    async with silence_timeouts.silence_timeout(0.05) as limit:
        slow_loops.stall(0.1)
        await arrived
        limit.set_limit(1.0)
        await asyncio.sleep(0.2)


async def test_limit_of_zero_ends_the_block_at_once() -> None:
    with pytest.raises(TimeoutError):
        async with silence_timeouts.silence_timeout(0.0):
            await asyncio.sleep(30)


async def test_cancellation_of_the_block_is_no_timeout() -> None:
    async def wait() -> None:
        async with silence_timeouts.silence_timeout(0.3):
            await asyncio.sleep(30)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0.05)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
