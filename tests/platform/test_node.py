"""A node with the adapter serves clients of the platform."""

import asyncio
import contextlib
import json
import time
from typing import Any

import pytest

from lycheegw import edge_app
from lycheegw.coordination import topic_readers
from lycheegw.state import errors
from lycheegw.state import topics
from tests.platform import fleet_harness
from tests.platform import platform_standins

PROMPT = {
    "X-Lycheegw-Model": "*",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}


async def test_response_and_signature_are_forwarded_unchanged() -> None:
    async with fleet_harness.fleet() as fleet:
        front = fleet.nodes[0].settings.listen
        reply = await platform_standins.send_request(
            front,
            "/look/1?x=2",
            headers={
                "X-Lycheegw-Tenant": "other",
                "X-Lycheegw-Hold": "h",
                "Kv-From": "1.2.3.4:5/6",
                "X-Custom": "kept",
            },
        )
        assert reply is not None
        assert reply.status == 200
        (seen,) = fleet.seen
        assert (
            reply.header_by_name["x-lycheegw-response-signature"]
            == f"sig-{seen.upstream}"
        )
        assert reply.body.startswith(seen.upstream.encode())
        assert seen.target == "/look/1?x=2"
        assert seen.header_by_name["x-lycheegw-tenant"] == "acme"
        assert seen.header_by_name["x-custom"] == "kept"
        assert "api-key" not in seen.header_by_name
        assert "x-lycheegw-hold" not in seen.header_by_name
        assert "kv-from" not in seen.header_by_name
        assert 0 < int(seen.header_by_name["x-lycheegw-deadline-ms"]) <= 2000


async def test_end_of_a_request_tells_how_it_was_sent() -> None:
    """The age of the list and the delay tell why a send came too late."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        lines = fleet.capture_request_events(node)
        await platform_standins.send_request(node.settings.listen, "/look/1")
        (line,) = [each for each in lines if each["event"] == "answered"]
        assert 0 <= line["send_delay_s"] < 0.5
        assert 0 <= line["list_age_s"] < 2.0
        assert 0 <= line["orders_age_s"] < 2.0


async def test_end_of_a_request_tells_by_which_manifest_it_was_accepted() -> (
    None
):
    """The manifest may change while the request runs."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 1.0
        lines = fleet.capture_request_events(node)
        request = asyncio.create_task(
            platform_standins.send_request(node.settings.listen, "/look/1")
        )
        await fleet_harness.wait_until(lambda: bool(fleet.seen))
        await fleet.store.put(
            "keyed.op", "config", platform_standins.manifest(2)
        )
        await fleet_harness.wait_until(
            lambda: (
                (manifest := node.directory.manifest) is not None
                and manifest.version == 2
            )
        )
        await request
        assert lines[-1]["event"] == "answered"
        assert lines[-1]["manifest"] == 1


async def test_stalled_event_loop_is_counted() -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        by_name = node.state.counters.by_name
        before = by_name["loop.stalled"]
        time.sleep(1.0)  # noqa: ASYNC251
        await fleet_harness.wait_until(
            lambda: by_name["loop.stalled"] > before, 2.0
        )


async def test_unknown_route_and_key_are_refused() -> None:
    async with fleet_harness.fleet() as fleet:
        front = fleet.nodes[0].settings.listen
        lines = fleet.capture_request_events(fleet.nodes[0])
        reply = await platform_standins.send_request(
            front, "/nowhere/", headers={"X-Lycheegw-Attempt-Id": "lost-1"}
        )
        assert reply is not None and reply.status == 404
        (line,) = [each for each in lines if each["event"] == "refused"]
        assert line["request_id"] == "lost-1"
        assert line["reason"] == "unknown_route"
        reply = await platform_standins.send_request(
            front, "/look/1", headers={"Api-Key": "wrong"}
        )
        assert reply is not None and reply.status == 401
        assert not fleet.seen


async def test_smuggled_request_is_rejected() -> None:
    async with fleet_harness.fleet() as fleet:
        front = fleet.nodes[0].settings.listen
        reply = await platform_standins.send_request(
            front,
            "/book/1",
            "POST",
            b"0\r\n\r\nPOST /book/2 HTTP/1.1\r\n\r\n",
            headers={"Transfer-Encoding": "chunked"},
        )
        assert reply is not None and reply.status == 400
        assert not fleet.seen


async def test_safe_request_is_retried_after_a_failure() -> None:
    async with fleet_harness.fleet() as fleet:
        fleet.upstream_by_name["d1"].status = 500
        for _ in range(6):
            reply = await platform_standins.send_request(
                fleet.nodes[0].settings.listen, "/look/1"
            )
            assert reply is not None and reply.status == 200


