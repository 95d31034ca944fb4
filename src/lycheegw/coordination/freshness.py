"""Bounds the age of the copied topics by which requests are served.

Reads are planned so that a copy is renewed long before its limit. If the
planned reads fail, or this process was too slow to make them, the node reads
the store by itself before it serves a request by an outdated copy. If the store
does not answer, requests are served by the copy until it is renewed; if peers
are known to have later records, they are refused.
"""

import asyncio
from collections.abc import Callable

from lycheegw.coordination import topic_readers
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import topics
from lycheegw.state import verdicts

__all__ = ["Freshness"]

# Timeouts of the reads for which requests wait; once each has passed, the store
# is taken to be unavailable. The first is short, as a kept connection may be
# silent. The last is that of any read, since a slow process or link delays the
# replies of a store that is available.
_READ_TIMEOUTS_S = (0.25, 1.0)
# Limit of all reads, including those during which the event loop stalled.
_MAX_READS = 6
_RETRY_S = 0.02
# Retry-after time while peers have what this node lacks; clients reach them.
_RETRY_ELSEWHERE_S = 0.1
# A read that ends this much after its timeout was delayed by this process.
_MIN_STALL_S = 0.1
# How long a failed read shows that the store is unavailable, from its begin.
# Planned reads time out after 1.0 s and are repeated 1.5 s later at the latest.
_FAILURE_VALID_S = 2.6


class Freshness:
    """Renews copies that are older than their limits.

    Attributes:
        max_age_s: Returns the limit of a topic's age, infinity for none.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        readers: topic_readers.TopicReaders,
        max_age_s: Callable[[topics.Topic], float],
        is_behind: Callable[[topics.Topic], bool],
        note: Callable[..., None],
    ):
        """Creates a freshness that renews what is older than its limit.

        Args:
            state: State of this node.
            readers: Reads topics from the store.
            max_age_s: Returns the limit of a topic's age, infinity for none.
            is_behind: Returns whether peers have records of a topic that its
                copy lacks.
            note: Writes a line to the event log.
        """
        self.max_age_s = max_age_s
        self._state = state
        self._readers = readers
        self._is_behind = is_behind
        self._note = note
        self._task_by_topic: dict[topics.Topic, asyncio.Task[None]] = {}
        # Done with the next update of a copy.
        self._update: asyncio.Future[None] | None = None
        # Time of confirmation of copies that could not be renewed.
        self._stuck_at_s: dict[topics.Topic, float] = {}

    def is_current(self) -> bool:
        """Returns whether requests may be served by the copies at once."""
        return not self._outdated()

    def age_s(self, topic: topics.Topic) -> float:
        """Returns the seconds since the store last confirmed a topic."""
        return self._readers.age_s(topic)

    async def ensure_current(self) -> None:
        """Renews outdated copies; returns at once if there are none.

        Raises:
            errors.RefusalError: A copy could not be renewed, and peers have
                what it lacks.
        """
        # Concurrent requests wait for one read, which outlives each of them.
        renewals = {self._renewal(topic) for topic in self._outdated()}
        while renewals and self._outdated():
            done, _ = await asyncio.wait(
                {*renewals, self._next_update()},
                return_when=asyncio.FIRST_COMPLETED,
            )
            for renewal in done & renewals:
                renewal.result()
            renewals -= done
        for topic in topics.Topic:
            is_old = self._readers.age_s(topic) > self.max_age_s(topic)
            if is_old and self._is_behind(topic):
                self._state.counters.add("topics.outdated.refused")
                raise errors.RefusalError(
                    reasons.RefusalReason.NOT_READY,
                    f"peers have later {topic.value} than this node",
                    verdicts.RunVerdict.NOT_RUN,
                    retry_after_s=_RETRY_ELSEWHERE_S,
                )

    def note_update(self) -> None:
        """Lets requests look again whether the copies are current."""
        if self._update is not None:
            self._update.set_result(None)
            self._update = None

    def _next_update(self) -> "asyncio.Future[None]":
        """Returns a future that all waiting requests share."""
        if self._update is None:
            self._update = asyncio.get_running_loop().create_future()
        return self._update

    def _outdated(self) -> list[topics.Topic]:
        return [topic for topic in topics.Topic if self._is_outdated(topic)]

    def _is_outdated(self, topic: topics.Topic) -> bool:
        if self._readers.age_s(topic) <= self.max_age_s(topic):
            return False
        confirmed_s = self._readers.confirmed_s(topic)
        if confirmed_s is None:
            # Before the first read, requests wait for the start of the node.
            return False
        failure_age_s = self._now_s() - self._readers.last_failure_s(topic)
        is_stuck = self._stuck_at_s.get(topic) == confirmed_s
        return not (is_stuck and failure_age_s <= _FAILURE_VALID_S)

    def _renewal(self, topic: topics.Topic) -> "asyncio.Task[None]":
        """Returns the running renewal of a copy, or starts one."""
        task = self._task_by_topic.get(topic)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._renew(topic))
            self._task_by_topic[topic] = task
            task.add_done_callback(lambda _: self._task_by_topic.pop(topic))
        return task

    async def _renew(self, topic: topics.Topic) -> None:
        """Reads a topic until its copy is current or the store seems away."""
        age_s = self._readers.age_s(topic)
        failures = reads = 0
        longest_read_s = 0.0
        while (
            self._is_outdated(topic)
            and failures < len(_READ_TIMEOUTS_S)
            and reads < _MAX_READS
        ):
            reads += 1
            timeout_s = _READ_TIMEOUTS_S[failures]
            begun_s = self._now_s()
            is_read = await self._readers.refresh(topic, timeout_s)
            read_s = self._now_s() - begun_s
            longest_read_s = max(longest_read_s, read_s)
            if is_read:
                continue
            # If the event loop stalled, the reply may have come in time.
            if read_s <= timeout_s + _MIN_STALL_S:
                failures += 1
            await self._state.environment.sleep(_RETRY_S)
        is_renewed = not self._is_outdated(topic)
        if not is_renewed:
            confirmed_s = self._readers.confirmed_s(topic)
            if confirmed_s is not None:
                self._stuck_at_s[topic] = confirmed_s
        outcome = "renewed" if is_renewed else "stuck"
        self._state.counters.add(f"topics.outdated.{outcome}")
        self._note(
            "copy_outdated",
            topic=topic.value,
            age_s=round(age_s, 2),
            reads=reads,
            failed=failures,
            read_s=round(longest_read_s, 3),
            is_behind=self._is_behind(topic),
            outcome=outcome,
        )

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
