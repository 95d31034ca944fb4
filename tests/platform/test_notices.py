"""Upstreams announce in responses that they leave, pause or limit requests."""

import asyncio
from collections.abc import Sequence
import time

from tests.platform import fleet_harness
from tests.platform import platform_standins

# Window and slack within which an upstream's announced limit has to hold.
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
# Time from the first announcement from which it has to hold.
CONTACT_S = 3.0


async def _send_steadily(
    fleet: fleet_harness.Fleet, per_s: float, seconds: float
) -> list[int]:
    """Sends requests to all nodes in turn; returns the statuses."""
    statuses: list[int] = []

    async def send(number: int) -> None:
        node = fleet.nodes[number % len(fleet.nodes)]
        reply = await platform_standins.send_request(
            node.settings.listen, "/look/1"
        )
        assert reply is not None
        statuses.append(reply.status)

    async with asyncio.TaskGroup() as group:
        for number in range(int(per_s * seconds)):
            group.create_task(send(number))
            await asyncio.sleep(1 / per_s)
    return statuses


def _most_in_window(received_s: Sequence[float], window_s: float) -> int:
    """Returns the most requests within any window of that length."""
    return max(
        (
            sum(start_s <= each < start_s + window_s for each in received_s)
            for start_s in received_s
        ),
        default=0,
    )


# Guards against an upstream in need that gets more requests than it takes, as
# nodes ignore its limit or each of them uses all of it.
async def test_requests_of_all_nodes_stay_within_an_announced_limit() -> None:
    async with fleet_harness.fleet(nodes=3) as fleet:
        upstream = fleet.upstream_by_name["d1"]
        upstream.announced = ((b"Server-Limit", b"1.0"),)
        first_s = time.monotonic()
        statuses = await _send_steadily(fleet, 40, 8.0)
        received = [
            each for each in upstream.received_s if each >= first_s + CONTACT_S
        ]
        allowed = LIMIT_OVERAGE * LIMIT_WINDOW_S * 1.0 + LIMIT_SLACK
        assert _most_in_window(received, LIMIT_WINDOW_S) <= allowed
        assert set(statuses) == {200}
