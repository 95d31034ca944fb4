"""The verdict over all attempts of a request."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lycheegw.state import verdicts

NOT_RUN = verdicts.RunVerdict.NOT_RUN


# Guards against a refusal that promises that nothing ran after an attempt whose
# end was not recorded.
def test_attempt_without_an_end_may_have_run() -> None:
    ledger = verdicts.RunLedger()
    ledger.begin()
    assert ledger.verdict is verdicts.RunVerdict.MAY_HAVE_RUN
    ledger.begin()
    ledger.end(NOT_RUN)
    assert ledger.verdict is verdicts.RunVerdict.MAY_HAVE_RUN
    assert ledger.run_count == 1


# Guards against a rejection that hides the run of an earlier attempt.
def test_rejection_does_not_lower_the_verdict() -> None:
    ledger = verdicts.RunLedger()
    ledger.begin()
    ledger.end(verdicts.RunVerdict.RAN)
    ledger.begin()
    ledger.end(NOT_RUN)
    assert ledger.verdict is verdicts.RunVerdict.RAN


def test_failure_before_the_first_byte_is_no_run() -> None:
    ledger = verdicts.RunLedger()
    ledger.end(NOT_RUN)
    assert ledger.verdict is NOT_RUN
    assert ledger.run_count == 0


# Guards against any order of attempts, ends and hand-overs after which a run is
# denied.
class LedgerMachine(stateful.RuleBasedStateMachine):
    """Compares a ledger with what happened at the upstreams."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = verdicts.RunLedger()
        self.is_open = False
        self.may_have_run = False

    @stateful.rule()
    def begin(self) -> None:
        self.may_have_run |= self.is_open
        self.is_open = True
        self.ledger.begin()

    @stateful.rule(verdict=strategies.sampled_from(verdicts.RunVerdict))
    def end(self, verdict: verdicts.RunVerdict) -> None:
        self.may_have_run |= verdict is not NOT_RUN
        self.is_open = False
        self.ledger.end(verdict)

    @stateful.invariant()
    def verdict_is_not_run_only_if_nothing_can_have_run(self) -> None:
        expected = not (self.may_have_run or self.is_open)
        assert (self.ledger.verdict is NOT_RUN) == expected


LedgerMachine.TestCase.settings = hypothesis.settings(
    max_examples=50, deadline=None
)
TestLedgerMachine = LedgerMachine.TestCase
