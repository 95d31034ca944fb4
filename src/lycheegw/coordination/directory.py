"""Applies the store's topics to this node's routing.

From the orders, outcomes and upstream entries of the store it derives the
manifest, the closed zones, the roll-outs and the table of upstreams.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

from absl import logging

from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import orders
from lycheegw.state import routing
from lycheegw.state import topics
from lycheegw.state import upstreams

__all__ = ["Directory", "KnownRollout"]

# The store counts as unavailable if no node has read it for this long. Entries
# expire after three missed heartbeats, so none can have expired unnoticed
# within a shorter time.
_STORE_OUTAGE_S = 3.0
# Entries that expired during an outage of the store are written again within
# two seconds of its return.
_EXPIRED_GRACE_S = 2.2
# Upstreams of a reopened zone count as cold for this many heartbeats, until
# entries written since then tell for how long they are cold.
_REOPENED_COLD_HEARTBEATS = 2.5
# Logged age of a list that was never read before.
_MAX_LOGGED_AGE_S = 999.0


class KnownRollout(NamedTuple):
    """A roll-out that was ordered.

    Attributes:
        order: The order.
        offset: Offset of the order in the store's topic.
        seen_s: Monotonic second at which this node first read it.
    """

    order: orders.RolloutOrder
    offset: int
    seen_s: float


class _DecodedOrder(NamedTuple):
    """A value of the store, and its order; None if there is none for it."""

    value: bytes
    order: orders.Order | None


WriteEvent = Callable[..., None]


class Directory:
    """Derives the current orders and the table of upstreams from topics.

    Attributes:
        manifest: The current manifest, None before the first was read.
        closed_zones: Zones whose upstreams get no new requests.
        rollout_by_service: The ordered roll-outs.
        outcome_by_service: The outcomes of roll-outs that the store has.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        codec: orders.Codec,
        state_by_topic: dict[topics.Topic, topics.TopicState],
        heartbeat_s: float,
        note: WriteEvent,
    ):
        self.manifest: routing.Manifest | None = None
        self.closed_zones: set[str] = set()
        self.rollout_by_service: dict[str, KnownRollout] = {}
        self.outcome_by_service: dict[str, orders.RolloutOutcome] = {}
        self._state = state
        self._codec = codec
        self._state_by_topic = state_by_topic
        self._heartbeat_s = heartbeat_s
        self._note = note
        self._decoded_by_key: dict[str, _DecodedOrder] = {}
        self._entry_by_id: dict[str, upstreams.HostEntry] = {}
        self._expired_s_by_id: dict[str, float] = {}
        self._offset_by_id: dict[str, int] = {}
        self._applied_end_offset = -1
        self._last_confirmed_s = -math.inf
        self._store_returned_s = -math.inf
        self._former_age_s = math.inf

    def apply(self, topic: topics.Topic, changed: set[str]) -> None:
        """Applies a topic, of which the given keys changed."""
        if topic is topics.Topic.ORDERS:
            self._apply_orders()
        elif topic is topics.Topic.OUTCOMES:
            self._apply_outcomes(changed)
        elif topic is topics.Topic.UPSTREAMS:
            self._detect_store_return()
            end_offset = self._state_by_topic[topic].end_offset
            # Confirmations alone change nothing.
            if changed or end_offset != self._applied_end_offset:
                self._applied_end_offset = end_offset
                self._apply_upstreams()
            else:
                self.expire_lapsed()

    @property
    def is_store_silent(self) -> bool:
        """Whether no node is known to have read the store recently."""
        topic_state = self._state_by_topic[topics.Topic.UPSTREAMS]
        return self._now_s() - topic_state.confirmed_s > _STORE_OUTAGE_S

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    def _apply_orders(self) -> None:
        """Decodes the orders whose values changed and applies all of them."""
        topic_state = self._state_by_topic[topics.Topic.ORDERS]
        present = topic_state.values()
        self._decoded_by_key = {
            key: self._decode_order(key, value)
            for key, value in sorted(present.items())
        }
        closed = set()
        rollouts = {}
        for key, decoded in self._decoded_by_key.items():
            order = decoded.order
            if isinstance(order, routing.Manifest):
                self._update_manifest(order)
            elif isinstance(order, orders.ZoneClosure):
                closed.add(order.zone)
            elif isinstance(order, orders.RolloutOrder):
                rollouts[order.service] = self._known_rollout(
                    order, topic_state.offset_of(key)
                )
        self.rollout_by_service = rollouts
        self._update_closed_zones(closed)

    def _decode_order(self, key: str, value: bytes) -> "_DecodedOrder":
        """Returns an order, decoded only if its value is new."""
        known = self._decoded_by_key.get(key)
        if known is not None and known.value == value:
            return known
        order = None
        try:
            order = self._codec.decode_order(key, value)
        except errors.RecordError as error:
            logging.error("skipping unreadable order %r: %s", key, error)
            self._state.counters.add("orders.unreadable")
        return _DecodedOrder(value, order)

    def _update_manifest(self, manifest: routing.Manifest) -> None:
        if (
            self.manifest is not None
            and manifest.version <= self.manifest.version
        ):
            return
        self._note(
            "manifest",
            version=manifest.version,
            former=self.manifest.version if self.manifest else None,
            routes=manifest.route_count,
            services=len(manifest.service_by_name),
        )
        self.manifest = manifest

    def _known_rollout(
        self, order: orders.RolloutOrder, offset: int
    ) -> KnownRollout:
        known = self.rollout_by_service.get(order.service)
        if known is not None and known.offset == offset:
            return known
        self._note(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
            offset=offset,
        )
        return KnownRollout(order, offset, self._now_s())

    def _update_closed_zones(self, closed: set[str]) -> None:
        if closed == self.closed_zones:
            return
        reopened = self.closed_zones - closed
        self._note(
            "zones_closed", closed=sorted(closed), reopened=sorted(reopened)
        )
        self.closed_zones = closed
        until_s = self._now_s() + _REOPENED_COLD_HEARTBEATS * self._heartbeat_s
        for upstream in self._state.upstreams.by_id.values():
            if upstream.entry.zone in reopened:
                upstream.cold_until_s = max(upstream.cold_until_s, until_s)

    def _apply_outcomes(self, changed: set[str]) -> None:
        topic_state = self._state_by_topic[topics.Topic.OUTCOMES]
        for key in sorted(changed):
            value = topic_state.value(key)
            if value is None:
                continue
            try:
                outcome = self._codec.decode_outcome(key, value)
            except errors.RecordError as error:
                logging.error("skipping unreadable outcome %r: %s", key, error)
                self._state.counters.add("outcomes.unreadable")
                continue
            if outcome is not None:
                self.outcome_by_service[outcome.service] = outcome
                self._note(
                    "rollout_outcome",
                    service=outcome.service,
                    version=outcome.version,
                    state=outcome.state.value,
                )

    def _detect_store_return(self) -> None:
        """Records when the store is first read again after an outage."""
        topic_state = self._state_by_topic[topics.Topic.UPSTREAMS]
        confirmed_s = topic_state.confirmed_s
        is_first = self._last_confirmed_s == -math.inf
        self._former_age_s = self._now_s() - self._last_confirmed_s
        if not is_first and (
            confirmed_s - self._last_confirmed_s > _STORE_OUTAGE_S
        ):
            self._store_returned_s = confirmed_s
        self._last_confirmed_s = max(self._last_confirmed_s, confirmed_s)

    def _apply_upstreams(self) -> None:
        """Updates the table of upstreams from the store's entries."""
        topic_state = self._state_by_topic[topics.Topic.UPSTREAMS]
        present = topic_state.values()
        for key, value in present.items():
            offset = topic_state.offset_of(key)
            if self._offset_by_id.get(key) != offset:
                self._offset_by_id[key] = offset
                self._update_entry(key, value)
        for key in set(self._entry_by_id) - set(present):
            self._handle_missing(key)
        entries = _newest_by_address(self._entry_by_id.values())
        table = self._state.upstreams
        if [each.entry for each in table.by_id.values()] != entries:
            table.replace_entries(entries)
        for upstream in table.by_id.values():
            upstream.is_listed = (
                upstream.entry.host_id not in self._expired_s_by_id
            )

    def _update_entry(self, key: str, value: bytes) -> None:
        try:
            entry = self._codec.decode_upstream(key, value)
        except errors.RecordError as error:
            # Other writers may use this topic; the last valid entry stays.
            self._state.counters.add("upstreams.unreadable")
            logging.warning("skipping unreadable upstream entry: %s", error)
            return
        previous = self._entry_by_id.get(key)
        if previous is not None and _is_older(entry, previous):
            self._state.counters.add("upstreams.old_entry")
            return
        self._expired_s_by_id.pop(key, None)
        if previous is not None and previous.started_ms == entry.started_ms:
            # A heartbeat that arrives late does not undo the draining state.
            is_leaving = previous.is_leaving or entry.is_leaving
            entry = entry._replace(is_leaving=is_leaving)
        if previous is None or _is_changed(previous, entry):
            self._note(
                "upstream",
                upstream=key,
                pool=entry.pool,
                zone=entry.zone,
                version=entry.version,
                leaving=entry.is_leaving,
                cold_s=entry.cold_s,
                within_s=round(min(_MAX_LOGGED_AGE_S, self._former_age_s), 2),
            )
        self._entry_by_id[key] = entry
        self._update_cold_time(key, entry)

    def _update_cold_time(self, key: str, entry: upstreams.HostEntry) -> None:
        upstream = self._state.upstreams.by_id.get(key)
        if upstream is None or upstream.entry.started_ms != entry.started_ms:
            self._state.upstreams.replace_entries(
                _newest_by_address(self._entry_by_id.values())
            )
            upstream = self._state.upstreams.by_id.get(key)
        if upstream is None:
            return
        now_s = self._now_s()
        if entry.cold_s > 0:
            upstream.cold_until_s = now_s + entry.cold_s
        # The entry may have been written before a more recent failure.
        connect_failed_s = upstream.connect_failed_s
        if (
            connect_failed_s is not None
            and now_s - connect_failed_s > self._heartbeat_s
        ):
            upstream.connect_failed_s = None

    def _handle_missing(self, key: str) -> None:
        """Removes an upstream whose entry is gone.

        It is kept for a while if the entry may have expired only because the
        store was unavailable.
        """
        now_s = self._now_s()
        if (
            now_s - self._store_returned_s < _EXPIRED_GRACE_S
            or self.is_store_silent
        ):
            if key not in self._expired_s_by_id:
                self._expired_s_by_id[key] = now_s
                self._note("upstream_lapsed", upstream=key)
            return
        del self._entry_by_id[key]
        self._expired_s_by_id.pop(key, None)
        self._offset_by_id.pop(key, None)
        self._note(
            "upstream_gone",
            upstream=key,
            within_s=round(min(_MAX_LOGGED_AGE_S, self._former_age_s), 2),
        )

    def expire_lapsed(self) -> None:
        """Removes expired upstreams whose entries were not written again."""
        if self._expired_s_by_id:
            self._apply_upstreams()


def _is_older(
    entry: upstreams.HostEntry, previous: upstreams.HostEntry
) -> bool:
    """Returns whether an entry was written before the previous one."""
    if not entry.started_ms or not previous.started_ms:
        return False
    return (entry.started_ms, entry.sequence) < (
        previous.started_ms,
        previous.sequence,
    )


def _is_changed(
    previous: upstreams.HostEntry, entry: upstreams.HostEntry
) -> bool:
    """Returns whether more than sequence number and cold time changed."""
    return previous._replace(sequence=0, cold_s=0.0) != entry._replace(
        sequence=0, cold_s=0.0
    )


def _newest_by_address(
    entries: Iterable[upstreams.HostEntry],
) -> list[upstreams.HostEntry]:
    """Returns one entry for each address, that of the latest start.

    An address may be reused by a new process before the old entry expires.
    """
    by_address: dict[str, upstreams.HostEntry] = {}
    for entry in entries:
        other = by_address.get(entry.address)
        if other is None or entry.started_ms >= other.started_ms:
            by_address[entry.address] = entry
    return list(by_address.values())
