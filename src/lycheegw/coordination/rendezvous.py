"""Rendezvous hashing: assigns keys to members without coordination.

Nodes that know the same members compute the same order for a key.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

import xxhash

__all__ = ["first", "order", "weighted_order"]

# Hashes have 64 bits.
_HASHES = 2.0**64


def order(key: str, members: Iterable[str]) -> Sequence[str]:
    """Returns `members` in order of their priority for `key`."""
    return sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f"{key}\n{member}".encode()),
    )


def weighted_order(
    key: str, weight_by_member: Mapping[str, float]
) -> Sequence[str]:
    """Returns the members in order of their priority for `key`.

    A member is the first one of a share of the keys that is proportional to
    its weight; a change of a weight moves few keys. Weights are above 0.
    """
    prefix, log, digest = f"{key}\n", math.log, xxhash.xxh64_intdigest
    rank_by_member = {
        member: -log((digest((prefix + member).encode()) + 1) / _HASHES)
        / weight
        for member, weight in weight_by_member.items()
    }
    return sorted(rank_by_member, key=rank_by_member.__getitem__)


def first(key: str, members: Iterable[str]) -> str | None:
    """Returns the member with priority for `key`, None without members."""
    ordered = order(key, members)
    return ordered[0] if ordered else None
