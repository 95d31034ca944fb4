"""Builds the components of a node that forwards HTTP and runs them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
import pathlib
import time
from typing import NamedTuple

from absl import logging

from lycheegw import lifecycle
from lycheegw.coordination import attempt_limits
from lycheegw.coordination import block_records
from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import directory
from lycheegw.coordination import forward_dependencies
from lycheegw.coordination import forwarding
from lycheegw.coordination import freshness
from lycheegw.coordination import interfaces
from lycheegw.coordination import node_registry
from lycheegw.coordination import reach_reports
from lycheegw.coordination import relays
from lycheegw.coordination import retry_budgets
from lycheegw.coordination import shared_rates
from lycheegw.coordination import store_rate_limiter
from lycheegw.coordination import suspects
from lycheegw.coordination import topic_exchange
from lycheegw.coordination import topic_fetcher
from lycheegw.coordination import topic_readers
from lycheegw.coordination import upstream_notices
from lycheegw.coordination import upstream_reach
from lycheegw.coordination import zone_reachability
from lycheegw.coordination.load import backlog_aggregator
from lycheegw.coordination.load import backlogs
from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import request_admission
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import speeds
from lycheegw.coordination.load import zone_aggregators
from lycheegw.coordination.load import zone_costs
from lycheegw.protocol import backlog_codec
from lycheegw.protocol import notice_codec
from lycheegw.protocol import reach_codec
from lycheegw.protocol import rollout_codec
from lycheegw.protocol import suspect_codec
from lycheegw.protocol import topic_codec
from lycheegw.state import clocks
from lycheegw.state import edge_settings
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import limits
from lycheegw.state import memory_budget
from lycheegw.state import node_state
from lycheegw.state import orders
from lycheegw.state import reasons
from lycheegw.state import routing
from lycheegw.state import topics
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from lycheegw.transport import connection_pool
from lycheegw.transport import event_log
from lycheegw.transport import forward_client
from lycheegw.transport import ingress
from lycheegw.transport import metrics_page
from lycheegw.transport import peer_bus
from lycheegw.transport import peer_relay

__all__ = ["EdgeNode", "PlatformAdapter"]

# Time for which a draining node accepts streams. The load balancer checks once
# a second and removes a node after two failures, so new connections arrive for
# a little over two seconds. Later streams could not end in the grace time.
_ACCEPT_STREAMS_S = 3.0
# Requests that still run this long before the grace time ends are aborted.
_ABORT_MARGIN_S = 0.7
# Part of that time for the answers to these.
_ANSWER_TIME_S = 0.2
# Part of it that is left for the end of the process.
_EXIT_TIME_S = 0.15
_DRAIN_POLL_INTERVAL_S = 0.05
_HOUSEKEEPING_INTERVAL_S = 0.5
# Retry-after time of a request whose body can't be held. Long bodies are held
# for as long as their requests run, which is mostly less than a second.
_MEMORY_RETRY_AFTER_S = 0.5
# Interval of the lines about bytes between zones.
_TRAFFIC_INTERVAL_S = 10.0
# Lag of the event loop above which a line is logged.
_MIN_LOGGED_LAG_S = 0.2
_SETTINGS_POLL_INTERVAL_S = 1.0
# Interval at which a starting node checks whether the orders were read.
_START_POLL_INTERVAL_S = 0.05
# Age of a topic at which the next node in turn reads it. With the time that an
# update takes to reach all nodes, it is well below the time within which a
# leaving upstream must get no more work and an order must be in force.
_NEXT_READER_AGE_S = 1.1
# Fraction of that time after which a node without updates reads by itself.
_FALLBACK_READ_FRACTION = 0.75
# Fraction of that time up to which requests are served by a topic's copy. The
# rest is for the way of a request to its upstream.
_MAX_SERVING_AGE_FRACTION = 0.8


class PlatformAdapter(NamedTuple):
    """Functions that translate between a platform and the node.

    Attributes:
        open_store: Returns a client of the store at an address. The client
            awaits the third argument before each call, to limit the rate.
        create_record_codec: Returns a codec of the store's records.
        upstream_digest: Returns the part of an upstream's entry whose changes
            are sent to peers at once.
        caller_codec: Decodes clients' headers and encodes refusals.
        upstream_codec: Encodes requests to upstreams and decodes responses.
        is_readiness_check: Returns whether a request is a readiness check.
        read_settings: Returns the settings in a file.
    """

    open_store: Callable[
        [
            connection_pool.ConnectionPool,
            str,
            Callable[[bool], Awaitable[float]],
        ],
        interfaces.KeyedStore,
    ]
    create_record_codec: Callable[[], orders.Codec]
    upstream_digest: Callable[[bytes], object]
    caller_codec: forwarding.Codec
    upstream_codec: forward_client.Codec
    is_readiness_check: Callable[[forwarded_requests.IncomingRequest], bool]
    read_settings: Callable[[pathlib.Path], edge_settings.EdgeSettings]


class EdgeNode:
    """A forwarding node, built from its settings and a platform's adapter.

    Attributes:
        state: In-memory state that the components share.
        settings: The settings in force.
        is_draining: Whether the node is shutting down.
        is_refusing_streams: Whether new streams are refused, as
            they could not end before the shutdown.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        adapter: PlatformAdapter,
        environment: clocks.Environment,
        log: event_log.EventLog,
    ):
        self.settings = settings
        self.is_draining = False
        self.is_refusing_streams = False
        self._drain_end_s = math.inf
        self._unreachable_services: list[str] = []
        self.application = lifecycle.Application()
        self._adapter = adapter
        self._record_codec = adapter.create_record_codec()
        self._log = log
        identity = node_state.Identity(
            settings.node_id, settings.zone, settings.region
        )
        self.state = node_state.create(identity, limits.Limits(), environment)
        self.histograms = metrics_page.Histograms()
        self.budgets = memory_budget.of_memory(settings.memory_mb)
        self.upstream_pool = connection_pool.ConnectionPool(
            environment, self.budgets.requests
        )
        self._store_pool = connection_pool.ConnectionPool(
            environment, self.budgets.control
        )
        rate_limiter = store_rate_limiter.StoreRateLimiter(
            self.state,
            settings.store_reads_per_s,
            settings.store_writes_per_s,
            self._member_count,
        )
        self.store = adapter.open_store(
            self._store_pool, settings.store_address, rate_limiter.wait
        )
        self._build_cluster()
        self._build_routing()
        self._build_servers()

    def _member_count(self) -> int:
        return self.node_registry.member_count()

    def _budget_member_count(self) -> int | None:
        window_s = self._service_levels().retry_window_s
        return self.node_registry.budget_member_count(window_s)

    def _service_levels(self) -> edge_settings.ServiceLevels:
        return self.settings.service_levels

    def _build_cluster(self) -> None:
        """Adds components that read the store and share topics with peers."""
        settings = self.settings
        self.peers = peer_bus.GrpcPeerBus(
            self.state,
            settings.peer_listen,
            f"lycheegw {settings.store_address}",
        )
        self.state_by_topic = {
            topic: topics.TopicState(topic) for topic in topics.Topic
        }
        self.state_by_topic[topics.Topic.UPSTREAMS] = topics.TopicState(
            topics.Topic.UPSTREAMS, self._adapter.upstream_digest
        )
        self.directory = directory.Directory(
            self.state,
            self._record_codec,
            self.state_by_topic,
            settings.heartbeat_s,
            self._log.note,
        )
        self.topic_exchange = topic_exchange.TopicExchange(
            self.state,
            self.peers,
            topic_codec.CODEC,
            self.state_by_topic,
            self._on_change,
            self.peers.send_soon,
            self.histograms.observe,
        )
        self.topic_exchange.on_era = self._handle_new_era
        self.topic_fetcher = topic_fetcher.TopicFetcher(
            self.state,
            self.peers,
            self.topic_exchange,
            topic_codec.FETCH_CODEC,
            self.peers.send_soon,
            self._log.note,
        )
        service_levels = settings.service_levels
        fallback_read_age_s = _FALLBACK_READ_FRACTION * min(
            service_levels.drain_s, service_levels.config_apply_s
        )
        self.topic_readers = topic_readers.TopicReaders(
            self.state,
            self.store,
            self.topic_exchange,
            self.peers.liveness.live_by_zone,
            topic_readers.ReadAges(
                min(_NEXT_READER_AGE_S, fallback_read_age_s),
                fallback_read_age_s,
            ),
            topic_readers.DependencyMonitor("store", self._log_dependency),
        )
        self.freshness = freshness.Freshness(
            self.state,
            self.topic_readers,
            self._max_serving_age_s,
            self.topic_exchange.is_behind,
            self._log.note,
        )
        self.node_registry = node_registry.NodeRegistry(
            self.state,
            self.store,
            self.topic_readers,
            self.state_by_topic[topics.Topic.NODES],
            self.peers.apply_host_list,
            self.peers.live_nodes,
        )
        self.application.add_hooks(self.peers.start, self.peers.stop)
        self.application.add_task(self.topic_readers.run)
        self.application.add_task(self.topic_fetcher.run)
        self.application.add_task(self.peers.run)
        self.application.add_task(self._register)
        self.application.add_task(self._load_outcomes)

    def _max_serving_age_s(self, topic: topics.Topic) -> float:
        """Returns the greatest age of a copy by which requests are served."""
        service_levels = self._service_levels()
        if topic is topics.Topic.UPSTREAMS:
            return _MAX_SERVING_AGE_FRACTION * service_levels.drain_s
        if topic is topics.Topic.ORDERS:
            return _MAX_SERVING_AGE_FRACTION * service_levels.config_apply_s
        return math.inf

    async def _load_outcomes(self) -> None:
        """Reads the outcomes of roll-outs that were ordered before the start.

        Later outcomes arrive from peers, and a writer gets a conflict error.
        """
        orders_state = self.state_by_topic[topics.Topic.ORDERS]
        while not orders_state.is_known:
            await self.state.environment.sleep(_START_POLL_INTERVAL_S)
        if self.directory.rollout_by_service:
            await self.topic_readers.load_until_known(topics.Topic.OUTCOMES)

    async def _register(self) -> None:
        await self.node_registry.run(self.peers.address)

    def _on_change(self, topic: topics.Topic, changed: set[str]) -> None:
        if topic is topics.Topic.NODES:
            if changed:
                self.node_registry.apply()
            return
        begun_s = self.state.environment.monotonic_s()
        self.directory.apply(topic, changed)
        self.freshness.note_update()
        self.histograms.observe(
            "topic_applied",
            topic.value,
            self.state.environment.monotonic_s() - begun_s,
        )

    def _handle_new_era(self, former: int, era: int, source: str) -> None:
        """Lets the components look what a restored store lacks."""
        self.state.counters.add("store.new_era")
        self._log.note("store_era", era=era, former=former, source=source)
        self.topic_readers.note_new_era()
        if former:
            self.block_records.note_new_era()

    def _log_dependency(self, name: str, is_lost: bool, why: str) -> None:
        event = "dependency_lost" if is_lost else "dependency_regained"
        self._log.note(event, name=name, why=why)

    def _build_routing(self) -> None:
        """Adds the forwarder and the policies that it applies."""
        self.canary_rollouts = canary_rollouts.CanaryRollouts(
            self.state,
            self.directory,
            self.peers,
            rollout_codec.CODEC,
            self._service_levels,
            self.peers.send_soon,
            self._log.note,
        )
        self.peers.on_connect(self.topic_exchange.forget_neighbour)
        self.peers.on_connect(self.canary_rollouts.forget_neighbour)
        self.forward_client = forward_client.ForwardClient(
            self.upstream_pool,
            self._adapter.upstream_codec,
            self.state.zone_traffic,
        )
        self.suspects = suspects.Suspects(
            self.state,
            forward_client.HealthReportClient(
                self.forward_client,
                self._health_path,
                self.state.environment.monotonic_s,
            ),
            self.peers,
            suspect_codec.CODEC,
            self._log.note,
        )
        self.peers.on_connect(self.suspects.forget_neighbour)
        self.block_records = block_records.BlockRecords(
            self.state,
            self.store,
            self.suspects.learn,
            self.node_registry.is_restarted,
            self._reads_blocks_again,
        )
        self.suspects.on_verdict = self.block_records.note_verdict
        self.application.add_task(self.block_records.run)
        self.notices = upstream_notices.UpstreamNotices(
            self.state,
            self.peers,
            notice_codec.CODEC,
            self.peers.send_soon,
            self._log.note,
            self._close_idle_connections,
        )
        self.peers.on_connect(self.notices.forget_neighbour)
        rates = shared_rates.SharedRates(
            self.state,
            self._service_levels,
            self.node_registry.settled_members,
            self.notices.limit_per_s,
            self.notices.is_brittle,
        )
        reachability = zone_reachability.ZoneReachability(
            self.state.environment
        )
        self.reach = upstream_reach.UpstreamReach(
            self.state,
            self._connect_upstream,
            self.suspects.crashed_upstreams,
            self._log.note,
        )
        self.reach_reports = reach_reports.ReachReports(
            self.state, self.peers, reach_codec.CODEC, self.peers.send_soon
        )
        self.peers.on_connect(self.reach_reports.forget_neighbour)
        self.reach.on_change = self.reach_reports.set_cut_off
        self.relay_client = peer_relay.RelayClient(
            self.peers,
            self.state.environment.monotonic_s,
            self.budgets.requests,
            self.state.zone_traffic,
        )
        timings = response_times.ResponseTimes()
        self._build_backlogs()
        self.balancer = balancing.Balancer(
            self.state,
            self.directory,
            self.canary_rollouts,
            rates,
            self.notices,
            self._has_capacity,
            reachability,
            timings,
            self.backlogs,
            self.speeds,
        )
        costs = zone_costs.ZoneCosts(self.settings.zone, self.settings.load)
        self.balancer.crossing_s = costs.work_crossing_s
        self.forwarder = forwarding.Forwarder(
            self.state,
            self._adapter.caller_codec,
            forward_dependencies.Dependencies(
                self.directory,
                self.balancer,
                timings,
                self.backlogs,
                self.speeds,
                request_admission.RequestAdmission(
                    self.state,
                    self.directory,
                    timings,
                    self.backlogs.organisations,
                ),
                self.settings.load.late_worth,
                rates,
                retry_budgets.RetryBudgets(
                    self.state,
                    self._service_levels,
                    self._budget_member_count,
                ),
                self.canary_rollouts,
                self.suspects,
                self.notices,
                self.forward_client,
                reachability,
                self.reach,
                relays.Relays(
                    self.state,
                    self.relay_client,
                    self.peers.live_nodes,
                    self.reach_reports.cut_off_nodes,
                    self._adapter.caller_codec.promises_not_run,
                    self._log.note,
                ),
                self._has_initial_state,
                lambda: self.is_refusing_streams,
                self._time_to_stop_s,
                self.node_registry.member_count,
                lambda: self.topic_readers.request_refresh(
                    topics.Topic.UPSTREAMS
                ),
                lambda: self.topic_readers.age_s(topics.Topic.UPSTREAMS),
                self.freshness,
                self._log.note,
                self.histograms.observe,
            ),
        )
        self.relay_server = peer_relay.RelayServer(
            self.forwarder.handle,
            lambda: self.is_draining or self.reach.is_cut_off,
            self.state.environment.monotonic_s,
            self.budgets.requests,
        )
        self.peers.serve_relayed = self.relay_server.serve
        self.application.add_task(self._run_rollouts)
        self.application.add_task(self._run_housekeeping)

    def _build_backlogs(self) -> None:
        """Adds the components that add up the backlogs of all nodes."""
        aggregators = zone_aggregators.ZoneAggregators(
            self.state, self.peers.liveness.live_by_zone
        )
        aggregator = backlog_aggregator.BacklogAggregator(
            self.state, self.peers, backlog_codec.CODEC, aggregators
        )
        self.backlogs = backlogs.Backlogs(
            self.state, self.peers, backlog_codec.CODEC, aggregators
        )
        self.speeds = speeds.Speeds(self.state, self.backlogs.known_sums)
        self.backlogs.own_speeds = self.speeds.own_figures
        self.application.add_task(aggregator.run)
        self.application.add_task(self.backlogs.run)

    def _time_to_stop_s(self) -> float:
        """Returns the seconds until running requests are aborted."""
        return self._drain_end_s - self.state.environment.monotonic_s()

    def _reads_blocks_again(self) -> bool:
        """Returns whether this node reads the blocked parts for its peers."""
        return block_records.is_reader(
            self.state.identity.node_id,
            self.peers.liveness.live_by_zone(),
            self.node_registry.zones(),
            len(self.node_registry.members()),
        )

    async def _connect_upstream(self, upstream: upstreams.Upstream) -> None:
        await self.forward_client.connect(upstream.entry)

    async def _run_rollouts(self) -> None:
        await self.canary_rollouts.run(
            self.store,
            self.topic_exchange,
            self._record_codec.encode_outcome,
        )

    def _health_path(self, service: str) -> str:
        manifest = self.directory.manifest
        found = manifest.service_by_name.get(service) if manifest else None
        return found.health_path if found is not None else "/"

    def _close_idle_connections(self, upstream: upstreams.Upstream) -> None:
        key = forward_client.connection_key(upstream.entry)
        self.upstream_pool.close_idle(key)

    def _has_capacity(self, upstream: upstreams.Upstream) -> bool:
        manifest = self.directory.manifest
        pool = upstream.entry.pool
        service = manifest.service_by_name.get(pool) if manifest else None
        if service is None:
            return False
        limit = self.forwarder.attempts.limits.connection_limit(service)
        return self.forward_client.has_capacity(upstream.entry, limit)

    def _build_servers(self) -> None:
        """Adds the servers for clients, load balancer and operators."""
        self.server = ingress.IngressServer(
            self.settings.listen,
            self._handle_request,
            self._caller_limits,
            self._log_rejected,
            self.budgets.requests,
            self._refuse_for_memory,
        )
        self.readiness_server = ingress.IngressServer(
            self.settings.readiness_listen,
            self._handle_readiness_check,
            routing.CallerLimits,
            self._log_rejected,
            self.budgets.control,
        )
        self.metrics_server = ingress.IngressServer(
            self.settings.metrics_listen,
            self._handle_metrics,
            routing.CallerLimits,
            self._log_rejected,
            self.budgets.control,
        )
        for server in (self.server, self.readiness_server, self.metrics_server):
            self.application.add_hooks(server.start, server.stop)

    def _caller_limits(self) -> routing.CallerLimits:
        manifest = self.directory.manifest
        return manifest.limits if manifest else routing.CallerLimits()

    def _log_rejected(self, status: int, reason: str) -> None:
        self.state.counters.add(f"rejected.{status}")
        self._log.note("request_rejected", status=status, reason=reason)

    def _refuse_for_memory(self) -> forwarded_requests.LocalResponse:
        """Returns the refusal of a request whose body can't be held."""
        reason = reasons.RefusalReason.MEMORY_FULL
        self.state.counters.add(f"refusal.{reason.value}")
        jitter = 0.75 + self.state.environment.random.random() / 2
        return self._adapter.caller_codec.encode_refusal(
            errors.RefusalError(
                reason,
                "no memory left for the body",
                verdicts.RunVerdict.NOT_RUN,
                retry_after_s=_MEMORY_RETRY_AFTER_S * jitter,
            )
        )

    async def _handle_request(self, exchange: ingress.Exchange) -> None:
        await self.forwarder.handle(exchange)

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new work.

        It refuses work if it can't reach a service, because nodes of other
        zones may be able to serve it.
        """
        return (
            not self.is_draining
            and not self._unreachable_services
            and not self.reach.is_cut_off
            and self._has_initial_state()
        )

    def _has_initial_state(self) -> bool:
        """Returns whether the configuration and upstreams were read once."""
        return (
            self.directory.manifest is not None
            and self.state_by_topic[topics.Topic.UPSTREAMS].is_known
        )

    async def _handle_readiness_check(self, exchange: ingress.Exchange) -> None:
        if not self._adapter.is_readiness_check(exchange.incoming):
            await exchange.send(forwarded_requests.LocalResponse(404, (), b""))
            return
        status = 200 if self.is_ready else 503
        await exchange.send(forwarded_requests.LocalResponse(status, (), b""))

    async def _handle_metrics(self, exchange: ingress.Exchange) -> None:
        page = metrics_page.render(
            self.state.counters,
            self.histograms,
            self._gauges,
            self.state.zone_traffic,
        )
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        await exchange.send(
            forwarded_requests.LocalResponse(200, (content_type,), page)
        )

    def _gauges(self) -> dict[str, float]:
        manifest = self.directory.manifest
        gauges = {
            "manifest_version": float(manifest.version if manifest else -1),
            "upstreams": float(len(self.state.upstreams.by_id)),
            "peers_live": float(len(self.peers.live_nodes())),
            "requests_running": float(self.server.running),
            "connections_opened": float(self.upstream_pool.opened_count),
            "is_ready": float(self.is_ready),
            "process_cpu_s": time.process_time(),
            "longest_backlog_s": self.backlogs.longest_s(),
            "backlog_evenness": self.backlogs.busiest_to_mean(),
        }
        for extreme, factor in zip(
            ("least", "greatest"), self.speeds.extremes(), strict=True
        ):
            gauges[f"upstream_speed_factor_{extreme}"] = factor
        for name, budget in self.budgets._asdict().items():
            gauges[f"memory_held_bytes_{name}"] = float(budget.held)
            gauges[f"memory_limit_bytes_{name}"] = float(budget.limit)
        for topic in topics.Topic:
            gauges[f"topic_{topic.value}_age_s"] = self.topic_readers.age_s(
                topic
            )
        return gauges

    async def _run_housekeeping(self) -> None:
        """Removes expired connections and upstreams until cancelled."""
        traffic_due_s = self.state.environment.monotonic_s()
        traffic_due_s += _TRAFFIC_INTERVAL_S
        while True:
            due_s = self.state.environment.monotonic_s()
            due_s += _HOUSEKEEPING_INTERVAL_S
            await self.state.environment.sleep(_HOUSEKEEPING_INTERVAL_S)
            self._note_loop_lag(self.state.environment.monotonic_s() - due_s)
            self.upstream_pool.close_expired()
            self.directory.expire_lapsed()
            self.reach.tick()
            self.relay_client.close_idle()
            self._update_reachability()
            self._note_refused_memory()
            if self.state.environment.monotonic_s() >= traffic_due_s:
                traffic_due_s += _TRAFFIC_INTERVAL_S
                self._note_zone_traffic()
            self._log.flush()

    def _note_zone_traffic(self) -> None:
        """Logs the bytes between zones since the last line, by purpose."""
        size_by_purpose = self.state.zone_traffic.take_increase()
        if size_by_purpose:
            self._log.note("zone_traffic", bytes=size_by_purpose)

    def _note_refused_memory(self) -> None:
        """Records the reservations that were refused since the last call."""
        for name, budget in self.budgets._asdict().items():
            if not budget.refused_count:
                continue
            self.state.counters.add(
                f"memory.refused.{name}", budget.refused_count
            )
            self._log.note(
                "memory_full",
                of=name,
                refused=budget.refused_count,
                held=budget.held,
                limit=budget.limit,
            )
            budget.refused_count = 0

    def _note_loop_lag(self, lag_s: float) -> None:
        """Records by how much the event loop ran a timer too late."""
        self.histograms.observe("loop_lag", "housekeeping", max(0.0, lag_s))
        if lag_s > _MIN_LOGGED_LAG_S:
            self.state.counters.add("loop.stalled")
            self._log.note("loop_stalled", lag_s=round(lag_s, 3))

    def _update_reachability(self) -> None:
        """Updates the list of services without a reachable upstream."""
        live_zones = set(self.peers.liveness.live_by_zone())
        without_peers = self.node_registry.zones() - live_zones
        unreachable = self.balancer.unreachable_services(without_peers)
        # Clients reconnect, and the load balancer picks other nodes.
        self.server.is_closing = (
            self.is_draining or bool(unreachable) or self.reach.is_cut_off
        )
        if unreachable == self._unreachable_services:
            return
        self._log.note(
            "unreachable_services",
            services=unreachable,
            former=self._unreachable_services,
            without_peers=sorted(without_peers),
        )
        self._unreachable_services = unreachable

    async def watch_settings(
        self, path: pathlib.Path, reload_requested: asyncio.Event
    ) -> None:
        """Applies changed settings until cancelled.

        Args:
            path: File of the settings.
            reload_requested: Set to reload the file at once.
        """
        former = _file_signature(path)
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_POLL_INTERVAL_S):
                    await reload_requested.wait()
            except TimeoutError:
                if _file_signature(path) == former:
                    continue
            reload_requested.clear()
            former = _file_signature(path)
            self._reload(path)

    def _reload(self, path: pathlib.Path) -> None:
        try:
            settings = self._adapter.read_settings(path)
        except errors.SettingsError as error:
            # The settings in force stay.
            self._log.note("reload_failed", faults=error.faults)
            return
        is_changed = settings != self.settings
        # Addresses are bound at startup and can't change.
        self.settings = self.settings._replace(
            service_levels=settings.service_levels,
            heartbeat_s=settings.heartbeat_s,
        )
        self._log.note("reload", changed=is_changed)

    async def start(self) -> None:
        """Starts all components."""
        await self.application.start()
        self._log.note(
            "start",
            zone=self.settings.zone,
            front=self.settings.listen,
            peer=self.settings.peer_listen,
            store=self.settings.store_address,
        )

    async def drain(self) -> None:
        """Ends running requests within the grace time and stops listening."""
        grace_s = self.settings.service_levels.grace_s
        end_s = self.state.environment.monotonic_s() + grace_s - _ABORT_MARGIN_S
        self._drain_end_s = end_s
        self.is_draining = True
        self.forwarder.end_running_within(self._time_to_stop_s())
        self.server.is_closing = True
        self._log.note(
            "drain",
            running=self.server.running,
            relayed=self.relay_server.running,
        )
        await self.peers.leave()
        await self.state.environment.sleep(min(_ACCEPT_STREAMS_S, grace_s / 2))
        # If most nodes of a zone shut down together, the load balancer goes on
        # sending, so the listener stays open and short requests are served.
        self.is_refusing_streams = True
        self.server.close_idle()
        await self._wait_for_requests(end_s + _ANSWER_TIME_S)
        if self.server.is_receiving:
            error = attempt_limits.shutting_down_error()
            self.server.refuse_incomplete(
                self._adapter.caller_codec.encode_refusal(error), str(error)
            )
            await self._wait_for_clients(end_s + _ABORT_MARGIN_S - _EXIT_TIME_S)
        if self._running_requests():
            logging.error(
                "grace time is ending, aborting %d requests",
                self._running_requests(),
            )
        self.server.stop_listening()

    def _running_requests(self) -> int:
        """Returns the number of requests being served, also for peers."""
        return self.server.running + self.relay_server.running

    async def _wait_for_requests(self, end_s: float) -> None:
        """Returns once no request is received or served, or at a second."""
        while self._running_requests() or self.server.is_receiving:
            if self.state.environment.monotonic_s() >= end_s:
                return
            await self.state.environment.sleep(_DRAIN_POLL_INTERVAL_S)
            self.server.close_idle()

    async def _wait_for_clients(self, end_s: float) -> None:
        """Reads on until clients have closed refused connections.

        The end of the process resets a connection on which its client still
        writes, and the client may then miss the response.
        """
        while self.server.is_lingering:
            if self.state.environment.monotonic_s() >= end_s:
                return
            await self.state.environment.sleep(_DRAIN_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Drains, then stops all components."""
        await self.drain()
        self._note_zone_traffic()
        self._log.note("stop", running=self._running_requests())
        self.upstream_pool.close()
        self._store_pool.close()
        self.relay_client.close()
        await self.application.stop()
        self._log.flush()


def _file_signature(path: pathlib.Path) -> tuple[int, int] | None:
    """Returns time and size of a file to detect changes, None if unreadable."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
