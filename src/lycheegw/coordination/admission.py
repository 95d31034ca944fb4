"""Admission: which requests run now, which wait and which are refused."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from lycheegw.coordination import fair_queue
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests

__all__ = ["Admission"]

_SERVICE_TOKENS = 10.0
_TIME_WEIGHT = 0.1
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0


def _pool_of(request: requests.Request) -> str:
    if isinstance(request.work, requests.ModelWork):
        return request.work.model
    if isinstance(request.work, requests.ServiceWork):
        return request.work.service
    return request.work.route.name


def _cost_of(request: requests.Request) -> float:
    if isinstance(request.work, requests.ModelWork):
        return float(max(1, request.work.max_tokens))
    return _SERVICE_TOKENS


class _Pool:
    """Requests of one pool at this node.

    Attributes:
        running: Requests let in and not yet ended.
        queue: Requests that wait.
        turn_by_number: What wakes each of them.
        token_s: Usual seconds for a token, over whole requests.
        duration_s_by_kind: Usual seconds for a request of each kind.
    """

    def __init__(self) -> None:
        self.running = 0
        self.queue = fair_queue.FairQueue()
        self.turn_by_number: dict[int, asyncio.Future[None]] = {}
        self.token_s = 0.0
        self.duration_s_by_kind: dict[str, float] = {}

    def note_duration(self, kind: str, cost: float, duration_s: float) -> None:
        """Takes the time of a request that was answered."""
        known_s = self.duration_s_by_kind.setdefault(kind, duration_s)
        change_s = _TIME_WEIGHT * (duration_s - known_s)
        self.duration_s_by_kind[kind] = known_s + change_s
        token_s = duration_s / cost
        known_token_s = self.token_s or token_s
        self.token_s = known_token_s + _TIME_WEIGHT * (token_s - known_token_s)

    def wait_s(self, ticket: fair_queue.Ticket, limit: int) -> float:
        """Returns about how long a queued ticket waits."""
        return self.queue.cost_before(ticket) * self.token_s / limit


class Admission:
    """Lets requests in up to what the upstreams bear; queues the rest.

    Attributes:
        limit: Returns the bound on requests at once for a pool.
    """

    def __init__(
        self, state: node_state.NodeState, limit: Callable[[str], int]
    ):
        self._state = state
        self.limit = limit
        self._pool_by_name: dict[str, _Pool] = {}
        self._numbers = 0

    @property
    def running(self) -> int:
        """Requests let in and not yet ended."""
        return sum(pool.running for pool in self._pool_by_name.values())

    @contextlib.asynccontextmanager
    async def enter(self, request: requests.Request) -> AsyncIterator[None]:
        """Holds a place while a request runs.

        Raises:
            errors.RefusalError: The request is shed, not run.
        """
        name = _pool_of(request)
        pool = self._pool_by_name.setdefault(name, _Pool())
        if len(pool.queue) or pool.running >= self.limit(name):
            await self._wait(name, pool, request)
        else:
            pool.running += 1
        begin_s = self._now_s()
        try:
            yield
            duration_s = self._now_s() - begin_s
            pool.note_duration(request.kind, _cost_of(request), duration_s)
        finally:
            pool.running -= 1
            self._let_in(name, pool)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    async def _wait(
        self, name: str, pool: _Pool, request: requests.Request
    ) -> None:
        """Waits for a place; raises errors.RefusalError."""
        ticket = self._ticket(request)
        pool.queue.put(ticket)
        turn = asyncio.get_running_loop().create_future()
        pool.turn_by_number[ticket.number] = turn
        self._let_in(name, pool)
        self._check_deadline(name, pool, ticket)
        self._check_room(name, pool)
        self._state.counters.add("admission.queued")
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled() and not turn.exception():
                pool.running -= 1
                self._let_in(name, pool)
            raise
        finally:
            pool.queue.remove(ticket)
            pool.turn_by_number.pop(ticket.number, None)

    def _ticket(self, request: requests.Request) -> fair_queue.Ticket:
        owner = self._state.catalog.organisation(request.organisation)
        self._numbers += 1
        return fair_queue.Ticket(
            self._numbers,
            request.organisation,
            owner.weight if owner is not None else 1.0,
            request.kind,
            request.priority,
            _cost_of(request),
            request.deadline_s,
        )

    def _check_deadline(
        self, name: str, pool: _Pool, ticket: fair_queue.Ticket
    ) -> None:
        """Refuses a ticket at once whose deadline can't be met."""
        if pool.turn_by_number[ticket.number].done():
            return
        wait_s = pool.wait_s(ticket, self.limit(name))
        if not self._is_late(pool, ticket, wait_s):
            return
        self._refuse(
            pool, ticket, reasons.RefusalReason.DEADLINE_TOO_SHORT, wait_s
        )

    def _check_room(self, name: str, pool: _Pool) -> None:
        """Sheds what goes last where too many wait."""
        if len(pool.queue) <= self._state.limits.queue_requests:
            return
        ticket = pool.queue.last()
        wait_s = pool.wait_s(ticket, self.limit(name))
        self._refuse(pool, ticket, reasons.RefusalReason.QUEUE_FULL, wait_s)

    def _is_late(
        self, pool: _Pool, ticket: fair_queue.Ticket, wait_s: float
    ) -> bool:
        needed_s = wait_s + pool.duration_s_by_kind.get(ticket.kind, 0.0)
        return self._now_s() + needed_s > ticket.deadline_s

    def _refuse(
        self,
        pool: _Pool,
        ticket: fair_queue.Ticket,
        reason: reasons.RefusalReason,
        wait_s: float,
    ) -> None:
        """Ends the wait of a ticket by a refusal, not run."""
        pool.queue.remove(ticket)
        again_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        turn = pool.turn_by_number[ticket.number]
        if not turn.done():
            turn.set_exception(
                errors.RefusalError(
                    reason,
                    f"{len(pool.queue)} requests wait, about {wait_s:.1f} s",
                    retry_after_s=again_s,
                )
            )

    def _let_in(self, name: str, pool: _Pool) -> None:
        """Gives free places to the tickets that go first."""
        limit = self.limit(name)
        while len(pool.queue) and pool.running < limit:
            ticket = pool.queue.pop()
            turn = pool.turn_by_number[ticket.number]
            if turn.done():
                continue
            if self._is_late(pool, ticket, 0.0):
                self._refuse(pool, ticket, reasons.RefusalReason.SHED, 0.0)
                continue
            pool.running += 1
            turn.set_result(None)
