"""Tells which organisations have more outstanding work than their share.

A share binds only while room is short; admission decides when that is.
"""

from collections.abc import Callable
from collections.abc import Mapping

__all__ = ["Sums", "is_over_share"]

# Times the mean of the others that an organisation may have outstanding: some
# are larger than others, and their requests come in groups.
_TOLERANCE = 4.0
# Fewer organisations, or fewer seconds of one, are no sample: a few long
# prompts make up the sums of a node that is alone.
_MIN_ORGANISATIONS = 4
_FREE_S = 3.0

Sums = Callable[[str], Mapping[str, float]]


def is_over_share(
    organisation: str, seconds_by_organisation: Mapping[str, float]
) -> bool:
    """Returns whether an organisation has far more work than the others."""
    own_s = seconds_by_organisation.get(organisation, 0.0)
    if (
        not organisation
        or len(seconds_by_organisation) < _MIN_ORGANISATIONS
        or own_s <= _FREE_S
    ):
        return False
    others = len(seconds_by_organisation) - 1
    others_s = sum(seconds_by_organisation.values()) - own_s
    return own_s > _TOLERANCE * others_s / others
