"""Serialisation of a complete catalog, for checkpoints and for peers.

Nodes with the same content serialise it to the same bytes.
"""

import json
from typing import Any
import zlib

from lycheegw.protocol import record_codec
from lycheegw.state import catalog as catalogs
from lycheegw.state import errors
from lycheegw.state import records

__all__ = ["dump", "load"]

_FORMAT = 1
_MAX_BYTES = 32 * 1024 * 1024
_COMPRESSION_LEVEL = 6


def _state_json(key: records.RecordKey, state: catalogs.KeyState) -> list[Any]:
    raw = None if state.record is None else state.record.raw
    return [*key, state.revision, raw, state.is_undecided]


def _verdict_json(verdict: records.RecordVerdict) -> list[Any]:
    return [
        verdict.record_id,
        verdict.offset,
        verdict.at_s,
        *verdict.key,
        verdict.revision,
        verdict.outcome.value,
        verdict.reason,
        verdict.digest,
    ]


def dump(catalog: catalogs.Catalog) -> bytes:
    """Returns the serialised catalog."""
    value = {
        "format": _FORMAT,
        "offset": catalog.offset,
        "at_s": catalog.at_s,
        "keys": [
            _state_json(key, catalog.state_by_key[key])
            for key in sorted(catalog.state_by_key)
        ],
        "verdicts": [
            _verdict_json(verdict)
            for verdict in catalog.verdict_by_offset.values()
        ],
    }
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def load(data: bytes) -> catalogs.Catalog:
    """Returns the catalog in `data`.

    Raises:
        errors.RecordError: The data is corrupt or in another format.
    """
    try:
        return _build(_decompress(data))
    except (
        zlib.error,
        ValueError,
        KeyError,
        TypeError,
        RecursionError,
    ) as error:
        raise errors.RecordError([f"snapshot: {error!r}"]) from error


def _decompress(data: bytes) -> Any:
    """Returns the JSON value; raises ValueError if it is too large."""
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, _MAX_BYTES)
    if not decompressor.eof:
        raise ValueError(f"above {_MAX_BYTES} bytes or truncated")
    value = json.loads(text)
    if value["format"] != _FORMAT:
        raise ValueError(f"format {value['format']} is not known")
    return value


def _build(value: Any) -> catalogs.Catalog:
    catalog = catalogs.Catalog()
    for kind, name, revision, raw, is_undecided in value["keys"]:
        record = None if raw is None else record_codec.decode(raw)
        state = catalogs.KeyState(int(revision), record, bool(is_undecided))
        catalog.put_state(records.RecordKey(kind, name), state)
    for record_id, offset, at_s, kind, name, *rest in value["verdicts"]:
        revision, outcome, reason, digest = rest
        catalog.put_verdict(
            records.RecordVerdict(
                record_id,
                int(offset),
                float(at_s),
                records.RecordKey(kind, name),
                int(revision),
                records.RecordOutcome(outcome),
                reason,
                digest,
            )
        )
    catalog.advance(int(value["offset"]), float(value["at_s"]))
    return catalog
