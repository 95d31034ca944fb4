"""Reconciles the versions loaded on upstreams with the configuration records.

One node at a time works on a model, under a lease. Each order states all
versions that the upstream is to hold, and is sent again until the upstream
reports them. So another node can continue at any point, and the late order of a
node whose lease has lapsed is corrected.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination import leases
from lycheegw.coordination import rendezvous
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["VersionReconciler", "desired_versions"]

_POLL_INTERVAL_S = 1.0
# Nodes, by rank, that may try to take a model's lease.
_CANDIDATE_NODES = 3
_ORDER_TIMEOUT_S = 2.0
_RESEND_INTERVAL_S = 5.0

LiveNodes = Callable[[], Sequence[str]]


class _PendingOrder(NamedTuple):
    """An order to send.

    Attributes:
        upstream: Upstream that gets it.
        target: Versions that the upstream is to hold.
        to_fetch: Versions that it has to fetch for this.
    """

    upstream: upstreams.Upstream
    target: frozenset[str]
    to_fetch: frozenset[str]


def desired_versions(
    state: node_state.NodeState, model: str, reported: frozenset[str]
) -> frozenset[str]:
    """Returns the versions that an upstream of a model is to hold.

    A roll-out adds its versions and removes none, since sessions keep theirs;
    a held roll-out adds nothing. A withdrawal removes its version, unless it is
    the last one. Nothing changes if this node can't read one of the records.
    """
    catalog = state.catalog
    if _is_unreadable(state, model):
        return reported
    wanted = set(reported)
    rollout = catalog.rollout(model)
    if rollout is not None and not rollout.is_held and rollout.share > 0:
        wanted |= {rollout.from_version, rollout.to_version}
    kept = {each for each in wanted if not catalog.is_withdrawn(model, each)}
    return frozenset(kept) if kept else reported


def _is_unreadable(state: node_state.NodeState, model: str) -> bool:
    keys = state.catalog.unreadable_keys()
    return any(
        key.name == model or key.name.startswith(f"{model}@") for key in keys
    )


class _SentOrder(NamedTuple):
    """Target and time of the last order that was sent to an upstream."""

    target: frozenset[str]
    at_s: float


class VersionReconciler:
    """Sends version orders to upstreams while it holds the model's lease."""

    def __init__(
        self,
        state: node_state.NodeState,
        model_leases: leases.Leases,
        upstream_client: interfaces.UpstreamClient,
        weights: interfaces.WeightsClient,
        live_nodes: LiveNodes,
    ):
        self._state = state
        self._leases = model_leases
        self._client = upstream_client
        self._weights = weights
        self._live_nodes = live_nodes
        self._sent_by_id: dict[str, _SentOrder] = {}

    async def run(self) -> None:
        """Reconciles the pending models until cancelled."""
        while True:
            await self._state.environment.sleep(_POLL_INTERVAL_S)
            for model in self._pending_models():
                try:
                    await self.reconcile_model(model)
                except errors.LogUnavailableError:
                    self._state.counters.add("rollouts.no_log")

    def _pending_models(self) -> list[str]:
        """Returns the models with pending orders that this node may reconcile.

        They are sorted by this node's rank for the model, the best first.
        """
        pools = {
            upstream.entry.pool
            for upstream in self._state.upstreams.by_id.values()
            if upstream.entry.role is upstreams.HostRole.ENGINE
        }
        pending = [
            model
            for model in sorted(pools)
            if self._rank(model) < _CANDIDATE_NODES
            and self._pending_orders(model)
        ]
        return sorted(pending, key=self._rank)

    def _rank(self, model: str) -> int:
        own_id = self._state.identity.node_id
        members = {own_id, *self._live_nodes()}
        return rendezvous.order(f"rollout/{model}", members).index(own_id)

    def _pending_orders(self, model: str) -> list[_PendingOrder]:
        """Returns the orders yet to be carried out, sorted by host id."""
        pending_orders = []
        for upstream in self._state.upstreams.accepting_in_pool(model):
            if upstream.report is None:
                continue
            reported = upstream.report.versions
            target = desired_versions(self._state, model, reported)
            if target == reported:
                self._sent_by_id.pop(upstream.entry.host_id, None)
            else:
                pending_orders.append(
                    _PendingOrder(upstream, target, target - reported)
                )
        return sorted(
            pending_orders,
            key=lambda pending_order: pending_order.upstream.entry.host_id,
        )

    async def reconcile_model(self, model: str) -> None:
        """Takes the lease of a model and sends orders until none is pending.

        Raises:
            errors.LogUnavailableError: The log did not answer; no further
                order is sent.
        """
        rank_s = self._rank(model) * _POLL_INTERVAL_S
        lease = await self._leases.acquire(f"rollout/{model}", rank_s)
        while lease is not None and self._leases.is_held(lease):
            pending_orders = self._pending_orders(model)
            if not pending_orders:
                return
            if self._leases.is_renewal_due(lease):
                lease = await self._leases.renew(lease)
                continue
            pause_s = await self._send_next(model, lease, pending_orders)
            # The pause must leave time to renew the lease.
            remaining_s = self._leases.remaining_s(lease)
            await self._state.environment.sleep(min(pause_s, remaining_s / 4))

    async def _send_next(
        self,
        model: str,
        lease: leases.Lease,
        pending_orders: Sequence[_PendingOrder],
    ) -> float:
        """Sends the next order; returns seconds to wait after it."""
        for pending_order in pending_orders:
            if self._awaits_report(pending_order):
                continue
            wait_s = await self._reserve_fetches(model, pending_order.to_fetch)
            if not wait_s:
                await self._send_order(model, lease, pending_order)
            return wait_s
        return _POLL_INTERVAL_S

    def _awaits_report(self, pending_order: _PendingOrder) -> bool:
        """Returns whether the same order was sent and may yet be reported."""
        sent = self._sent_by_id.get(pending_order.upstream.entry.host_id)
        now_s = self._state.environment.monotonic_s()
        return (
            sent is not None
            and sent.target == pending_order.target
            and now_s - sent.at_s < _RESEND_INTERVAL_S
        )

    async def _reserve_fetches(
        self, model: str, to_fetch: frozenset[str]
    ) -> float:
        """Reserves the fetches; returns seconds to wait, 0 if reserved."""
        for version in sorted(to_fetch):
            try:
                wait_s = await self._weights.reserve(model, version)
            except errors.PlatformError:
                self._state.counters.add("rollouts.weights_failed")
                return _POLL_INTERVAL_S
            if wait_s > 0:
                return wait_s
        return 0.0

    async def _send_order(
        self, model: str, lease: leases.Lease, pending_order: _PendingOrder
    ) -> None:
        """Sends an order within the lease; its effect shows in the report."""
        entry = pending_order.upstream.entry
        # The weight store may have answered late: the target may have changed.
        reported = pending_order.upstream.report
        if reported is None or pending_order.target != desired_versions(
            self._state, model, reported.versions
        ):
            return
        remaining_s = self._leases.remaining_s(lease)
        if not remaining_s:
            return
        order = interfaces.UpstreamOrder(pending_order.target, lease.fencing)
        self._record_sent(entry.host_id, pending_order.target)
        try:
            await self._client.order(
                entry, order, min(_ORDER_TIMEOUT_S, remaining_s)
            )
        except errors.UpstreamError as error:
            self._state.counters.add("rollouts.order_failed")
            logging.warning(
                "order to upstream %s failed: %s", entry.host_id, error
            )
            return
        self._state.counters.add("rollouts.orders")

    def _record_sent(self, host_id: str, target: frozenset[str]) -> None:
        listed = self._state.upstreams.by_id
        for unlisted in set(self._sent_by_id) - set(listed):
            del self._sent_by_id[unlisted]
        now_s = self._state.environment.monotonic_s()
        self._sent_by_id[host_id] = _SentOrder(target, now_s)
