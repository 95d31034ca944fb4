"""Weighted fair queueing of requests, with tokens as the cost.

Organisations share by weight. Within an organisation, requests go by
priority, then by the tokens that their kind was served, so that short
requests pass long ones, then by deadline. Priorities order only the requests
of one organisation, so that none can take the share of another by them.
"""

from typing import NamedTuple

__all__ = ["FairQueue", "Ticket"]


class Ticket(NamedTuple):
    """One queued request.

    Attributes:
        number: Number of the request at this node.
        organisation: Organisation that it is charged to.
        weight: The organisation's weight.
        kind: Label of the kind of request.
        priority: 0 (first) to 9 (last).
        cost: Tokens that it is expected to take.
        deadline_s: Monotonic second by which it must be answered.
    """

    number: int
    organisation: str
    weight: float
    kind: str
    priority: int
    cost: float
    deadline_s: float


class _OrganisationQueue:
    """The queued requests of one organisation, and what it was served.

    Attributes:
        served: Tokens served, divided by the weight (its virtual time).
        served_by_kind: Tokens served to each kind of request.
        tickets: Queued requests.
    """

    def __init__(self, served: float):
        self.served = served
        self.served_by_kind: dict[str, float] = {}
        self.tickets: list[Ticket] = []

    def sort_key(self, ticket: Ticket) -> tuple[int, float, float, int]:
        """Returns the key that orders the organisation's tickets."""
        served = self.served_by_kind[ticket.kind]
        return ticket.priority, served, ticket.deadline_s, ticket.number

    def put(self, ticket: Ticket) -> None:
        """Queues a ticket; a kind earns no credit while it is idle."""
        queued_kinds = {each.kind for each in self.tickets}
        min_served = min(
            (self.served_by_kind[each] for each in queued_kinds), default=0
        )
        served = self.served_by_kind.get(ticket.kind, 0.0)
        self.served_by_kind[ticket.kind] = max(served, min_served)
        self.tickets.append(ticket)

    def take(self, ticket: Ticket) -> None:
        """Removes a ticket and charges its cost."""
        self.tickets.remove(ticket)
        self.served += ticket.cost / ticket.weight
        self.served_by_kind[ticket.kind] += ticket.cost


class FairQueue:
    """The queued requests of one pool at this node."""

    def __init__(self) -> None:
        self._queue_by_organisation: dict[str, _OrganisationQueue] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def _non_empty(self) -> list[_OrganisationQueue]:
        queues = self._queue_by_organisation.values()
        return [queue for queue in queues if queue.tickets]

    def put(self, ticket: Ticket) -> None:
        """Queues a ticket."""
        min_served = min(
            (queue.served for queue in self._non_empty()), default=0.0
        )
        queue = self._queue_by_organisation.setdefault(
            ticket.organisation, _OrganisationQueue(min_served)
        )
        if not queue.tickets:
            queue.served = max(queue.served, min_served)
        queue.put(ticket)
        self._count += 1

    def pop(self) -> Ticket:
        """Removes and returns the next ticket; raises ValueError when empty."""
        queue = min(self._non_empty(), key=lambda each: each.served)
        ticket = min(queue.tickets, key=queue.sort_key)
        queue.take(ticket)
        self._count -= 1
        if not self._count:
            self._queue_by_organisation.clear()
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket without charging it, if it is still queued."""
        queue = self._queue_by_organisation.get(ticket.organisation)
        if queue is not None and ticket in queue.tickets:
            queue.tickets.remove(ticket)
            self._count -= 1

    def shed_candidate(self) -> Ticket:
        """Returns the ticket to shed first; raises ValueError when empty.

        It is the last one of the organisation whose queue would take longest
        to serve at its share.
        """

        def finish_after_all(queue: _OrganisationQueue) -> float:
            queued = sum(each.cost / each.weight for each in queue.tickets)
            return queue.served + queued

        queue = max(self._non_empty(), key=finish_after_all)
        return max(queue.tickets, key=queue.sort_key)

    def cost_ahead(self, ticket: Ticket) -> float:
        """Returns the estimated tokens that are served before a ticket."""
        own = self._queue_by_organisation[ticket.organisation]
        own_cost = sum(
            each.cost
            for each in own.tickets
            if own.sort_key(each) < own.sort_key(ticket)
        )
        own_finish = own.served + (own_cost + ticket.cost) / ticket.weight
        other_cost = 0.0
        for queue in self._non_empty():
            if queue is own:
                continue
            weight = queue.tickets[0].weight
            queued = sum(each.cost for each in queue.tickets)
            other_cost += min(
                queued, max(0.0, own_finish - queue.served) * weight
            )
        return own_cost + other_cost