async def test_unsafe_request_with_a_lost_response_is_not_retried() -> None:
    """answer_lost: it ran, so it is neither retried nor reported "not run"."""
    async with fleet_harness.fleet() as fleet:
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].loses_answers = True
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/book/1", "POST", b"crew"
        )
        assert reply is not None and reply.status == 502
        assert len(fleet.seen) == 1


async def test_unsafe_request_is_retried_after_a_rejection() -> None:
    async with fleet_harness.fleet() as fleet:
        fleet.upstream_by_name["d1"].is_full = True
        for _ in range(4):
            reply = await platform_standins.send_request(
                fleet.nodes[0].settings.listen, "/book/1", "POST", b"crew"
            )
            assert reply is not None and reply.status == 200
        assert {each.upstream for each in fleet.seen} == {"d2"}


async def test_refusal_by_a_full_service_has_retry_after() -> None:
    async with fleet_harness.fleet() as fleet:
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].is_full = True
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/book/1", "POST", b"crew"
        )
        assert reply is not None and reply.status == 503
        assert float(reply.header_by_name["retry-after"]) > 0
        assert not fleet.seen


async def test_node_is_not_ready_if_it_cannot_reach_a_service() -> None:
    """zone_cut during evacuate: only nodes of other zones can serve."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        for name in ("d1", "d2"):
            entry = fleet.upstream_by_name[name].entry(
                "desk", zone="z-b", sequence=2
            )
            await fleet.store.put("keyed.servers", name, entry)
        await fleet_harness.wait_until(
            lambda: (
                {
                    each.entry.zone
                    for each in node.state.upstreams.accepting_in_pool("desk")
                }
                == {"z-b"}
            )
        )
        zone_reach = node.balancer._zone_reachability
        for name in ("d1", "d2"):
            zone_reach.note_timeout("z-b", name)
        await fleet_harness.wait_until(lambda: not node.is_ready, 1.0)
        started_s = time.monotonic()
        reply = await platform_standins.send_request(
            node.settings.listen, "/book/1", "POST", b"crew"
        )
        assert reply is not None and reply.status == 503
        assert time.monotonic() - started_s < 0.3
        assert reply.header_by_name["connection"] == "close"
        zone_reach.note_answer("z-b")
        await fleet_harness.wait_until(lambda: node.is_ready, 1.0)


async def test_upstream_that_restarted_with_another_id_is_found() -> None:
    """srv_crash: the node's list is outdated, which the request reveals."""
    async with fleet_harness.fleet() as fleet:
        await asyncio.sleep(0.3)
        for name in ("d1", "d2"):
            upstream = fleet.upstream_by_name[name]
            upstream.name = f"new-{name}"
            entry = upstream.entry("desk", born=2000)
            await fleet.store.put("keyed.servers", upstream.name, entry)
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/book/1", "POST", b"crew"
        )
        assert reply is not None and reply.status == 200
        assert fleet.seen[0].upstream.startswith("new-")


async def test_retry_after_is_long_if_no_upstream_is_left() -> None:
    """srv_crash, all: clients retry once, and a restart takes seconds."""
    async with fleet_harness.fleet() as fleet:
        for name in ("d1", "d2"):
            await fleet.upstream_by_name[name].stop()
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/book/1", "POST", b"crew"
        )
        assert reply is not None and reply.status == 503
        assert float(reply.header_by_name["retry-after"]) >= 0.75


async def test_attempts_without_a_connection_use_no_retry_budget() -> None:
    """zone_cut, srv_crash: connections fail before a request is sent."""
    async with fleet_harness.fleet() as fleet:
        await fleet.upstream_by_name["d1"].stop()
        await fleet.upstream_by_name["d2"].stop()
        node = fleet.nodes[0]
        for _ in range(5):
            await platform_standins.send_request(
                node.settings.listen, "/look/1"
            )
        budgets = node.forwarder.attempts._dependencies.budgets
        assert "desk" not in budgets._extras_by_service


async def test_request_times_out_at_the_timeout_of_its_route() -> None:
    async with fleet_harness.fleet() as fleet:
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 10
        started_s = asyncio.get_running_loop().time()
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen,
            "/book/1",
            "POST",
            b"crew",
            headers={"X-Lycheegw-Deadline-Ms": "9000"},
        )
        elapsed_s = asyncio.get_running_loop().time() - started_s
        assert reply is not None and reply.status == 504
        assert 1.9 < elapsed_s < 2.25


async def test_upstream_request_is_cancelled_if_the_client_disconnects() -> (
    None
):
    async with fleet_harness.fleet() as fleet:
        upstream = fleet.upstream_by_name
        for name in ("d1", "d2"):
            upstream[name].delay_s = 10
        await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/look/1", leave_after_s=0.2
        )
        await fleet_harness.wait_until(
            lambda: (
                sum(upstream[name].cancelled_count for name in ("d1", "d2"))
                == 1
            ),
            1.0,
        )


