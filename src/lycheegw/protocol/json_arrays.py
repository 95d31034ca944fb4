"""Decodes successive versions of a JSON object with a long array.

Elements whose text is that of an element in the former version are neither
parsed nor converted again.
"""

from collections.abc import Callable
from collections.abc import Sequence
import json
import re
from typing import Any
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

__all__ = ["ArrayDecoder", "Decoded"]

_Element = TypeVar("_Element")

_WHITESPACE = re.compile(r"[ \t\n\r]*")


class Decoded(NamedTuple, Generic[_Element]):
    """A decoded object.

    Attributes:
        fields: The fields of the object. That of the array is missing if its
            elements were decoded.
        elements: The converted elements, None without such an array.
    """

    fields: dict[str, Any]
    elements: list[_Element] | None


class ArrayDecoder(Generic[_Element]):
    """Decodes one object after the other, each similar to the one before."""

    def __init__(self, field: str, convert: Callable[[str, Any], _Element]):
        """Creates a decoder that has seen no object.

        Args:
            field: Name of the array.
            convert: Converts an element, given its path and decoded value.
        """
        self._field = field
        self._convert = convert
        self._decoder = json.JSONDecoder()
        self._former: _Former[_Element] = _Former("", (), (), (), True)

    def decode(self, value: bytes) -> Decoded[_Element]:
        """Returns a decoded object.

        Raises:
            ValueError: It is not JSON, or not an object.
        """
        text = value.decode(json.detect_encoding(value), "surrogatepass")
        fields: dict[str, Any] = {}
        array: _Array[_Element] | None = None
        position = _skip(text, _expect(text, _skip(text, 0), "{"))
        while not text.startswith("}", position):
            if fields or array is not None:
                position = _skip(text, _expect(text, position, ","))
            if not text.startswith('"', position):
                raise json.JSONDecodeError("expected a name", text, position)
            name, position = self._decoder.raw_decode(text, position)
            position = _expect(text, _skip(text, position), ":")
            position = _skip(text, position)
            if name == self._field and text.startswith("[", position):
                array = _Array(text, self._former)
                position = self._decode_array(text, position, array)
                fields.pop(name, None)
            else:
                fields[name], position = self._decoder.raw_decode(
                    text, position
                )
                array = None if name == self._field else array
            position = _skip(text, position)
        if _skip(text, position + 1) != len(text):
            raise json.JSONDecodeError("extra data", text, position + 1)
        if array is None:
            return Decoded(fields, None)
        self._former = _Former(
            text, array.starts, array.ends, array.elements, array.are_objects
        )
        return Decoded(fields, list(array.elements))

    def _decode_array(
        self, text: str, position: int, array: "_Array[_Element]"
    ) -> int:
        """Decodes the elements; returns the position after the array."""
        position = _skip(text, position + 1)
        if text.startswith("]", position):
            return position + 1
        while True:
            end = array.reuse_run(position)
            if end is None:
                value, end = self._decoder.raw_decode(text, position)
                if not array.reuse(position, end):
                    path = f"{self._field}/{len(array.elements)}"
                    array.add(position, end, self._convert(path, value))
            position = _skip(text, end)
            if text.startswith("]", position):
                return position + 1
            position = _skip(text, _expect(text, position, ","))


class _Former(NamedTuple, Generic[_Element]):
    """The array of a former version.

    Attributes:
        text: Text of the object that had it.
        starts: Where each element begins in the text.
        ends: Where each element ends.
        elements: The converted elements.
        are_objects: Whether all elements are objects. The text of another
            value may begin that of a longer one.
    """

    text: str
    starts: Sequence[int]
    ends: Sequence[int]
    elements: Sequence[_Element]
    are_objects: bool


class _Array(Generic[_Element]):
    """The elements of an array, some of them taken from a former version.

    Attributes:
        starts: Where each element begins in the text.
        ends: Where each element ends.
        elements: The converted elements.
        are_objects: Whether all elements are objects.
    """

    def __init__(self, text: str, former: _Former[_Element]):
        self.starts: list[int] = []
        self.ends: list[int] = []
        self.elements: list[_Element] = []
        self.are_objects = True
        self._text = text
        self._former = former
        self._next = 0
        self._index_by_text: dict[str, int] | None = None

    def reuse_run(self, position: int) -> int | None:
        """Takes as many former elements in a row as the text goes on with.

        Returns:
            The position after them, None if another element is there.
        """
        former = self._former
        if not former.are_objects:
            return None
        for first in range(
            self._next, min(self._next + 2, len(former.elements))
        ):
            count = self._run_length(first, position)
            if count:
                shift = position - former.starts[first]
                last = first + count
                self.starts += [
                    each + shift for each in former.starts[first:last]
                ]
                self.ends += [each + shift for each in former.ends[first:last]]
                self.elements += former.elements[first:last]
                self._next = last
                return self.ends[-1]
        return None

    def _run_length(self, first: int, position: int) -> int:
        """Returns how many former elements the text goes on with."""
        former = self._former
        length = 0
        step = 1
        while step:
            last = first + length + step
            if last <= len(former.elements) and self._text.startswith(
                former.text[former.starts[first] : former.ends[last - 1]],
                position,
            ):
                length += step
                step *= 2
            else:
                step //= 2
        return length

    def reuse(self, start: int, end: int) -> bool:
        """Takes the former element with this text, if there was one."""
        former = self._former
        if self._index_by_text is None:
            spans = zip(former.starts, former.ends, strict=True)
            self._index_by_text = {
                former.text[begin:after]: index
                for index, (begin, after) in enumerate(spans)
            }
        index = self._index_by_text.get(self._text[start:end])
        if index is None:
            return False
        self.add(start, end, former.elements[index])
        self._next = index + 1
        return True

    def add(self, start: int, end: int, element: _Element) -> None:
        """Adds an element."""
        self.starts.append(start)
        self.ends.append(end)
        self.elements.append(element)
        self.are_objects &= self._text[start] == "{"


def _skip(text: str, position: int) -> int:
    """Returns the position after any whitespace."""
    match = _WHITESPACE.match(text, position)
    return position if match is None else match.end()


def _expect(text: str, position: int, character: str) -> int:
    """Returns the position after a character; raises ValueError."""
    if not text.startswith(character, position):
        raise json.JSONDecodeError(f"expected {character!r}", text, position)
    return position + 1
