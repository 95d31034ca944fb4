"""Estimates when the head of a response arrives, and how far that is off.

The expected wait at an upstream counts work that a more urgent request passes,
and work that ended since it was reported. How much of it a request really
waits is learnt by service and model from the responses, and so is the spread
of the estimates, from which margins follow.
"""

import math
from typing import NamedTuple

__all__ = ["HeadEstimate", "HeadEstimates"]

# Weight of a new sample in a running mean.
_SAMPLE_WEIGHT = 0.1
# Weight of a whole wait in the share that is learnt, in s squared: without
# samples, the expected wait counts in full.
_PRIOR_WEIGHT_S2 = 1.0
_WAIT_SHARE_BOUNDS = (0.05, 2.0)
# Standard deviation of the logarithm of actual to expected, without samples,
# and its lower bound: nodes see few responses.
_UNKNOWN_SPREAD = 0.7
_MIN_SPREAD = 0.3
# Added to both times before they are compared, in seconds: a few hundredths
# matter to nobody.
_TOLERANCE_S = 0.1
# Shortest time that is told from none, in seconds.
_MIN_TIME_S = 1e-3
# Standard deviations from the mean to the quantiles at 5 and 84 in 100.
_EARLY_DEVIATIONS = 1.64
_LATE_DEVIATIONS = 1.0


class HeadEstimate(NamedTuple):
    """When a response head is expected.

    Attributes:
        wait_s: Expected wait before its prefill.
        expected_s: Expected seconds to the head, with wait and prefill.
        spread: Standard deviation of the logarithm of actual to expected.
    """

    wait_s: float
    expected_s: float
    spread: float

    @property
    def early_s(self) -> float:
        """Seconds before which the head hardly ever arrives."""
        return self.expected_s * math.exp(-_EARLY_DEVIATIONS * self.spread)

    @property
    def late_s(self) -> float:
        """Seconds within which the head arrives as a rule."""
        return self.expected_s * math.exp(_LATE_DEVIATIONS * self.spread)

    def chance_within(self, seconds: float) -> float:
        """Returns the probability that the head arrives within some time."""
        if seconds < _MIN_TIME_S:
            return 0.0
        deviations = math.log(seconds / max(self.expected_s, _MIN_TIME_S))
        return 0.5 * (1 + math.erf(deviations / (self.spread * math.sqrt(2))))


class _Errors:
    """What responses of one model say about the estimates.

    Attributes:
        waited_s2: Mean product of expected and actual waits.
        expected_s2: Mean square of expected waits.
        bias: Mean logarithm of actual to expected.
        variance: Mean square of its deviation from the bias.
    """

    def __init__(self) -> None:
        self.waited_s2 = _PRIOR_WEIGHT_S2
        self.expected_s2 = _PRIOR_WEIGHT_S2
        self.bias = 0.0
        self.variance = _UNKNOWN_SPREAD**2

    def estimate(self, wait_s: float, prefill_s: float) -> HeadEstimate:
        low, high = _WAIT_SHARE_BOUNDS
        share = min(high, max(low, self.waited_s2 / self.expected_s2))
        return HeadEstimate(
            share * wait_s,
            (share * wait_s + prefill_s) * math.exp(self.bias),
            max(_MIN_SPREAD, math.sqrt(self.variance)),
        )

    def note(self, wait_s: float, prefill_s: float, actual_s: float) -> None:
        expected_s = self.estimate(wait_s, prefill_s).expected_s
        error = math.log(
            (actual_s + _TOLERANCE_S) / (expected_s + _TOLERANCE_S)
        )
        self.bias += _SAMPLE_WEIGHT * error
        self.variance += _SAMPLE_WEIGHT * (error**2 - self.variance)
        waited_s = max(0.0, actual_s - prefill_s)
        weight = _SAMPLE_WEIGHT * min(1.0, wait_s)
        self.waited_s2 += weight * (waited_s * wait_s - self.waited_s2)
        self.expected_s2 += weight * (wait_s**2 - self.expected_s2)


class HeadEstimates:
    """This node's estimates for each service and model."""

    def __init__(self) -> None:
        self._errors_by_model: dict[tuple[str, str | None], _Errors] = {}

    def estimate(
        self,
        service: str,
        model: str | None,
        wait_s: float,
        prefill_s: float,
    ) -> HeadEstimate:
        """Returns when a head is expected after some wait and prefill."""
        errors = self._errors_by_model.get((service, model)) or _Errors()
        return errors.estimate(wait_s, prefill_s)

    def note(
        self,
        service: str,
        model: str | None,
        wait_s: float,
        prefill_s: float,
        actual_s: float,
    ) -> None:
        """Records after how many seconds a head arrived."""
        errors = self._errors_by_model.setdefault((service, model), _Errors())
        errors.note(wait_s, prefill_s, actual_s)
