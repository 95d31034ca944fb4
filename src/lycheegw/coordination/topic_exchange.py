"""Spreads what was read from the store, so that few nodes have to read it."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import seams
from lycheegw.state import node_state
from lycheegw.state import topics

__all__ = ["Codec", "News", "TopicExchange"]

_TOPIC = "topics"
# Ages are told again once they moved by this much, although nothing changed;
# below the turn of the readers, so that each read is heard of.
_AGE_STEP_S = 0.2


class News(NamedTuple):
    """What a neighbour may lack of one topic.

    Attributes:
        topic: Which one.
        end_offset: Offset up to which it is known.
        age_s: Seconds since the store confirmed that.
        from_offset: Offset from which `records` are complete.
        records: What changed.
        reader: Node that read last.
    """

    topic: topics.Topic
    end_offset: int
    age_s: float
    from_offset: int
    records: tuple[topics.TopicRecord, ...]
    reader: str


class Codec(NamedTuple):
    """How news are written and read."""

    encode: Callable[[Sequence[News]], bytes]
    decode: Callable[[bytes], Sequence[News]]


class _Sent(NamedTuple):
    end_offset: int
    confirmed_s: float


OnChange = Callable[[topics.Topic, set[str]], None]


class TopicExchange:
    """Tells neighbours of topics, and takes in what they tell.

    Attributes:
        state_by_topic: The copies of this node.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        peers: seams.PeerBus,
        codec: Codec,
        state_by_topic: dict[topics.Topic, topics.TopicState],
        on_change: OnChange,
        nudge: Callable[[], None],
    ):
        self.state_by_topic = state_by_topic
        self._state = state
        self._codec = codec
        self._on_change = on_change
        self._nudge = nudge
        self._sent_by_neighbour: dict[str, dict[topics.Topic, _Sent]] = {}
        peers.on_delta(_TOPIC, self._lacking, self._merge)

    def forget_neighbour(self, neighbour: str) -> None:
        """Takes a neighbour to know nothing, since its link is new."""
        self._sent_by_neighbour.pop(neighbour, None)

    def take(
        self, topic: topics.Topic, page: topics.TopicPage, begun_s: float
    ) -> set[str]:
        """Takes in what this node read; returns the keys that changed.

        Args:
            topic: What was read.
            page: What the store returned.
            begun_s: Monotonic second at which the read was sent.
        """
        known = self.state_by_topic[topic]
        changed = known.take(page)
        known.confirm(begun_s, self._state.identity.node_id)
        self._on_change(topic, changed)
        self._nudge()
        return changed

    def _lacking(self, neighbour: str) -> bytes | None:
        """Returns what a neighbour lacks."""
        sent = self._sent_by_neighbour.setdefault(neighbour, {})
        news = []
        for topic, known in self.state_by_topic.items():
            if not known.is_known:
                continue
            last = sent.get(topic, _Sent(0, 0.0))
            is_later = known.confirmed_s - last.confirmed_s > _AGE_STEP_S
            if known.end_offset <= last.end_offset and not is_later:
                continue
            sent[topic] = _Sent(known.end_offset, known.confirmed_s)
            news.append(self._news(known, last.end_offset))
        return self._codec.encode(news) if news else None

    def _news(self, known: topics.TopicState, end_offset: int) -> News:
        from_offset, records = known.since(end_offset)
        age_s = self._state.environment.monotonic_s() - known.confirmed_s
        return News(
            known.topic,
            known.end_offset,
            age_s,
            from_offset,
            tuple(records),
            known.reader,
        )

    def _merge(self, neighbour: str, payload: bytes) -> None:
        now_s = self._state.environment.monotonic_s()
        is_news = False
        for news in self._codec.decode(payload):
            known = self.state_by_topic[news.topic]
            before_s = known.confirmed_s
            changed = known.merge(
                news.from_offset, news.end_offset, news.records
            )
            if changed is None:
                logging.warning(
                    "%s: news of %s from %s leave a gap",
                    news.topic.value,
                    news.end_offset,
                    neighbour,
                )
                continue
            if news.end_offset >= known.end_offset:
                known.confirm(now_s - news.age_s, news.reader)
            self._note_known_by(neighbour, news)
            is_later = known.confirmed_s - before_s > _AGE_STEP_S
            is_news = is_news or bool(changed) or is_later
            self._on_change(news.topic, changed)
        if is_news:
            self._nudge()

    def _note_known_by(self, neighbour: str, news: News) -> None:
        """A neighbour need not be told what it told itself."""
        sent = self._sent_by_neighbour.setdefault(neighbour, {})
        now_s = self._state.environment.monotonic_s()
        last = sent.get(news.topic, _Sent(0, 0.0))
        sent[news.topic] = _Sent(
            max(last.end_offset, news.end_offset),
            max(last.confirmed_s, now_s - news.age_s),
        )
