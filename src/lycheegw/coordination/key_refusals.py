"""Builds the refusals of requests whose idempotency key can't be claimed."""

from lycheegw.coordination import key_messages
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = ["check_fingerprint", "in_use", "log_unavailable", "may_have_run"]

_RETRY_AFTER_S = 1.0
_RETRY_AFTER_UNCERTAIN_S = 10.0


def in_use() -> errors.RefusalError:
    """Returns the refusal of a key whose first request is running."""
    return errors.RefusalError(
        reasons.RefusalReason.KEY_IN_USE,
        "a request with this idempotency key is running",
        verdicts.RunVerdict.MAY_HAVE_RUN,
        _RETRY_AFTER_S,
    )


def may_have_run(message: str) -> errors.RefusalError:
    """Returns the refusal of a key whose first request may have run."""
    return errors.RefusalError(
        reasons.RefusalReason.MAY_HAVE_RUN,
        message,
        verdicts.RunVerdict.MAY_HAVE_RUN,
        _RETRY_AFTER_UNCERTAIN_S,
    )


def check_fingerprint(
    claim: key_messages.KeyTransition,
    fingerprint: int,
    verdict: verdicts.RunVerdict,
) -> None:
    """Raises errors.RefusalError if a key belongs to a different request.

    Args:
        claim: Claim of the request.
        fingerprint: Fingerprint of the request that the key belongs to.
        verdict: Whether this request may have run with the key.
    """
    if claim.fingerprint != fingerprint:
        raise errors.RefusalError(
            reasons.RefusalReason.KEY_MISMATCH,
            "the idempotency key was used for a different request",
            verdict,
        )


def log_unavailable(
    message: str, verdict: verdicts.RunVerdict
) -> errors.RefusalError:
    """Returns the refusal of a key that could not be claimed."""
    return errors.RefusalError(
        reasons.RefusalReason.LOG_UNAVAILABLE,
        f"the idempotency key can't be claimed: {message}",
        verdict,
        _RETRY_AFTER_S,
    )
