"""Brings what the store's topics say into force at this node."""

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

# The store is held to have been away when nothing was heard of it for this
# long: entries lapse after three missed heartbeats, so none can have lapsed
# unnoticed before.
_STORE_AWAY_S = 3.0
# Entries that lapsed meanwhile are back within two seconds of its return.
_LAPSED_GRACE_S = 2.2
# Upstreams of a zone that is taken back count as cold for so many heartbeats,
# until entries written since tell how long they are.
_REOPENED_HEARTBEATS = 2.5


class KnownRollout(NamedTuple):
    """A roll-out that was ordered.

    Attributes:
        order: What was ordered.
        offset: Offset of the order.
        seen_s: Monotonic second at which this node first knew of it.
    """

    order: orders.RolloutOrder
    offset: int
    seen_s: float


Note = Callable[..., None]


class Directory:
    """The orders in force and the table of upstreams.

    Attributes:
        manifest: The configuration in force, None before the first.
        closed_zones: Zones whose upstreams get no new work.
        rollout_by_service: Roll-outs ordered.
        outcome_by_service: What became of them, as the store has it.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        codec: orders.Codec,
        state_by_topic: dict[topics.Topic, topics.TopicState],
        heartbeat_s: float,
        note: Note,
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
        self._entry_by_id: dict[str, upstreams.HostEntry] = {}
        self._lapsed_by_id: dict[str, float] = {}
        self._offset_by_id: dict[str, int] = {}
        self._last_confirmed_s = -math.inf
        self._returned_s = -math.inf

    def apply(self, topic: topics.Topic, changed: set[str]) -> None:
        """Takes over the keys of a topic that changed."""
        if topic is topics.Topic.ORDERS:
            self._apply_orders(changed)
        elif topic is topics.Topic.OUTCOMES:
            self._apply_outcomes(changed)
        elif topic is topics.Topic.UPSTREAMS:
            self._note_store_return()
            self._apply_upstreams()

    @property
    def is_store_silent(self) -> bool:
        """Whether no node was heard to read the store of late."""
        known = self._state_by_topic[topics.Topic.UPSTREAMS]
        return self._now_s() - known.confirmed_s > _STORE_AWAY_S

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    def _apply_orders(self, changed: set[str]) -> None:
        known = self._state_by_topic[topics.Topic.ORDERS]
        for key in sorted(changed):
            value = known.value(key)
            try:
                order = (
                    None
                    if value is None
                    else self._codec.decode_order(key, value)
                )
            except errors.RecordError as error:
                logging.error("order %s is left out: %s", key, error)
                self._state.counters.add("orders.unreadable")
                continue
            if isinstance(order, routing.Manifest):
                self._take_manifest(order)
        self._take_orders(known)

    def _take_manifest(self, manifest: routing.Manifest) -> None:
        if (
            self.manifest is not None
            and manifest.version <= self.manifest.version
        ):
            return
        self._note(
            "manifest",
            version=manifest.version,
            former=self.manifest.version if self.manifest else None,
            routes=sum(map(len, manifest.routes_by_host.values())),
            services=len(manifest.service_by_name),
        )
        self.manifest = manifest

    def _take_orders(self, known: topics.TopicState) -> None:
        """Takes over which zones are closed and what is rolled out."""
        closed = set()
        rollouts = {}
        for key, value in known.values().items():
            try:
                order = self._codec.decode_order(key, value)
            except errors.RecordError:
                # Logged when the key changed.
                continue
            if isinstance(order, orders.ZoneClosed):
                closed.add(order.zone)
            elif isinstance(order, orders.RolloutOrder):
                rollouts[order.service] = self._rollout(
                    order, known.offset_of(key)
                )
        self.rollout_by_service = rollouts
        self._take_closed(closed)

    def _rollout(self, order: orders.RolloutOrder, offset: int) -> KnownRollout:
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

    def _take_closed(self, closed: set[str]) -> None:
        if closed == self.closed_zones:
            return
        reopened = self.closed_zones - closed
        self._note(
            "zones_closed", closed=sorted(closed), reopened=sorted(reopened)
        )
        self.closed_zones = closed
        until_s = self._now_s() + _REOPENED_HEARTBEATS * self._heartbeat_s
        for upstream in self._state.upstreams.by_id.values():
            if upstream.entry.zone in reopened:
                upstream.cold_until_s = max(upstream.cold_until_s, until_s)

    def _apply_outcomes(self, changed: set[str]) -> None:
        known = self._state_by_topic[topics.Topic.OUTCOMES]
        for key in sorted(changed):
            value = known.value(key)
            if value is None:
                continue
            try:
                outcome = self._codec.decode_outcome(key, value)
            except errors.RecordError as error:
                logging.error("outcome %s is left out: %s", key, error)
                continue
            if outcome is not None:
                self.outcome_by_service[outcome.service] = outcome
                self._note(
                    "rollout_outcome",
                    service=outcome.service,
                    version=outcome.version,
                    state=outcome.state.value,
                )

    def _note_store_return(self) -> None:
        """Notices a read after a time in which nobody could read."""
        known = self._state_by_topic[topics.Topic.UPSTREAMS]
        confirmed_s = known.confirmed_s
        is_first = self._last_confirmed_s == -math.inf
        if not is_first and (
            confirmed_s - self._last_confirmed_s > _STORE_AWAY_S
        ):
            self._returned_s = confirmed_s
        self._last_confirmed_s = max(self._last_confirmed_s, confirmed_s)

    def _apply_upstreams(self) -> None:
        """Brings the table in line with the entries."""
        known = self._state_by_topic[topics.Topic.UPSTREAMS]
        present = known.values()
        for key, value in present.items():
            offset = known.offset_of(key)
            if self._offset_by_id.get(key) != offset:
                self._offset_by_id[key] = offset
                self._take_entry(key, value)
        for key in set(self._entry_by_id) - set(present):
            self._take_missing(key)
        entries = _newest_by_address(self._entry_by_id.values())
        table = self._state.upstreams
        if [each.entry for each in table.by_id.values()] != entries:
            table.replace_entries(entries)
        for upstream in table.by_id.values():
            upstream.is_listed = (
                upstream.entry.host_id not in self._lapsed_by_id
            )

    def _take_entry(self, key: str, value: bytes) -> None:
        try:
            entry = self._codec.decode_upstream(key, value)
        except errors.RecordError as error:
            # Other writers may write here; what was known before holds.
            self._state.counters.add("upstreams.unreadable")
            logging.warning("entry is left out: %s", error)
            return
        former = self._entry_by_id.get(key)
        if former is not None and _is_older(entry, former):
            self._state.counters.add("upstreams.old_entry")
            return
        self._lapsed_by_id.pop(key, None)
        if former is not None and former.started_ms == entry.started_ms:
            # A late heartbeat does not take the notice of leaving back.
            is_leaving = former.is_leaving or entry.is_leaving
            entry = entry._replace(is_leaving=is_leaving)
        if former is None or _has_news(former, entry):
            self._note(
                "upstream",
                upstream=key,
                pool=entry.pool,
                zone=entry.zone,
                version=entry.version,
                leaving=entry.is_leaving,
                cold_s=entry.cold_s,
            )
        self._entry_by_id[key] = entry
        self._take_coldness(key, entry)

    def _take_coldness(self, key: str, entry: upstreams.HostEntry) -> None:
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
        # The entry may have been on its way when the failure came.
        doubted_s = upstream.doubted_s
        if doubted_s is not None and now_s - doubted_s > self._heartbeat_s:
            upstream.doubted_s = None

    def _take_missing(self, key: str) -> None:
        """Drops an upstream that is gone; one that lapsed may come back."""
        now_s = self._now_s()
        if now_s - self._returned_s < _LAPSED_GRACE_S or self.is_store_silent:
            if key not in self._lapsed_by_id:
                self._lapsed_by_id[key] = now_s
                self._note("upstream_lapsed", upstream=key)
            return
        del self._entry_by_id[key]
        self._lapsed_by_id.pop(key, None)
        self._offset_by_id.pop(key, None)
        self._note("upstream_gone", upstream=key)

    def expire_lapsed(self) -> None:
        """Drops the upstreams that did not come back."""
        if self._lapsed_by_id:
            self._apply_upstreams()


def _is_older(entry: upstreams.HostEntry, known: upstreams.HostEntry) -> bool:
    """Returns whether an entry was written before the one that is known."""
    if not entry.started_ms or not known.started_ms:
        return False
    return (entry.started_ms, entry.sequence) < (
        known.started_ms,
        known.sequence,
    )


def _has_news(former: upstreams.HostEntry, entry: upstreams.HostEntry) -> bool:
    """Returns whether more changed than the number and the cold time."""
    return former._replace(sequence=0, cold_s=0.0) != entry._replace(
        sequence=0, cold_s=0.0
    )


def _newest_by_address(
    entries: Iterable[upstreams.HostEntry],
) -> list[upstreams.HostEntry]:
    """Returns one entry for each address, that of the latest start.

    An address may be given to a new process while the old entry lingers.
    """
    by_address: dict[str, upstreams.HostEntry] = {}
    for entry in entries:
        other = by_address.get(entry.address)
        if other is None or entry.started_ms >= other.started_ms:
            by_address[entry.address] = entry
    return list(by_address.values())
