"""Keeps each session on its model version, by token or replicated pin.

A token names the version; the client sends it back. If the client sends only a
session id, the version is looked up in a pin. Pins are replicated to two nodes
of the zone and to one node in each of two zones that the session key selects,
so a session that moves to another zone is found there. Rendezvous hashing
selects these nodes alike on every node.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.coordination import rendezvous
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import requests
from lycheegw.state import sessions

__all__ = ["PinCodec", "SessionPinner"]

_OWN_ZONE_HOLDERS = 2
_SELECTED_ZONES = 2
_QUERY_TIMEOUT_S = 0.25
_SEND_TIMEOUT_S = 1.0
# An unchanged pin is sent again after this time, so that new holders get it.
_RESEND_INTERVAL_S = 300.0
_MAX_SENDING_TASKS = 200
_QUERY_TOPIC = "session.ask"
_PIN_TOPIC = "session.tell"


class PinCodec(NamedTuple):
    """Encodes and decodes queries and pins."""

    encode_query: Callable[[sessions.SessionKey], bytes]
    decode_query: Callable[[bytes], sessions.SessionKey]
    encode_pin: Callable[[sessions.SessionClaim | None], bytes]
    decode_pin: Callable[[bytes], sessions.SessionClaim | None]


class SessionPinner:
    """Looks up and replicates the versions that sessions are pinned to."""

    def __init__(
        self,
        state: node_state.NodeState,
        peers: interfaces.PeerBus,
        live_by_zone: Callable[[], Mapping[str, Sequence[str]]],
        codec: PinCodec,
    ):
        self._live_by_zone = live_by_zone
        self._state = state
        self._peers = peers
        self._codec = codec
        self._sending_tasks: set[asyncio.Task[None]] = set()
        peers.on_call(_QUERY_TOPIC, self._handle_query)
        peers.on_call(_PIN_TOPIC, self._handle_pin)

    async def find_claim(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        token: sessions.SessionClaim | None,
    ) -> sessions.SessionClaim | None:
        """Returns the newest claim that is valid for a request, or None."""
        claim = self._valid_token_claim(request, work, token)
        if request.session is None:
            return claim
        key = sessions.SessionKey(
            request.organisation, request.session, work.model
        )
        pinned = self._state.pins.claim(key, self._wall_s())
        if claim is None and pinned is None:
            return await self._query_holders(key)
        return max(
            (each for each in (claim, pinned) if each is not None),
            key=lambda each: each.pinned_s,
        )

    def _valid_token_claim(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        token: sessions.SessionClaim | None,
    ) -> sessions.SessionClaim | None:
        """Returns the claim of the token if it belongs to the request."""
        if token is None:
            if request.session_token is not None:
                self._state.counters.add("sessions.token_forged")
            return None
        if token.organisation != request.organisation:
            self._state.counters.add("sessions.token_foreign")
            return None
        is_same = token.session == (request.session or token.session)
        if not is_same or token.model != work.model:
            self._state.counters.add("sessions.token_mismatch")
            return None
        return token

    async def _query_holders(
        self, key: sessions.SessionKey
    ) -> sessions.SessionClaim | None:
        """Queries the holders of a pin; returns the newest one."""
        others = self._holders(key)
        if not others:
            return None
        query = self._codec.encode_query(key)
        claims_or_none = await asyncio.gather(
            *(self._query_holder(node_id, query) for node_id in others)
        )
        claims = [each for each in claims_or_none if each is not None]
        if not claims:
            return None
        newest = max(claims, key=lambda each: each.pinned_s)
        if newest.key != key:
            return None
        self._state.counters.add("sessions.pin_from_peer")
        self._state.pins.pin(newest)
        return newest

    async def _query_holder(
        self, node_id: str, query: bytes
    ) -> sessions.SessionClaim | None:
        try:
            payload = await self._peers.call(
                node_id, _QUERY_TOPIC, query, _QUERY_TIMEOUT_S
            )
        except errors.PeerUnavailableError:
            self._state.counters.add("sessions.ask_failed")
            return None
        return self._codec.decode_pin(payload)

    def _holders(self, key: sessions.SessionKey) -> Sequence[str]:
        """Returns the other nodes that hold the pin of a session."""
        hash_key = "\n".join(key)
        ids_by_zone = self._live_by_zone()
        own_zone = self._state.identity.zone
        local_ids = ids_by_zone.get(own_zone, ())
        holders = list(
            rendezvous.order(hash_key, local_ids)[:_OWN_ZONE_HOLDERS]
        )
        for zone in rendezvous.order(hash_key, ids_by_zone)[:_SELECTED_ZONES]:
            holders.append(rendezvous.order(hash_key, ids_by_zone[zone])[0])
        own_id = self._state.identity.node_id
        return [each for each in dict.fromkeys(holders) if each != own_id]

    def pin_session(self, key: sessions.SessionKey, version: str) -> None:
        """Pins a session to the version that answered it; sends the pin."""
        now_s = self._wall_s()
        current = self._state.pins.claim(key, now_s)
        is_same_version = current is not None and current.version == version
        if (
            is_same_version
            and current
            and now_s - current.pinned_s < _RESEND_INTERVAL_S
        ):
            return
        claim = sessions.SessionClaim(*key, version, now_s)
        self._state.pins.pin(claim)
        if len(self._sending_tasks) >= _MAX_SENDING_TASKS:
            self._state.counters.add("sessions.tell_dropped")
            return
        task = asyncio.get_running_loop().create_task(self._send_pin(claim))
        self._sending_tasks.add(task)
        task.add_done_callback(self._sending_tasks.discard)

    async def _send_pin(self, claim: sessions.SessionClaim) -> None:
        payload = self._codec.encode_pin(claim)
        for node_id in self._holders(claim.key):
            try:
                await self._peers.call(
                    node_id, _PIN_TOPIC, payload, _SEND_TIMEOUT_S
                )
            except errors.PeerUnavailableError:
                self._state.counters.add("sessions.tell_failed")

    async def _handle_query(self, sender: str, payload: bytes) -> bytes:
        del sender
        key = self._codec.decode_query(payload)
        claim = self._state.pins.claim(key, self._wall_s())
        return self._codec.encode_pin(claim)

    async def _handle_pin(self, sender: str, payload: bytes) -> bytes:
        del sender
        claim = self._codec.decode_pin(payload)
        if claim is not None:
            self._state.pins.pin(claim)
        return b""

    def _wall_s(self) -> float:
        return self._state.environment.wall_s()
