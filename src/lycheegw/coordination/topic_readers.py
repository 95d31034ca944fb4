"""Reads the store's topics so that the fleet together makes few calls.

Topics are polled: the nodes read in turn, each when the newest news that it has
is older than the turn allows. Who comes after the last reader waits shortest,
so that a reader that fails is replaced without anybody noticing that it failed.
One node holds a read of the orders open besides, so that most of them are known
at once; whether that read still lives, no other node can tell.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from lycheegw.coordination import rendezvous
from lycheegw.coordination import seams
from lycheegw.coordination import topic_exchange
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import topics

__all__ = ["Dependency", "ReadPace", "TopicReaders"]

# How far two nodes that follow each other in turn are apart; several times
# the way of news between zones.
_RANK_STEP_S = 0.2
_MAX_RANK = 6
# Longest wait of an open read; a connection that fell silent is noticed by
# its own probes before.
_WATCH_WAIT_S = 20.0
# A watcher that is replaced stops its open read within this time.
_ROLE_CHECK_S = 0.5
# Age at which a topic is read where a refresh was requested.
_REFRESH_AGE_S = 0.1
_RETRY_S = 0.1
_MAX_RETRY_S = 1.0
_TICK_S = 0.05


class ReadPace(NamedTuple):
    """How old what is known of a topic may get before a node reads.

    Attributes:
        turn_s: Age at which the next reader in turn reads.
        alone_s: Age at which a node that hears of no read reads by itself.
    """

    turn_s: float
    alone_s: float


class Dependency:
    """Tells the loss and the return of something that is depended upon."""

    def __init__(self, name: str, report: Callable[[str, bool, str], None]):
        self.name = name
        self.is_lost = False
        self._report = report

    def succeeded(self) -> None:
        """Takes note that it answered."""
        if self.is_lost:
            self.is_lost = False
            self._report(self.name, False, "")

    def failed(self, why: str) -> None:
        """Takes note that it did not."""
        if not self.is_lost:
            self.is_lost = True
            self._report(self.name, True, why)


class TopicReaders:
    """The loops that read the store.

    Attributes:
        pace: How old the list of upstreams may get.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        store: seams.KeyedStore,
        exchange: topic_exchange.TopicExchange,
        live_by_zone: Callable[[], Mapping[str, Sequence[str]]],
        pace: ReadPace,
        dependency: Dependency,
    ):
        self.pace = pace
        self._state = state
        self._store = store
        self._exchange = exchange
        self._live_by_zone = live_by_zone
        self._dependency = dependency
        self._own_id = state.identity.node_id
        self._refresh_requested: set[topics.Topic] = set()

    async def load(self, topic: topics.Topic) -> bool:
        """Reads a topic whole; returns whether that worked."""
        begun_s = self._now_s()
        try:
            page = await self._store.newest(topic)
        except errors.StoreError as error:
            self._failed(topic, error)
            return False
        self._succeeded(topic)
        self._exchange.take(topic, page, begun_s)
        return True

    async def load_until_known(self, topic: topics.Topic) -> None:
        """Reads a topic until it is known, from the store or a peer."""
        pause_s = _RETRY_S
        while not self._exchange.state_by_topic[topic].is_known:
            if await self.load(topic):
                return
            await self._sleep(pause_s * self._jitter())
            pause_s = min(_MAX_RETRY_S, pause_s * 2)

    async def poll(self, topic: topics.Topic) -> None:
        """Reads a topic in turn with the other nodes, until cancelled."""
        await self.load_until_known(topic)
        failures = 0
        while True:
            await self._wait_for_turn(topic, failures)
            is_read = await self._read(topic, 0.0)
            failures = 0 if is_read else failures + 1

    async def watch(self, topic: topics.Topic) -> None:
        """Waits for changes of a topic while this node is the one that does."""
        await self.load_until_known(topic)
        # Until the peers are known each node would hold a read open.
        await self._sleep(_ROLE_CHECK_S)
        failures = 0
        while True:
            if not self._is_watcher(topic):
                await self._sleep(_ROLE_CHECK_S)
                continue
            if await self._read(topic, _WATCH_WAIT_S):
                failures = 0
                continue
            failures += 1
            pause_s = min(_MAX_RETRY_S, _RETRY_S * 2.0 ** min(failures, 4))
            await self._sleep(pause_s * self._jitter())

    async def _read(self, topic: topics.Topic, wait_s: float) -> bool:
        """Reads what is new; returns whether the store answered."""
        known = self._exchange.state_by_topic[topic]
        begun_s = self._now_s()
        try:
            page = await self._store.changes(topic, known.end_offset, wait_s)
        except errors.StoreHistoryLostError:
            self._state.counters.add("store.history_lost")
            return await self.load(topic)
        except errors.StoreError as error:
            self._failed(topic, error)
            return False
        self._succeeded(topic)
        if wait_s and not page.records:
            # Nothing came up to now, not only up to the start of the wait.
            begun_s = self._now_s()
        self._exchange.take(topic, page, begun_s)
        return True

    def request_refresh(self, topic: topics.Topic) -> None:
        """Brings the next poll of a topic forward, since it seems to be old."""
        self._refresh_requested.add(topic)

    async def _wait_for_turn(self, topic: topics.Topic, failures: int) -> None:
        """Returns once what is known is too old for this node's rank."""
        backoff_s = 0.0
        if failures:
            backoff_s = min(_MAX_RETRY_S, _RETRY_S * 2.0 ** min(failures, 4))
        not_before_s = self._now_s() + backoff_s * self._jitter()
        while True:
            known = self._exchange.state_by_topic[topic]
            patience_s = self._patience_s(known.reader)
            if topic in self._refresh_requested:
                patience_s = min(patience_s, _REFRESH_AGE_S)
            due_s = known.confirmed_s + patience_s
            wait_s = max(due_s, not_before_s) - self._now_s()
            if wait_s <= 0:
                self._refresh_requested.discard(topic)
                return
            # What peers tell meanwhile puts the turn off, and what requests
            # meet brings it forward.
            await self._sleep(min(wait_s, _TICK_S))

    def _patience_s(self, reader: str) -> float:
        """Returns the age at which this node reads, by its rank."""
        ids = [each for ids in self._live_by_zone().values() for each in ids]
        ring = rendezvous.order("store", {*ids, self._own_id})
        if reader in ring:
            rank = (ring.index(self._own_id) - ring.index(reader)) % len(ring)
        else:
            rank = ring.index(self._own_id) + 1
        rank = rank or len(ring)
        step_s = _RANK_STEP_S * min(rank - 1, _MAX_RANK)
        if rank > _MAX_RANK:
            # Far down the ring the order does not matter, the crowd does.
            step_s += _RANK_STEP_S * self._state.environment.random.random()
        return min(self.pace.turn_s + step_s, self.pace.alone_s)

    def _is_watcher(self, topic: topics.Topic) -> bool:
        ids = {each for ids in self._live_by_zone().values() for each in ids}
        first = rendezvous.first(f"watch {topic.value}", {*ids, self._own_id})
        return first == self._own_id

    def _succeeded(self, topic: topics.Topic) -> None:
        self._state.counters.add(f"store.read.{topic.value}")
        self._dependency.succeeded()

    def _failed(self, topic: topics.Topic, error: errors.StoreError) -> None:
        self._state.counters.add(f"store.read_failed.{topic.value}")
        self._dependency.failed(f"{topic.value}: {error}")

    def age_s(self, topic: topics.Topic) -> float:
        """Returns seconds since the store last confirmed a topic."""
        known = self._exchange.state_by_topic[topic]
        if known.confirmed_s == -math.inf:
            return math.inf
        return self._now_s() - known.confirmed_s

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    def _jitter(self) -> float:
        return 0.5 + self._state.environment.random.random()

    async def _sleep(self, seconds: float) -> None:
        await self._state.environment.sleep(seconds)

    async def run(self) -> None:
        """Follows the topics of others until cancelled."""
        await asyncio.gather(
            self.poll(topics.Topic.UPSTREAMS), self._follow_orders()
        )

    async def _follow_orders(self) -> None:
        await self.load_until_known(topics.Topic.ORDERS)
        await asyncio.gather(
            self.poll(topics.Topic.ORDERS), self.watch(topics.Topic.ORDERS)
        )
