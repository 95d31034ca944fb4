"""Upstreams announce in responses that they leave, pause or limit requests."""

import asyncio
from collections.abc import Sequence
import time
from typing import Any

import pytest

from lycheegw.state import forwarded_requests
from tests.platform import fleet_harness
from tests.platform import platform_standins

# Window and slack within which an upstream's announced limit has to hold.
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
# Time after a rejection from which the pause that it asks for has to hold.
TOLD_S = 0.5
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


async def _look(fleet: fleet_harness.Fleet) -> platform_standins.Reply:
    reply = await platform_standins.send_request(
        fleet.nodes[0].settings.listen, "/look/1"
    )
    assert reply is not None
    return reply


async def _announce_leaving(fleet: fleet_harness.Fleet, name: str) -> None:
    """Lets an upstream announce it in a response, but not in its entry."""
    upstream = fleet.upstream_by_name[name]
    upstream.announced = ((b"Server-Leaving", b"1"),)
    node = fleet.nodes[0]
    for _ in range(50):
        assert (await _look(fleet)).status == 200
        if node.notices.is_leaving(node.state.upstreams.by_id[name]):
            return
    raise AssertionError(f"no request reached {name}")


# Guards against requests to an upstream that leaves, while its entry says that
# it is ready, or the store can't be read.
@pytest.mark.parametrize("fault", ["", "silent", "reset"])
async def test_upstream_gets_no_request_after_it_announced_its_leaving(
    fault: str,
) -> None:
    async with fleet_harness.fleet() as fleet:
        await _announce_leaving(fleet, "d1")
        fleet.store.fault = fault
        upstream = fleet.upstream_by_name["d1"]
        count = len(upstream.received_s)
        statuses = await _send_steadily(fleet, 40, 4.0)
        assert len(upstream.received_s) == count
        assert statuses.count(200) >= 0.9 * len(statuses)


async def test_leaving_holds_for_one_process_whatever_its_entry_says() -> None:
    async with fleet_harness.fleet() as fleet:
        await _announce_leaving(fleet, "d1")
        node, upstream = fleet.nodes[0], fleet.upstream_by_name["d1"]
        table = node.state.upstreams
        await fleet.store.delete("keyed.servers", "d1")
        await fleet_harness.wait_until(lambda: "d1" not in table.by_id)
        await fleet.store.put("keyed.servers", "d1", upstream.entry("desk"))
        await fleet_harness.wait_until(lambda: "d1" in table.by_id)
        count = len(upstream.received_s)
        for _ in range(10):
            assert (await _look(fleet)).status == 200
        assert len(upstream.received_s) == count
        upstream.announced = ()
        entry = upstream.entry("desk", born=2000)
        await fleet.store.put("keyed.servers", "d1", entry)
        await fleet_harness.wait_until(
            lambda: table.by_id["d1"].entry.started_ms == 2000
        )
        for _ in range(20):
            assert (await _look(fleet)).status == 200
        assert len(upstream.received_s) > count


@pytest.mark.parametrize(
    "announced",
    [
        ((b"Server-Leaving", b"1"),),
        ((b"Server-Limit", b"0.5"),),
        ((b"Retry-After", b"5"),),
    ],
)
async def test_choice_made_before_an_announcement_is_not_sent(
    announced: forwarded_requests.Headers,
) -> None:
    """The response comes while another request opens its connection."""
    async with fleet_harness.fleet() as fleet:
        node, upstream = fleet.nodes[0], fleet.upstream_by_name["d1"]
        await fleet.store.delete("keyed.servers", "d2")
        await fleet_harness.wait_until(
            lambda: "d2" not in node.state.upstreams.by_id
        )
        # Opens a connection, and learns what the upstream announces.
        connect = node.upstream_pool._connect
        counts: list[int] = []

        async def connect_slowly(key: str, address: str) -> Any:
            connection = await connect(key, address)
            if not counts:
                counts.append(0)
                upstream.announced = announced
                upstream.is_full = announced[0][0] == b"Retry-After"
                await _look(fleet)
                counts.append(len(upstream.received_s))
            return connection

        node.upstream_pool._connect = connect_slowly  # type: ignore[method-assign]
        reply = await _look(fleet)
        assert reply.status == 503
        assert len(upstream.received_s) == counts[1]


