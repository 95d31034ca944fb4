"""Stand-in for the platform's append-only log service."""

import asyncio
import json
import time
from typing import Any
import urllib.parse

from lycheegw.standins import base
from lycheegw.transport import http_server

__all__ = ["FAULTS", "LogStandIn"]

FAULTS = {"loses_append_answers": False, "retention_entries": None}

_STREAMS_PREFIX = "/streams/"


class _Stream:
    """A stream of the log: entries from `first_offset` on.

    Attributes:
        appends: Append requests, each of one or more entries.
        first_offset: Offset of the oldest entry that has not expired.
        appended: Set and replaced at each new entry.
    """

    def __init__(self) -> None:
        self.appends = 0
        self.first_offset = 0
        self.entries: list[dict[str, Any]] = []
        self.appended = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the next entry."""
        return self.first_offset + len(self.entries)

    def append(self, entry: dict[str, Any]) -> None:
        """Appends an entry and wakes the waiting readers."""
        self.entries.append(
            {
                "offset": self.next_offset,
                "at_s": time.time(),
                "entry_id": entry["entry_id"],
                "data": entry["data"],
            }
        )
        self.appended.set()
        self.appended = asyncio.Event()

    def expire(self, keep: int) -> None:
        """Drops all entries but the last `keep`."""
        surplus = max(0, len(self.entries) - keep)
        self.first_offset += surplus
        del self.entries[:surplus]


class LogStandIn(base.StandIn):
    """The log: POST /streams/NAME appends, GET /streams/NAME reads.

    Attributes:
        appends: Append requests to this stand-in, all streams together.
    """

    def __init__(self, address: str, shared: "LogStandIn | None" = None):
        """Serves its own streams, or those of `shared` with separate faults."""
        super().__init__(address, FAULTS, threads=4)
        self.streams_by_name: dict[str, _Stream] = {}
        if shared is not None:
            self.streams_by_name = shared.streams_by_name
        self.appends = 0

    def stream(self, name: str) -> _Stream:
        """Returns the stream of a name; creates it if missing."""
        return self.streams_by_name.setdefault(name, _Stream())

    async def answer(self, exchange: http_server.Exchange) -> None:
        """Answers an append or a read."""
        path = exchange.request.path
        if not path.startswith(_STREAMS_PREFIX):
            await exchange.send_json(404, {"error": "path"})
            return
        name = urllib.parse.unquote(path[len(_STREAMS_PREFIX) :])
        if exchange.request.method == "POST":
            await self._append(exchange, self.stream(name))
        else:
            await self._read(exchange, self.stream(name))

    async def _append(
        self, exchange: http_server.Exchange, stream: _Stream
    ) -> None:
        entries = json.loads(exchange.request.body)["entries"]
        offset = stream.next_offset
        self.appends += 1
        stream.appends += 1
        for entry in entries:
            stream.append(entry)
        if self.faults["retention_entries"] is not None:
            stream.expire(self.faults["retention_entries"])
        if self.faults["loses_append_answers"]:
            exchange.keep_alive = False
            return
        await exchange.send_json(200, {"offset": offset})

    async def _read(
        self, exchange: http_server.Exchange, stream: _Stream
    ) -> None:
        query = base.query_parameters(exchange.request)
        start = int(query["from"])
        if start >= stream.next_offset and float(query["wait_s"]) > 0:
            await _wait_for(stream.appended, float(query["wait_s"]))
        if self.faults["is_dead"] or self.faults["is_silent"]:
            exchange.keep_alive = False
            return
        begin = max(0, start - stream.first_offset)
        entries = stream.entries[begin : begin + int(query["limit"])]
        await exchange.send_json(
            200,
            {
                "first": stream.first_offset,
                "next": stream.next_offset,
                "entries": entries,
            },
        )


async def _wait_for(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass
