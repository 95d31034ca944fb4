"""Stand-in for the weight store, which limits the rate of fetches."""

import time

from lycheegw.standins import base
from lycheegw.transport import http_server

__all__ = ["FAULTS", "WeightsStandIn"]

FAULTS = {"seconds_per_fetch": 0.05}


class WeightsStandIn(base.StandIn):
    """The store: POST /reserve reserves a fetch or says how long to wait.

    Attributes:
        fetches: Number of fetches reserved.
    """

    def __init__(self, address: str):
        super().__init__(address, FAULTS, threads=2)
        self.fetches = 0
        self._next_fetch_at_s = 0.0

    async def answer(self, exchange: http_server.Exchange) -> None:
        """Reserves a fetch and answers 0 s, or answers with the wait."""
        now_s = time.monotonic()
        wait_s = max(0.0, self._next_fetch_at_s - now_s)
        if not wait_s:
            self.fetches += 1
            self._next_fetch_at_s = now_s + self.faults["seconds_per_fetch"]
        await exchange.send_json(200, {"wait_s": wait_s})