async def test_low_confidence_is_followed_by_the_largest_model() -> None:
    async with fleet_harness.fleet() as fleet:
        for name in ("m1", "m2"):
            fleet.upstream_by_name[name].confidence = {"small": 20, "large": 20}
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/ask/1", "POST", b"q", PROMPT
        )
        assert reply is not None and reply.status == 200 and reply.is_whole
        models = [
            each.header_by_name["x-lycheegw-model"] for each in fleet.seen
        ]
        assert models == ["small", "large"]


async def test_urgency_depends_on_model_and_prompt_length() -> None:
    """Long prompts under load: upstreams run the smallest model's first."""
    async with fleet_harness.fleet() as fleet:
        for name in ("m1", "m2"):
            fleet.upstream_by_name[name].confidence = {"small": 20}
        for tokens in (1_000, 10_000, 40_000):
            usage = {"X-Lycheegw-Token-Usage": f"{tokens},50"}
            await platform_standins.send_request(
                fleet.nodes[0].settings.listen,
                "/ask/1",
                "POST",
                b"q",
                {**PROMPT, **usage, "X-Lycheegw-Request-Urgency": "0"},
            )
        urgencies = [
            int(each.header_by_name["x-lycheegw-request-urgency"])
            for each in fleet.seen
        ]
        assert urgencies == [2, 5, 2, 6, 2, 7]


@pytest.mark.parametrize("broken_event", [1, 3, 5])
async def test_broken_stream_is_resumed_at_another_upstream(
    broken_event: int,
) -> None:
    """srv_crash: a stream breaks within an event; each event arrives once."""
    async with fleet_harness.fleet() as fleet:
        for name in ("m1", "m2"):
            fleet.upstream_by_name[name].break_at_event = broken_event
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen,
            "/ask/1",
            "POST",
            b"q",
            {**PROMPT, "X-Lycheegw-Model": "large"},
        )
        assert reply is not None and reply.is_whole
        numbers = [
            line.split()[-1]
            for line in reply.body.decode().splitlines()
            if line.startswith("data")
        ]
        assert numbers == ["1", "2", "3", "4", "5"]
        assert len(fleet.seen) == 3
        assert reply.header_by_name["x-lycheegw-response-signature"] == (
            f"sig-{fleet.seen[0].upstream}"
            if broken_event > 1
            else f"sig-{fleet.seen[-1].upstream}"
        )


async def test_newer_manifest_reaches_a_node_without_the_store() -> None:
    """platform_down, nodes: a peer sends what the store refuses."""
    async with fleet_harness.fleet(nodes=2) as fleet:
        node_without_store = fleet.nodes[1]
        await fleet_harness.wait_until(
            lambda: len(node_without_store.peers.links()) == 1
        )

        async def fail(*_: object) -> topics.TopicPage:
            raise errors.StoreError("refused by the store")

        node_without_store.store.newest = fail  # type: ignore[method-assign]
        node_without_store.store.changes = fail  # type: ignore[method-assign]
        changed = platform_standins.manifest(7)
        changed["routes"][0]["path_prefix"] = "/view/"
        await fleet.store.put("keyed.op", "config", changed)
        await fleet_harness.wait_until(
            lambda: all(
                node.directory.manifest is not None
                and node.directory.manifest.version == 7
                for node in fleet.nodes
            ),
            2.0,
        )
        reply = await platform_standins.send_request(
            node_without_store.settings.listen, "/view/1"
        )
        assert reply is not None and reply.status == 200


async def test_manifest_is_in_force_if_the_watching_node_gets_no_reply() -> (
    None
):
    """platform_down, nodes reader: others read if they get no updates."""
    async with fleet_harness.fleet(nodes=4) as fleet:
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 4 for node in fleet.nodes
            )
        )
        await asyncio.sleep(1.0)

        async def never_return(*_: object) -> topics.TopicPage:
            await asyncio.sleep(60)
            raise errors.StoreError("no response")

        watchers = [
            node
            for node in fleet.nodes
            if node.topic_readers._is_watcher(topics.Topic.ORDERS)
        ]
        assert len(watchers) == 1
        # Its open read still returns; later ones get no response.
        for node in watchers:
            node.store.changes = never_return  # type: ignore[method-assign]
        await fleet.store.put(
            "keyed.op", "config", platform_standins.manifest(2)
        )
        await fleet_harness.wait_until(
            lambda: all(_version(node) == 2 for node in fleet.nodes), 2.0
        )
        await fleet.store.put(
            "keyed.op", "config", platform_standins.manifest(7)
        )
        await fleet_harness.wait_until(
            lambda: all(_version(node) == 7 for node in fleet.nodes), 2.0
        )


