"""Protobuf encoding of the topic updates that nodes exchange."""

from typing import Any
import zlib

from google.protobuf import message as protobuf_message

from lycheegw.coordination import topic_exchange
from lycheegw.coordination import topic_fetcher
from lycheegw.protocol.pb import topics_pb2
from lycheegw.state import errors
from lycheegw.state import patches
from lycheegw.state import topics

__all__ = ["CODEC", "FETCH_CODEC"]

_TOPIC_NAMES = frozenset(topic.value for topic in topics.Topic)

_COMPRESSION_LEVEL = 1
# Bounds the memory that a compressed update may take.
_MAX_UPDATE_BYTES = 64 * 1024 * 1024


def _encode(message: topic_exchange.TopicMessage) -> bytes:
    batch = topics_pb2.Batch(sent_s=message.sent_s)
    for each in message.updates:
        news = batch.patched_news if each.patched else batch.news
        news.append(_update_message(each))
    return bytes(batch.SerializeToString())


def _update_message(update: topic_exchange.TopicUpdate) -> topics_pb2.News:
    return topics_pb2.News(
        topic=update.topic.value,
        end_offset=update.end_offset,
        age_s=update.age_s,
        from_offset=update.from_offset,
        records=[_record_message(each) for each in update.records],
        reader=update.reader,
        patched=[_patched_message(each) for each in update.patched],
        era=update.era,
    )


def _record_message(record: topics.TopicRecord) -> topics_pb2.Record:
    return topics_pb2.Record(
        key=record.key,
        offset=record.offset,
        is_deleted=record.value is None,
        value=record.value or b"",
    )


def _patched_message(record: topics.PatchedRecord) -> topics_pb2.PatchedRecord:
    return topics_pb2.PatchedRecord(
        key=record.key,
        offset=record.offset,
        digest=record.digest,
        changes=[
            topics_pb2.Change(
                offset=change.offset,
                former_digest=change.former_digest,
                digest=change.digest,
                pieces=[
                    topics_pb2.Piece(start=part.start, length=part.length)
                    if isinstance(part, patches.Span)
                    else topics_pb2.Piece(data=part)
                    for part in change.patch
                ],
            )
            for change in record.changes
        ],
    )


def _parse(message: Any, payload: bytes) -> Any:
    """Returns a message with its fields set; raises PeerMessageError."""
    try:
        message.ParseFromString(payload)
    except protobuf_message.DecodeError as error:
        raise errors.PeerMessageError(f"malformed message: {error}") from error
    return message


def _topic(name: str) -> topics.Topic:
    """Returns a topic by its name; raises PeerMessageError."""
    try:
        return topics.Topic(name)
    except ValueError as error:
        raise errors.PeerMessageError(f"unknown topic {name!r}") from error


def _decode(payload: bytes) -> topic_exchange.TopicMessage:
    batch = _parse(topics_pb2.Batch(), payload)
    news = (*batch.news, *batch.patched_news)
    return topic_exchange.TopicMessage(
        batch.sent_s,
        [_update(each) for each in news if each.topic in _TOPIC_NAMES],
        frozenset(
            each.topic for each in news if each.topic not in _TOPIC_NAMES
        ),
    )


def _update(message: topics_pb2.News) -> topic_exchange.TopicUpdate:
    return topic_exchange.TopicUpdate(
        _topic(message.topic),
        message.end_offset,
        max(0.0, message.age_s),
        message.from_offset,
        tuple(
            topics.TopicRecord(
                record.key,
                record.offset,
                None if record.is_deleted else bytes(record.value),
            )
            for record in message.records
        ),
        message.reader,
        tuple(_patched_record(each) for each in message.patched),
        message.era,
    )


def _patched_record(message: topics_pb2.PatchedRecord) -> topics.PatchedRecord:
    return topics.PatchedRecord(
        message.key,
        message.offset,
        bytes(message.digest),
        tuple(
            topics.ValueChange(
                change.offset,
                bytes(change.former_digest),
                bytes(change.digest),
                tuple(
                    bytes(piece.data)
                    if piece.data
                    else patches.Span(piece.start, piece.length)
                    for piece in change.pieces
                ),
            )
            for change in message.changes
        ),
    )


def _encode_request(request: topic_fetcher.Request) -> bytes:
    message = topics_pb2.Request(
        topic=request.topic.value,
        after=request.after,
        part=request.part,
        end_offset=request.end_offset,
        era=request.era,
        update_era=request.update_era,
    )
    for key, digest in request.known:
        message.known.add(key=key, digest=digest)
    return bytes(message.SerializeToString())


def _decode_request(payload: bytes) -> topic_fetcher.Request:
    message = _parse(topics_pb2.Request(), payload)
    return topic_fetcher.Request(
        _topic(message.topic),
        message.after,
        tuple((each.key, bytes(each.digest)) for each in message.known),
        message.part,
        message.end_offset,
        message.era,
        message.update_era,
    )


def _encode_reply(reply: topic_fetcher.Reply) -> bytes:
    message = topics_pb2.Reply(
        parts=reply.parts,
        end_offset=reply.end_offset,
        age_s=reply.age_s,
        part=reply.part,
        era=reply.era,
    )
    return bytes(message.SerializeToString())


def _decode_reply(payload: bytes) -> topic_fetcher.Reply:
    message = _parse(topics_pb2.Reply(), payload)
    return topic_fetcher.Reply(
        message.parts,
        message.end_offset,
        max(0.0, message.age_s),
        bytes(message.part),
        message.era,
    )


def _compress(update: topic_exchange.TopicUpdate) -> bytes:
    batch = topics_pb2.Batch(news=[_update_message(update)])
    return zlib.compress(batch.SerializeToString(), _COMPRESSION_LEVEL)


def _decompress(data: bytes) -> topic_exchange.TopicUpdate:
    """Returns an update; raises errors.PeerMessageError."""
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(data, _MAX_UPDATE_BYTES)
    except zlib.error as error:
        raise errors.PeerMessageError(f"malformed update: {error}") from error
    if not decompressor.eof:
        raise errors.PeerMessageError(
            f"update of {len(data)} bytes is cut short, or has more than"
            f" {_MAX_UPDATE_BYTES} bytes uncompressed"
        )
    batch = _parse(topics_pb2.Batch(), payload)
    if len(batch.news) != 1:
        raise errors.PeerMessageError(f"{len(batch.news)} updates, expected 1")
    return _update(batch.news[0])


CODEC = topic_exchange.Codec(_encode, _decode)
FETCH_CODEC = topic_fetcher.Codec(
    _encode_request,
    _decode_request,
    _encode_reply,
    _decode_reply,
    _compress,
    _decompress,
)
