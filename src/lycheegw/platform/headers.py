"""Headers of requests and answers, decoded once and set in one place."""

from collections.abc import Iterable
import contextlib
import json

from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import forwarded
from lycheegw.state import reasons
from lycheegw.state import verdicts
from lycheegw.transport import exchange_client

__all__ = [
    "decode_answer",
    "decode_traits",
    "encode_attempt",
    "encode_health_check",
    "encode_refusal",
    "is_ready_check",
]

_READY_TARGET = b"/v1/readyz"
# A caller may not claim to have been told more than this by its own headers.
_MAX_PARTS = 64

# Of one connection only (RFC 9110, 7.6.1).
_HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
}
# Set by the router alone, whatever the caller sent; the API key goes no
# further than the router.
_OWN = {
    b"api-key",
    b"content-length",
    b"expect",
    b"kv-fetch",
    b"kv-from",
    b"x-lycheegw-deadline-ms",
    b"x-lycheegw-expected-instance",
    b"x-lycheegw-expected-version",
    b"x-lycheegw-hold",
    b"x-lycheegw-kv-backup",
    b"x-lycheegw-pin-ms",
    b"x-lycheegw-request-urgency",
    b"x-lycheegw-tenant",
}
_OPEN_MODEL = "*"
_CLIENT_ERROR_BY_REASON = {
    reasons.RefusalReason.BAD_REQUEST: 400,
    reasons.RefusalReason.UNAUTHENTICATED: 401,
    reasons.RefusalReason.UNKNOWN_ROUTE: 404,
}
_LATE_REASONS = {reasons.RefusalReason.DEADLINE_PASSED}


def _nominated(headers: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """Returns the headers that Connection names as hop-by-hop."""
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }


def decode_traits(incoming: forwarded.IncomingRequest) -> forwarded.Traits:
    """Returns what a caller's headers say; raises errors.RefusalError."""
    value_by_name = {
        name.lower(): value.decode("latin-1").strip()
        for name, value in incoming.headers
    }
    request_id = value_by_name.get(b"x-lycheegw-attempt-id", "")
    if not request_id:
        raise errors.RefusalError(
            reasons.RefusalReason.BAD_REQUEST, "no id of the attempt"
        )
    prompt_tokens, max_tokens = _tokens(
        value_by_name.get(b"x-lycheegw-token-usage", "")
    )
    model = value_by_name.get(b"x-lycheegw-model")
    target = incoming.target.decode("latin-1")
    return forwarded.Traits(
        request_id,
        value_by_name.get(b"host", "").partition(":")[0].lower(),
        target.partition("?")[0],
        value_by_name.get(b"api-key"),
        _seconds(value_by_name.get(b"x-lycheegw-deadline-ms")),
        model,
        model == _OPEN_MODEL,
        _parts(value_by_name.get(b"x-lycheegw-prompt-prefix", "")),
        prompt_tokens,
        max_tokens,
        value_by_name.get(b"session"),
        value_by_name.get(b"last-event-id"),
    )


def _seconds(text: str | None) -> float | None:
    """Returns a header in milliseconds as seconds, None if unreadable."""
    if text is None:
        return None
    with contextlib.suppress(ValueError):
        return float(text) / 1000
    return None


