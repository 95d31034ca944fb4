"""Cache of prompt prefixes of an engine, and its stream of change events."""

import collections
from collections.abc import Sequence
import hashlib
import time
from typing import Any

__all__ = ["PrefixCache", "prefix_key"]

_PREFIX_CHARACTERS = 64
_EVENT_DELAY_S = 0.3
_LOST_EVENT_INTERVAL = 7


def prefix_key(messages: Sequence[Any]) -> str:
    """Returns the cache key of the prefix of a prompt's first message."""
    content = str(messages[0]["content"])[:_PREFIX_CHARACTERS]
    return hashlib.sha256(content.encode()).hexdigest()[:16]


class PrefixCache:
    """LRU cache of prefixes; its events are delayed and some are lost.

    Attributes:
        hits: Prompts whose prefix was in the cache.
        misses: Prompts whose prefix was not in the cache.
    """

    def __init__(self, size: int):
        self._size = size
        self._keys: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, dict[str, Any]]] = []
        self.hits = 0
        self.misses = 0

    def use(self, key: str) -> bool:
        """Returns whether a prefix was in the cache, and stores it."""
        is_hit = key in self._keys
        self.hits += is_hit
        self.misses += not is_hit
        if self._size and not is_hit:
            self._record_event(key, True)
        if self._size:
            self._keys[key] = None
            self._keys.move_to_end(key)
        while len(self._keys) > self._size:
            self._record_event(self._keys.popitem(last=False)[0], False)
        return is_hit

    def _record_event(self, key: str, is_cached: bool) -> None:
        number = len(self._events)
        event = {"number": number, "key": key, "is_cached": is_cached}
        self._events.append((time.monotonic(), event))

    def events(self, start: int) -> dict[str, Any]:
        """Returns the events from number `start` on, without the lost ones."""
        visible_until_s = time.monotonic() - _EVENT_DELAY_S
        events = [
            event
            for at_s, event in self._events[start:]
            if at_s <= visible_until_s
        ]
        return {
            "next": start + len(events),
            "events": [
                event
                for event in events
                if event["number"] % _LOST_EVENT_INTERVAL
            ],
        }
