"""Retry policy: whether, when and within what budget attempts are retried."""

import collections
import random

from lycheegw.state import requests
from lycheegw.state import verdicts

__all__ = [
    "MAX_ATTEMPTS",
    "MinFirstByteTimes",
    "RetryBudget",
    "attempt_timeout_s",
    "backoff_s",
    "is_retry_safe",
]

MAX_ATTEMPTS = 4

_TOKENS_PER_REQUEST = 0.2
_MAX_TOKENS = 20.0
_RESUME_TOKENS_PER_REQUEST = 0.5
_MAX_RESUME_TOKENS = 400.0
_BASE_BACKOFF_S = 0.02
# Times kept for each pool.
_MAX_SAMPLES = 32


class RetryBudget:
    """Token buckets that requests fill and retries drain.

    Retries stay within a fixed share of the traffic, so that a failing zone
    does not turn each request into several. Resumed streams have a bucket of
    their own, since they replace the load of the streams that broke. It is as
    large as the streams of one node, so that all of them can be resumed once.
    """

    def __init__(
        self,
        tokens_per_request: float = _TOKENS_PER_REQUEST,
        max_tokens: float = _MAX_TOKENS,
        max_resumes: float = _MAX_RESUME_TOKENS,
    ):
        self._tokens_per_request = tokens_per_request
        self._max_tokens = max_tokens
        self._max_resume_tokens = max_resumes
        self._tokens = max_tokens
        self._resume_tokens = max_resumes

    def note_request(self) -> None:
        """Adds one request's share of tokens to both buckets."""
        self._tokens = min(
            self._max_tokens, self._tokens + self._tokens_per_request
        )
        self._resume_tokens = min(
            self._max_resume_tokens,
            self._resume_tokens + _RESUME_TOKENS_PER_REQUEST,
        )

    def take(self, is_resume: bool = False) -> bool:
        """Takes a token for one retry; returns whether there was one."""
        if is_resume and self._resume_tokens >= 1:
            self._resume_tokens -= 1
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class MinFirstByteTimes:
    """The minimum time to the response head of recent attempts, by pool."""

    def __init__(self) -> None:
        self._seconds_by_pool: dict[str, collections.deque[float]] = {}

    def add(self, pool: str, seconds: float) -> None:
        """Records the time to the response head of an attempt."""
        samples = self._seconds_by_pool.setdefault(
            pool, collections.deque(maxlen=_MAX_SAMPLES)
        )
        samples.append(seconds)

    def min_s(self, pool: str) -> float:
        """Returns the minimum of the recent times, 0 if there are none."""
        return min(self._seconds_by_pool.get(pool, ()), default=0.0)


def is_retry_safe(
    request: requests.Request, verdict: verdicts.RunVerdict
) -> bool:
    """Returns whether a retry can't run a non-idempotent request twice.

    Args:
        request: The request.
        verdict: Whether it may have run, over all attempts.
    """
    return request.is_idempotent or verdict is verdicts.RunVerdict.NOT_RUN


def attempt_timeout_s(
    request: requests.Request, left_s: float, attempts: int
) -> float:
    """Returns how long an attempt may wait for its response head.

    An attempt that can be retried leaves half of the time to later ones.
    """
    if request.is_idempotent and attempts < MAX_ATTEMPTS:
        return left_s / 2
    return left_s


def backoff_s(attempts: int, rng: random.Random) -> float:
    """Returns an exponential backoff with full jitter."""
    return float(_BASE_BACKOFF_S * 2**attempts * rng.random())
