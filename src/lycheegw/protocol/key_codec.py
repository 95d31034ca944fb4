"""Protobuf and JSON form of the messages about idempotency keys."""

import base64
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from lycheegw.coordination import key_messages
from lycheegw.protocol.pb import keys_pb2

__all__ = ["CODEC"]


def _item_message(item: key_messages.KeyTransition) -> Any:
    return keys_pb2.Item(**item._asdict())


def _item(message: Any) -> key_messages.KeyTransition:
    return key_messages.KeyTransition(
        key_messages.TransitionKind(message.kind),
        message.key,
        message.claim,
        message.fingerprint,
        message.owner,
        message.result,
    )


def _encode_items(items: Sequence[key_messages.KeyTransition]) -> bytes:
    batch = keys_pb2.Batch(items=[_item_message(item) for item in items])
    return bytes(batch.SerializeToString())


def _decode_items(payload: bytes) -> Sequence[key_messages.KeyTransition]:
    batch = keys_pb2.Batch.FromString(payload)
    return [_item(message) for message in batch.items]


def _encode_entry(
    items: Sequence[key_messages.KeyTransition], previous_s: float
) -> Mapping[str, Any]:
    batch = base64.b64encode(_encode_items(items)).decode()
    return {"batch": batch, "previous_s": previous_s}


def _decode_entry(
    data: Mapping[str, Any],
) -> Sequence[key_messages.KeyTransition]:
    return _decode_items(base64.b64decode(data["batch"]))


def _decode_previous_s(data: Mapping[str, Any]) -> float:
    return float(data["previous_s"])


def _encode_answers(answers: Sequence[key_messages.CommitReply]) -> bytes:
    messages = [
        keys_pb2.Answer(
            is_logged=answer.is_logged,
            is_current=answer.is_current,
            status=keys_pb2.Status(**answer.status._asdict()),
        )
        for answer in answers
    ]
    return bytes(keys_pb2.Answers(answers=messages).SerializeToString())


def _status(message: Any) -> key_messages.KeyStatus:
    return key_messages.KeyStatus(
        key_messages.KeyState(message.state),
        message.claim,
        message.fingerprint,
        message.owner,
        message.result,
    )


def _decode_answers(payload: bytes) -> Sequence[key_messages.CommitReply]:
    return [
        key_messages.CommitReply(
            message.is_logged, message.is_current, _status(message.status)
        )
        for message in keys_pb2.Answers.FromString(payload).answers
    ]


def _encode_query(query: key_messages.OwnerQuery) -> bytes:
    message = keys_pb2.OwnerQuery(key=query.key, claim=query.claim)
    return bytes(message.SerializeToString())


def _decode_query(payload: bytes) -> key_messages.OwnerQuery:
    message = keys_pb2.OwnerQuery.FromString(payload)
    return key_messages.OwnerQuery(message.key, message.claim)


def _encode_reply(reply: key_messages.OwnerReply) -> bytes:
    message = keys_pb2.OwnerReply(is_running=reply.is_running)
    if reply.outcome is not None:
        message.outcome.CopyFrom(_item_message(reply.outcome))
    return bytes(message.SerializeToString())


def _decode_reply(payload: bytes) -> key_messages.OwnerReply:
    message = keys_pb2.OwnerReply.FromString(payload)
    outcome = _item(message.outcome) if message.HasField("outcome") else None
    return key_messages.OwnerReply(message.is_running, outcome)


CODEC = key_messages.Codec(
    _encode_entry,
    _decode_entry,
    _decode_previous_s,
    _encode_items,
    _decode_items,
    _encode_answers,
    _decode_answers,
    _encode_query,
    _decode_query,
    _encode_reply,
    _decode_reply,
)
