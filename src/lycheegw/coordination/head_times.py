"""How long upstreams take to the head and to the end of their answers."""

import math
from typing import NamedTuple

__all__ = ["HeadTimes"]

# Weight of a new time in the running mean of its size.
_WEIGHT = 0.15
# Prefill without a queue and with the shared prefix cached is taken to be this
# quantile of the times to the head. The step is the change of its logarithm
# with each sample.
_QUANTILE = 0.2
_QUANTILE_STEP = 0.2
# Prefill of a whole prompt takes about so many times as long as the quantile
# above: on the first deployment three quarters of a prompt are shared.
_UNCACHED_FACTOR = 4.0
# Prefill time of a model that has not answered yet.
_UNKNOWN_PREFILL_S = 0.1
# Prompts below this many tokens take about the same time.
_BASE_TOKENS = 512
# Growth of the time with the size of the prompt, for sizes not seen yet:
# attention makes it more than linear.
_GROWTH = 1.3


class _Key(NamedTuple):
    service: str
    model: str | None


class HeadTimes:
    """Running means by service, model and size of the prompt.

    Sizes are told apart by powers of two, since a prompt of ten times the
    usual size takes far longer than ten times the usual time.
    """

    def __init__(self) -> None:
        self._mean_s_by_size_by_key: dict[_Key, dict[int, float]] = {}
        self._quantile_s_by_size_by_key: dict[_Key, dict[int, float]] = {}
        self._rest_rate_by_key: dict[_Key, float] = {}

    def note(
        self, service: str, model: str | None, tokens: int, seconds: float
    ) -> None:
        """Takes the time of one answer."""
        means = self._mean_s_by_size_by_key.setdefault(_Key(service, model), {})
        size = _size(tokens)
        known = means.get(size, seconds)
        means[size] = known + _WEIGHT * (seconds - known)
        self._note_quantile(_Key(service, model), size, max(seconds, 0.001))

    def _note_quantile(self, key: _Key, size: int, seconds: float) -> None:
        """Moves a low quantile of the times towards a new one."""
        lows = self._quantile_s_by_size_by_key.setdefault(key, {})
        low = lows.get(size, seconds)
        is_below = seconds < low
        step = _QUANTILE_STEP * (_QUANTILE - is_below)
        lows[size] = low * math.exp(step)

    def prefill_s(self, service: str, model: str | None, tokens: int) -> float:
        """Returns the prefill time where the shared prefix is cached."""
        lows = self._quantile_s_by_size_by_key.get(_Key(service, model))
        return _at_size(lows, tokens) if lows else _UNKNOWN_PREFILL_S

    def miss_penalty_s(
        self, service: str, model: str | None, tokens: int, shared: int
    ) -> float:
        """Returns the further prefill time where it is not cached."""
        share = shared / max(1, tokens, shared)
        whole_s = _UNCACHED_FACTOR * self.prefill_s(service, model, tokens)
        return share * whole_s

    def note_at_least(
        self, service: str, model: str | None, tokens: int, seconds: float
    ) -> None:
        """Takes a time in which no answer came."""
        expected = self.expected_s(service, model, tokens)
        if expected is None or seconds > expected:
            self.note(service, model, tokens, seconds)

    def note_rest(
        self, service: str, model: str | None, max_tokens: int, seconds: float
    ) -> None:
        """Takes the time of a stream from its head to its end."""
        key = _Key(service, model)
        rate = seconds / max(1, max_tokens)
        known = self._rest_rate_by_key.get(key, rate)
        self._rest_rate_by_key[key] = known + _WEIGHT * (rate - known)

    def expected_rest_s(
        self, service: str, model: str | None, max_tokens: int
    ) -> float:
        """Returns about how long a stream takes after its head."""
        return (
            self._rest_rate_by_key.get(_Key(service, model), 0.0) * max_tokens
        )

    def expected_s(
        self, service: str, model: str | None, tokens: int
    ) -> float | None:
        """Returns about how long an answer takes, None where unknown."""
        means = self._mean_s_by_size_by_key.get(_Key(service, model))
        return _at_size(means, tokens) if means else None


def _at_size(seconds_by_size: dict[int, float], tokens: int) -> float:
    """Returns the time for a size, from that of the nearest one known."""
    size = _size(tokens)
    nearest = min(seconds_by_size, key=lambda known: abs(known - size))
    return float(seconds_by_size[nearest] * 2.0 ** (_GROWTH * (size - nearest)))


def _size(tokens: int) -> int:
    return int(math.log2(tokens + _BASE_TOKENS))