def _all_have_upstreams(fleet: fleet_harness.Fleet, count: int) -> bool:
    """Returns whether each node knows that number of upstreams."""
    return all(len(node.state.upstreams.by_id) == count for node in fleet.nodes)


def _version(node: edge_app.EdgeNode) -> int:
    manifest = node.directory.manifest
    return -1 if manifest is None else manifest.version


async def test_older_manifest_is_ignored() -> None:
    async with fleet_harness.fleet(
        manifest=platform_standins.manifest(5)
    ) as fleet:
        node = fleet.nodes[0]
        await fleet.store.put(
            "keyed.op", "config", platform_standins.manifest(4)
        )
        await fleet.store.put("keyed.op", "config", b"not json")
        await asyncio.sleep(0.3)
        assert node.directory.manifest is not None
        assert node.directory.manifest.version == 5


async def test_leaving_and_unreadable_entries_get_no_work() -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        leaving = fleet.upstream_by_name["d1"].entry(
            "desk", state="draining", sequence=2
        )
        await fleet.store.put("keyed.servers", "d1", leaving)
        await fleet.store.put("keyed.servers", "x1", b"\xff")
        await fleet.store.put("keyed.servers", "x2", {"service": "desk"})
        await fleet_harness.wait_until(
            lambda: node.state.upstreams.by_id["d1"].entry.is_leaving, 2.0
        )
        assert set(node.state.upstreams.by_id) == {"d1", "d2", "m1", "m2"}
        for _ in range(4):
            reply = await platform_standins.send_request(
                node.settings.listen, "/look/1"
            )
            assert reply is not None and reply.status == 200
        assert {each.upstream for each in fleet.seen} == {"d2"}


@pytest.mark.parametrize("change", ["leaving", "gone", "zone", "cold"])
async def test_upstream_withdrawn_during_connect_gets_no_request(
    change: str,
) -> None:
    """DRAIN, issue 19: a choice was not checked again before the first byte."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        withdrawn: list[str] = []
        connect = node.upstream_pool._connect

        async def connect_slowly(key: str, address: str) -> Any:
            connection = await connect(key, address)
            if not withdrawn:
                withdrawn.append(key.partition("@")[0])
                await _withdraw(fleet, node, withdrawn[0], change)
            return connection

        node.upstream_pool._connect = connect_slowly  # type: ignore[method-assign]
        reply = await platform_standins.send_request(
            node.settings.listen, "/ask/1", "POST", b"q", PROMPT
        )
        assert reply is not None and reply.status == 200
        assert withdrawn
        assert withdrawn[0] not in {each.upstream for each in fleet.seen}
        budgets = node.forwarder.attempts._dependencies.budgets
        assert "llm" not in budgets._extras_by_service


async def test_upstream_gets_the_time_left_after_a_slow_connect() -> None:
    """BUDGET: the time limit was set before the connection was opened."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        connect = node.upstream_pool._connect

        async def connect_slowly(key: str, address: str) -> Any:
            await asyncio.sleep(0.6)
            return await connect(key, address)

        node.upstream_pool._connect = connect_slowly  # type: ignore[method-assign]
        reply = await platform_standins.send_request(
            node.settings.listen, "/look/1"
        )
        assert reply is not None and reply.status == 200
        (seen,) = fleet.seen
        left_ms = int(seen.header_by_name["x-lycheegw-deadline-ms"])
        assert left_ms <= 2000 - 600


async def _withdraw(
    fleet: fleet_harness.Fleet,
    node: edge_app.EdgeNode,
    name: str,
    change: str,
) -> None:
    """Withdraws an upstream and waits until the node knows it."""
    upstream = fleet.upstream_by_name[name]
    table = node.state.upstreams
    if change == "leaving":
        entry = upstream.entry("llm", state="draining", sequence=2)
        await fleet.store.put("keyed.servers", name, entry)
        await fleet_harness.wait_until(
            lambda: table.by_id[name].entry.is_leaving, 3.0
        )
    elif change == "gone":
        await fleet.store.delete("keyed.servers", name)
        await fleet_harness.wait_until(lambda: name not in table.by_id, 3.0)
    elif change == "zone":
        entry = upstream.entry("llm", zone="z-b", sequence=2)
        await fleet.store.put("keyed.servers", name, entry)
        await fleet.store.put("keyed.op", "evacuate/z-b", {})
        await fleet_harness.wait_until(
            lambda: (
                node.directory.closed_zones == {"z-b"}
                and table.by_id[name].entry.zone == "z-b"
            ),
            3.0,
        )
    else:
        # Other nodes are this cold upstream's senders.
        rates = node.forwarder.attempts._dependencies.rates
        rates._rate = lambda *_: 0.0  # type: ignore[method-assign]
        entry = upstream.entry("llm", cold_remaining_ms=3000, sequence=2)
        await fleet.store.put("keyed.servers", name, entry)
        await fleet_harness.wait_until(
            lambda: table.by_id[name].cold_until_s > 0, 3.0
        )


