"""Which models answer a request, one after the other.

The smallest model answers first. Its own confidence, which comes with the
head of its answer, tells whether the largest one is asked instead; the middle
ones seldom know better where the smallest does not. Nothing is asked for that
can't arrive in time: a long prompt or a long answer takes the largest model
many seconds, and delays whatever runs beside it.
"""

from collections.abc import Callable
from typing import NamedTuple

from lycheegw.state import forwarded
from lycheegw.state import routing

__all__ = [
    "Clock",
    "Duration",
    "first_model",
    "larger_model",
    "model_after_failure",
]

# Confidence (0 to 100) from which an answer of the smallest model is kept.
# Trials on two deployments had their best mean worth at 50; 30 and 70 lost
# 0.03 to 0.07 of it.
_MIN_CONFIDENCE = 50.0
# Confidence below which even a late answer of the largest model is worth
# more; late answers earn three tenths on both deployments.
_MIN_CONFIDENCE_LATE = 30.0
# Part of the time left that an expected answer may take; the rest is for
# its events and for what the expectation misses.
_LATE_SHARE = 0.5

# Part of the time left that the whole of an expected answer may take.
_WHOLE_SHARE = 0.9


class Duration(NamedTuple):
    """How long an answer usually takes.

    Attributes:
        head_s: Seconds to its head, 0 where unknown.
        rest_s: Seconds from there to its end, 0 where unknown.
    """

    head_s: float
    rest_s: float


Expected = Callable[[str], Duration]


class Clock(NamedTuple):
    """Where a request stands in its time.

    Attributes:
        target_left_s: Seconds until its latency objective.
        left_s: Seconds until its deadline.
    """

    target_left_s: float
    left_s: float


def _is_open(work: forwarded.ForwardedWork) -> bool:
    return work.traits.is_model_open and bool(work.route.models)


def first_model(work: forwarded.ForwardedWork) -> str | None:
    """Returns the model to begin with, None where the caller named one."""
    if not _is_open(work):
        return None
    if work.traits.last_event is not None or not _may_run_again(work):
        # A stream that goes on was begun by a model that answered well
        # enough, and one that may run once has no second model; the largest
        # one is never worse.
        return work.route.models[-1]
    return work.route.models[0]


def _may_run_again(work: forwarded.ForwardedWork) -> bool:
    return (
        work.route.kind is routing.RequestKind.IDEMPOTENT
        or work.route.is_resumable
    )


def larger_model(
    work: forwarded.ForwardedWork,
    model: str | None,
    confidence: float | None,
    clock: Clock,
    expected: Expected,
) -> str | None:
    """Returns the model to ask instead, None to keep the answer.

    Args:
        work: The request.
        model: Model that answered.
        confidence: What it says of its answer (0 to 100).
        clock: The time that is left.
        expected: Returns how long a model's answer usually takes.
    """
    if model is None or confidence is None or not _is_open(work):
        return None
    largest = work.route.models[-1]
    if model == largest or confidence >= _MIN_CONFIDENCE:
        return None
    if not _may_run_again(work):
        return None
    usual = expected(largest)
    if usual.head_s + usual.rest_s > _WHOLE_SHARE * clock.left_s:
        return None
    if usual.head_s <= clock.target_left_s:
        return largest
    if confidence >= _MIN_CONFIDENCE_LATE:
        return None
    return largest if usual.head_s <= _LATE_SHARE * clock.left_s else None


def model_after_failure(
    work: forwarded.ForwardedWork,
    model: str | None,
    clock: Clock,
    expected: Expected,
) -> str | None:
    """Returns the model for another attempt after one failed."""
    if model is None or not _is_open(work):
        return model
    usual = expected(model)
    is_whole = usual.head_s + usual.rest_s <= _WHOLE_SHARE * clock.left_s
    if is_whole and usual.head_s <= _LATE_SHARE * clock.left_s:
        return model
    return work.route.models[0]
