"""Opaque HTTP requests that are forwarded unchanged, and their responses."""

from typing import NamedTuple

from lycheegw.state import routing
from lycheegw.state import run_evidence

__all__ = [
    "ForwardedWork",
    "Headers",
    "IncomingRequest",
    "LocalResponse",
    "PromptPart",
    "RequestTraits",
    "ResponseHead",
]

Headers = tuple[tuple[bytes, bytes], ...]


class IncomingRequest(NamedTuple):
    """A complete request as read from a client's connection.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Names and values as sent, in order.
        body: The complete body.
        received_s: Monotonic second at which the request head was complete.
        is_first_on_connection: Whether no request preceded it there.
        relayed_time_left_s: Seconds that the client still waits, if another
            node received the request and relays it; else None.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_s: float
    is_first_on_connection: bool
    relayed_time_left_s: float | None = None

    @property
    def is_relayed(self) -> bool:
        """Whether another node received the request from the client."""
        return self.relayed_time_left_s is not None


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share, for prefix caches."""

    part_id: str
    tokens: int


class RequestTraits(NamedTuple):
    """Properties of a request that its headers give, for routing.

    Attributes:
        request_id: Identifier of this attempt of the client.
        host: Requested host, without a port.
        path: Path without the query.
        api_key: API key of the organisation, or None.
        time_left_s: Seconds until the client's deadline, or None.
        model: Requested model, or None.
        is_model_open: Whether the router has to choose the model.
        prompt: Parts of the prompt, in order.
        prompt_tokens: Tokens of the prompt.
        max_tokens: Maximum number of tokens of the response.
        session: Session identifier or None.
        last_event: Id of the last event that the client received, or None.
    """

    request_id: str
    host: str
    path: str
    api_key: str | None
    time_left_s: float | None
    model: str | None
    is_model_open: bool
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_tokens: int
    session: str | None
    last_event: str | None


class ForwardedWork(NamedTuple):
    """An opaque request and its route."""

    incoming: IncomingRequest
    traits: RequestTraits
    route: routing.Route


class ResponseHead(NamedTuple):
    """The decoded head of an upstream's response.

    Attributes:
        status: HTTP status.
        headers: Headers to forward, without hop-by-hop headers.
        content_length: Length of the body, None if the head has none.
        echoed_ids: Ids of requests that the response names; one, as a rule.
        is_signed: Whether the upstream signed the response.
        mark: Whether the upstream marked the response as a rejection.
        is_encoded: Whether the body has a content encoding other than identity.
        confidence: The model's estimate of its answer's quality (0 to 100).
        running: Requests running at the upstream, or None.
        waiting: Requests waiting at the upstream, or None.
        slots: Requests that the upstream can run at once, or None.
        instance: Identifier of the upstream process, or None.
        cold_s: Seconds for which the upstream stays cold, or None.
        retry_after_s: Seconds after which to retry, or None.
        keep_alive_s: Idle timeout of the connection, or None.
        is_leaving: Whether the upstream announces that it will stop.
        rate_limit_per_s: Requests per second that the upstream accepts from
            all nodes together, or None.
        max_rejections_per_s: Rejections a second for want of room that the
            upstream survives, or None if it names no such number.
        malformed_headers: Names of the headers whose values were ignored.
        is_attributed: Whether the response certainly is for this attempt.
        claims_not_run: Whether the status tells clients that the request has
            not run and never will.
        has_framing: Whether the body has a length or chunks; else it ends with
            the connection.
        slowness: How long work takes at the upstream at the moment, 1 is
            usual, or None.
    """

    status: int
    headers: Headers
    content_length: int | None
    echoed_ids: frozenset[str]
    is_signed: bool
    mark: run_evidence.Mark
    is_encoded: bool
    confidence: float | None
    running: int | None
    waiting: int | None
    slots: int | None
    instance: str | None
    cold_s: float | None
    retry_after_s: float | None
    keep_alive_s: float | None
    is_leaving: bool = False
    rate_limit_per_s: float | None = None
    max_rejections_per_s: float | None = None
    malformed_headers: tuple[str, ...] = ()
    is_attributed: bool = True
    claims_not_run: bool = False
    has_framing: bool = True
    slowness: float | None = None

    def evidence(self, request_id: str) -> run_evidence.RunEvidence:
        """Returns what the head says about a run of a request."""
        echo = run_evidence.Echo.OTHER
        if self.echoed_ids == {request_id}:
            echo = run_evidence.Echo.OWN
        elif not self.echoed_ids:
            echo = run_evidence.Echo.NONE
        elif len(self.echoed_ids) > 1:
            echo = run_evidence.Echo.CONFLICTING
        return run_evidence.RunEvidence(
            self.status,
            echo,
            self.mark,
            self.is_signed,
            self.claims_not_run,
        )


class LocalResponse(NamedTuple):
    """A response that the router makes itself.

    Attributes:
        status: HTTP status.
        headers: Headers without the content length.
        body: The body.
    """

    status: int
    headers: Headers
    body: bytes
