"""Entries that can't be used harm neither a node nor the other upstreams."""

import asyncio
import json
from typing import Any

import pytest

from lycheegw.state import topics
from tests.platform import fleet_harness
from tests.platform import platform_standins

_REQUESTS = 20
_LONG_NUMBER = int("9" * 400)


def _nested(levels: int) -> bytes:
    return b'{"service":' + b"[" * levels + b"]" * levels + b"}"


def _entry(**changes: Any) -> bytes:
    """Returns an entry that can be used but for the changes."""
    fields = {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "z-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1000,
        **changes,
    }
    return json.dumps(fields).encode()


async def _serve_all(fleet: fleet_harness.Fleet) -> None:
    """Checks that each node answers requests that must not be repeated."""
    for number in range(_REQUESTS):
        node = fleet.nodes[number % len(fleet.nodes)]
        reply = await platform_standins.send_request(
            node.settings.listen, f"/book/{number}", "POST", b"crew"
        )
        assert reply is not None
        assert reply.status == 200


# Guards against processes that end, or stop to follow the list of upstreams,
# because of one entry by another writer.
@pytest.mark.parametrize(
    "value",
    [
        pytest.param(_nested(100_000), id="nested"),
        pytest.param(b"[" * 200_000, id="nested without end"),
        pytest.param(_entry(cold_remaining_ms=_LONG_NUMBER), id="cold time"),
        pytest.param(
            _entry(cold_remaining_ms=0)[:-1] + b',"cold_remaining_ms":1e999}',
            id="infinite cold time",
        ),
        pytest.param(_entry(slots=_LONG_NUMBER), id="slots"),
        pytest.param(_entry(slots=-_LONG_NUMBER), id="negative slots"),
        pytest.param(_entry(born=_LONG_NUMBER), id="start"),
        pytest.param(_entry(sequence=_LONG_NUMBER), id="sequence"),
        pytest.param(_entry(version="\ud800"), id="version that is no text"),
        pytest.param(_entry(zone="\udfff"), id="zone that is no text"),
        pytest.param(_entry(state=["ready"]), id="state of another type"),
        pytest.param(b"\xff\xfe\xff", id="not UTF-8"),
    ],
)
async def test_malformed_entry_does_not_stop_the_reading_of_the_list(
    value: bytes,
) -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        await fleet.store.put("keyed.servers", "odd", value)
        await fleet.add_upstream("d3", "desk")
        await fleet.store.put(
            "keyed.servers",
            "d1",
            fleet.upstream_by_name["d1"].entry("desk", state="draining"),
        )
        await fleet_harness.wait_until(
            lambda: all(
                "d3" in (by_id := node.state.upstreams.by_id)
                and by_id["d1"].entry.is_leaving
                for node in fleet.nodes
            )
        )
        await _serve_all(fleet)
        assert {each.upstream for each in fleet.seen} == {"d2", "d3"}
        for node in fleet.nodes:
            assert "odd" not in node.state.upstreams.by_id
            counters = node.state.counters.by_name
            assert counters["upstreams.unreadable"] == 1


# Guards against requests that end without an answer whenever an upstream is
# chosen whose address can't be connected to.
@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:99999",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:8\u00b2",
        "127.0.0.1:\u0663\u0664",
        "127.0.0.1:" + "9" * 5000,
        "\ud800:80",
        "a..b:80",
        "x" * 70 + ".example:80",
        "127.0.0.1\x00:80",
        "upstream.example:80",
        "127.0.0.1",
        ":80",
    ],
)
async def test_entry_with_a_malformed_address_is_never_chosen(
    address: str,
) -> None:
    async with fleet_harness.fleet() as fleet:
        await fleet.store.put("keyed.servers", "odd", _entry(address=address))
        await fleet.add_upstream("d3", "desk")
        await fleet_harness.wait_until(
            lambda: "d3" in fleet.nodes[0].state.upstreams.by_id
        )
        await _serve_all(fleet)
        assert "odd" not in fleet.nodes[0].state.upstreams.by_id


# Guards against requests that end without an answer, or get another header,
# whenever an upstream is chosen whose id can't be a header.
@pytest.mark.parametrize("key", ["odd\r\nX-Other: 1", "odd\x00", "\u20ac", ""])
async def test_entry_with_a_malformed_id_is_never_chosen(key: str) -> None:
    async with fleet_harness.fleet() as fleet:
        listed = fleet.upstream_by_name["d1"].entry("desk")
        await fleet.store.put("keyed.servers", key, listed)
        await fleet.add_upstream("d3", "desk")
        await fleet_harness.wait_until(
            lambda: "d3" in fleet.nodes[0].state.upstreams.by_id
        )
        assert key not in fleet.nodes[0].state.upstreams.by_id
        await _serve_all(fleet)


