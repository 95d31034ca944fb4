"""Selects the versions of a model that a request may run on.

The selection depends on the versions allowed to the organisation, on
withdrawals, on the session's version and on the roll-out of the model.
"""

from typing import NamedTuple

import xxhash

from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import sessions
from lycheegw.state import verdicts

__all__ = [
    "VersionChoice",
    "check_allowed",
    "check_readable",
    "choose_versions",
]

_UNREADABLE_RETRY_AFTER_S = 5.0
_HASH_RANGE = 2**64


class VersionChoice(NamedTuple):
    """Versions that a request may be planned on.

    Attributes:
        versions: Versions in order of preference, never empty.
        is_pinned: Whether the session or the client determines the version.
        session_moved: Whether the session had to leave its version.
    """

    versions: tuple[str, ...]
    is_pinned: bool
    session_moved: bool


def check_readable(
    state: node_state.NodeState,
    kind: str,
    name: str,
    verdict: verdicts.RunVerdict,
) -> None:
    """Raises errors.RefusalError if this build can't read a record.

    `verdict` is that of the attempts made so far.
    """
    if state.catalog.is_unreadable(kind, name):
        raise errors.RefusalError(
            reasons.RefusalReason.CONFIGURATION_UNREADABLE,
            f"{kind} {name} is of a schema that this node can't read",
            verdict,
            _UNREADABLE_RETRY_AFTER_S,
        )


def check_allowed(
    state: node_state.NodeState,
    organisation: str,
    model: str,
    version: str,
    verdict: verdicts.RunVerdict,
) -> None:
    """Raises errors.RefusalError unless a version may get requests now.

    The version may be withdrawn or not allowed, or a record unreadable.
    `verdict` is that of the attempts made so far.
    """
    check_readable(state, "model", model, verdict)
    check_readable(state, "organisation", organisation, verdict)
    if state.catalog.is_withdrawn(model, version):
        raise errors.RefusalError(
            reasons.RefusalReason.VERSION_WITHDRAWN,
            f"{model}@{version} is withdrawn",
            verdict,
        )
    if version not in state.catalog.allowed_versions(organisation, model):
        raise errors.RefusalError(
            reasons.RefusalReason.MODEL_NOT_ALLOWED,
            f"{organisation} may not use {model}@{version}",
            verdict,
        )


def choose_versions(
    state: node_state.NodeState,
    request: requests.Request,
    work: requests.ModelWork,
    claim: sessions.SessionClaim | None,
    verdict: verdicts.RunVerdict,
) -> VersionChoice:
    """Returns the versions that a request may be planned on.

    Args:
        state: State of the node.
        request: The request.
        work: Its model call.
        claim: Valid claim of its session, or None.
        verdict: Whether the request may have run so far.

    Raises:
        errors.RefusalError: The organisation may use no version.
    """
    if work.version is not None:
        check_allowed(
            state, request.organisation, work.model, work.version, verdict
        )
        return VersionChoice((work.version,), True, False)
    check_readable(state, "model", work.model, verdict)
    check_readable(state, "organisation", request.organisation, verdict)
    allowed = state.catalog.allowed_versions(request.organisation, work.model)
    if not allowed:
        raise errors.RefusalError(
            reasons.RefusalReason.MODEL_NOT_ALLOWED,
            f"{request.organisation} may use no version of {work.model}",
            verdict,
        )
    pinned = None if claim is None else claim.version
    if pinned in allowed:
        return VersionChoice((str(pinned),), True, False)
    check_readable(state, "rollout", work.model, verdict)
    return VersionChoice(
        _sort_by_preference(state, request, work.model, allowed),
        False,
        pinned is not None,
    )


def _hash_fraction(request: requests.Request, model: str) -> float:
    """Returns 0 to 1, the same for all requests of a session on all nodes.

    So a session keeps its version even without a token or pin, and a change of
    the roll-out's share moves only the sessions between the two shares.
    """
    name = request.session or request.request_id
    hashed = xxhash.xxh64_intdigest(
        f"{request.organisation}/{name}/{model}".encode()
    )
    return hashed / _HASH_RANGE


def _sort_by_preference(
    state: node_state.NodeState,
    request: requests.Request,
    model: str,
    allowed: list[str],
) -> tuple[str, ...]:
    """Sorts the version of the roll-out, or the default one, first."""
    record = state.catalog.model(model)
    first = record.default if record is not None else ""
    rollout = state.catalog.rollout(model)
    if rollout is not None:
        is_new = _hash_fraction(request, model) < rollout.share
        first = rollout.to_version if is_new else rollout.from_version
    return tuple(sorted(allowed, key=lambda version: version != first))
