"""Updates the upstreams and nodes of this node from the platform's host list.

In each interval one node of a zone, chosen by rendezvous hashing over the
number of the interval, reads the list and sends the changes to the others. A
node that learns of no read for some intervals reads the list itself.
"""

from collections.abc import Callable
from collections.abc import Sequence

from lycheegw.coordination import host_list
from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.coordination import report_polling
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["Membership", "SetNodes"]

_MAX_INTERVALS_WITHOUT_READ = 3.0
_MAX_INTERVAL_S = 2.0
_BYTES_PER_HOST = 165
_MAX_READ_BYTES_PER_S_PER_NODE = 1200
_KEEP_UNLISTED_S = 30.0

SetNodes = Callable[[Sequence[upstreams.HostEntry]], None]


class Membership:
    """Reads the host list, merges updates of peers and applies the result.

    Attributes:
        hosts: The list as this node knows it.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        client: interfaces.HostsClient,
        polled_reports: report_polling.ReportPoller,
        set_nodes: SetNodes,
        live_nodes: report_polling.LiveNodes,
        send_soon: Callable[[], None],
    ):
        self.hosts = host_list.HostList()
        self._state = state
        self._client = client
        self._reports = polled_reports
        self._set_nodes = set_nodes
        self._live_nodes = live_nodes
        self._send_soon = send_soon
        self._unlisted_s_by_id: dict[str, float] = {}
        self._failed_until_s = 0.0

    async def poll_hosts(self) -> None:
        """Reads the list in turn with the zone's nodes, until cancelled."""
        await self.read_hosts()
        while True:
            interval_s = self._interval_s()
            wall_s = self._state.environment.wall_s()
            await self._state.environment.sleep(
                interval_s - wall_s % interval_s
            )
            if self._is_turn():
                await self.read_hosts()
            else:
                self._apply()

    def _interval_s(self) -> float:
        """Returns the interval between reads in this zone.

        It grows with the list, so that a node reads no more than
        `_MAX_READ_BYTES_PER_S_PER_NODE` on average, up to `_MAX_INTERVAL_S`.
        """
        readers = len(self._live_nodes(self._state.identity.zone))
        size_bytes = len(self.hosts.entries()) * _BYTES_PER_HOST
        rate_limited_s = size_bytes / (readers * _MAX_READ_BYTES_PER_S_PER_NODE)
        shortest_s = self._state.limits.hosts_interval_s
        return max(shortest_s, min(_MAX_INTERVAL_S, rate_limited_s))

    def _is_turn(self) -> bool:
        """Returns whether this node reads the list in this interval."""
        wall_s = self._state.environment.wall_s()
        interval_s = self._interval_s()
        since_read_s = wall_s - self.hosts.read_s
        if since_read_s > _MAX_INTERVALS_WITHOUT_READ * interval_s:
            return True
        nodes = self._live_nodes(self._state.identity.zone)
        interval_number = int(wall_s / interval_s)
        reader_id = rendezvous.order(f"hosts {interval_number}", nodes)[0]
        return reader_id == self._state.identity.node_id

    async def read_hosts(self) -> None:
        """Reads the list once; keeps the known list if that fails."""
        read_s = self._state.environment.wall_s()
        try:
            entries = await self._client.list_hosts()
        except errors.PlatformError:
            self._state.counters.add("hosts.read_failed")
            return
        self._state.counters.add("hosts.read")
        if self.hosts.apply_read(entries, read_s):
            self._send_soon()
        self._apply()

    def merge(self, source: str, update: host_list.HostListUpdate) -> None:
        """Merges an update of the list from a neighbour."""
        wall_s = self._state.environment.wall_s()
        if self.hosts.merge(source, update, wall_s):
            self._apply()
            self._send_soon()

    def _apply(self) -> None:
        """Updates the nodes and the table of upstreams from the list."""
        entries = self.hosts.entries()
        if self.hosts.read_s == 0.0:
            return
        self._set_nodes(entries)
        listed = _last_by_address(
            [
                entry
                for entry in entries
                if entry.role is not upstreams.HostRole.NODE
            ]
        )
        kept = self._unlisted_to_keep({entry.host_id for entry in listed})
        table = self._state.upstreams
        wanted = [*listed, *kept]
        if [each.entry for each in table.by_id.values()] != wanted:
            table.replace_entries(wanted)
        kept_ids = {entry.host_id for entry in kept}
        for upstream in table.by_id.values():
            upstream.is_listed = upstream.entry.host_id not in kept_ids
            self._reports.set_missing_report(upstream)

    def _unlisted_to_keep(
        self, listed_ids: set[str]
    ) -> list[upstreams.HostEntry]:
        """Returns removed entries whose upstreams still send load reports.

        The list can be wrong, so an upstream that vanished without having
        announced that it leaves is kept for `_KEEP_UNLISTED_S`.
        """
        now_s = self._state.environment.monotonic_s()
        self._unlisted_s_by_id = {
            upstream_id: self._unlisted_s_by_id.get(upstream_id, now_s)
            for upstream_id in self._state.upstreams.by_id
            if upstream_id not in listed_ids
        }
        return [
            self._state.upstreams.by_id[upstream_id].entry
            for upstream_id, since_s in self._unlisted_s_by_id.items()
            if self._is_kept(upstream_id, now_s - since_s)
        ]

    def _is_kept(self, upstream_id: str, unlisted_s: float) -> bool:
        upstream = self._state.upstreams.by_id[upstream_id]
        now_s = self._state.environment.monotonic_s()
        return (
            not upstream.entry.is_leaving
            and not upstream.is_excluded(now_s)
            and upstream.report is not None
            and unlisted_s <= _KEEP_UNLISTED_S
        )


def _last_by_address(
    entries: Sequence[upstreams.HostEntry],
) -> list[upstreams.HostEntry]:
    """Returns one entry for each address: the last one on the list.

    The list may still have the old host of an address that was reused.
    """
    by_address = {entry.address: entry for entry in entries}
    return list(by_address.values())
