"""Protobuf encoding of the topic updates that nodes exchange."""

from collections.abc import Sequence

from lycheegw.coordination import topic_exchange
from lycheegw.protocol.pb import topics_pb2
from lycheegw.state import topics

__all__ = ["CODEC"]


def _encode(updates: Sequence[topic_exchange.TopicUpdate]) -> bytes:
    batch = topics_pb2.Batch(
        news=[
            topics_pb2.News(
                topic=each.topic.value,
                end_offset=each.end_offset,
                age_s=each.age_s,
                from_offset=each.from_offset,
                records=[_record_message(record) for record in each.records],
                reader=each.reader,
            )
            for each in updates
        ]
    )
    return bytes(batch.SerializeToString())


def _record_message(record: topics.TopicRecord) -> topics_pb2.Record:
    return topics_pb2.Record(
        key=record.key,
        offset=record.offset,
        is_deleted=record.value is None,
        value=record.value or b"",
    )


def _decode(payload: bytes) -> list[topic_exchange.TopicUpdate]:
    return [
        topic_exchange.TopicUpdate(
            topics.Topic(each.topic),
            each.end_offset,
            max(0.0, each.age_s),
            each.from_offset,
            tuple(
                topics.TopicRecord(
                    record.key,
                    record.offset,
                    None if record.is_deleted else bytes(record.value),
                )
                for record in each.records
            ),
            each.reader,
        )
        for each in topics_pb2.Batch.FromString(payload).news
    ]


CODEC = topic_exchange.Codec(_encode, _decode)
