"""Runs requests with an idempotency key at most once, by claims in the log.

A request is sent to an upstream only after its claim was read back from the
log as the first for its key, together with every entry before it. A request
whose claim is not the first learns the state of the first one from the log
and, while the node that owns the first claim is alive, from that node.
"""

import asyncio
from collections.abc import Sequence
import contextlib
import hashlib
import itertools
import json
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.coordination import key_coordinator
from lycheegw.coordination import key_messages
from lycheegw.coordination import key_refusals
from lycheegw.coordination import unresponsive_peers
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import verdicts

__all__ = ["KeyClaims", "StoredAnswer"]

_OWNER_TOPIC = "keys.owner"
_KEY_BYTES = 16
_FINGERPRINT_HEX_DIGITS = 16
_MAX_RESULT_BYTES = 512

_BEGIN_TIMEOUT_S = 4.0
_COORDINATOR_TIMEOUT_S = 2.0
_OWNER_TIMEOUT_S = 0.5
_DEADLINE_MARGIN_S = 0.05
_MAX_COORDINATORS_TRIED = 2

_FLUSH_INTERVAL_S = 0.5
_MAX_FLUSH_INTERVAL_S = 8.0
_STOP_TIMEOUT_S = 3.0
_MAX_UNLOGGED_OUTCOMES = 4_096
_MAX_LOGGED_OUTCOMES = 256

_KIND_BY_VERDICT = {
    verdicts.RunVerdict.RAN: key_messages.TransitionKind.DONE,
    verdicts.RunVerdict.MAY_HAVE_RUN: key_messages.TransitionKind.MAY_HAVE_RUN,
    verdicts.RunVerdict.NOT_RUN: key_messages.TransitionKind.RELEASE,
}


class StoredAnswer(NamedTuple):
    """The stored answer of an earlier request with the same key."""

    result: Any


