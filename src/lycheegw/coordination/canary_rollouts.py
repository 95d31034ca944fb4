"""Canary roll-outs of a version, carried out by all nodes without a leader.

A hash of the request selects the share that goes to the target version, so
every node selects the same requests. The share stays small for the first half
of the roll-out (the canary phase) and then ramps up to all. Nodes exchange
their counts of answers, and each evaluates the sums. A version that one node
rejects is rejected by all. One node writes the outcome, under the condition
that the store holds nothing newer. A session that has used the old version
stays on it until the ramp (`session_holds`).
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import NamedTuple

import xxhash

from lycheegw.coordination import change_tracker
from lycheegw.coordination import directory
from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.coordination import session_holds
from lycheegw.coordination import topic_exchange
from lycheegw.state import edge_settings
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import orders
from lycheegw.state import tallies
from lycheegw.state import topics

__all__ = ["CanaryRollouts", "Codec", "RolloutUpdate", "rejection_reason"]

_TOPIC = "fleet_rollouts"
# Share of the exposure bound that the target gets in the canary phase; the rest
# is for the requests in flight when it is rejected.
_CANARY_SHARE_OF_BOUND = 0.65
# Share of the exposure slack for requests for which no other version has an
# upstream; nodes learn of each other's requests with some delay.
_FALLBACK_SLACK_SHARE = 0.5
# Share of the duration that the canary phase takes. A session may change its
# version only after it.
_CANARY_TIME_SHARE = 0.5
# Share of the canary phase in which no session begins at the target, at most;
# meanwhile nodes learn of the sessions in progress at the others.
_MAX_SETTLE_SHARE_OF_CANARY = 0.25
# Share of the duration in which the share ramps up from the canary share to
# all. A version that fails under load fails before it gets everything, and its
# upstreams prefill the shared prompts one after the other.
_RAMP_TIME_SHARE = 0.2
# Good answers that the target must have given before the ramp begins.
_MIN_CANARY_ANSWERS = 12
# Failures from which the target may be rejected; fewer may be chance.
_MIN_FAILURES = 4
# Allowed failure rate in excess of twice that of the other versions.
_FAILURE_MARGIN = 0.08
# Failures from which those of a single upstream count against its version.
_MIN_SINGLE_UPSTREAM_FAILURES = 15
# Answers needed to compare times to the first byte, and the factor that is too
# slow; the times of single answers spread by about a factor of three.
_MIN_TIMED_ANSWERS = 12
_SLOW_FACTOR = 3.0
# Streams needed to compare the time between events, at the target and at the
# others, and the factor that is too slow. This time spreads less than the time
# to the first byte, and a version with little load is, if anything, faster.
_MIN_TARGET_STREAMS = 5
_MIN_OTHER_STREAMS = 12
_SLOW_PACE_FACTOR = 1.8
# Time without requests at the old versions before the roll-out completes.
_MIN_DRAINED_S = 0.6
# Time before the end at which a good version completes although requests still
# run at the old ones.
_COMPLETION_MARGIN_S = 1.2
# Delay between one node and the next in rank before it writes an outcome.
_WRITER_RANK_DELAY_S = 0.8
_TICK_S = 0.1
# Shortest time between two reports of a node's counts of an old version, and
# the part of it for each node, which bounds the reports on each link to 50 a
# second. Those of the target and failures are reported at once.
_MIN_REPORT_INTERVAL_S = 0.3
_REPORT_INTERVAL_S_PER_NODE = 0.02
# Counts and statuses that are kept for neighbours, and sent in one message.
_MAX_GOSSIPED = 8192
_MAX_PER_UPDATE = 500


class RolloutUpdate(NamedTuple):
    """Counts, statuses and held sessions that a node sends to a neighbour."""

    tallies: tuple[tallies.Tally, ...]
    statuses: tuple[tallies.RolloutStatus, ...]
    held_sessions: tuple[session_holds.HoldUpdate, ...] = ()


class Codec(NamedTuple):
    """Encodes and decodes updates."""

    encode: Callable[[RolloutUpdate], bytes]
    decode: Callable[[bytes], RolloutUpdate]


def rejection_reason(
    target: tallies.TallySums, others: tallies.TallySums
) -> str | None:
    """Returns why the target is bad by the sums of all nodes, None if not."""
    others_failure_rate = (
        others.failed / others.answered if others.answered else 0.0
    )
    bound = 2 * others_failure_rate + _FAILURE_MARGIN
    if (
        target.failed >= _MIN_FAILURES
        and target.failed > bound * target.answered
        and (
            len(target.failing_upstreams) > 1
            or target.failed >= _MIN_SINGLE_UPSTREAM_FAILURES
        )
    ):
        return "failures"
    if (
        target.timed >= _MIN_TIMED_ANSWERS
        and others.timed >= _MIN_TIMED_ANSWERS
    ):
        difference = (
            target.log_time_sum / target.timed
            - others.log_time_sum / others.timed
        )
        if difference > math.log(_SLOW_FACTOR):
            return "slow"
    if _can_compare_pace(target, others):
        difference = (
            target.log_pace_sum / target.paced
            - others.log_pace_sum / others.paced
        )
        if difference > math.log(_SLOW_PACE_FACTOR):
            return "slow pace"
    return None


def _can_compare_pace(
    target: tallies.TallySums, others: tallies.TallySums
) -> bool:
    """Returns whether there were enough streams to compare their pace."""
    return (
        target.paced >= _MIN_TARGET_STREAMS
        and others.paced >= _MIN_OTHER_STREAMS
    )


class _RolloutProgress:
    """What this node has observed of a roll-out, and decided.

    Attributes:
        rollout: The order, and when and at which offset it was read.
        first_seen_s: When any node first saw the order.
        is_rejected: Whether the target version was found bad.
        ramp_started_s: When the share began to grow, None in the canary phase.
        drained_since_s: When the last request at the old versions ended.
        decided_s: When `decision` last changed.
        decision: Outcome to write, None while the roll-out is open.
    """

    def __init__(self, rollout: directory.KnownRollout):
        self.rollout = rollout
        self.first_seen_s = rollout.seen_s
        self.is_rejected = False
        self.ramp_started_s: float | None = None
        self.drained_since_s: float | None = None
        self.decided_s: float | None = None
        self.decision: orders.RolloutState | None = None


class CanaryRollouts:
    """Splits requests between versions; completes or rolls back roll-outs."""

    def __init__(
        self,
        state: node_state.NodeState,
        fleet_directory: directory.Directory,
        peers: interfaces.PeerBus,
        codec: Codec,
        bounds: Callable[[], edge_settings.ServiceLevels],
        send_soon: Callable[[], None],
        note: directory.WriteEvent,
    ):
        self._state = state
        self._directory = fleet_directory
        self._peers = peers
        self._codec = codec
        self._bounds = bounds
        self._send_soon = send_soon
        self._note = note
        self._own_id = state.identity.node_id
        self._started_ms = int(state.environment.wall_s() * 1000)
        self._sequence = 0
        self._progress_by_service: dict[str, _RolloutProgress] = {}
        self._tallies = tallies.TallyTable()
        self._session_holds = session_holds.SessionHolds()
        self._status_by_key: dict[tuple[str, str], tallies.RolloutStatus] = {}
        self._tallies_to_gossip: change_tracker.ChangeTracker[tallies.Tally] = (
            change_tracker.ChangeTracker(_MAX_GOSSIPED)
        )
        self._statuses_to_gossip: change_tracker.ChangeTracker[
            tallies.RolloutStatus
        ] = change_tracker.ChangeTracker(_MAX_GOSSIPED)
        # Own counts that were changed since they were last reported.
        self._unreported_keys: set[tallies.TallyKey] = set()
        self._reported_s = -math.inf
        peers.on_delta(_TOPIC, self._update_for, self._merge_update)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._tallies_to_gossip.forget_sent(neighbour)
        self._statuses_to_gossip.forget_sent(neighbour)
        self._session_holds.forget_neighbour(neighbour)

    def target(self, service: str) -> str | None:
        """Returns the target version of a service, None without a roll-out."""
        rollout = self._directory.rollout_by_service.get(service)
        return rollout.order.version if rollout is not None else None

    def share(self, service: str) -> float:
        """Returns the share of new work for the target version."""
        rollout = self._directory.rollout_by_service.get(service)
        if rollout is None:
            return 0.0
        outcome = self._outcome(rollout)
        if outcome is orders.RolloutState.COMPLETED:
            return 1.0
        if outcome is orders.RolloutState.ROLLED_BACK:
            return 0.0
        progress = self._progress(rollout)
        if progress.is_rejected:
            return 0.0
        return self._running_share(progress)

    def wants_target(
        self,
        service: str,
        request_id: str,
        prompt_key: str | None,
        session: str | None = None,
    ) -> bool | None:
        """Returns whether a request is to go to the target version.

        In the canary phase single sessions are selected, since those with a
        popular prompt could exceed the bound. On the ramp all requests with a
        prompt move together, so that each prompt is prefilled once.

        Args:
            service: Service that serves the request.
            request_id: Identifies the request.
            prompt_key: Identifies its shared prompt, if it has one.
            session: Session of the request, if it has one.

        Returns:
            None if the service has no roll-out.
        """
        rollout = self._directory.rollout_by_service.get(service)
        if rollout is None:
            return None
        share = self.share(service)
        canary = min(share, self._canary_share())
        request_key = session or request_id
        if _hash_fraction(service, request_key) < canary:
            return session is None or not self._keeps_old_version(
                rollout, session
            )
        rest = (share - canary) / (1 - canary) if share < 1 else 1.0
        return _hash_fraction(service, prompt_key or request_key) < rest

    def _keeps_old_version(
        self, rollout: directory.KnownRollout, session: str
    ) -> bool:
        """Returns whether a selected session waits for the ramp."""
        service = rollout.order.service
        if not self.is_canary_phase(service):
            return False
        canary_s = _CANARY_TIME_SHARE * rollout.order.duration_s
        settle_s = min(
            self._bounds().config_apply_s,
            _MAX_SETTLE_SHARE_OF_CANARY * canary_s,
        )
        order_age_s = self._now_s() - self._progress(rollout).first_seen_s
        return order_age_s < settle_s or self._session_holds.is_held(
            service, rollout.offset, session
        )

    def is_canary_phase(self, service: str) -> bool:
        """Returns whether sessions keep their version (canary phase)."""
        rollout = self._directory.rollout_by_service.get(service)
        if rollout is None or self._outcome(rollout) is not None:
            return False
        progress = self._progress(rollout)
        canary_s = _CANARY_TIME_SHARE * rollout.order.duration_s
        return self._now_s() - progress.first_seen_s < canary_s

    def allows_version(self, service: str, version: str) -> bool:
        """Returns whether a version may get a request beyond its share."""
        rollout = self._directory.rollout_by_service.get(service)
        if rollout is None:
            return True
        outcome = self._outcome(rollout)
        is_target = version == rollout.order.version
        if outcome is orders.RolloutState.COMPLETED:
            return is_target
        if outcome is orders.RolloutState.ROLLED_BACK:
            return not is_target
        if not is_target:
            return True
        progress = self._progress(rollout)
        return not progress.is_rejected and self._has_exposure_left(progress)

    def is_withdrawn(self, service: str, version: str) -> bool:
        """Returns whether a version was rejected, or replaced for good."""
        rollout = self._directory.rollout_by_service.get(service)
        if rollout is None:
            return False
        if version == rollout.order.version:
            return self.share(service) <= 0
        return self._outcome(rollout) is orders.RolloutState.COMPLETED

    def _has_exposure_left(self, progress: _RolloutProgress) -> bool:
        """Returns whether the target may get more than the canary share."""
        if self._running_share(progress) > self._canary_share():
            return True
        target, others = self._totals(progress.rollout)
        bounds = self._bounds()
        allowed = bounds.exposure_share * (target.sent + others.sent)
        slack = _FALLBACK_SLACK_SHARE * bounds.exposure_slack
        return target.sent < _CANARY_SHARE_OF_BOUND * allowed + slack

    def note_sent(
        self, service: str, version: str, session: str | None = None
    ) -> None:
        """Records a request that was sent."""
        if session is not None:
            self._note_session(service, version, session)
        tally = self._own_tally(service, version)
        if tally is not None:
            self._put(
                tally._replace(
                    sent=tally.sent + 1, in_flight=tally.in_flight + 1
                )
            )

    def _note_session(self, service: str, version: str, session: str) -> None:
        """Records a session's version, and holds it if it is the old one."""
        now_s = self._now_s()
        recent = self._session_holds.recent
        recent.prune(now_s - self._bounds().session_s)
        recent.note_sent(service, session, version, now_s)
        rollout = self._directory.rollout_by_service.get(service)
        if (
            rollout is not None
            and version != rollout.order.version
            and self.is_canary_phase(service)
            and _hash_fraction(service, session) < self._canary_share()
            and self._session_holds.hold(service, rollout.offset, session)
        ):
            self._send_soon()

    def note_ended(
        self, service: str, version: str, session: str | None = None
    ) -> None:
        """Records that a request has ended."""
        if session is not None:
            self._session_holds.recent.note_ended(
                service, session, self._now_s()
            )
        tally = self._own_tally(service, version)
        if tally is not None:
            in_flight = max(0, tally.in_flight - 1)
            self._put(tally._replace(in_flight=in_flight))

    def note_answer(
        self, service: str, version: str, head_s: float | None
    ) -> None:
        """Records an answer; `head_s` is its time to the first byte."""
        tally = self._own_tally(service, version)
        if tally is None:
            return
        tally = tally._replace(answered=tally.answered + 1)
        if head_s is not None:
            log_time = math.log(max(head_s, 0.001))
            tally = tally._replace(
                timed=tally.timed + 1,
                log_time_sum=tally.log_time_sum + log_time,
            )
        self._put(tally)

    def note_first_byte_timeout(
        self, service: str, version: str, seconds: float
    ) -> None:
        """Records an attempt without a first byte after `seconds`."""
        tally = self._own_tally(service, version)
        if tally is not None:
            self._put(
                tally._replace(
                    timed=tally.timed + 1,
                    log_time_sum=tally.log_time_sum
                    + math.log(max(seconds, 0.001)),
                )
            )

    def note_pace(self, service: str, version: str, seconds: float) -> None:
        """Records the mean time between the events of a stream."""
        tally = self._own_tally(service, version)
        if tally is not None:
            self._put(
                tally._replace(
                    paced=tally.paced + 1,
                    log_pace_sum=tally.log_pace_sum
                    + math.log(max(seconds, 0.0001)),
                )
            )

    def note_failed(self, service: str, version: str, upstream: str) -> None:
        """Records a failure that the version itself caused."""
        tally = self._own_tally(service, version)
        if tally is None:
            return
        self._put(
            tally._replace(
                answered=tally.answered + 1,
                failed=tally.failed + 1,
                failing_upstreams=tally.failing_upstreams | {upstream},
            )
        )
        self._evaluate(service)
        self._send_soon()

    def _own_tally(self, service: str, version: str) -> tallies.Tally | None:
        rollout = self._directory.rollout_by_service.get(service)
        if rollout is None:
            return None
        key = tallies.TallyKey(service, version, self._own_id)
        tally = self._tallies.get(key)
        if tally is None or tally.order_offset != rollout.offset:
            for dropped in self._tallies.drop_other_orders(
                service, rollout.offset
            ):
                self._tallies_to_gossip.discard(_gossip_key(dropped))
                self._unreported_keys.discard(dropped)
            return tallies.Tally(key, self._started_ms, 0, rollout.offset)
        return tally

    def _put(self, tally: tallies.Tally) -> None:
        """Stores an own tally, and reports it now or with the next ones."""
        self._sequence += 1
        previous = self._tallies.get(tally.key)
        tally = tally._replace(sequence=self._sequence)
        self._tallies.put(tally)
        if self._is_urgent(previous, tally):
            self._unreported_keys.discard(tally.key)
            self._tallies_to_gossip.put(_gossip_key(tally.key), tally)
        else:
            self._unreported_keys.add(tally.key)

    def _is_urgent(
        self, previous: tallies.Tally | None, tally: tallies.Tally
    ) -> bool:
        """Returns whether other nodes need a change of a tally at once."""
        failed = previous.failed if previous is not None else 0
        if tally.failed > failed:
            return True
        service = tally.key.service
        if tally.key.version == self.target(service):
            # Its exposure is bounded over all nodes.
            return self.share(service) <= self._canary_share()
        # The roll-out completes once nothing runs at the old versions.
        return not tally.in_flight and self.share(service) >= 1.0

    def _report_tallies(self) -> None:
        """Lets neighbours have the own counts, at a bounded rate."""
        interval_s = max(
            _MIN_REPORT_INTERVAL_S,
            _REPORT_INTERVAL_S_PER_NODE * len(self._peers.live_nodes()),
        )
        now_s = self._now_s()
        if not self._unreported_keys or now_s - self._reported_s < interval_s:
            return
        self._reported_s = now_s
        for key in self._unreported_keys:
            tally = self._tallies.get(key)
            if tally is not None:
                self._tallies_to_gossip.put(_gossip_key(key), tally)
        self._unreported_keys.clear()

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    def _progress(self, rollout: directory.KnownRollout) -> _RolloutProgress:
        progress = self._progress_by_service.get(rollout.order.service)
        # A restored store gives the offset of a lost order out again.
        if (
            progress is None
            or progress.rollout.offset != rollout.offset
            or progress.rollout.order != rollout.order
        ):
            progress = _RolloutProgress(rollout)
            self._progress_by_service[rollout.order.service] = progress
            self._hold_recent_sessions(rollout)
        return progress

    def _hold_recent_sessions(self, rollout: directory.KnownRollout) -> None:
        """Holds the selected sessions that are in use at the old version."""
        service, canary_share = rollout.order.service, self._canary_share()
        recent = self._session_holds.recent
        recent.prune(self._now_s() - self._bounds().session_s)
        self._session_holds.begin(
            service,
            rollout.offset,
            [
                session
                for session in recent.on_other_versions(
                    service, rollout.order.version
                )
                if _hash_fraction(service, session) < canary_share
            ],
        )
        self._send_soon()

    def _outcome(
        self, rollout: directory.KnownRollout
    ) -> orders.RolloutState | None:
        """Returns the final state of an order in the store, None if open."""
        outcome = self._directory.outcome_by_service.get(rollout.order.service)
        if outcome is None or outcome.version != rollout.order.version:
            return None
        if outcome.state is orders.RolloutState.RUNNING:
            return None
        return outcome.state

    def _canary_share(self) -> float:
        return _CANARY_SHARE_OF_BOUND * self._bounds().exposure_share

    def _running_share(self, progress: _RolloutProgress) -> float:
        """Returns the share that the target gets at this time."""
        now_s = self._now_s()
        canary_s = _CANARY_TIME_SHARE * progress.rollout.order.duration_s
        if now_s - progress.first_seen_s < canary_s:
            return self._canary_share()
        if progress.ramp_started_s is None:
            target, others = self._totals(progress.rollout)
            has_streams = others.paced >= _MIN_OTHER_STREAMS
            if target.answered - target.failed < _MIN_CANARY_ANSWERS or (
                has_streams and target.paced < _MIN_TARGET_STREAMS
            ):
                return self._canary_share()
            progress.ramp_started_s = now_s
        ramp_s = max(
            _RAMP_TIME_SHARE * progress.rollout.order.duration_s, 0.001
        )
        return min(
            1.0,
            self._canary_share() + (now_s - progress.ramp_started_s) / ramp_s,
        )

    def _totals(
        self, rollout: directory.KnownRollout
    ) -> tuple[tallies.TallySums, tallies.TallySums]:
        """Returns the sums of the target and those of all other versions."""
        service, version = rollout.order.service, rollout.order.version
        return (
            self._tallies.sums(service, rollout.offset, True, version),
            self._tallies.sums(service, rollout.offset, False, version),
        )

    def _evaluate(self, service: str) -> None:
        """Rejects the target if the sums show that it is bad."""
        rollout = self._directory.rollout_by_service.get(service)
        if rollout is None or self._outcome(rollout) is not None:
            return
        progress = self._progress(rollout)
        if progress.is_rejected:
            return
        target, others = self._totals(rollout)
        reason = rejection_reason(target, others)
        if reason is not None:
            self._reject(progress, reason, target, others)

    def _reject(
        self,
        progress: _RolloutProgress,
        reason: str,
        target: tallies.TallySums,
        others: tallies.TallySums,
    ) -> None:
        progress.is_rejected = True
        self._note(
            "version_condemned",
            service=progress.rollout.order.service,
            version=progress.rollout.order.version,
            reason=reason,
            answered=target.answered,
            failed=target.failed,
            others_answered=others.answered,
            others_failed=others.failed,
        )
        self._state.counters.add("rollouts.condemned")
        self._send_soon()

    def _update_for(self, neighbour: str) -> bytes | None:
        """Returns what changed and was not yet sent to a neighbour."""
        update = RolloutUpdate(
            tuple(
                self._tallies_to_gossip.take_unsent(neighbour, _MAX_PER_UPDATE)
            ),
            tuple(
                self._with_order_age(each)
                for each in self._statuses_to_gossip.take_unsent(
                    neighbour, _MAX_PER_UPDATE
                )
            ),
            self._session_holds.updates_for(neighbour),
        )
        if not any(update):
            return None
        return self._codec.encode(update)

    def _with_order_age(
        self, status: tallies.RolloutStatus
    ) -> tallies.RolloutStatus:
        """Returns a status with the age that its order has now."""
        rollout = self._directory.rollout_by_service.get(status.service)
        if rollout is None or rollout.offset != status.order_offset:
            return status
        age_s = self._now_s() - self._progress(rollout).first_seen_s
        return status._replace(order_age_s=age_s)

    def _merge_update(self, neighbour: str, payload: bytes) -> None:
        update = self._codec.decode(payload)
        services = set()
        for tally in update.tallies:
            key = _gossip_key(tally.key)
            if tally.key.node_id == self._own_id:
                continue
            if self._tallies.put(tally):
                services.add(tally.key.service)
                self._tallies_to_gossip.put(key, tally, neighbour)
            elif self._tallies.get(tally.key) == tally:
                self._tallies_to_gossip.note_known(key, neighbour)
        for status in update.statuses:
            if status.node_id != self._own_id:
                self._merge_status(neighbour, status)
        for holds in update.held_sessions:
            if self._session_holds.merge(neighbour, holds):
                self._send_soon()
        for service in services:
            self._evaluate(service)

    def _merge_status(
        self, neighbour: str, status: tallies.RolloutStatus
    ) -> None:
        key = (status.service, status.node_id)
        gossip_key = "\n".join(key)
        known_status = self._status_by_key.get(key)
        if known_status is not None:
            known_number = _change_number(known_status)
            if known_number == _change_number(status):
                self._statuses_to_gossip.note_known(gossip_key, neighbour)
            if known_number >= _change_number(status):
                return
        self._status_by_key[key] = status
        self._statuses_to_gossip.put(gossip_key, status, neighbour)
        rollout = self._directory.rollout_by_service.get(status.service)
        if rollout is None or rollout.offset != status.order_offset:
            return
        progress = self._progress(rollout)
        seen_s = self._now_s() - status.order_age_s
        progress.first_seen_s = min(progress.first_seen_s, seen_s)
        self._follow_ramp(progress, status.share)
        if status.is_condemned and not progress.is_rejected:
            self._reject(
                progress, f"told by {status.node_id}", *self._totals(rollout)
            )

    async def run(
        self,
        store: interfaces.KeyedStore,
        exchange: topic_exchange.TopicExchange,
        encode_outcome: Callable[[orders.RolloutOutcome], tuple[str, bytes]],
    ) -> None:
        """Decides the roll-outs and writes outcomes until cancelled."""
        while True:
            await self._state.environment.sleep(_TICK_S)
            self._report_tallies()
            for rollout in list(self._directory.rollout_by_service.values()):
                if not self.is_canary_phase(rollout.order.service):
                    self._session_holds.end(
                        rollout.order.service, rollout.offset
                    )
                if self._outcome(rollout) is None:
                    self._evaluate(rollout.order.service)
                    decision = self._decide(rollout)
                    self._set_own_status(rollout)
                    decided_s = self._progress(rollout).decided_s
                else:
                    # Known outcomes are written only if the store lost them.
                    decision = self._outcome(rollout)
                    decided_s = self._directory.lost_outcomes.get(
                        rollout.order.service
                    )
                if (
                    decided_s is not None
                    and decision is not None
                    and self._is_turn_to_write(rollout, decided_s)
                ):
                    await self._write_outcome(
                        store, exchange, encode_outcome, rollout, decision
                    )

    def _decide(
        self, rollout: directory.KnownRollout
    ) -> orders.RolloutState | None:
        """Returns the final state that is due, None if the roll-out is open."""
        progress = self._progress(rollout)
        decision = self._due_outcome(progress)
        if decision is not progress.decision:
            progress.decision = decision
            progress.decided_s = self._now_s()
        return decision

    def _due_outcome(
        self, progress: _RolloutProgress
    ) -> orders.RolloutState | None:
        if progress.is_rejected:
            return orders.RolloutState.ROLLED_BACK
        if self._running_share(progress) < 1.0 or not self._has_target_upstream(
            progress.rollout
        ):
            progress.drained_since_s = None
            return None
        now_s = self._now_s()
        _, others = self._totals(progress.rollout)
        if others.in_flight or not self._have_all_nodes_moved(progress.rollout):
            progress.drained_since_s = None
        elif progress.drained_since_s is None:
            progress.drained_since_s = now_s
        if (
            progress.drained_since_s is not None
            and now_s - progress.drained_since_s >= _MIN_DRAINED_S
        ):
            return orders.RolloutState.COMPLETED
        end_s = progress.first_seen_s + progress.rollout.order.duration_s
        if end_s - now_s < _COMPLETION_MARGIN_S:
            return orders.RolloutState.COMPLETED
        return None

    def _has_target_upstream(self, rollout: directory.KnownRollout) -> bool:
        """Returns whether the target version has an upstream."""
        return any(
            upstream.entry.version == rollout.order.version
            for upstream in self._state.upstreams.accepting_in_pool(
                rollout.order.service
            )
        )

    def _have_all_nodes_moved(self, rollout: directory.KnownRollout) -> bool:
        """Returns whether every live node sends everything to the target."""
        for node_id in self._peers.live_nodes():
            if node_id == self._own_id:
                continue
            status = self._status_by_key.get((rollout.order.service, node_id))
            if (
                status is None
                or status.order_offset != rollout.offset
                or status.share < 1.0
            ):
                return False
        return True

    def _follow_ramp(self, progress: _RolloutProgress, share: float) -> None:
        """Begins the ramp no later than a node that has a greater share."""
        ramped_share = share - self._canary_share()
        is_canary_phase = self.is_canary_phase(progress.rollout.order.service)
        if ramped_share <= 0 or is_canary_phase:
            return
        ramp_s = _RAMP_TIME_SHARE * progress.rollout.order.duration_s
        started_s = self._now_s() - ramped_share * ramp_s
        if progress.ramp_started_s is None:
            progress.ramp_started_s = started_s
        else:
            progress.ramp_started_s = min(progress.ramp_started_s, started_s)

    def _set_own_status(self, rollout: directory.KnownRollout) -> None:
        """Reports this node's status to its neighbours at each new stage."""
        progress = self._progress(rollout)
        share = self.share(rollout.order.service)
        key = (rollout.order.service, self._own_id)
        previous = self._status_by_key.get(key)
        if (
            previous is not None
            and previous.order_offset == rollout.offset
            and self._stage(previous.share) == self._stage(share)
            and previous.is_condemned == progress.is_rejected
        ):
            return
        self._sequence += 1
        status = tallies.RolloutStatus(
            rollout.order.service,
            self._own_id,
            self._started_ms,
            self._sequence,
            rollout.offset,
            self._now_s() - progress.first_seen_s,
            share,
            progress.is_rejected,
        )
        self._status_by_key[key] = status
        self._statuses_to_gossip.put("\n".join(key), status)
        self._send_soon()

    def _stage(self, share: float) -> int:
        """Returns 0 in the canary phase, 1 on the ramp, 2 after it."""
        return (share > self._canary_share()) + (share >= 1.0)

    def _is_turn_to_write(
        self, rollout: directory.KnownRollout, due_s: float
    ) -> bool:
        """Returns whether it is this node's turn to write an outcome.

        Args:
            rollout: The order.
            due_s: Monotonic second since which the outcome is due.
        """
        ids: Sequence[str] = rendezvous.order(
            f"rollout {rollout.order.service}",
            {*self._peers.live_nodes(), self._own_id},
        )
        rank = ids.index(self._own_id)
        return self._now_s() - due_s >= rank * _WRITER_RANK_DELAY_S

    async def _write_outcome(
        self,
        store: interfaces.KeyedStore,
        exchange: topic_exchange.TopicExchange,
        encode_outcome: Callable[[orders.RolloutOutcome], tuple[str, bytes]],
        rollout: directory.KnownRollout,
        decision: orders.RolloutState,
    ) -> None:
        """Writes an outcome unless the store has a newer record."""
        outcomes = exchange.state_by_topic[topics.Topic.OUTCOMES]
        if outcomes.era < exchange.era:
            # The end of the copy says nothing about the restored topic.
            await self._reload_outcomes(store, exchange)
            return
        outcome = orders.RolloutOutcome(
            rollout.order.service, rollout.order.version, decision
        )
        key, value = encode_outcome(outcome)
        era, end_offset = outcomes.position
        started_s = self._now_s()
        try:
            position = await store.put(
                topics.Topic.OUTCOMES, key, value, max(0, end_offset)
            )
            if position.era != era:
                raise errors.StoreConflictError(
                    f"written in era {position.era}, the copy is of era {era}"
                )
        except errors.StoreError as error:
            self._state.counters.add("rollouts.write_failed")
            self._note(
                "outcome_not_written",
                service=outcome.service,
                version=outcome.version,
                state=decision.value,
                message=str(error),
            )
            # This write may have succeeded, or another node's.
            await self._reload_outcomes(store, exchange)
            return
        self._note(
            "outcome_written",
            service=outcome.service,
            version=outcome.version,
            state=decision.value,
            offset=position.offset,
        )
        record = topics.TopicRecord(key, position.offset, value)
        page = topics.TopicPage([record], position.offset + 1, False, era=era)
        exchange.apply_read(topics.Topic.OUTCOMES, page, started_s)

    async def _reload_outcomes(
        self,
        store: interfaces.KeyedStore,
        exchange: topic_exchange.TopicExchange,
    ) -> None:
        started_s = self._now_s()
        try:
            page = await store.newest(topics.Topic.OUTCOMES)
        except errors.StoreError as error:
            self._note("outcomes_not_read", message=str(error))
            await self._state.environment.sleep(_TICK_S)
            return
        exchange.apply_read(topics.Topic.OUTCOMES, page, started_s)


def _hash_fraction(service: str, key: str) -> float:
    """Returns a hash from 0 to 1 that is the same at every node."""
    digest = xxhash.xxh64_intdigest(f"rollout {service}\n{key}".encode())
    return digest / 2.0**64


def _gossip_key(key: tallies.TallyKey) -> str:
    return "\n".join(key)


def _change_number(status: tallies.RolloutStatus) -> int:
    """Returns a number that grows with each change of a status."""
    return (status.started_ms << 32) | status.sequence
