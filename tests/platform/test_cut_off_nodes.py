"""Nodes that reach no upstream, but clients, the store and other nodes."""

import asyncio
import collections
import time
from typing import Any

import grpclib
import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import upstream_cuts

# Time after the begin of a cut from which clients have to be served.
CONTACT_S = 3.0
# Share of the others' rate at which a node that is cut off has to serve.
MIN_SERVED_SHARE = 2 / 3
# Rate at which a node forgets the peers that declined between two requests.
_LOW_RATE = 0.6
_PROMPT = {
    "X-Lycheegw-Model": "*",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}
_REQUESTS = (
    ("/look/1", "GET", b"", {}),
    ("/book/1", "POST", b"once", {}),
    ("/ask/1", "POST", b"q", _PROMPT),
)


class _Load:
    """A steady load on all nodes, and the statuses of its responses."""

    def __init__(self, fleet: fleet_harness.Fleet):
        self._fleet = fleet
        self.statuses: dict[int, list[int]] = collections.defaultdict(list)
        self.first_counted_s = 0.0

    async def run(self, seconds: float, per_s: float = 10.0) -> None:
        """Sends requests of each kind to each node."""
        end_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end_s:
                for index in range(len(self._fleet.nodes)):
                    for request in _REQUESTS:
                        group.create_task(self._send(index, *request))
                await asyncio.sleep(1 / per_s)

    async def _send(
        self,
        index: int,
        path: str,
        method: str,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        sent_s = time.monotonic()
        status = 0
        try:
            async with asyncio.timeout(4.0):
                reply = await platform_standins.send_request(
                    self._fleet.nodes[index].settings.listen,
                    path,
                    method,
                    body,
                    headers,
                )
            if reply is not None and reply.is_whole:
                status = reply.status
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        if sent_s >= self.first_counted_s:
            self.statuses[index].append(status)

    def served_share(self, indexes: range) -> float:
        """Returns the share of the counted requests that were answered."""
        statuses = [each for index in indexes for each in self.statuses[index]]
        assert len(statuses) >= 20
        return statuses.count(200) / len(statuses)


async def _wait_for_peers(fleet: fleet_harness.Fleet) -> None:
    await fleet_harness.wait_until(
        lambda: all(
            len(node.peers.live_nodes()) == len(fleet.nodes)
            for node in fleet.nodes
        )
    )


# Guards against refusals by a node that reaches no upstream while its peers do.
@pytest.mark.parametrize("kind", upstream_cuts.KINDS)
@pytest.mark.parametrize("cut_count", [1, 3])
async def test_callers_of_cut_off_nodes_are_served(
    cut_count: int, kind: upstream_cuts.Kind
) -> None:
    async with fleet_harness.fleet(nodes=4) as fleet:
        await _wait_for_peers(fleet)
        load = _Load(fleet)
        await load.run(1.0)
        cuts = [
            upstream_cuts.begin(node, kind) for node in fleet.nodes[:cut_count]
        ]
        load.first_counted_s = time.monotonic() + CONTACT_S
        await load.run(CONTACT_S + 2.0)
        share = load.served_share(range(cut_count))
        others_share = load.served_share(range(cut_count, 4))
        assert others_share >= 0.95
        assert share >= MIN_SERVED_SHARE * others_share
        for cut in cuts:
            cut.end()
        ids = [
            each.header_by_name["x-lycheegw-attempt-id"]
            for each in fleet.seen
            if each.target == "/book/1"
        ]
        assert len(ids) == len(set(ids))


# Guards against refusals by a zone whose nodes ask each other, while nodes of
# another zone reach all upstreams (RECOVER, review/4).
@pytest.mark.parametrize("kind", upstream_cuts.KINDS)
async def test_callers_are_served_if_most_of_a_zone_is_cut_off(
    kind: upstream_cuts.Kind,
) -> None:
    async with fleet_harness.fleet(nodes=8) as fleet:
        await fleet.add_node("z-b")
        await _wait_for_peers(fleet)
        load = _Load(fleet)
        await load.run(2.0, per_s=_LOW_RATE)
        for node in fleet.nodes[:7]:
            upstream_cuts.begin(node, kind)
        load.first_counted_s = time.monotonic() + CONTACT_S
        await load.run(CONTACT_S + 7.0, per_s=_LOW_RATE)
        others_share = load.served_share(range(7, 9))
        assert others_share >= 0.95
        assert load.served_share(range(7)) >= 0.9 * others_share
        ids = [
            each.header_by_name["x-lycheegw-attempt-id"]
            for each in fleet.seen
            if each.target == "/book/1"
        ]
        assert len(ids) == len(set(ids))


async def test_relayed_request_keeps_its_id_deadline_and_response() -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        await _wait_for_peers(fleet)
        first, second = fleet.nodes
        first.reach.is_cut_off = True
        lines = fleet.capture_request_events(second)
        reply = await platform_standins.send_request(
            first.settings.listen,
            "/look/1?x=2",
            headers={"X-Lycheegw-Deadline-Ms": "900"},
        )
        assert reply is not None and reply.status == 200
        (seen,) = fleet.seen
        assert seen.target == "/look/1?x=2"
        assert seen.header_by_name["x-lycheegw-tenant"] == "acme"
        assert 0 < int(seen.header_by_name["x-lycheegw-deadline-ms"]) <= 900
        assert reply.header_by_name["x-lycheegw-response-signature"]
        attempt_id = seen.header_by_name["x-lycheegw-attempt-id"]
        assert reply.header_by_name["x-lycheegw-attempt-id"] == attempt_id
        assert [
            line["request_id"] for line in lines if line["event"] == "answered"
        ] == [attempt_id]
        assert first.state.counters.by_name["relay.answered"] == 1


async def test_two_cut_off_nodes_do_not_relay_in_a_loop() -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        await _wait_for_peers(fleet)
        cuts = []
        for node in fleet.nodes:
            node.reach.is_cut_off = True
            cuts.append(upstream_cuts.begin(node, upstream_cuts.KINDS[2]))
        started_s = time.monotonic()
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/look/1"
        )
        assert reply is not None and reply.status == 503
        assert time.monotonic() - started_s < 1.0
        counters = fleet.nodes[0].state.counters.by_name
        assert counters["relay.declined"] == 1
        assert not fleet.seen


