"""Fetches from a peer what a copy of a topic lacks, in compressed parts.

A neighbour has more than this node if its gossip leaves a gap, or has a patch
for a value that this node lacks. One neighbour is asked at a time, the most
current one first.
"""

import asyncio
from collections.abc import Callable
import contextlib
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination import topic_exchange
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import topics

__all__ = ["Codec", "Reply", "Request", "TopicFetcher"]

_TOPIC = "topics.fetch"
# Size of a part. A link of 5 Mbit/s passes it in 0.1 s, so that heartbeats are
# not delayed for long.
_PART_BYTES = 64 * 1024
_PART_TIMEOUT_S = 1.5
# Parts that are accepted of one update.
_MAX_PARTS = 1024
# Encoded updates that are kept for further parts and other requests.
_MAX_CACHED_UPDATES = 4
# Minimum time between two fetches of a topic.
_MIN_INTERVAL_S = 0.05
# Time after which a peer whose fetch failed is asked again, and how many times
# it is. What it has is announced only once while the store is down.
_RETRY_S = 0.5
_MAX_RETRIES = 3
# Updates that were fetched but left a gap, after which a fetch is given up.
_MAX_ROUNDS = 4


class Request(NamedTuple):
    """Asks for a part of what a copy lacks.

    Attributes:
        topic: The topic.
        after: Offset up to which the copy is complete, 0 if it is empty.
        known: Key and digest of the copy's long values.
        part: Index of the part.
        end_offset: Offset up to which the update goes, from the reply with its
            first part; 0 in the request for that part.
        era: Era of the store that the copy has.
        update_era: Era that the update has, as `end_offset`.
    """

    topic: topics.Topic
    after: int
    known: tuple[tuple[str, bytes], ...]
    part: int = 0
    end_offset: int = 0
    era: int = 0
    update_era: int = 0


class Reply(NamedTuple):
    """A part of an update.

    Attributes:
        parts: Number of its parts, 0 if there is no such update.
        end_offset: Offset up to which the update goes.
        age_s: Seconds since the store last confirmed the sender's copy, which
            has that offset when the first part is sent.
        part: Data of the part.
        era: Era of the store that the update has.
    """

    parts: int
    end_offset: int = 0
    age_s: float = 0.0
    part: bytes = b""
    era: int = 0


class Codec(NamedTuple):
    """Encodes and decodes messages; decoding raises errors.PeerMessageError."""

    encode_request: Callable[[Request], bytes]
    decode_request: Callable[[bytes], Request]
    encode_reply: Callable[[Reply], bytes]
    decode_reply: Callable[[bytes], Reply]
    compress: Callable[[topic_exchange.TopicUpdate], bytes]
    decompress: Callable[[bytes], topic_exchange.TopicUpdate]


class _CacheKey(NamedTuple):
    topic: topics.Topic
    after: topics.Position
    known: tuple[tuple[str, bytes], ...]
    end: topics.Position


