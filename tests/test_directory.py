"""The directory applies entries of upstreams and orders from the store."""

import json
from typing import Any

import pytest

from lycheegw.coordination import directory
from lycheegw.platform import records
from lycheegw.state import topics
from tests import fakes
from tests.platform import platform_standins

HEARTBEAT_S = 1.2
ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 3,
    "born": 1000,
}


class DirectoryFixture:
    """A directory with its topics and a clock that the test sets."""

    def __init__(self) -> None:
        self.clock = fakes.ManualClock()
        self.state = fakes.node(self.clock, "n1")
        self.topics = {
            topic: topics.TopicState(topic) for topic in topics.Topic
        }
        self.directory = directory.Directory(
            self.state,
            records.create_codec(),
            self.topics,
            HEARTBEAT_S,
            lambda *_, **__: None,
        )
        self.offset = 0
        self.era = 0

    def put(self, topic: topics.Topic, key: str, value: Any) -> None:
        """Applies a record as if it was read now; None deletes its key."""
        data = value
        if value is not None and not isinstance(value, bytes):
            data = json.dumps(value).encode()
        record = topics.TopicRecord(key, self.offset, data)
        self.offset += 1
        known = self.topics[topic]
        changed = known.apply_page(
            topics.TopicPage([record], self.offset, False, era=known.era)
        )
        known.confirm(self.clock.now_s, "n1")
        self.directory.apply(topic, changed)

    def upstream(self, key: str, **changes: Any) -> None:
        self.put(topics.Topic.UPSTREAMS, key, {**ENTRY, **changes})

    def delete(self, key: str) -> None:
        self.put(topics.Topic.UPSTREAMS, key, None)

    def ids(self) -> set[str]:
        return {
            each.entry.host_id
            for each in self.state.upstreams.accepting_in_pool("llm")
        }


def test_late_heartbeat_does_not_undo_draining() -> None:
    """An older entry arrives after the one that announced draining."""
    fixture = DirectoryFixture()
    fixture.upstream("a", state="draining", sequence=5)
    fixture.upstream("a", sequence=4)
    assert fixture.ids() == set()
    fixture.upstream("a", sequence=6)
    assert fixture.ids() == set()


def test_restart_with_the_same_id_resets_the_upstream() -> None:
    fixture = DirectoryFixture()
    fixture.upstream("a", state="draining", sequence=9)
    fixture.upstream("a", born=2000, sequence=1, cold_remaining_ms=3000)
    assert fixture.ids() == {"a"}
    upstream = fixture.state.upstreams.by_id["a"]
    assert upstream.report is None
    assert upstream.is_cold(fixture.clock.now_s + 2.9)
    assert not upstream.is_cold(fixture.clock.now_s + 3.1)


def test_invalid_entries_are_ignored() -> None:
    fixture = DirectoryFixture()
    fixture.upstream("a")
    fixture.put(topics.Topic.UPSTREAMS, "a", b"\xff\xfe")
    fixture.upstream("a", state="retired", sequence=9)
    fixture.upstream("b", slots="many")
    assert fixture.ids() == {"a"}


def test_reused_address_belongs_to_the_latest_start() -> None:
    """Case replace_with_reuse: the old entry of a reused address remains."""
    fixture = DirectoryFixture()
    fixture.upstream("a")
    fixture.upstream("b", born=5000, sequence=1)
    assert fixture.ids() == {"b"}


def test_deleted_entry_removes_the_upstream() -> None:
    fixture = DirectoryFixture()
    fixture.upstream("a")
    fixture.clock.now_s += 0.7
    fixture.delete("a")
    assert fixture.ids() == set()


def test_entry_that_expired_in_a_store_outage_may_return() -> None:
    """Cases platform_down and lapse.

    Entries that expire during an outage of the store are removed unless they
    are written again within about two seconds of its return.
    """
    fixture = DirectoryFixture()
    fixture.upstream("a")
    fixture.upstream("b", address="10.0.0.2:80")
    fixture.clock.now_s += 5.0
    fixture.delete("a")
    fixture.delete("b")
    assert fixture.ids() == {"a", "b"}
    fixture.clock.now_s += 1.0
    fixture.upstream("a", sequence=9)
    fixture.clock.now_s += 1.5
    fixture.directory.expire_lapsed()
    assert fixture.ids() == {"a"}


def test_upstream_with_an_expired_entry_is_unlisted() -> None:
    fixture = DirectoryFixture()
    fixture.upstream("a")
    fixture.clock.now_s += 5.0
    fixture.delete("a")
    assert not fixture.state.upstreams.by_id["a"].is_listed


