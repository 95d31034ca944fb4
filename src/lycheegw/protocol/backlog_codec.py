"""Protobuf encoding of reports and sums of backlogs."""

from collections.abc import Mapping

from google.protobuf import message as protobuf_message

from lycheegw.coordination.load import backlog_aggregator
from lycheegw.coordination.load import backlog_sums
from lycheegw.protocol.pb import backlogs_pb2
from lycheegw.state import errors

__all__ = ["CODEC"]


# Largest figure in a message, of 32 bits. A sum may exceed it.
_MAX_VALUE = 2**32 - 1


def _encode_figures(
    value_by_key: Mapping[backlog_sums.Key, int],
    message: backlogs_pb2.Report | backlogs_pb2.Sums,
) -> None:
    """Adds figures to a message."""
    speed_by_upstream: dict[str, backlogs_pb2.Speed] = {}
    for key, value in value_by_key.items():
        bounded = min(value, _MAX_VALUE)
        if isinstance(key, str):
            message.backlogs.add(upstream=key, milliseconds=bounded)
        elif isinstance(key, backlog_sums.OrganisationKey):
            message.organisations.add(
                service=key.service,
                organisation=key.organisation,
                milliseconds=bounded,
            )
        else:
            speed = speed_by_upstream.setdefault(
                key.upstream, backlogs_pb2.Speed(upstream=key.upstream)
            )
            if key.is_rate:
                speed.rates = bounded
            else:
                speed.number = bounded
    message.speeds.extend(speed_by_upstream.values())


def _decode_work(
    message: backlogs_pb2.Report | backlogs_pb2.Sums,
) -> dict[backlog_sums.Key, int]:
    figures: dict[backlog_sums.Key, int] = {
        each.upstream: each.milliseconds for each in message.backlogs
    }
    for each in message.organisations:
        key = backlog_sums.OrganisationKey(each.service, each.organisation)
        figures[key] = each.milliseconds
    return figures


def _decode_speeds(
    message: backlogs_pb2.Report | backlogs_pb2.Sums,
) -> dict[backlog_sums.Key, int]:
    figures: dict[backlog_sums.Key, int] = {}
    for each in message.speeds:
        if each.HasField("number"):
            key = backlog_sums.SpeedKey(each.upstream, False)
            figures[key] = each.number
        if each.HasField("rates"):
            key = backlog_sums.SpeedKey(each.upstream, True)
            figures[key] = each.rates
    return figures


def _encode_query(query: backlog_aggregator.Query) -> bytes:
    report = query.report
    message = backlogs_pb2.Query(
        is_zone_only=report is None,
        known_started_ms=query.known_started_ms,
        known_sequence=query.known_sequence,
    )
    if report is not None:
        message.report.node_id = report.node_id
        message.report.started_ms = report.started_ms
        message.report.sequence = report.sequence
        message.report.has_speeds = report.speeds is not None
        _encode_figures(
            {**report.value_by_key, **(report.speeds or {})}, message.report
        )
    return bytes(message.SerializeToString())


def _decode_query(payload: bytes) -> backlog_aggregator.Query:
    try:
        message = backlogs_pb2.Query.FromString(payload)
    except protobuf_message.DecodeError as error:
        raise errors.PeerMessageError(f"question: {error}") from error
    report = None
    if not message.is_zone_only:
        report = backlog_aggregator.Report(
            message.report.node_id,
            message.report.started_ms,
            message.report.sequence,
            _decode_work(message.report),
            _decode_speeds(message.report)
            if message.report.has_speeds
            else None,
        )
    return backlog_aggregator.Query(
        report, message.known_started_ms, message.known_sequence
    )


def _encode_sums(sums: backlog_sums.Sums) -> bytes:
    message = backlogs_pb2.Sums(
        started_ms=sums.started_ms,
        sequence=sums.sequence,
        is_complete=sums.is_complete,
    )
    _encode_figures(sums.value_by_key, message)
    return bytes(message.SerializeToString())


def _decode_sums(payload: bytes) -> backlog_sums.Sums:
    try:
        message = backlogs_pb2.Sums.FromString(payload)
    except protobuf_message.DecodeError as error:
        raise errors.PeerMessageError(f"sums: {error}") from error
    return backlog_sums.Sums(
        message.started_ms,
        message.sequence,
        message.is_complete,
        {**_decode_work(message), **_decode_speeds(message)},
    )


CODEC = backlog_aggregator.Codec(
    _encode_query, _decode_query, _encode_sums, _decode_sums
)
