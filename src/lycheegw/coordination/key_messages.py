"""Defines transitions and states of idempotency keys, and their messages."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import Any
from typing import NamedTuple

__all__ = [
    "FREE_STATES",
    "Codec",
    "CommitReply",
    "KeyState",
    "KeyStatus",
    "KeyTransition",
    "OwnerQuery",
    "OwnerReply",
    "TransitionKind",
]


class TransitionKind(enum.IntEnum):
    """What a transition does to a key."""

    CLAIM = 1
    DONE = 2
    MAY_HAVE_RUN = 3
    RELEASE = 4


class KeyState(enum.IntEnum):
    """State of a key after the log entries applied so far."""

    UNKNOWN = 0
    CLAIMED = 1
    DONE = 2
    MAY_HAVE_RUN = 3
    RELEASED = 4


FREE_STATES = {KeyState.UNKNOWN, KeyState.RELEASED}


class KeyTransition(NamedTuple):
    """A state transition of one key, as the log holds it.

    Attributes:
        kind: What it does to the key.
        key: Digest of organisation and idempotency key, 16 bytes.
        claim: Identifier of the claim, 64 bits.
        fingerprint: Digest of the request, 64 bits.
        owner: Node that made the claim.
        result: JSON of the stored answer, empty if none is stored.
    """

    kind: TransitionKind
    key: bytes
    claim: int
    fingerprint: int
    owner: str
    result: bytes = b""


class KeyStatus(NamedTuple):
    """State of a key, and the claim that it results from."""

    state: KeyState = KeyState.UNKNOWN
    claim: int = 0
    fingerprint: int = 0
    owner: str = ""
    result: bytes = b""


class CommitReply(NamedTuple):
    """A coordinator's reply to one submitted transition.

    Attributes:
        is_logged: Whether the transition is in the log.
        is_current: Whether `status` covers every entry that the log held when
            the coordinator was asked.
        status: State of the key.
    """

    is_logged: bool
    is_current: bool
    status: KeyStatus


class OwnerQuery(NamedTuple):
    """Asks the owner of a claim whether it still runs and how it ended."""

    key: bytes
    claim: int


class OwnerReply(NamedTuple):
    """An owner's reply about one of its claims.

    Attributes:
        is_running: Whether the claimed request is running there now.
        outcome: Transition that ended it, None if the owner does not know.
    """

    is_running: bool
    outcome: KeyTransition | None


class Codec(NamedTuple):
    """Encodes and decodes key messages; the protocol layer provides it.

    An entry of the log carries its transitions and the log time in seconds of
    the entry before it, 0 if there was none.
    """

    encode_entry: Callable[[Sequence[KeyTransition], float], Mapping[str, Any]]
    decode_entry: Callable[[Mapping[str, Any]], Sequence[KeyTransition]]
    decode_previous_s: Callable[[Mapping[str, Any]], float]
    encode_transitions: Callable[[Sequence[KeyTransition]], bytes]
    decode_transitions: Callable[[bytes], Sequence[KeyTransition]]
    encode_commit_replies: Callable[[Sequence[CommitReply]], bytes]
    decode_commit_replies: Callable[[bytes], Sequence[CommitReply]]
    encode_owner_query: Callable[[OwnerQuery], bytes]
    decode_owner_query: Callable[[bytes], OwnerQuery]
    encode_owner_reply: Callable[[OwnerReply], bytes]
    decode_owner_reply: Callable[[bytes], OwnerReply]