class TopicFetcher:
    """Fetches what gossip announced, and serves the same to peers."""

    def __init__(
        self,
        state: node_state.NodeState,
        peers: interfaces.PeerBus,
        exchange: topic_exchange.TopicExchange,
        codec: Codec,
        send_soon: Callable[[], None],
        note: Callable[..., None],
    ):
        self._state = state
        self._peers = peers
        self._exchange = exchange
        self._codec = codec
        self._send_soon = send_soon
        self._note = note
        self._encoded_by_key: dict[_CacheKey, bytes] = {}
        self._end_by_peer: dict[topics.Topic, dict[str, topics.Position]] = {
            topic: {} for topic in topics.Topic
        }
        self._wanted_by_topic = {
            topic: asyncio.Event() for topic in topics.Topic
        }
        self._retries_by_topic = dict.fromkeys(topics.Topic, 0)
        exchange.on_gap = self.request
        peers.on_call(_TOPIC, self._handle_call)

    def request(
        self, topic: topics.Topic, peer: str, end: topics.Position
    ) -> None:
        """Requests what a peer has of a topic and this node lacks."""
        self._end_by_peer[topic][peer] = end
        self._retries_by_topic[topic] = _MAX_RETRIES
        self._wanted_by_topic[topic].set()

    async def run(self) -> None:
        """Fetches what was requested until cancelled."""
        await asyncio.gather(*(self._run_topic(each) for each in topics.Topic))

    async def _run_topic(self, topic: topics.Topic) -> None:
        while True:
            await self._wanted_by_topic[topic].wait()
            self._wanted_by_topic[topic].clear()
            has_failed = await self._fetch_until_current(topic)
            await self._state.environment.sleep(_MIN_INTERVAL_S)
            if has_failed:
                # Another announcement ends the wait.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_RETRY_S):
                        await self._wanted_by_topic[topic].wait()
                self._wanted_by_topic[topic].set()

    async def _fetch_until_current(self, topic: topics.Topic) -> bool:
        """Asks the peers that have more, the most current first.

        Returns whether some failed that are to be asked again.
        """
        failed: dict[str, topics.Position] = {}
        for _ in range(_MAX_ROUNDS):
            found = self._next_peer(topic)
            if found is None:
                break
            peer, end = found
            try:
                await self._fetch(topic, peer)
            except (
                errors.PeerUnavailableError,
                errors.PeerMessageError,
            ) as error:
                self._state.counters.add("topics.fetch_failed")
                logging.warning(
                    "topic %s: fetch from %s failed: %s",
                    topic.value,
                    peer,
                    error,
                )
                failed[peer] = end
        if failed and self._retries_by_topic[topic]:
            self._retries_by_topic[topic] -= 1
            self._end_by_peer[topic] = failed | self._end_by_peer[topic]
            return True
        return False

    def _next_peer(
        self, topic: topics.Topic
    ) -> tuple[str, topics.Position] | None:
        """Returns the peer to ask and what it has, None if no one has more."""
        end_by_peer = self._end_by_peer[topic]
        position = self._exchange.state_by_topic[topic].position
        for peer, end in list(end_by_peer.items()):
            if end <= position:
                del end_by_peer[peer]
        if not end_by_peer:
            return None
        peer = max(end_by_peer, key=end_by_peer.__getitem__)
        # It is asked again once it announces more.
        return peer, end_by_peer.pop(peer)

    async def _fetch(self, topic: topics.Topic, peer: str) -> None:
        """Fetches an update and applies it.

        Raises:
            errors.PeerUnavailableError: The peer did not reply.
            errors.PeerMessageError: The update is malformed or not complete.
        """
        topic_state = self._exchange.state_by_topic[topic]
        request = Request(
            topic,
            max(0, topic_state.end_offset),
            tuple(sorted(topic_state.digest_by_key().items())),
            era=topic_state.era,
        )
        begun_s = self._now_s()
        first = await self._fetch_part(peer, request)
        # The peer replied later than it was asked.
        confirmed_s = begun_s - first.age_s
        data = bytearray(first.part)
        for part in range(1, first.parts):
            reply = await self._fetch_part(
                peer,
                request._replace(
                    part=part,
                    end_offset=first.end_offset,
                    update_era=first.era,
                ),
            )
            data += reply.part
        update = self._codec.decompress(bytes(data))
        if update.topic is not topic:
            raise errors.PeerMessageError(
                f"update of topic {update.topic.value}"
            )
        is_newer = self._exchange.apply_update(peer, update, confirmed_s)
        self._state.counters.add("topics.fetched")
        self._note(
            "topic_fetched",
            topic=topic.value,
            peer=peer,
            after=request.after,
            end_offset=update.end_offset,
            bytes=len(data),
            parts=first.parts,
            taken_s=round(self._now_s() - begun_s, 3),
        )
        if is_newer:
            self._send_soon()

    async def _fetch_part(self, peer: str, request: Request) -> Reply:
        payload = await self._peers.call(
            peer, _TOPIC, self._codec.encode_request(request), _PART_TIMEOUT_S
        )
        reply = self._codec.decode_reply(payload)
        if not 0 < reply.parts <= _MAX_PARTS:
            raise errors.PeerMessageError(
                f"update of {reply.parts} parts, of which {request.part} was"
                " asked for"
            )
        return reply

    async def _handle_call(self, peer: str, payload: bytes) -> bytes:
        request = self._codec.decode_request(payload)
        return self._codec.encode_reply(self._reply(request))

    def _reply(self, request: Request) -> Reply:
        topic_state = self._exchange.state_by_topic[request.topic]
        if not topic_state.is_known:
            return Reply(0)
        end = topics.Position(request.update_era, request.end_offset)
        if request.part == 0:
            end = topic_state.position
        after = topics.Position(request.era, request.after)
        key = _CacheKey(request.topic, after, request.known, end)
        data = self._encoded_by_key.get(key)
        if data is None and request.part:
            # It was dropped; the peer has to begin again.
            return Reply(0)
        if data is None:
            data = self._encode(topic_state, request)
            self._encoded_by_key[key] = data
            while len(self._encoded_by_key) > _MAX_CACHED_UPDATES:
                del self._encoded_by_key[next(iter(self._encoded_by_key))]
        begin = request.part * _PART_BYTES
        return Reply(
            -(-len(data) // _PART_BYTES),
            end.offset,
            self._now_s() - topic_state.confirmed_s,
            data[begin : begin + _PART_BYTES],
            end.era,
        )

    def _encode(
        self, topic_state: topics.TopicState, request: Request
    ) -> bytes:
        update = self._exchange.update_since(
            topic_state,
            topics.Position(request.era, request.after),
            dict(request.known),
        )
        return self._codec.compress(update)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()
