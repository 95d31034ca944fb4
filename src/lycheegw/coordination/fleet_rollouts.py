"""Roll-outs that all nodes carry out together, each by the same rules.

A share of the requests goes to the target version, chosen by a hash, so that
every node sends the same requests there. The share stays small for the first
half of the time; then it grows to all. What each node saw of the versions is
told to all others, and each judges the sums. A version found bad by one is
given up by all. One node writes the outcome, under the condition that the
store holds nothing newer.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import NamedTuple

import xxhash

from lycheegw.coordination import directory
from lycheegw.coordination import rendezvous
from lycheegw.coordination import seams
from lycheegw.coordination import topic_exchange
from lycheegw.state import edge_settings
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import orders
from lycheegw.state import tallies
from lycheegw.state import topics

__all__ = ["Codec", "FleetRollouts", "News", "is_bad"]

_TOPIC = "fleet_rollouts"
# Part of the exposure bound that a version on trial gets; the rest is for
# what is on its way when it is found bad.
_TRIAL_SHARE_OF_BOUND = 0.65
# Part of the slack that requests may use for which no other version has an
# upstream; nodes hear of each other's with some delay.
_SLACK_SHARE = 0.5
# Part of the time that a version stays on trial. A session may change its
# version in the second half only.
_TRIAL_PART = 0.5
# Part of the time in which the share grows from that of the trial to all. A
# version that fails under load shows it before it has everything, and its
# upstreams read the shared prompts in one after the other.
_RAMP_PART = 0.2
# Answers that a version must have given before it gets more than on trial.
_TRIAL_ANSWERS = 12
# Failures below this are chance.
_LEAST_FAILURES = 4
# Surplus of failures over twice the share that the other versions fail.
_FAILURE_MARGIN = 0.08
# Failures from which one upstream alone speaks for its version.
_ONE_UPSTREAM_FAILURES = 15
# Answers from which times are compared, and the factor that is too slow; the
# times of single answers spread by about a factor of three.
_LEAST_TIMED = 12
_SLOW_FACTOR = 3.0
# Streams from which the time between events is compared, at the target and at
# the others, and the factor that is too slow. It spreads less than the time to
# the head, and a version that gets little is, if anything, faster.
_LEAST_PACED = 5
_LEAST_PACED_OTHERS = 12
_SLOW_PACE_FACTOR = 1.8
# How long the old versions must have run dry before they are given up.
_SETTLED_S = 0.6
# What is left of the time when a good version is completed although some
# requests still run elsewhere.
_LAST_MOMENT_S = 1.2
# How much later than the one before the next node in line writes an outcome.
_RANK_STEP_S = 0.8
_TICK_S = 0.1
_TELL_S = 0.3


class News(NamedTuple):
    """What nodes tell each other."""

    tallies: tuple[tallies.Tally, ...]
    stances: tuple[tallies.Stance, ...]


class Codec(NamedTuple):
    """How news are written and read."""

    encode: Callable[[News], bytes]
    decode: Callable[[bytes], News]


def is_bad(target: tallies.Totals, others: tallies.Totals) -> str | None:
    """Returns why a version is bad by the sums of all nodes, else None."""
    usual = others.failed / others.answered if others.answered else 0.0
    bound = 2 * usual + _FAILURE_MARGIN
    if (
        target.failed >= _LEAST_FAILURES
        and target.failed > bound * target.answered
        and (
            len(target.failing_upstreams) > 1
            or target.failed >= _ONE_UPSTREAM_FAILURES
        )
    ):
        return "failures"
    if target.timed >= _LEAST_TIMED and others.timed >= _LEAST_TIMED:
        difference = (
            target.log_time_sum / target.timed
            - others.log_time_sum / others.timed
        )
        if difference > math.log(_SLOW_FACTOR):
            return "slow"
    if _has_pace(target, others):
        difference = (
            target.log_pace_sum / target.paced
            - others.log_pace_sum / others.paced
        )
        if difference > math.log(_SLOW_PACE_FACTOR):
            return "slow pace"
    return None


def _has_pace(target: tallies.Totals, others: tallies.Totals) -> bool:
    """Returns whether enough streams ran to compare their pace."""
    return target.paced >= _LEAST_PACED and others.paced >= _LEAST_PACED_OTHERS


class _Run:
    """One roll-out as this node carries it out."""

    def __init__(self, known: directory.KnownRollout):
        self.known = known
        self.first_seen_s = known.seen_s
        self.is_condemned = False
        self.ramp_s: float | None = None
        self.dry_s: float | None = None
        self.decided_s: float | None = None
        self.decision: orders.RolloutState | None = None


class FleetRollouts:
    """This node's part in the roll-outs of all services."""

    def __init__(
        self,
        state: node_state.NodeState,
        known: directory.Directory,
        peers: seams.PeerBus,
        codec: Codec,
        bounds: Callable[[], edge_settings.Bounds],
        nudge: Callable[[], None],
        note: directory.Note,
    ):
        self._state = state
        self._directory = known
        self._peers = peers
        self._codec = codec
        self._bounds = bounds
        self._nudge = nudge
        self._note = note
        self._own_id = state.identity.node_id
        self._started_ms = int(state.environment.wall_s() * 1000)
        self._sequence = 0
        self._run_by_service: dict[str, _Run] = {}
        self._tallies = tallies.Tallies()
        self._stance_by_key: dict[tuple[str, str], tallies.Stance] = {}
        self._told_by_neighbour: dict[str, dict[object, int]] = {}
        self._told_s = 0.0
        peers.on_delta(_TOPIC, self._lacking, self._merge)

    def forget_neighbour(self, neighbour: str) -> None:
        """Takes a neighbour to know nothing, since its link is new."""
        self._told_by_neighbour.pop(neighbour, None)

    def target(self, service: str) -> str | None:
        """Returns the version that a service is to have, None for any."""
        known = self._directory.rollout_by_service.get(service)
        return known.order.version if known is not None else None

    def share(self, service: str) -> float:
        """Returns the share of new work for the target version."""
        known = self._directory.rollout_by_service.get(service)
        if known is None:
            return 0.0
        outcome = self._outcome(known)
        if outcome is orders.RolloutState.COMPLETED:
            return 1.0
        if outcome is orders.RolloutState.ROLLED_BACK:
            return 0.0
        run = self._run(known)
        if run.is_condemned:
            return 0.0
        return self._running_share(run)

    def wants_target(
        self, service: str, request_key: str, prompt_key: str | None
    ) -> bool | None:
        """Returns whether a request is to go to the target version.

        On trial the requests are taken one by one, since a popular prompt
        could be more than the bound. Later all requests with a prompt move
        together, so that each prompt is read in once.

        Args:
            service: Service that serves the request.
            request_key: What names the request or its session.
            prompt_key: What names its shared prompt, if it has one.

        Returns:
            None where no roll-out concerns the service.
        """
        if service not in self._directory.rollout_by_service:
            return None
        share = self.share(service)
        trial = min(share, self._trial_share())
        if _point(service, request_key) < trial:
            return True
        rest = (share - trial) / (1 - trial) if share < 1 else 1.0
        return _point(service, prompt_key or request_key) < rest

    def is_trial(self, service: str) -> bool:
        """Returns whether sessions keep to the version that they had."""
        known = self._directory.rollout_by_service.get(service)
        if known is None or self._outcome(known) is not None:
            return False
        run = self._run(known)
        half_s = _TRIAL_PART * known.order.duration_s
        return self._now_s() - run.first_seen_s < half_s

    def may_use(self, service: str, version: str) -> bool:
        """Returns whether a version may get new work for want of another."""
        known = self._directory.rollout_by_service.get(service)
        if known is None:
            return True
        outcome = self._outcome(known)
        is_target = version == known.order.version
        if outcome is orders.RolloutState.COMPLETED:
            return is_target
        if outcome is orders.RolloutState.ROLLED_BACK:
            return not is_target
        if not is_target:
            return True
        run = self._run(known)
        return not run.is_condemned and self._has_exposure_left(run)

    def _has_exposure_left(self, run: _Run) -> bool:
        """Returns whether a version on trial may get more than its share."""
        if self._running_share(run) > self._trial_share():
            return True
        target, others = self._totals(run.known)
        bounds = self._bounds()
        allowed = bounds.exposure_share * (target.sent + others.sent)
        slack = _SLACK_SHARE * bounds.exposure_slack
        return target.sent < _TRIAL_SHARE_OF_BOUND * allowed + slack

    def note_sent(self, service: str, version: str) -> None:
        """Counts a request sent."""
        tally = self._own_tally(service, version)
        if tally is not None:
            self._put(
                tally._replace(
                    sent=tally.sent + 1, in_flight=tally.in_flight + 1
                )
            )

    def note_ended(self, service: str, version: str) -> None:
        """Counts a request that runs no more."""
        tally = self._own_tally(service, version)
        if tally is not None:
            in_flight = max(0, tally.in_flight - 1)
            self._put(tally._replace(in_flight=in_flight))

    def note_answer(
        self, service: str, version: str, head_s: float | None
    ) -> None:
        """Counts an answer; `head_s` is the time that its head took."""
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

    def note_silent(self, service: str, version: str, seconds: float) -> None:
        """Counts an attempt that had no head after some seconds."""
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
        """Counts a stream by the time between its events."""
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
        """Counts an answer that is the version's own failure."""
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
        self._judge(service)
        self._nudge()

    def _own_tally(self, service: str, version: str) -> tallies.Tally | None:
        known = self._directory.rollout_by_service.get(service)
        if known is None:
            return None
        key = tallies.TallyKey(service, version, self._own_id)
        tally = self._tallies.get(key)
        if tally is None or tally.order_offset != known.offset:
            self._tallies.forget(service, known.offset)
            return tallies.Tally(key, self._started_ms, 0, known.offset)
        return tally

    def _put(self, tally: tallies.Tally) -> None:
        self._sequence += 1
        self._tallies.put(tally._replace(sequence=self._sequence))

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    def _run(self, known: directory.KnownRollout) -> _Run:
        run = self._run_by_service.get(known.order.service)
        if run is None or run.known.offset != known.offset:
            run = _Run(known)
            self._run_by_service[known.order.service] = run
        return run

    def _outcome(
        self, known: directory.KnownRollout
    ) -> orders.RolloutState | None:
        """Returns the final state that the store has for an order."""
        outcome = self._directory.outcome_by_service.get(known.order.service)
        if outcome is None or outcome.version != known.order.version:
            return None
        if outcome.state is orders.RolloutState.RUNNING:
            return None
        return outcome.state

    def _trial_share(self) -> float:
        return _TRIAL_SHARE_OF_BOUND * self._bounds().exposure_share

    def _running_share(self, run: _Run) -> float:
        """Returns the share by the time since the order."""
        now_s = self._now_s()
        half_s = _TRIAL_PART * run.known.order.duration_s
        if now_s - run.first_seen_s < half_s:
            return self._trial_share()
        if run.ramp_s is None:
            target, others = self._totals(run.known)
            has_streams = others.paced >= _LEAST_PACED_OTHERS
            if target.answered - target.failed < _TRIAL_ANSWERS or (
                has_streams and target.paced < _LEAST_PACED
            ):
                return self._trial_share()
            run.ramp_s = now_s
        ramp_s = max(_RAMP_PART * run.known.order.duration_s, 0.001)
        return min(1.0, self._trial_share() + (now_s - run.ramp_s) / ramp_s)

    def _totals(
        self, known: directory.KnownRollout
    ) -> tuple[tallies.Totals, tallies.Totals]:
        """Returns the sums for the target and for all other versions."""
        service, version = known.order.service, known.order.version
        return (
            self._tallies.totals(service, known.offset, True, version),
            self._tallies.totals(service, known.offset, False, version),
        )

    def _judge(self, service: str) -> None:
        """Gives the target up where the sums show that it is bad."""
        known = self._directory.rollout_by_service.get(service)
        if known is None or self._outcome(known) is not None:
            return
        run = self._run(known)
        if run.is_condemned:
            return
        target, others = self._totals(known)
        reason = is_bad(target, others)
        if reason is not None:
            self._condemn(run, reason, target, others)

    def _condemn(
        self,
        run: _Run,
        reason: str,
        target: tallies.Totals,
        others: tallies.Totals,
    ) -> None:
        run.is_condemned = True
        self._note(
            "version_condemned",
            service=run.known.order.service,
            version=run.known.order.version,
            reason=reason,
            answered=target.answered,
            failed=target.failed,
            others_answered=others.answered,
            others_failed=others.failed,
        )
        self._state.counters.add("rollouts.condemned")
        self._nudge()

    def _lacking(self, neighbour: str) -> bytes | None:
        """Returns the tallies and stances that a neighbour lacks."""
        told = self._told_by_neighbour.setdefault(neighbour, {})
        news = News(
            tuple(
                each
                for each in self._tallies.values()
                if _is_untold(told, each.key, each)
            ),
            tuple(
                each
                for key, each in self._stance_by_key.items()
                if _is_untold(told, key, each)
            ),
        )
        if not news.tallies and not news.stances:
            return None
        return self._codec.encode(news)

    def _merge(self, neighbour: str, payload: bytes) -> None:
        news = self._codec.decode(payload)
        told = self._told_by_neighbour.setdefault(neighbour, {})
        services = set()
        for tally in news.tallies:
            if tally.key.node_id != self._own_id and self._tallies.put(tally):
                services.add(tally.key.service)
            told[tally.key] = max(told.get(tally.key, 0), _version(tally))
        for stance in news.stances:
            if stance.node_id != self._own_id:
                self._merge_stance(stance)
            key = (stance.service, stance.node_id)
            told[key] = max(told.get(key, 0), _version(stance))
        for service in services:
            self._judge(service)

    def _merge_stance(self, stance: tallies.Stance) -> None:
        key = (stance.service, stance.node_id)
        known_stance = self._stance_by_key.get(key)
        if known_stance is not None and _version(known_stance) >= _version(
            stance
        ):
            return
        self._stance_by_key[key] = stance
        known = self._directory.rollout_by_service.get(stance.service)
        if known is None or known.offset != stance.order_offset:
            return
        run = self._run(known)
        seen_s = self._now_s() - stance.order_age_s
        run.first_seen_s = min(run.first_seen_s, seen_s)
        if stance.is_condemned and not run.is_condemned:
            self._condemn(
                run, f"told by {stance.node_id}", *self._totals(known)
            )

    async def run(
        self,
        store: seams.KeyedStore,
        exchange: topic_exchange.TopicExchange,
        encode_outcome: Callable[[orders.RolloutOutcome], tuple[str, bytes]],
    ) -> None:
        """Carries the roll-outs on until cancelled."""
        while True:
            await self._state.environment.sleep(_TICK_S)
            for known in list(self._directory.rollout_by_service.values()):
                if self._outcome(known) is None:
                    self._judge(known.order.service)
                    decision = self._decide(known)
                    self._tell(known)
                    if decision is not None and self._is_my_turn(known):
                        await self._write(
                            store, exchange, encode_outcome, known, decision
                        )

    def _decide(
        self, known: directory.KnownRollout
    ) -> orders.RolloutState | None:
        """Returns the final state that is due, None while it is open."""
        run = self._run(known)
        decision = self._due(run)
        if decision is not run.decision:
            run.decision = decision
            run.decided_s = self._now_s()
        return decision

    def _due(self, run: _Run) -> orders.RolloutState | None:
        if run.is_condemned:
            return orders.RolloutState.ROLLED_BACK
        if self._running_share(run) < 1.0 or not self._has_target(run.known):
            run.dry_s = None
            return None
        now_s = self._now_s()
        _, others = self._totals(run.known)
        if others.in_flight or not self._all_moved(run.known):
            run.dry_s = None
        elif run.dry_s is None:
            run.dry_s = now_s
        if run.dry_s is not None and now_s - run.dry_s >= _SETTLED_S:
            return orders.RolloutState.COMPLETED
        end_s = run.first_seen_s + run.known.order.duration_s
        if end_s - now_s < _LAST_MOMENT_S:
            return orders.RolloutState.COMPLETED
        return None

    def _has_target(self, known: directory.KnownRollout) -> bool:
        """Returns whether an upstream of the target version is there."""
        return any(
            upstream.entry.version == known.order.version
            for upstream in self._state.upstreams.pool(known.order.service)
        )

    def _all_moved(self, known: directory.KnownRollout) -> bool:
        """Returns whether every live node sends all to the target."""
        for node_id in self._peers.live_nodes():
            if node_id == self._own_id:
                continue
            stance = self._stance_by_key.get((known.order.service, node_id))
            if (
                stance is None
                or stance.order_offset != known.offset
                or stance.share < 1.0
            ):
                return False
        return True

    def _tell(self, known: directory.KnownRollout) -> None:
        """Keeps this node's stance for its neighbours."""
        run = self._run(known)
        share = self.share(known.order.service)
        key = (known.order.service, self._own_id)
        former = self._stance_by_key.get(key)
        now_s = self._now_s()
        is_same = (
            former is not None
            and former.order_offset == known.offset
            and former.share == share
            and former.is_condemned == run.is_condemned
        )
        if is_same and now_s - self._told_s < _TELL_S:
            return
        self._told_s = now_s
        self._sequence += 1
        self._stance_by_key[key] = tallies.Stance(
            known.order.service,
            self._own_id,
            self._started_ms,
            self._sequence,
            known.offset,
            now_s - run.first_seen_s,
            share,
            run.is_condemned,
        )
        if not is_same:
            self._nudge()

    def _is_my_turn(self, known: directory.KnownRollout) -> bool:
        """Returns whether this node writes the outcome by now."""
        run = self._run(known)
        ids: Sequence[str] = rendezvous.order(
            f"rollout {known.order.service}",
            {*self._peers.live_nodes(), self._own_id},
        )
        rank = ids.index(self._own_id)
        waited_s = self._now_s() - (run.decided_s or 0.0)
        return waited_s >= rank * _RANK_STEP_S

    async def _write(
        self,
        store: seams.KeyedStore,
        exchange: topic_exchange.TopicExchange,
        encode_outcome: Callable[[orders.RolloutOutcome], tuple[str, bytes]],
        known: directory.KnownRollout,
        decision: orders.RolloutState,
    ) -> None:
        """Writes an outcome unless the store has a newer record."""
        outcomes = exchange.state_by_topic[topics.Topic.OUTCOMES]
        outcome = orders.RolloutOutcome(
            known.order.service, known.order.version, decision
        )
        key, value = encode_outcome(outcome)
        expected = max(0, outcomes.end_offset)
        begun_s = self._now_s()
        try:
            offset = await store.put(
                topics.Topic.OUTCOMES, key, value, expected
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
            # It may have been written all the same, or by another node.
            await self._reload(store, exchange)
            return
        self._note(
            "outcome_written",
            service=outcome.service,
            version=outcome.version,
            state=decision.value,
            offset=offset,
        )
        record = topics.TopicRecord(key, offset, value)
        page = topics.TopicPage([record], offset + 1, False)
        exchange.take(topics.Topic.OUTCOMES, page, begun_s)

    async def _reload(
        self,
        store: seams.KeyedStore,
        exchange: topic_exchange.TopicExchange,
    ) -> None:
        begun_s = self._now_s()
        try:
            page = await store.newest(topics.Topic.OUTCOMES)
        except errors.StoreError as error:
            self._note("outcomes_not_read", message=str(error))
            await self._state.environment.sleep(_TICK_S)
            return
        exchange.take(topics.Topic.OUTCOMES, page, begun_s)


def _point(service: str, key: str) -> float:
    """Returns a hash from 0 to 1, the same at every node."""
    digest = xxhash.xxh64_intdigest(f"rollout {service}\n{key}".encode())
    return digest / 2.0**64


def _version(news: tallies.Tally | tallies.Stance) -> int:
    """Returns what grows with each change of a tally or a stance."""
    return (news.started_ms << 32) | news.sequence


def _is_untold(
    told: dict[object, int], key: object, news: tallies.Tally | tallies.Stance
) -> bool:
    """Returns whether a neighbour lacks something, and notes it as told."""
    version = _version(news)
    if told.get(key, 0) >= version:
        return False
    told[key] = version
    return True
