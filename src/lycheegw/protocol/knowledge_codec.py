"""Serialised forms of what the nodes tell each other."""

from collections.abc import Sequence

from lycheegw.coordination import host_list
from lycheegw.coordination import liveness
from lycheegw.coordination import report_polling
from lycheegw.protocol.pb import knowledge_pb2
from lycheegw.state import sessions
from lycheegw.state import upstreams

__all__ = [
    "decode_hosts",
    "decode_pin",
    "decode_query",
    "decode_reports",
    "decode_rumours",
    "encode_hosts",
    "encode_pin",
    "encode_query",
    "encode_reports",
    "encode_rumours",
]


def encode_rumours(rumours: Sequence[liveness.NodeUpdate]) -> bytes:
    """Returns rumours as bytes."""
    message = knowledge_pb2.Rumours()
    for rumour in rumours:
        message.rumours.add(
            node_id=rumour.peer.node_id,
            incarnation=rumour.peer.incarnation,
            is_leaving=rumour.is_leaving,
            accusers=sorted(rumour.accusers),
            zone=rumour.peer.zone,
            address=rumour.peer.address,
        )
    return message.SerializeToString()


def decode_rumours(payload: bytes) -> list[liveness.NodeUpdate]:
    """Returns the rumours in `payload`; raises DecodeError."""
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


def encode_hosts(news: host_list.HostListUpdate) -> bytes:
    """Returns changes of the list as bytes."""
    message = knowledge_pb2.HostChanges(read_s=news.read_s)
    for change in news.changes:
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


def decode_hosts(payload: bytes) -> host_list.HostListUpdate:
    """Returns the changes in `payload`; raises ValueError or DecodeError."""
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


def encode_reports(news: Sequence[report_polling.ReportUpdate]) -> bytes:
    """Returns load reports as bytes."""
    # The times of polls are sent by their distance, which is shorter.
    newest_ms = max((each.polled_ms for each in news), default=0)
    message = knowledge_pb2.UpstreamReports(newest_ms=newest_ms)
    for each in news:
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
    payload: bytes, known: report_polling.FindReport
) -> list[report_polling.ReportUpdate]:
    """Returns the reports in `payload`; raises DecodeError.

    Args:
        payload: The message.
        known: Returns id and report that this node holds by key, or None.
    """
    message = knowledge_pb2.UpstreamReports.FromString(payload)
    decoded = (_report(each, message.newest_ms, known) for each in message.news)
    return [each for each in decoded if each is not None]


def _report(
    message: knowledge_pb2.UpstreamNews,
    newest_ms: int,
    known: report_polling.FindReport,
) -> report_polling.ReportUpdate | None:
    """Returns one report; None where its description is missing."""
    is_described = message.HasField("description")
    if is_described:
        upstream_id = message.description.upstream_id
        versions = frozenset(message.description.versions)
        started_at_s = message.description.started_at_s
    else:
        held = known(message.key)
        if held is None:
            return None
        upstream_id, report = held
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


def encode_query(key: sessions.SessionKey) -> bytes:
    """Returns the question for a session's pin as bytes."""
    message = knowledge_pb2.PinQuery(**key._asdict())
    return message.SerializeToString()


def decode_query(payload: bytes) -> sessions.SessionKey:
    """Returns the session that is asked for; raises DecodeError."""
    message = knowledge_pb2.PinQuery.FromString(payload)
    return sessions.SessionKey(
        message.organisation, message.session, message.model
    )


def encode_pin(pin: sessions.SessionClaim | None) -> bytes:
    """Returns a pin as bytes, empty for None."""
    if pin is None:
        return b""
    message = knowledge_pb2.Pin(**pin._asdict())
    return message.SerializeToString()


def decode_pin(payload: bytes) -> sessions.SessionClaim | None:
    """Returns the pin in `payload`, None where it is empty."""
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
