"""Protobuf encoding of the reports of nodes that are cut off."""

from lycheegw.coordination import reach_reports
from lycheegw.protocol.pb import reach_pb2

__all__ = ["CODEC"]


def _encode(reports: list[reach_reports.Report]) -> bytes:
    message = reach_pb2.Batch(
        reports=[
            reach_pb2.Report(
                node_id=report.node_id,
                started_ms=report.started_ms,
                sequence=report.sequence,
                age_ms=max(0, int(report.age_s * 1000)),
                is_cut_off=report.is_cut_off,
            )
            for report in reports
        ]
    )
    return bytes(message.SerializeToString())


def _decode(payload: bytes) -> list[reach_reports.Report]:
    return [
        reach_reports.Report(
            report.node_id,
            report.started_ms,
            report.sequence,
            report.age_ms / 1000,
            report.is_cut_off,
        )
        for report in reach_pb2.Batch.FromString(payload).reports
    ]


CODEC = reach_reports.Codec(_encode, _decode)
