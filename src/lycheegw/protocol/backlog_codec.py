"""Protobuf encoding of the backlog reports that nodes exchange."""

from lycheegw.coordination import backlogs
from lycheegw.protocol.pb import backlogs_pb2

__all__ = ["CODEC"]


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
                        milliseconds=max(0, int(seconds * 1000)),
                    )
                    for upstream, seconds in report.seconds_by_upstream.items()
                ],
            )
            for report in reports
        ]
    )
    return bytes(message.SerializeToString())


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
