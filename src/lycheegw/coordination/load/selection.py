"""Selects one of the candidates of a request by what is expected of each.

Many nodes select at the same time by figures that are a little old. A policy
keeps them from taking the same upstream.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from lycheegw.state import upstreams

__all__ = ["Candidate", "Policy", "first_as_good"]

# Age beyond which figures don't widen a choice any further, in seconds.
_MAX_AGE_S = 1.0


class Candidate(NamedTuple):
    """An upstream, and what is expected if it gets the request.

    Attributes:
        upstream: The upstream.
        wait_s: Wait for the requests queued before it.
        prefill_s: Prefill time of the request.
        miss_s: Part of it that an upstream with the shared prefix saves.
        crossing_s: Wait that is worth as much as crossing zones.
        speed: Time that work takes there, relative to the service's mean; the
            times include it.
    """

    upstream: upstreams.Upstream
    wait_s: float
    prefill_s: float
    miss_s: float = 0.0
    crossing_s: float = 0.0
    speed: float = 1.0

    @property
    def cost_s(self) -> float:
        """Time to the first byte, and what the crossing is worth."""
        return self.wait_s + self.prefill_s + self.crossing_s


# Returns the index of the selected one of several candidates, which are in
# order of preference, by figures of an age in seconds.
Policy = Callable[[Sequence[Candidate], float], int]


def first_as_good(candidates: Sequence[Candidate], age_s: float) -> int:
    """Returns the first candidate that is as good as the best one.

    A candidate counts as if it had the shared prefix: if it is taken now, it is
    taken again for this prefix, so that the prefix isn't read at others too.
    The order is another one for each prefix, so that nodes spread over the
    candidates that are as good. An upstream works off its backlog while a
    figure ages, so figures can't tell costs apart that differ by less than
    their age.
    """
    bound_s = min(each.cost_s for each in candidates) + min(age_s, _MAX_AGE_S)
    return next(
        rank
        for rank, each in enumerate(candidates)
        if each.cost_s - each.miss_s <= bound_s
    )