def test_upstreams_of_a_reopened_zone_count_as_cold() -> None:
    """Case evacuate: upstreams may have become cold in a closed zone."""
    fixture = DirectoryFixture()
    fixture.upstream("a")
    fixture.put(topics.Topic.ORDERS, "evacuate/z-a", {})
    assert fixture.directory.closed_zones == {"z-a"}
    fixture.put(topics.Topic.ORDERS, "evacuate/z-a", None)
    upstream = fixture.state.upstreams.by_id["a"]
    assert upstream.is_cold(fixture.clock.now_s + 2 * HEARTBEAT_S)
    assert not upstream.is_cold(fixture.clock.now_s + 3 * HEARTBEAT_S)


def test_store_without_reads_is_silent() -> None:
    fixture = DirectoryFixture()
    assert fixture.directory.is_store_silent
    fixture.upstream("a")
    assert not fixture.directory.is_store_silent
    fixture.clock.now_s += 3.1
    assert fixture.directory.is_store_silent


def test_confirmation_alone_does_not_apply_the_list_again() -> None:
    """Issue 26: each message of each neighbour did."""
    fixture = DirectoryFixture()
    fixture.upstream("u1")
    applied: list[None] = []
    apply = fixture.directory._apply_upstreams
    fixture.directory._apply_upstreams = lambda: applied.append(apply())  # type: ignore[method-assign]
    known = fixture.topics[topics.Topic.UPSTREAMS]
    for _ in range(5):
        fixture.clock.now_s += 1.0
        known.confirm(fixture.clock.now_s, "n1")
        fixture.directory.apply(topics.Topic.UPSTREAMS, set())
    assert not applied
    fixture.upstream("u1", sequence=4)
    assert len(applied) == 1


def _manifest(version: int, **changes: Any) -> dict[str, Any]:
    return platform_standins.manifest(version, **changes)


