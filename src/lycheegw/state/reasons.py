"""Reasons for refusals and retries; each is the name of a counter."""

import enum

__all__ = ["RefusalReason", "RetryReason"]


class RefusalReason(enum.Enum):
    """Reason why a client's request was refused or ended in an error."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    VERSION_WITHDRAWN = "version_withdrawn"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    NOT_READY = "not_ready"
    SHUTTING_DOWN = "shutting_down"
    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    COLD_LIMIT = "cold_limit"
    UPSTREAM_LIMIT = "upstream_limit"
    UPSTREAMS_PAUSED = "upstreams_paused"
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    MAY_HAVE_RUN = "may_have_run"
    KEY_IN_USE = "key_in_use"
    KEY_MISMATCH = "key_mismatch"
    KEY_COMPLETED = "key_completed"
    LOG_UNAVAILABLE = "log_unavailable"
    BILLING_FULL = "billing_full"
    POISON = "poison"
    ISOLATED = "isolated"
    STREAM_BROKEN = "stream_broken"
    CALLER_GONE = "caller_gone"
    CONFIGURATION_UNREADABLE = "configuration_unreadable"
    INTERNAL = "internal"


class RetryReason(enum.Enum):
    """Reason why an attempt at an upstream failed."""

    CONNECT_FAILED = "connect_failed"
    SEND_FAILED = "send_failed"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    UNCLEAR_REJECTION = "unclear_rejection"
    HEAD_TIMEOUT = "head_timeout"
    TOKEN_GAP = "token_gap"
    CONNECTION_LOST = "connection_lost"
    TRUNCATED = "truncated"
    ECHO_MISMATCH = "echo_mismatch"
    WRONG_VERSION = "wrong_version"
    EMPTY_ANSWER = "empty_answer"
    SERVER_ERROR = "server_error"
    MALFORMED = "malformed"
    UNSIGNED = "unsigned"
    NO_FREE_CONNECTION = "no_free_connection"
    LOW_CONFIDENCE = "low_confidence"
    OUTDATED_CHOICE = "outdated_choice"
