"""Validates clients' HTTP requests and formats the responses to them."""

from collections.abc import Mapping
import hashlib
import json
from typing import Any

from lycheegw.state import catalog
from lycheegw.state import errors
from lycheegw.state import limits
from lycheegw.state import reasons
from lycheegw.state import records
from lycheegw.state import requests
from lycheegw.state import verdicts

__all__ = [
    "CHAT_PATH",
    "SERVICES_PATH",
    "chat_completion_body",
    "completion_headers",
    "end_frames",
    "error_body",
    "error_frame",
    "http_status",
    "parse_request",
    "refusal_headers",
    "response_headers",
]

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/v1/services/"

_MAX_ID_CHARS = 128
_MAX_MESSAGES = 512
_MAX_TOKENS = 32_768
_DEFAULT_MAX_TOKENS = 512
_DEFAULT_PRIORITY = 5
_LOWEST_PRIORITY = 9
_STREAM_END = b"data: [DONE]\n\n"
_BEARER = "Bearer "
_UNREADABLE_RETRY_AFTER_S = 5.0

_STATUS_BY_REASON = {
    reasons.RefusalReason.BAD_REQUEST: 400,
    reasons.RefusalReason.BODY_TOO_LARGE: 413,
    reasons.RefusalReason.UNAUTHENTICATED: 401,
    reasons.RefusalReason.MODEL_NOT_ALLOWED: 403,
    reasons.RefusalReason.VERSION_WITHDRAWN: 409,
    reasons.RefusalReason.UNKNOWN_SERVICE: 404,
    reasons.RefusalReason.DEADLINE_PASSED: 504,
    reasons.RefusalReason.KEY_IN_USE: 409,
    reasons.RefusalReason.KEY_MISMATCH: 422,
    reasons.RefusalReason.KEY_COMPLETED: 409,
    reasons.RefusalReason.MAY_HAVE_RUN: 502,
    reasons.RefusalReason.STREAM_BROKEN: 502,
    reasons.RefusalReason.POISON: 422,
    reasons.RefusalReason.SHED: 429,
    reasons.RefusalReason.QUEUE_FULL: 429,
    reasons.RefusalReason.INTERNAL: 500,
}
_DEFAULT_STATUS = 503


def http_status(reason: reasons.RefusalReason) -> int:
    """Returns the HTTP status of a refusal."""
    return _STATUS_BY_REASON.get(reason, _DEFAULT_STATUS)


def error_body(error: errors.RefusalError, request_id: str) -> dict[str, Any]:
    """Returns the JSON body of a refusal."""
    body: dict[str, Any] = {
        "reason": error.reason.value,
        "message": str(error),
        "run": error.verdict.value,
        "request_id": request_id,
    }
    if error.retry_after_s is not None:
        body["retry_after_ms"] = round(error.retry_after_s * 1000)
    return {"error": body}


def error_frame(body: Mapping[str, Any]) -> bytes:
    """Returns the event that ends an incomplete streamed response."""
    return b"event: error\ndata: " + json.dumps(body).encode() + b"\n\n"


def end_frames(request_id: str, totals: requests.AnswerTotals) -> bytes:
    """Returns the totals and the end marker of a complete streamed response."""
    value = {
        "id": request_id,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": totals.tokens},
        "cost": round(totals.cost, 6),
        "attempts": totals.attempts,
    }
    return b"data: " + json.dumps(value).encode() + b"\n\n" + _STREAM_END


def refusal_headers(
    error: errors.RefusalError, request_id: str
) -> dict[str, str]:
    """Returns the headers of a refusal."""
    headers = {"x-request-id": request_id, "x-run": error.verdict.value}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    return headers


def response_headers(
    metadata: requests.AnswerMetadata, request_id: str
) -> dict[str, str]:
    """Returns the headers that are known when a response starts."""
    headers = {"x-request-id": request_id, "x-attempts": str(metadata.attempts)}
    if metadata.model is not None and metadata.version is not None:
        headers["x-model-version"] = f"{metadata.model}@{metadata.version}"
    if metadata.session_token is not None:
        headers["x-session-token"] = metadata.session_token
    if metadata.session_moved:
        headers["x-session-moved"] = "1"
    return headers


