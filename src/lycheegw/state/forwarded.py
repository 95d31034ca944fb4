"""Requests that are passed on byte for byte, with the traits that decide."""

from typing import NamedTuple

from lycheegw.state import routing

__all__ = [
    "AnswerHead",
    "ForwardedWork",
    "Headers",
    "IncomingRequest",
    "PromptPart",
    "Refusal",
    "Traits",
]

Headers = tuple[tuple[bytes, bytes], ...]


class IncomingRequest(NamedTuple):
    """A request as it was read from a caller's connection, whole.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Names as sent, and values, in order.
        body: The whole body.
        received_s: Monotonic second at which its head was complete.
        is_first_on_connection: Whether it opened its connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_s: float
    is_first_on_connection: bool


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


class Traits(NamedTuple):
    """What a caller's headers say of a request.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        host: Host asked for, without a port.
        path: Path without the query.
        api_key: Key of the organisation, None where none was sent.
        time_left_s: How long the caller waits, None where not said.
        model: Model asked for, None where none is named.
        is_model_open: Whether the router is to name the model.
        prompt: Parts of the prompt, in order.
        prompt_tokens: Tokens of the prompt.
        max_tokens: Most tokens of the answer.
        session: Session identifier or None.
        last_event: Id of the last event that the caller has, or None.
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
    """An opaque request and the route that it takes."""

    incoming: IncomingRequest
    traits: Traits
    route: routing.Route


class AnswerHead(NamedTuple):
    """The head of an upstream's answer, decoded.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on, without those of one connection.
        content_length: Length of the body, None where the head has none.
        echoed_id: Request id that the answer is for, None where not said.
        is_signed: Whether the upstream signed it.
        is_not_run: Whether the upstream says that it did not run it.
        is_encoded: Whether the body is not the upstream's own bytes.
        confidence: The model's own estimate of the answer (0 to 100).
        running: Requests that run at the upstream, None where not said.
        waiting: Requests that wait there, None where not said.
        slots: Requests that the upstream runs at once, None where not said.
        instance: Identifier of the process that answered, or None.
        cold_s: How long the upstream stays cold, None where not said.
        retry_after_s: When to come again, None where not said.
        keep_alive_s: How long the connection may idle, None where not said.
    """

    status: int
    headers: Headers
    content_length: int | None
    echoed_id: str | None
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    confidence: float | None
    running: int | None
    waiting: int | None
    slots: int | None
    instance: str | None
    cold_s: float | None
    retry_after_s: float | None
    keep_alive_s: float | None


class Refusal(NamedTuple):
    """An answer of the router's own.

    Attributes:
        status: HTTP status.
        headers: Headers, the length aside.
        body: The body.
    """

    status: int
    headers: Headers
    body: bytes