async def test_leaving_upstream_gets_no_request_if_a_read_is_lost() -> None:
    """DRAIN, issue 19: a copy was used however old it got."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        fleet.store.silent_reads["keyed.servers"] = 1
        leaving = fleet.upstream_by_name["d1"].entry(
            "desk", state="draining", sequence=2
        )
        await fleet.store.put("keyed.servers", "d1", leaving)
        bound_s = time.monotonic() + node.settings.service_levels.drain_s
        while time.monotonic() < bound_s + 1.0:
            is_late = time.monotonic() > bound_s
            seen = len(fleet.seen)
            reply = await platform_standins.send_request(
                node.settings.listen, "/look/1"
            )
            assert reply is not None and reply.status == 200
            if is_late:
                assert "d1" not in {each.upstream for each in fleet.seen[seen:]}


async def test_leaving_upstream_gets_no_request_if_no_read_was_made() -> None:
    """DRAIN, issue 19: after a stall, requests went before the due read."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        _stop_planned_reads(node)
        leaving = fleet.upstream_by_name["d1"].entry(
            "desk", state="draining", sequence=2
        )
        await fleet.store.put("keyed.servers", "d1", leaving)
        await asyncio.sleep(node.settings.service_levels.drain_s)
        replies = await asyncio.gather(
            *(
                platform_standins.send_request(node.settings.listen, "/look/1")
                for _ in range(6)
            )
        )
        assert {each.status for each in replies if each is not None} == {200}
        assert {each.upstream for each in fleet.seen} == {"d2"}
        by_name = node.state.counters.by_name
        assert by_name["topics.outdated.renewed"] == 2


async def test_removed_key_is_refused_if_no_read_was_made() -> None:
    """CONFIG, issue 19: an outdated manifest still let a removed key in."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        _stop_planned_reads(node)
        tenants = [{"name": "acme", "api_keys": ["other"], "priority": 1}]
        changed = platform_standins.manifest(2, tenants=tenants)
        await fleet.store.put("keyed.op", "config", changed)
        await asyncio.sleep(node.settings.service_levels.config_apply_s)
        reply = await platform_standins.send_request(
            node.settings.listen, "/look/1"
        )
        assert reply is not None and reply.status == 401
        assert not fleet.seen


@pytest.mark.parametrize("fault", ["silent", "busy", "reset"])
async def test_requests_are_served_by_an_outdated_copy_without_the_store(
    fault: str,
) -> None:
    """platform_down: only the first request waits for reads."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        _stop_planned_reads(node)
        await asyncio.sleep(node.settings.service_levels.drain_s)
        fleet.store.fault = fault
        reads = []
        for _ in range(3):
            reply = await platform_standins.send_request(
                node.settings.listen, "/look/1"
            )
            assert reply is not None and reply.status == 200
            reads.append(fleet.store.calls["/v1/log-read"])
        assert reads[0] == reads[1] == reads[2]
        assert node.state.counters.by_name["topics.outdated.stuck"] == 2


def _stop_planned_reads(node: edge_app.EdgeNode) -> None:
    """Makes a node read the store only if a request needs it."""
    readers = node.topic_readers
    readers.read_ages = topic_readers.ReadAges(60.0, 60.0)
    readers._is_watcher = lambda _: False  # type: ignore[method-assign]


