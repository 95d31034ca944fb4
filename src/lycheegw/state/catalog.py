"""The effective configuration, as built from the records of the log.

`record_validation` applies records to a catalog in the order of the log. All
nodes that have read up to the same offset hold the same content.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from lycheegw.state import records

__all__ = ["NO_OFFSET", "Catalog", "KeyState"]

NO_OFFSET = -1

_MAX_VERDICTS = 500


class KeyState(NamedTuple):
    """Current state of one configuration key.

    Attributes:
        revision: Revision that the next record for the key has to replace.
        record: The effective record, None if there is none.
        is_undecided: Whether a later record for the key can't be validated by
            this build, so that the effective content is not known here.
    """

    revision: int
    record: records.Record | None
    is_undecided: bool

    @property
    def is_unreadable(self) -> bool:
        """Whether this build can't tell the effective content."""
        if self.is_undecided:
            return True
        return self.record is not None and self.record.is_unreadable


_NO_STATE = KeyState(0, None, False)


class Catalog:
    """Effective configuration after all records up to an offset.

    Attributes:
        offset: Offset of the last record that was read, NO_OFFSET for none.
        at_s: Wall-clock second at which the log stored that record.
        state_by_key: State of each key that any record named.
        verdict_by_offset: The latest verdicts, in the order of the log.
    """

    def __init__(self) -> None:
        self.offset = NO_OFFSET
        self.at_s = 0.0
        self.state_by_key: dict[records.RecordKey, KeyState] = {}
        self.verdict_by_offset: collections.OrderedDict[
            int, records.RecordVerdict
        ] = collections.OrderedDict()
        self._verdict_by_record_id: dict[str, records.RecordVerdict] = {}
        self._organisation_by_key_sha256: dict[str, records.Organisation] = {}
        self._unreadable_keys: set[records.RecordKey] = set()

    @property
    def is_empty(self) -> bool:
        """Whether no record has been read."""
        return self.offset == NO_OFFSET

    def advance(self, offset: int, at_s: float) -> None:
        """Records that all entries up to `offset` were read.

        Raises:
            ValueError: The catalog has already read that far.
        """
        if offset <= self.offset:
            raise ValueError(f"offset {offset} is not after {self.offset}")
        self.offset = offset
        self.at_s = at_s

    def put_state(self, key: records.RecordKey, state: KeyState) -> None:
        """Replaces the state of a key."""
        self.state_by_key[key] = state
        self._unreadable_keys.discard(key)
        if state.is_unreadable:
            self._unreadable_keys.add(key)
        if key.kind == "organisation":
            self._index_organisations()

    def put_verdict(self, verdict: records.RecordVerdict) -> None:
        """Stores a verdict and drops the oldest ones beyond the maximum."""
        self.verdict_by_offset[verdict.offset] = verdict
        self._verdict_by_record_id.setdefault(verdict.record_id, verdict)
        while len(self.verdict_by_offset) > _MAX_VERDICTS:
            _, oldest = self.verdict_by_offset.popitem(last=False)
            self._drop_from_index(oldest)

    def _drop_from_index(self, oldest: records.RecordVerdict) -> None:
        """Indexes the next verdict on the record id of a dropped verdict."""
        del self._verdict_by_record_id[oldest.record_id]
        for verdict in self.verdict_by_offset.values():
            if verdict.record_id == oldest.record_id:
                self._verdict_by_record_id[verdict.record_id] = verdict
                return

    def replace_if_better(self, other: "Catalog") -> bool:
        """Installs the content of a catalog that is later or more complete.

        Returns whether it did: never for an earlier offset, and for the same
        offset only if the other one has fewer unreadable keys.
        """
        own_rank = (self.offset, -len(self._unreadable_keys))
        other_rank = (other.offset, -len(other._unreadable_keys))
        if other_rank <= own_rank:
            return False
        self.__dict__.update(other.__dict__)
        return True

    def _index_organisations(self) -> None:
        """Indexes organisations by API key; leaves out keys used by several."""
        counts = collections.Counter(
            body.key_sha256 for body in self.organisations()
        )
        self._organisation_by_key_sha256 = {
            body.key_sha256: body
            for body in self.organisations()
            if counts[body.key_sha256] == 1
        }

    def state(self, key: records.RecordKey) -> KeyState:
        """Returns the state of a key."""
        return self.state_by_key.get(key, _NO_STATE)

    def verdict(self, record_id: str) -> records.RecordVerdict | None:
        """Returns the earliest stored verdict on a record id, or None."""
        return self._verdict_by_record_id.get(record_id)

    def unreadable_keys(self) -> list[records.RecordKey]:
        """Returns the keys whose content this build can't read, sorted."""
        return sorted(self._unreadable_keys)

    @property
    def has_undecided(self) -> bool:
        """Whether there is a record that this build could not validate."""
        return any(state.is_undecided for state in self.state_by_key.values())

    def is_unreadable(self, kind: str, name: str) -> bool:
        """Returns whether this build can't read the content of a key."""
        return records.RecordKey(kind, name) in self._unreadable_keys

    def has_unreadable(self, kind: str) -> bool:
        """Returns whether any key of a kind is unreadable."""
        return any(key.kind == kind for key in self._unreadable_keys)

    def has_unknown_kind(self) -> bool:
        """Returns whether an effective record is of an unknown kind."""
        return any(
            key.kind not in records.KINDS for key in self._unreadable_keys
        )

    def body(self, kind: str, name: str) -> records.Body | None:
        """Returns the last readable content of a key, or None."""
        record = self.state(records.RecordKey(kind, name)).record
        return None if record is None else record.body

    def organisations(self) -> Iterable[records.Organisation]:
        """Returns the last readable content of each organisation."""
        for state in self.state_by_key.values():
            if state.record is not None and isinstance(
                state.record.body, records.Organisation
            ):
                yield state.record.body

    def organisation_of_key(
        self, key_sha256: str
    ) -> records.Organisation | None:
        """Returns the organisation that an API key belongs to, or None."""
        return self._organisation_by_key_sha256.get(key_sha256)

    def organisation(self, name: str) -> records.Organisation | None:
        """Returns an organisation by name, or None."""
        body = self.body("organisation", name)
        return body if isinstance(body, records.Organisation) else None

    def model(self, name: str) -> records.Model | None:
        """Returns a model by name, or None."""
        body = self.body("model", name)
        return body if isinstance(body, records.Model) else None

    def service(self, name: str) -> records.Service | None:
        """Returns a service by name, or None."""
        body = self.body("service", name)
        return body if isinstance(body, records.Service) else None

    def rollout(self, model: str) -> records.Rollout | None:
        """Returns the roll-out of a model, or None."""
        body = self.body("rollout", model)
        return body if isinstance(body, records.Rollout) else None

    def is_withdrawn(self, model: str, version: str) -> bool:
        """Returns whether a version must not get new work.

        True also if the withdrawal can't be read.
        """
        name = f"{model}@{version}"
        body = self.body("withdrawal", name)
        if self.is_unreadable("withdrawal", name):
            return True
        return isinstance(body, records.Withdrawal) and body.is_withdrawn

    def is_zone_serving(self, zone: str) -> bool:
        """Returns whether an availability zone takes new work.

        False also if the zone's status can't be read.
        """
        body = self.body("zone", zone)
        if self.is_unreadable("zone", zone):
            return False
        return not isinstance(body, records.ZoneStatus) or body.is_serving

    def usable_versions(
        self, model: records.Model, allowed: Iterable[str]
    ) -> list[str]:
        """Returns the versions of `model` in `allowed` not withdrawn."""
        wanted = frozenset(allowed)
        return [
            version
            for version in model.versions
            if version in wanted and not self.is_withdrawn(model.name, version)
        ]

    def allowed_versions(self, organisation: str, model: str) -> list[str]:
        """Returns the versions that an organisation may use now."""
        owner = self.organisation(organisation)
        known = self.model(model)
        if owner is None or known is None:
            return []
        allowed = owner.versions_by_model.get(model, frozenset())
        return self.usable_versions(known, allowed)
