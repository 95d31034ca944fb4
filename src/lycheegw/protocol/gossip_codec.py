"""Protobuf encoding of node, host, load and session updates between nodes."""

from collections.abc import Sequence

from lycheegw.coordination import host_list
from lycheegw.coordination import liveness
from lycheegw.coordination import report_polling
from lycheegw.protocol.pb import knowledge_pb2
from lycheegw.state import sessions
from lycheegw.state import upstreams

__all__ = [
    "decode_host_list_update",
    "decode_node_updates",
    "decode_pin",
    "decode_pin_query",
    "decode_reports",
    "encode_host_list_update",
    "encode_node_updates",
    "encode_pin",
    "encode_pin_query",
    "encode_reports",
]


def encode_node_updates(node_updates: Sequence[liveness.NodeUpdate]) -> bytes:
    """Returns the encoded updates on nodes."""
    message = knowledge_pb2.Rumours()
    for node_update in node_updates:
        message.rumours.add(
            node_id=node_update.peer.node_id,
            incarnation=node_update.peer.incarnation,
            is_leaving=node_update.is_leaving,
            accusers=sorted(node_update.accusers),
            zone=node_update.peer.zone,
            address=node_update.peer.address,
        )
    return message.SerializeToString()


def decode_node_updates(payload: bytes) -> list[liveness.NodeUpdate]:
    """Returns the updates on nodes; raises DecodeError."""
    message = knowledge_pb2.Rumours.FromString(payload)
    return [
        liveness.NodeUpdate(
            liveness.Peer(
                each.node_id, each.zone, each.address, each.incarnation
            ),
            each.is_leaving,
            frozenset(each.accusers),
        )
        for each in message.rumours
    ]


def encode_host_list_update(update: host_list.HostListUpdate) -> bytes:
    """Returns the encoded changes of the host list."""
    message = knowledge_pb2.HostChanges(read_s=update.read_s)
    for change in update.changes:
        entry = change.entry
        message.changes.add(
            host_id=entry.host_id,
            role=entry.role.value,
            pool=entry.pool,
            address=entry.address,
            zone=entry.zone,
            is_leaving=entry.is_leaving,
            honours_fencing=entry.honours_fencing,
            is_gone=change.is_gone,
            seen_s=change.seen_s,
        )
    return message.SerializeToString()


def decode_host_list_update(payload: bytes) -> host_list.HostListUpdate:
    """Returns the changes; raises ValueError or DecodeError."""
    message = knowledge_pb2.HostChanges.FromString(payload)
    return host_list.HostListUpdate(
        message.read_s,
        [
            host_list.HostChange(
                upstreams.HostEntry(
                    each.host_id,
                    upstreams.HostRole(each.role),
                    each.pool,
                    each.address,
                    each.zone,
                    each.is_leaving,
                    each.honours_fencing,
                ),
                each.is_gone,
                each.seen_s,
            )
            for each in message.changes
        ],
    )


def encode_reports(updates: Sequence[report_polling.ReportUpdate]) -> bytes:
    """Returns the encoded load reports."""
    # Poll times are sent relative to the newest one, which takes fewer bytes.
    newest_ms = max((each.polled_ms for each in updates), default=0)
    message = knowledge_pb2.UpstreamReports(newest_ms=newest_ms)
    for each in updates:
        added = message.news.add(
            key=report_polling.short_key(each.upstream_id),
            before_ms=newest_ms - each.polled_ms,
            running=each.report.running,
            queued=each.report.queued,
            completed_total=each.report.completed_total,
            age_ms=int(each.age_s * 1000),
            is_unreachable=each.is_unreachable,
        )
        if each.is_described:
            added.description.upstream_id = each.upstream_id
            added.description.versions.extend(sorted(each.report.versions))
            added.description.started_at_s = each.report.started_at_s
    return message.SerializeToString()


def decode_reports(
    payload: bytes, find_report: report_polling.FindReport
) -> list[report_polling.ReportUpdate]:
    """Returns the load reports; raises DecodeError.

    Args:
        payload: The encoded message.
        find_report: Returns the upstream id and the stored report for a short
            key, or None.
    """
    message = knowledge_pb2.UpstreamReports.FromString(payload)
    decoded = (
        _decode_report(each, message.newest_ms, find_report)
        for each in message.news
    )
    return [each for each in decoded if each is not None]


def _decode_report(
    message: knowledge_pb2.UpstreamNews,
    newest_ms: int,
    find_report: report_polling.FindReport,
) -> report_polling.ReportUpdate | None:
    """Returns one report, None without a sent or stored description."""
    is_described = message.HasField("description")
    if is_described:
        upstream_id = message.description.upstream_id
        versions = frozenset(message.description.versions)
        started_at_s = message.description.started_at_s
    else:
        stored = find_report(message.key)
        if stored is None:
            return None
        upstream_id, report = stored
        versions = report.versions
        started_at_s = report.started_at_s
    return report_polling.ReportUpdate(
        upstream_id,
        newest_ms - message.before_ms,
        upstreams.LoadReport(
            versions,
            message.running,
            message.queued,
            started_at_s,
            message.completed_total,
            0.0,
        ),
        message.age_ms / 1000,
        message.is_unreachable,
        is_described,
    )


def encode_pin_query(key: sessions.SessionKey) -> bytes:
    """Returns the encoded query for the pin of a session."""
    message = knowledge_pb2.PinQuery(**key._asdict())
    return message.SerializeToString()


def decode_pin_query(payload: bytes) -> sessions.SessionKey:
    """Returns the queried session; raises DecodeError."""
    message = knowledge_pb2.PinQuery.FromString(payload)
    return sessions.SessionKey(
        message.organisation, message.session, message.model
    )


def encode_pin(pin: sessions.SessionClaim | None) -> bytes:
    """Returns the encoded pin, empty for None."""
    if pin is None:
        return b""
    message = knowledge_pb2.Pin(**pin._asdict())
    return message.SerializeToString()


def decode_pin(payload: bytes) -> sessions.SessionClaim | None:
    """Returns the pin, None if the payload is empty; raises DecodeError."""
    if not payload:
        return None
    message = knowledge_pb2.Pin.FromString(payload)
    return sessions.SessionClaim(
        message.organisation,
        message.session,
        message.model,
        message.version,
        message.pinned_s,
    )