async def test_closed_zone_gets_no_work_until_it_is_reopened() -> None:
    """evacuate: once reopened, its upstreams count as cold."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        moved = fleet.upstream_by_name["m1"].entry(
            "llm", zone="z-b", sequence=2
        )
        await fleet.store.put("keyed.servers", "m1", moved)
        await fleet.store.put("keyed.op", "evacuate/z-b", {})
        await fleet_harness.wait_until(
            lambda: node.directory.closed_zones == {"z-b"}, 2.0
        )
        table = node.state.upstreams.by_id
        await fleet_harness.wait_until(
            lambda: table["m1"].entry.zone == "z-b", 2.0
        )
        for _ in range(4):
            await platform_standins.send_request(
                node.settings.listen, "/ask/1", "POST", b"q", PROMPT
            )
        assert {each.upstream for each in fleet.seen} == {"m2"}
        await fleet.store.delete("keyed.op", "evacuate/z-b")
        await fleet_harness.wait_until(
            lambda: not node.directory.closed_zones, 2.0
        )
        now_s = node.state.environment.monotonic_s()
        assert node.state.upstreams.by_id["m1"].is_cold(now_s)
        assert not node.state.upstreams.by_id["m2"].is_cold(now_s)


async def test_nodes_share_the_reading_of_the_store() -> None:
    """At most two calls a second, regardless of the number of nodes."""
    async with fleet_harness.fleet(nodes=4) as fleet:
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 4 for node in fleet.nodes
            )
        )
        before = sum(fleet.store.calls.values())
        await asyncio.sleep(3.0)
        calls = sum(fleet.store.calls.values()) - before
        assert calls <= 2 * 3 + 1
        for node in fleet.nodes:
            assert node.topic_readers.age_s(topics.Topic.UPSTREAMS) < 1.2


async def test_start_of_a_fleet_makes_few_store_calls() -> None:
    """Four calls per node, and few others until all nodes are connected."""
    async with fleet_harness.fleet(nodes=4) as fleet:
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 4 for node in fleet.nodes
            )
        )
        await asyncio.sleep(1.0)
        assert sum(fleet.store.calls.values()) <= 4 * 4 + 6


async def test_starting_node_reads_the_outcome_of_a_roll_out() -> None:
    async with fleet_harness.fleet(nodes=1) as fleet:
        order = {"service": "llm", "target": "v2", "duration_s": 5}
        await fleet.store.put("keyed.op", "rollout/llm", order)
        outcome = {"state": "rolled_back", "target": "v2"}
        await fleet.store.put("keyed.status", "rollout/llm", outcome)
        new_node = await fleet.add_node()
        await fleet_harness.wait_until(
            lambda: "llm" in new_node.directory.outcome_by_service, 2.0
        )
        assert not new_node.canary_rollouts.allows_version("llm", "v2")


async def test_good_version_is_rolled_out() -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        for name in ("m3", "m4"):
            await fleet.add_upstream(name, "llm", version="v2")
        await fleet_harness.wait_until(lambda: _all_have_upstreams(fleet, 6))
        await fleet.store.put(
            "keyed.op",
            "rollout/llm",
            {"service": "llm", "target": "v2", "duration_s": 5},
        )

        def outcome() -> dict[str, str]:
            value = fleet.store.newest("keyed.status").get("rollout/llm", b"{}")
            loaded: dict[str, str] = json.loads(value)
            return loaded

        async def ask_until_completed() -> None:
            number = 0
            while outcome().get("state") != "completed":
                node = fleet.nodes[number % 2]
                await platform_standins.send_request(
                    node.settings.listen, "/ask/1", "POST", b"q", PROMPT
                )
                number += 1

        async with asyncio.timeout(8):
            await ask_until_completed()
        fleet.seen.clear()
        for node in fleet.nodes:
            await platform_standins.send_request(
                node.settings.listen, "/ask/1", "POST", b"q", PROMPT
            )
        assert {each.upstream for each in fleet.seen} <= {"m3", "m4"}


async def test_bad_version_is_rolled_back_by_all_nodes() -> None:
    """rollout_bad, errors: a node acts on failures that another counts."""
    async with fleet_harness.fleet(nodes=2) as fleet:
        for name in ("m3", "m4"):
            upstream = await fleet.add_upstream(name, "llm", version="v2")
            upstream.status = 500
        await fleet_harness.wait_until(lambda: _all_have_upstreams(fleet, 6))
        await fleet.store.put(
            "keyed.op",
            "rollout/llm",
            {"service": "llm", "target": "v2", "duration_s": 20},
        )
        first, second = fleet.nodes
        await fleet_harness.wait_until(
            lambda: (
                bool(first.directory.rollout_by_service)
                and bool(second.directory.rollout_by_service)
            )
        )
        number = 0
        while first.canary_rollouts.share("llm") > 0:
            await platform_standins.send_request(
                first.settings.listen, f"/ask/{number}", "POST", b"q", PROMPT
            )
            number += 1
            assert number < 400
        await fleet_harness.wait_until(
            lambda: second.canary_rollouts.share("llm") == 0, 1.0
        )
        await fleet_harness.wait_until(
            lambda: (
                b"rolled_back"
                in fleet.store.newest("keyed.status").get("rollout/llm", b"")
            ),
            3.0,
        )


async def test_ready_and_metrics_pages() -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        ready = await platform_standins.send_request(
            node.settings.readiness_listen, "/v1/readyz"
        )
        assert ready is not None and ready.status == 200
        await platform_standins.send_request(node.settings.listen, "/look/1")
        page = await platform_standins.send_request(
            node.settings.metrics_listen, "/metrics"
        )
        assert page is not None
        assert b"lycheegw_manifest_version 1" in page.body
        assert b"lycheegw_process_cpu_s " in page.body
        assert b'lycheegw_head_seconds_count{of="look"} 1' in page.body
        node.is_draining = True
        ready = await platform_standins.send_request(
            node.settings.readiness_listen, "/v1/readyz"
        )
        assert ready is not None and ready.status == 503


async def test_draining_node_serves_short_requests_only() -> None:
    """roll_term: if most nodes of a zone shut down, clients still connect."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        node.is_draining = node.is_refusing_streams = True
        node.server.is_closing = True
        reply = await platform_standins.send_request(
            node.settings.listen, "/look/1"
        )
        assert reply is not None and reply.status == 200
        assert reply.header_by_name["connection"] == "close"
        reply = await platform_standins.send_request(
            node.settings.listen, "/ask/1", "POST", b"q", PROMPT
        )
        assert reply is not None and reply.status == 503
        assert float(reply.header_by_name["retry-after"]) > 0


