"""Stand-in for a plain service with named operations."""

import json
import time
from typing import Any
from typing import NamedTuple

from lycheegw.standins import base
from lycheegw.transport import http_server

__all__ = ["FAULTS", "ServiceSettings", "ServiceStandIn"]

FAULTS = {
    "is_empty": False,
    "crosses_answers": False,
    "truncates": False,
    "loses_answers": False,
}

_WARM_AGE_S = 3600.0


class ServiceSettings(NamedTuple):
    """Settings of a service stand-in.

    Attributes:
        address: "ip:port" to listen on.
        name: Name of the service.
    """

    address: str = "127.0.0.1:0"
    name: str = "deskapp"


class ServiceStandIn(base.StandIn):
    """A service that runs whichever operation the request path names.

    Attributes:
        runs: The operations that were run, in order.
        running: Number of running requests that the report shows.
    """

    def __init__(self, config: ServiceSettings):
        super().__init__(config.address, FAULTS, threads=2)
        self.runs: list[base.Run] = []
        self.running = 0
        self._started_at_s = time.time() - _WARM_AGE_S

    async def answer(self, exchange: http_server.Exchange) -> None:
        """Answers a poll of the report, or runs an operation."""
        if exchange.request.path == "/report":
            await exchange.send_json(200, self._report())
            return
        result = self._run(exchange.request)
        if self.faults["loses_answers"]:
            exchange.keep_alive = False
            return
        await self._send_result(exchange, result)

    def _report(self) -> dict[str, Any]:
        return {
            "versions": [],
            "running": self.running,
            "queued": 0,
            "started_at_s": self._started_at_s,
            "completed_total": len(self.runs),
        }

    def _run(self, request: http_server.HttpRequest) -> dict[str, Any]:
        """Runs the operation that the path names; returns its result."""
        headers = request.header_by_name
        self.runs.append(
            base.Run(
                time.monotonic(),
                headers.get("x-request-id", ""),
                request.path.strip("/"),
                headers.get("idempotency-key"),
            )
        )
        if self.faults["is_empty"]:
            return {}
        return {
            "operation": request.path.strip("/"),
            "number": len(self.runs),
            "for": json.loads(request.body or b"{}"),
        }

    async def _send_result(
        self, exchange: http_server.Exchange, result: dict[str, Any]
    ) -> None:
        echoed_id = exchange.request.header_by_name.get("x-request-id", "")
        if self.faults["crosses_answers"]:
            echoed_id = "another-request"
        if self.faults["truncates"]:
            exchange.keep_alive = False
            await exchange.start_stream(
                {"x-request-id": echoed_id}, "text/plain"
            )
            await exchange.write(b'{"result": {"cut')
            return
        await exchange.send_json(
            200, {"result": result}, {"x-request-id": echoed_id}
        )
