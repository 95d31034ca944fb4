"""Sources of time, random numbers and identifiers, replaceable in tests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time
from typing import NamedTuple
import uuid

__all__ = ["Environment", "seeded", "system"]


class Environment(NamedTuple):
    """Sources of all non-deterministic values.

    Attributes:
        monotonic_s: Returns seconds of a monotonic clock, for durations.
        wall_s: Returns Unix time in seconds, for values that leave the process.
        random: A random number generator.
        new_id: Returns a new unique identifier.
        sleep: Suspends the calling task for some seconds.
    """

    monotonic_s: Callable[[], float]
    wall_s: Callable[[], float]
    random: random.Random
    new_id: Callable[[], str]
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep


def system() -> Environment:
    """Returns the system's clocks and an unseeded random generator."""
    return Environment(
        time.monotonic, time.time, random.Random(), lambda: uuid.uuid4().hex
    )


def seeded(seed: int) -> Environment:
    """Returns the system's clocks and a random generator with a seed."""
    generator = random.Random(seed)

    def new_id() -> str:
        return f"{generator.getrandbits(64):016x}"

    return Environment(time.monotonic, time.time, generator, new_id)
