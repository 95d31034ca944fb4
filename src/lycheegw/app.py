"""Builds the components of a model-aware node and runs their life cycle."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from absl import logging

from lycheegw import lifecycle
from lycheegw.coordination import bad_version_detector
from lycheegw.coordination import bill_replicas
from lycheegw.coordination import billing
from lycheegw.coordination import catalog_updater
from lycheegw.coordination import checkpoints
from lycheegw.coordination import cold_detection
from lycheegw.coordination import config_exchange
from lycheegw.coordination import config_follower
from lycheegw.coordination import config_progress
from lycheegw.coordination import config_status
from lycheegw.coordination import dispatcher
from lycheegw.coordination import key_claims
from lycheegw.coordination import key_coordinator
from lycheegw.coordination import leases
from lycheegw.coordination import membership
from lycheegw.coordination import node_status
from lycheegw.coordination import quality_exchange
from lycheegw.coordination import report_polling
from lycheegw.coordination import retries
from lycheegw.coordination import session_pins
from lycheegw.coordination import slot_grantor
from lycheegw.coordination import slots
from lycheegw.coordination import suspects
from lycheegw.coordination import timed_upstream_client
from lycheegw.coordination import upstream_selection
from lycheegw.coordination import version_plans
from lycheegw.coordination import version_reconciler
from lycheegw.coordination.load import admission
from lycheegw.coordination.load import capacity
from lycheegw.protocol import bill_codec
from lycheegw.protocol import config_codec
from lycheegw.protocol import key_codec
from lycheegw.protocol import quality_codec
from lycheegw.protocol import record_codec
from lycheegw.protocol import session_tokens
from lycheegw.protocol import settings
from lycheegw.protocol import slot_codec
from lycheegw.protocol import snapshot_codec
from lycheegw.protocol import suspect_codec
from lycheegw.protocol import version_counts_codec
from lycheegw.state import clocks
from lycheegw.state import node_state
from lycheegw.transport import gossip_topics
from lycheegw.transport import http_api
from lycheegw.transport import http_server
from lycheegw.transport import peer_bus
from lycheegw.transport import platform_clients
from lycheegw.transport import statsd_export
from lycheegw.transport import upstream_client

__all__ = ["Node"]

# Time for which a draining node waits for requests that were just accepted,
# longer than a worker may read one, and successive polls without any that end
# the wait.
_MAX_LAST_REQUESTS_S = 6.0
_QUIET_POLLS = 2
_DRAIN_POLL_INTERVAL_S = 0.02
_SLOTS_TOPIC = "slots"
_SLOTS_TIMEOUT_S = 0.5
_COLD_TOPIC = "cold"


def _write_no_event(event: str, **fields: object) -> None:
    """Writes nothing: requests have traces here, and there is no event log."""


class Node:
    """A model-aware router node, built from its settings.

    Attributes:
        state: In-memory state that the components share.
        server: HTTP server for clients, load balancer and operators.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        environment: clocks.Environment | None = None,
    ):
        self.settings = config
        identity = node_state.Identity(
            config.node_id, config.zone, config.region
        )
        self.state = node_state.create(
            identity, config.limits, environment or clocks.system()
        )
        self.application = lifecycle.Application()
        self.log = platform_clients.HttpLogClient(config.platform.log)
        self.upstream_client = upstream_client.HttpUpstreamClient(
            config.limits, self.state.environment
        )
        self._build_cluster()
        self._build_routing()
        self._build_server()

    def _build_cluster(self) -> None:
        """Adds components that keep catalog, peers and upstreams current."""
        self.peers = peer_bus.GrpcPeerBus(
            self.state,
            self.settings.peer_listen,
            self.settings.secrets.peer_key,
            self.settings.peer_seeds,
        )
        self._build_configuration()
        self.load_reports = report_polling.ReportPoller(
            self.state, self.upstream_client, self.peers.live_nodes
        )
        self.membership = membership.Membership(
            self.state,
            platform_clients.HttpHostsClient(
                self.settings.platform.hosts, self.state.counters
            ),
            self.load_reports,
            self.peers.apply_host_list,
            self.peers.live_nodes,
            self.peers.send_soon,
        )
        gossip_topics.register(self.peers, self.membership, self.load_reports)
        self.application.add_hooks(self.peers.start, self.peers.stop)
        self.application.add_task(self.peers.run)
        self.application.add_task(self.peers.send_config_changes)
        self.application.add_task(self.config_follower.run)
        self.application.add_task(self.checkpoints.run)
        self.application.add_task(self.config_exchange.run)
        self.application.add_task(self.membership.poll_hosts)
        self.application.add_task(self.load_reports.run)

    def _build_configuration(self) -> None:
        """Adds components that read the log and share records with peers."""
        codec = catalog_updater.Codec(
            record_codec.decode, snapshot_codec.dump, snapshot_codec.load
        )
        self.catalog_updater = catalog_updater.CatalogUpdater(self.state, codec)
        self.checkpoints = checkpoints.Checkpoints(
            self.state, self.log, self.catalog_updater, self.peers.live_nodes
        )
        self.config_follower = config_follower.ConfigFollower(
            self.state, self.log, self.catalog_updater, self.checkpoints.load
        )
        self.config_exchange = config_exchange.ConfigExchange(
            self.state,
            self.peers,
            self.catalog_updater,
            config_codec.EXCHANGE_CODEC,
            lambda: self.config_follower.is_healthy,
        )
        self.config_progress = config_progress.ConfigProgress(
            self.state, self.config_exchange.note_offset
        )
        self.config_progress.attach(
            self.peers,
            config_codec.encode_progress,
            config_codec.decode_progress,
        )

    def _build_routing(self) -> None:
        """Adds the dispatcher and the policies that it applies."""
        self._build_keys()
        self._build_billing()
        self._build_slots()
        self.capacity = capacity.CapacityEstimator(
            self.state, self.peers.live_nodes
        )
        self._build_quality_tracking()
        self.dependencies = dispatcher.Dependencies(
            admission.Admission(self.state, self.capacity.limit),
            self.billing,
            upstream_selection.power_of_two_choices(self.state),
            self.key_claims,
            version_plans.Planner(self.state, self.quality.table),
            retries.RetryBudget(),
            self.slots,
            suspects.Suspects(
                self.state,
                self.upstream_client,
                self.peers,
                suspect_codec.CODEC,
                _write_no_event,
            ),
            timed_upstream_client.TimedUpstreamClient(
                self.state,
                self.upstream_client,
                self.cold_detector.note_first_token,
            ),
            session_pins.SessionPinner(
                self.state,
                self.peers,
                self.peers.liveness.live_by_zone,
                gossip_topics.PIN_CODEC,
            ),
            self.bad_version_detector,
        )
        self.peers.on_connect(self.dependencies.suspects.forget_neighbour)
        self.dispatcher = dispatcher.Dispatcher(self.state, self.dependencies)
        self._build_rollouts()

    def _build_quality_tracking(self) -> None:
        """Adds components that estimate quality and detect bad versions."""
        self.quality = quality_exchange.QualityExchange(
            self.peers,
            quality_exchange.Codec(quality_codec.encode, quality_codec.decode),
        )
        self.bad_version_detector = bad_version_detector.BadVersionDetector(
            self.state,
            self.peers,
            self.log,
            platform_clients.HttpRatingsClient(self.settings.platform.ratings),
            bad_version_detector.Codec(
                version_counts_codec.encode,
                version_counts_codec.decode,
                record_codec.build,
            ),
            self.peers.liveness.live_by_zone,
            self.quality.add_ratings,
        )
        self.application.add_task(self.bad_version_detector.run)

    def _build_rollouts(self) -> None:
        """Adds the component that loads configured versions at upstreams."""
        self.version_reconciler = version_reconciler.VersionReconciler(
            self.state,
            leases.Leases(self.state, self.log),
            self.upstream_client,
            platform_clients.HttpWeightsClient(self.settings.platform.weights),
            self.peers.live_nodes,
        )
        self.application.add_task(self.version_reconciler.run)

    def _build_slots(self) -> None:
        """Adds components that limit the requests at cold upstreams."""
        self.cold_detector = cold_detection.ColdDetector(self.state)
        self.slot_grantor = slot_grantor.SlotGrantor(
            self.state,
            slot_grantor.ZoneMembers(self.state, self.peers.live_nodes),
            self.cold_detector,
        )
        self.slot_holder = slots.SlotHolder(
            self.state,
            self.cold_detector,
            self.slot_grantor,
            self._request_slots,
        )
        self.slots = slots.Slots(
            self.state,
            self.cold_detector,
            self.slot_holder.allowance,
            self.slot_holder.waiting,
        )
        self.slot_holder.on_change = self.slots.notify
        self.peers.on_call(_SLOTS_TOPIC, self._grant_slots)
        self.peers.on_delta(
            _COLD_TOPIC, self._encode_cold_signs, self._merge_cold_signs
        )
        self.application.add_task(self.slot_holder.run)

    async def _request_slots(
        self, node_id: str, requests: Sequence[slot_grantor.SlotRequest]
    ) -> Sequence[slot_grantor.SlotLease]:
        payload = await self.peers.call(
            node_id,
            _SLOTS_TOPIC,
            slot_codec.encode_requests(requests),
            _SLOTS_TIMEOUT_S,
        )
        return slot_codec.decode_leases(payload)

    async def _grant_slots(self, sender: str, payload: bytes) -> bytes:
        requests = slot_codec.decode_requests(payload)
        return slot_codec.encode_leases(
            self.slot_grantor.grant_slots(sender, requests)
        )

    def _encode_cold_signs(self, neighbour: str) -> bytes | None:
        del neighbour
        signs = self.cold_detector.signs()
        return slot_codec.encode_cold_signs(signs) if signs else None

    def _merge_cold_signs(self, neighbour: str, payload: bytes) -> None:
        signs = slot_codec.decode_cold_signs(payload)
        self.cold_detector.merge_signs(neighbour, signs)

    def _build_keys(self) -> None:
        """Adds components that run each non-idempotent request at most once."""
        codec = key_codec.CODEC
        self.key_coordinator = key_coordinator.KeyCoordinator(
            self.state, self.log, self.peers, codec
        )
        self.key_claims = key_claims.KeyClaims(
            self.state, self.peers, self.key_coordinator, codec
        )
        self.application.add_hooks(None, self.key_coordinator.stop)
        self.application.add_task(self.key_coordinator.run)
        self.application.add_task(self.key_claims.run)
        self.application.add_hooks(None, self.key_claims.stop)

    def _build_billing(self) -> None:
        """Adds components that hold bills until the log has stored them."""
        codec = bill_codec.CODEC
        self.bill_replicas = bill_replicas.BillReplicas(
            self.state, self.log, self.peers, codec
        )
        self.billing = billing.Billing(self.state, self.log, self.peers, codec)
        self.application.add_hooks(None, self.bill_replicas.stop)
        self.application.add_hooks(None, self.billing.stop)
        self.application.add_task(self.bill_replicas.run)
        self.application.add_task(self.billing.run)

    def _build_server(self) -> None:
        """Adds the server for clients, load balancer and operators."""
        secrets = self.settings.secrets
        self.api = http_api.HttpApi(
            self.state,
            self.dispatcher,
            session_tokens.SessionTokens(secrets.session_key),
            secrets.operator_key,
            self.status,
        )
        self.server = http_server.HttpServer(
            self.settings.listen,
            self.api.handle,
            self.settings.limits.http_threads,
            self.settings.limits.body_bytes,
        )
        if self.settings.statsd is not None:
            statsd_export.attach(self.settings.statsd, self.state.counters)
        self.application.add_hooks(self.server.start, self.server.stop)

    @property
    def address(self) -> str:
        """The bound "ip:port" for clients."""
        return self.server.address

    async def start(self) -> None:
        """Starts all components."""
        await self.application.start()

    async def drain(self) -> None:
        """Fails readiness checks, then waits until all requests have ended."""
        self.api.is_draining = True
        self.server.is_draining = True
        await self.peers.leave()
        # The load balancer needs some checks to notice that readiness failed.
        await asyncio.sleep(self.settings.limits.readiness_linger_s)
        async with asyncio.timeout(self.settings.limits.drain_timeout_s):
            while self.api.running:
                await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
            await self._refuse_last_requests()

    async def _refuse_last_requests(self) -> None:
        """Waits until the requests that were just accepted are refused.

        A connection may have been accepted whose request no thread has read
        yet; closing it would leave the client without an answer.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _MAX_LAST_REQUESTS_S
        quiet_polls = 0
        while quiet_polls < _QUIET_POLLS and loop.time() < end_s:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
            if self.api.running or self.server.has_unread_requests():
                quiet_polls = 0
            else:
                quiet_polls += 1

    async def stop(self) -> None:
        """Drains, then stops all components."""
        try:
            await self.drain()
        except TimeoutError:
            logging.error(
                "drain timed out, shutdown aborts %d requests",
                self.api.running,
            )
        await self.application.stop()

    async def kill(self) -> None:
        """Stops at once without draining, as when the host is lost."""
        await self.server.stop()
        await self.application.cancel()
        await self.key_coordinator.stop()
        self.billing.cancel()
        await self.peers.stop()

    def status(self) -> Mapping[str, Any]:
        """Returns the node's status as JSON values."""
        live_nodes = self.peers.live_nodes()
        return {
            "node_id": self.state.identity.node_id,
            "zone": self.state.identity.zone,
            **config_status.describe(
                self.state,
                self.config_progress,
                live_nodes,
                self.config_follower.is_healthy,
            ),
            **node_status.describe(
                self.state, self.cold_detector, self.dependencies.suspects
            ),
        }
