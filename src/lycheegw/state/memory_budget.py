"""Bounds the bytes that a node holds, in sum over all connections.

Whoever keeps bytes reserves them first. A reservation is granted or refused at
once and never waited for: holders that wait for each other's bytes would never
go on.
"""

import sys
from typing import NamedTuple

from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = [
    "Budgets",
    "MemoryBudget",
    "Reservation",
    "full_error",
    "of_memory",
]

# Share of a process's memory for the bytes of requests. The allocator takes up
# to twice of what is held, for copies and for buffers that grow.
_REQUESTS_SHARE = 1 / 8
# Share for replies of the store, which callers must not use up. Decoding a
# reply takes several times its length.
_CONTROL_SHARE = 1 / 16
# Reservations up to this size may use the whole budget, larger ones a part of
# it: a few long bodies must not keep many short ones out.
_SMALL_BYTES = 32 * 1024
_LARGE_SHARE = 3 / 4


class MemoryBudget:
    """The bytes that may be held, and those that are.

    Attributes:
        limit: Bytes that may be held.
        large_limit: Bytes up to which large reservations are granted.
        held: Bytes that are held.
        refused_count: Reservations that were refused since it was last set.
    """

    def __init__(self, limit: int = sys.maxsize):
        self.limit = limit
        self.large_limit = int(limit * _LARGE_SHARE)
        self.held = 0
        self.refused_count = 0

    def open(self) -> "Reservation":
        """Returns an empty reservation."""
        return Reservation(self)


class Reservation:
    """The bytes that one holder keeps.

    Attributes:
        size: Bytes that are reserved.
    """

    __slots__ = ("_budget", "size")

    def __init__(self, budget: MemoryBudget):
        self._budget = budget
        self.size = 0

    def resize(self, size: int) -> bool:
        """Reserves `size` bytes in all; returns whether they were granted.

        Fewer bytes than before are always granted.
        """
        budget = self._budget
        held = budget.held + size - self.size
        limit = budget.limit if size <= _SMALL_BYTES else budget.large_limit
        if size > self.size and held > limit:
            budget.refused_count += 1
            return False
        budget.held = held
        self.size = size
        return True

    def grow(self, size: int) -> bool:
        """Reserves `size` more bytes; returns whether they were granted."""
        return self.resize(self.size + size)

    def release(self) -> None:
        """Gives all bytes back."""
        self._budget.held -= self.size
        self.size = 0


class Budgets(NamedTuple):
    """The budgets of a node.

    Attributes:
        requests: Bytes of requests and of the responses to them.
        control: Bytes of the store's replies and of the operators' requests.
    """

    requests: MemoryBudget
    control: MemoryBudget


def of_memory(memory_mb: float) -> Budgets:
    """Returns the budgets of a process that may use `memory_mb` megabytes."""
    size = memory_mb * 1_000_000
    return Budgets(
        MemoryBudget(int(size * _REQUESTS_SHARE)),
        MemoryBudget(int(size * _CONTROL_SHARE)),
    )


def full_error(what: str) -> errors.UpstreamError:
    """Returns the failure of an attempt whose bytes can't be held."""
    return errors.UpstreamError(
        reasons.RetryReason.MEMORY_FULL,
        f"no memory left for {what}",
        verdicts.RunVerdict.MAY_HAVE_RUN,
    )