# Guards against requests to an upstream that asked for a pause.
async def test_upstream_gets_no_request_during_a_pause_that_it_asked_for() -> (
    None
):
    async with fleet_harness.fleet() as fleet:
        upstream = fleet.upstream_by_name["d1"]
        upstream.announced = ((b"Retry-After", b"2.5"),)
        upstream.is_full = True
        statuses = await _send_steadily(fleet, 60, 2.4)
        assert upstream.received_s
        for rejected_s in upstream.received_s:
            assert not [
                each
                for each in upstream.received_s
                if rejected_s + TOLD_S < each < rejected_s + 2.5
            ]
        assert set(statuses) == {200}
        upstream.is_full, upstream.announced = False, ()
        # Beside load, sending takes longer than the pause, and begins another.
        ended_s = upstream.received_s[-1] + 2.5 * 1.1
        await asyncio.sleep(max(0.0, ended_s + 0.1 - time.monotonic()))
        count = len(upstream.received_s)
        await _send_steadily(fleet, 40, 0.5)
        assert len(upstream.received_s) > count


# Guards against requests in a pause on less usual ways to an upstream (BUDGET).
@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/ask/1"])
@pytest.mark.parametrize(
    "others", [(), ((b"Server-Brittle", b"2"),), ((b"Server-Limit", b"9"),)]
)
@pytest.mark.parametrize("is_isolated", [False, True])
async def test_pause_holds_for_each_kind_of_request(
    path: str, others: forwarded_requests.Headers, is_isolated: bool
) -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        if is_isolated:
            # Each request runs alone, as if it had crashed an upstream.
            node.suspects.is_suspect = lambda _: True  # type: ignore[method-assign]
        paused = fleet.upstream_by_name["m1" if "ask" in path else "d1"]
        paused.is_full = True
        paused.announced = ((b"Retry-After", b"2"), *others)

        async def send() -> None:
            method = "GET" if "look" in path else "POST"
            await platform_standins.send_request(
                node.settings.listen, path, method, b"q"
            )

        async with asyncio.TaskGroup() as group:
            for _ in range(60):
                group.create_task(send())
                await asyncio.sleep(0.03)
        assert paused.received_s
        for rejected_s in paused.received_s:
            during_pause = [
                each
                for each in paused.received_s
                if rejected_s + TOLD_S < each < rejected_s + 2.0
            ]
            assert len(during_pause) <= 2


async def test_pause_of_all_upstreams_is_refused_at_once_until_its_end() -> (
    None
):
    async with fleet_harness.fleet() as fleet:
        for name, pause in (("d1", b"3"), ("d2", b"30")):
            upstream = fleet.upstream_by_name[name]
            upstream.announced = ((b"Retry-After", pause),)
            upstream.is_full = True
        await asyncio.gather(*(_look(fleet) for _ in range(4)))
        counts = [len(each.received_s) for each in _desks(fleet)]
        started_s = time.monotonic()
        replies = [await _look(fleet) for _ in range(5)]
        assert time.monotonic() - started_s < 0.5
        for reply in replies:
            assert reply.status == 503
            assert 2.0 < float(reply.header_by_name["retry-after"]) < 4.5
        assert [len(each.received_s) for each in _desks(fleet)] == counts
        name = "refusal.upstreams_paused"
        assert fleet.nodes[0].state.counters.by_name[name] >= 5


def _desks(fleet: fleet_harness.Fleet) -> list[platform_standins.Upstream]:
    return [fleet.upstream_by_name[name] for name in ("d1", "d2")]


