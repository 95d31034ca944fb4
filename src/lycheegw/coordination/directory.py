"""Applies the store's topics to this node's routing.

From the orders, outcomes and upstream entries of the store it derives the
manifest, the closed zones, the roll-outs and the table of upstreams.

A store that is restored from a backup lacks its latest records until their
writers write them again. What it lacks stays in force for a while, and what it
has in a former version doesn't replace what is known.
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
# Time for which a closure or a roll-out stays in force that a restored store
# lacks, unless its key is written before. Ending one too early exposes
# callers; keeping one too long only delays the use of a zone or a version.
_LOST_ORDER_HOLD_S = 5.0
# Removed upstreams that are remembered, as a restored store may list them.
_MAX_REMOVED_UPSTREAMS = 2000
# Logged age of a list that was never read before.
_MAX_LOGGED_AGE_S = 999.0


class KnownRollout(NamedTuple):
    """A roll-out that was ordered.

    Attributes:
        order: The order.
        offset: Offset at which the order was first read. It identifies the
            order to peers, also if it is written again after a restore.
        seen_s: Monotonic second at which this node first read it.
        record: Position of its record in the store's topic.
    """

    order: orders.RolloutOrder
    offset: int
    seen_s: float
    record: topics.Position = topics.Position(0, -1)


class _DecodedOrder(NamedTuple):
    """A record of the store, and its order; None if there is none for it."""

    value: bytes
    record: topics.Position
    order: orders.Order | None


class _HeldOrder(NamedTuple):
    """An order that a restored store lacks, kept until a monotonic second."""

    decoded: _DecodedOrder
    until_s: float


WriteEvent = Callable[..., None]


class Directory:
    """Derives the current orders and the table of upstreams from topics.

    Attributes:
        manifest: The current manifest, None before the first was read.
        closed_zones: Zones whose upstreams get no new requests.
        rollout_by_service: The ordered roll-outs.
        outcome_by_service: The latest known outcomes of roll-outs.
        lost_outcomes: Services whose outcome a restored store lacks, and the
            monotonic second at which this was found.
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
        self.lost_outcomes: dict[str, float] = {}
        self._state = state
        self._codec = codec
        self._state_by_topic = state_by_topic
        self._heartbeat_s = heartbeat_s
        self._note = note
        # Era of the copy of each topic that was applied last.
        self._era_by_topic: dict[topics.Topic, int] = {}
        self._decoded_by_key: dict[str, _DecodedOrder] = {}
        self._held_order_by_key: dict[str, _HeldOrder] = {}
        self._entry_by_id: dict[str, upstreams.HostEntry] = {}
        self._expired_s_by_id: dict[str, float] = {}
        self._offset_by_id: dict[str, int] = {}
        self._removed_by_id: dict[str, upstreams.HostEntry] = {}
        self._applied_end = topics.Position(0, -1)
        self._last_confirmed_s = -math.inf
        self._store_returned_s = -math.inf
        self._former_age_s = math.inf

    def apply(self, topic: topics.Topic, changed: set[str]) -> None:
        """Applies a topic, of which the given keys changed."""
        if topic is topics.Topic.ORDERS:
            self._note_written(changed)
            self._apply_orders()
        elif topic is topics.Topic.OUTCOMES:
            self._apply_outcomes(changed)
        elif topic is topics.Topic.UPSTREAMS:
            self._detect_store_return()
            end = self._state_by_topic[topic].position
            # Confirmations alone change nothing.
            if changed or end != self._applied_end:
                self._applied_end = end
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

    def _is_restored(self, topic: topics.Topic) -> bool:
        """Returns whether a copy is the first that is applied of its era."""
        era = self._state_by_topic[topic].era
        former = self._era_by_topic.get(topic, 0)
        self._era_by_topic[topic] = era
        return 0 < former < era

    def _note_written(self, changed: set[str]) -> None:
        """Ends the hold of orders that were written, or begins holds."""
        if not self._is_restored(topics.Topic.ORDERS):
            for key in changed:
                self._held_order_by_key.pop(key, None)
            return
        topic_state = self._state_by_topic[topics.Topic.ORDERS]
        until_s = self._now_s() + _LOST_ORDER_HOLD_S
        self._held_order_by_key = {
            key: _HeldOrder(decoded, until_s)
            for key, decoded in self._decoded_by_key.items()
            if isinstance(
                decoded.order, orders.ZoneClosure | orders.RolloutOrder
            )
            and topic_state.value(key) != decoded.value
            # Else the record is later than the known one.
            and topic_state.offset_of(key) < decoded.record.offset
        }
        if self._held_order_by_key:
            self._note("orders_held", keys=sorted(self._held_order_by_key))

    def _apply_orders(self) -> None:
        """Decodes the orders whose values changed and applies all of them."""
        topic_state = self._state_by_topic[topics.Topic.ORDERS]
        decoded_by_key = {
            key: self._decode_order(
                key,
                value,
                topics.Position(topic_state.era, topic_state.offset_of(key)),
            )
            for key, value in topic_state.values().items()
        }
        for key, held in list(self._held_order_by_key.items()):
            if self._now_s() < held.until_s:
                decoded_by_key[key] = held.decoded
            else:
                del self._held_order_by_key[key]
        self._decoded_by_key = dict(sorted(decoded_by_key.items()))
        closed = set()
        rollouts = {}
        for decoded in self._decoded_by_key.values():
            order = decoded.order
            if isinstance(order, routing.Manifest):
                self._update_manifest(order)
            elif isinstance(order, orders.ZoneClosure):
                closed.add(order.zone)
            elif isinstance(order, orders.RolloutOrder):
                rollouts[order.service] = self._known_rollout(
                    order, decoded.record
                )
        self.rollout_by_service = rollouts
        self._update_closed_zones(closed)

    def _decode_order(
        self, key: str, value: bytes, record: topics.Position
    ) -> _DecodedOrder:
        """Returns an order, decoded only if its value is new."""
        known = self._decoded_by_key.get(key)
        if known is not None and known.value == value:
            return known._replace(record=record)
        order = None
        try:
            order = self._codec.decode_order(key, value)
        except errors.RecordError as error:
            logging.error("skipping unreadable order %r: %s", key, error)
            self._state.counters.add("orders.unreadable")
        return _DecodedOrder(value, record, order)

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
        self, order: orders.RolloutOrder, record: topics.Position
    ) -> KnownRollout:
        known = self.rollout_by_service.get(order.service)
        if known is not None and known.record == record:
            return known
        if (
            known is not None
            and known.order == order
            and known.record.era < record.era
        ):
            # The order survived a restore, or was written again after it.
            return known._replace(record=record)
        self._note(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
            offset=record.offset,
        )
        return KnownRollout(order, record.offset, self._now_s(), record)

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
        if self._is_restored(topics.Topic.OUTCOMES):
            self._find_lost_outcomes(topic_state)
            changed = {
                key
                for key in changed
                if (outcome := self._decode_outcome(key, topic_state)) is None
                or outcome.service not in self.lost_outcomes
            }
        for key in sorted(changed):
            outcome = self._decode_outcome(key, topic_state)
            if outcome is not None:
                self.outcome_by_service[outcome.service] = outcome
                self.lost_outcomes.pop(outcome.service, None)
                self._note(
                    "rollout_outcome",
                    service=outcome.service,
                    version=outcome.version,
                    state=outcome.state.value,
                )

    def _decode_outcome(
        self, key: str, topic_state: topics.TopicState
    ) -> orders.RolloutOutcome | None:
        """Returns the outcome of a key, None if it has none."""
        value = topic_state.value(key)
        if value is None:
            return None
        try:
            return self._codec.decode_outcome(key, value)
        except errors.RecordError as error:
            logging.error("skipping unreadable outcome %r: %s", key, error)
            self._state.counters.add("outcomes.unreadable")
            return None

    def _find_lost_outcomes(self, topic_state: topics.TopicState) -> None:
        """Records the known outcomes that a restored store lacks."""
        stored = {
            (outcome.service, outcome.version)
            for key in topic_state.values()
            if (outcome := self._decode_outcome(key, topic_state)) is not None
        }
        self.lost_outcomes = {
            service: self._now_s()
            for service, outcome in self.outcome_by_service.items()
            if (service, outcome.version) not in stored
        }
        if self.lost_outcomes:
            self._note("outcomes_lost", services=sorted(self.lost_outcomes))

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
        is_restored = self._is_restored(topics.Topic.UPSTREAMS)
        if is_restored:
            self._offset_by_id.clear()
            self._store_returned_s = self._now_s()
        present = topic_state.values()
        for key, value in present.items():
            offset = topic_state.offset_of(key)
            if self._offset_by_id.get(key) != offset:
                self._offset_by_id[key] = offset
                self._update_entry(key, value, is_restored)
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

    def _update_entry(self, key: str, value: bytes, is_restored: bool) -> None:
        """Applies an entry.

        Args:
            key: Id of the upstream.
            value: The entry.
            is_restored: Whether it may be older than what is known.
        """
        try:
            entry = self._codec.decode_upstream(key, value)
        except errors.RecordError as error:
            # Other writers may use this topic; the last valid entry stays.
            self._state.counters.add("upstreams.unreadable")
            logging.warning("skipping unreadable upstream entry: %s", error)
            return
        previous = self._entry_by_id.get(key)
        removed = self._removed_by_id.get(key)
        is_removed = (
            is_restored
            and removed is not None
            and not _is_older(removed, entry)
        )
        if is_removed or (previous is not None and _is_older(entry, previous)):
            self._state.counters.add("upstreams.old_entry")
            return
        self._removed_by_id.pop(key, None)
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
        self._removed_by_id[key] = self._entry_by_id.pop(key)
        while len(self._removed_by_id) > _MAX_REMOVED_UPSTREAMS:
            del self._removed_by_id[next(iter(self._removed_by_id))]
        self._expired_s_by_id.pop(key, None)
        self._offset_by_id.pop(key, None)
        self._note(
            "upstream_gone",
            upstream=key,
            within_s=round(min(_MAX_LOGGED_AGE_S, self._former_age_s), 2),
        )

    def expire_lapsed(self) -> None:
        """Removes what a restored or unavailable store has lacked for long."""
        if self._expired_s_by_id:
            self._apply_upstreams()
        now_s = self._now_s()
        if any(
            held.until_s <= now_s for held in self._held_order_by_key.values()
        ):
            self._apply_orders()


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
