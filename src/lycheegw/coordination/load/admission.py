"""Admission control: which requests run now, which wait, which are refused.

Decides by the concurrency limit of the request's pool, the queue's order and
the time that queued requests are expected to take.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from lycheegw.coordination.load import fair_queue
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import verdicts

__all__ = ["Admission"]

# Cost of a service call, which generates no tokens.
_SERVICE_COST_TOKENS = 10.0
# Weight of a new sample in a moving average.
_DURATION_WEIGHT = 0.1
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0


def _pool_name(request: requests.Request) -> str:
    if isinstance(request.work, requests.ModelWork):
        return request.work.model
    if isinstance(request.work, requests.ServiceWork):
        return request.work.service
    return request.work.route.name


def _cost_tokens(request: requests.Request) -> float:
    if isinstance(request.work, requests.ModelWork):
        return float(max(1, request.work.max_tokens))
    return _SERVICE_COST_TOKENS


class _Pool:
    """The running and queued requests of one pool at this node.

    Attributes:
        running: Requests admitted and not yet ended.
        queue: Requests that wait.
        wakeup_by_number: Futures that wake them, by ticket number.
        token_s: Moving average of a request's seconds per token.
        duration_s_by_kind: Moving average of a request's seconds, by kind.
    """

    def __init__(self) -> None:
        self.running = 0
        self.queue = fair_queue.FairQueue()
        self.wakeup_by_number: dict[int, asyncio.Future[None]] = {}
        self.token_s = 0.0
        self.duration_s_by_kind: dict[str, float] = {}

    def note_duration(self, kind: str, cost: float, duration_s: float) -> None:
        """Updates the averages with a completed request."""
        mean_s = self.duration_s_by_kind.setdefault(kind, duration_s)
        change_s = _DURATION_WEIGHT * (duration_s - mean_s)
        self.duration_s_by_kind[kind] = mean_s + change_s
        token_s = duration_s / cost
        mean_token_s = self.token_s or token_s
        self.token_s = mean_token_s + _DURATION_WEIGHT * (
            token_s - mean_token_s
        )

    def wait_s(self, ticket: fair_queue.Ticket, limit: int) -> float:
        """Returns the expected wait of a queued ticket."""
        return self.queue.cost_ahead(ticket) * self.token_s / limit


class Admission:
    """Admits requests up to each pool's concurrency limit; queues the rest.

    Attributes:
        limit: Returns the concurrency limit of a pool.
    """

    def __init__(
        self, state: node_state.NodeState, limit: Callable[[str], int]
    ):
        self._state = state
        self.limit = limit
        self._pool_by_name: dict[str, _Pool] = {}
        self._last_number = 0

    @property
    def running(self) -> int:
        """Requests admitted and not yet ended."""
        return sum(pool.running for pool in self._pool_by_name.values())

    @contextlib.asynccontextmanager
    async def enter(self, request: requests.Request) -> AsyncIterator[None]:
        """Waits until a request may run and counts it as running meanwhile.

        Raises:
            errors.RefusalError: The request was refused and did not run.
        """
        name = _pool_name(request)
        pool = self._pool_by_name.setdefault(name, _Pool())
        if len(pool.queue) or pool.running >= self.limit(name):
            await self._wait(name, pool, request)
        else:
            pool.running += 1
        start_s = self._now_s()
        try:
            yield
            duration_s = self._now_s() - start_s
            pool.note_duration(request.kind, _cost_tokens(request), duration_s)
        finally:
            pool.running -= 1
            self._admit_waiting(name, pool)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    async def _wait(
        self, name: str, pool: _Pool, request: requests.Request
    ) -> None:
        """Waits to be admitted; raises errors.RefusalError on refusal."""
        ticket = self._new_ticket(request)
        pool.queue.put(ticket)
        wakeup = asyncio.get_running_loop().create_future()
        pool.wakeup_by_number[ticket.number] = wakeup
        self._admit_waiting(name, pool)
        self._check_deadline(name, pool, ticket)
        self._check_queue_size(name, pool)
        self._state.counters.add("admission.queued")
        try:
            await wakeup
        except asyncio.CancelledError:
            if (
                wakeup.done()
                and not wakeup.cancelled()
                and not wakeup.exception()
            ):
                pool.running -= 1
                self._admit_waiting(name, pool)
            raise
        finally:
            pool.queue.remove(ticket)
            pool.wakeup_by_number.pop(ticket.number, None)

    def _new_ticket(self, request: requests.Request) -> fair_queue.Ticket:
        owner = self._state.catalog.organisation(request.organisation)
        self._last_number += 1
        return fair_queue.Ticket(
            self._last_number,
            request.organisation,
            owner.weight if owner is not None else 1.0,
            request.kind,
            request.priority,
            _cost_tokens(request),
            request.deadline_s,
        )

    def _check_deadline(
        self, name: str, pool: _Pool, ticket: fair_queue.Ticket
    ) -> None:
        """Refuses a ticket whose deadline cannot be met."""
        if pool.wakeup_by_number[ticket.number].done():
            return
        wait_s = pool.wait_s(ticket, self.limit(name))
        if not self._is_late(pool, ticket, wait_s):
            return
        self._refuse(
            pool, ticket, reasons.RefusalReason.DEADLINE_TOO_SHORT, wait_s
        )

    def _check_queue_size(self, name: str, pool: _Pool) -> None:
        """Refuses the ticket to shed first if the queue is too long."""
        if len(pool.queue) <= self._state.limits.queue_requests:
            return
        ticket = pool.queue.shed_candidate()
        wait_s = pool.wait_s(ticket, self.limit(name))
        self._refuse(pool, ticket, reasons.RefusalReason.QUEUE_FULL, wait_s)

    def _is_late(
        self, pool: _Pool, ticket: fair_queue.Ticket, wait_s: float
    ) -> bool:
        expected_s = wait_s + pool.duration_s_by_kind.get(ticket.kind, 0.0)
        return self._now_s() + expected_s > ticket.deadline_s

    def _refuse(
        self,
        pool: _Pool,
        ticket: fair_queue.Ticket,
        reason: reasons.RefusalReason,
        wait_s: float,
    ) -> None:
        """Removes a queued ticket and raises a refusal in its request."""
        pool.queue.remove(ticket)
        delay_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        wakeup = pool.wakeup_by_number[ticket.number]
        if not wakeup.done():
            wakeup.set_exception(
                errors.RefusalError(
                    reason,
                    f"{len(pool.queue)} requests queued, about {wait_s:.1f} s",
                    verdicts.RunVerdict.NOT_RUN,
                    retry_after_s=delay_s,
                )
            )

    def _admit_waiting(self, name: str, pool: _Pool) -> None:
        """Admits queued tickets in order up to the concurrency limit."""
        limit = self.limit(name)
        while len(pool.queue) and pool.running < limit:
            ticket = pool.queue.pop()
            wakeup = pool.wakeup_by_number[ticket.number]
            if wakeup.done():
                continue
            if self._is_late(pool, ticket, 0.0):
                self._refuse(pool, ticket, reasons.RefusalReason.SHED, 0.0)
                continue
            pool.running += 1
            wakeup.set_result(None)
