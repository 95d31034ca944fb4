"""Protobuf encoding of the topic updates that nodes exchange."""

from lycheegw.coordination import topic_exchange
from lycheegw.protocol.pb import topics_pb2
from lycheegw.state import topics

__all__ = ["CODEC"]


def _encode(message: topic_exchange.TopicMessage) -> bytes:
    batch = topics_pb2.Batch(
        sent_s=message.sent_s,
        news=[
            topics_pb2.News(
                topic=each.topic.value,
                end_offset=each.end_offset,
                age_s=each.age_s,
                from_offset=each.from_offset,
                records=[_record_message(record) for record in each.records],
                reader=each.reader,
            )
            for each in message.updates
        ],
    )
    return bytes(batch.SerializeToString())


def _record_message(record: topics.TopicRecord) -> topics_pb2.Record:
    return topics_pb2.Record(
        key=record.key,
        offset=record.offset,
        is_deleted=record.value is None,
        value=record.value or b"",
    )


def _decode(payload: bytes) -> topic_exchange.TopicMessage:
    batch = topics_pb2.Batch.FromString(payload)
    updates = [
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
        for each in batch.news
    ]
    return topic_exchange.TopicMessage(batch.sent_s, updates)


CODEC = topic_exchange.Codec(_encode, _decode)
