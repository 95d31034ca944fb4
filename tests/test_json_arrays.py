"""A decoder of similar JSON objects decodes as the library does, but less."""

import json
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from lycheegw.protocol import json_arrays

SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.text(max_size=4),
)
ELEMENTS = strategies.one_of(
    SCALARS,
    strategies.dictionaries(
        strategies.sampled_from(["a", "b", "}", "é"]), SCALARS, max_size=2
    ),
)
OBJECTS = strategies.fixed_dictionaries(
    {},
    optional={
        "routes": strategies.lists(ELEMENTS, max_size=6) | SCALARS,
        "version": SCALARS,
        "rest": strategies.lists(SCALARS, max_size=2),
    },
)
INDENTS = strategies.sampled_from([None, 0, 2])


class _Counting:
    """A decoder that counts what it converts."""

    def __init__(self) -> None:
        self.converted: list[str] = []
        self.decoder = json_arrays.ArrayDecoder("routes", self._convert)

    def _convert(self, path: str, value: Any) -> Any:
        self.converted.append(path)
        return value

    def decode(self, value: bytes) -> Any:
        """Returns the whole object, as the library does."""
        decoded = self.decoder.decode(value)
        if decoded.elements is None:
            return decoded.fields
        return {**decoded.fields, "routes": decoded.elements}


@hypothesis.given(strategies.lists(OBJECTS, max_size=4), INDENTS)
@hypothesis.settings(max_examples=300, deadline=None)
def test_versions_are_decoded_as_by_the_library(
    versions: list[dict[str, Any]], indent: int | None
) -> None:
    counting = _Counting()
    for version in versions:
        value = json.dumps(version, indent=indent).encode()
        assert counting.decode(value) == json.loads(value)


@hypothesis.given(
    OBJECTS, strategies.integers(0, 60), strategies.binary(max_size=2)
)
@hypothesis.settings(max_examples=500, deadline=None)
def test_malformed_text_is_an_error_where_it_is_one_for_the_library(
    version: dict[str, Any], position: int, inserted: bytes
) -> None:
    text = json.dumps(version).encode()
    value = text[:position] + inserted + text[position + 1 :]
    counting = _Counting()
    counting.decode(text)
    try:
        expected = json.loads(value)
    except ValueError:
        expected = None
    if isinstance(expected, dict):
        assert counting.decode(value) == expected
    else:
        with pytest.raises(ValueError):
            counting.decode(value)


@pytest.mark.parametrize(
    ("name", "count"), [("changed", 1), ("added", 1), ("removed", 0)]
)
def test_only_changed_elements_are_converted(name: str, count: int) -> None:
    """CONFIG, issue 32: each change had the whole manifest decoded."""
    routes = [{"name": f"r{number}"} for number in range(1400)]
    counting = _Counting()
    counting.decode(json.dumps({"routes": routes}).encode())
    assert len(counting.converted) == 1400
    counting.converted.clear()
    if name == "changed":
        routes[700] = {"name": "other"}
    elif name == "added":
        routes.insert(700, {"name": "other"})
    else:
        del routes[700]
    value = json.dumps({"routes": routes, "version": 2}).encode()
    assert counting.decode(value) == {"routes": routes, "version": 2}
    assert len(counting.converted) == count


def test_conversion_error_leaves_the_former_version() -> None:
    def convert(path: str, value: Any) -> Any:
        if not value:
            raise LookupError(path)
        return value

    decoder = json_arrays.ArrayDecoder("routes", convert)
    decoder.decode(b'{"routes": [{"a": 1}]}')
    with pytest.raises(LookupError, match="routes/1"):
        decoder.decode(b'{"routes": [{"a": 2}, {}]}')
    assert decoder.decode(b'{"routes": [{"a": 1}]}').elements == [{"a": 1}]
