"""The application object of a node that passes opaque requests on."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
from typing import NamedTuple

from absl import logging

from lycheegw import lifecycle
from lycheegw.coordination import backlogs
from lycheegw.coordination import balancing
from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import cold_rates
from lycheegw.coordination import directory
from lycheegw.coordination import forward_attempts
from lycheegw.coordination import forwarding
from lycheegw.coordination import interfaces
from lycheegw.coordination import node_registry
from lycheegw.coordination import response_times
from lycheegw.coordination import retry_budgets
from lycheegw.coordination import store_rate_limiter
from lycheegw.coordination import suspects
from lycheegw.coordination import topic_exchange
from lycheegw.coordination import topic_readers
from lycheegw.coordination import zone_reachability
from lycheegw.protocol import backlog_codec
from lycheegw.protocol import rollout_codec
from lycheegw.protocol import suspect_codec
from lycheegw.protocol import topic_codec
from lycheegw.state import clocks
from lycheegw.state import edge_settings
from lycheegw.state import errors
from lycheegw.state import forwarded
from lycheegw.state import limits
from lycheegw.state import node_state
from lycheegw.state import orders
from lycheegw.state import routing
from lycheegw.state import topics
from lycheegw.state import upstreams
from lycheegw.transport import event_log
from lycheegw.transport import exchange_client
from lycheegw.transport import forward_client
from lycheegw.transport import ingress
from lycheegw.transport import metrics_page
from lycheegw.transport import peer_edge

__all__ = ["Adapter", "EdgeNode"]

# The balancer asks once a second and takes a node out after two misses, so
# new connections come for a little over two seconds; streams that begin later
# could not end within the grace time.
_TAKE_STREAMS_S = 3.0
# Left of the grace time when what still runs is cut off.
_CUT_BEFORE_KILL_S = 0.7
_DRAIN_POLL_S = 0.05
_HOUSEKEEPING_S = 0.5
_SETTINGS_POLL_S = 1.0
# How often a node that starts looks whether the orders were read.
_START_POLL_S = 0.05
# Age at which the next node in turn reads a topic; with the way of news it is
# well below the time in which a leaving upstream has to get no more work, and
# in which an order has to be in force.
_TURN_S = 1.1
# Share of that time after which a node that hears nothing reads by itself.
_ALONE_SHARE = 0.75


class Adapter(NamedTuple):
    """What translates between a platform and the node.

    Attributes:
        open_store: Returns the client of the store at an address; before each
            call it waits for what the third argument returns.
        records: How records of the store are read and written.
        upstream_digest: Returns what of an upstream's entry is news.
        callers: How callers' headers are read and refusals written.
        upstreams: How requests and answers of upstreams are written.
        is_ready_check: Whether a request asks if the node takes work.
        read_settings: Returns the settings in a file.
    """

    open_store: Callable[
        [
            exchange_client.ConnectionPool,
            str,
            Callable[[bool], Awaitable[float]],
        ],
        interfaces.KeyedStore,
    ]
    records: orders.Codec
    upstream_digest: Callable[[bytes], object]
    callers: forwarding.Codec
    upstreams: forward_client.Codec
    is_ready_check: Callable[[forwarded.IncomingRequest], bool]
    read_settings: Callable[[pathlib.Path], edge_settings.EdgeSettings]


class EdgeNode:
    """One node, from its settings and the adapter of its platform.

    Attributes:
        state: What the node knows of peers and upstreams.
        settings: The settings in force.
        is_draining: Whether the node is going down.
        is_closing: Whether streams can't end any more before it is down.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        adapter: Adapter,
        environment: clocks.Environment,
        log: event_log.EventLog,
    ):
        self.settings = settings
        self.is_draining = False
        self.is_closing = False
        self._unreachable_services: list[str] = []
        self.application = lifecycle.Application()
        self._adapter = adapter
        self._log = log
        identity = node_state.Identity(
            settings.node_id, settings.zone, settings.region
        )
        self.state = node_state.create(identity, limits.Limits(), environment)
        self.histograms = metrics_page.Histograms()
        self.pool = exchange_client.ConnectionPool(environment)
        self._store_pool = exchange_client.ConnectionPool(environment)
        rates = store_rate_limiter.StoreRateLimiter(
            self.state,
            settings.store_reads_per_s,
            settings.store_writes_per_s,
            self._member_count,
        )
        self.store = adapter.open_store(
            self._store_pool, settings.store, rates.wait
        )
        self._build_knowledge()
        self._build_routing()
        self._build_servers()

    def _member_count(self) -> int:
        return self.registry.member_count()

    def _bounds(self) -> edge_settings.Bounds:
        return self.settings.bounds

    def _build_knowledge(self) -> None:
        """Adds what follows the store and tells the peers."""
        settings = self.settings
        self.peers = peer_edge.PeerEdge(
            self.state, settings.peer, f"lycheegw {settings.store}"
        )
        self.state_by_topic = {
            topic: topics.TopicState(topic) for topic in topics.Topic
        }
        self.state_by_topic[topics.Topic.UPSTREAMS] = topics.TopicState(
            topics.Topic.UPSTREAMS, self._adapter.upstream_digest
        )
        self.directory = directory.Directory(
            self.state,
            self._adapter.records,
            self.state_by_topic,
            settings.heartbeat_s,
            self._log.note,
        )
        self.exchange = topic_exchange.TopicExchange(
            self.state,
            self.peers,
            topic_codec.CODEC,
            self.state_by_topic,
            self._on_change,
            self.peers.nudge,
        )
        bounds = settings.bounds
        alone_s = _ALONE_SHARE * min(bounds.drain_s, bounds.config_apply_s)
        self.readers = topic_readers.TopicReaders(
            self.state,
            self.store,
            self.exchange,
            self.peers.liveness.live_by_zone,
            topic_readers.ReadAges(min(_TURN_S, alone_s), alone_s),
            topic_readers.DependencyMonitor("store", self._note_dependency),
        )
        self.registry = node_registry.NodeRegistry(
            self.state,
            self.store,
            self.readers,
            self.state_by_topic[topics.Topic.NODES],
            self.peers.take_entries,
            self.peers.live_nodes,
        )
        self.application.add(self.peers.start, self.peers.stop)
        self.application.spawn(self.readers.run)
        self.application.spawn(self.peers.run)
        self.application.spawn(self._register)
        self.application.spawn(self._load_outcomes)

    async def _load_outcomes(self) -> None:
        """Reads what became of the roll-outs ordered before the start.

        Of later ones the peers tell, and who writes is told of a conflict.
        """
        known = self.state_by_topic[topics.Topic.ORDERS]
        while not known.is_known:
            await self.state.environment.sleep(_START_POLL_S)
        if self.directory.rollout_by_service:
            await self.readers.load_until_known(topics.Topic.OUTCOMES)

    async def _register(self) -> None:
        await self.registry.run(self.peers.address)

    def _on_change(self, topic: topics.Topic, changed: set[str]) -> None:
        if topic is topics.Topic.NODES:
            if changed:
                self.registry.apply()
            return
        self.directory.apply(topic, changed)

    def _note_dependency(self, name: str, is_lost: bool, why: str) -> None:
        event = "dependency_lost" if is_lost else "dependency_regained"
        self._log.note(event, name=name, why=why)

    def _build_routing(self) -> None:
        """Adds the policies and the forwarder that asks them."""
        self.rollouts = canary_rollouts.CanaryRollouts(
            self.state,
            self.directory,
            self.peers,
            rollout_codec.CODEC,
            self._bounds,
            self.peers.nudge,
            self._log.note,
        )
        self.peers.on_connect(self.exchange.forget_neighbour)
        self.peers.on_connect(self.rollouts.forget_neighbour)
        self.client = forward_client.ForwardClient(
            self.pool, self._adapter.upstreams
        )
        self.suspects = suspects.Suspects(
            self.state,
            forward_client.HealthReports(
                self.client,
                self._health_path,
                self.state.environment.monotonic_s,
            ),
            self.peers,
            suspect_codec.CODEC,
        )
        rates = cold_rates.ColdRates(
            self.state, self._bounds, self.registry.members
        )
        reach = zone_reachability.ZoneReachability(self.state.environment)
        times = response_times.ResponseTimes()
        self.backlogs = backlogs.Backlogs(
            self.state, self.peers, backlog_codec.CODEC, self.peers.nudge
        )
        self.peers.on_connect(self.backlogs.forget_neighbour)
        self.balancer = balancing.Balancer(
            self.state,
            self.directory,
            self.rollouts,
            rates,
            self._has_connection,
            reach,
            times,
            self.backlogs,
        )
        self.forwarder = forwarding.Forwarder(
            self.state,
            self._adapter.callers,
            forward_attempts.Dependencies(
                self.directory,
                self.balancer,
                times,
                self.backlogs,
                rates,
                retry_budgets.RetryBudgets(
                    self.state, self._bounds, self.registry.member_count
                ),
                self.rollouts,
                self.suspects,
                self.client,
                reach,
                self._is_known,
                lambda: self.is_closing,
                self.registry.member_count,
                lambda: self.readers.request_refresh(topics.Topic.UPSTREAMS),
                self._log.note,
                self.histograms.observe,
            ),
        )
        self.application.spawn(self._run_rollouts)
        self.application.spawn(self._keep_house)

    async def _run_rollouts(self) -> None:
        await self.rollouts.run(
            self.store, self.exchange, self._adapter.records.encode_outcome
        )

    def _health_path(self, service: str) -> str:
        manifest = self.directory.manifest
        known = manifest.service_by_name.get(service) if manifest else None
        return known.health_path if known is not None else "/"

    def _has_connection(self, upstream: upstreams.Upstream) -> bool:
        manifest = self.directory.manifest
        pool = upstream.entry.pool
        service = manifest.service_by_name.get(pool) if manifest else None
        if service is None:
            return False
        limit = self.forwarder.attempts.connection_limit(service)
        return self.client.has_connection(upstream.entry, limit)

    def _build_servers(self) -> None:
        """Adds what callers, the balancer and operators reach."""
        self.server = ingress.IngressServer(
            self.settings.front,
            self._handle,
            self._caller_limits,
            self._note_rejected,
        )
        self.ready_server = ingress.IngressServer(
            self.settings.ready,
            self._answer_ready,
            routing.CallerLimits,
            self._note_rejected,
        )
        self.metrics_server = ingress.IngressServer(
            self.settings.metrics,
            self._answer_metrics,
            routing.CallerLimits,
            self._note_rejected,
        )
        for server in (self.server, self.ready_server, self.metrics_server):
            self.application.add(server.start, server.stop)

    def _caller_limits(self) -> routing.CallerLimits:
        manifest = self.directory.manifest
        return manifest.limits if manifest else routing.CallerLimits()

    def _note_rejected(self, status: int, reason: str) -> None:
        self.state.counters.add(f"rejected.{status}")
        self._log.note("request_rejected", status=status, reason=reason)

    async def _handle(self, exchange: ingress.Exchange) -> None:
        await self.forwarder.handle(exchange)

    @property
    def is_ready(self) -> bool:
        """Whether the node takes new work.

        Nodes of other zones can serve what this one has no way to.
        """
        return (
            not self.is_draining
            and not self._unreachable_services
            and self._is_known()
        )

    def _is_known(self) -> bool:
        """Returns whether the configuration and upstreams were ever read."""
        return (
            self.directory.manifest is not None
            and self.state_by_topic[topics.Topic.UPSTREAMS].is_known
        )

    async def _answer_ready(self, exchange: ingress.Exchange) -> None:
        if not self._adapter.is_ready_check(exchange.incoming):
            await exchange.send(forwarded.Refusal(404, (), b""))
            return
        status = 200 if self.is_ready else 503
        await exchange.send(forwarded.Refusal(status, (), b""))

    async def _answer_metrics(self, exchange: ingress.Exchange) -> None:
        page = metrics_page.render(
            self.state.counters, self.histograms, self._gauges
        )
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        await exchange.send(forwarded.Refusal(200, (content_type,), page))

    def _gauges(self) -> dict[str, float]:
        manifest = self.directory.manifest
        gauges = {
            "manifest_version": float(manifest.version if manifest else -1),
            "upstreams": float(len(self.state.upstreams.by_id)),
            "peers_live": float(len(self.peers.live_nodes())),
            "requests_running": float(self.server.running),
            "connections_opened": float(self.pool.opened),
            "is_ready": float(self.is_ready),
            "longest_backlog_s": self.backlogs.longest_s(),
        }
        for topic in topics.Topic:
            gauges[f"topic_{topic.value}_age_s"] = self.readers.age_s(topic)
        return gauges

    async def _keep_house(self) -> None:
        """Drops what has expired, until cancelled."""
        while True:
            await self.state.environment.sleep(_HOUSEKEEPING_S)
            self.pool.expire()
            self.directory.expire_lapsed()
            self._check_reachability()
            self._log.flush()

    def _check_reachability(self) -> None:
        """Notices services that this node has no way to."""
        live_zones = set(self.peers.liveness.live_by_zone())
        without_peers = self.registry.zones() - live_zones
        unreachable = self.balancer.unreachable_services(without_peers)
        if unreachable == self._unreachable_services:
            return
        self._log.note(
            "unreachable_services",
            services=unreachable,
            former=self._unreachable_services,
            without_peers=sorted(without_peers),
        )
        self._unreachable_services = unreachable
        # Callers come back on new connections, which lead to other nodes.
        self.server.is_closing = self.is_draining or bool(unreachable)

    async def watch_settings(
        self, path: pathlib.Path, is_asked: asyncio.Event
    ) -> None:
        """Takes over settings that changed, until cancelled.

        Args:
            path: File of the settings.
            is_asked: Set by whoever wants them read at once.
        """
        former = _signature(path)
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_POLL_S):
                    await is_asked.wait()
            except TimeoutError:
                if _signature(path) == former:
                    continue
            is_asked.clear()
            former = _signature(path)
            self._reload(path)

    def _reload(self, path: pathlib.Path) -> None:
        try:
            settings = self._adapter.read_settings(path)
        except errors.SettingsError as error:
            # The node goes on with what it has.
            self._log.note("reload_failed", faults=error.faults)
            return
        is_changed = settings != self.settings
        # Addresses stay those that were bound at the start.
        self.settings = self.settings._replace(
            bounds=settings.bounds, heartbeat_s=settings.heartbeat_s
        )
        self._log.note("reload", changed=is_changed)

    async def start(self) -> None:
        """Starts all parts."""
        await self.application.start()
        self._log.note(
            "start",
            zone=self.settings.zone,
            front=self.settings.front,
            peer=self.settings.peer,
            store=self.settings.store,
        )

    async def drain(self) -> None:
        """Takes no new work and ends what runs, within the grace time."""
        begun_s = self.state.environment.monotonic_s()
        self.is_draining = True
        self.server.is_closing = True
        self._log.note("drain", running=self.server.running)
        await self.peers.leave()
        await self.state.environment.sleep(
            min(_TAKE_STREAMS_S, self.settings.bounds.grace_s / 2)
        )
        # The balancer goes on sending where most nodes of a zone go down
        # together, so the listener stays open; what is short is served.
        self.is_closing = True
        self.server.close_idle()
        end_s = begun_s + self.settings.bounds.grace_s - _CUT_BEFORE_KILL_S
        while self.server.running:
            if self.state.environment.monotonic_s() >= end_s:
                logging.error("%d requests cut off", self.server.running)
                break
            await self.state.environment.sleep(_DRAIN_POLL_S)
            self.server.close_idle()
        self.server.stop_listening()

    async def stop(self) -> None:
        """Drains, then stops all parts."""
        await self.drain()
        self._log.note("stop", running=self.server.running)
        self.pool.close()
        self._store_pool.close()
        await self.application.stop()
        self._log.flush()


def _signature(path: pathlib.Path) -> tuple[int, int] | None:
    """Returns what changes when a file is written, None if unreadable."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
