"""Translates the platform's HTTP headers from and to the router's types."""

from collections.abc import Iterable
import contextlib
import json
import math
import re
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import reasons
from lycheegw.state import run_evidence
from lycheegw.state import verdicts
from lycheegw.transport import connection_pool

__all__ = [
    "decode_response_head",
    "decode_traits",
    "encode_attempt",
    "encode_health_check",
    "encode_refusal",
    "is_readiness_check",
    "promises_not_run",
]

_READY_CHECK_PATH = b"/v1/readyz"
# Largest count in a header, of requests or tokens; messages between nodes hold
# no more.
_MAX_COUNT = 2**31 - 1
_COUNT = re.compile(r"[0-9]{1,10}")
# Longest time that work may take on a machine, in percent of the usual one.
_MAX_SLOWNESS_PERCENT = 10_000
# Limits the prompt parts that a client's header can list; the rest are ignored.
_MAX_PROMPT_PARTS = 64

# Headers of a single connection, not forwarded (RFC 9110, section 7.6.1).
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
# Headers that only the router sets; those of the client are dropped. The API
# key is not forwarded to upstreams.
_ROUTER_HEADERS = {
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
# Value with which a client leaves the choice of the model to the router.
_ANY_MODEL = "*"
_CLIENT_STATUS_BY_REASON = {
    reasons.RefusalReason.BAD_REQUEST: 400,
    reasons.RefusalReason.UNAUTHENTICATED: 401,
    reasons.RefusalReason.UNKNOWN_ROUTE: 404,
}
# Values that affirm a mark. Upstreams send 1; no page names a value.
_MARK_VALUES = {"1", "true", "yes"}
_TIMEOUT_REASONS = {reasons.RefusalReason.DEADLINE_PASSED}
# Statuses by which clients know that a request has not run and never will.
_NOT_RUN_STATUSES = {408, 421, 429, 503}


def _connection_headers(headers: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """Returns the hop-by-hop headers that the Connection header lists."""
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }


def decode_traits(
    incoming: forwarded_requests.IncomingRequest,
) -> forwarded_requests.RequestTraits:
    """Returns the traits in a client's headers; raises errors.RefusalError."""
    value_by_name = {
        name.lower(): value.decode("latin-1").strip()
        for name, value in incoming.headers
    }
    request_id = value_by_name.get(b"x-lycheegw-attempt-id", "")
    if not request_id:
        raise errors.RefusalError(
            reasons.RefusalReason.BAD_REQUEST,
            "the header X-Lycheegw-Attempt-Id is missing",
            verdicts.RunVerdict.NOT_RUN,
        )
    prompt_tokens, max_tokens = _parse_token_counts(
        value_by_name.get(b"x-lycheegw-token-usage", "")
    )
    model = value_by_name.get(b"x-lycheegw-model")
    target = incoming.target.decode("latin-1")
    return forwarded_requests.RequestTraits(
        request_id,
        value_by_name.get(b"host", "").partition(":")[0].lower(),
        target.partition("?")[0],
        value_by_name.get(b"api-key"),
        _parse_milliseconds(value_by_name.get(b"x-lycheegw-deadline-ms")),
        model,
        model == _ANY_MODEL,
        _parse_prompt(value_by_name.get(b"x-lycheegw-prompt-prefix", "")),
        prompt_tokens,
        max_tokens,
        value_by_name.get(b"session"),
        value_by_name.get(b"last-event-id"),
    )


def _parse_milliseconds(text: str | None) -> float | None:
    """Returns a header in milliseconds as seconds, None if malformed."""
    milliseconds = _parse_float(text)
    return None if milliseconds is None else milliseconds / 1000


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    prompt_tokens = _parse_count(prompt.strip())
    max_tokens = _parse_count(answer.strip())
    if prompt_tokens is None or max_tokens is None:
        return 0, 0
    return prompt_tokens, max_tokens


def _parse_prompt(text: str) -> tuple[forwarded_requests.PromptPart, ...]:
    parts = []
    for entry in text.split(",")[:_MAX_PROMPT_PARTS]:
        part_id, _, tokens = entry.strip().partition(":")
        count = _parse_count(tokens)
        if part_id and count is not None:
            parts.append(forwarded_requests.PromptPart(part_id, count))
    return tuple(parts)


def encode_attempt(
    attempt: interfaces.ForwardAttempt,
) -> forwarded_requests.Headers:
    """Returns the headers of a request that is sent to an upstream."""
    incoming = attempt.work.incoming
    dropped_names = (
        _HOP_BY_HOP | _ROUTER_HEADERS | _connection_headers(incoming.headers)
    )
    if attempt.model is not None:
        dropped_names.add(b"x-lycheegw-model")
    if attempt.last_event is not None:
        dropped_names.add(b"last-event-id")
    headers = [
        (name, value)
        for name, value in incoming.headers
        if name.lower() not in dropped_names
    ]
    deadline_ms = max(1, int(attempt.time_left_s() * 1000))
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
) -> connection_pool.ClientRequest:
    """Returns the request that checks the health of an upstream."""
    return connection_pool.ClientRequest(
        b"GET", target, ((b"Host", address.encode()),), b""
    )


