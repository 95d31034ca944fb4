"""How long upstreams take to the first bytes of their answers."""

from typing import NamedTuple

__all__ = ["HeadTimes"]

# Weight of a new time in the running mean.
_WEIGHT = 0.08
# What a request costs besides its tokens, in tokens; with it the time of
# short and of long prompts is about in proportion.
_BASE_TOKENS = 2000.0


class _Key(NamedTuple):
    service: str
    model: str | None


class HeadTimes:
    """Running means by service and model, in proportion to the prompt."""

    def __init__(self) -> None:
        self._second_per_token_by_key: dict[_Key, float] = {}

    def note(
        self, service: str, model: str | None, tokens: int, seconds: float
    ) -> None:
        """Takes the time of one answer."""
        key = _Key(service, model)
        rate = seconds / (tokens + _BASE_TOKENS)
        known = self._second_per_token_by_key.get(key, rate)
        self._second_per_token_by_key[key] = known + _WEIGHT * (rate - known)

    def expected_s(
        self, service: str, model: str | None, tokens: int
    ) -> float | None:
        """Returns about how long an answer takes, None where unknown."""
        rate = self._second_per_token_by_key.get(_Key(service, model))
        return None if rate is None else rate * (tokens + _BASE_TOKENS)
