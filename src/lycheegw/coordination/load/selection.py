"""Selects one of the candidates of a request by what is expected of each.

Many nodes select at the same time by figures that are a little old. A policy
keeps them from taking the same upstream.
"""

from collections.abc import Callable
from collections.abc import Sequence

__all__ = ["Policy", "first_as_good"]

# Age beyond which figures don't widen a choice any further, in seconds.
_MAX_AGE_S = 0.2

# Returns the index of the candidate to take. The arguments are the cost of each
# candidate in seconds, the part of it that one with the shared prefix saves,
# and the age of the figures in seconds. The candidates are in order of
# preference.
Policy = Callable[[Sequence[float], Sequence[float], float], int]


def first_as_good(
    costs_s: Sequence[float], misses_s: Sequence[float], age_s: float
) -> int:
    """Returns the first candidate that is as good as the best one.

    A candidate counts as if it had the shared prefix: if it is taken now, it is
    taken again for this prefix, so that the prefix isn't read at others too.
    The order is another one for each prefix, so that nodes spread over the
    candidates that are as good. An upstream works off its backlog while a
    figure ages, so figures can't tell costs apart that differ by less than
    their age.
    """
    bound_s = min(costs_s) + min(age_s, _MAX_AGE_S)
    return next(
        rank
        for rank, cost_s in enumerate(costs_s)
        if cost_s - misses_s[rank] <= bound_s
    )
