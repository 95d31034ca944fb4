"""Event counters by name, for the status and for metrics exporters."""

import collections
from collections.abc import Callable

__all__ = ["Counters"]


class Counters:
    """Counts of events; observers are called on each increment.

    Attributes:
        by_name: Count of each event since the process started.
    """

    def __init__(self) -> None:
        self.by_name: collections.Counter[str] = collections.Counter()
        self._observers: list[Callable[[str, int], None]] = []

    def observe(self, observer: Callable[[str, int], None]) -> None:
        """Calls `observer` with name and amount on each increment."""
        self._observers.append(observer)

    def add(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to the counter `name`."""
        self.by_name[name] += amount
        for observer in self._observers:
            observer(name, amount)
