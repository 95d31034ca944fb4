"""Who gets the next free place, while a service bears less than is asked."""

import bisect
from collections.abc import Iterator
import contextlib
import itertools
from typing import NamedTuple

__all__ = ["Ticket", "WaitingLines"]


class Ticket(NamedTuple):
    """A request that waits; lower ones go first.

    Attributes:
        priority: 0 (first) upwards.
        number: Grows with each arrival.
    """

    priority: int
    number: int


class WaitingLines:
    """The requests that wait for a place, by service."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._tickets_by_service: dict[str, list[Ticket]] = {}

    @contextlib.contextmanager
    def wait(self, service: str, priority: int) -> Iterator[Ticket]:
        """Holds a request's place in line."""
        line = self._tickets_by_service.setdefault(service, [])
        ticket = Ticket(priority, next(self._numbers))
        bisect.insort(line, ticket)
        try:
            yield ticket
        finally:
            line.remove(ticket)
            if not line:
                self._tickets_by_service.pop(service, None)

    def may_try(
        self, service: str, priority: int, ticket: Ticket | None
    ) -> bool:
        """Returns whether a request may take a place that is free.

        One that has just come may where nobody with its priority or a more
        urgent one waits.
        """
        line = self._tickets_by_service.get(service)
        if not line:
            return True
        if ticket is not None:
            return line[0] == ticket
        return priority < line[0].priority
