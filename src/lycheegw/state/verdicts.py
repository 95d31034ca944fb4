"""The verdict on whether a request may have run at an upstream."""

import enum

__all__ = ["RunVerdict"]


class RunVerdict(enum.Enum):
    """Whether an upstream ran a request, as far as the router can tell."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def max_with(self, other: "RunVerdict") -> "RunVerdict":
        """Returns the one of two verdicts that makes a run more certain."""
        order = list(RunVerdict)
        return max(self, other, key=order.index)
