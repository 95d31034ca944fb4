"""Detects cold upstreams and bounds the requests that each runs at once.

An upstream counts as cold after a restart, which is inferred from its load
reports, slow first tokens, refusals, failed attempts and the observations of
other nodes, and after its availability zone was out.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import upstreams

__all__ = ["ColdDetector", "ColdSign"]

_RAMP_DOUBLING_S = 1.0
# Slow first tokens or refusals in a row that mark an upstream as cold.
_STREAK_LENGTH = 3
# A first token is slow if it takes longer than this multiple of the mean and
# longer than this time.
_SLOW_RATIO = 2.5
_SLOW_MIN_S = 0.05
_BASELINE_WEIGHT = 0.05
_BASELINE_SAMPLES = 5
# A peer's sign of coldness counts as a new restart only if it is later than the
# known one by more than this.
_MIN_AGE_DIFFERENCE_S = 2.0
_RECENT_RESPONSES = 24
# Share of slow responses of the other upstreams above which the pool is busy.
_BUSY_POOL_SLOW_SHARE = 0.1
_PEER_SLOWNESS_TTL_S = 5.0

_SIGNS_VISIBLE_TO_ALL = frozenset({"report", "zone"})
_POSSIBLE_RESTART_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.SEND_FAILED,
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.TRUNCATED,
    }
)


class ColdSign(NamedTuple):
    """What a node sends to its peers about an upstream that seems cold.

    Attributes:
        upstream_id: Identifier of the upstream.
        age_s: Seconds since it was seen to turn cold.
        slow: Slow first tokens in a row at the sender, 0 if the sender counts
            the upstream as cold.
    """

    upstream_id: str
    age_s: float
    slow: int = 0


class _Observations:
    """What this node observed of one upstream.

    Attributes:
        cold_at_s: Monotonic second at which it turned cold, or None.
        unconfirmed_failure_s: Second of a failure that may have been a restart
            and that no report has cleared up yet, or None.
        is_announced: Whether all nodes learn of the coldness by themselves.
        report: The last load report processed.
        slow_streak: Slow first tokens in a row.
        refused_streak: Refusals in a row.
        slow_by_node: Slow first tokens in a row at other nodes, and the second
            at which each was received.
    """

    def __init__(self) -> None:
        self.cold_at_s: float | None = None
        self.unconfirmed_failure_s: float | None = None
        self.is_announced = False
        self.report: upstreams.LoadReport | None = None
        self.slow_streak = 0
        self.refused_streak = 0
        self.slow_by_node: dict[str, tuple[int, float]] = {}


class _Baseline:
    """Mean time to first token of a model version on warm upstreams."""

    def __init__(self) -> None:
        self.first_token_s = 0.0
        self.samples = 0
        self._recent: collections.deque[tuple[str, bool]] = collections.deque(
            maxlen=_RECENT_RESPONSES
        )

    def note(self, upstream_id: str, is_slow: bool) -> None:
        """Records a response, to tell one slow upstream from a busy pool."""
        self._recent.append((upstream_id, is_slow))

    def are_others_slow(self, upstream_id: str) -> bool:
        """Returns whether other upstreams were slow recently, too."""
        others = [slow for each, slow in self._recent if each != upstream_id]
        return sum(others) > _BUSY_POOL_SLOW_SHARE * len(others)

    def is_slow(self, first_token_s: float) -> bool:
        """Returns whether a time is far above the mean."""
        return (
            self.samples >= _BASELINE_SAMPLES
            and first_token_s > _SLOW_MIN_S
            and first_token_s > _SLOW_RATIO * self.first_token_s
        )

    def update_mean(self, first_token_s: float) -> None:
        """Updates the moving average with one time."""
        self.samples += 1
        weight = max(_BASELINE_WEIGHT, 1 / self.samples)
        self.first_token_s += weight * (first_token_s - self.first_token_s)


class ColdDetector:
    """Detects cold upstreams by start time, counters, latency and refusals."""

    def __init__(self, state: node_state.NodeState):
        self._state = state
        self._observations_by_id: dict[str, _Observations] = {}
        self._stopped_zones: set[str] = set()
        self._baseline_by_version: dict[str, _Baseline] = {}

    def note_zones(self) -> None:
        """Records the availability zones that are not serving.

        Their upstreams may restart or lose their caches meanwhile, so they
        count as cold when the zone serves again.
        """
        for upstream in self._state.upstreams.by_id.values():
            if not self._state.catalog.is_zone_serving(upstream.entry.zone):
                self._stopped_zones.add(upstream.entry.zone)

    def _mark_returned_zone(self, zone: str) -> None:
        """Marks all upstreams of a zone as cold if it serves again."""
        if zone not in self._stopped_zones:
            return
        if not self._state.catalog.is_zone_serving(zone):
            return
        self._stopped_zones.discard(zone)
        for upstream_id, upstream in self._state.upstreams.by_id.items():
            if upstream.entry.zone == zone:
                observed = self._observations_by_id.setdefault(
                    upstream_id, _Observations()
                )
                self._mark_cold(observed, "zone")

    def limit(self, upstream: upstreams.Upstream) -> int | None:
        """Returns the upstream's concurrency limit, None if it is warm.

        The limit applies to the sum over all nodes. After the warm-up it
        doubles every `_RAMP_DOUBLING_S` up to the warm limit.
        """
        observed = self._refresh_observations(upstream)
        bounds = self._state.limits
        if (
            observed.report is None
            or observed.unconfirmed_failure_s is not None
        ):
            return bounds.cold_limit
        if observed.cold_at_s is None:
            return None
        ramp_s = self._now_s() - observed.cold_at_s - bounds.warm_up_s
        if ramp_s < 0:
            return bounds.cold_limit
        limit = bounds.cold_limit * 2.0 ** min(64.0, ramp_s / _RAMP_DOUBLING_S)
        if limit < bounds.warm_limit:
            return int(limit)
        observed.cold_at_s = None
        observed.is_announced = False
        return None

    def note_failure(
        self, upstream: upstreams.Upstream, error: errors.UpstreamError
    ) -> None:
        """Records a failed attempt, a possible sign of coldness."""
        observed = self._refresh_observations(upstream)
        if error.reason in _POSSIBLE_RESTART_REASONS:
            observed.unconfirmed_failure_s = self._now_s()
        if error.reason is reasons.RetryReason.REFUSED:
            observed.refused_streak += 1
            if observed.refused_streak >= _STREAK_LENGTH:
                observed.refused_streak = 0
                self._mark_cold(observed, "refusals")

    def note_first_token(
        self, upstream: upstreams.Upstream, version: str, first_token_s: float
    ) -> None:
        """Records a time to first token; several slow ones are a sign.

        A slow response of a loaded upstream is none, as it may have queued.
        """
        observed = self._refresh_observations(upstream)
        observed.refused_streak = 0
        if self.limit(upstream) is not None:
            return
        key = f"{upstream.entry.pool}@{version}"
        baseline = self._baseline_by_version.setdefault(key, _Baseline())
        is_slow = baseline.is_slow(first_token_s)
        baseline.note(upstream.entry.host_id, is_slow)
        if baseline.are_others_slow(upstream.entry.host_id):
            observed.slow_streak = 0
            return
        if not is_slow:
            observed.slow_streak = 0
            observed.slow_by_node.clear()
            baseline.update_mean(first_token_s)
        elif not self._is_loaded(upstream):
            observed.slow_streak += 1
        self._check_slowness(observed)

    def _check_slowness(self, observed: _Observations) -> None:
        """Marks an upstream as cold after enough slow responses in a row."""
        oldest_s = self._now_s() - _PEER_SLOWNESS_TTL_S
        others = sum(
            slow
            for slow, at_s in observed.slow_by_node.values()
            if at_s > oldest_s
        )
        if (
            observed.slow_streak + others < _STREAK_LENGTH
            or observed.cold_at_s is not None
        ):
            return
        observed.slow_streak = 0
        observed.slow_by_node.clear()
        self._mark_cold(observed, "latency")

    def _is_loaded(self, upstream: upstreams.Upstream) -> bool:
        report = upstream.report
        is_queueing = report is not None and report.queued > 0
        return is_queueing or upstream.load > self._state.limits.warm_limit // 2

    def signs(self) -> list[ColdSign]:
        """Returns signs of coldness that other nodes may not have seen."""
        now_s = self._now_s()
        signs = []
        for upstream_id, observed in self._observations_by_id.items():
            if observed.cold_at_s is not None and not observed.is_announced:
                signs.append(ColdSign(upstream_id, now_s - observed.cold_at_s))
            elif observed.slow_streak:
                signs.append(ColdSign(upstream_id, 0.0, observed.slow_streak))
        return signs

    def merge_signs(self, sender: str, signs: Iterable[ColdSign]) -> None:
        """Merges the signs of coldness that another node sent."""
        for sign in signs:
            upstream = self._state.upstreams.by_id.get(sign.upstream_id)
            if upstream is None or sign.age_s < 0:
                continue
            observed = self._refresh_observations(upstream)
            if sign.slow:
                observed.slow_by_node[sender] = (sign.slow, self._now_s())
                self._check_slowness(observed)
            else:
                self._merge_sign(observed, sign.age_s)

    def _merge_sign(self, observed: _Observations, age_s: float) -> None:
        cold_at_s = self._now_s() - age_s
        if age_s > self._state.limits.warm_up_s:
            return
        if (
            observed.cold_at_s is None
            or cold_at_s - observed.cold_at_s > _MIN_AGE_DIFFERENCE_S
        ):
            observed.cold_at_s = cold_at_s
            self._state.counters.add("cold.peer")

    def age_s(self, upstream: upstreams.Upstream) -> float | None:
        """Returns the seconds since it turned cold, None if it is warm."""
        observed = self._refresh_observations(upstream)
        if observed.cold_at_s is None:
            return None
        return self._now_s() - observed.cold_at_s

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    def _mark_cold(self, observed: _Observations, sign: str) -> None:
        observed.cold_at_s = self._now_s()
        observed.is_announced = sign in _SIGNS_VISIBLE_TO_ALL
        self._state.counters.add(f"cold.{sign}")

    def _refresh_observations(
        self, upstream: upstreams.Upstream
    ) -> _Observations:
        """Returns the observations after applying the latest load report."""
        upstream_id = upstream.entry.host_id
        self._mark_returned_zone(upstream.entry.zone)
        if upstream_id not in self._observations_by_id:
            self._remove_unlisted()
            self._observations_by_id[upstream_id] = _Observations()
        observed = self._observations_by_id[upstream_id]
        if upstream.report is not None and upstream.report != observed.report:
            self._process_report(observed, upstream.report)
        return observed

    def _remove_unlisted(self) -> None:
        listed = self._state.upstreams.by_id
        for upstream_id in [each for each in self._observations_by_id]:
            if upstream_id not in listed:
                del self._observations_by_id[upstream_id]

    def _process_report(
        self, observed: _Observations, report: upstreams.LoadReport
    ) -> None:
        last, observed.report = observed.report, report
        if last is None:
            self._process_first_report(observed, report)
        elif (
            report.started_at_s > last.started_at_s
            or report.completed_total < last.completed_total
        ):
            self._mark_cold(observed, "report")
        if observed.unconfirmed_failure_s is None:
            return
        # A report that arrives earlier may have been sent before the failure.
        confirmed_after_s = (
            observed.unconfirmed_failure_s
            + self._state.limits.report_interval_s
        )
        if report.received_s > confirmed_after_s:
            observed.unconfirmed_failure_s = None

    def _process_first_report(
        self, observed: _Observations, report: upstreams.LoadReport
    ) -> None:
        """Marks a newly listed upstream as cold if it started recently."""
        now_s = self._state.environment.wall_s()
        age_s = max(0.0, now_s - report.started_at_s)
        if age_s < self._state.limits.warm_up_s and observed.cold_at_s is None:
            self._mark_cold(observed, "report")
            observed.cold_at_s = self._now_s() - age_s
