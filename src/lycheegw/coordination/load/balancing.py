"""Load balancing: selects the upstream of an attempt at a forwarded request.

Zones, reachability, versions, shared rates and what upstreams announce decide
which upstreams may get the request. Among these, prefix-cache affinity is
weighed against the expected wait.
"""

from collections.abc import Callable
from collections.abc import Sequence
import operator
from typing import NamedTuple

from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import directory
from lycheegw.coordination import rendezvous
from lycheegw.coordination import shared_rates
from lycheegw.coordination import upstream_notices
from lycheegw.coordination import zone_reachability
from lycheegw.coordination.load import backlogs
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import selection
from lycheegw.coordination.load import speeds
from lycheegw.coordination.load import zone_costs
from lycheegw.state import edge_settings
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = ["Balancer", "Choice", "NoUpstream", "affinity_key"]

# From this many shared tokens, a prefix has a single home in all zones: reading
# it again takes longer and costs more than the cross-zone traffic.
_CROSS_ZONE_AFFINITY_TOKENS = 8000
# Wait added for each running request, since each lengthens the decode steps of
# the others in its batch.
_WAIT_S_PER_REQUEST = 0.01
# Share of its slots up to which an upstream without an engine counts as free.
# The rest is for what other nodes have sent there meanwhile.
_FREE_SHARE = 0.5
# Shares of an upstream's slots that differ by less are equal: estimates of
# speeds and loads aren't better, and one request of a few slots is more.
_EQUAL_LOAD = 0.05
# Duration of a response that is assumed of a service without any samples.
_UNKNOWN_DURATION_S = 0.05


class Choice(NamedTuple):
    """The upstream selected for an attempt, and why.

    Attributes:
        upstream: Upstream that gets the attempt.
        service: Service that the upstream belongs to.
        selection_reason: Reason for the selection, for the log.
        prefill_s: Expected prefill time of the request.
        wait_s: Expected wait for the requests queued before it.
        objections: What spoke against the upstream when it was selected, as a
            last resort; see `Balancer.objections`.
        speed: Time that work takes there, relative to the service's mean; the
            times above include it.
    """

    upstream: upstreams.Upstream
    service: routing.Service
    selection_reason: str
    prefill_s: float = 0.0
    wait_s: float = 0.0
    objections: frozenset[str] = frozenset()
    speed: float = 1.0

    @property
    def work_s(self) -> float:
        """Expected prefill time of the request at the usual speed."""
        return self.prefill_s / self.speed


class NoUpstream(NamedTuple):
    """Why no upstream can get an attempt now.

    Attributes:
        pool_size: Number of the service's upstreams that were considered.
        is_at_limit: Whether some are available but at their limit.
        pause_s: Seconds until the first one wants requests again, if all of
            them asked for a pause; else 0.
        is_limit_announced: Whether some are at a limit that they announced, or
            brittle.
    """

    pool_size: int
    is_at_limit: bool
    pause_s: float = 0.0
    is_limit_announced: bool = False


class _Estimates(NamedTuple):
    """What is expected of each of several upstreams, in the same order.

    Attributes:
        waits_s: Waits for the requests queued before.
        prefills_s: Prefill times of the request.
        misses_s: Parts of these that an upstream with the prefix saves.
        crossings_s: Waits that are worth as much as crossing zones.
        speeds: Time that work takes, relative to the service's mean. Waits and
            prefill times include it.
    """

    waits_s: list[float]
    prefills_s: list[float]
    misses_s: list[float]
    crossings_s: list[float]
    speeds: list[float]

    def costs_s(self) -> list[float]:
        """Returns the times to the first byte, with what crossing is worth."""
        return list(
            map(
                operator.add,
                map(operator.add, self.waits_s, self.prefills_s),
                self.crossings_s,
            )
        )


