"""Validates records of the log in order and applies them to the catalog.

A record that replaces the current revision of its key gets the next revision,
whatever its content. So revisions follow from the envelopes alone, and builds
that read different schemas agree on them. Content is validated next. If a build
can't read what the validation needs, the key's content is unknown to it until
a later record is accepted.
"""

from collections.abc import Callable
from typing import NamedTuple

from lycheegw.state import catalog as catalogs
from lycheegw.state import records

__all__ = ["apply", "reject"]

_MAX_KEYS = 10_000

_Outcome = records.RecordOutcome


class _CheckResult(NamedTuple):
    """Result of a validation; the reason is empty if accepted."""

    outcome: records.RecordOutcome
    reason: str


_ACCEPTED = _CheckResult(_Outcome.ACCEPTED, "")


def _rejected(reason: str) -> _CheckResult:
    return _CheckResult(_Outcome.REJECTED, reason)


def _unreadable(reason: str) -> _CheckResult:
    return _CheckResult(_Outcome.UNREADABLE, reason)


def apply(
    catalog: catalogs.Catalog, offset: int, at_s: float, record: records.Record
) -> records.RecordVerdict | None:
    """Validates and applies the record at `offset`; returns the verdict.

    Returns None and changes nothing if the offset was read before.
    """
    if offset <= catalog.offset:
        return None
    first_verdict = catalog.verdict(record.record_id)
    if first_verdict is not None and first_verdict.digest == record.digest:
        catalog.advance(offset, at_s)
        return first_verdict
    revision = catalog.state(record.key).revision
    result = _check_envelope(catalog, record, first_verdict)
    if result is _ACCEPTED:
        result = _check_content(catalog, record)
        revision += 1
        _put_state(catalog, record, revision, result)
    verdict = records.RecordVerdict(
        record.record_id,
        offset,
        at_s,
        record.key,
        revision,
        result.outcome,
        result.reason,
        record.digest,
    )
    catalog.put_verdict(verdict)
    catalog.advance(offset, at_s)
    return verdict


def reject(
    catalog: catalogs.Catalog, offset: int, at_s: float, reason: str
) -> records.RecordVerdict | None:
    """Rejects an entry that is not a record; returns the verdict on it.

    Returns None and changes nothing if the offset was read before.
    """
    if offset <= catalog.offset:
        return None
    verdict = records.RecordVerdict(
        f"offset-{offset}",
        offset,
        at_s,
        records.RecordKey("", ""),
        0,
        _Outcome.REJECTED,
        reason,
        "",
    )
    catalog.put_verdict(verdict)
    catalog.advance(offset, at_s)
    return verdict


def _put_state(
    catalog: catalogs.Catalog,
    record: records.Record,
    revision: int,
    result: _CheckResult,
) -> None:
    """Stores the new revision, and the content only if accepted."""
    previous = catalog.state(record.key)
    if result.outcome is _Outcome.ACCEPTED:
        in_force = None if record.is_retraction else record
        state = catalogs.KeyState(revision, in_force, False)
    elif result.outcome is _Outcome.UNREADABLE:
        state = catalogs.KeyState(revision, previous.record, True)
    else:
        state = previous._replace(revision=revision)
    catalog.put_state(record.key, state)


def _check_envelope(
    catalog: catalogs.Catalog,
    record: records.Record,
    first_verdict: records.RecordVerdict | None,
) -> _CheckResult:
    """Checks what every build can read."""
    if first_verdict is not None:
        return _rejected(
            f"id has other content at offset {first_verdict.offset}"
        )
    current = catalog.state(record.key).revision
    if record.replaces != current:
        return _rejected(
            f"replaces revision {record.replaces}, current is {current}"
        )
    is_new = record.key not in catalog.state_by_key
    if is_new and len(catalog.state_by_key) >= _MAX_KEYS:
        return _rejected(f"more than {_MAX_KEYS} keys")
    return _ACCEPTED


def _check_content(
    catalog: catalogs.Catalog, record: records.Record
) -> _CheckResult:
    """Checks the content of a record."""
    if record.fault:
        return _rejected(record.fault)
    if record.is_unreadable:
        return _unreadable(f"schema {record.schema} is not known here")
    if record.key.kind == "model":
        return _check_model(catalog, record)
    check = _CHECK_BY_TYPE.get(type(record.body))
    if check is None:
        return _ACCEPTED
    return check(catalog, record.body)


