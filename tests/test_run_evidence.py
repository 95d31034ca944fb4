"""Verdicts by response heads, over all combinations of what these say."""

import itertools

import pytest

from lycheegw.state import run_evidence
from lycheegw.state import verdicts

NOT_RUN = verdicts.RunVerdict.NOT_RUN
PROMISES = {408, 421, 429, 503}
REJECTIONS = {400, 421, 429, 503}
STATUSES = (200, 204, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504)


def _evidence(
    status: int,
    echo: run_evidence.Echo = run_evidence.Echo.OWN,
    mark: run_evidence.Mark = run_evidence.Mark.NOT_RUN,
    is_signed: bool = False,
) -> run_evidence.RunEvidence:
    return run_evidence.RunEvidence(
        status, echo, mark, is_signed, status in PROMISES
    )


@pytest.mark.parametrize("status", [400, 429, 503])
def test_marked_rejection_of_this_request_has_not_run(status: int) -> None:
    judgement = run_evidence.judge(_evidence(status))
    assert judgement.verdict is NOT_RUN
    assert judgement.basis is run_evidence.Basis.REJECTED


def test_misdirected_request_has_not_run_without_a_mark() -> None:
    evidence = _evidence(421, mark=run_evidence.Mark.ABSENT)
    judgement = run_evidence.judge(evidence)
    assert judgement.verdict is NOT_RUN
    assert judgement.basis is run_evidence.Basis.MISDIRECTED


# Guards against a verdict of not run on evidence that something contradicts, or
# that is about another request.
def test_only_a_rejection_that_nothing_contradicts_has_not_run() -> None:
    for status, echo, mark, is_signed in itertools.product(
        STATUSES, run_evidence.Echo, run_evidence.Mark, (False, True)
    ):
        evidence = _evidence(status, echo, mark, is_signed)
        is_rejection = (
            echo is run_evidence.Echo.OWN
            and not is_signed
            and (
                (mark is run_evidence.Mark.NOT_RUN and status in REJECTIONS)
                or (mark is run_evidence.Mark.ABSENT and status == 421)
            )
        )
        judgement = run_evidence.judge(evidence)
        assert (judgement.verdict is NOT_RUN) == is_rejection, evidence


# Guards against an answer of which some part says that nothing ran.
def test_rejection_by_one_sign_only_is_contradictory() -> None:
    assert run_evidence.is_contradictory(_evidence(200))
    assert run_evidence.is_contradictory(_evidence(503, is_signed=True))
    assert not run_evidence.is_contradictory(_evidence(503))
    assert not run_evidence.is_contradictory(
        _evidence(200, mark=run_evidence.Mark.ABSENT, is_signed=True)
    )