@pytest.mark.parametrize(
    ("value", "reason"),
    [
        (b'{"version": 2, "routes": [', "manifest"),
        (b"[]", "manifest"),
        (json.dumps(_manifest(2, routes=[{"name": "r"}])).encode(), "routes/0"),
        (json.dumps(_manifest(2, tenants=["acme"])).encode(), "manifest"),
        (
            json.dumps(_manifest(2, limits={"idle_timeout_ms": "1"})).encode(),
            "manifest",
        ),
        (b'{"version": 2, "fill": "%s"}' % (b"x" * 9_000_000), "at most"),
    ],
)
def test_manifest_that_cannot_be_used_leaves_the_former_one(
    value: bytes, reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    """One line tells why, and the orders beside it are applied."""
    fixture = DirectoryFixture()
    fixture.put(topics.Topic.ORDERS, "config", _manifest(1))
    with caplog.at_level("ERROR"):
        fixture.put(topics.Topic.ORDERS, "config", value)
        fixture.put(topics.Topic.ORDERS, "evacuate/z-a", {})
    manifest = fixture.directory.manifest
    assert manifest is not None and manifest.version == 1
    assert fixture.directory.closed_zones == {"z-a"}
    assert len(caplog.records) == 1
    assert reason in caplog.text
    fixture.put(topics.Topic.ORDERS, "config", _manifest(3))
    manifest = fixture.directory.manifest
    assert manifest is not None and manifest.version == 3


def test_first_of_two_routes_with_one_prefix_counts() -> None:
    fixture = DirectoryFixture()
    routes = _manifest(1)["routes"]
    twice = [*routes, {**routes[0], "name": "again"}]
    fixture.put(topics.Topic.ORDERS, "config", _manifest(1, routes=twice))
    manifest = fixture.directory.manifest
    assert manifest is not None
    route = manifest.find_route(platform_standins.HOST, "/look/1")
    assert route is not None and route.name == "look"


class _RestoredStore(DirectoryFixture):
    """A directory whose store is restored from a backup."""

    def restore(
        self, topic: topics.Topic, value_by_key: dict[str, Any]
    ) -> None:
        """Applies the topic as it is in the next era."""
        known = self.topics[topic]
        records_ = [
            topics.TopicRecord(key, at, json.dumps(value).encode())
            for at, (key, value) in enumerate(value_by_key.items())
        ]
        self.offset = len(records_)
        changed = known.apply_page(
            topics.TopicPage(records_, self.offset, True, era=self.era + 1)
        )
        self.era += 1
        known.confirm(self.clock.now_s, "n1")
        self.directory.apply(topic, changed)


def test_upstreams_of_a_restored_store_neither_return_nor_vanish_at_once() -> (
    None
):
    """DRAIN, issue 49: a backup has upstreams that left, and lacks new ones."""
    fixture = _RestoredStore()
    ports = {"gone": 1, "leaving": 2, "late": 3, "alive": 4}
    entries = {
        key: {**ENTRY, "address": f"10.0.0.1:{port}"}
        for key, port in ports.items()
    }
    fixture.restore(topics.Topic.UPSTREAMS, entries)
    fixture.upstream("leaving", state="draining", sequence=4)
    fixture.delete("gone")
    fixture.upstream("late", address="10.0.0.1:3", sequence=4)
    late = entries.pop("late")
    fixture.restore(topics.Topic.UPSTREAMS, entries)
    assert fixture.ids() == {"late", "alive"}
    fixture.clock.now_s += 1.0
    fixture.upstream("gone", address="10.0.0.1:1", sequence=5)
    assert fixture.ids() == {"gone", "late", "alive"}
    fixture.clock.now_s += 2.0
    fixture.directory.expire_lapsed()
    assert fixture.ids() == {"gone", "alive"}
    fixture.upstream("late", **{**late, "sequence": 6})
    assert fixture.ids() == {"gone", "late", "alive"}


def test_new_upstream_at_a_lost_offset_is_applied() -> None:
    """DRAIN, issue 49: an entry with the offset of a lost one was skipped."""
    fixture = _RestoredStore()
    fixture.restore(topics.Topic.UPSTREAMS, {"a": ENTRY})
    fixture.upstream("a", sequence=4)
    fixture.restore(topics.Topic.UPSTREAMS, {"a": ENTRY})
    fixture.upstream("a", state="draining", sequence=5)
    assert fixture.ids() == set()


def test_manifest_that_a_restored_store_lacks_stays_in_force() -> None:
    """CONFIG, issue 49: a node never serves by an older one than before."""
    fixture = _RestoredStore()
    fixture.restore(topics.Topic.ORDERS, {"config": _manifest(1)})
    fixture.put(topics.Topic.ORDERS, "config", _manifest(5))
    fixture.restore(topics.Topic.ORDERS, {"config": _manifest(1)})
    manifest = fixture.directory.manifest
    assert manifest is not None and manifest.version == 5
    fixture.put(topics.Topic.ORDERS, "config", _manifest(12))
    manifest = fixture.directory.manifest
    assert manifest is not None and manifest.version == 12


@pytest.mark.parametrize("is_written_again", [True, False])
def test_zone_stays_closed_until_its_closure_can_be_written_again(
    is_written_again: bool,
) -> None:
    """EVAC, issue 49: a closure that the backup lacks was taken for ended."""
    fixture = _RestoredStore()
    fixture.restore(topics.Topic.ORDERS, {})
    fixture.put(topics.Topic.ORDERS, "evacuate/z-a", {})
    for _ in range(2):
        fixture.restore(topics.Topic.ORDERS, {})
        assert fixture.directory.closed_zones == {"z-a"}
    if is_written_again:
        fixture.put(topics.Topic.ORDERS, "evacuate/z-a", {})
    fixture.clock.now_s += 5.0
    fixture.directory.expire_lapsed()
    expected = {"z-a"} if is_written_again else set()
    assert fixture.directory.closed_zones == expected
    fixture.put(topics.Topic.ORDERS, "evacuate/z-a", None)
    assert not fixture.directory.closed_zones


def _rollout(target: str) -> dict[str, Any]:
    return {"service": "llm", "target": target, "duration_s": 20}


def test_roll_out_order_that_is_written_again_goes_on() -> None:
    """EXPOSURE, issue 49: each new offset began the canary phase again."""
    fixture = _RestoredStore()
    fixture.restore(topics.Topic.ORDERS, {"a": {}, "b": {}})
    fixture.put(topics.Topic.ORDERS, "rollout/llm", _rollout("v2"))
    ordered = fixture.directory.rollout_by_service["llm"]
    fixture.clock.now_s += 3.0
    fixture.restore(topics.Topic.ORDERS, {"a": {}})
    assert fixture.directory.rollout_by_service["llm"] == ordered
    fixture.put(topics.Topic.ORDERS, "rollout/llm", _rollout("v2"))
    again = fixture.directory.rollout_by_service["llm"]
    assert (again.offset, again.seen_s) == (ordered.offset, ordered.seen_s)
    # Another order is a new one, though it gets the offset of the lost one.
    fixture.put(topics.Topic.ORDERS, "rollout/llm", _rollout("v3"))
    other = fixture.directory.rollout_by_service["llm"]
    assert other.offset == ordered.offset
    assert (other.order.version, other.seen_s) == ("v3", fixture.clock.now_s)


def test_outcome_that_a_restored_store_lacks_stays_known() -> None:
    """EXPOSURE, issue 49: a version that was rolled back got work again."""
    fixture = _RestoredStore()
    outcomes = topics.Topic.OUTCOMES
    former = {"state": "completed", "target": "v1"}
    latest = {"state": "rolled_back", "target": "v2"}
    fixture.restore(outcomes, {"rollout/llm": former})
    fixture.put(outcomes, "rollout/llm", latest)
    fixture.restore(outcomes, {"rollout/llm": former})
    assert fixture.directory.outcome_by_service["llm"].version == "v2"
    assert set(fixture.directory.lost_outcomes) == {"llm"}
    fixture.put(outcomes, "rollout/llm", latest)
    assert not fixture.directory.lost_outcomes
