"""Base class of the stand-ins: HTTP server, fault injection, control path."""

import asyncio
from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple
import urllib.parse

from lycheegw.transport import http_server

__all__ = ["SHARED_FAULTS", "Run", "StandIn", "query_parameters"]

_FAULTS_PATH = "/faults"

# Faults that every stand-in supports; null or false turns one off.
SHARED_FAULTS: Mapping[str, Any] = {
    "is_dead": False,
    "is_silent": False,
    "is_refusing": False,
    "delay_s": 0.0,
}


class Run(NamedTuple):
    """A request that a stand-in started to run.

    Attributes:
        at_s: Monotonic time of the start, in seconds.
        request_id: Identifier of the request.
        version_or_operation: Model version or operation that was run.
        key: Idempotency key, or None without one.
    """

    at_s: float
    request_id: str
    version_or_operation: str
    key: str | None


def query_parameters(request: http_server.HttpRequest) -> dict[str, str]:
    """Returns the query parameters of a request by name."""
    return dict(urllib.parse.parse_qsl(request.query))


class StandIn:
    """An HTTP server that applies its faults before a subclass answers.

    Attributes:
        faults: Value of each fault by name, changed by POST /faults.
    """

    def __init__(self, address: str, faults: Mapping[str, Any], threads: int):
        self.faults: dict[str, Any] = dict(SHARED_FAULTS) | dict(faults)
        self.server = http_server.HttpServer(address, self._handle, threads)

    @property
    def address(self) -> str:
        """The "ip:port" that the server listens on."""
        return self.server.address

    async def start(self) -> None:
        """Starts the server."""
        await self.server.start()

    async def stop(self) -> None:
        """Stops the server."""
        await self.server.stop()

    def set_faults(self, changes: Mapping[str, Any]) -> None:
        """Changes fault values; raises KeyError if a fault is unknown."""
        unknown = set(changes) - set(self.faults)
        if unknown:
            raise KeyError(f"unknown faults: {', '.join(sorted(unknown))}")
        self.faults.update(changes)

    async def _handle(self, exchange: http_server.Exchange) -> None:
        if exchange.request.path == _FAULTS_PATH:
            await self._answer_faults(exchange)
            return
        if self.faults["is_dead"]:
            exchange.keep_alive = False
            return
        if self.faults["is_silent"]:
            await exchange.wait_disconnected()
            return
        if self.faults["delay_s"]:
            await asyncio.sleep(self.faults["delay_s"])
        if self.faults["is_refusing"]:
            await self.reject(exchange, 503, "refused")
            return
        await self.answer(exchange)

    async def reject(
        self, exchange: http_server.Exchange, status: int, message: str
    ) -> None:
        """Answers that a request did not run."""
        echoed_id = exchange.request.header_by_name.get("x-request-id", "")
        headers = {"x-run": "not_run", "x-request-id": echoed_id}
        await exchange.send_json(status, {"error": message}, headers)

    async def _answer_faults(self, exchange: http_server.Exchange) -> None:
        try:
            self.set_faults(json.loads(exchange.request.body or b"{}"))
        except (KeyError, ValueError) as error:
            await exchange.send_json(400, {"error": str(error)})
            return
        await exchange.send_json(200, self.faults)

    async def answer(self, exchange: http_server.Exchange) -> None:
        """Answers one request; implemented by each subclass."""
        raise NotImplementedError