async def test_drain_waits_for_running_requests() -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 1.0
        running = asyncio.create_task(
            platform_standins.send_request(
                node.settings.listen, "/book/1", "POST", b"crew"
            )
        )
        await fleet_harness.wait_until(lambda: node.server.running == 1)
        await node.drain()
        reply = await running
        assert reply is not None and reply.status == 200


# Guards against requests that a draining node takes and resets when it stops.
async def test_no_request_is_lost_at_the_end_of_a_drain() -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        levels = node.settings.service_levels._replace(grace_s=4.0)
        node.settings = node.settings._replace(service_levels=levels)
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 0.5
        answered: dict[str, int] = {}

        async def send(number: int) -> None:
            attempt_id = f"drain-{number}"
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reply = await platform_standins.send_request(
                    node.settings.listen,
                    "/book/1",
                    "POST",
                    b"crew",
                    {"X-Lycheegw-Attempt-Id": attempt_id},
                )
                if reply is not None and reply.is_whole:
                    answered[attempt_id] = reply.status

        async def stop() -> None:
            await node.drain()
            await node.application.stop()

        stopping = asyncio.create_task(stop())
        async with asyncio.TaskGroup() as group:
            for number in range(80):
                group.create_task(send(number))
                await asyncio.sleep(0.05)
        await stopping
        ran = {
            each.header_by_name["x-lycheegw-attempt-id"] for each in fleet.seen
        }
        assert len(ran) >= 20
        assert ran <= answered.keys()
        assert set(answered.values()) <= {200, 503}


async def test_ejected_upstreams_are_used_again_without_the_store() -> None:
    """srv_crash while the store is down: no entry reports their restart."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        # A new node gets no share of the rate of a cold upstream.
        await fleet_harness.wait_until(
            lambda: node.node_registry.settled_members() is not None
        )
        fleet.store.fault = "busy"
        table = node.state.upstreams.by_id
        now_s = node.state.environment.monotonic_s()
        for name in ("m1", "m2"):
            table[name].connect_failed_s = now_s
        await platform_standins.send_request(
            node.settings.listen, "/ask/1", "POST", b"q", PROMPT
        )
        assert len(fleet.seen) == 1
        answered = table[fleet.seen[0].upstream]
        assert answered.connect_failed_s is None
        now_s = node.state.environment.monotonic_s()
        assert answered.is_cold(now_s)
        assert not answered.is_cold(now_s + 3.1)


async def test_request_without_a_connection_is_reported_not_run() -> None:
    """zone_cut: an unsafe request that timed out connecting may be retried."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        manifest = platform_standins.manifest(2)
        manifest["routes"][1]["timeout_ms"] = 300
        await fleet.store.put("keyed.op", "config", manifest)
        await fleet_harness.wait_until(
            lambda: (
                node.directory.manifest is not None
                and node.directory.manifest.version == 2
            )
        )

        async def never_return(*_: object) -> None:
            await asyncio.sleep(10)

        node.upstream_pool._connect = never_return  # type: ignore[assignment,method-assign]
        reply = await platform_standins.send_request(
            node.settings.listen, "/book/1", "POST", b"crew"
        )
        assert reply is not None and reply.status == 503
        assert not fleet.seen


async def test_request_waits_until_a_started_node_is_ready() -> None:
    """kill_all, power_off_all: clients reconnect before the store is read."""
    async with fleet_harness.fleet() as fleet:
        fleet.store.fault = "busy"
        node = await fleet.add_node()
        # Two failed reads then take 0.15 s, half of the client's wait.
        node.topic_readers._jitter = lambda: 0.5  # type: ignore[method-assign]
        pending_reply = asyncio.create_task(
            platform_standins.send_request(node.settings.listen, "/look/1")
        )
        await asyncio.sleep(0.05)
        fleet.store.fault = ""
        reply = await pending_reply
        assert reply is not None and reply.status == 200


async def test_node_without_initial_state_refuses_requests() -> None:
    async with fleet_harness.fleet() as fleet:
        fleet.store.fault = "busy"
        node = await fleet.add_node()
        node.peers.apply_host_list([])
        reply = await platform_standins.send_request(
            node.settings.listen, "/look/1"
        )
        assert reply is not None and reply.status == 503
        ready = await platform_standins.send_request(
            node.settings.readiness_listen, "/v1/readyz"
        )
        assert ready is not None and ready.status == 503


