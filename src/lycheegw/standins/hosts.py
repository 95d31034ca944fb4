"""Stand-in for the platform's list of hosts, which lags behind changes."""

from collections.abc import Sequence
import json
import time
from typing import Any

from lycheegw.standins import base
from lycheegw.transport import http_server

__all__ = ["FAULTS", "HostsStandIn"]

FAULTS = {"lag_s": 0.0}


class HostsStandIn(base.StandIn):
    """The list of hosts: GET /hosts, PUT and DELETE /hosts/ID."""

    def __init__(
        self,
        address: str,
        hosts: Sequence[dict[str, Any]] = (),
        shared: "HostsStandIn | None" = None,
    ):
        """Serves its own list, or the list of `shared` with separate faults."""
        super().__init__(address, FAULTS, threads=4)
        self._snapshots: list[tuple[float, dict[str, Any]]] = [
            (0.0, {host["host_id"]: host for host in hosts})
        ]
        if shared is not None:
            self._snapshots = shared._snapshots

    @property
    def host_by_id(self) -> dict[str, Any]:
        """The current hosts, without the lag."""
        return self._snapshots[-1][1]

    def put(self, host: dict[str, Any]) -> None:
        """Adds or replaces a host."""
        self._add_snapshot(self.host_by_id | {host["host_id"]: host})

    def remove(self, host_id: str) -> None:
        """Removes a host if it is listed."""
        remaining = dict(self.host_by_id)
        remaining.pop(host_id, None)
        self._add_snapshot(remaining)

    def _add_snapshot(self, host_by_id: dict[str, Any]) -> None:
        self._snapshots.append((time.monotonic(), host_by_id))
        del self._snapshots[:-100]

    def _lagging_hosts(self) -> dict[str, Any]:
        """Returns the list as it was `lag_s` ago."""
        visible_until_s = time.monotonic() - self.faults["lag_s"]
        visible = [
            hosts for at_s, hosts in self._snapshots if at_s <= visible_until_s
        ]
        return visible[-1] if visible else {}

    async def answer(self, exchange: http_server.Exchange) -> None:
        """Applies a change, if any, and answers with the list."""
        request = exchange.request
        host_id = request.path.removeprefix("/hosts").strip("/")
        if request.method == "PUT":
            self.put(json.loads(request.body))
        elif request.method == "DELETE":
            self.remove(host_id)
        hosts = list(self._lagging_hosts().values())
        await exchange.send_json(200, {"hosts": hosts})
