"""Detects bad model versions and publishes records that withdraw them.

Each node counts answers and failures by version and sends the counts to the
collector of its zone. The collectors exchange the sums of their zones, read the
ratings and publish once the counts are significant: a record that holds the
roll-out of the version and one that withdraws it. Equal findings make equal
records, so several collectors may publish at the same time.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import config_follower
from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.coordination import version_counts
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import records
from lycheegw.state import requests
from lycheegw.state import upstreams

__all__ = ["BadVersionDetector", "Codec"]

_TOPIC = "evidence"
_ZONE_PREFIX = "zone:"
_RATINGS_SOURCE = "ratings"
_SEND_INTERVAL_S = 1.0
_CALL_TIMEOUT_S = 1.0
_MAX_QUEUED_ANSWERS = 64
_MAX_SAMPLED_ANSWERS = 4
_MAX_RATED_CHARS = 8192
# Failures that a version can cause. Lost and refused connections are left out:
# they are caused by upstreams, zones and requests that crash upstreams.
_VERSION_FAILURES = frozenset(
    (
        reasons.RetryReason.TRUNCATED,
        reasons.RetryReason.MALFORMED,
        reasons.RetryReason.SERVER_ERROR,
        reasons.RetryReason.TOKEN_GAP,
        reasons.RetryReason.EMPTY_ANSWER,
    )
)
_WITHDRAWAL_BODY = {"is_withdrawn": True, "why": "evidence"}

BuildRecord = Callable[
    [records.RecordKey, int, str, Mapping[str, Any]], dict[str, Any]
]


class Codec(NamedTuple):
    """Encodes and decodes counts for peers, and builds records."""

    encode: Callable[[Sequence[version_counts.CountsRow]], bytes]
    decode: Callable[[bytes], Sequence[version_counts.CountsRow]]
    build_record: BuildRecord


class BadVersionDetector:
    """Counts answers and failures by version; a collector evaluates them."""

    def __init__(
        self,
        state: node_state.NodeState,
        bus: interfaces.PeerBus,
        log: interfaces.LogClient,
        ratings: interfaces.RatingsClient,
        codec: Codec,
        live_by_zone: Callable[[], Mapping[str, Sequence[str]]],
        on_ratings: Callable[[int, Sequence[interfaces.Rating]], None],
    ):
        self._state = state
        self._bus = bus
        self._log = log
        self._ratings = ratings
        self._codec = codec
        self._live_by_zone = live_by_zone
        self._on_ratings = on_ratings
        self._own_counts = version_counts.CountsTable()
        self._zone_counts = version_counts.CountsTable()
        self._remote_counts = version_counts.CountsTable()
        self._rating_counts = version_counts.CountsTable()
        self._ratings_position: int | None = None
        self._rating_queue: list[interfaces.RatedAnswer] = []
        self._counted_sources: set[tuple[str, str]] = set()
        self._sent_to: set[str] = set()
        bus.on_call(_TOPIC, self._receive_rows)

    def note_answer(
        self,
        request: requests.Request,
        model: str,
        version: str,
        confidence: float,
        is_delivered: bool,
        text: str,
    ) -> None:
        """Records a whole answer of a version, delivered or not."""
        if is_delivered:
            self._count(model, version, version_counts.Counts(answered=1))
        if len(self._rating_queue) < _MAX_QUEUED_ANSWERS:
            self._rating_queue.append(
                interfaces.RatedAnswer(
                    request.request_id,
                    request.organisation,
                    request.kind,
                    model,
                    version,
                    confidence,
                    is_delivered,
                    text[-_MAX_RATED_CHARS:],
                )
            )

    def note_failure(
        self,
        request: requests.Request,
        model: str,
        version: str,
        upstream: upstreams.Upstream,
        error: errors.UpstreamError,
    ) -> None:
        """Records a failed attempt, once per interval, request and upstream.

        Otherwise a request that fails at every upstream, or an upstream that
        fails every request, would look like a bad version.
        """
        if error.reason not in _VERSION_FAILURES:
            return
        sources = {
            ("request", request.fingerprint),
            ("upstream", upstream.entry.host_id),
        }
        if sources & self._counted_sources:
            return
        self._counted_sources |= sources
        self._count(model, version, version_counts.Counts(failed=1))

    def _count(
        self, model: str, version: str, counts: version_counts.Counts
    ) -> None:
        wall_s = self._state.environment.wall_s()
        own_id = self._state.identity.node_id
        self._own_counts.add(own_id, model, version, wall_s, counts)

    async def run(self) -> None:
        """Sends, collects and evaluates counts until cancelled."""
        while True:
            await self._state.environment.sleep(_SEND_INTERVAL_S)
            self._expire()
            await self._submit_for_rating()
            await self._send_own_counts()
            if self._zone_collector(self._state.identity.zone) == self._own_id:
                await self._run_collector()

    @property
    def _own_id(self) -> str:
        return self._state.identity.node_id

    def _expire(self) -> None:
        wall_s = self._state.environment.wall_s()
        self._own_counts.expire(wall_s, self._own_id)
        self._zone_counts.expire(wall_s, "")
        self._remote_counts.expire(wall_s, "")
        self._rating_counts.expire(wall_s, _RATINGS_SOURCE)
        self._counted_sources.clear()

    async def _submit_for_rating(self) -> None:
        """Submits a sample of the answers to the rating service."""
        sample = _stratified_sample(self._rating_queue, _MAX_SAMPLED_ANSWERS)
        self._rating_queue.clear()
        if not sample:
            return
        try:
            await self._ratings.submit(sample)
        except errors.PlatformError:
            self._state.counters.add("evidence.ratings_failed")

    def _zone_collector(self, zone: str) -> str | None:
        members = list(self._live_by_zone().get(zone, ()))
        if zone == self._state.identity.zone:
            members = sorted({self._own_id, *members})
        return rendezvous.first(_TOPIC, members)

    async def _send_own_counts(self) -> None:
        """Sends this node's counts to the collector of its zone."""
        collector = self._zone_collector(self._state.identity.zone)
        wall_s = self._state.environment.wall_s()
        # A new collector gets all rows, later on only those of recent periods.
        has_history = collector in self._sent_to
        rows = self._own_counts.summed_rows(self._own_id, wall_s, has_history)
        if collector == self._own_id:
            self._zone_counts.merge(rows)
            self._sent_to = {self._own_id}
        elif collector is not None and rows:
            is_sent = await self._send(collector, rows)
            self._sent_to = {collector} if is_sent else set()

    async def _send(
        self, node_id: str, rows: Sequence[version_counts.CountsRow]
    ) -> bool:
        try:
            await self._bus.call(
                node_id, _TOPIC, self._codec.encode(rows), _CALL_TIMEOUT_S
            )
        except errors.PeerUnavailableError:
            self._state.counters.add("evidence.hand_on_failed")
            return False
        return True

    async def _receive_rows(self, sender: str, payload: bytes) -> bytes:
        """Merges rows of a node of this zone, or sums of another zone."""
        rows = self._codec.decode(payload)
        own_zone = _ZONE_PREFIX + self._state.identity.zone
        self._zone_counts.merge(row for row in rows if row.key.source == sender)
        self._remote_counts.merge(
            row
            for row in rows
            if row.key.source.startswith(_ZONE_PREFIX)
            and row.key.source != own_zone
        )
        return b""

    async def _run_collector(self) -> None:
        """Sends the zone's sums to other collectors; acts on bad versions."""
        await self._read_ratings()
        zone = self._state.identity.zone
        wall_s = self._state.environment.wall_s()
        rows = self._zone_counts.summed_rows(_ZONE_PREFIX + zone, wall_s, True)
        for other in sorted(self._live_by_zone()):
            collector = self._zone_collector(other)
            if other != zone and collector is not None and rows:
                await self._send(collector, rows)
        for model, version in self._find_bad_versions():
            await self._hold_and_withdraw(model, version)

    async def _read_ratings(self) -> None:
        """Reads new ratings; those of the first read are history."""
        begin = self._ratings_position
        try:
            self._ratings_position, ratings = await self._ratings.read(
                begin or 0
            )
        except errors.PlatformError:
            self._state.counters.add("evidence.ratings_failed")
            return
        self._on_ratings(begin or 0, ratings)
        wall_s = self._state.environment.wall_s()
        for rating in ratings:
            if not rating.is_delivered:
                # A cascade replaces a poor cheap answer before it is delivered.
                continue
            good = int(rating.is_good)
            counts = version_counts.Counts(rated_good=good, rated_poor=1 - good)
            if begin is None:
                key = version_counts.CountsKey(
                    _RATINGS_SOURCE, 0, rating.model, rating.version
                )
                self._rating_counts.add_history(key, counts)
                continue
            self._rating_counts.add(
                _RATINGS_SOURCE, rating.model, rating.version, wall_s, counts
            )

    def _total(
        self, model: str, version: str, is_history: bool
    ) -> version_counts.Counts:
        wall_s = self._state.environment.wall_s()
        total = version_counts.Counts()
        for table in (
            self._zone_counts,
            self._remote_counts,
            self._rating_counts,
        ):
            total = total.plus(table.total(model, version, wall_s, is_history))
        return total

    def _find_bad_versions(self) -> list[tuple[str, str]]:
        """Returns the bad versions that aren't withdrawn yet."""
        catalog = self._state.catalog
        bad = []
        for state in list(catalog.state_by_key.values()):
            model = state.record.body if state.record is not None else None
            if not isinstance(model, records.Model):
                continue
            if catalog.is_unreadable("model", model.name):
                continue
            bad += [
                (model.name, version)
                for version in model.versions
                if not catalog.is_withdrawn(model.name, version)
                and self._is_bad(model, version)
            ]
        return bad

    def _is_bad(self, model: records.Model, version: str) -> bool:
        current = self._total(model.name, version, False)
        others = version_counts.Counts()
        for each in model.versions:
            if each != version:
                others = others.plus(self._total(model.name, each, False))
        references = [self._total(model.name, version, True)]
        rollout = self._state.catalog.rollout(model.name)
        if rollout is not None and rollout.to_version == version:
            replaced = rollout.from_version
            references.append(
                self._total(model.name, replaced, True).plus(
                    self._total(model.name, replaced, False)
                )
            )
        return any(
            version_counts.is_bad(current, each, others) for each in references
        )

    async def _hold_and_withdraw(self, model: str, version: str) -> None:
        """Publishes a hold of the roll-out and a withdrawal, if needed."""
        self._state.counters.add("evidence.bad_versions")
        logging.warning(
            "%s@%s is bad: too many failures or poor ratings", model, version
        )
        entries = [
            *self._hold_entries(model, version),
            *self._withdrawal_entries(model, version),
        ]
        if not entries:
            return
        try:
            await self._log.append(
                config_follower.CONFIGURATION_STREAM, entries
            )
        except errors.LogUnavailableError:
            self._state.counters.add("evidence.publish_failed")

    def _hold_entries(
        self, model: str, version: str
    ) -> list[interfaces.NewEntry]:
        rollout = self._state.catalog.rollout(model)
        key = records.RecordKey("rollout", model)
        if (
            rollout is None
            or rollout.to_version != version
            or (rollout.is_held and not rollout.share)
            or self._state.catalog.is_unreadable(*key)
        ):
            return []
        body = {
            "from_version": rollout.from_version,
            "to_version": rollout.to_version,
            "share": 0,
            "is_held": True,
        }
        return [self._build_entry(key, "hold", body)]

    def _withdrawal_entries(
        self, model: str, version: str
    ) -> list[interfaces.NewEntry]:
        """Returns a withdrawal unless an organisation has no other version."""
        catalog = self._state.catalog
        key = records.RecordKey("withdrawal", f"{model}@{version}")
        if catalog.has_unreadable("organisation"):
            return []
        for owner in catalog.organisations():
            usable = catalog.allowed_versions(owner.name, model)
            if usable == [version]:
                self._state.counters.add("evidence.last_version")
                return []
        return [self._build_entry(key, "withdraw", _WITHDRAWAL_BODY)]

    def _build_entry(
        self, key: records.RecordKey, verb: str, body: Mapping[str, Any]
    ) -> interfaces.NewEntry:
        """Returns an entry that is the same on every node with this finding."""
        revision = self._state.catalog.state(key).revision
        record_id = f"auto-{verb}-{key.name}-{revision}"
        record = self._codec.build_record(key, revision, record_id, body)
        return interfaces.NewEntry(record_id, record)


def _stratified_sample(
    answers: Sequence[interfaces.RatedAnswer], count: int
) -> list[interfaces.RatedAnswer]:
    """Returns a sample that takes groups of kind and version in turn.

    Least is known of the groups that are rare in the traffic.
    """
    seen: collections.Counter[tuple[str, str, str]] = collections.Counter()
    ranked = []
    for answer in answers:
        group = (answer.model, answer.version, answer.kind)
        ranked.append((seen[group], answer))
        seen[group] += 1
    ranked.sort(key=lambda pair: pair[0])
    return [answer for _, answer in ranked[:count]]
