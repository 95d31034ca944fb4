"""Types of clients' parsed requests and of metadata of their responses."""

from typing import Any
from typing import NamedTuple

from lycheegw.state import forwarded_requests
from lycheegw.state import verdicts

__all__ = [
    "AnswerMetadata",
    "AnswerTotals",
    "ModelWork",
    "Request",
    "ServiceWork",
]


class ModelWork(NamedTuple):
    """A call of a model.

    Attributes:
        model: Name of the model.
        version: Version that the client demands, None if the router chooses.
        messages: Chat messages, each with `role` and `content`.
        max_tokens: Maximum number of tokens of the response.
        stream: Whether the client requests server-sent events.
        quality_target: Required share of good answers (0 to 1), None for the
            organisation's target.
    """

    model: str
    version: str | None
    messages: tuple[dict[str, Any], ...]
    max_tokens: int
    stream: bool
    quality_target: float | None


class ServiceWork(NamedTuple):
    """A call of a service without models.

    Attributes:
        service: Name of the service.
        operation: Name of the operation.
        payload: The JSON body.
    """

    service: str
    operation: str
    payload: Any


class Request(NamedTuple):
    """An authenticated and validated request of a client.

    Attributes:
        request_id: Identifier, chosen by the client or generated.
        organisation: Name of the organisation that the key belongs to.
        kind: Label by which quality and cost are counted.
        work: What to run.
        session: Session identifier or None.
        session_token: Signed token from an earlier response or None.
        deadline_s: Monotonic second after which the response has no use.
        priority: 0 (highest) to 9 (lowest).
        idempotency_key: Key of a request that must run at most once.
        is_idempotent: Whether running it twice has the effect of one run.
        fingerprint: Hash of the content, equal for re-sent requests.
        is_first_send: Whether the client states that it has not sent this
            idempotency key before.
        prompt_parts: Ids of the parts of the prompt that other requests may
            have in common with it, in order.
    """

    request_id: str
    organisation: str
    kind: str
    work: ModelWork | ServiceWork | forwarded_requests.ForwardedWork
    session: str | None
    session_token: str | None
    deadline_s: float
    priority: int
    idempotency_key: str | None
    is_idempotent: bool
    fingerprint: str
    is_first_send: bool = False
    prompt_parts: tuple[str, ...] = ()


class AnswerMetadata(NamedTuple):
    """What is known when a response starts.

    Attributes:
        model: Model that responds, None for a service.
        version: Version that responds, None for a service.
        session_token: Token to send with the session's next request or None.
        session_moved: Whether the session was moved off a withdrawn version.
        attempts: Attempts so far.
    """

    model: str | None
    version: str | None
    session_token: str | None
    session_moved: bool
    attempts: int


class AnswerTotals(NamedTuple):
    """What is known when a response is complete.

    Attributes:
        tokens: Tokens generated for the client.
        cost: Cost in the operators' unit, over all attempts.
        attempts: Total number of attempts.
        verdict: Always RAN; the counterpart of a refusal's verdict.
    """

    tokens: int
    cost: float
    attempts: int
    verdict: verdicts.RunVerdict = verdicts.RunVerdict.RAN
