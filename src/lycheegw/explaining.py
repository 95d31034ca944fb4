"""From a request's id to its cause, over the collected lines of many nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import json
from typing import Any

from lycheegw.state import errors
from lycheegw.state import reasons

__all__ = ["walk"]

Line = Mapping[str, Any]

# What a node came to believe this long before a request may explain it:
# upstreams count as cold, and stay out, for a few seconds.
_BEFORE_S = 5.0
_AFTER_S = 0.5
_ENDS = frozenset({"answered", "refused", "caller_gone"})
_ABOUT_UPSTREAMS = frozenset({"upstream", "upstream_lapsed", "upstream_gone"})
_ABOUT_NODES = frozenset(
    {
        "start",
        "drain",
        "stop",
        "reload_failed",
        "dependency_lost",
        "dependency_regained",
        "manifest",
        "zones_closed",
        "rollout_ordered",
        "version_condemned",
        "rollout_outcome",
        "lines_left_out",
    }
)
_HIDDEN = frozenset({"at_s", "node", "event", "request_id"})
_HINT_BY_REASON = {
    reasons.RefusalReason.NOT_READY: "the node had no configuration, or one"
    " that may be old: look for dependency_lost",
    reasons.RefusalReason.NO_UPSTREAM: "no upstream of the service was left:"
    " look for upstream and upstream_gone",
    reasons.RefusalReason.COLD_LIMIT: "all upstreams were cold and bore no"
    " more: look for upstream with cold_s, and zones_closed",
    reasons.RefusalReason.SHED: "upstreams turned it down: see attempt_failed",
    reasons.RefusalReason.RETRY_BUDGET: "further attempts had used up their"
    " budget: see attempt_failed for the first cause",
    reasons.RefusalReason.DEADLINE_PASSED: "time ran out: the gaps between the"
    " attempts tell where it went",
    reasons.RefusalReason.STREAM_BROKEN: "the stream broke off and may not go"
    " on elsewhere",
    reasons.RefusalReason.MAY_HAVE_RUN: "an attempt may have run, and the"
    " request must not run twice",
    reasons.RefusalReason.POISON: "upstreams died under equal requests",
}


def _parse(text: str) -> Line | None:
    """Returns the line of a node in a line of a file, None for any other."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        line = json.loads(text[begin:])
    except ValueError:
        return None
    is_line = isinstance(line, dict) and {"at_s", "node", "event"} <= set(line)
    return line if is_line else None


def walk(texts: Iterable[str], request_id: str) -> Iterator[str]:
    """Yields the story of a request, a line each, with its cause at the end.

    Args:
        texts: Lines of all nodes in any order; what stands before the JSON
            object of a line is passed over.
        request_id: The request.

    Raises:
        errors.PlatformError: There is no line of the request.
    """
    lines = [line for text in texts if (line := _parse(text)) is not None]
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        raise errors.PlatformError(
            f"{request_id}: none of {len(lines)} lines is about it; where"
            " lines_left_out stands, lines of answered requests are missing"
        )
    begin_s = min(float(line["at_s"]) for line in own)
    end_s = max(float(line["at_s"]) for line in own)
    story = own + [
        line
        for line in lines
        if begin_s - _BEFORE_S <= float(line["at_s"]) <= end_s + _AFTER_S
        and _may_explain(line, own)
    ]
    for line in sorted(story, key=lambda each: float(each["at_s"])):
        yield _print(line, begin_s)
    yield _cause(own)


def _may_explain(line: Line, own: list[Line]) -> bool:
    """Returns whether a node's belief may have decided on a request."""
    if line["node"] not in {each["node"] for each in own}:
        return False
    if line["event"] in _ABOUT_UPSTREAMS:
        return line.get("upstream") in {each.get("upstream") for each in own}
    return line["event"] in _ABOUT_NODES


def _print(line: Line, begin_s: float) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _HIDDEN and value is not None
    )
    at_ms = (float(line["at_s"]) - begin_s) * 1000
    return f"{at_ms:10.1f} ms  {line['node']}  {line['event']:16} {details}"


def _cause(own: list[Line]) -> str:
    """Returns what the last line of a request says of its end."""
    ends = [line for line in own if line["event"] in _ENDS]
    if not ends:
        return "no end: the node died under it; look for its next start"
    end = max(ends, key=lambda line: float(line["at_s"]))
    if end["event"] == "answered":
        return f"answered after {end['taken_s']} s, {end['attempts']} attempts"
    if end["event"] == "caller_gone":
        return f"the caller left after {end['taken_s']} s"
    run = {"not_run": "it has not run", "ran": "it ran"}.get(
        str(end.get("run")), "it may have run"
    )
    hint = next(
        (
            text
            for reason, text in _HINT_BY_REASON.items()
            if reason.value == end.get("reason")
        ),
        str(end.get("message", "")),
    )
    return f"refused ({end.get('reason')}), {run}: {hint}"
