"""Counts double runs and lost answers on connections that go silent.

New connections still work, but for one host that hangs. The baseline repeats
every failed request.
"""

import asyncio
import collections
import random
from typing import Any

from lycheegw.measure import harness
from lycheegw.measure import minimal_config
from lycheegw.measure import report
from lycheegw.state import errors
from lycheegw.transport import http_server

__all__ = ["run"]

_KEY = "silent-key"
_SERVICES = 4
_CALLS = 160
_RATE_PER_S = 20.0
_SILENT_SHARE = 0.15
_DEADLINE_MS = 4000
_BOOKING_SHARE = 0.3
_RECORDS = (*minimal_config.records(_KEY), minimal_config.service_record())


def _silence_connections(fleet: harness.Fleet, seed: int) -> None:
    """Makes some connections go silent, half of them after the work ran."""
    generator = random.Random(seed)

    def make_unreliable(answer: Any) -> Any:
        async def answer_or_hang(exchange: http_server.Exchange) -> None:
            is_call = exchange.request.path != "/report"
            if not is_call or generator.random() >= _SILENT_SHARE:
                await answer(exchange)
                return
            if generator.random() < 0.5:
                await answer(_DiscardingExchange(exchange.request))
            await exchange.wait_disconnected()

        return answer_or_hang

    for standin in fleet.services.values():
        setattr(standin, "answer", make_unreliable(standin.answer))  # noqa: B010


class _DiscardingExchange:
    """An exchange whose answer is dropped."""

    def __init__(self, request: http_server.HttpRequest):
        self.request = request
        self.keep_alive = False

    async def send_json(self, *_: Any) -> None:
        """Drops the answer."""


def _retry_all(fleet: harness.Fleet) -> None:
    """Makes nodes repeat every failed request until its deadline."""
    for node in fleet.nodes.values():
        services = node.dispatcher._service_runs

        async def run_once(
            request: Any, work: Any, progress: Any, services: Any = services
        ) -> Any:
            idempotent_request = request._replace(is_idempotent=True)
            return await services._run_operation(
                idempotent_request, work, progress
            )

        setattr(services, "_run_once", run_once)  # noqa: B010


async def _send(fleet: harness.Fleet, index: int, is_booking: bool) -> Any:
    operation = "book" if is_booking else "lookup"
    node = fleet.nodes[f"n{index % 2}"]
    headers = {
        "x-deadline-ms": str(_DEADLINE_MS),
        "idempotency-key": f"key-{index}",
    }
    try:
        return await fleet.call(
            node,
            f"/v1/services/deskapp/{operation}",
            {"about": index},
            _KEY,
            headers,
        )
    except errors.UpstreamError:
        return None


async def _run_fleet(
    seed: int, scale: float, is_baseline: bool
) -> dict[str, float]:
    generator = random.Random(seed)
    async with harness.Fleet(seed) as fleet:
        for index in range(_SERVICES):
            await fleet.add_service(f"s{index}", "z1", "deskapp")
        for index in range(2):
            await fleet.add_node(f"n{index}", "z1")
        await fleet.wait_applied(await fleet.publish(*_RECORDS))
        await fleet.wait_upstreams()
        _silence_connections(fleet, seed)
        if is_baseline:
            _retry_all(fleet)
        fleet.services["s0"].set_faults({"is_silent": True})
        calls = []
        for index in range(int(_CALLS * scale)):
            is_booking = generator.random() < _BOOKING_SHARE
            call = asyncio.ensure_future(_send(fleet, index, is_booking))
            calls.append((is_booking, call))
            await asyncio.sleep(1 / _RATE_PER_S)
        await asyncio.gather(*(call for _, call in calls))
        runs = collections.Counter(
            run.key
            for standin in fleet.services.values()
            for run in standin.runs
            if run.version_or_operation == "book"
        )
        replies = [(is_booking, call.result()) for is_booking, call in calls]
        return _figures(replies, runs)


def _figures(
    replies: list[tuple[bool, Any]], runs: "collections.Counter[Any]"
) -> dict[str, float]:
    lookups = [reply for is_booking, reply in replies if not is_booking]
    bookings = [reply for is_booking, reply in replies if is_booking]
    latencies = sorted(reply.latency_s for reply in lookups if reply)
    return {
        "double_runs": sum(count > 1 for count in runs.values()),
        "unanswered": sum(
            reply is None or reply.status != 200 for reply in lookups
        ),
        "bookings_without_a_word": sum(reply is None for reply in bookings),
        "bookings_may_have_run": sum(
            reply is not None and reply.status != 200 for reply in bookings
        ),
        "lookup_latency_p95_s": latencies[int(0.95 * len(latencies))],
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on double runs and unanswered look-ups."""
    figures = await _run_fleet(seed, scale, False)
    baseline = await _run_fleet(seed, scale, True)
    return report.Findings(figures, "repeat all", baseline)
