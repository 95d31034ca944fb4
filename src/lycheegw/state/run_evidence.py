"""Judges by a response head whether the upstream ran the request."""

import enum
import http
from typing import NamedTuple

from lycheegw.state import verdicts

__all__ = [
    "Basis",
    "Echo",
    "Judgement",
    "Mark",
    "RunEvidence",
    "is_contradictory",
    "judge",
]

# Statuses that upstreams mark as rejections, or that are one by themselves.
_REJECTION_STATUSES = frozenset({400, 421, 429, 503})


class Echo(enum.Enum):
    """Which request a response names."""

    OWN = "own"
    NONE = "none"
    OTHER = "other"
    CONFLICTING = "conflicting"


class Mark(enum.Enum):
    """What a response says about a run, beside its status."""

    ABSENT = "absent"
    NOT_RUN = "not_run"
    UNCLEAR = "unclear"


class Basis(enum.Enum):
    """What a judgement rests on; each is the name of a counter."""

    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    UNIDENTIFIED = "unidentified"
    UNCLEAR_MARK = "unclear_mark"
    SIGNED_REJECTION = "signed_rejection"
    MARK_BESIDE_STATUS = "mark_beside_status"
    UNMARKED_PROMISE = "unmarked_promise"
    ANSWERED = "answered"


class RunEvidence(NamedTuple):
    """What a response head says about whether its request ran.

    Attributes:
        status: HTTP status.
        echo: Which request it names.
        mark: Whether it is marked as a rejection.
        is_signed: Whether it has a signature, which only answers have.
        claims_not_run: Whether clients take the status for a promise that the
            request has not run and never will.
    """

    status: int
    echo: Echo
    mark: Mark
    is_signed: bool
    claims_not_run: bool

    def __str__(self) -> str:
        signature = " signed" if self.is_signed else ""
        return (
            f"{self.status} mark {self.mark.value} id {self.echo.value}"
            f"{signature}"
        )


class Judgement(NamedTuple):
    """A verdict on one attempt, and what it rests on."""

    verdict: verdicts.RunVerdict
    basis: Basis


def judge(evidence: RunEvidence) -> Judgement:
    """Returns the verdict on the attempt that a response answers.

    A request has not run only if its upstream says so in a response that names
    the request and in which nothing says otherwise.
    """
    is_misdirected = evidence.status == http.HTTPStatus.MISDIRECTED_REQUEST
    if evidence.mark is Mark.ABSENT and not is_misdirected:
        if evidence.claims_not_run:
            return _may_have_run(Basis.UNMARKED_PROMISE)
        if evidence.echo is not Echo.OWN:
            return _may_have_run(Basis.UNIDENTIFIED)
        return Judgement(verdicts.RunVerdict.RAN, Basis.ANSWERED)
    if evidence.echo is not Echo.OWN:
        return _may_have_run(Basis.UNIDENTIFIED)
    if evidence.mark is Mark.UNCLEAR:
        return _may_have_run(Basis.UNCLEAR_MARK)
    if evidence.is_signed:
        return _may_have_run(Basis.SIGNED_REJECTION)
    if evidence.status not in _REJECTION_STATUSES:
        return _may_have_run(Basis.MARK_BESIDE_STATUS)
    return Judgement(
        verdicts.RunVerdict.NOT_RUN,
        Basis.MISDIRECTED if is_misdirected else Basis.REJECTED,
    )


def is_contradictory(evidence: RunEvidence) -> bool:
    """Returns whether a response is a rejection by one sign and not by all."""
    is_misdirected = evidence.status == http.HTTPStatus.MISDIRECTED_REQUEST
    has_sign = evidence.mark is not Mark.ABSENT or is_misdirected
    return has_sign and (
        judge(evidence).verdict is not verdicts.RunVerdict.NOT_RUN
    )


def _may_have_run(basis: Basis) -> Judgement:
    return Judgement(verdicts.RunVerdict.MAY_HAVE_RUN, basis)
