"""Gossips the store's topics, so that only a few nodes have to read the store.

A neighbour receives the records that it may lack, and the time at which the
store last confirmed the topic. Changes of long values are sent as patches.
What is too long for a message is only announced: a neighbour that lacks it
finds a gap, and fetches it from one of those that announced it. So is what a
new neighbour probably has from others.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination import transit_times
from lycheegw.state import node_state
from lycheegw.state import patches
from lycheegw.state import topics

__all__ = ["Codec", "TopicExchange", "TopicMessage", "TopicUpdate"]

_TOPIC = "topics"
# An unchanged topic is sent again once its time of confirmation has moved by
# more than this; less than the interval of reads, so that each read is sent.
_RESEND_AGE_S = 0.2
# Time in transit above which a message is logged.
_MIN_LOGGED_DELAY_S = 0.5
# Size of the records in one message. A link of 5 Mbit/s passes it in 0.1 s, and
# it is well below what a link accepts.
_MAX_PUSHED_BYTES = 64 * 1024
# Size of the records up to which a new neighbour gets them without asking; a
# request for what it lacks takes about as much.
_MAX_FIRST_BYTES = 512
# How long an announcement counts, in seconds. A neighbour repeats it each time
# the store confirms the topic, in 1.5 s or so.
_ANNOUNCEMENT_VALID_S = 4.0
# Size of a record in a message without key and value, about.
_RECORD_BYTES = 24


class TopicUpdate(NamedTuple):
    """A gossip message about one topic.

    Attributes:
        topic: The topic.
        end_offset: Offset up to which the sender knows it.
        age_s: Seconds since the store confirmed `end_offset`.
        from_offset: Offset from which `records` are complete.
        records: The changed records.
        reader: Id of the node that read the topic last.
        patched: Changed records that are encoded as changes of their values.
        era: Era of the store that the offsets belong to, 0 if the sender
            doesn't know it.
    """

    topic: topics.Topic
    end_offset: int
    age_s: float
    from_offset: int
    records: tuple[topics.TopicRecord, ...]
    reader: str
    patched: tuple[topics.PatchedRecord, ...] = ()
    era: int = 0

    @property
    def end(self) -> topics.Position:
        """Position up to which the sender knows the topic."""
        return topics.Position(self.era, self.end_offset)


class TopicMessage(NamedTuple):
    """The updates that a node sends to a neighbour at one time.

    Attributes:
        sent_s: Second of the sender's monotonic clock, 0 if unknown.
        updates: An update for each topic that changed.
        unknown_topics: Names of the topics, besides, that this build doesn't
            know.
    """

    sent_s: float
    updates: Sequence[TopicUpdate]
    unknown_topics: frozenset[str] = frozenset()


class Codec(NamedTuple):
    """Encodes and decodes messages."""

    encode: Callable[[TopicMessage], bytes]
    decode: Callable[[bytes], TopicMessage]


class _Announced(NamedTuple):
    """What a neighbour has and this node could not merge.

    Attributes:
        end: Position up to which the neighbour knows the topic.
        heard_s: Monotonic second of its message.
    """

    end: topics.Position
    heard_s: float


class _Sent(NamedTuple):
    """What a neighbour has of a topic: sent to it, or received from it."""

    end: topics.Position
    confirmed_s: float


_NOTHING_SENT = _Sent(topics.Position(0, 0), 0.0)


ChangeHandler = Callable[[topics.Topic, set[str]], None]
# Called with a metric's name, a label and seconds.
Observer = Callable[[str, str, float], None]
# Called with a topic that this node's copy lacks records of, the neighbour that
# has them, and the position up to which it has them.
GapHandler = Callable[[topics.Topic, str, topics.Position], None]
# Called with the former era of the store (0 if none was known), the new one,
# and the node that this node learnt it from.
EraHandler = Callable[[int, int, str], None]


class TopicExchange:
    """Exchanges updates of topics with the neighbours.

    Attributes:
        state_by_topic: This node's copies of the topics.
        era: Latest era of the store that a copy has entered.
        on_gap: Called if an update leaves a gap.
        on_era: Called after a copy has entered a later era.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        peers: interfaces.PeerBus,
        codec: Codec,
        state_by_topic: dict[topics.Topic, topics.TopicState],
        on_change: ChangeHandler,
        send_soon: Callable[[], None],
        observe: Observer,
    ):
        self.state_by_topic = state_by_topic
        self.era = 0
        self.on_gap: GapHandler = lambda *_: None
        self.on_era: EraHandler = lambda *_: None
        self._state = state
        self._codec = codec
        self._on_change = on_change
        self._send_soon = send_soon
        self._observe = observe
        self._transit_times = transit_times.TransitTimes(state.environment)
        self._sent_by_neighbour: dict[str, dict[topics.Topic, _Sent]] = {}
        self._announced_by_topic: dict[topics.Topic, _Announced] = {}
        # Whether the store was restored while this node ran.
        self._was_store_restored = False
        self._unknown_topics: frozenset[str] = frozenset()
        peers.on_delta(_TOPIC, self._encode_updates, self._merge)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._sent_by_neighbour.pop(neighbour, None)
        self._transit_times.forget_neighbour(neighbour)

    def apply_read(
        self, topic: topics.Topic, page: topics.TopicPage, begun_s: float
    ) -> set[str]:
        """Applies a read by this node; returns the keys that changed.

        Args:
            topic: The topic that was read.
            page: What the store returned. It is ignored if it belongs to a
                former era, or to a later one without being complete.
            begun_s: Monotonic second up to which the page is complete.
        """
        topic_state = self.state_by_topic[topic]
        is_later = page.era > topic_state.era
        if page.era < topic_state.era or (is_later and not page.is_complete):
            self._state.counters.add("topics.other_era")
            return set()
        own_id = self._state.identity.node_id
        changed = topic_state.apply_page(page)
        if not page.has_more:
            topic_state.confirm(begun_s, own_id)
        self._note_era(topic_state.era, own_id)
        self._on_change(topic, changed)
        self._send_soon()
        return changed

    def _note_era(self, era: int, source: str) -> None:
        """Records the era of a copy, which `source` read or sent."""
        if era <= self.era:
            return
        former, self.era = self.era, era
        self._was_store_restored |= former > 0
        self.on_era(former, era, source)

    def _encode_updates(self, neighbour: str) -> bytes | None:
        """Returns the encoded updates for a neighbour, None if none."""
        sent = self._sent_by_neighbour.setdefault(neighbour, {})
        updates = []
        left_bytes = _MAX_PUSHED_BYTES
        for topic, topic_state in self.state_by_topic.items():
            if not topic_state.is_known:
                continue
            last = sent.get(topic, _NOTHING_SENT)
            is_confirmed_later = (
                topic_state.confirmed_s - last.confirmed_s > _RESEND_AGE_S
            )
            if topic_state.position <= last.end and not is_confirmed_later:
                continue
            sent[topic] = _Sent(topic_state.position, topic_state.confirmed_s)
            update = self.update_since(topic_state, last.end)
            size = _update_bytes(update)
            is_new = last is _NOTHING_SENT
            if size > (_MAX_FIRST_BYTES if is_new else left_bytes):
                self._state.counters.add("topics.announced")
                update = update._replace(
                    from_offset=update.end_offset, records=(), patched=()
                )
                size = 0
            left_bytes -= size
            updates.append(update)
        if not updates:
            return None
        now_s = self._state.environment.monotonic_s()
        return self._codec.encode(TopicMessage(now_s, updates))

    def update_since(
        self,
        topic_state: topics.TopicState,
        end: topics.Position,
        known: Mapping[str, bytes] | None = None,
    ) -> TopicUpdate:
        """Returns what a copy that is complete up to a position may lack.

        Args:
            topic_state: This node's copy.
            end: The position.
            known: Digests of the other copy's long values, None if unknown.
        """
        # A copy of another era lacks all records of this one.
        end_offset = end.offset if end.era == topic_state.era else 0
        from_offset, changed = topic_state.changes_since(end_offset)
        records, patched = [], []
        for record in changed:
            by_changes = None
            if known is not None:
                if record.key in known:
                    by_changes = topic_state.patched_record(
                        record.key, end_offset, known[record.key]
                    )
            elif from_offset:
                by_changes = topic_state.patched_record(record.key, end_offset)
            if by_changes is None:
                records.append(record)
            else:
                patched.append(by_changes)
        age_s = self._state.environment.monotonic_s() - topic_state.confirmed_s
        return TopicUpdate(
            topic_state.topic,
            topic_state.end_offset,
            age_s,
            from_offset,
            tuple(records),
            topic_state.reader,
            tuple(patched),
            topic_state.era,
        )

    def _merge(self, neighbour: str, payload: bytes) -> None:
        now_s = self._state.environment.monotonic_s()
        is_changed = False
        message = self._codec.decode(payload)
        delay_s = self._transit_times.note_message(neighbour, message.sent_s)
        self._observe("gossip_delay", "topics", delay_s)
        if delay_s > _MIN_LOGGED_DELAY_S:
            logging.warning(
                "topics: message from %s took %.2f s", neighbour, delay_s
            )
        self._note_unknown(neighbour, message.unknown_topics)
        for update in message.updates:
            confirmed_s = now_s - update.age_s - delay_s
            is_changed |= self.apply_update(neighbour, update, confirmed_s)
        if is_changed:
            self._send_soon()

    def _note_unknown(self, neighbour: str, names: frozenset[str]) -> None:
        """Records topics of a newer build, whose updates are left out."""
        if names:
            self._state.counters.add("topics.unknown")
        if not names <= self._unknown_topics:
            self._unknown_topics |= names
            logging.warning(
                "topics: ignoring unknown ones of %s: %s",
                neighbour,
                ", ".join(sorted(names)),
            )

    def apply_update(
        self, neighbour: str, update: TopicUpdate, confirmed_s: float
    ) -> bool:
        """Applies an update; returns whether the copy is newer than before.

        Args:
            neighbour: Node that sent the update.
            update: The update.
            confirmed_s: Monotonic second at which, at the earliest, the store
                confirmed it.
        """
        topic_state = self.state_by_topic[update.topic]
        if not update.era and not self._was_store_restored:
            # Earlier builds don't know eras; there was only one so far.
            update = update._replace(era=topic_state.era)
        if update.era < topic_state.era:
            self._state.counters.add("topics.other_era")
            return False
        before_s = topic_state.confirmed_s
        changed = topic_state.merge(
            update.from_offset,
            update.end_offset,
            update.records,
            update.patched,
            update.era,
        )
        if changed is None:
            self._state.counters.add("topics.gap")
            self._note_announced(update)
            self.on_gap(update.topic, neighbour, update.end)
            return False
        if update.end >= topic_state.position:
            topic_state.confirm(confirmed_s, update.reader)
        self._note_era(topic_state.era, neighbour)
        self._note_received(neighbour, update, confirmed_s)
        self._on_change(update.topic, changed)
        return bool(changed) or (
            topic_state.confirmed_s - before_s > _RESEND_AGE_S
        )

    def _note_announced(self, update: TopicUpdate) -> None:
        """Records up to where a neighbour has what this node lacks."""
        end = update.end
        if self.is_behind(update.topic):
            end = max(end, self._announced_by_topic[update.topic].end)
        self._announced_by_topic[update.topic] = _Announced(
            end, self._state.environment.monotonic_s()
        )

    def is_behind(self, topic: topics.Topic) -> bool:
        """Returns whether a neighbour lately had records this copy lacks."""
        announced = self._announced_by_topic.get(topic)
        if announced is None:
            return False
        age_s = self._state.environment.monotonic_s() - announced.heard_s
        return (
            age_s <= _ANNOUNCEMENT_VALID_S
            and announced.end > self.state_by_topic[topic].position
        )

    def _note_received(
        self, neighbour: str, update: TopicUpdate, confirmed_s: float
    ) -> None:
        """Records what a neighbour sent, so that it is not sent back."""
        sent = self._sent_by_neighbour.setdefault(neighbour, {})
        last = sent.get(update.topic, _NOTHING_SENT)
        sent[update.topic] = _Sent(
            max(last.end, update.end),
            max(last.confirmed_s, confirmed_s),
        )


def _update_bytes(update: TopicUpdate) -> int:
    """Returns about how many bytes the records of an update take."""
    return sum(
        _RECORD_BYTES + len(record.key) + len(record.value or b"")
        for record in update.records
    ) + sum(
        _RECORD_BYTES + len(record.key) + patches.size(change.patch)
        for record in update.patched
        for change in record.changes
    )
