"""Encoding of idempotency key messages between nodes and in the log."""

import base64
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from lycheegw.coordination import key_messages
from lycheegw.protocol.pb import keys_pb2

__all__ = ["CODEC"]


def _transition_message(transition: key_messages.KeyTransition) -> Any:
    return keys_pb2.Item(**transition._asdict())


def _decode_transition(message: Any) -> key_messages.KeyTransition:
    return key_messages.KeyTransition(
        key_messages.TransitionKind(message.kind),
        message.key,
        message.claim,
        message.fingerprint,
        message.owner,
        message.result,
    )


def _encode_transitions(
    transitions: Sequence[key_messages.KeyTransition],
) -> bytes:
    batch = keys_pb2.Batch(
        items=[_transition_message(transition) for transition in transitions]
    )
    return bytes(batch.SerializeToString())


def _decode_transitions(payload: bytes) -> Sequence[key_messages.KeyTransition]:
    batch = keys_pb2.Batch.FromString(payload)
    return [_decode_transition(message) for message in batch.items]


def _encode_entry(
    transitions: Sequence[key_messages.KeyTransition], previous_s: float
) -> Mapping[str, Any]:
    batch = base64.b64encode(_encode_transitions(transitions)).decode()
    return {"batch": batch, "previous_s": previous_s}


def _decode_entry(
    data: Mapping[str, Any],
) -> Sequence[key_messages.KeyTransition]:
    return _decode_transitions(base64.b64decode(data["batch"]))


def _decode_previous_s(data: Mapping[str, Any]) -> float:
    return float(data["previous_s"])


def _encode_replies(
    commit_replies: Sequence[key_messages.CommitReply],
) -> bytes:
    messages = [
        keys_pb2.Answer(
            is_logged=commit_reply.is_logged,
            is_current=commit_reply.is_current,
            status=keys_pb2.Status(**commit_reply.status._asdict()),
        )
        for commit_reply in commit_replies
    ]
    return bytes(keys_pb2.Answers(answers=messages).SerializeToString())


def _decode_status(message: Any) -> key_messages.KeyStatus:
    return key_messages.KeyStatus(
        key_messages.KeyState(message.state),
        message.claim,
        message.fingerprint,
        message.owner,
        message.result,
    )


def _decode_replies(payload: bytes) -> Sequence[key_messages.CommitReply]:
    return [
        key_messages.CommitReply(
            message.is_logged,
            message.is_current,
            _decode_status(message.status),
        )
        for message in keys_pb2.Answers.FromString(payload).answers
    ]


def _encode_owner_query(query: key_messages.OwnerQuery) -> bytes:
    message = keys_pb2.OwnerQuery(key=query.key, claim=query.claim)
    return bytes(message.SerializeToString())


def _decode_owner_query(payload: bytes) -> key_messages.OwnerQuery:
    message = keys_pb2.OwnerQuery.FromString(payload)
    return key_messages.OwnerQuery(message.key, message.claim)


def _encode_owner_reply(reply: key_messages.OwnerReply) -> bytes:
    message = keys_pb2.OwnerReply(is_running=reply.is_running)
    if reply.outcome is not None:
        message.outcome.CopyFrom(_transition_message(reply.outcome))
    return bytes(message.SerializeToString())


def _decode_owner_reply(payload: bytes) -> key_messages.OwnerReply:
    message = keys_pb2.OwnerReply.FromString(payload)
    outcome = (
        _decode_transition(message.outcome)
        if message.HasField("outcome")
        else None
    )
    return key_messages.OwnerReply(message.is_running, outcome)


CODEC = key_messages.Codec(
    _encode_entry,
    _decode_entry,
    _decode_previous_s,
    _encode_transitions,
    _decode_transitions,
    _encode_replies,
    _decode_replies,
    _encode_owner_query,
    _decode_owner_query,
    _encode_owner_reply,
    _decode_owner_reply,
)
