"""Protobuf encoding of the backlog reports that nodes exchange."""

from lycheegw.coordination import backlogs
from lycheegw.protocol.pb import backlogs_pb2

__all__ = ["CODEC"]

# Longest backlog in a message, in milliseconds; the field has 32 bits.
_MAX_BACKLOG_MS = 2**32 - 1


def _encode(reports: list[backlogs.Report]) -> bytes:
    message = backlogs_pb2.News(
        reports=[
            backlogs_pb2.Report(
                node_id=report.node_id,
                started_ms=report.started_ms,
                sequence=report.sequence,
                age_ms=max(0, int(report.age_s * 1000)),
                backlogs=[
                    backlogs_pb2.Backlog(
                        upstream=upstream,
                        milliseconds=_milliseconds(seconds),
                    )
                    for upstream, seconds in report.seconds_by_upstream.items()
                ],
            )
            for report in reports
        ]
    )
    return bytes(message.SerializeToString())


def _milliseconds(seconds: float) -> int:
    return int(max(0.0, min(seconds * 1000, _MAX_BACKLOG_MS)))


def _decode(payload: bytes) -> list[backlogs.Report]:
    return [
        backlogs.Report(
            report.node_id,
            report.started_ms,
            report.sequence,
            report.age_ms / 1000,
            {
                each.upstream: each.milliseconds / 1000
                for each in report.backlogs
            },
        )
        for report in backlogs_pb2.News.FromString(payload).reports
    ]


CODEC = backlogs.Codec(_encode, _decode)