class Balancer:
    """Selects upstreams by health, version, cold limits, affinity and load.

    Attributes:
        affinity_order: Returns upstreams of a model, the likeliest to cache the
            prefix of a prompt first.
        cached_tokens: Returns the shared tokens of a prompt that upstreams in
            this order have cached.
        crossing_s: Returns the wait that is worth as much as sending work to a
            zone.
        select: Returns the rank of the upstream to take.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        fleet_directory: directory.Directory,
        rollouts: canary_rollouts.CanaryRollouts,
        rates: shared_rates.SharedRates,
        notices: upstream_notices.UpstreamNotices,
        has_connection: Callable[[upstreams.Upstream], bool],
        reachability: zone_reachability.ZoneReachability,
        timings: response_times.ResponseTimes,
        prefill_backlogs: backlogs.Backlogs,
        upstream_speeds: speeds.Speeds,
    ):
        self.affinity_order = self._rendezvous_order
        self.cached_tokens = self._assume_first_cached
        costs = zone_costs.ZoneCosts(
            state.identity.zone, edge_settings.LoadSettings()
        )
        self.crossing_s = costs.work_crossing_s
        self.select: selection.Policy = selection.first_as_good
        self._speeds = upstream_speeds
        self._state = state
        self._response_times = timings
        self._backlogs = prefill_backlogs
        self._directory = fleet_directory
        self._rollouts = rollouts
        self._rates = rates
        self._notices = notices
        self._has_connection = has_connection
        self._zone_reachability = reachability

    def choose(
        self,
        request: requests.Request,
        work: forwarded_requests.ForwardedWork,
        service: routing.Service,
        model: str | None,
        tried: set[str],
        version: str | None = None,
    ) -> Choice | NoUpstream:
        """Returns the upstream of the next attempt.

        Args:
            request: Request to send.
            work: What is forwarded, and its route.
            service: Service that handles it.
            model: Model that the router asks for, if any.
            tried: Ids of upstreams that have failed the request.
            version: Version that began to stream the response; other
                versions are a last resort.
        """
        pool = self._open_pool(service)
        unpaused = [each for each in pool if not self._notices.pause_s(each)]
        if pool and not unpaused:
            pause_s = min(map(self._notices.pause_s, pool))
            return NoUpstream(len(pool), False, pause_s)
        options = self._usable(unpaused, tried)
        version_options, why = self._filter_by_version(
            request, work, service, options, version
        )
        sendable = [
            each
            for each in version_options
            if self._rates.may_send(each, service)
            and self._has_connection(each)
        ]
        if not sendable:
            # Any usable version is better than a refusal.
            sendable = [
                each
                for each in options
                if self._rollouts.allows_version(
                    service.name, each.entry.version
                )
                and self._rates.may_send(each, service)
                and self._has_connection(each)
            ]
            why = "other version"
        if not sendable:
            is_limit_announced = any(
                self._notices.limit_per_s(each) is not None
                or self._notices.is_brittle(each)
                for each in version_options
            )
            return NoUpstream(
                len(pool),
                bool(version_options),
                is_limit_announced=is_limit_announced,
            )
        choice = self._pick_upstream(work, service, model, sendable)
        choice = choice._replace(
            objections=self.objections(choice.upstream, service)
        )
        if why:
            choice = choice._replace(
                selection_reason=f"{why}, {choice.selection_reason}"
            )
        return choice

    def objections(
        self, upstream: upstreams.Upstream, service: routing.Service
    ) -> frozenset[str]:
        """Returns the reasons for which an upstream should get no request."""
        entry = upstream.entry
        is_cold = upstream.is_cold(self._state.environment.monotonic_s())
        found = {
            "gone": self._state.upstreams.by_id.get(entry.host_id)
            is not upstream,
            "leaving": entry.is_leaving or self._notices.is_leaving(upstream),
            "paused": self._notices.pause_s(upstream) > 0,
            "limited": self._notices.limit_per_s(upstream) is not None,
            "brittle": self._notices.is_brittle(upstream),
            "zone_closed": entry.zone in self._directory.closed_zones,
            "version": self._rollouts.is_withdrawn(service.name, entry.version),
            "cold": is_cold,
        }
        return frozenset(reason for reason, holds in found.items() if holds)

    def are_all_cold(self, service: routing.Service) -> bool:
        """Returns whether all usable upstreams of a service are cold."""
        now_s = self._state.environment.monotonic_s()
        options = self._usable(self._open_pool(service), set())
        return all(each.is_cold(now_s) for each in options)

    def unreachable_services(self, without_peers: set[str]) -> list[str]:
        """Returns the services whose upstreams are all unreachable.

        Args:
            without_peers: Zones in which no peer is reachable.
        """
        manifest = self._directory.manifest
        if manifest is None:
            return []
        cut_off = self._zone_reachability.cut_off(without_peers)
        names = []
        for name, service in sorted(manifest.service_by_name.items()):
            zones = {each.entry.zone for each in self._open_pool(service)}
            if zones and zones <= cut_off:
                names.append(name)
        return names

    def _open_pool(self, service: routing.Service) -> list[upstreams.Upstream]:
        """Returns the upstreams of a service in zones that are not closed."""
        return [
            each
            for each in self._state.upstreams.accepting_in_pool(service.name)
            if each.entry.zone not in self._directory.closed_zones
            and not self._notices.is_leaving(each)
        ]

    def _usable(
        self, pool: Sequence[upstreams.Upstream], tried: set[str]
    ) -> list[upstreams.Upstream]:
        """Returns the untried upstreams that are likeliest to be reachable."""
        now_s = self._state.environment.monotonic_s()
        untried = [each for each in pool if each.entry.host_id not in tried]
        reachable = [each for each in untried if not each.is_excluded(now_s)]
        listed = [each for each in reachable if each.is_listed]
        silent_zones = self._zone_reachability.unreachable()
        preferred = [
            each for each in listed if each.entry.zone not in silent_zones
        ]
        if preferred or not silent_zones:
            return preferred or listed or reachable or untried
        # All that is left is in zones where other requests just timed out.
        # An immediate refusal serves the client better than a timeout.
        return [each for each in pool if each.entry.zone not in silent_zones]

    def _filter_by_version(
        self,
        request: requests.Request,
        work: forwarded_requests.ForwardedWork,
        service: routing.Service,
        options: Sequence[upstreams.Upstream],
        version: str | None,
    ) -> tuple[list[upstreams.Upstream], str]:
        """Returns the upstreams of the request's version, and why that one."""
        if version is not None and self._rollouts.allows_version(
            service.name, version
        ):
            same = [each for each in options if each.entry.version == version]
            return same, "same version"
        wants_target = self._rollouts.wants_target(
            service.name,
            request.request_id,
            affinity_key(work.traits)[0],
            request.session,
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

    def _pick_upstream(
        self,
        work: forwarded_requests.ForwardedWork,
        service: routing.Service,
        model: str | None,
        options: list[upstreams.Upstream],
    ) -> Choice:
        """Returns the upstream at which the response is expected soonest.

        Among those that are as good, by what is known, it is the first in
        affinity order.
        """
        if service.engine is None:
            return self._pick_by_requests(work, service, options)
        name = model or work.traits.model
        order = self.affinity_order(work, name, options)
        estimates = self._estimates(work, service, name, order)
        rank = self.select(
            estimates.costs_s(), estimates.misses_s, self._backlogs.age_used_s()
        )
        is_home = rank == 0 and affinity_key(work.traits)[0] is not None
        return Choice(
            order[rank],
            service,
            "affinity" if is_home else "shorter wait",
            estimates.prefills_s[rank],
            estimates.waits_s[rank],
            speed=estimates.speeds[rank],
        )

    def _estimates(
        self,
        work: forwarded_requests.ForwardedWork,
        service: routing.Service,
        model: str | None,
        order: Sequence[upstreams.Upstream],
    ) -> _Estimates:
        """Returns what is expected of each upstream, in the same order."""
        tokens = work.traits.prompt_tokens
        shared = affinity_key(work.traits)[1]
        prefill_s = self._response_times.prefill_s(service.name, model, tokens)
        miss_penalty_s = self._response_times.miss_penalty_s(
            service.name, model, tokens, shared
        )
        missing_shares = [
            1 - cached / shared if shared else 0.0
            for cached in self.cached_tokens(work, model, order)
        ]
        speeds_by_rank = self._speeds.factors(order)
        misses_s = [
            speed * miss_penalty_s * share
            for speed, share in zip(speeds_by_rank, missing_shares, strict=True)
        ]
        return _Estimates(
            [
                speed * wait_s
                for speed, wait_s in zip(
                    speeds_by_rank, self._waits_s(order), strict=True
                )
            ],
            [
                speed * prefill_s + miss_s
                for speed, miss_s in zip(speeds_by_rank, misses_s, strict=True)
            ],
            misses_s,
            self._crossings_s(work, order),
            speeds_by_rank,
        )

    def _rendezvous_order(
        self,
        work: forwarded_requests.ForwardedWork,
        model: str | None,
        options: Sequence[upstreams.Upstream],
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams, the likeliest to cache the prefix first."""
        key, shared = affinity_key(work.traits)
        by_id = {each.entry.host_id: each for each in options}
        weights = self._speeds.weights(options)
        order = [
            by_id[each]
            for each in rendezvous.weighted_order(
                f"{model or ''} {key or work.traits.request_id}",
                dict(zip(by_id, weights, strict=True)),
            )
        ]
        # The others are as likely to cache it, so near ones come first.
        homes = order[: shared >= _CROSS_ZONE_AFFINITY_TOKENS]
        others = order[len(homes) :]
        others.sort(key=lambda each: not self._is_local(each))
        return homes + others

    def _assume_first_cached(
        self,
        work: forwarded_requests.ForwardedWork,
        model: str | None,
        order: Sequence[upstreams.Upstream],
    ) -> list[int]:
        """Returns the cached tokens if the first has the whole prefix."""
        del model
        return [affinity_key(work.traits)[1]] + [0] * (len(order) - 1)

    def _crossings_s(
        self,
        work: forwarded_requests.ForwardedWork,
        order: Sequence[upstreams.Upstream],
    ) -> list[float]:
        """Returns what the crossing to each upstream's zone is worth."""
        zones = [each.entry.zone for each in order]
        by_zone = {zone: self.crossing_s(work, zone) for zone in set(zones)}
        return [by_zone[zone] for zone in zones]

    def _waits_s(self, order: Sequence[upstreams.Upstream]) -> list[float]:
        """Returns the expected waits of a new request, at the usual speed."""
        now_s = self._state.environment.monotonic_s()
        backlogs_s = self._backlogs.waits_s(
            [each.entry.host_id for each in order]
        )
        reports = [each.report for each in order if each.report is not None]
        total = sum(each.running + each.queued for each in reports)
        # An upstream that isn't heard of has as much to do as the others.
        usual = total / len(reports) if reports else 0.0
        return [
            backlog_s + _WAIT_S_PER_REQUEST * each.estimated_load(now_s, usual)
            for backlog_s, each in zip(backlogs_s, order, strict=True)
        ]

    def _is_local(self, upstream: upstreams.Upstream) -> bool:
        return upstream.entry.zone == self._state.identity.zone

    def _pick_by_requests(
        self,
        work: forwarded_requests.ForwardedWork,
        service: routing.Service,
        options: Sequence[upstreams.Upstream],
    ) -> Choice:
        """Returns the upstream that answers soonest by requests in flight.

        Those of all nodes count, by what they told the aggregator, and at least
        those that the upstream reported and that this node has sent.
        """
        now_s = self._state.environment.monotonic_s()
        usual_s = self._response_times.expected_first_byte_s(
            service.name, None, 0
        )
        # Without samples, work that others measured can't be counted.
        duration_s = usual_s or _UNKNOWN_DURATION_S
        told_weight = 0.0 if usual_s is None else 1.0 / duration_s
        speeds_by_rank = self._speeds.factors(options)
        told_s = self._backlogs.waits_s(
            [each.entry.host_id for each in options]
        )
        shares = [
            max(backlog_s * told_weight, each.estimated_load(now_s))
            / max(1, each.entry.slots)
            for backlog_s, each in zip(told_s, options, strict=True)
        ]
        costs_s = [
            speed * duration_s * (1 + share)
            for speed, share in zip(speeds_by_rank, shares, strict=True)
        ]
        free = [
            rank
            for rank, each in enumerate(options)
            if self._is_local(each) and shares[rank] <= _FREE_SHARE
        ]
        crossings_s = self._crossings_s(work, options)
        least_s = min(costs_s) + max(crossings_s)
        if free and min(costs_s[each] for each in free) > least_s:
            # Those of the own zone are slower by more than a crossing costs.
            free = []
        ranks = free or range(len(options))
        bound_s = _EQUAL_LOAD * duration_s + min(
            costs_s[each] for each in ranks
        )
        random = self._state.environment.random.random
        rank = min(
            (each for each in ranks if costs_s[each] <= bound_s),
            key=lambda each: (crossings_s[each], random()),
        )
        return Choice(
            options[rank],
            service,
            "least loaded",
            speeds_by_rank[rank] * duration_s,
            costs_s[rank] - speeds_by_rank[rank] * duration_s,
            speed=speeds_by_rank[rank],
        )


def affinity_key(
    traits: forwarded_requests.RequestTraits,
) -> tuple[str | None, int]:
    """Returns the key and the tokens of the prompt prefix that is shared.

    The last part of a prompt belongs to the request or its session alone, so
    the key is the id of the part before it, None without such a part.
    """
    shared = traits.prompt[:-1]
    if not shared:
        return None, 0
    return shared[-1].part_id, sum(part.tokens for part in shared)
