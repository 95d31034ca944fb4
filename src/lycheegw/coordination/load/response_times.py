"""Estimates response times of models from those of earlier responses.

The times to the first byte and from there to the end of a stream are learnt
by service, model and size of the prompt.
"""

import math
from typing import NamedTuple

__all__ = ["ResponseTimes"]

# Weight of a new sample in a running mean.
_SAMPLE_WEIGHT = 0.15
# The time to the first byte without a queue, and with the shared prefix cached,
# is estimated as this quantile of all times to the first byte. The step scales
# the change of the estimate's logarithm with each sample.
_QUANTILE = 0.2
_QUANTILE_STEP = 0.2
# Ratio of the prefill time of a whole prompt to that with the shared prefix
# cached: on the first deployment three quarters of a prompt are shared.
_UNCACHED_FACTOR = 4.0
# Prefill time assumed for a model without any samples.
_UNKNOWN_PREFILL_S = 0.1
# Prompts of fewer tokens than this take about the same time.
_BASE_TOKENS = 512
# Exponent by which the time grows with the prompt, for sizes without samples:
# attention makes the growth superlinear.
_GROWTH_EXPONENT = 1.3


class _Key(NamedTuple):
    service: str
    model: str | None


class ResponseTimes:
    """Response times of each service and model.

    The time to the first byte is kept for each prompt size class, a power of
    two tokens, since a prompt of ten times the usual size takes far longer
    than ten times the usual time.
    """

    def __init__(self) -> None:
        self._mean_s_by_size_by_key: dict[_Key, dict[int, float]] = {}
        self._quantile_s_by_size_by_key: dict[_Key, dict[int, float]] = {}
        self._rest_s_per_token_by_key: dict[_Key, float] = {}

    def note_first_byte(
        self, service: str, model: str | None, tokens: int, seconds: float
    ) -> None:
        """Records the time to the first byte of a response."""
        means = self._mean_s_by_size_by_key.setdefault(_Key(service, model), {})
        size = _size_class(tokens)
        mean_s = means.get(size, seconds)
        means[size] = mean_s + _SAMPLE_WEIGHT * (seconds - mean_s)
        self._note_quantile(_Key(service, model), size, max(seconds, 0.001))

    def _note_quantile(self, key: _Key, size: int, seconds: float) -> None:
        """Moves the estimate of the low quantile towards a new sample."""
        quantiles = self._quantile_s_by_size_by_key.setdefault(key, {})
        estimate_s = quantiles.get(size, seconds)
        is_below = seconds < estimate_s
        step = _QUANTILE_STEP * (_QUANTILE - is_below)
        quantiles[size] = estimate_s * math.exp(step)

    def prefill_s(self, service: str, model: str | None, tokens: int) -> float:
        """Returns the expected prefill time with the shared prefix cached."""
        quantiles = self._quantile_s_by_size_by_key.get(_Key(service, model))
        return (
            _time_at_size(quantiles, tokens)
            if quantiles
            else _UNKNOWN_PREFILL_S
        )

    def miss_penalty_s(
        self, service: str, model: str | None, tokens: int, shared: int
    ) -> float:
        """Returns the extra prefill time if the shared prefix is not cached."""
        share = shared / max(1, tokens, shared)
        whole_s = _UNCACHED_FACTOR * self.prefill_s(service, model, tokens)
        return share * whole_s

    def note_head_timeout(
        self, service: str, model: str | None, tokens: int, seconds: float
    ) -> None:
        """Records a timeout before the first byte, if longer than usual."""
        expected = self.expected_first_byte_s(service, model, tokens)
        if expected is None or seconds > expected:
            self.note_first_byte(service, model, tokens, seconds)

    def note_rest(
        self, service: str, model: str | None, max_tokens: int, seconds: float
    ) -> None:
        """Records the time of a stream from its first byte to its end."""
        key = _Key(service, model)
        s_per_token = seconds / max(1, max_tokens)
        mean_s = self._rest_s_per_token_by_key.get(key, s_per_token)
        self._rest_s_per_token_by_key[key] = mean_s + _SAMPLE_WEIGHT * (
            s_per_token - mean_s
        )

    def expected_rest_s(
        self, service: str, model: str | None, max_tokens: int
    ) -> float:
        """Returns the expected time from a stream's first byte to its end."""
        return (
            self._rest_s_per_token_by_key.get(_Key(service, model), 0.0)
            * max_tokens
        )

    def expected_first_byte_s(
        self, service: str, model: str | None, tokens: int
    ) -> float | None:
        """Returns the expected time to the first byte, None without samples."""
        means = self._mean_s_by_size_by_key.get(_Key(service, model))
        return _time_at_size(means, tokens) if means else None


def _time_at_size(seconds_by_size: dict[int, float], tokens: int) -> float:
    """Extrapolates the time of a prompt from the nearest size class."""
    size = _size_class(tokens)
    nearest = min(seconds_by_size, key=lambda each: abs(each - size))
    return float(
        seconds_by_size[nearest] * 2.0 ** (_GROWTH_EXPONENT * (size - nearest))
    )


def _size_class(tokens: int) -> int:
    """Returns the binary logarithm of a prompt's size, rounded down."""
    return int(math.log2(tokens + _BASE_TOKENS))