def completion_headers(totals: requests.AnswerTotals) -> dict[str, str]:
    """Returns the headers that are known when a response is complete."""
    return {"x-cost": f"{totals.cost:.6f}", "x-attempts": str(totals.attempts)}


def chat_completion_body(
    request_id: str, metadata: requests.AnswerMetadata, text: str, tokens: int
) -> dict[str, Any]:
    """Returns the JSON body of a complete model response, not streamed."""
    return {
        "id": request_id,
        "object": "chat.completion",
        "model": f"{metadata.model}@{metadata.version}",
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }
        ],
        "usage": {"completion_tokens": tokens},
    }


def _bad_request(message: str) -> errors.RefusalError:
    return errors.RefusalError(
        reasons.RefusalReason.BAD_REQUEST, message, verdicts.RunVerdict.NOT_RUN
    )


def _may_be_unreadable(
    organisation: records.Organisation | None, config: catalog.Catalog
) -> bool:
    """Returns whether the API key may belong to an unreadable organisation."""
    if organisation is None:
        return config.has_unreadable("organisation")
    return config.is_unreadable("organisation", organisation.name)


def _authenticate(
    headers: Mapping[str, str], config: catalog.Catalog
) -> records.Organisation:
    credentials = headers.get("authorization", "")
    key = credentials.removeprefix(_BEARER)
    digest = hashlib.sha256(key.encode()).hexdigest()
    organisation = config.organisation_of_key(digest)
    if _may_be_unreadable(organisation, config):
        raise errors.RefusalError(
            reasons.RefusalReason.CONFIGURATION_UNREADABLE,
            "the API key may belong to an organisation whose record this node"
            " can't read",
            verdicts.RunVerdict.NOT_RUN,
            retry_after_s=_UNREADABLE_RETRY_AFTER_S,
        )
    if organisation is None or key == credentials:
        raise errors.RefusalError(
            reasons.RefusalReason.UNAUTHENTICATED,
            "authorization: a bearer API key of an organisation is required",
            verdicts.RunVerdict.NOT_RUN,
        )
    claimed_name = headers.get("x-organisation", organisation.name)
    if claimed_name != organisation.name:
        raise errors.RefusalError(
            reasons.RefusalReason.UNAUTHENTICATED,
            f"x-organisation: the API key does not belong to {claimed_name!r}",
            verdicts.RunVerdict.NOT_RUN,
        )
    return organisation


def _number(headers: Mapping[str, str], name: str, default: float) -> float:
    value = headers.get(name)
    if value is None:
        return default
    try:
        return float(value)
    except ValueError as error:
        raise _bad_request(
            f"{name}: expected a number, got {value!r}"
        ) from error


def _identifier(headers: Mapping[str, str], name: str) -> str | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value or len(value) > _MAX_ID_CHARS or not value.isprintable():
        raise _bad_request(
            f"{name}: expected 1 to {_MAX_ID_CHARS} printable characters"
        )
    return value


def _deadline(
    headers: Mapping[str, str], now_s: float, node_limits: limits.Limits
) -> float:
    time_left_ms = _number(
        headers, "x-deadline-ms", node_limits.default_deadline_s * 1000
    )
    if not time_left_ms > 0:
        raise errors.RefusalError(
            reasons.RefusalReason.DEADLINE_PASSED,
            f"x-deadline-ms: expected a number above 0, got {time_left_ms:g}",
            verdicts.RunVerdict.NOT_RUN,
        )
    return now_s + min(time_left_ms / 1000, node_limits.max_deadline_s)


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _bad_request(f"body: expected JSON: {error}") from error
    if not isinstance(value, dict):
        raise _bad_request(
            f"body: expected a JSON object, got {type(value).__name__}"
        )
    return value


