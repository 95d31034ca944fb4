"""Protobuf encoding of the messages about suspect requests."""

from lycheegw.coordination import crash_table
from lycheegw.coordination import suspects
from lycheegw.protocol.pb import suspects_pb2

__all__ = ["CODEC"]


def _encode_update(update: crash_table.SuspectUpdate) -> bytes:
    message = suspects_pb2.News(
        strikes=[
            suspects_pb2.Strike(**crash._asdict()) for crash in update.crashes
        ],
        cleared=update.cleared,
    )
    return bytes(message.SerializeToString())


def _decode_update(payload: bytes) -> crash_table.SuspectUpdate:
    message = suspects_pb2.News.FromString(payload)
    return crash_table.SuspectUpdate(
        tuple(
            crash_table.Crash(
                each.fingerprint,
                each.upstream,
                each.started_at_s,
                max(0.0, each.age_s),
            )
            for each in message.strikes
        ),
        tuple(message.cleared),
    )


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
    _encode_run_request,
    _decode_run_request,
    _encode_grant,
    _decode_grant,
)
