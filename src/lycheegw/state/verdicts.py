"""The verdict on whether a request may have run at an upstream."""

import enum

__all__ = ["RunLedger", "RunVerdict"]


class RunVerdict(enum.Enum):
    """Whether an upstream ran a request, as far as the router can tell."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def max_with(self, other: "RunVerdict") -> "RunVerdict":
        """Returns the one of two verdicts that makes a run more certain."""
        order = list(RunVerdict)
        return max(self, other, key=order.index)


class RunLedger:
    """The verdict on a request over all its attempts.

    An attempt that was begun may have run unless it ends with another verdict.
    The verdict never becomes less certain of a run.

    Attributes:
        run_count: Ended attempts that may have run.
    """

    def __init__(self) -> None:
        self.run_count = 0
        self._ended = RunVerdict.NOT_RUN
        self._is_open = False

    @property
    def verdict(self) -> RunVerdict:
        """The verdict, including an attempt that has not ended."""
        if self._is_open:
            return self._ended.max_with(RunVerdict.MAY_HAVE_RUN)
        return self._ended

    def begin(self) -> None:
        """Starts an attempt, before its first byte is written."""
        if self._is_open:
            self.end(RunVerdict.MAY_HAVE_RUN)
        self._is_open = True

    def end(self, verdict: RunVerdict) -> None:
        """Ends the attempt that was begun last, if it has not ended."""
        if self._is_open and verdict is not RunVerdict.NOT_RUN:
            self.run_count += 1
        self._is_open = False
        self._ended = self._ended.max_with(verdict)