async def test_pause_ends_with_the_process_that_asked_for_it() -> None:
    async with fleet_harness.fleet() as fleet:
        node, upstream = fleet.nodes[0], fleet.upstream_by_name["d1"]
        upstream.announced = ((b"Retry-After", b"60"),)
        upstream.is_full = True
        for _ in range(50):
            await _look(fleet)
        assert upstream.received_s
        upstream.is_full, upstream.announced = False, ()
        entry = upstream.entry("desk", born=2000)
        await fleet.store.put("keyed.servers", "d1", entry)
        table = node.state.upstreams
        await fleet_harness.wait_until(
            lambda: table.by_id["d1"].entry.started_ms == 2000
        )
        count = len(upstream.received_s)
        for _ in range(20):
            assert (await _look(fleet)).status == 200
        assert len(upstream.received_s) > count


@pytest.mark.parametrize(
    "announced",
    [
        (b"Retry-After", b"-1"),
        (b"Retry-After", b"nan"),
        (b"Retry-After", b"Fri, 04 Dec 2026 09:00:00 GMT"),
        (b"Server-Limit", b"-0.5"),
        (b"Server-Limit", b"1e999"),
        (b"Server-Limit", b"many"),
    ],
)
async def test_malformed_announcement_is_counted_and_the_body_delivered(
    announced: tuple[bytes, bytes],
) -> None:
    async with fleet_harness.fleet() as fleet:
        for upstream in _desks(fleet):
            upstream.announced = (announced,)
        for _ in range(5):
            reply = await _look(fleet)
            assert reply.status == 200
            assert b"ran" in reply.body
        name = "upstreams.malformed_notice"
        assert fleet.nodes[0].state.counters.by_name[name] == 5


async def test_end_of_a_limit_reaches_all_nodes() -> None:
    async with fleet_harness.fleet(nodes=3) as fleet:
        upstream = fleet.upstream_by_name["d1"]
        upstream.announced = ((b"Server-Limit", b"2.0"),)
        await _send_steadily(fleet, 40, 1.0)

        def limits() -> set[float | None]:
            return {
                node.notices.limit_per_s(node.state.upstreams.by_id["d1"])
                for node in fleet.nodes
            }

        await fleet_harness.wait_until(lambda: limits() == {2.0}, 2.0)
        upstream.announced = ()
        await _send_steadily(fleet, 20, 8.0)
        assert limits() == {None}


# Guards against upstreams that fall over since nodes send them more than they
# have room for, after they said that they are brittle.
async def test_brittle_upstreams_reject_few_requests_of_all_nodes() -> None:
    rejections_survived, slots, run_s = 2, 8, 0.4
    async with fleet_harness.fleet(nodes=3) as fleet:
        for name in ("d3", "d4"):
            await fleet.add_upstream(name, "desk")
        desks = [fleet.upstream_by_name[f"d{number}"] for number in range(1, 5)]
        for upstream in desks:
            upstream.slot_count, upstream.delay_s = slots, run_s
            upstream.announced = ((b"Server-Brittle", b"2"),)
        await fleet_harness.wait_until(
            lambda: all(
                len(node.state.upstreams.by_id) == 6 for node in fleet.nodes
            )
        )
        first_s = time.monotonic()
        statuses = await _send_steadily(fleet, 125, 7.0)
        falls = sum(
            _count_falls(
                [
                    each
                    for each in desk.rejected_s
                    if each > first_s + CONTACT_S
                ],
                rejections_survived,
            )
            for desk in desks
        )
        assert falls <= 2 + 0.1 * len(desks)
        capacity = len(desks) * slots / run_s * 7.0
        assert statuses.count(200) >= 0.5 * min(capacity, len(statuses))


def _count_falls(rejected_s: Sequence[float], survived: int) -> int:
    """Returns how often more than `survived` rejections fell into a second."""
    falls, first = 0, 0
    for index, at_s in enumerate(rejected_s):
        while at_s - rejected_s[first] >= 1.0:
            first += 1
        if index - first + 1 > survived:
            falls += 1
            first = index + 1
            if first >= len(rejected_s):
                break
    return falls
