"""Generates the seeded open-loop traffic of a deployment."""

import asyncio
import collections
from collections.abc import Sequence
import json
import random
from typing import Any
from typing import NamedTuple

from lycheegw import app
from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.state import errors

__all__ = [
    "Outcome",
    "Traffic",
    "group_by_kind",
    "original_id",
    "path_and_body",
]

_DEADLINE_MS = 20_000
_SESSIONS = 20
_ERROR_EVENT = b"event: error\ndata: "
_RESENT_SHARE = 0.3
_RESENT_SUFFIX = "-resent"
_ORGANISATIONS = 10


class Outcome(NamedTuple):
    """How one request ended.

    Attributes:
        request_id: Identifier.
        kind: The kind of request.
        session: Session of the request, None if it has none.
        sent_s: Seconds since the traffic began.
        latency_s: Seconds from the time it was due to its last byte.
        reply: The reply, None if the connection broke.
    """

    request_id: str
    kind: deployments.TrafficKind
    session: str | None
    sent_s: float
    latency_s: float
    reply: harness.Reply | None

    @property
    def is_answered(self) -> bool:
        """Whether a whole response with status 200 came."""
        if self.reply is None or self.reply.status != 200:
            return False
        if not self.kind.is_streamed:
            return True
        return self.reply.body.endswith(b"data: [DONE]\n\n")

    @property
    def refusal_reason(self) -> str:
        """Reason of a refusal or of the error that ended a stream, or empty."""
        if self.reply is None or self.is_answered:
            return ""
        if self.reply.status != 200:
            return self.reply.refusal_reason
        _, marker, data = self.reply.body.rpartition(_ERROR_EVENT)
        return str(json.loads(data)["error"]["reason"]) if marker else ""


class Traffic:
    """The callers of a deployment.

    Attributes:
        outcomes: How each request ended, in the order of their ends.
    """

    def __init__(
        self,
        fleet: harness.Fleet,
        deployment: deployments.Deployment,
        seed: int,
        session_share: float = 0.5,
    ):
        self._fleet = fleet
        self._deployment = deployment
        self._random = random.Random(seed)
        self._session_share = session_share
        self._count_by_kind: collections.Counter[str] = collections.Counter()
        self._token_by_session: dict[str, str] = {}
        self._idle_sessions = [f"session-{index}" for index in range(_SESSIONS)]
        self._begin_s = 0.0
        self.outcomes: list[Outcome] = []

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Sends requests at random times, without waiting for responses.

        Returns once all requests have ended.
        """
        loop = asyncio.get_running_loop()
        self._begin_s = loop.time()
        due_s = self._begin_s
        tasks = []
        while due_s < self._begin_s + seconds:
            due_s += self._random.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            tasks.append(asyncio.ensure_future(self._send(due_s)))
        await asyncio.gather(*tasks)

    def _choose_node(self) -> app.Node:
        """Returns a ready node at random, as a load balancer would."""
        ready = [
            node
            for node in self._fleet.nodes.values()
            if node.api.unready_reason() is None
        ]
        return self._random.choice(ready)

    async def _send(self, due_s: float) -> None:
        kinds = self._deployment.traffic
        weights = [kind.share for kind in kinds]
        kind = self._random.choices(kinds, weights)[0]
        self._count_by_kind[kind.kind] += 1
        request_id = f"{kind.kind}-{self._count_by_kind[kind.kind]}"
        session = self._acquire_session(kind)
        index = self._random.randrange(_ORGANISATIONS)
        if session is not None:
            # A session belongs to one organisation.
            index = int(session.rpartition("-")[2]) % _ORGANISATIONS
        headers = self._headers(kind, request_id, session)
        key = deployments.organisation_key(self._deployment, index)
        path, body = path_and_body(kind, request_id)
        reply = await self._call(path, body, key, headers)
        self._release_session(session, reply)
        now_s = asyncio.get_running_loop().time()
        self.outcomes.append(
            Outcome(
                request_id,
                kind,
                session,
                due_s - self._begin_s,
                now_s - due_s,
                reply,
            )
        )

    async def _call(
        self, path: str, body: Any, key: str, headers: dict[str, str]
    ) -> harness.Reply | None:
        """Sends a request; a share of the keyed ones is sent twice at once."""
        sends = [self._call_once(path, body, key, headers)]
        is_keyed = "idempotency-key" in headers
        if is_keyed and self._random.random() < _RESENT_SHARE:
            resent_headers = headers | {
                "x-request-id": headers["x-request-id"] + _RESENT_SUFFIX
            }
            sends.append(self._call_once(path, body, key, resent_headers))
        replies = await asyncio.gather(*sends)
        return _best_reply(replies)

    async def _call_once(
        self, path: str, body: Any, key: str, headers: dict[str, str]
    ) -> harness.Reply | None:
        try:
            return await self._fleet.call(
                self._choose_node(), path, body, key, headers
            )
        except errors.UpstreamError:
            return None

    def _acquire_session(self, kind: deployments.TrafficKind) -> str | None:
        """Returns an idle session for a share of the model calls, else None."""
        if not kind.tokens or not self._idle_sessions:
            return None
        if self._random.random() >= self._session_share:
            return None
        return self._idle_sessions.pop(0)

    def _release_session(
        self, session: str | None, reply: harness.Reply | None
    ) -> None:
        if session is None:
            return
        self._idle_sessions.append(session)
        if reply is not None and "x-session-token" in reply.header_by_name:
            token = reply.header_by_name["x-session-token"]
            self._token_by_session[session] = token

    def _headers(
        self,
        kind: deployments.TrafficKind,
        request_id: str,
        session: str | None,
    ) -> dict[str, str]:
        headers = {
            "x-request-id": request_id,
            "x-deadline-ms": str(_DEADLINE_MS),
            "x-kind": kind.kind,
        }
        if not kind.is_idempotent:
            headers["idempotency-key"] = f"key-{request_id}"
        if session is not None:
            headers["x-session-id"] = session
        if session in self._token_by_session:
            headers["x-session-token"] = self._token_by_session[str(session)]
        return headers


def original_id(request_id: str) -> str:
    """Returns the request id without the suffix of a request sent again."""
    return request_id.removesuffix(_RESENT_SUFFIX)


def _best_reply(
    replies: Sequence[harness.Reply | None],
) -> harness.Reply | None:
    """Returns the first reply with status 200, else the first of all."""
    for reply in replies:
        if reply is not None and reply.status == 200:
            return reply
    return replies[0]


def path_and_body(
    kind: deployments.TrafficKind, request_id: str
) -> tuple[str, dict[str, Any]]:
    """Returns path and body of a request."""
    if not kind.tokens:
        return f"/v1/services/{kind.target}", {"about": request_id}
    content = f"{kind.kind} {request_id}"
    return "/v1/chat/completions", {
        "model": kind.target,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": kind.tokens,
        "stream": kind.is_streamed,
    }


def group_by_kind(outcomes: Sequence[Outcome]) -> dict[str, list[Outcome]]:
    """Returns the outcomes of each kind."""
    grouped: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        grouped.setdefault(outcome.kind.kind, []).append(outcome)
    return grouped
