"""Exchanges the host list and load reports with peers.

Also provides the codec of the session pins that peers query.
"""

from lycheegw.coordination import membership
from lycheegw.coordination import report_polling
from lycheegw.coordination import session_pins
from lycheegw.protocol import gossip_codec
from lycheegw.transport import peer_bus

__all__ = ["PIN_CODEC", "register"]

_HOSTS_TOPIC = "hosts"
_REPORTS_TOPIC = "reports"

PIN_CODEC = session_pins.PinCodec(
    gossip_codec.encode_pin_query,
    gossip_codec.decode_pin_query,
    gossip_codec.encode_pin,
    gossip_codec.decode_pin,
)


def register(
    peers: peer_bus.GrpcPeerBus,
    members: membership.Membership,
    load_reports: report_polling.ReportPoller,
) -> None:
    """Registers the two topics, which are exchanged with the neighbours."""

    def hosts_for(node_id: str) -> bytes | None:
        update = members.hosts.update_for(node_id)
        return (
            None
            if update is None
            else gossip_codec.encode_host_list_update(update)
        )

    def merge_hosts(node_id: str, payload: bytes) -> None:
        members.merge(node_id, gossip_codec.decode_host_list_update(payload))

    def reports_for(node_id: str) -> bytes | None:
        peer = peers.liveness.peer(node_id)
        zone = "" if peer is None else peer.zone
        updates = load_reports.updates_for(node_id, zone)
        return gossip_codec.encode_reports(updates) if updates else None

    def merge_reports(node_id: str, payload: bytes) -> None:
        updates = gossip_codec.decode_reports(
            payload, load_reports.find_by_short_key
        )
        load_reports.merge(node_id, updates)

    peers.on_delta(_HOSTS_TOPIC, hosts_for, merge_hosts)
    peers.on_delta(_REPORTS_TOPIC, reports_for, merge_reports)
    peers.on_connect(members.hosts.forget_neighbour)
    peers.on_connect(load_reports.forget_neighbour)