async def test_client_that_leaves_cancels_its_relayed_request() -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        await _wait_for_peers(fleet)
        fleet.nodes[0].reach.is_cut_off = True
        desks = [fleet.upstream_by_name[name] for name in ("d1", "d2")]
        for upstream in desks:
            upstream.delay_s = 5.0
        await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/look/1", leave_after_s=0.3
        )
        await fleet_harness.wait_until(
            lambda: sum(each.cancelled_count for each in desks) == 1, 0.5
        )


@pytest.mark.parametrize(
    ("path", "method", "status", "runs"),
    [("/look/1", "GET", 200, 2), ("/book/1", "POST", 502, 1)],
)
async def test_only_idempotent_requests_go_on_if_the_peer_is_lost(
    path: str, method: str, status: int, runs: int
) -> None:
    async with fleet_harness.fleet(nodes=3) as fleet:
        await _wait_for_peers(fleet)
        fleet.nodes[0].reach.is_cut_off = True
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 0.4
        _lose_first_relay(fleet)
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen,
            path,
            method,
            headers={"X-Lycheegw-Deadline-Ms": "1900"},
        )
        assert reply is not None and reply.status == status
        assert len(fleet.seen) == runs


# Guards against a promise that nothing ran, while a peer has the request.
async def test_request_that_a_peer_holds_past_its_deadline_may_have_run() -> (
    None
):
    async with fleet_harness.fleet(nodes=2) as fleet:
        await _wait_for_peers(fleet)
        first, second = fleet.nodes
        first.reach.is_cut_off = True

        async def hold(stream: Any) -> None:
            await stream.recv_message()
            await asyncio.sleep(5.0)

        second.peers.serve_relayed = hold
        reply = await platform_standins.send_request(
            first.settings.listen,
            "/book/1",
            "POST",
            b"once",
            {"X-Lycheegw-Deadline-Ms": "500"},
        )
        assert reply is not None and reply.status == 504


def _lose_first_relay(fleet: fleet_harness.Fleet) -> None:
    """Breaks off the first relayed request once an upstream runs it."""
    serves = [node.peers.serve_relayed for node in fleet.nodes]
    lost: list[int] = []

    def wrap(index: int) -> None:
        async def serve(stream: Any) -> None:
            if lost:
                await serves[index](stream)
                return
            lost.append(index)
            task = asyncio.create_task(serves[index](stream))
            await fleet_harness.wait_until(lambda: len(fleet.seen) == 1)
            task.cancel()
            raise grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE)

        fleet.nodes[index].peers.serve_relayed = serve

    for index in range(len(fleet.nodes)):
        wrap(index)


async def test_node_is_ready_again_after_its_cut() -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        await _wait_for_peers(fleet)
        node = fleet.nodes[0]
        cut = upstream_cuts.begin(node, upstream_cuts.KINDS[1])
        load = asyncio.create_task(_Load(fleet).run(3.0))
        await fleet_harness.wait_until(lambda: node.reach.is_cut_off, 4.0)
        assert not node.is_ready
        await load
        cut.end()
        await fleet_harness.wait_until(lambda: node.is_ready, 2.0)
        relayed = node.state.counters.by_name["relay.answered"]
        assert relayed
        for _ in range(10):
            reply = await platform_standins.send_request(
                node.settings.listen, "/look/1"
            )
            assert reply is not None and reply.status == 200
        assert node.state.counters.by_name["relay.answered"] == relayed