def _messages(value: Any) -> tuple[dict[str, Any], ...]:
    if not isinstance(value, list) or not 0 < len(value) <= _MAX_MESSAGES:
        raise _bad_request(
            f"messages: expected a list of 1 to {_MAX_MESSAGES} messages"
        )
    for message in value:
        if not isinstance(message, dict) or not isinstance(
            message.get("content"), str
        ):
            raise _bad_request(
                "messages: each message needs a role and a string as content"
            )
    return tuple(value)


def _model_work(
    headers: Mapping[str, str], value: Mapping[str, Any]
) -> requests.ModelWork:
    name = value.get("model")
    if not isinstance(name, str) or not name:
        raise _bad_request("model: expected the name of a model, not empty")
    model, _, version = name.partition("@")
    max_tokens = value.get("max_tokens", _DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 0 < max_tokens <= _MAX_TOKENS:
        raise _bad_request(
            f"max_tokens: expected an integer of 1 to {_MAX_TOKENS}"
        )
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad_request("stream: expected true or false")
    target = None
    if "x-quality-target" in headers:
        target = _number(headers, "x-quality-target", 0)
        if not 0 <= target <= 1:
            raise _bad_request(
                f"x-quality-target: expected 0 to 1, got {target:g}"
            )
    return requests.ModelWork(
        model,
        version or None,
        _messages(value.get("messages")),
        max_tokens,
        stream,
        target,
    )


def _service_work(
    path: str, body: bytes, config: catalog.Catalog
) -> tuple[requests.ServiceWork, records.Operation]:
    name, _, operation_name = path.removeprefix(SERVICES_PATH).partition("/")
    if config.is_unreadable("service", name):
        raise errors.RefusalError(
            reasons.RefusalReason.CONFIGURATION_UNREADABLE,
            f"service {name!r} has a schema that this node does not support",
            verdicts.RunVerdict.NOT_RUN,
            retry_after_s=_UNREADABLE_RETRY_AFTER_S,
        )
    service = config.service(name)
    operation = service and service.operations.get(operation_name)
    if operation is None:
        raise errors.RefusalError(
            reasons.RefusalReason.UNKNOWN_SERVICE,
            f"there is no operation {operation_name!r} of a service {name!r}",
            verdicts.RunVerdict.NOT_RUN,
        )
    payload = _json_object(body) if body else {}
    return requests.ServiceWork(name, operation_name, payload), operation


def _fingerprint(organisation: str, path: str, body: bytes) -> str:
    digest = hashlib.sha256(f"{organisation}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def parse_request(
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    request_id: str,
    now_s: float,
    config: catalog.Catalog,
    node_limits: limits.Limits,
) -> requests.Request:
    """Authenticates the client and returns its validated request.

    Raises:
        errors.RefusalError: The request is not valid; it was not run.
    """
    organisation = _authenticate(headers, config)
    priority = _number(headers, "x-priority", _DEFAULT_PRIORITY)
    if not 0 <= priority <= _LOWEST_PRIORITY:
        raise _bad_request(
            f"x-priority: expected 0 to {_LOWEST_PRIORITY}, got {priority:g}"
        )
    work: requests.ModelWork | requests.ServiceWork
    is_idempotent = True
    if path == CHAT_PATH:
        work = _model_work(headers, _json_object(body))
        kind = headers.get("x-kind", work.model)
    else:
        work, operation = _service_work(path, body, config)
        kind = f"{work.service}/{work.operation}"
        is_idempotent = operation.is_idempotent
    key = _identifier(headers, "idempotency-key")
    if not is_idempotent and key is None:
        raise _bad_request(f"idempotency-key: {kind} requires this header")
    return requests.Request(
        request_id,
        organisation.name,
        kind,
        work,
        _identifier(headers, "x-session-id"),
        headers.get("x-session-token"),
        _deadline(headers, now_s, node_limits),
        int(priority),
        key,
        is_idempotent,
        _fingerprint(organisation.name, path, body),
        headers.get("x-first-send") == "true",
    )
