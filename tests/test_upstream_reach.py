"""How a node finds out that it is cut off from all upstreams."""

import asyncio

from lycheegw.coordination import upstream_reach
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from tests import fakes


class _Node:
    """A node, its upstreams and the zones that it reaches."""

    def __init__(self, count: int, zones: int = 3):
        self.state = fakes.node(fakes.ManualClock(), "n")
        for number in range(count):
            fakes.add_upstream(self.state, f"u{number}", f"z{number % zones}")
        self.reached_zones: set[str] = set()
        self.crashed: set[str] = set()
        self.connected: list[str] = []
        self.reach = upstream_reach.UpstreamReach(
            self.state,
            self._connect,
            lambda: self.crashed,
            lambda *_, **__: None,
        )

    async def _connect(self, upstream: upstreams.Upstream) -> None:
        await asyncio.sleep(0)
        self.connected.append(upstream.entry.host_id)
        if upstream.entry.zone not in self.reached_zones:
            raise errors.UpstreamError(
                reasons.RetryReason.CONNECT_FAILED,
                "no way",
                verdicts.RunVerdict.NOT_RUN,
            )

    def fail(self, *numbers: int) -> None:
        for number in numbers:
            self.reach.note_unreached(self.state.upstreams.by_id[f"u{number}"])


async def test_two_unreached_upstreams_begin_a_check_of_all_zones() -> None:
    node = _Node(9)
    node.fail(0, 0)
    assert not await node.reach.check(1)
    assert not node.connected
    node.fail(1)
    assert await node.reach.check(0)
    assert len(node.connected) == 4
    zones = {int(each[1:]) % 3 for each in node.connected}
    assert zones == {0, 1, 2}


async def test_node_that_reaches_one_zone_is_not_cut_off() -> None:
    node = _Node(9)
    node.reached_zones = {"z1"}
    node.fail(0, 2)
    assert not await node.reach.check(2)


async def test_response_between_two_failures_begins_no_check() -> None:
    node = _Node(9)
    node.fail(0)
    node.reach.note_answer()
    node.fail(1)
    assert not await node.reach.check(0)
    assert not node.connected


async def test_cut_ends_with_the_first_connection_and_is_forgotten() -> None:
    node = _Node(9)
    node.fail(0, 1)
    assert await node.reach.check(2)
    for upstream in node.state.upstreams.by_id.values():
        upstream.exclude(node.state.environment.monotonic_s())
        upstream.connect_failed_s = node.state.environment.monotonic_s()
    node.reach.tick()
    assert await node.reach.check(0)
    node.reached_zones = {"z0", "z1", "z2"}
    node.reach.tick()
    assert not await node.reach.check(0)
    now_s = node.state.environment.monotonic_s()
    for upstream in node.state.upstreams.by_id.values():
        assert not upstream.is_excluded(now_s)
        assert not upstream.is_cold(now_s)


async def test_crashed_upstreams_say_nothing_of_the_way() -> None:
    node = _Node(9)
    node.reached_zones = {"z0", "z1", "z2"}
    node.crashed = {f"u{number}" for number in range(8)}
    node.fail(0, 1)
    assert not await node.reach.check(2)


# Guards against a node that stays unready when most upstreams were removed
# while it was cut off.
async def test_cut_ends_where_too_few_upstreams_are_left() -> None:
    node = _Node(3)
    node.fail(0, 1)
    assert await node.reach.check(2)
    entries = [node.state.upstreams.by_id["u0"].entry]
    node.state.upstreams.replace_entries(entries)
    node.reached_zones = {"z0"}
    node.reach.tick()
    assert not await node.reach.check(0)
    node.reach.is_cut_off = True
    node.state.upstreams.replace_entries([])
    node.reach.tick()
    assert not await node.reach.check(0)
