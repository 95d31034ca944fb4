"""Reads the fields of JSON objects that other processes wrote.

Whatever the text holds, the functions return a usable value or raise
`errors.RecordError`.
"""

from collections.abc import Mapping
import json
import math
from typing import Any
from typing import TypeVar

from lycheegw.state import errors

__all__ = ["is_deeper", "load", "load_object", "read"]

# Bounds an integer to what 64 bits hold; messages between nodes hold no more.
_MAX_INTEGER = 2**63 - 1
# Bounds a text, in characters: names and addresses are logged with each change
# and sent to peers.
_MAX_TEXT = 4096

_Type = TypeVar("_Type")


def load(text: str | bytes) -> Any:
    """Returns the value of a JSON text.

    Raises:
        ValueError: It is not JSON, or nested too deeply.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def load_object(path: str, text: str | bytes) -> Mapping[str, Any]:
    """Returns the fields of a JSON object.

    Args:
        path: Name of the text, for the error.
        text: The text.

    Raises:
        errors.RecordError: It is no JSON object.
    """
    try:
        loaded = load(text)
    except ValueError as error:
        raise errors.RecordError([f"{path}: not JSON: {error}"]) from error
    if not isinstance(loaded, dict):
        raise errors.RecordError([f"{path}: not a JSON object"])
    return loaded


def read(
    path: str,
    fields: Mapping[str, Any],
    name: str,
    kind: type[_Type],
    default: _Type | None = None,
) -> _Type:
    """Returns a field of the given type; an integer is accepted as a float.

    Args:
        path: Name of the object, for the error.
        fields: Fields of the object.
        name: Name of the field.
        kind: Type of the field.
        default: Value of a missing field, None if it is required.

    Raises:
        errors.RecordError: The field is missing, of another type, a number
            that is out of range, or text that is too long or can't be encoded.
    """
    found = fields.get(name, default)
    if kind is float and isinstance(found, int) and _is_in_range(found):
        found = float(found)
    if not isinstance(found, kind) or (
        isinstance(found, bool) and kind is not bool
    ):
        raise errors.RecordError([f"{path}/{name}: is no {kind.__name__}"])
    if not _is_in_range(found):
        raise errors.RecordError([f"{path}/{name}: is out of range"])
    return found


def is_deeper(value: Any, levels: int) -> bool:
    """Returns whether a decoded value is nested deeper than some levels."""
    layer = [value]
    for _ in range(levels + 1):
        containers = [each for each in layer if isinstance(each, dict | list)]
        if not containers:
            return False
        layer = [
            child
            for each in containers
            for child in (each.values() if isinstance(each, dict) else each)
        ]
    return True


def _is_in_range(value: object) -> bool:
    """Returns whether a number or a text can be used and sent to peers."""
    if isinstance(value, str):
        # Lone surrogates can't be encoded; JSON has escapes for them.
        return len(value) <= _MAX_TEXT and (
            value.isascii()
            or not any("\ud800" <= each <= "\udfff" for each in value)
        )
    if isinstance(value, int):
        return -_MAX_INTEGER <= value <= _MAX_INTEGER
    return not isinstance(value, float) or math.isfinite(value)
