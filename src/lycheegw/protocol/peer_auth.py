"""Mutual authentication of nodes by the key that all of them share.

The node that opens a stream sends an HMAC over its introduction, the time and
a nonce; the accepting node replies with an HMAC over the same nonce.
"""

import collections
from collections.abc import Mapping
import hashlib
import hmac
from typing import NamedTuple

from lycheegw.coordination import liveness

__all__ = [
    "Introduction",
    "IntroductionVerifier",
    "sign_acceptance",
    "sign_introduction",
    "verify_acceptance",
]

_MAX_CLOCK_SKEW_S = 60.0
_MAX_NONCES = 20_000
_MAX_FIELD_LENGTH = 256


class Introduction(NamedTuple):
    """What the node that opens a stream states about itself.

    Attributes:
        peer: The node.
        is_neighbour: Whether the stream carries deltas besides calls.
        nonce: Random text, unique to the stream.
    """

    peer: liveness.Peer
    is_neighbour: bool
    nonce: str


def _digest(key: str, *parts: str) -> str:
    message = "\n".join(parts).encode()
    return hmac.new(key.encode(), message, hashlib.sha256).hexdigest()


def sign_introduction(
    key: str, introduction: Introduction, wall_s: float
) -> dict[str, str]:
    """Returns the signed metadata with which a node opens a stream."""
    fields = {
        "x-node-id": introduction.peer.node_id,
        "x-zone": introduction.peer.zone,
        "x-address": introduction.peer.address,
        "x-incarnation": str(introduction.peer.incarnation),
        "x-neighbour": "1" if introduction.is_neighbour else "0",
        "x-nonce": introduction.nonce,
        "x-at-s": f"{wall_s:.3f}",
    }
    return fields | {"x-proof": _digest(key, "open", *fields.values())}


def sign_acceptance(key: str, own: liveness.Peer, nonce: str) -> dict[str, str]:
    """Returns the signed metadata with which a node accepts a stream."""
    fields = {
        "x-node-id": own.node_id,
        "x-zone": own.zone,
        "x-incarnation": str(own.incarnation),
    }
    return fields | {"x-proof": _digest(key, "accept", nonce, *fields.values())}


def verify_acceptance(
    key: str, nonce: str, metadata: Mapping[str, object]
) -> liveness.Peer | None:
    """Returns the node that accepted a stream, without its address.

    Returns None if it did not prove that it knows the key.
    """
    names = ("x-node-id", "x-zone", "x-incarnation")
    fields = [str(metadata.get(name, "")) for name in names]
    proof = str(metadata.get("x-proof", ""))
    expected = _digest(key, "accept", nonce, *fields)
    if not hmac.compare_digest(expected.encode(), proof.encode()):
        return None
    return liveness.Peer(fields[0], fields[1], "", int(fields[2]))


class IntroductionVerifier:
    """Verifies introductions and rejects replayed ones."""

    def __init__(self, key: str):
        self._key = key
        self._seen_s_by_nonce: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def verify(
        self, metadata: Mapping[str, object], wall_s: float
    ) -> Introduction | None:
        """Returns the introduction, None if forged, expired or replayed."""
        names = (
            "x-node-id",
            "x-zone",
            "x-address",
            "x-incarnation",
            "x-neighbour",
            "x-nonce",
            "x-at-s",
        )
        fields = [str(metadata.get(name, "")) for name in names]
        if any(len(field) > _MAX_FIELD_LENGTH for field in fields):
            return None
        proof = str(metadata.get("x-proof", ""))
        expected = _digest(self._key, "open", *fields)
        if not hmac.compare_digest(expected.encode(), proof.encode()):
            return None
        node_id, zone, address, incarnation, neighbour, nonce, at_s = fields
        if not self._is_fresh(nonce, float(at_s), wall_s):
            return None
        peer = liveness.Peer(node_id, zone, address, int(incarnation))
        return Introduction(peer, neighbour == "1", nonce)

    def _is_fresh(self, nonce: str, at_s: float, wall_s: float) -> bool:
        if (
            abs(wall_s - at_s) > _MAX_CLOCK_SKEW_S
            or nonce in self._seen_s_by_nonce
        ):
            return False
        self._seen_s_by_nonce[nonce] = wall_s
        while self._is_oldest_droppable(wall_s):
            self._seen_s_by_nonce.popitem(last=False)
        return True

    def _is_oldest_droppable(self, wall_s: float) -> bool:
        oldest_s = next(iter(self._seen_s_by_nonce.values()), wall_s)
        is_old = wall_s - oldest_s > 2 * _MAX_CLOCK_SKEW_S
        return is_old or len(self._seen_s_by_nonce) > _MAX_NONCES