def decode_response_head(
    head: connection_pool.RawResponseHead,
) -> forwarded_requests.ResponseHead:
    """Returns the decoded head of an upstream's response."""
    value_by_name = {
        name: value.decode("latin-1") for name, value in head.headers
    }
    dropped_names = (
        _HOP_BY_HOP | {b"content-length"} | _connection_headers(head.headers)
    )
    load = _parse_load(value_by_name.get(b"x-lycheegw-instance-load", ""))
    retry_after_s = _parse_amount(value_by_name.get(b"retry-after"))
    rate_limit_per_s = _parse_amount(value_by_name.get(b"server-limit"))
    max_rejections_per_s = _parse_amount(value_by_name.get(b"server-brittle"))
    confidence = _parse_float(value_by_name.get(b"x-lycheegw-confidence"))
    cold_ms = _parse_amount(value_by_name.get(b"x-lycheegw-cold-ms"))
    found = {
        b"retry-after": retry_after_s,
        b"server-limit": rate_limit_per_s,
        b"server-brittle": max_rejections_per_s,
        b"x-lycheegw-confidence": confidence,
        b"x-lycheegw-cold-ms": cold_ms,
        b"x-lycheegw-instance-load": load.running,
    }
    encoding = value_by_name.get(b"content-encoding", "identity")
    # The parser has checked that it is a number.
    length = value_by_name.get(b"content-length")
    return forwarded_requests.ResponseHead(
        head.status,
        tuple(
            (name, value)
            for name, value in head.raw_headers
            if name.lower() not in dropped_names
        ),
        None if length is None else int(length),
        _values(head, b"x-lycheegw-attempt-id") - {""},
        b"x-lycheegw-response-signature" in value_by_name,
        _decode_mark(_values(head, b"x-lycheegw-not-executed")),
        encoding.lower() != "identity",
        confidence,
        load.running,
        load.waiting,
        load.slots,
        value_by_name.get(b"x-lycheegw-instance-id"),
        None if cold_ms is None else cold_ms / 1000,
        retry_after_s,
        _parse_keep_alive(value_by_name.get(b"keep-alive", "")),
        value_by_name.get(b"server-leaving") == "1",
        rate_limit_per_s,
        max_rejections_per_s,
        tuple(
            name.decode()
            for name, value in found.items()
            if name in value_by_name and value is None
        ),
        True,
        promises_not_run(head.status),
        bool({b"content-length", b"transfer-encoding"} & value_by_name.keys()),
        load.slowness,
    )


def _values(
    head: connection_pool.RawResponseHead, name: bytes
) -> frozenset[str]:
    """Returns the different values of a header, by its name in lower case."""
    return frozenset(
        value.decode("latin-1").strip()
        for each, value in head.headers
        if each == name
    )


def _decode_mark(values: frozenset[str]) -> run_evidence.Mark:
    """Returns the mark of a rejection."""
    if not values:
        return run_evidence.Mark.ABSENT
    if len(values) == 1 and min(values).lower() in _MARK_VALUES:
        return run_evidence.Mark.NOT_RUN
    return run_evidence.Mark.UNCLEAR


def _parse_float(text: str | None) -> float | None:
    """Returns a number that is finite, else None."""
    with contextlib.suppress(ValueError):
        number = math.nan if text is None else float(text)
        return number if math.isfinite(number) else None
    return None


def _parse_amount(text: str | None) -> float | None:
    """Returns a number that is finite and not negative, else None."""
    amount = _parse_float(text)
    return None if amount is None or amount < 0 else amount


def _parse_count(text: str) -> int | None:
    """Returns a whole number from 0 to `_MAX_COUNT`, else None."""
    if not _COUNT.fullmatch(text):
        return None
    count = int(text)
    return count if count <= _MAX_COUNT else None


class _Load(NamedTuple):
    """What an upstream says of its load; None where it says nothing."""

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    slowness: float | None = None


def _parse_load(text: str) -> _Load:
    """Returns the load; the fourth figure, in percent, may be missing."""
    parsed = [_parse_count(field.strip()) for field in text.split(",")]
    counts = [each for each in parsed if each is not None]
    if len(parsed) not in {3, 4} or len(counts) < len(parsed):
        return _Load()
    if len(counts) == 3:
        return _Load(*counts)
    running, waiting, slots, percent = counts
    if not 1 <= percent <= _MAX_SLOWNESS_PERCENT:
        return _Load()
    return _Load(running, waiting, slots, percent / 100)


def _parse_keep_alive(text: str) -> float | None:
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_count(value)
    return None


def encode_refusal(
    error: errors.RefusalError,
) -> forwarded_requests.LocalResponse:
    """Returns the response to a request that the router refuses."""
    status = _CLIENT_STATUS_BY_REASON.get(error.reason)
    if status is None:
        status = _server_error_status(error)
    headers = [(b"Content-Type", b"application/json")]
    if status == 503 and error.retry_after_s is not None:
        retry_after = f"{error.retry_after_s:.3f}".encode()
        headers.append((b"Retry-After", retry_after))
    body = json.dumps({"error": error.reason.value, "reason": str(error)})
    return forwarded_requests.LocalResponse(
        status, tuple(headers), body.encode()
    )


def _server_error_status(error: errors.RefusalError) -> int:
    # 503 guarantees that the request has not run and never will.
    if error.verdict is verdicts.RunVerdict.NOT_RUN:
        return 503
    return 504 if error.reason in _TIMEOUT_REASONS else 502


def promises_not_run(status: int) -> bool:
    """Returns whether clients take a status for a promise of no run."""
    return status in _NOT_RUN_STATUSES


def is_readiness_check(incoming: forwarded_requests.IncomingRequest) -> bool:
    """Returns whether a request is a load balancer's readiness check."""
    return incoming.target.partition(b"?")[0] == _READY_CHECK_PATH
