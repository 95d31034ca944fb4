"""Explains the outcome of a request from the log lines of many nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import json
from typing import Any

from lycheegw.state import errors
from lycheegw.state import reasons

__all__ = ["explain_request"]

LogLine = Mapping[str, Any]

# Events this long before a request can explain its outcome: upstreams count as
# cold, and stay ejected, for a few seconds.
_CONTEXT_BEFORE_S = 5.0
_CONTEXT_AFTER_S = 0.5
_FINAL_EVENTS = frozenset(
    {"answered", "error_forwarded", "refused", "caller_gone"}
)
_UPSTREAM_EVENTS = frozenset({"upstream", "upstream_lapsed", "upstream_gone"})
_NODE_EVENTS = frozenset(
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
        "prompt_part",
        "lines_left_out",
    }
)
_OMITTED_FIELDS = frozenset({"at_s", "node", "event", "request_id"})
_HINT_BY_REASON = {
    reasons.RefusalReason.NOT_READY: "the node had no configuration, or one"
    " that may be outdated: see dependency_lost",
    reasons.RefusalReason.NO_UPSTREAM: "the service had no available upstream:"
    " see upstream and upstream_gone",
    reasons.RefusalReason.UPSTREAM_LIMIT: "all upstreams were at limits, some"
    " of which they announced: see upstream_notice",
    reasons.RefusalReason.UPSTREAMS_PAUSED: "all upstreams had asked for a"
    " pause: see upstream_notice",
    reasons.RefusalReason.WAIT_TOO_LONG: "no upstream was expected to end it"
    " within its time limit: see wait_s of attempt lines at that time",
    reasons.RefusalReason.COLD_LIMIT: "all upstreams were cold and at their"
    " limit: see upstream with cold_s, and zones_closed",
    reasons.RefusalReason.SHED: "upstreams rejected it: see attempt_failed",
    reasons.RefusalReason.RETRY_BUDGET: "the retry budget was exhausted: see"
    " attempt_failed for the first cause",
    reasons.RefusalReason.DEADLINE_PASSED: "the deadline passed: the times"
    " between the attempts show what took long",
    reasons.RefusalReason.STREAM_BROKEN: "the stream was interrupted and can't"
    " be resumed at another upstream",
    reasons.RefusalReason.MAY_HAVE_RUN: "an attempt may have run, and the"
    " request must not run twice",
    reasons.RefusalReason.POISON: "upstreams crashed while running equal"
    " requests, or prompts with the same part: see prompt_part",
    reasons.RefusalReason.ISOLATED: "its prompt has a part under which"
    " upstreams crashed, and another such prompt ran: see prompt_part",
}


def _parse(text: str) -> LogLine | None:
    """Returns the JSON log line in a line of text, None if there is none."""
    json_start = text.find("{")
    if json_start < 0:
        return None
    try:
        line = json.loads(text[json_start:])
    except ValueError:
        return None
    is_line = isinstance(line, dict) and {"at_s", "node", "event"} <= set(line)
    return line if is_line else None


def explain_request(texts: Iterable[str], request_id: str) -> Iterator[str]:
    """Yields the events of a request, a line each, and then its outcome.

    Args:
        texts: Lines of all nodes in any order; text before the JSON object of
            a line is ignored.
        request_id: Id of the request.

    Raises:
        errors.PlatformError: No line has the id of the request.
    """
    lines = [line for text in texts if (line := _parse(text)) is not None]
    request_lines = [
        line for line in lines if line.get("request_id") == request_id
    ]
    if not request_lines:
        raise errors.PlatformError(
            f"{request_id}: in none of {len(lines)} lines; events of"
            " lines_left_out mean that those of answered requests are missing"
        )
    begin_s = min(float(line["at_s"]) for line in request_lines)
    end_s = max(float(line["at_s"]) for line in request_lines)
    history = request_lines + [
        line
        for line in lines
        if begin_s - _CONTEXT_BEFORE_S
        <= float(line["at_s"])
        <= end_s + _CONTEXT_AFTER_S
        and _is_relevant(line, request_lines)
    ]
    for line in sorted(history, key=lambda each: float(each["at_s"])):
        yield _format(line, begin_s)
    yield _describe_outcome(request_lines)


def _is_relevant(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Returns whether an event of a node can have affected the request."""
    if line["node"] not in {each["node"] for each in request_lines}:
        return False
    if line["event"] in _UPSTREAM_EVENTS:
        return line.get("upstream") in {
            each.get("upstream") for each in request_lines
        }
    return line["event"] in _NODE_EVENTS


def _format(line: LogLine, begin_s: float) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _OMITTED_FIELDS and value is not None
    )
    at_ms = (float(line["at_s"]) - begin_s) * 1000
    return f"{at_ms:10.1f} ms  {line['node']}  {line['event']:16} {details}"


def _describe_outcome(request_lines: list[LogLine]) -> str:
    """Returns the outcome that the last line of a request reports."""
    final_lines = [
        line for line in request_lines if line["event"] in _FINAL_EVENTS
    ]
    if not final_lines:
        return (
            "no outcome: the node crashed while serving it; see its next start"
        )
    final_line = max(final_lines, key=lambda line: float(line["at_s"]))
    if final_line["event"] == "answered":
        return (
            f"answered after {final_line['taken_s']} s,"
            f" {final_line['attempts']} attempts"
        )
    if final_line["event"] == "error_forwarded":
        return (
            f"the error of {final_line['upstream']} was forwarded after"
            f" {final_line['taken_s']} s ({final_line.get('evidence')})"
        )
    if final_line["event"] == "caller_gone":
        return f"the client disconnected after {final_line['taken_s']} s"
    run_text = {
        "not_run": _describe_promise(request_lines),
        "ran": "it ran",
    }.get(str(final_line.get("run")), "it may have run")
    hint = next(
        (
            text
            for reason, text in _HINT_BY_REASON.items()
            if reason.value == final_line.get("reason")
        ),
        str(final_line.get("message", "")),
    )
    return f"refused ({final_line.get('reason')}), {run_text}: {hint}"


def _describe_promise(request_lines: list[LogLine]) -> str:
    """Returns that a request has not run, and which nodes contradict this."""
    nodes = {
        str(line["node"])
        for line in request_lines
        if line["event"] == "answered"
        or line.get("run", "not_run") != "not_run"
    }
    if not nodes:
        return "it has not run"
    return f"it has not run, but {', '.join(sorted(nodes))} contradicts this"
