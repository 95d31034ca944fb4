"""The fold of key transitions into key states."""

from lycheegw.coordination import key_messages
from lycheegw.coordination import key_table

KEY = b"k" * 16


def transition(
    kind: key_messages.TransitionKind, claim: int
) -> key_messages.KeyTransition:
    return key_messages.KeyTransition(kind, KEY, claim, 7, "n1")


def test_claim_that_follows_its_own_release_is_ignored() -> None:
    table = key_table.KeyTable()
    table.apply(0, 10.0, transition(key_messages.TransitionKind.RELEASE, 1))
    table.apply(1, 11.0, transition(key_messages.TransitionKind.CLAIM, 1))
    assert table.status(KEY).state is key_messages.KeyState.RELEASED
    table.apply(2, 12.0, transition(key_messages.TransitionKind.CLAIM, 2))
    assert table.status(KEY).claim == 2


def test_key_expires_by_log_time() -> None:
    table = key_table.KeyTable()
    table.apply(0, 10.0, transition(key_messages.TransitionKind.CLAIM, 1))
    table.apply(1, 11.0, transition(key_messages.TransitionKind.DONE, 1))
    expiry_s = 10.0 + key_table.KEY_TTL_S
    table.apply(2, expiry_s, transition(key_messages.TransitionKind.CLAIM, 2))
    assert table.status(KEY).state is key_messages.KeyState.DONE
    table.apply(
        3, expiry_s + 2, transition(key_messages.TransitionKind.CLAIM, 3)
    )
    assert table.status(KEY).claim == 3
    assert len(table) == 1
