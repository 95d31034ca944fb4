"""Protobuf encoding of the messages about suspect requests."""

from collections.abc import Mapping
import math

from lycheegw.coordination import crash_table
from lycheegw.coordination import prompt_parts
from lycheegw.coordination import suspects
from lycheegw.protocol.pb import suspects_pb2

__all__ = ["CODEC"]


def _encode_update(update: suspects.SuspectUpdate) -> bytes:
    message = suspects_pb2.News(
        strikes=[
            suspects_pb2.Strike(**crash._asdict()) for crash in update.crashes
        ],
        cleared=update.cleared,
        verdicts=[
            suspects_pb2.PartVerdict(**verdict._asdict())
            for verdict in update.verdicts
        ],
    )
    return bytes(message.SerializeToString())


def _decode_update(payload: bytes) -> suspects.SuspectUpdate:
    message = suspects_pb2.News.FromString(payload)
    return suspects.SuspectUpdate(
        tuple(
            crash_table.Crash(
                each.fingerprint,
                each.upstream,
                each.started_at_s,
                _age_s(each.age_s),
                tuple(each.prompt_parts),
            )
            for each in message.strikes
        ),
        tuple(message.cleared),
        tuple(
            prompt_parts.PartVerdict(
                each.part_id,
                prompt_parts.PartStatus(each.status),
                each.revision,
                _age_s(each.age_s),
                _age_s(each.crashes_age_s),
            )
            for each in message.verdicts
        ),
    )


def _age_s(value: float) -> float:
    """Returns an age that is not in the future; raises ValueError."""
    if not math.isfinite(value):
        raise ValueError(f"age of {value} s")
    return max(0.0, value)


def _encode_receipt(age_s_by_part: Mapping[str, float]) -> bytes:
    message = suspects_pb2.Receipt(
        answers=[
            suspects_pb2.PartAnswer(part_id=part_id, age_s=age_s)
            for part_id, age_s in age_s_by_part.items()
        ]
    )
    return bytes(message.SerializeToString())


def _decode_receipt(payload: bytes) -> dict[str, float]:
    message = suspects_pb2.Receipt.FromString(payload)
    return {each.part_id: _age_s(each.age_s) for each in message.answers}


def _encode_run_request(request: crash_table.RunRequest) -> bytes:
    return bytes(suspects_pb2.Ask(**request._asdict()).SerializeToString())


def _decode_run_request(payload: bytes) -> crash_table.RunRequest:
    message = suspects_pb2.Ask.FromString(payload)
    return crash_table.RunRequest(
        message.fingerprint,
        message.upstream,
        message.is_release,
        message.seconds,
    )


def _encode_grant(is_granted: bool) -> bytes:
    message = suspects_pb2.Grant(is_granted=is_granted)
    return bytes(message.SerializeToString())


def _decode_grant(payload: bytes) -> bool:
    return bool(suspects_pb2.Grant.FromString(payload).is_granted)


CODEC = suspects.Codec(
    _encode_update,
    _decode_update,
    _encode_receipt,
    _decode_receipt,
    _encode_run_request,
    _decode_run_request,
    _encode_grant,
    _decode_grant,
)
