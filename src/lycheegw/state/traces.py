"""Traces: the decisions on each recent request, for `explain`."""

import collections
from typing import Any
from typing import NamedTuple

__all__ = ["TraceEvent", "Traces"]

_MAX_REQUESTS = 2_000
_MAX_EVENTS_PER_REQUEST = 64


class TraceEvent(NamedTuple):
    """One decision on a request.

    Attributes:
        at_s: Monotonic second of the decision.
        name: Name of the decision, also used for counters.
        details: Inputs of the decision, as JSON values.
    """

    at_s: float
    name: str
    details: dict[str, Any]


class Traces:
    """Traces of the latest requests; the oldest are dropped first."""

    def __init__(self, max_requests: int = _MAX_REQUESTS):
        self._max_requests = max_requests
        self._events_by_request_id: collections.OrderedDict[
            str, list[TraceEvent]
        ] = collections.OrderedDict()

    def add(
        self, request_id: str, at_s: float, name: str, **details: Any
    ) -> None:
        """Adds an event unless the request has the maximum number of them."""
        events = self._events_by_request_id.setdefault(request_id, [])
        if len(events) < _MAX_EVENTS_PER_REQUEST:
            events.append(TraceEvent(at_s, name, details))
        while len(self._events_by_request_id) > self._max_requests:
            self._events_by_request_id.popitem(last=False)

    def events(self, request_id: str) -> list[TraceEvent]:
        """Returns the events of a request, empty if it is not known."""
        return list(self._events_by_request_id.get(request_id, ()))
