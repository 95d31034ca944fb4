"""Which upstream gets an attempt of a request that is passed on."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from lycheegw.coordination import backlogs
from lycheegw.coordination import cold_rates
from lycheegw.coordination import directory
from lycheegw.coordination import fleet_rollouts
from lycheegw.coordination import head_times
from lycheegw.coordination import rendezvous
from lycheegw.coordination import zone_reach
from lycheegw.state import forwarded
from lycheegw.state import node_state
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = ["Balancer", "Choice", "NoUpstream", "affinity_key"]

# Shared tokens from which the same upstream is worth a way into another zone:
# reading them again takes longer and costs more than moving the request.
_FAR_AFFINITY_TOKENS = 8000
# Wait that a running request counts as: each lengthens the decode steps of the
# others in its batch.
_WAIT_S_PER_REQUEST = 0.01
# Wait that another zone counts as, since traffic between zones costs.
_OTHER_ZONE_S = 0.1


class Choice(NamedTuple):
    """An upstream and why it was taken.

    Attributes:
        upstream: Where the attempt goes.
        service: The service that it belongs to.
        why: What decided, for the log.
        prefill_s: Expected prefill time of the request.
        wait_s: Expected wait for the requests before it.
    """

    upstream: upstreams.Upstream
    service: routing.Service
    why: str
    prefill_s: float = 0.0
    wait_s: float = 0.0


class NoUpstream(NamedTuple):
    """Why there is none now.

    Attributes:
        known: Upstreams of the service that were looked at.
        is_cold: Whether some are there that bear no more right now.
    """

    known: int
    is_cold: bool


class Balancer:
    """Chooses upstreams by version, health, coldness, memory and load."""

    def __init__(
        self,
        state: node_state.NodeState,
        known: directory.Directory,
        rollouts: fleet_rollouts.FleetRollouts,
        rates: cold_rates.ColdRates,
        has_connection: Callable[[upstreams.Upstream], bool],
        reach: zone_reach.ZoneReach,
        times: head_times.HeadTimes,
        queued: backlogs.Backlogs,
    ):
        self._state = state
        self._times = times
        self._backlogs = queued
        self._directory = known
        self._rollouts = rollouts
        self._rates = rates
        self._has_connection = has_connection
        self._reach = reach

    def choose(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        service: routing.Service,
        model: str | None,
        tried: set[str],
        version: str | None = None,
    ) -> Choice | NoUpstream:
        """Returns the upstream of the next attempt.

        Args:
            request: What is to be sent.
            work: How it is passed on.
            service: Service that serves it.
            model: Model that the router names, if any.
            tried: Upstreams that failed it.
            version: Version that began its answer; others are a last resort.
        """
        pool = self._open_pool(service)
        options = self._usable(pool, tried)
        grouped, why = self._by_version(
            request, work, service, options, version
        )
        sendable = [
            each
            for each in grouped
            if self._rates.may_send(each, service)
            and self._has_connection(each)
        ]
        if not sendable:
            # Another version that may be used is better than none.
            sendable = [
                each
                for each in options
                if self._rollouts.may_use(service.name, each.entry.version)
                and self._rates.may_send(each, service)
                and self._has_connection(each)
            ]
            why = "other version"
        if not sendable:
            return NoUpstream(len(pool), bool(grouped))
        choice = self._pick(work, service, model, sendable)
        if why:
            choice = choice._replace(why=f"{why}, {choice.why}")
        return choice

    def is_scarce(self, service: routing.Service) -> bool:
        """Returns whether all upstreams of a service bear few requests now."""
        now_s = self._state.environment.monotonic_s()
        options = self._usable(self._open_pool(service), set())
        return all(each.is_cold(now_s) for each in options)

    def unreachable_services(self, without_peers: set[str]) -> list[str]:
        """Returns the services of which no upstream can be reached.

        Args:
            without_peers: Zones of which no node is heard.
        """
        manifest = self._directory.manifest
        if manifest is None:
            return []
        cut_off = self._reach.cut_off(without_peers)
        names = []
        for name, service in sorted(manifest.service_by_name.items()):
            zones = {each.entry.zone for each in self._open_pool(service)}
            if zones and zones <= cut_off:
                names.append(name)
        return names

    def _open_pool(self, service: routing.Service) -> list[upstreams.Upstream]:
        """Returns the upstreams of a service in zones that may get work."""
        return [
            each
            for each in self._state.upstreams.pool(service.name)
            if each.entry.zone not in self._directory.closed_zones
        ]

    def _usable(
        self, pool: Sequence[upstreams.Upstream], tried: set[str]
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams that may be reached, the best group only."""
        now_s = self._state.environment.monotonic_s()
        untried = [each for each in pool if each.entry.host_id not in tried]
        reachable = [each for each in untried if not each.is_out(now_s)]
        listed = [each for each in reachable if each.is_listed]
        away = self._reach.unreachable()
        near = [each for each in listed if each.entry.zone not in away]
        if near or not away:
            return near or listed or reachable or untried
        # What is left is in zones that were silent to others just now: a
        # refusal that comes at once serves the caller better than a time-out.
        return [each for each in pool if each.entry.zone not in away]

    def _by_version(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        service: routing.Service,
        options: Sequence[upstreams.Upstream],
        version: str | None,
    ) -> tuple[list[upstreams.Upstream], str]:
        """Returns the upstreams of the version that a request is to get."""
        if version is not None and self._rollouts.may_use(
            service.name, version
        ):
            same = [each for each in options if each.entry.version == version]
            return same, "same version"
        wants_target = self._rollouts.wants_target(
            service.name,
            request.session or request.request_id,
            affinity_key(work.traits)[0],
        )
        if wants_target is None:
            return list(options), ""
        target = self._rollouts.target(service.name)
        chosen = [
            each
            for each in options
            if (each.entry.version == target) == wants_target
        ]
        return chosen, "target version" if wants_target else ""

    def _pick(
        self,
        work: forwarded.ForwardedWork,
        service: routing.Service,
        model: str | None,
        options: list[upstreams.Upstream],
    ) -> Choice:
        """Returns the first upstream in affinity order that is worth its wait.

        Another one is worth it where it saves more time than prefill of the
        shared prefix takes there.
        """
        if service.engine is None:
            upstream = self._least_loaded(options)
            return Choice(upstream, service, "least loaded")
        traits = work.traits
        key, shared = affinity_key(traits)
        name = model or traits.model
        tokens = traits.prompt_tokens
        prefill_s = self._times.prefill_s(service.name, name, tokens)
        miss_penalty_s = self._times.miss_penalty_s(
            service.name, name, tokens, shared
        )
        is_zone_bound = shared < _FAR_AFFINITY_TOKENS
        cost_s_by_id = self._costs(options, is_zone_bound)
        bound_s = min(cost_s_by_id.values()) + miss_penalty_s
        order = self._affinity_order(
            f"{name or ''} {key}", options, is_zone_bound
        )
        rank, upstream = next(
            (rank, each)
            for rank, each in enumerate(order)
            if cost_s_by_id[each.entry.host_id] <= bound_s
        )
        return Choice(
            upstream,
            service,
            "affinity" if rank == 0 and key is not None else "shorter wait",
            prefill_s + (miss_penalty_s if rank else 0.0),
            self._wait_s(upstream),
        )

    def _costs(
        self, options: Sequence[upstreams.Upstream], is_zone_bound: bool
    ) -> dict[str, float]:
        """Returns the wait at each upstream, weighed by its zone."""
        other_zone_s = _OTHER_ZONE_S if is_zone_bound else 0.0
        return {
            each.entry.host_id: self._wait_s(each)
            + (0.0 if self._is_near(each) else other_zone_s)
            for each in options
        }

    def _affinity_order(
        self,
        key: str,
        options: Sequence[upstreams.Upstream],
        is_zone_bound: bool,
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams, those most likely to have a prefix first."""
        by_id = {each.entry.host_id: each for each in options}
        order = [by_id[each] for each in rendezvous.order(key, by_id)]
        if is_zone_bound:
            order.sort(key=lambda each: not self._is_near(each))
        return order

    def _wait_s(self, upstream: upstreams.Upstream) -> float:
        """Returns how long a new request should wait at an upstream."""
        now_s = self._state.environment.monotonic_s()
        backlog_s = self._backlogs.wait_s(upstream.entry.host_id)
        return backlog_s + _WAIT_S_PER_REQUEST * upstream.estimated_load(now_s)

    def _is_near(self, upstream: upstreams.Upstream) -> bool:
        return upstream.entry.zone == self._state.identity.zone

    def _least_loaded(
        self, options: Sequence[upstreams.Upstream]
    ) -> upstreams.Upstream:
        """Returns the least loaded, of equal ones one of the own zone."""
        now_s = self._state.environment.monotonic_s()
        zone = self._state.identity.zone

        def rank(upstream: upstreams.Upstream) -> tuple[float, bool, float]:
            slots = max(1, upstream.entry.slots)
            load = round(upstream.estimated_load(now_s) / slots, 1)
            is_far = upstream.entry.zone != zone
            return load, is_far, self._state.environment.random.random()

        return min(options, key=rank)


def affinity_key(traits: forwarded.Traits) -> tuple[str | None, int]:
    """Returns what requests with the same start of a prompt share.

    The last part belongs to the request or its session alone, so the key is
    the part before it; the second value counts the tokens up to there.
    """
    shared = traits.prompt[:-1]
    if not shared:
        return None, 0
    return shared[-1].part_id, sum(part.tokens for part in shared)
