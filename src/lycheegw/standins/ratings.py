"""Stand-in for the service that rates a share of the answers, with a lag."""

import json
import random
import time
from typing import Any

from lycheegw.standins import base
from lycheegw.standins import engine
from lycheegw.transport import http_server

__all__ = ["FAULTS", "RatingsStandIn"]

FAULTS = {"lag_s": 0.2, "rated_share": 0.5}


class RatingsStandIn(base.StandIn):
    """The rating service: POST /answers, GET /ratings?from=N."""

    def __init__(self, address: str, seed: int = 0):
        super().__init__(address, FAULTS, threads=2)
        self._random = random.Random(seed)
        self._ratings: list[tuple[float, dict[str, Any]]] = []

    async def answer(self, exchange: http_server.Exchange) -> None:
        """Rates posted answers, or answers with the ratings so far."""
        if exchange.request.method == "POST":
            self._rate(json.loads(exchange.request.body)["answers"])
            await exchange.send_json(200, {})
            return
        start = int(base.query_parameters(exchange.request)["from"])
        visible_until_s = time.monotonic() - self.faults["lag_s"]
        ratings = [
            rating
            for at_s, rating in self._ratings[start:]
            if at_s <= visible_until_s
        ]
        await exchange.send_json(
            200, {"next": start + len(ratings), "ratings": ratings}
        )

    def _rate(self, answers: list[dict[str, Any]]) -> None:
        for answer in answers:
            if self._random.random() >= self.faults["rated_share"]:
                continue
            text = answer.pop("text")
            rating = answer | {"is_good": text.endswith(engine.GOOD_MARK)}
            self._ratings.append((time.monotonic(), rating))
