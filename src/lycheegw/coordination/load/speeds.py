"""Learns how fast each upstream is, from its responses at all nodes.

An upstream's factor is the time that its work takes, relative to the mean of
its service: 1 is usual, 2 is half as fast. Each node keeps decaying samples of
its own responses; the samples of all nodes are added up with the backlogs.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math
from typing import NamedTuple

from lycheegw.coordination.load import backlog_sums
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["Speeds"]

# Half-life of the weight of a sample, in seconds: machines turn slow for some
# seconds at a time.
_HALF_LIFE_S = 8.0
# Bounds on one sample and on a factor; a response that stalls says little about
# the speed of the machine.
_MIN_FACTOR, _MAX_FACTOR = 0.25, 4.0
# Samples at the usual speed that are assumed of each upstream.
_PRIOR_SAMPLES = 3.0
# Interval at which factors are computed from the samples.
_REFRESH_INTERVAL_S = 0.25
_MS_PER_SAMPLE = 1000
# Weight of a new sample in the mean time of a kind of work.
_MEAN_WEIGHT = 0.05


class _SpeedSamples(NamedTuple):
    """Samples of one upstream at this node.

    Attributes:
        number: Number of samples, decayed.
        ratios: Sum of their ratios of the time taken to that expected, decayed.
        at_s: Monotonic second of the latest decay.
    """

    number: float
    ratios: float
    at_s: float

    def decayed(self, now_s: float) -> "_SpeedSamples":
        weight = 0.5 ** (max(0.0, now_s - self.at_s) / _HALF_LIFE_S)
        return _SpeedSamples(self.number * weight, self.ratios * weight, now_s)


class Speeds:
    """The speed factors of the upstreams of all services.

    Attributes:
        read_sums: Returns the figures of all nodes together, an empty mapping
            if they are too old.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        read_sums: Callable[[], Mapping[backlog_sums.Key, int]],
    ):
        self.read_sums = read_sums
        self._state = state
        self._samples_by_id: dict[str, _SpeedSamples] = {}
        self._mean_s_by_work: dict[tuple[str, str | None], float] = {}
        self._factor_by_id: dict[str, float] = {}
        self._refreshed_s = -math.inf

    def factor(self, upstream: upstreams.Upstream) -> float:
        """Returns how much longer than usual work takes at an upstream now."""
        return self.factors([upstream])[0]

    def factors(self, order: Sequence[upstreams.Upstream]) -> list[float]:
        """Returns the factors of several upstreams, in the same order."""
        now_s = self._state.environment.monotonic_s()
        learnt = self.learnt_by_id()
        factors = [learnt.get(each.entry.host_id, 1.0) for each in order]
        for rank, upstream in enumerate(order):
            if upstream.report is not None and upstream.report.slowness != 1.0:
                slowness = upstream.slowness(now_s)
                factors[rank] = _bounded(factors[rank] * slowness)
        return factors

    def learnt_by_id(self) -> Mapping[str, float]:
        """Returns what responses of all nodes told, by upstream id."""
        now_s = self._state.environment.monotonic_s()
        if now_s - self._refreshed_s >= _REFRESH_INTERVAL_S:
            self._refreshed_s = now_s
            self._refresh()
        return self._factor_by_id

    def note(
        self, upstream: upstreams.Upstream, expected_s: float, actual_s: float
    ) -> None:
        """Records how long work took, and how long it takes usually."""
        ratio = actual_s / expected_s if expected_s > 0 else math.nan
        if not math.isfinite(ratio) or ratio <= 0:
            self._state.counters.add("speeds.unusable_samples")
            return
        now_s = self._state.environment.monotonic_s()
        host_id = upstream.entry.host_id
        former = self._samples_by_id.get(
            host_id, _SpeedSamples(0.0, 0.0, now_s)
        )
        number, ratios, _ = former.decayed(now_s)
        self._samples_by_id[host_id] = _SpeedSamples(
            number + 1.0, ratios + _bounded(ratio), now_s
        )

    def note_work(
        self,
        upstream: upstreams.Upstream,
        service: str,
        model: str | None,
        actual_s: float,
    ) -> None:
        """Records the time of one unit of work of a model or a service.

        The mean of all upstreams is what it takes usually. What the upstream
        reported of its machine at the time doesn't count as its speed.
        """
        if not 0 < actual_s < math.inf:
            self._state.counters.add("speeds.unusable_samples")
            return
        now_s = self._state.environment.monotonic_s()
        usual_s = actual_s / upstream.slowness(now_s)
        mean_s = self._mean_s_by_work.setdefault((service, model), usual_s)
        change_s = _MEAN_WEIGHT * (min(usual_s, _MAX_FACTOR * mean_s) - mean_s)
        self._mean_s_by_work[service, model] = mean_s + change_s
        self.note(upstream, mean_s, usual_s)

    def own_figures(self) -> dict[backlog_sums.Key, int]:
        """Returns the samples of this node; those of lost upstreams end."""
        now_s = self._state.environment.monotonic_s()
        self._samples_by_id = {
            host_id: samples.decayed(now_s)
            for host_id, samples in self._samples_by_id.items()
            if host_id in self._state.upstreams.by_id
        }
        figures: dict[backlog_sums.Key, int] = {}
        for host_id, samples in self._samples_by_id.items():
            usual_ms = round(samples.number * _MS_PER_SAMPLE)
            actual_ms = round(samples.ratios * _MS_PER_SAMPLE)
            if usual_ms and actual_ms:
                figures[backlog_sums.SpeedKey(host_id, False)] = usual_ms
                figures[backlog_sums.SpeedKey(host_id, True)] = actual_ms
        return figures

    def extremes(self) -> tuple[float, float]:
        """Returns the smallest and the largest factor that was learnt."""
        factors = self._factor_by_id.values()
        return min(factors, default=1.0), max(factors, default=1.0)

    def _refresh(self) -> None:
        """Computes the factors from the samples of all nodes."""
        figures = self.read_sums() or self.own_figures()
        pool_by_id = {
            host_id: upstream.entry.pool
            for host_id, upstream in self._state.upstreams.by_id.items()
        }
        ratio_by_id = {
            host_id: _mean_ratio(figures, host_id) for host_id in pool_by_id
        }
        self._factor_by_id = {}
        ids = sorted(pool_by_id, key=pool_by_id.__getitem__)
        for _, group in itertools.groupby(ids, key=pool_by_id.__getitem__):
            members = list(group)
            mean = sum(map(ratio_by_id.__getitem__, members)) / len(members)
            for host_id in members:
                self._factor_by_id[host_id] = _bounded(
                    ratio_by_id[host_id] / mean
                )


def _mean_ratio(figures: Mapping[backlog_sums.Key, int], host_id: str) -> float:
    """Returns the mean ratio of an upstream's samples and the assumed ones."""
    prior_ms = _PRIOR_SAMPLES * _MS_PER_SAMPLE
    usual_ms = figures.get(backlog_sums.SpeedKey(host_id, False), 0)
    actual_ms = figures.get(backlog_sums.SpeedKey(host_id, True), 0)
    return _bounded((actual_ms + prior_ms) / (usual_ms + prior_ms))


def _bounded(factor: float) -> float:
    return min(_MAX_FACTOR, max(_MIN_FACTOR, factor))
