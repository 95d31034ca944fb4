"""JSON encoding and validation of configuration records, by schema."""

from collections.abc import Callable
from collections.abc import Mapping
import functools
import hashlib
import json
import pathlib
from typing import Any

from lycheegw.protocol import settings
from lycheegw.state import errors
from lycheegw.state import records

__all__ = ["CURRENT_SCHEMA", "MAX_RECORD_BYTES", "build", "decode", "parse"]

CURRENT_SCHEMA = 2
MAX_RECORD_BYTES = 64 * 1024

_SCHEMA_PATH = pathlib.Path(__file__).with_name("records.schema.json")
_DEFAULT_QUALITY_TARGET = 0.9
_DIGEST_CHARS = 32

_JsonObject = Mapping[str, Any]


@functools.cache
def _schema_by_name() -> dict[str, Any]:
    schemas: dict[str, Any] = json.loads(_SCHEMA_PATH.read_text())
    return schemas


def _organisation_v1(name: str, body: _JsonObject) -> records.Body:
    versions = {
        model: frozenset(allowed) for model, allowed in body["models"].items()
    }
    return records.Organisation(
        name, body["key_sha256"], versions, _DEFAULT_QUALITY_TARGET, 1.0
    )


def _organisation_v2(name: str, body: _JsonObject) -> records.Body:
    versions = {
        model: frozenset(allowed)
        for model, allowed in body["versions_by_model"].items()
    }
    return records.Organisation(
        name,
        body["key_sha256"],
        versions,
        body["quality_target"],
        body["weight"],
    )


def _model(name: str, body: _JsonObject) -> records.Body:
    versions = {
        version: records.ModelVersion(details["cost_per_1k_tokens"])
        for version, details in body["versions"].items()
    }
    return records.Model(name, body["default"], versions)


def _rollout(name: str, body: _JsonObject) -> records.Body:
    return records.Rollout(
        name,
        body["from_version"],
        body["to_version"],
        body["share"],
        body.get("is_held", False),
    )


def _withdrawal(name: str, body: _JsonObject) -> records.Body:
    model, _, version = name.partition("@")
    return records.Withdrawal(model, version, body["is_withdrawn"])


def _zone(name: str, body: _JsonObject) -> records.Body:
    return records.ZoneStatus(name, body["is_serving"])


def _service(name: str, body: _JsonObject) -> records.Body:
    operations = {
        operation: records.Operation(
            details["is_idempotent"], details.get("may_be_empty", False)
        )
        for operation, details in body["operations"].items()
    }
    return records.Service(name, operations)


_DECODER_BY_SCHEMA_AND_KIND: dict[
    tuple[int, str], Callable[[str, _JsonObject], records.Body]
] = {
    (1, "organisation"): _organisation_v1,
    (2, "organisation"): _organisation_v2,
    (1, "model"): _model,
    (2, "model"): _model,
    (1, "rollout"): _rollout,
    (2, "rollout"): _rollout,
    (1, "withdrawal"): _withdrawal,
    (2, "withdrawal"): _withdrawal,
    (1, "zone"): _zone,
    (2, "zone"): _zone,
    (1, "service"): _service,
    (2, "service"): _service,
}


def _has_decoder(value: _JsonObject) -> bool:
    return (value["schema"], value["kind"]) in _DECODER_BY_SCHEMA_AND_KIND


def _body_faults(value: _JsonObject) -> list[str]:
    """Returns the faults of a body, none if its schema is not known here."""
    if value["schema"] > CURRENT_SCHEMA or value["body"] is None:
        return []
    if not _has_decoder(value):
        return [f"/kind: {value['kind']} is not in schema {value['schema']}"]
    schema = _schema_by_name()[f"{value['kind']}_{value['schema']}"]
    return [
        f"/body{fault}"
        for fault in settings.schema_faults(schema, value["body"])
    ]


def _serialise(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _check_envelope(value: Any) -> bytes:
    """Returns the canonical form of a record; raises errors.RecordError."""
    faults = settings.schema_faults(_schema_by_name()["envelope"], value)
    if faults:
        raise errors.RecordError(faults)
    serialised = _serialise(value)
    if len(serialised) > MAX_RECORD_BYTES:
        raise errors.RecordError([f"/: above {MAX_RECORD_BYTES} bytes"])
    return serialised


def parse(value: Any) -> records.Record:
    """Returns the record that an operator publishes.

    Unlike `decode`, rejects contents that are not valid or of an unknown
    schema.

    Raises:
        errors.RecordError: The record is not valid; has all faults with paths.
    """
    _check_envelope(value)
    faults = _body_faults(value)
    if value["schema"] > CURRENT_SCHEMA and value["body"] is not None:
        faults = [f"/schema: {value['schema']} is not known"]
    if faults:
        raise errors.RecordError(faults)
    return decode(value)


def build(
    key: records.RecordKey, replaces: int, record_id: str, body: _JsonObject
) -> dict[str, Any]:
    """Returns the JSON value of a record of the current schema."""
    return {
        "schema": CURRENT_SCHEMA,
        "id": record_id,
        "kind": key.kind,
        "name": key.name,
        "replaces": replaces,
        "body": dict(body),
    }


def decode(value: Any) -> records.Record:
    """Returns a record read from the log; its body is None if unreadable.

    Raises:
        errors.RecordError: The envelope is not valid.
    """
    digest = hashlib.sha256(_check_envelope(value)).hexdigest()
    faults = _body_faults(value)
    # Nodes must agree on the text. Messages differ between releases of
    # jsonschema, paths don't.
    fault = ", ".join(fault.partition(":")[0] for fault in faults[:1])
    body = None
    if not faults and _has_decoder(value) and value["body"] is not None:
        decoder = _DECODER_BY_SCHEMA_AND_KIND[value["schema"], value["kind"]]
        body = decoder(value["name"], value["body"])
    return records.Record(
        value["schema"],
        value["id"],
        records.RecordKey(value["kind"], value["name"]),
        value["replaces"],
        body,
        f"not valid at {fault}" if fault else "",
        digest[:_DIGEST_CHARS],
        value,
    )
