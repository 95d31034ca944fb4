"""What entries of upstreams say is taken over as far as it can be trusted."""

import json
from typing import Any

from lycheegw.coordination import directory
from lycheegw.platform import records
from lycheegw.state import topics
from tests import fakes

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


class World:
    """A directory and the topics that it reads, under a clock."""

    def __init__(self) -> None:
        self.clock = fakes.Clock()
        self.state = fakes.node(self.clock, "n1")
        self.topics = {
            topic: topics.TopicState(topic) for topic in topics.Topic
        }
        self.directory = directory.Directory(
            self.state,
            records.CODEC,
            self.topics,
            HEARTBEAT_S,
            lambda *_, **__: None,
        )
        self.offset = 0

    def put(self, topic: topics.Topic, key: str, value: Any) -> None:
        """Lets a record be read now; None deletes its key."""
        data = value
        if value is not None and not isinstance(value, bytes):
            data = json.dumps(value).encode()
        record = topics.TopicRecord(key, self.offset, data)
        self.offset += 1
        known = self.topics[topic]
        changed = known.take(topics.TopicPage([record], self.offset, False))
        known.confirm(self.clock.now_s, "n1")
        self.directory.apply(topic, changed)

    def upstream(self, key: str, **changes: Any) -> None:
        self.put(topics.Topic.UPSTREAMS, key, {**ENTRY, **changes})

    def delete(self, key: str) -> None:
        self.put(topics.Topic.UPSTREAMS, key, None)

    def ids(self) -> set[str]:
        return {each.entry.host_id for each in self.state.upstreams.pool("llm")}


def test_late_heartbeat_takes_nothing_back() -> None:
    """An entry that was on its way when a newer one was written."""
    world = World()
    world.upstream("a", state="draining", sequence=5)
    world.upstream("a", sequence=4)
    assert world.ids() == set()
    world.upstream("a", sequence=6)
    assert world.ids() == set()


def test_new_start_under_the_same_id_knows_nothing_of_before() -> None:
    world = World()
    world.upstream("a", state="draining", sequence=9)
    world.upstream("a", born=2000, sequence=1, cold_remaining_ms=3000)
    assert world.ids() == {"a"}
    upstream = world.state.upstreams.by_id["a"]
    assert upstream.report is None
    assert upstream.is_cold(world.clock.now_s + 2.9)
    assert not upstream.is_cold(world.clock.now_s + 3.1)


def test_entry_of_another_writer_changes_nothing() -> None:
    world = World()
    world.upstream("a")
    world.put(topics.Topic.UPSTREAMS, "a", b"\xff\xfe")
    world.upstream("a", state="retired", sequence=9)
    world.upstream("b", slots="many")
    assert world.ids() == {"a"}


def test_address_of_an_upstream_that_is_gone_belongs_to_the_latest() -> None:
    """replace_with_reuse: the former entry lingers."""
    world = World()
    world.upstream("a")
    world.upstream("b", born=5000, sequence=1)
    assert world.ids() == {"b"}


def test_entry_that_goes_while_the_store_is_there_is_gone() -> None:
    world = World()
    world.upstream("a")
    world.clock.now_s += 0.7
    world.delete("a")
    assert world.ids() == set()


def test_entry_that_lapsed_while_the_store_was_away_may_come_back() -> None:
    """platform_down, lapse: back within two seconds, or gone."""
    world = World()
    world.upstream("a")
    world.upstream("b", address="10.0.0.2:80")
    world.clock.now_s += 5.0
    world.delete("a")
    world.delete("b")
    assert world.ids() == {"a", "b"}
    world.clock.now_s += 1.0
    world.upstream("a", sequence=9)
    world.clock.now_s += 1.5
    world.directory.expire_lapsed()
    assert world.ids() == {"a"}


def test_upstream_that_lapsed_is_the_last_choice() -> None:
    world = World()
    world.upstream("a")
    world.clock.now_s += 5.0
    world.delete("a")
    assert not world.state.upstreams.by_id["a"].is_listed


def test_zone_that_is_taken_back_counts_as_cold() -> None:
    """evacuate: its upstreams may have turned cold meanwhile."""
    world = World()
    world.upstream("a")
    world.put(topics.Topic.ORDERS, "evacuate/z-a", {})
    assert world.directory.closed_zones == {"z-a"}
    world.put(topics.Topic.ORDERS, "evacuate/z-a", None)
    upstream = world.state.upstreams.by_id["a"]
    assert upstream.is_cold(world.clock.now_s + 2 * HEARTBEAT_S)
    assert not upstream.is_cold(world.clock.now_s + 3 * HEARTBEAT_S)


def test_silent_store_is_noticed() -> None:
    world = World()
    assert world.directory.is_store_silent
    world.upstream("a")
    assert not world.directory.is_store_silent
    world.clock.now_s += 3.1
    assert world.directory.is_store_silent
