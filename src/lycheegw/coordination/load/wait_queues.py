"""Wait queues of overloaded services: which request may run next.

Requests go by priority, then by the time by which they have to be sent, then in
the order of arrival.
"""

import bisect
from collections.abc import Iterator
import contextlib
import itertools
import math
from typing import NamedTuple

__all__ = ["Ticket", "WaitQueues"]


class Ticket(NamedTuple):
    """A queued request; lower tickets go first.

    Attributes:
        priority: 0 (first) upwards.
        due_s: Monotonic second by which it has to be sent, or infinity.
        number: Sequence number of the arrival.
    """

    priority: int
    due_s: float
    number: int


class WaitQueues:
    """The queued requests of each service."""

    def __init__(self) -> None:
        self._next_number = itertools.count()
        self._tickets_by_service: dict[str, list[Ticket]] = {}

    @contextlib.contextmanager
    def wait(
        self, service: str, priority: int, due_s: float = math.inf
    ) -> Iterator[Ticket]:
        """Queues a request until the context ends."""
        queue = self._tickets_by_service.setdefault(service, [])
        ticket = Ticket(priority, due_s, next(self._next_number))
        bisect.insort(queue, ticket)
        try:
            yield ticket
        finally:
            queue.remove(ticket)
            if not queue:
                self._tickets_by_service.pop(service, None)

    def may_proceed(
        self, service: str, priority: int, ticket: Ticket | None
    ) -> bool:
        """Returns whether a request may take free capacity of a service.

        A queued request may if it is the first; a new one, without a ticket,
        if no request of its priority or a more urgent one is queued.
        """
        queue = self._tickets_by_service.get(service)
        if not queue:
            return True
        if ticket is not None:
            return queue[0] == ticket
        return priority < queue[0].priority
