"""Chooses the model that answers a forwarded request, and the next one.

The smallest model answers first. Its confidence, sent in the response head,
decides whether the largest one is asked instead; the middle ones are skipped,
since they are seldom right where the smallest is not. The largest model is
only asked if its answer is expected in time: a long prompt or answer takes it
many seconds and delays the requests that run beside it. The less likely that
is by the load now, the lower the confidence at which it is asked.
"""

from collections.abc import Callable
from typing import NamedTuple

from lycheegw.state import forwarded_requests
from lycheegw.state import routing

__all__ = [
    "DEFAULT_LATE_WORTH",
    "AnswerDuration",
    "Outlook",
    "TimeLeft",
    "first_model",
    "is_low",
    "larger_model",
    "may_choose_model",
    "model_after_failure",
]

# Confidence (0 to 100) from which an answer of the smallest model is kept. On
# two deployments the mean value of answers was best at 50, and 0.03 to 0.07
# lower at 30 and at 70.
_MIN_CONFIDENCE = 50.0
# Part of this confidence that counts while more urgent requests lack room.
_SHORTAGE_FACTOR = 0.5
# Worth of a late answer without a setting, as a part of one in time.
DEFAULT_LATE_WORTH = 0.6
# Share of the time left that the expected time to the first byte may take; the
# rest is for the events and for errors of the estimate.
_MAX_HEAD_SHARE = 0.5
# Share of the time left that the whole expected answer may take.
_MAX_ANSWER_SHARE = 0.9


class AnswerDuration(NamedTuple):
    """Expected duration of an answer.

    Attributes:
        head_s: Seconds to the first byte, 0 if unknown.
        rest_s: Seconds from there to the end, 0 if unknown.
    """

    head_s: float
    rest_s: float


class Outlook(NamedTuple):
    """What the load means for an answer of the largest model.

    Attributes:
        chance_in_time: Probability that its first byte is in time.
        late_worth: Worth of a late answer, as a part of one in time.
        is_room_short: Whether more urgent requests need the room.
        is_crowded: Whether the wait is longer than the request itself bears.
    """

    chance_in_time: float
    late_worth: float
    is_room_short: bool = False
    is_crowded: bool = False


DurationEstimator = Callable[[str], AnswerDuration]


class TimeLeft(NamedTuple):
    """Time that a request has left.

    Attributes:
        target_left_s: Seconds until its target latency has passed.
        left_s: Seconds until its deadline.
    """

    target_left_s: float
    left_s: float


def may_choose_model(work: forwarded_requests.ForwardedWork) -> bool:
    """Returns whether the router chooses the model of a request."""
    return work.traits.is_model_open and bool(work.route.models)


def first_model(work: forwarded_requests.ForwardedWork) -> str | None:
    """Returns the first model to ask, None if the client named one."""
    if not may_choose_model(work):
        return None
    if work.traits.last_event is not None or not _may_run_again(work):
        # A resumed stream was begun by a model whose answer was kept, and a
        # request that may run only once gets no second model; the largest one
        # is never worse.
        return work.route.models[-1]
    return work.route.models[0]


def _may_run_again(work: forwarded_requests.ForwardedWork) -> bool:
    return (
        work.route.kind is routing.RequestKind.IDEMPOTENT
        or work.route.is_resumable
    )


def larger_model(
    work: forwarded_requests.ForwardedWork,
    model: str | None,
    confidence: float | None,
    time_left: TimeLeft,
    estimate: DurationEstimator,
    outlook: Outlook | None = None,
) -> str | None:
    """Returns the model to ask instead, None to keep the answer.

    Args:
        work: The request.
        model: Model that answers.
        confidence: Its confidence in the answer (0 to 100).
        time_left: Time that the request has left.
        estimate: Returns the expected duration of a model's answer.
        outlook: What the load means for the largest model's answer; without
            it, the answer is in time if that is usual.
    """
    if model is None or confidence is None or not may_choose_model(work):
        return None
    largest = work.route.models[-1]
    if model == largest or confidence >= _MIN_CONFIDENCE:
        return None
    if not _may_run_again(work):
        return None
    duration = estimate(largest)
    if duration.head_s + duration.rest_s > _MAX_ANSWER_SHARE * time_left.left_s:
        return None
    if outlook is None:
        is_in_time = duration.head_s <= time_left.target_left_s
        outlook = Outlook(float(is_in_time), DEFAULT_LATE_WORTH)
    if confidence >= _min_confidence(outlook):
        return None
    is_late = duration.head_s > time_left.target_left_s
    if is_late and duration.head_s > _MAX_HEAD_SHARE * time_left.left_s:
        return None
    return largest


def is_low(confidence: float) -> bool:
    """Returns whether another model may be asked at a confidence."""
    return confidence < _MIN_CONFIDENCE


def _min_confidence(outlook: Outlook) -> float:
    """Returns the confidence from which an answer is kept."""
    chance = outlook.chance_in_time
    # A late answer would take room from answers that can be in time.
    late_worth = 0.0 if outlook.is_crowded else outlook.late_worth
    worth = chance + (1 - chance) * late_worth
    shortage = _SHORTAGE_FACTOR if outlook.is_room_short else 1.0
    return _MIN_CONFIDENCE * worth * shortage


def model_after_failure(
    work: forwarded_requests.ForwardedWork,
    model: str | None,
    time_left: TimeLeft,
    estimate: DurationEstimator,
) -> str | None:
    """Returns the model for the next attempt after a failed one."""
    if model is None or not may_choose_model(work):
        return model
    duration = estimate(model)
    is_whole_in_time = (
        duration.head_s + duration.rest_s
        <= _MAX_ANSWER_SHARE * time_left.left_s
    )
    if (
        is_whole_in_time
        and duration.head_s <= _MAX_HEAD_SHARE * time_left.left_s
    ):
        return model
    return work.route.models[0]
