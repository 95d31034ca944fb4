"""How long upstreams take to the head and to the end of their answers."""

import math
from typing import NamedTuple

__all__ = ["HeadTimes"]

# Weight of a new time in the running mean of its size.
_WEIGHT = 0.15
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
        self._rest_rate_by_key: dict[_Key, float] = {}

    def note(
        self, service: str, model: str | None, tokens: int, seconds: float
    ) -> None:
        """Takes the time of one answer."""
        means = self._mean_s_by_size_by_key.setdefault(_Key(service, model), {})
        size = _size(tokens)
        known = means.get(size, seconds)
        means[size] = known + _WEIGHT * (seconds - known)

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
        if not means:
            return None
        size = _size(tokens)
        nearest = min(means, key=lambda known: abs(known - size))
        return float(means[nearest] * 2.0 ** (_GROWTH * (size - nearest)))


def _size(tokens: int) -> int:
    return int(math.log2(tokens + _BASE_TOKENS))
