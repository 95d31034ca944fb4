"""Types of configuration records, their contents and their verdicts."""

from collections.abc import Mapping
import enum
from typing import Any
from typing import NamedTuple

__all__ = [
    "KINDS",
    "Body",
    "Model",
    "ModelVersion",
    "Operation",
    "Organisation",
    "Record",
    "RecordKey",
    "RecordOutcome",
    "RecordVerdict",
    "Rollout",
    "Service",
    "Withdrawal",
    "ZoneStatus",
]

KINDS = frozenset(
    ("organisation", "model", "rollout", "withdrawal", "zone", "service")
)


class Organisation(NamedTuple):
    """An organisation and the models that it may use.

    Attributes:
        name: Name of the organisation.
        key_sha256: Hex digest of the organisation's API key.
        versions_by_model: Allowed versions for each allowed model.
        quality_target: Required share of good answers, 0 to 1.
        weight: Weight in fair queueing, relative to other organisations.
    """

    name: str
    key_sha256: str
    versions_by_model: Mapping[str, frozenset[str]]
    quality_target: float
    weight: float


class ModelVersion(NamedTuple):
    """One version of a model.

    Attributes:
        cost_per_1k_tokens: Cost of a thousand generated tokens.
    """

    cost_per_1k_tokens: float


class Model(NamedTuple):
    """A model and its versions; `default` is used unless another is chosen."""

    name: str
    default: str
    versions: Mapping[str, ModelVersion]


class Rollout(NamedTuple):
    """Desired state of a model's roll-out.

    Attributes:
        model: Name of the model.
        from_version: Version to replace.
        to_version: Version to introduce.
        share: Desired share of new sessions on `to_version`, 0 to 1.
        is_held: Whether the roll-out is paused.
    """

    model: str
    from_version: str
    to_version: str
    share: float
    is_held: bool


class Withdrawal(NamedTuple):
    """Status of a version; it gets no new work while `is_withdrawn`."""

    model: str
    version: str
    is_withdrawn: bool


class ZoneStatus(NamedTuple):
    """Whether an availability zone takes new work."""

    zone: str
    is_serving: bool


class Operation(NamedTuple):
    """One operation of a service.

    Attributes:
        is_idempotent: Whether running it twice has the effect of one run.
        may_be_empty: Whether an empty response is valid.
    """

    is_idempotent: bool
    may_be_empty: bool


class Service(NamedTuple):
    """A service without models and its operations."""

    name: str
    operations: Mapping[str, Operation]


Body = Organisation | Model | Rollout | Withdrawal | ZoneStatus | Service


class RecordKey(NamedTuple):
    """What a record configures; the last accepted record is effective."""

    kind: str
    name: str


class Record(NamedTuple):
    """A record as published.

    Attributes:
        schema: Schema version that the record was written for.
        record_id: Identifier, equal for retries of the append.
        key: What the record configures.
        replaces: Revision of the key that the record replaces, 0 if it is new.
        body: The typed content, None if absent, not valid or of an unknown
            schema.
        fault: Why the content doesn't match its schema, empty if it does or
            the schema is unknown.
        digest: Digest of the complete record.
        raw: The record as stored in the log.
    """

    schema: int
    record_id: str
    key: RecordKey
    replaces: int
    body: Body | None
    fault: str
    digest: str
    raw: Mapping[str, Any]

    @property
    def is_retraction(self) -> bool:
        """Whether the record removes the content of its key."""
        return self.raw["body"] is None

    @property
    def is_unreadable(self) -> bool:
        """Whether this build doesn't know the record's schema."""
        return self.body is None and not self.fault and not self.is_retraction


class RecordOutcome(enum.StrEnum):
    """Result of the validation of a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNREADABLE = "unreadable"


class RecordVerdict(NamedTuple):
    """Result of applying a record or another entry of the log.

    Attributes:
        record_id: Identifier of the record.
        offset: Offset of the entry in the log.
        at_s: Wall-clock second at which the log stored it.
        key: Key of the record.
        revision: Revision of the key after the record.
        outcome: Whether it was accepted; unreadable if this build can't
            tell.
        reason: Why it was not accepted, empty if it was.
        digest: Digest of the record, empty if the entry is not a record.
    """

    record_id: str
    offset: int
    at_s: float
    key: RecordKey
    revision: int
    outcome: RecordOutcome
    reason: str
    digest: str
