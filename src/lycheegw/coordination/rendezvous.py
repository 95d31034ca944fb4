"""Rendezvous hashing: assigns keys to members without coordination.

Nodes that know the same members compute the same order for a key.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import xxhash

__all__ = ["first", "order"]


def order(key: str, members: Iterable[str]) -> Sequence[str]:
    """Returns `members` in order of their priority for `key`."""
    return sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f"{key}\n{member}".encode()),
    )


def first(key: str, members: Iterable[str]) -> str | None:
    """Returns the member with priority for `key`, None without members."""
    ordered = order(key, members)
    return ordered[0] if ordered else None
