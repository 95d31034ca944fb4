"""Protobuf encoding of the roll-out updates that nodes exchange."""

from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import session_holds
from lycheegw.protocol.pb import rollouts_pb2
from lycheegw.state import tallies

__all__ = ["CODEC"]


def _encode(update: canary_rollouts.RolloutUpdate) -> bytes:
    message = rollouts_pb2.News(
        tallies=[
            rollouts_pb2.Tally(
                **each.key._asdict(),
                started_ms=each.started_ms,
                sequence=each.sequence,
                order_offset=each.order_offset,
                sent=each.sent,
                answered=each.answered,
                failed=each.failed,
                timed=each.timed,
                log_time_sum=each.log_time_sum,
                in_flight=each.in_flight,
                failing_upstreams=sorted(each.failing_upstreams),
                paced=each.paced,
                log_pace_sum=each.log_pace_sum,
            )
            for each in update.tallies
        ],
        stances=[
            rollouts_pb2.Stance(**each._asdict()) for each in update.statuses
        ],
        held_sessions=[
            rollouts_pb2.HeldSessions(**each._asdict())
            for each in update.held_sessions
        ],
    )
    return bytes(message.SerializeToString())


def _decode(payload: bytes) -> canary_rollouts.RolloutUpdate:
    message = rollouts_pb2.News.FromString(payload)
    return canary_rollouts.RolloutUpdate(
        tuple(
            tallies.Tally(
                tallies.TallyKey(each.service, each.version, each.node_id),
                each.started_ms,
                each.sequence,
                each.order_offset,
                each.sent,
                each.answered,
                each.failed,
                each.timed,
                each.log_time_sum,
                each.in_flight,
                frozenset(each.failing_upstreams),
                each.paced,
                each.log_pace_sum,
            )
            for each in message.tallies
        ),
        tuple(
            tallies.RolloutStatus(
                each.service,
                each.node_id,
                each.started_ms,
                each.sequence,
                each.order_offset,
                max(0.0, each.order_age_s),
                each.share,
                each.is_condemned,
            )
            for each in message.stances
        ),
        tuple(
            session_holds.HoldUpdate(
                each.service, each.order_offset, tuple(each.session_hashes)
            )
            for each in message.held_sessions
        ),
    )


CODEC = canary_rollouts.Codec(_encode, _decode)