async def test_upstream_that_is_silent_for_a_second_keeps_its_requests() -> (
    None
):
    """It goes on; nothing was lost, and nothing is to blame."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        for name in ("m1", "m2"):
            fleet.upstream_by_name[name].silence_s = 1.3
        replies = await asyncio.gather(
            *(
                platform_standins.send_request(
                    node.settings.listen, "/ask/1", "POST", b"q", PROMPT
                )
                for _ in range(6)
            )
        )
        for reply in replies:
            assert reply is not None and reply.status == 200
            assert reply.body.count(b"data: token") == 5
        assert len(fleet.seen) == 6
        counters = node.state.counters.by_name
        assert counters["suspects.strikes"] == 0
        assert not node.reach.is_cut_off


async def test_request_that_crashes_upstreams_runs_at_most_twice() -> None:
    """A request that crashes upstreams, sent again to another node."""
    async with fleet_harness.fleet(nodes=2) as fleet:
        for name in ("m3", "m4"):
            await fleet.add_upstream(name, "llm")
        first, second = fleet.nodes
        await fleet_harness.wait_until(
            lambda: all(
                len(node.state.upstreams.by_id) == 6
                and len(node.peers.live_nodes()) == 2
                for node in fleet.nodes
            )
        )
        reply = await platform_standins.send_request(
            first.settings.listen,
            "/ask/1",
            "POST",
            platform_standins.CRASHING_BODY,
            PROMPT,
        )
        assert reply is not None and reply.status == 502
        assert len({each.upstream for each in fleet.seen}) == 2
        for node in (second, first):
            reply = await platform_standins.send_request(
                node.settings.listen,
                "/ask/1",
                "POST",
                platform_standins.CRASHING_BODY,
                PROMPT,
            )
            assert reply is not None and reply.status == 503
        assert len(fleet.seen) == 2
        reply = await platform_standins.send_request(
            second.settings.listen, "/ask/1", "POST", b"q", PROMPT
        )
        assert reply is not None and reply.status == 200


async def test_node_with_an_outdated_configuration_refuses_with_503() -> None:
    """platform_down, node_cut: the route or key may have been added since."""
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        upstreams_state = node.state_by_topic[topics.Topic.UPSTREAMS]
        fleet.store.fault = "busy"
        upstreams_state.confirmed_s -= 60
        for path, key in (
            ("/new/1", platform_standins.API_KEY),
            ("/look/1", "new-key"),
        ):
            reply = await platform_standins.send_request(
                node.settings.listen, path, headers={"Api-Key": key}
            )
            assert reply is not None and reply.status == 503
        reply = await platform_standins.send_request(
            node.settings.listen, "/look/1"
        )
        assert reply is not None and reply.status == 200


# Guards against bounds over all nodes that a node exceeds since the others
# don't count it yet, or since it does not know them.
async def test_node_that_joins_gets_no_part_of_shared_bounds_at_first() -> None:
    async with fleet_harness.fleet(nodes=1) as fleet:
        first = fleet.nodes[0].node_registry
        assert first.budget_member_count(10.0) == 1
        second = (await fleet.add_node()).node_registry
        assert second.budget_member_count(10.0) is None
        assert second.settled_members() is None
        await fleet_harness.wait_until(
            lambda: first.budget_member_count(10.0) == 2, 2.0
        )
        await fleet_harness.wait_until(
            lambda: second.settled_members() == ["node-1", "node-2"]
        )
        assert second.budget_member_count(0.0) == 2
        assert second.budget_member_count(10.0) is None


async def test_node_that_restarts_keeps_its_part_of_shared_bounds() -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        node = fleet.nodes.pop()
        await node.application.stop()
        restarted = (await fleet.add_node()).node_registry
        await fleet_harness.wait_until(
            lambda: restarted.settled_members() == ["node-1", "node-2"], 2.0
        )
        assert restarted.budget_member_count(10.0) == 2


async def test_nodes_know_the_backlogs_of_each_other_before_they_choose() -> (
    None
):
    """Over real links, the aggregator's own node included."""
    async with fleet_harness.fleet(3) as fleet:
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 3 for node in fleet.nodes
            )
        )
        first, *others = fleet.nodes
        with first.backlogs.track("m1", 4.0):
            await asyncio.sleep(0.1)
            for node in others:
                await node.backlogs.refresh()
                assert node.backlogs.wait_s("m1") == 4.0
                assert node.backlogs.age_s() < 0.5
        await asyncio.sleep(0.1)
        for node in others:
            await node.backlogs.refresh()
            assert node.backlogs.wait_s("m1") == 0.0