def _check_rollout(
    catalog: catalogs.Catalog, body: records.Rollout
) -> _CheckResult:
    """Rejects a roll-out of unknown versions or to a withdrawn one."""
    model = catalog.model(body.model)
    withdrawal = f"{body.model}@{body.to_version}"
    if catalog.is_unreadable("model", body.model):
        return _unreadable(f"model {body.model} is not readable here")
    if model is None:
        return _rejected(f"model {body.model} is not known")
    for version in (body.from_version, body.to_version):
        if version not in model.versions:
            return _rejected(f"version {body.model}@{version} is not known")
    if catalog.is_unreadable("withdrawal", withdrawal):
        return _unreadable(f"withdrawal {withdrawal} is not readable here")
    if catalog.is_withdrawn(body.model, body.to_version):
        return _rejected(f"version {withdrawal} is withdrawn")
    return _ACCEPTED


def _check_organisation(
    catalog: catalogs.Catalog, body: records.Organisation
) -> _CheckResult:
    """Rejects an organisation without a usable version of a model.

    Models whose allowed versions don't change aren't checked again: a new API
    key must take effect even while a version is withdrawn.
    """
    previous = catalog.organisation(body.name)
    is_previous_readable = not catalog.is_unreadable("organisation", body.name)
    for model in sorted(body.versions_by_model):
        allowed = body.versions_by_model[model]
        result = _check_allowed_versions(catalog, model, allowed)
        if result is _ACCEPTED:
            continue
        if not is_previous_readable:
            return _unreadable(f"organisation {body.name} is not readable here")
        if previous is None or previous.versions_by_model.get(model) != allowed:
            return result
    return _ACCEPTED


def _check_allowed_versions(
    catalog: catalogs.Catalog, name: str, allowed: frozenset[str]
) -> _CheckResult:
    """Checks that any of the allowed versions of a model is usable."""
    if catalog.is_unreadable("model", name):
        return _unreadable(f"model {name} is not readable here")
    model = catalog.model(name)
    if model is not None and catalog.usable_versions(model, allowed):
        return _ACCEPTED
    for version in sorted(allowed):
        if catalog.is_unreadable("withdrawal", f"{name}@{version}"):
            return _unreadable(f"withdrawal {name}@{version} is not readable")
    return _rejected(f"no usable version of {name} is left")


def _check_model(
    catalog: catalogs.Catalog, record: records.Record
) -> _CheckResult:
    """Rejects the removal of an organisation's last allowed version."""
    body = record.body
    remaining: frozenset[str] = frozenset()
    if isinstance(body, records.Model):
        remaining = frozenset(body.versions)
        if body.default not in remaining:
            return _rejected(f"default {body.default} is not a version")
    previous = catalog.model(record.key.name)
    if not catalog.is_unreadable(*record.key) and (
        previous is None or remaining.issuperset(previous.versions)
    ):
        return _ACCEPTED
    removed = (
        frozenset(previous.versions) if previous is not None else remaining
    )
    return _check_removal(catalog, record.key, removed - remaining, remaining)


def _check_removal(
    catalog: catalogs.Catalog,
    key: records.RecordKey,
    removed: frozenset[str],
    remaining: frozenset[str],
) -> _CheckResult:
    """Checks the removal of versions against all organisations."""
    for each in catalog.unreadable_keys():
        if each.kind == "organisation":
            return _unreadable(f"organisation {each.name} is not readable here")
    sorted_organisations = sorted(
        catalog.organisations(), key=lambda each: each.name
    )
    for owner in sorted_organisations:
        allowed = owner.versions_by_model.get(key.name, frozenset())
        if not allowed or allowed & remaining:
            continue
        if catalog.is_unreadable(*key):
            return _unreadable(f"model {key.name} is not readable here")
        if not allowed & removed:
            continue
        return _rejected(f"leaves organisation {owner.name} without a version")
    return _ACCEPTED


def _check_withdrawal(
    catalog: catalogs.Catalog, body: records.Withdrawal
) -> _CheckResult:
    """Accepts any withdrawal with a well-formed name.

    It may leave organisations without a version: a bad version must be
    stopped in any case.
    """
    del catalog
    if not body.model or not body.version:
        return _rejected("name is not MODEL@VERSION")
    return _ACCEPTED


_CHECK_BY_TYPE: dict[type, Callable[..., _CheckResult]] = {
    records.Rollout: _check_rollout,
    records.Organisation: _check_organisation,
    records.Withdrawal: _check_withdrawal,
}
