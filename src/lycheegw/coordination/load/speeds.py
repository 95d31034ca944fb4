"""Learns how fast each upstream is, from its responses at all nodes.

An upstream's factor is the time that its work takes, relative to the mean of
its service: 1 is usual, 2 is half as fast. Samples are what an upstream reports
of its machine, else the pace of its streams or the time to its responses. Each
node keeps decaying samples of its own responses; the samples of all nodes are
added up with the backlogs.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
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
_PRIOR_SAMPLES = 5.0
# Weight of the time of work, which follows what else runs there, relative to
# that of what an upstream reports.
_WORK_WEIGHT = 0.1
# Steps of a share of work for each doubling.
_STEPS = 4
# Interval at which factors are computed from the samples.
_REFRESH_INTERVAL_S = 0.25
# Figures are whole thousandths; fewer samples aren't reported.
_UNITS = 1000
_MIN_NUMBER = 50
# Half-life of the weight of what an upstream reported last, in seconds; it
# changes many times a second.
_REPORT_HALF_LIFE_S = 0.3
# Weight of a new sample in the mean time of a kind of work.
_MEAN_WEIGHT = 0.05


class _SpeedSamples(NamedTuple):
    """Samples of one upstream at this node.

    Attributes:
        number: Number of samples, decayed.
        rates: Sum of the speeds that they show, decayed; 1 is usual, 2 is twice
            as fast.
        at_s: Monotonic second of the latest decay.
    """

    number: float
    rates: float
    at_s: float

    def decayed(self, now_s: float) -> "_SpeedSamples":
        weight = 0.5 ** (max(0.0, now_s - self.at_s) / _HALF_LIFE_S)
        return _SpeedSamples(self.number * weight, self.rates * weight, now_s)


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
        self._weight_by_id: dict[str, float] = {}
        # Mean time of a pool's samples, relative to what they were expected.
        self._mean_by_pool: dict[str, float] = {}
        self._refreshed_s = -math.inf

    def factor(self, upstream: upstreams.Upstream) -> float:
        """Returns how much longer than usual work takes at an upstream now."""
        return self.factors([upstream])[0]

    def factors(self, order: Sequence[upstreams.Upstream]) -> list[float]:
        """Returns the factors of several upstreams, in the same order."""
        now_s = self._state.environment.monotonic_s()
        self._refresh_if_due()
        learnt = self._factor_by_id
        factors = [learnt.get(each.entry.host_id, 1.0) for each in order]
        for rank, upstream in enumerate(order):
            report = upstream.report
            if report is not None and report.slowness is not None:
                mean = self._mean_by_pool.get(upstream.entry.pool, 1.0)
                weight = 0.5 ** (
                    (now_s - report.received_s) / _REPORT_HALF_LIFE_S
                )
                told = _bounded(report.slowness / mean)
                factors[rank] += weight * (told - factors[rank])
        return factors

    def _refresh_if_due(self) -> None:
        now_s = self._state.environment.monotonic_s()
        if now_s - self._refreshed_s >= _REFRESH_INTERVAL_S:
            self._refreshed_s = now_s
            self._refresh()

    def note(
        self,
        upstream: upstreams.Upstream,
        expected_s: float,
        actual_s: float,
        weight: float = 1.0,
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
        number, rates, _ = former.decayed(now_s)
        self._samples_by_id[host_id] = _SpeedSamples(
            number + weight, rates + weight / _bounded(ratio), now_s
        )

    def weights(self, order: Sequence[upstreams.Upstream]) -> list[float]:
        """Returns the shares of work of several upstreams, in the same order.

        They are reciprocals of the learnt factors, in steps, so that upstreams
        that are equally fast have equal shares.
        """
        self._refresh_if_due()
        return [
            self._weight_by_id.get(each.entry.host_id, 1.0) for each in order
        ]

    def note_work(
        self,
        upstream: upstreams.Upstream,
        service: str,
        model: str | None,
        actual_s: float,
    ) -> None:
        """Records the time of one unit of work of a model or a service.

        The mean of all upstreams is what it takes usually. An upstream that
        reports how long work takes there is taken at its word.
        """
        if upstream.report is not None and upstream.report.slowness is not None:
            return
        if not 0 < actual_s < math.inf:
            self._state.counters.add("speeds.unusable_samples")
            return
        mean_s = self._mean_s_by_work.setdefault((service, model), actual_s)
        change_s = _MEAN_WEIGHT * (min(actual_s, _MAX_FACTOR * mean_s) - mean_s)
        self._mean_s_by_work[service, model] = mean_s + change_s
        self.note(upstream, mean_s, actual_s, _WORK_WEIGHT)

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
            number = round(samples.number * _UNITS)
            rates = round(samples.rates * _UNITS)
            if number >= _MIN_NUMBER:
                figures[backlog_sums.SpeedKey(host_id, False)] = number
                figures[backlog_sums.SpeedKey(host_id, True)] = rates
        return figures

    def extremes(self) -> tuple[float, float]:
        """Returns the smallest and the largest factor that was learnt."""
        factors = self._factor_by_id.values()
        return min(factors, default=1.0), max(factors, default=1.0)

    def _refresh(self) -> None:
        """Computes the factors from the samples of all nodes."""
        figures = self.read_sums()
        if not any(isinstance(key, backlog_sums.SpeedKey) for key in figures):
            # An aggregator that is new or of an earlier build has none.
            figures = self.own_figures()
        ids_by_pool: dict[str, list[str]] = {}
        for host_id, upstream in self._state.upstreams.by_id.items():
            ids_by_pool.setdefault(upstream.entry.pool, []).append(host_id)
        self._factor_by_id = {}
        self._weight_by_id = {}
        for pool, ids in ids_by_pool.items():
            samples_by_id = {each: _samples(figures, each) for each in ids}
            numbers, rates = zip(*samples_by_id.values(), strict=True)
            mean = sum(numbers) / sum(rates)
            self._mean_by_pool[pool] = mean
            factor_by_id = {
                host_id: _bounded(number / rate / mean)
                for host_id, (number, rate) in samples_by_id.items()
            }
            self._weight_by_id |= {
                host_id: 2.0 ** (-round(_STEPS * math.log2(factor)) / _STEPS)
                for host_id, factor in factor_by_id.items()
            }
            self._factor_by_id |= _try_unknown(factor_by_id, figures)


def _samples(
    figures: Mapping[backlog_sums.Key, int], host_id: str
) -> tuple[float, float]:
    """Returns the number and the sum of samples, with those assumed."""
    number = figures.get(backlog_sums.SpeedKey(host_id, False), 0)
    rates = figures.get(backlog_sums.SpeedKey(host_id, True), 0)
    return number / _UNITS + _PRIOR_SAMPLES, rates / _UNITS + _PRIOR_SAMPLES


def _try_unknown(
    factor_by_id: dict[str, float],
    figures: Mapping[backlog_sums.Key, int],
) -> dict[str, float]:
    """Returns factors by which upstreams without samples are tried.

    They count as fast as the fastest one: they get samples only by requests.
    """
    unknown = [
        host_id
        for host_id in factor_by_id
        if not figures.get(backlog_sums.SpeedKey(host_id, False))
    ]
    least = min(1.0, *factor_by_id.values()) if factor_by_id else 1.0
    return factor_by_id | dict.fromkeys(unknown, least)


def _bounded(factor: float) -> float:
    return min(_MAX_FACTOR, max(_MIN_FACTOR, factor))
