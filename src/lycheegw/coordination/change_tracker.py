"""Tracks which changed values still have to be sent to which neighbour."""

import collections
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

__all__ = ["ChangeTracker"]

Value = TypeVar("Value")


class _Change(NamedTuple, Generic[Value]):
    sequence: int
    value: Value
    sources: set[str]


class ChangeTracker(Generic[Value]):
    """Keeps the latest value of each key, in the order of change.

    Attributes:
        max_keys: Maximum number of keys; beyond it those that changed longest
            ago are dropped.
    """

    def __init__(self, max_keys: int):
        self.max_keys = max_keys
        self._sequence = 0
        self._change_by_key: collections.OrderedDict[str, _Change[Value]] = (
            collections.OrderedDict()
        )
        self._sent_sequence_by_neighbour: dict[str, int] = {}

    def put(self, key: str, value: Value, source: str | None = None) -> None:
        """Sets a value; `source` is the neighbour that sent it, if any."""
        self._sequence += 1
        sources = set() if source is None else {source}
        self._change_by_key[key] = _Change(self._sequence, value, sources)
        self._change_by_key.move_to_end(key)
        while len(self._change_by_key) > self.max_keys:
            self._change_by_key.popitem(last=False)

    def note_known(self, key: str, neighbour: str) -> None:
        """Records that a neighbour has the value of a key as well."""
        change = self._change_by_key.get(key)
        if change is not None:
            change.sources.add(neighbour)

    def discard(self, key: str) -> None:
        """Removes a key."""
        self._change_by_key.pop(key, None)

    def get(self, key: str) -> Value | None:
        """Returns the value of a key, None if it has none."""
        change = self._change_by_key.get(key)
        return None if change is None else change.value

    def values(self) -> list[Value]:
        """Returns all values, oldest change first."""
        return [change.value for change in self._change_by_key.values()]

    def take_unsent(self, neighbour: str, limit: int) -> list[Value]:
        """Returns up to `limit` changed values to send, oldest change first.

        They count as sent. Values that the neighbour has are left out.
        """
        sent_sequence = self._sent_sequence_by_neighbour.get(neighbour, 0)
        unsent = []
        for change in reversed(self._change_by_key.values()):
            if change.sequence <= sent_sequence:
                break
            unsent.append(change)
        selected: list[Value] = []
        for change in reversed(unsent):
            if len(selected) >= limit:
                break
            if neighbour not in change.sources:
                selected.append(change.value)
            self._sent_sequence_by_neighbour[neighbour] = change.sequence
        return selected

    def forget_sent(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._sent_sequence_by_neighbour.pop(neighbour, None)
        for change in self._change_by_key.values():
            change.sources.discard(neighbour)