class KeyClaims:
    """Decides which request with an idempotency key runs; logs its outcome."""

    def __init__(
        self,
        state: node_state.NodeState,
        peers: interfaces.PeerBus,
        coordinator: key_coordinator.KeyCoordinator,
        codec: key_messages.Codec,
    ):
        self._state = state
        self._peers = peers
        self._coordinator = coordinator
        self._codec = codec
        self._unresponsive = unresponsive_peers.UnresponsivePeers()
        self._running_claim_by_key: dict[bytes, key_messages.KeyTransition] = {}
        self._unlogged_outcome_by_claim: dict[
            int, key_messages.KeyTransition
        ] = {}
        self._logged_outcome_by_claim: dict[
            int, key_messages.KeyTransition
        ] = {}
        peers.on_call(_OWNER_TOPIC, self._handle_owner_query)

    @property
    def unlogged_outcome_count(self) -> int:
        """Number of outcomes that the log does not hold yet."""
        return len(self._unlogged_outcome_by_claim)

    async def begin(self, request: requests.Request) -> StoredAnswer | None:
        """Claims the request's key; returns the stored answer if there is one.

        Raises:
            errors.RefusalError: The key is in use, may have run, ran without
                a stored answer, belongs to a different request, or can't be
                claimed in the log.
        """
        claim = self._new_claim(request)
        reply: key_messages.CommitReply | None = None
        now_s = self._state.environment.monotonic_s()
        remaining_s = request.deadline_s - now_s - _DEADLINE_MARGIN_S
        try:
            async with asyncio.timeout(min(_BEGIN_TIMEOUT_S, remaining_s)):
                reply = await self._claim(request, claim)
                if reply is None:
                    return None
                return await self._resolve_lost_claim(claim, reply)
        except TimeoutError:
            if reply is not None:
                raise key_refusals.may_have_run(
                    "the node that claimed the key did not answer in time"
                ) from None
            raise key_refusals.log_unavailable(
                "the log did not answer in time",
                self._verdict_without_log(request, claim.key),
            ) from None

    async def _claim(
        self, request: requests.Request, claim: key_messages.KeyTransition
    ) -> key_messages.CommitReply | None:
        """Claims a key; returns the reply if another claim holds it.

        Raises:
            errors.RefusalError: A request with the key runs at this node, or
                the claim is not in the log.
        """
        running = self._running_claim_by_key.get(claim.key)
        if running is not None:
            # The running claim may yet be lost to one of this request.
            key_refusals.check_fingerprint(
                claim, running.fingerprint, verdicts.RunVerdict.MAY_HAVE_RUN
            )
            raise key_refusals.in_use()
        self._running_claim_by_key[claim.key] = claim
        try:
            [reply] = await self._submit([claim])
        except BaseException:
            self._abandon(claim)
            raise
        if _is_held_by(reply.status, claim):
            self._state.counters.add("keys.claimed")
            return None
        if reply.is_logged:
            del self._running_claim_by_key[claim.key]
        else:
            self._abandon(claim)
        if reply.status.state in key_messages.FREE_STATES:
            raise self._refusal_without_commit(request, claim.key, reply)
        return reply

    def _new_claim(
        self, request: requests.Request
    ) -> key_messages.KeyTransition:
        scope = f"{request.organisation}\n{request.idempotency_key}"
        node_id = self._state.identity.node_id
        claim_id = f"{node_id}\n{self._state.environment.new_id()}".encode()
        return key_messages.KeyTransition(
            key_messages.TransitionKind.CLAIM,
            _digest(scope.encode(), _KEY_BYTES),
            int.from_bytes(_digest(claim_id, 8), "big"),
            int(request.fingerprint[:_FINGERPRINT_HEX_DIGITS], 16),
            node_id,
        )

    async def _submit(
        self, transitions: Sequence[key_messages.KeyTransition]
    ) -> Sequence[key_messages.CommitReply]:
        """Commits transitions of one stream through a coordinator.

        If no other node commits them, this node does. Submitting a claim
        twice does no harm: the first in the log counts. Of several replies to
        a transition the one that says most of the key is returned.
        """
        index = key_coordinator.stream_index(transitions[0].key)
        now_s = self._state.environment.monotonic_s()
        coordinators = key_coordinator.rank_coordinators(index, self._peers)
        own_id = self._state.identity.node_id
        received = []
        for node_id in self._unresponsive.responsive(coordinators, now_s)[
            :_MAX_COORDINATORS_TRIED
        ]:
            if node_id == own_id:
                break
            replies = await self._call_coordinator(node_id, transitions)
            if replies is not None:
                if all(reply.is_logged for reply in replies):
                    return replies
                received.append(replies)
            self._state.counters.add("keys.keeper_failed")
        received.append(await self._coordinator.submit(index, transitions))
        return [
            max(reversed(replies), key=_knowledge)
            for replies in zip(*received, strict=True)
        ]

    async def _call_coordinator(
        self, node_id: str, transitions: Sequence[key_messages.KeyTransition]
    ) -> Sequence[key_messages.CommitReply] | None:
        """Returns a coordinator's replies, None if it did not reply."""
        payload = self._codec.encode_transitions(transitions)
        try:
            encoded = await self._peers.call(
                node_id, key_coordinator.TOPIC, payload, _COORDINATOR_TIMEOUT_S
            )
        except errors.PeerUnavailableError:
            now_s = self._state.environment.monotonic_s()
            self._unresponsive.record_failure(node_id, now_s)
            return None
        return self._codec.decode_commit_replies(encoded)

    def _abandon(self, claim: key_messages.KeyTransition) -> None:
        """Releases a claim whose request was not sent, logged or not."""
        self._running_claim_by_key.pop(claim.key, None)
        self._queue_outcome(
            claim._replace(kind=key_messages.TransitionKind.RELEASE)
        )

    def _queue_outcome(self, outcome: key_messages.KeyTransition) -> None:
        """Queues an outcome until the log holds it.

        Above the bound the oldest is dropped; its key then counts as one that
        may have run.
        """
        self._unlogged_outcome_by_claim[outcome.claim] = outcome
        if len(self._unlogged_outcome_by_claim) > _MAX_UNLOGGED_OUTCOMES:
            oldest = next(iter(self._unlogged_outcome_by_claim))
            del self._unlogged_outcome_by_claim[oldest]
            self._state.counters.add("keys.outcome_dropped")

    async def _resolve_lost_claim(
        self, claim: key_messages.KeyTransition, reply: key_messages.CommitReply
    ) -> StoredAnswer:
        """Returns the first claim's answer; raises RefusalError if none."""
        status = reply.status
        key_refusals.check_fingerprint(
            claim,
            status.fingerprint,
            # Entries that were not read may hold a claim of this request.
            verdicts.RunVerdict.NOT_RUN
            if reply.is_logged or reply.is_current
            else verdicts.RunVerdict.MAY_HAVE_RUN,
        )
        if status.state is key_messages.KeyState.CLAIMED:
            status = await self._query_owner(claim, status)
        if status.state is key_messages.KeyState.MAY_HAVE_RUN:
            raise key_refusals.may_have_run(
                "the first request with this idempotency key may have run"
            )
        self._state.counters.add("keys.answer_stored")
        return _stored_answer(status.result)

    def _refusal_without_commit(
        self,
        request: requests.Request,
        key: bytes,
        reply: key_messages.CommitReply,
    ) -> errors.RefusalError:
        """Returns the refusal of a claim that was not read back."""
        if reply.is_current:
            return key_refusals.log_unavailable(
                "the claim was not appended to the log",
                verdicts.RunVerdict.NOT_RUN,
            )
        return key_refusals.log_unavailable(
            "the log could neither be written nor read",
            self._verdict_without_log(request, key),
        )

    def _verdict_without_log(
        self, request: requests.Request, key: bytes
    ) -> verdicts.RunVerdict:
        """Returns whether a key may have run while the log can't be read.

        This request was not sent to an upstream, but an earlier one with the
        same key may have been. The caller can rule that out, unless this node
        sent one.
        """
        outcomes = itertools.chain(
            self._unlogged_outcome_by_claim.values(),
            self._logged_outcome_by_claim.values(),
        )
        was_sent = any(
            outcome.key == key
            and outcome.kind is not key_messages.TransitionKind.RELEASE
            for outcome in outcomes
        )
        if was_sent or not request.is_first_send:
            return verdicts.RunVerdict.MAY_HAVE_RUN
        return verdicts.RunVerdict.NOT_RUN

    async def _query_owner(
        self, claim: key_messages.KeyTransition, status: key_messages.KeyStatus
    ) -> key_messages.KeyStatus:
        """Returns the state of another request's claim, asked of its owner.

        Raises:
            errors.RefusalError: The request is still running, the claim is
                about to be released, or the owner can't be reached or doesn't
                know the outcome.
        """
        query = key_messages.OwnerQuery(claim.key, status.claim)
        try:
            payload = await self._peers.call(
                status.owner,
                _OWNER_TOPIC,
                self._codec.encode_owner_query(query),
                _OWNER_TIMEOUT_S,
            )
        except errors.PeerUnavailableError:
            raise key_refusals.may_have_run(
                "the node that claimed the key did not answer"
            ) from None
        owner_reply = self._codec.decode_owner_reply(payload)
        if owner_reply.is_running:
            raise key_refusals.in_use()
        if owner_reply.outcome is None:
            raise key_refusals.may_have_run(
                "the node that claimed the key knows no outcome"
            )
        if owner_reply.outcome.kind is key_messages.TransitionKind.RELEASE:
            # Another claim may hold the key since the log was read.
            raise key_refusals.in_use()
        is_done = owner_reply.outcome.kind is key_messages.TransitionKind.DONE
        state = (
            key_messages.KeyState.DONE
            if is_done
            else key_messages.KeyState.MAY_HAVE_RUN
        )
        return status._replace(state=state, result=owner_reply.outcome.result)

    async def _handle_owner_query(self, sender: str, payload: bytes) -> bytes:
        """Answers another node's query about a claim of this node."""
        del sender
        query = self._codec.decode_owner_query(payload)
        running = self._running_claim_by_key.get(query.key)
        is_running = running is not None and running.claim == query.claim
        outcome = self._unlogged_outcome_by_claim.get(query.claim)
        outcome = outcome or self._logged_outcome_by_claim.get(query.claim)
        return self._codec.encode_owner_reply(
            key_messages.OwnerReply(is_running, outcome)
        )

    async def complete(
        self,
        request: requests.Request,
        verdict: verdicts.RunVerdict,
        answer: StoredAnswer | None,
    ) -> None:
        """Records how a claimed request ended, for the next flush to the log.

        It never waits, so it delays no answer and can't be cancelled halfway.

        Args:
            request: The request.
            verdict: Whether it may have run.
            answer: Its answer, None if there is no usable one.
        """
        scope = f"{request.organisation}\n{request.idempotency_key}"
        claim = self._running_claim_by_key.pop(
            _digest(scope.encode(), _KEY_BYTES)
        )
        stored = b""
        if verdict is verdicts.RunVerdict.RAN and answer is not None:
            stored = json.dumps(answer.result).encode()
        if len(stored) > _MAX_RESULT_BYTES:
            stored = b""
        kind = _KIND_BY_VERDICT[verdict]
        self._queue_outcome(claim._replace(kind=kind, result=stored))

    async def run(self) -> None:
        """Flushes outcomes to the log until cancelled."""
        interval_s = _FLUSH_INTERVAL_S
        while True:
            await self._state.environment.sleep(interval_s)
            await self.flush()
            # Outcomes that remain after a flush mean that the log is down.
            has_unlogged = bool(self._unlogged_outcome_by_claim)
            interval_s = (
                min(2 * interval_s, _MAX_FLUSH_INTERVAL_S)
                if has_unlogged
                else _FLUSH_INTERVAL_S
            )

    async def stop(self) -> None:
        """Flushes outcomes, for at most `_STOP_TIMEOUT_S`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self.flush()

    async def flush(self) -> None:
        """Submits each unlogged outcome once."""
        transitions_by_index: dict[int, list[key_messages.KeyTransition]] = {}
        for transition in self._unlogged_outcome_by_claim.values():
            index = key_coordinator.stream_index(transition.key)
            transitions_by_index.setdefault(index, []).append(transition)
        await asyncio.gather(
            *(
                self._flush_transitions(transitions)
                for transitions in transitions_by_index.values()
            )
        )

    async def _flush_transitions(
        self, transitions: Sequence[key_messages.KeyTransition]
    ) -> None:
        replies = await self._submit(transitions)
        for transition, reply in zip(transitions, replies, strict=True):
            if reply.is_logged:
                self._unlogged_outcome_by_claim.pop(transition.claim, None)
                self._cache_logged_outcome(transition)

    def _cache_logged_outcome(
        self, transition: key_messages.KeyTransition
    ) -> None:
        """Keeps a logged outcome for nodes that read the log before it."""
        self._logged_outcome_by_claim[transition.claim] = transition
        if len(self._logged_outcome_by_claim) > _MAX_LOGGED_OUTCOMES:
            del self._logged_outcome_by_claim[
                next(iter(self._logged_outcome_by_claim))
            ]


def _digest(value: bytes, size: int) -> bytes:
    return hashlib.blake2b(value, digest_size=size).digest()


def _is_held_by(
    status: key_messages.KeyStatus, transition: key_messages.KeyTransition
) -> bool:
    """Returns whether the key is claimed, and by this transition."""
    is_claimed = status.state is key_messages.KeyState.CLAIMED
    return is_claimed and status.claim == transition.claim


def _knowledge(reply: key_messages.CommitReply) -> tuple[bool, bool, bool]:
    """Returns a sort key: replies that say more of a key come later."""
    is_free = reply.status.state in key_messages.FREE_STATES
    return reply.is_logged, not is_free, reply.is_current


def _stored_answer(result: bytes) -> StoredAnswer:
    """Returns a stored answer; raises RefusalError if it was not stored."""
    if not result:
        raise errors.RefusalError(
            reasons.RefusalReason.KEY_COMPLETED,
            "the request with this key ran; its answer is not stored",
            verdicts.RunVerdict.RAN,
        )
    return StoredAnswer(json.loads(result))
