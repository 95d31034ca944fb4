"""Nodes that reach no upstream, but clients, the store and other nodes."""

import asyncio
import collections
import time

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import upstream_cuts

# Time after the begin of a cut from which clients have to be served.
CONTACT_S = 3.0
# Share of the others' rate at which a node that is cut off has to serve.
MIN_SERVED_SHARE = 2 / 3
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
@pytest.mark.parametrize(
    "kind",
    [
        upstream_cuts.KINDS[0],
        *(
            pytest.param(
                kind,
                marks=pytest.mark.xfail(
                    strict=True, reason="listed in KNOWN-RED.txt"
                ),
            )
            for kind in upstream_cuts.KINDS[1:]
        ),
    ],
)
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
