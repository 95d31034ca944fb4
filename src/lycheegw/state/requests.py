"""Requests of callers and the answers that they get, as typed data."""

from typing import Any
from typing import NamedTuple

from lycheegw.state import forwarded
from lycheegw.state import verdicts

__all__ = [
    "AnswerHead",
    "AnswerTail",
    "ModelWork",
    "Request",
    "ServiceWork",
]


class ModelWork(NamedTuple):
    """A call of a model.

    Attributes:
        model: Name of the model.
        version: Version that the caller insists on, None for the router's
            choice.
        messages: Chat messages, each with `role` and `content`.
        max_tokens: Upper bound of the answer in tokens.
        stream: Whether the caller wants server-sent events.
        quality_target: Share of good answers wanted (0 to 1), None for the
            organisation's own.
    """

    model: str
    version: str | None
    messages: tuple[dict[str, Any], ...]
    max_tokens: int
    stream: bool
    quality_target: float | None


class ServiceWork(NamedTuple):
    """A call of a plain service.

    Attributes:
        service: Name of the service.
        operation: Name of the operation.
        payload: The JSON body.
    """

    service: str
    operation: str
    payload: Any


class Request(NamedTuple):
    """One request of a caller, authenticated and checked.

    Attributes:
        request_id: Identifier, the caller's own or a fresh one.
        organisation: Name of the organisation that the key belongs to.
        kind: Label of the kind of request, for quality and cost.
        work: What to run.
        session: Session identifier or None.
        session_token: Signed token from an earlier answer or None.
        deadline_s: Monotonic second by which the answer is worthless.
        priority: 0 (first) to 9 (last).
        idempotency_key: Key of a request that must run at most once.
        is_idempotent: Whether running it twice does no harm.
        fingerprint: Hash of what is run, equal for re-sent requests.
        is_first_send: Whether the caller says that it never sent this
            idempotency key before.
    """

    request_id: str
    organisation: str
    kind: str
    work: ModelWork | ServiceWork | forwarded.ForwardedWork
    session: str | None
    session_token: str | None
    deadline_s: float
    priority: int
    idempotency_key: str | None
    is_idempotent: bool
    fingerprint: str
    is_first_send: bool = False


class AnswerHead(NamedTuple):
    """What is known when an answer starts.

    Attributes:
        model: Model that answers, None for a service.
        version: Version that answers, None for a service.
        session_token: Token for the session's next request or None.
        session_moved: Whether the session left a withdrawn version.
        attempts: Attempts so far.
    """

    model: str | None
    version: str | None
    session_token: str | None
    session_moved: bool
    attempts: int


class AnswerTail(NamedTuple):
    """What is known when an answer has ended whole.

    Attributes:
        tokens: Tokens generated for the caller.
        cost: Cost in the operators' unit, over all attempts.
        attempts: Attempts in all.
        verdict: Always RAN, for symmetry with refusals.
    """

    tokens: int
    cost: float
    attempts: int
    verdict: verdicts.RunVerdict = verdicts.RunVerdict.RAN
