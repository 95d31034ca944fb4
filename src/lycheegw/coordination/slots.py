"""Bounds the requests that a cold upstream runs at once, over all nodes.

A request to a cold upstream needs a slot, which this node holds by a lease of
the upstream's grantor.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
from typing import NamedTuple

from lycheegw.coordination import cold_detection
from lycheegw.coordination import rendezvous
from lycheegw.coordination import slot_grantor
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import upstreams
from lycheegw.state import verdicts

__all__ = ["RequestSlots", "SlotHolder", "Slots", "per_node_allowance"]

_RENEW_INTERVAL_S = 0.5
_MIN_RENEW_GAP_S = 0.1
# Grantors that a node sends requests to in one round.
_MAX_GRANTORS = 12
_MAX_RECHECK_INTERVAL_S = 0.25
# Share of the time left at the start of a wait that is reserved for the run.
_RUN_TIME_SHARE = 0.1

RequestSlots = Callable[
    [str, Sequence[slot_grantor.SlotRequest]],
    Awaitable[Sequence[slot_grantor.SlotLease]],
]
Allowance = Callable[[upstreams.Upstream], int | None]
FindCandidates = Callable[[], Sequence[list[upstreams.Upstream]]]
Choose = Callable[[list[upstreams.Upstream]], upstreams.Upstream]


class _Lease(NamedTuple):
    """Slots that this node holds until a monotonic second."""

    slots: int
    until_s: float


class SlotHolder:
    """Requests and holds leases on the slots of cold upstreams."""

    def __init__(
        self,
        state: node_state.NodeState,
        cold_detector: cold_detection.ColdDetector,
        grantor: slot_grantor.SlotGrantor,
        request_slots: RequestSlots,
    ):
        self._state = state
        self._cold_detector = cold_detector
        self._grantor = grantor
        self._request_slots = request_slots
        self._lease_by_id: dict[str, _Lease] = {}
        self._waiting_by_pool: dict[str, int] = {}
        self._has_waiting = asyncio.Event()
        self.on_change: Callable[[], None] = lambda: None

    def allowance(self, upstream: upstreams.Upstream) -> int | None:
        """Returns how many requests this node may run there, None for any."""
        if self._cold_detector.limit(upstream) is None:
            return None
        lease = self._lease_by_id.get(upstream.entry.host_id)
        now_s = self._state.environment.monotonic_s()
        leased = lease.slots if lease and lease.until_s > now_s else 0
        return max(leased, self._grantor.minimum_slots(upstream))

    @contextlib.contextmanager
    def waiting(self, pool: str):  # type: ignore[no-untyped-def]
        """Counts a request that waits for a slot of `pool`."""
        self._waiting_by_pool[pool] = self._waiting_by_pool.get(pool, 0) + 1
        self._has_waiting.set()
        try:
            yield
        finally:
            self._waiting_by_pool[pool] -= 1

    async def run(self) -> None:
        """Renews the leases until cancelled."""
        sleep = self._state.environment.sleep
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RENEW_INTERVAL_S):
                    await self._has_waiting.wait()
            self._has_waiting.clear()
            await self.renew()
            await sleep(_MIN_RENEW_GAP_S)

    async def renew(self) -> None:
        """Requests leases for the cold upstreams that this node needs."""
        self._grantor.tick()
        self._cold_detector.note_zones()
        now_s = self._state.environment.monotonic_s()
        slot_requests = self._requests_by_grantor()
        await asyncio.gather(
            *(
                self._request_leases(each, slot_requests[each], now_s)
                for each in slot_requests
            ),
            *(
                self._probe(each)
                for each in self._grantor.nodes_ranked_before()
            ),
        )
        self.on_change()

    async def _probe(self, node_id: str) -> None:
        """Checks whether a node that ranks before this one replies."""
        try:
            await self._request_slots(node_id, [])
        except errors.PeerUnavailableError:
            self._grantor.note_probe(node_id, False)
        else:
            self._grantor.note_probe(node_id, True)

    async def _request_leases(
        self,
        grantor_id: str,
        slot_requests: list[slot_grantor.SlotRequest],
        now_s: float,
    ) -> None:
        try:
            leases = await self._request_slots(grantor_id, slot_requests)
        except errors.PeerUnavailableError:
            self._state.counters.add("slots.steward_unavailable")
            return
        for lease in leases:
            self._lease_by_id[lease.upstream_id] = _Lease(
                lease.slots, now_s + slot_grantor.LEASE_S
            )

    def _requests_by_grantor(self) -> dict[str, list[slot_grantor.SlotRequest]]:
        """Returns the slot requests by grantor, for a few grantors."""
        slot_requests: dict[str, list[slot_grantor.SlotRequest]] = {}
        for upstream in self._needed_upstreams():
            grantor_id = self._grantor.grantor_of(upstream)
            if grantor_id is None:
                continue
            if (
                grantor_id not in slot_requests
                and len(slot_requests) >= _MAX_GRANTORS
            ):
                continue
            slot_requests.setdefault(grantor_id, []).append(
                self._slot_request(upstream)
            )
        return slot_requests

    def _needed_upstreams(self) -> list[upstreams.Upstream]:
        """Returns the cold upstreams to request slots of, by preference.

        Each node has an order of its own, so that each needs only a few
        grantors if there are many nodes and many cold upstreams.
        """
        by_id = self._state.upstreams.by_id
        needed = [
            upstream_id
            for upstream_id, upstream in by_id.items()
            if self._is_needed(upstream)
        ]
        ordered = rendezvous.order(self._state.identity.node_id, needed)
        return [by_id[upstream_id] for upstream_id in ordered]

    def _is_needed(self, upstream: upstreams.Upstream) -> bool:
        entry = upstream.entry
        has_work = (
            upstream.in_flight > 0
            or self._waiting_by_pool.get(entry.pool, 0) > 0
        )
        return (
            has_work
            and not entry.is_leaving
            and self._state.catalog.is_zone_serving(entry.zone)
            and self._cold_detector.limit(upstream) is not None
        )

    def _slot_request(
        self, upstream: upstreams.Upstream
    ) -> slot_grantor.SlotRequest:
        waiting = self._waiting_by_pool.get(upstream.entry.pool, 0)
        held = upstream.in_flight
        age_s = self._cold_detector.age_s(upstream)
        return slot_grantor.SlotRequest(
            upstream.entry.host_id,
            min(held + waiting, self._state.limits.warm_limit),
            held,
            -1.0 if age_s is None else age_s,
        )


def per_node_allowance(cold_detector: cold_detection.ColdDetector) -> Allowance:
    """Returns an allowance that ignores what other nodes run."""
    return cold_detector.limit


class Slots:
    """Assigns requests to upstreams with a free slot.

    Attributes:
        allowance: Returns how many requests this node may run at an
            upstream, None if unbounded.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        cold_detector: cold_detection.ColdDetector,
        allowance: Allowance,
        waiting: Callable[
            [str], contextlib.AbstractContextManager[None]
        ] = lambda pool: contextlib.nullcontext(),
    ):
        self._state = state
        self._cold_detector = cold_detector
        self.allowance = allowance
        self._waiting = waiting
        self._changed = asyncio.Event()

    def has_free(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether this node may send one more request there."""
        allowed = self.allowance(upstream)
        return allowed is None or upstream.in_flight < allowed

    async def pick(
        self,
        request: requests.Request,
        pool: str,
        find_candidates: FindCandidates,
        choose: Choose,
    ) -> upstreams.Upstream | None:
        """Returns an upstream with a free slot; waits for one if needed.

        Args:
            request: The request that needs it.
            pool: Name of the pool.
            find_candidates: Returns groups of candidates, preferred ones
                first.
            choose: Picks one of the candidates with a free slot.

        Returns:
            The upstream, or None if there are no candidates.

        Raises:
            errors.RefusalError: COLD_LIMIT, no slot became free in time.
        """
        picked, has_candidates = self._pick_free(find_candidates, choose)
        if picked is not None or not has_candidates:
            return picked
        self._state.trace(request.request_id, "slot_wait", pool=pool)
        self._state.counters.add("slots.waits")
        give_up_at_s = self._give_up_at_s(request)
        with self._waiting(pool):
            while self._state.environment.monotonic_s() < give_up_at_s:
                await self._wait_for_change(give_up_at_s)
                picked, has_candidates = self._pick_free(
                    find_candidates, choose
                )
                if picked is not None or not has_candidates:
                    return picked
        raise errors.RefusalError(
            reasons.RefusalReason.COLD_LIMIT,
            f"all upstreams of {pool} are cold and at their limit",
            verdicts.RunVerdict.NOT_RUN,
            retry_after_s=self._state.limits.warm_up_s,
        )

    def _pick_free(
        self, find_candidates: FindCandidates, choose: Choose
    ) -> tuple[upstreams.Upstream | None, bool]:
        """Returns an upstream, if any, and whether there are candidates."""
        groups = find_candidates()
        for group in groups:
            free = [each for each in group if self.has_free(each)]
            if free:
                return choose(free), True
        return None, any(groups)

    def _give_up_at_s(self, request: requests.Request) -> float:
        """Returns when too little time is left to wait any longer."""
        now_s = self._state.environment.monotonic_s()
        return now_s + (request.deadline_s - now_s) * (1 - _RUN_TIME_SHARE)

    async def _wait_for_change(self, until_s: float) -> None:
        """Waits until a slot may be free, or until the next check is due."""
        left_s = until_s - self._state.environment.monotonic_s()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(_MAX_RECHECK_INTERVAL_S, max(0.0, left_s))
            ):
                await self._changed.wait()

    def notify(self) -> None:
        """Wakes the requests that wait for a slot."""
        self._changed.set()
        self._changed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def hold(
        self, upstream: upstreams.Upstream, request: requests.Request
    ) -> AsyncIterator[None]:
        """Counts an attempt as running there until the context ends."""
        del request
        upstream.in_flight += 1
        try:
            yield
        except errors.UpstreamError as error:
            self._cold_detector.note_failure(upstream, error)
            raise
        finally:
            upstream.in_flight -= 1
            self.notify()
