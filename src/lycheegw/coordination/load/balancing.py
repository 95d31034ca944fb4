"""Load balancing: selects the upstream of an attempt at a forwarded request.

Zones, reachability, versions, shared rates and what upstreams announce decide
which upstreams may get the request. Among these, prefix-cache affinity is
weighed against the expected wait.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import directory
from lycheegw.coordination import rendezvous
from lycheegw.coordination import shared_rates
from lycheegw.coordination import upstream_notices
from lycheegw.coordination import zone_reachability
from lycheegw.coordination.load import backlogs
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import zone_costs
from lycheegw.state import edge_settings
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = ["Balancer", "Choice", "NoUpstream", "affinity_key"]

# From this many shared tokens, a prefix has one home in all zones, since
# reading it again in each zone takes longer than crossing.
_CROSS_ZONE_AFFINITY_TOKENS = 8000
# Wait added for each running request, since each lengthens the decode steps of
# the others in its batch.
_WAIT_S_PER_REQUEST = 0.01
# Share of its slots up to which an upstream without an engine counts as free.
# The rest is for what other nodes have sent there meanwhile.
_FREE_SHARE = 0.5


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
    """

    upstream: upstreams.Upstream
    service: routing.Service
    selection_reason: str
    prefill_s: float = 0.0
    wait_s: float = 0.0
    objections: frozenset[str] = frozenset()


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


class Balancer:
    """Selects upstreams by health, version, cold limits, affinity and load.

    Attributes:
        crossing_s: Returns the wait that is worth as much as sending work to a
            zone.
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
    ):
        self._state = state
        self._response_times = timings
        self._backlogs = prefill_backlogs
        costs = zone_costs.ZoneCosts(
            state.identity.zone, edge_settings.LoadSettings()
        )
        self.crossing_s = costs.work_crossing_s
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
        """Returns the first upstream in affinity order with a tolerable wait.

        The wait is tolerable if it exceeds the shortest one by no more than
        the time to prefill the shared prefix on another upstream.
        """
        if service.engine is None:
            upstream = self._pick_least_loaded(work, options)
            return Choice(upstream, service, "least loaded")
        traits = work.traits
        key, shared = affinity_key(traits)
        name = model or traits.model
        tokens = traits.prompt_tokens
        prefill_s = self._response_times.prefill_s(service.name, name, tokens)
        miss_penalty_s = self._response_times.miss_penalty_s(
            service.name, name, tokens, shared
        )
        crossing_s_by_zone = self._crossing_s_by_zone(work, options)
        wait_s_by_id = {
            each.entry.host_id: self._wait_s(each)
            + crossing_s_by_zone[each.entry.zone]
            for each in options
        }
        max_wait_s = min(wait_s_by_id.values()) + miss_penalty_s
        order = self._affinity_order(
            f"{name or ''} {key}", options, shared, crossing_s_by_zone
        )
        rank, upstream = next(
            (rank, each)
            for rank, each in enumerate(order)
            if wait_s_by_id[each.entry.host_id] <= max_wait_s
        )
        return Choice(
            upstream,
            service,
            "affinity" if rank == 0 and key is not None else "shorter wait",
            prefill_s + (miss_penalty_s if rank else 0.0),
            self._wait_s(upstream),
        )

    def _affinity_order(
        self,
        key: str,
        options: Sequence[upstreams.Upstream],
        shared: int,
        crossing_s_by_zone: Mapping[str, float],
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams, the likeliest to cache the prefix first.

        A short prefix has a home in each zone, a long one a single home. The
        others are as likely to cache it, so near ones come first.
        """
        by_id = {each.entry.host_id: each for each in options}
        order = [by_id[each] for each in rendezvous.order(key, by_id)]
        homes = order[: shared >= _CROSS_ZONE_AFFINITY_TOKENS]
        others = order[len(homes) :]
        others.sort(key=lambda each: crossing_s_by_zone[each.entry.zone])
        return homes + others

    def _crossing_s_by_zone(
        self,
        work: forwarded_requests.ForwardedWork,
        options: Sequence[upstreams.Upstream],
    ) -> dict[str, float]:
        """Returns the wait that crossing to each zone is worth."""
        return {
            zone: self.crossing_s(work, zone)
            for zone in {each.entry.zone for each in options}
        }

    def _wait_s(self, upstream: upstreams.Upstream) -> float:
        """Returns the expected wait of a new request at an upstream."""
        now_s = self._state.environment.monotonic_s()
        backlog_s = self._backlogs.wait_s(upstream.entry.host_id)
        return backlog_s + _WAIT_S_PER_REQUEST * upstream.estimated_load(now_s)

    def _pick_least_loaded(
        self,
        work: forwarded_requests.ForwardedWork,
        options: Sequence[upstreams.Upstream],
    ) -> upstreams.Upstream:
        """Returns the least loaded upstream.

        Those of this node's zone are preferred while they have free slots, as
        the request doesn't wait there, and if the loads are equal.
        """
        now_s = self._state.environment.monotonic_s()
        crossing_s_by_zone = self._crossing_s_by_zone(work, options)

        def rank(
            upstream: upstreams.Upstream,
        ) -> tuple[bool, float, float, float]:
            slots = max(1, upstream.entry.slots)
            load = round(upstream.estimated_load(now_s) / slots, 1)
            crossing_s = crossing_s_by_zone[upstream.entry.zone]
            is_free = crossing_s == 0 and load <= _FREE_SHARE
            random = self._state.environment.random.random()
            return not is_free, load, crossing_s, random

        return min(options, key=rank)


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