def _tokens(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    if prompt.strip().isdigit() and answer.strip().isdigit():
        return int(prompt), int(answer)
    return 0, 0


def _parts(text: str) -> tuple[forwarded.PromptPart, ...]:
    parts = []
    for entry in text.split(",")[:_MAX_PARTS]:
        part_id, _, tokens = entry.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(forwarded.PromptPart(part_id, int(tokens)))
    return tuple(parts)


def encode_attempt(attempt: interfaces.ForwardAttempt) -> forwarded.Headers:
    """Returns the headers of a request as it goes to an upstream."""
    incoming = attempt.work.incoming
    left_out = _HOP_BY_HOP | _OWN | _nominated(incoming.headers)
    if attempt.model is not None:
        left_out.add(b"x-lycheegw-model")
    if attempt.last_event is not None:
        left_out.add(b"last-event-id")
    headers = [
        (name, value)
        for name, value in incoming.headers
        if name.lower() not in left_out
    ]
    deadline_ms = max(1, int(attempt.time_left_s * 1000))
    headers.append((b"X-Lycheegw-Deadline-Ms", b"%d" % deadline_ms))
    instance = attempt.upstream.host_id.encode()
    headers.append((b"X-Lycheegw-Expected-Instance", instance))
    if attempt.organisation:
        organisation = attempt.organisation.encode()
        headers.append((b"X-Lycheegw-Tenant", organisation))
    if attempt.model is not None:
        headers.append((b"X-Lycheegw-Model", attempt.model.encode()))
    if attempt.last_event is not None:
        headers.append((b"Last-Event-Id", attempt.last_event.encode()))
    if attempt.urgency is not None:
        urgency = b"%d" % attempt.urgency
        headers.append((b"X-Lycheegw-Request-Urgency", urgency))
    if incoming.body or incoming.method not in {b"GET", b"HEAD", b"DELETE"}:
        headers.append((b"Content-Length", b"%d" % len(incoming.body)))
    return tuple(headers)


def encode_health_check(
    target: bytes, address: str
) -> exchange_client.ClientRequest:
    """Returns the request that asks an upstream for its health."""
    return exchange_client.ClientRequest(
        b"GET", target, ((b"Host", address.encode()),), b""
    )


def decode_answer(head: exchange_client.RawHead) -> forwarded.AnswerHead:
    """Returns the head of an upstream's answer, decoded."""
    value_by_name = {
        name: value.decode("latin-1") for name, value in head.headers
    }
    left_out = _HOP_BY_HOP | {b"content-length"} | _nominated(head.headers)
    running, waiting, slots = _load(
        value_by_name.get(b"x-lycheegw-instance-load", "")
    )
    is_not_run = b"x-lycheegw-not-executed" in value_by_name
    encoding = value_by_name.get(b"content-encoding", "identity")
    return forwarded.AnswerHead(
        head.status,
        tuple(
            (name, value)
            for name, value in head.raw_headers
            if name.lower() not in left_out
        ),
        _whole(value_by_name.get(b"content-length")),
        value_by_name.get(b"x-lycheegw-attempt-id"),
        b"x-lycheegw-response-signature" in value_by_name,
        is_not_run or head.status == 421,
        encoding.lower() != "identity",
        _number(value_by_name.get(b"x-lycheegw-confidence")),
        running,
        waiting,
        slots,
        value_by_name.get(b"x-lycheegw-instance-id"),
        _seconds(value_by_name.get(b"x-lycheegw-cold-ms")),
        _number(value_by_name.get(b"retry-after")),
        _keep_alive(value_by_name.get(b"keep-alive", "")),
    )


def _number(text: str | None) -> float | None:
    with contextlib.suppress(ValueError):
        return None if text is None else float(text)
    return None


def _whole(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def _load(text: str) -> tuple[int | None, int | None, int | None]:
    fields = [field.strip() for field in text.split(",")]
    if len(fields) != 3 or not all(field.isdigit() for field in fields):
        return None, None, None
    return int(fields[0]), int(fields[1]), int(fields[2])


def _keep_alive(text: str) -> float | None:
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


def encode_refusal(error: errors.RefusalError) -> forwarded.Refusal:
    """Returns the router's own answer to a request that it does not serve."""
    status = _CLIENT_ERROR_BY_REASON.get(error.reason)
    if status is None:
        status = _status_of(error)
    headers = [(b"Content-Type", b"application/json")]
    if status == 503 and error.retry_after_s is not None:
        retry_after = f"{error.retry_after_s:.3f}".encode()
        headers.append((b"Retry-After", retry_after))
    body = json.dumps({"error": error.reason.value, "reason": str(error)})
    return forwarded.Refusal(status, tuple(headers), body.encode())


def _status_of(error: errors.RefusalError) -> int:
    # 503 promises that the request has not run and never will.
    if error.verdict is verdicts.RunVerdict.NOT_RUN:
        return 503
    return 504 if error.reason in _LATE_REASONS else 502


def is_ready_check(incoming: forwarded.IncomingRequest) -> bool:
    """Returns whether the balancer asks if the node takes new work."""
    return incoming.target.partition(b"?")[0] == _READY_TARGET
