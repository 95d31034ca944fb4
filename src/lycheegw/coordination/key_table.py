"""States of the idempotency keys of one stream: a fold over its entries.

The fold depends only on the entries and their log timestamps, so every reader
of a stream decides each claim in the same way.
"""

import struct

from lycheegw.coordination import key_messages

__all__ = ["KEY_TTL_S", "KeyTable"]

KEY_TTL_S = 3600.0

# State, claim, fingerprint, log time of the claim in seconds, offset of the
# entry that set the state, index of the owner.
_ROW = struct.Struct("<BQQIQH")

_STATE_BY_END_KIND = {
    key_messages.TransitionKind.DONE: key_messages.KeyState.DONE,
    key_messages.TransitionKind.MAY_HAVE_RUN: (
        key_messages.KeyState.MAY_HAVE_RUN
    ),
    key_messages.TransitionKind.RELEASE: key_messages.KeyState.RELEASED,
}


class KeyTable:
    """State of each key; a key expires `KEY_TTL_S` after its claim.

    Rows are packed because a coordinator holds a great many of them.

    Attributes:
        now_s: Log time in seconds of the newest entry.
    """

    def __init__(self) -> None:
        self._row_by_key: dict[bytes, bytes] = {}
        self._owners: list[str] = []
        self._index_by_owner: dict[str, int] = {}
        self.now_s = 0.0

    def __len__(self) -> int:
        return len(self._row_by_key)

    def status(self, key: bytes) -> key_messages.KeyStatus:
        """Returns the state of a key, without its stored answer."""
        row = self._row_by_key.get(key)
        if row is None:
            return key_messages.KeyStatus()
        state, claim, fingerprint, _, _, index = _ROW.unpack(row)
        return key_messages.KeyStatus(
            key_messages.KeyState(state),
            claim,
            fingerprint,
            self._owners[index],
        )

    def offset(self, key: bytes) -> int:
        """Returns the offset of the entry that set the state of a known key."""
        return int(_ROW.unpack(self._row_by_key[key])[4])

    def apply(
        self, offset: int, at_s: float, transition: key_messages.KeyTransition
    ) -> None:
        """Applies a transition of the entry at `offset`, appended at `at_s`."""
        self.now_s = max(self.now_s, at_s)
        self._expire()
        if transition.kind is key_messages.TransitionKind.CLAIM:
            self._apply_claim(offset, transition)
        else:
            self._apply_end(offset, transition)

    def _apply_claim(
        self, offset: int, transition: key_messages.KeyTransition
    ) -> None:
        """Gives a free key to the claim; later claims change nothing."""
        status = self.status(transition.key)
        if status.state is key_messages.KeyState.RELEASED:
            if status.claim == transition.claim:
                # The owner abandoned this claim before it reached the log.
                return
        elif status.state is not key_messages.KeyState.UNKNOWN:
            return
        self._store(
            offset, transition, key_messages.KeyState.CLAIMED, self.now_s
        )

    def _apply_end(
        self, offset: int, transition: key_messages.KeyTransition
    ) -> None:
        """Ends the claim that holds the key; only its first end counts.

        The release of an unknown key is stored, so that a claim which reaches
        the log after its own release is ignored.
        """
        status = self.status(transition.key)
        is_release = transition.kind is key_messages.TransitionKind.RELEASE
        is_unknown = (
            status.state is key_messages.KeyState.UNKNOWN and is_release
        )
        is_held = status.state is key_messages.KeyState.CLAIMED
        if is_unknown or (is_held and status.claim == transition.claim):
            at_s = self.now_s if is_unknown else self._claimed_s(transition.key)
            self._store(
                offset, transition, _STATE_BY_END_KIND[transition.kind], at_s
            )

    def _claimed_s(self, key: bytes) -> float:
        return float(_ROW.unpack(self._row_by_key[key])[3])

    def _store(
        self,
        offset: int,
        transition: key_messages.KeyTransition,
        state: key_messages.KeyState,
        at_s: float,
    ) -> None:
        if state is key_messages.KeyState.CLAIMED:
            # Reinserting keeps the rows in order of their claims, so that
            # expiry only looks at the first ones.
            self._row_by_key.pop(transition.key, None)
        self._row_by_key[transition.key] = _ROW.pack(
            state,
            transition.claim,
            transition.fingerprint,
            int(at_s),
            offset,
            self._owner_index(transition.owner),
        )

    def _owner_index(self, owner: str) -> int:
        if owner not in self._index_by_owner:
            self._index_by_owner[owner] = len(self._owners)
            self._owners.append(owner)
        return self._index_by_owner[owner]

    def _expire(self) -> None:
        oldest_s = self.now_s - KEY_TTL_S
        while self._row_by_key:
            key = next(iter(self._row_by_key))
            if self._claimed_s(key) >= oldest_s:
                return
            del self._row_by_key[key]