# Guards against nodes that end, or stop to follow the list of nodes, because of
# one entry by another writer.
@pytest.mark.parametrize(
    "value",
    [
        pytest.param(_nested(100_000), id="nested"),
        pytest.param(b'{"address":"127.0.0.1:99999","zone":"z-a"}', id="port"),
        pytest.param(b'{"address":"127.0.0.1","zone":"z-a"}', id="no port"),
        pytest.param(b'{"address":"a..b:80","zone":"z-a"}', id="host"),
        pytest.param(b'{"address":"127.0.0.1:9","zone":"\\ud800"}', id="zone"),
        pytest.param(b'{"address":["127.0.0.1:9"],"zone":"z-a"}', id="type"),
        pytest.param(b"[]", id="list"),
        pytest.param(b"\xff", id="not JSON"),
    ],
)
async def test_malformed_node_entry_does_not_hide_the_others(
    value: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        await fleet.store.put("keyed.nodes", "odd", value)
        await fleet.add_node()
        await fleet_harness.wait_until(
            lambda: all(
                set(node.node_registry.members())
                == {"node-1", "node-2", "node-3"}
                and len(node.peers.live_nodes()) == 3
                for node in fleet.nodes
            )
        )
        await asyncio.sleep(2.2)
        await fleet.store.put("keyed.nodes", "odd", value + b" ")
        for node in fleet.nodes:
            await node.topic_readers.load(topics.Topic.NODES)
            assert node.state.counters.by_name["nodes.unreadable"] == 2
            assert node.node_registry.member_count() == 3
    assert not [each for each in caplog.records if each.exc_info]


# Guards against nodes that no longer follow the outcomes of roll-outs because
# of one record by another writer.
@pytest.mark.parametrize(
    "value",
    [
        pytest.param(_nested(100_000), id="nested"),
        pytest.param(b'{"state":[],"target":"v2"}', id="state of another type"),
        pytest.param(b'{"state":{},"target":"v2"}', id="state of no type"),
        pytest.param(b'{"state":"odd","target":"v2"}', id="state"),
        pytest.param(b'{"state":"completed","target":1}', id="target"),
        pytest.param(b'{"state":"completed","target":"\\ud800"}', id="no text"),
    ],
)
async def test_malformed_outcome_does_not_hide_the_others(value: bytes) -> None:
    async with fleet_harness.fleet() as fleet:
        await fleet.store.put("keyed.status", "rollout/desk", value)
        outcome = {"state": "rolled_back", "target": "v2"}
        await fleet.store.put("keyed.status", "rollout/llm", outcome)
        node = fleet.nodes[0]
        assert await node.topic_readers.load(topics.Topic.OUTCOMES)
        assert set(node.directory.outcome_by_service) == {"llm"}
        assert node.state.counters.by_name["outcomes.unreadable"] == 1


# Guards against nodes that no longer follow the orders because of one record
# that can't be used.
@pytest.mark.parametrize(
    ("key", "value"),
    [
        pytest.param("config", _nested(100_000), id="nested manifest"),
        pytest.param("config", b"[" * 200_000, id="nested without end"),
        pytest.param(
            "config",
            json.dumps(
                platform_standins.manifest(9, limits={"max_body_bytes": 1e308})
            )
            .replace("1e+308", "1e999")
            .encode(),
            id="infinite limit",
        ),
        pytest.param(
            "config",
            json.dumps(
                platform_standins.manifest(
                    9, limits={"idle_timeout_ms": _LONG_NUMBER}
                )
            ).encode(),
            id="long time",
        ),
        pytest.param(
            "config",
            json.dumps(platform_standins.manifest(_LONG_NUMBER)).encode(),
            id="long version",
        ),
        pytest.param("rollout/llm", _nested(100_000), id="nested roll-out"),
        pytest.param(
            "rollout/llm",
            json.dumps(
                {"service": "llm", "target": "v2", "duration_s": _LONG_NUMBER}
            ).encode(),
            id="long roll-out",
        ),
        pytest.param("odd/key", _nested(100_000), id="unknown key"),
    ],
)
async def test_malformed_order_does_not_hide_the_others(
    key: str, value: bytes
) -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        await fleet.store.put("keyed.op", key, value)
        await fleet.store.put("keyed.op", "evacuate/z-b", {})
        await fleet_harness.wait_until(
            lambda: all(
                node.directory.closed_zones == {"z-b"} for node in fleet.nodes
            )
        )
        await _serve_all(fleet)
        await fleet.store.put(
            "keyed.op", "config", platform_standins.manifest(10)
        )
        await fleet_harness.wait_until(
            lambda: all(
                (manifest := node.directory.manifest) is not None
                and manifest.version == 10
                for node in fleet.nodes
            )
        )
        is_known = key != "odd/key"
        for node in fleet.nodes:
            counters = node.state.counters.by_name
            assert counters.get("orders.unreadable", 0) == is_known
