"""Reads the store's topics, so that the nodes together make few calls.

The nodes poll in turn: each reads a topic once its copy is older than a limit.
The limit is lowest for the node that follows the last reader in the order of
rendezvous hashing, so a failed reader is replaced without failure detection.
In addition one node keeps a long-polling read of the orders open, so that most
orders are known at once. The others can't tell whether that read still works,
so they go on polling.

A reply of a later era than that of the copy, and one that says that the records
are gone, lead to a read of the whole topic. Once one topic has entered an era,
the nodes read the others in turn.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.coordination import topic_exchange
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import topics

__all__ = ["DependencyMonitor", "ReadAges", "TopicReaders"]

# Difference between the age limits of two successive nodes; several times the
# delay of gossip between zones.
_AGE_STEP_PER_RANK_S = 0.2
_MAX_RANK = 6
# Longest wait of a long-polling read; the probes of the connection detect
# earlier if it is dead.
_WATCH_WAIT_S = 20.0
# Interval at which a node checks whether it is the watcher.
_WATCHER_CHECK_S = 0.5
# Age at which a topic is read if a refresh was requested.
_REFRESH_AGE_S = 0.1
_RETRY_S = 0.1
_MAX_RETRY_S = 1.0
# Longer than the timeout of any read. One that fails after a longer time was
# delayed by this process, and its reply may have come in time.
_MIN_STALLED_READ_S = 2.5
# Longest time between two looks at whose turn it is; it changes as nodes die.
_TURN_CHECK_S = 0.25


class ReadAges(NamedTuple):
    """The ages of a topic's copy at which nodes read the topic.

    Attributes:
        turn_age_s: Age at which the next node in turn reads.
        fallback_age_s: Maximum age; any node reads then.
    """

    turn_age_s: float
    fallback_age_s: float


class DependencyMonitor:
    """Reports when a service this node depends on is lost and regained."""

    def __init__(self, name: str, report: Callable[[str, bool, str], None]):
        self.name = name
        self.is_lost = False
        self._report = report

    def succeeded(self) -> None:
        """Records a successful call."""
        if self.is_lost:
            self.is_lost = False
            self._report(self.name, False, "")

    def failed(self, why: str) -> None:
        """Records a failed call."""
        if not self.is_lost:
            self.is_lost = True
            self._report(self.name, True, why)


class TopicReaders:
    """Runs the loops that read the store.

    Attributes:
        read_ages: The ages at which topics are read.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        store: interfaces.KeyedStore,
        exchange: topic_exchange.TopicExchange,
        live_by_zone: Callable[[], Mapping[str, Sequence[str]]],
        read_ages: ReadAges,
        dependency: DependencyMonitor,
    ):
        self.read_ages = read_ages
        self._state = state
        self._store = store
        self._exchange = exchange
        self._live_by_zone = live_by_zone
        self._dependency = dependency
        self._own_id = state.identity.node_id
        self._refresh_by_topic = {
            topic: asyncio.Event() for topic in topics.Topic
        }
        self._last_failure_s: dict[topics.Topic, float] = {}
        self._has_new_era = asyncio.Event()
        self._ring_members: Mapping[str, Sequence[str]] | None = None
        self._index_by_id: dict[str, int] = {}

    async def load(self, topic: topics.Topic) -> bool:
        """Reads a whole topic; returns whether the store answered."""
        return await self._load_page(topic) is not None

    async def _load_page(self, topic: topics.Topic) -> topics.TopicPage | None:
        """Reads and applies a whole topic; None if the store didn't answer."""
        begun_s = self._now_s()
        former = self._exchange.state_by_topic[topic].position
        try:
            page = await self._store.newest(topic)
        except errors.StoreError as error:
            self._note_read_failed(topic, error, begun_s)
            return None
        if topics.Position(page.era, page.end_offset) < former:
            self._note_read_failed(
                topic,
                errors.StoreError(
                    f"the log ends at {page.end_offset} of era {page.era},"
                    f" before {former.offset} of era {former.era}"
                ),
                begun_s,
            )
            return None
        self._note_read(topic)
        self._exchange.apply_read(topic, page, begun_s)
        return page

    async def load_until_known(self, topic: topics.Topic) -> None:
        """Retries until a topic is known, from the store or from a peer."""
        retry_wait_s = _RETRY_S
        while not self._exchange.state_by_topic[topic].is_known:
            if await self.load(topic):
                return
            await self._sleep(retry_wait_s * self._jitter())
            retry_wait_s = min(_MAX_RETRY_S, retry_wait_s * 2)

    def apply_written(
        self,
        topic: topics.Topic,
        record: topics.TopicRecord,
        era: int,
        begun_s: float,
    ) -> None:
        """Applies a record that this node wrote at the end of its copy.

        Args:
            topic: The topic.
            record: The record, whose offset is the end of the copy.
            era: Era of the offset.
            begun_s: Monotonic second at which the write began.
        """
        page = topics.TopicPage([record], record.offset + 1, False, era=era)
        self._exchange.apply_read(topic, page, begun_s)

    async def poll(self, topic: topics.Topic) -> None:
        """Reads a topic in turn with the other nodes, until cancelled."""
        await self.load_until_known(topic)
        failures = 0
        while True:
            await self._wait_for_turn(topic, failures)
            begun_s = self._now_s()
            is_read = await self._read(topic, 0.0)
            is_stalled = self._now_s() - begun_s > _MIN_STALLED_READ_S
            failures = 0 if is_read or is_stalled else failures + 1

    async def watch(self, topic: topics.Topic) -> None:
        """Keeps a long-polling read open while this node is the watcher."""
        await self.load_until_known(topic)
        # Before the peers are known, each node would think it is the watcher.
        await self._sleep(_WATCHER_CHECK_S)
        failures = 0
        while True:
            if not self._is_watcher(topic):
                await self._sleep(_WATCHER_CHECK_S)
                continue
            if await self._read(topic, _WATCH_WAIT_S):
                failures = 0
                continue
            failures += 1
            retry_wait_s = min(_MAX_RETRY_S, _RETRY_S * 2.0 ** min(failures, 4))
            await self._sleep(retry_wait_s * self._jitter())

    async def _read(
        self,
        topic: topics.Topic,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> bool:
        """Reads up to the end of the log; returns whether the store answered.

        Args:
            topic: The topic.
            wait_s: Seconds that the store may wait for a new record.
            timeout_s: Time limit of a short reply, None for the store's own.
        """
        has_more = True
        while has_more:
            page = await self._read_page(topic, wait_s, timeout_s)
            if page is None:
                return False
            has_more = page.has_more
        return True

    async def _read_page(
        self, topic: topics.Topic, wait_s: float, timeout_s: float | None
    ) -> topics.TopicPage | None:
        """Reads and applies new records; None if the store didn't answer."""
        era, offset = self._exchange.state_by_topic[topic].position
        begun_s = self._now_s()
        try:
            page = await self._store.changes(topic, offset, wait_s, timeout_s)
        except errors.StoreHistoryLostError as error:
            self._state.counters.add("store.history_lost")
            logging.warning(
                "topic %s: reading from %d of era %d: %s",
                topic.value,
                offset,
                era,
                error,
            )
            return await self._load_page(topic)
        except errors.StoreError as error:
            self._note_read_failed(topic, error, begun_s)
            return None
        if page.era != era:
            # The records follow those of another history than the copy's.
            return await self._load_page(topic)
        self._note_read(topic)
        if wait_s and not page.records:
            # The reply confirms that nothing changed up to the end of the wait;
            # it may have been received later.
            begun_s = min(self._now_s(), begun_s + wait_s)
        self._exchange.apply_read(topic, page, begun_s)
        return page

    async def refresh(self, topic: topics.Topic, timeout_s: float) -> bool:
        """Reads new records; returns whether the store answered in time.

        Args:
            topic: The topic.
            timeout_s: Seconds within which a short reply must arrive.
        """
        return await self._read(topic, 0.0, timeout_s)

    def request_refresh(self, topic: topics.Topic) -> None:
        """Makes the next poll of a topic earlier, since it seems outdated."""
        self._refresh_by_topic[topic].set()

    async def _wait_for_turn(self, topic: topics.Topic, failures: int) -> None:
        """Returns once the copy is older than this node's limit for it."""
        backoff_s = 0.0
        if failures:
            backoff_s = min(_MAX_RETRY_S, _RETRY_S * 2.0 ** min(failures, 4))
        not_before_s = self._now_s() + backoff_s * self._jitter()
        while True:
            topic_state = self._exchange.state_by_topic[topic]
            max_age_s = self._max_age_s(topic_state.reader)
            if self._refresh_by_topic[topic].is_set():
                max_age_s = min(max_age_s, _REFRESH_AGE_S)
            due_s = topic_state.confirmed_s + max_age_s
            wait_s = max(due_s, not_before_s) - self._now_s()
            if wait_s <= 0:
                self._refresh_by_topic[topic].clear()
                return
            # Updates from peers meanwhile postpone the read.
            await self._sleep_until_refresh(topic, min(wait_s, _TURN_CHECK_S))

    async def _sleep_until_refresh(
        self, topic: topics.Topic, seconds: float
    ) -> None:
        """Sleeps, for less time if a refresh is requested meanwhile."""
        refresh = self._refresh_by_topic[topic]
        if refresh.is_set():
            await self._sleep(seconds)
            return
        tasks = {
            asyncio.ensure_future(refresh.wait()),
            asyncio.ensure_future(self._sleep(seconds)),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    def _max_age_s(self, reader: str) -> float:
        """Returns the age at which this node reads, from its rank."""
        index_by_id = self._ring()
        own_index, count = index_by_id[self._own_id], len(index_by_id)
        if reader in index_by_id:
            rank = (own_index - index_by_id[reader]) % count
        else:
            rank = own_index + 1
        rank = rank or count
        step_s = _AGE_STEP_PER_RANK_S * min(rank - 1, _MAX_RANK)
        if rank > _MAX_RANK:
            # Nodes beyond `_MAX_RANK` share one limit: spread their reads.
            step_s += (
                _AGE_STEP_PER_RANK_S * self._state.environment.random.random()
            )
        return min(
            self.read_ages.turn_age_s + step_s, self.read_ages.fallback_age_s
        )

    def _ring(self) -> dict[str, int]:
        """Returns the place of each live node in the order of turns."""
        live_by_zone = self._live_by_zone()
        if live_by_zone is not self._ring_members:
            self._ring_members = live_by_zone
            ids = {each for ids in live_by_zone.values() for each in ids}
            ids.add(self._own_id)
            if ids != self._index_by_id.keys():
                ring = rendezvous.order("store", ids)
                self._index_by_id = {
                    each: place for place, each in enumerate(ring)
                }
        return self._index_by_id

    def _is_watcher(self, topic: topics.Topic) -> bool:
        ids = {each for ids in self._live_by_zone().values() for each in ids}
        first = rendezvous.first(f"watch {topic.value}", {*ids, self._own_id})
        return first == self._own_id

    def _note_read(self, topic: topics.Topic) -> None:
        self._state.counters.add(f"store.read.{topic.value}")
        self._dependency.succeeded()

    def last_failure_s(self, topic: topics.Topic) -> float:
        """Returns the latest begin of a read that failed, -inf if none."""
        return self._last_failure_s.get(topic, -math.inf)

    def _note_read_failed(
        self, topic: topics.Topic, error: errors.StoreError, begun_s: float
    ) -> None:
        # A long-polling read that fails may have begun before later ones.
        self._last_failure_s[topic] = max(begun_s, self.last_failure_s(topic))
        self._state.counters.add(f"store.read_failed.{topic.value}")
        self._dependency.failed(f"{topic.value}: {error}")

    def age_s(self, topic: topics.Topic) -> float:
        """Returns the seconds since the store last confirmed a topic."""
        confirmed_s = self.confirmed_s(topic)
        return math.inf if confirmed_s is None else self._now_s() - confirmed_s

    def confirmed_s(self, topic: topics.Topic) -> float | None:
        """Returns when the store last confirmed a topic, None if never."""
        confirmed_s = self._exchange.state_by_topic[topic].confirmed_s
        return None if confirmed_s == -math.inf else confirmed_s

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()

    def _jitter(self) -> float:
        return 0.5 + self._state.environment.random.random()

    async def _sleep(self, seconds: float) -> None:
        await self._state.environment.sleep(seconds)

    def note_new_era(self) -> None:
        """Makes the nodes read the topics whose copies are of a former era."""
        self._has_new_era.set()

    async def _follow_era(self) -> None:
        """Reads the topics that entered no new era with the first one."""
        while True:
            await self._has_new_era.wait()
            self._has_new_era.clear()
            # Nodes that read first spare the others the calls.
            rank = min(self._ring()[self._own_id], _MAX_RANK)
            await self._sleep(_AGE_STEP_PER_RANK_S * (rank + self._jitter()))
            for topic, state in self._exchange.state_by_topic.items():
                retry_wait_s = _RETRY_S
                while state.is_known and state.era < self._exchange.era:
                    if not await self.load(topic):
                        await self._sleep(retry_wait_s * self._jitter())
                        retry_wait_s = min(_MAX_RETRY_S, retry_wait_s * 2)

    async def run(self) -> None:
        """Reads the topics of upstreams and orders until cancelled."""
        await asyncio.gather(
            self.poll(topics.Topic.UPSTREAMS),
            self._follow_orders(),
            self._follow_era(),
        )

    async def _follow_orders(self) -> None:
        await self.load_until_known(topics.Topic.ORDERS)
        await asyncio.gather(
            self.poll(topics.Topic.ORDERS), self.watch(topics.Topic.ORDERS)
        )
