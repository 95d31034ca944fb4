"""Validates responses of upstreams and forwards them to the client.

Streams are forwarded event by event; other responses are collected first, so
that a broken one can be retried, unless they are long or memory is short.
"""

import asyncio
from collections.abc import Callable
import http
import re

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import event_streams
from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import memory_budget
from lycheegw.state import reasons
from lycheegw.state import routing
from lycheegw.state import run_evidence
from lycheegw.state import verdicts

__all__ = ["PACE_EVENTS", "check_head", "deliver", "is_stream"]

_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN

# A stream without an event for this many times the longest regular gap goes on
# at another upstream, if there is one; shorter gaps are caused by preemption.
_GAP_FACTOR = 2.5
_MIN_GAP_S = 2.0
# Number of events of an attempt after which its pace is recorded. A few are
# enough, and a slow upstream is noticed before its streams end.
PACE_EVENTS = 4
# Ids of events that are compared as numbers; 64 bits hold them.
_EVENT_NUMBER = re.compile(r"[0-9]{1,18}")
# Limit for bodies of responses that are not streams.
_MAX_BODY_BYTES = 8 * 1024 * 1024
# Bodies up to this length are collected before anything is forwarded, so that a
# broken response can be retried. Longer ones are forwarded as they arrive.
_MAX_COLLECTED_BYTES = 1024 * 1024
# Limit for bodies of which the client gets nothing unless no retry follows, and
# of rejections, which are read only so that the connection can be reused.
_MAX_ERROR_BYTES = 64 * 1024
# A collected body is written in parts of this length, as the connection to the
# client copies what it can't send at once.
_PART_BYTES = 16 * 1024


def is_stream(work: forwarded_requests.ForwardedWork) -> bool:
    """Returns whether a successful response is an event stream."""
    return work.route.kind is routing.RequestKind.STREAM


async def check_head(
    head: forwarded_requests.ResponseHead,
    evidence: run_evidence.RunEvidence,
    call: interfaces.ForwardCall,
    has_begun: bool,
    memory: memory_budget.Reservation,
) -> None:
    """Checks the response head before anything of the response is forwarded.

    Args:
        head: The response head.
        evidence: What it says about a run.
        call: Call from which the body is read.
        has_begun: Whether the client has received a part of the stream.
        memory: What the request takes.

    Raises:
        errors.UpstreamError: The response may be for another request, or is a
            rejection, contradicts itself, is a success without a signature, a
            server error (accepted_requests.HttpStatusError), or does not
            continue a stream.
    """
    if not head.is_attributed:
        raise errors.UpstreamError(
            reasons.RetryReason.ECHO_MISMATCH,
            f"response that may be for another request: {evidence}",
            _MAY_HAVE_RUN,
        )
    judgement = run_evidence.judge(evidence)
    if judgement.verdict is verdicts.RunVerdict.NOT_RUN:
        # A connection can be reused only once its response was read. One that
        # breaks off is no evidence.
        await _skip_body(call)
        is_followed = _may_be_response(call.trailing_data)
        call.finish()
        if is_followed:
            # It may be the answer.
            raise errors.UpstreamError(
                reasons.RetryReason.UNCLEAR_REJECTION,
                f"response after a rejection with status {head.status}",
                _MAY_HAVE_RUN,
            )
        is_misdirected = judgement.basis is run_evidence.Basis.MISDIRECTED
        raise errors.UpstreamError(
            reasons.RetryReason.MISDIRECTED
            if is_misdirected
            else reasons.RetryReason.REFUSED,
            f"upstream rejected the request with status {head.status}",
            verdicts.RunVerdict.NOT_RUN,
            head.retry_after_s,
        )
    if judgement.basis is run_evidence.Basis.UNMARKED_PROMISE:
        # Clients would take the status for a promise and send it again.
        raise errors.UpstreamError(
            reasons.RetryReason.SERVER_ERROR,
            f"status {head.status} of a request that may have run",
            _MAY_HAVE_RUN,
        )
    if run_evidence.is_contradictory(evidence):
        raise errors.UpstreamError(
            reasons.RetryReason.UNCLEAR_REJECTION,
            f"rejection of a request that may have run: {evidence}",
            _MAY_HAVE_RUN,
        )
    is_success = 200 <= head.status < 300
    if is_success and (not head.is_signed or head.is_encoded):
        raise errors.UpstreamError(
            reasons.RetryReason.UNSIGNED,
            "successful response without a valid signature",
            _MAY_HAVE_RUN,
        )
    if has_begun and head.status != http.HTTPStatus.OK:
        raise errors.UpstreamError(
            reasons.RetryReason.SERVER_ERROR,
            f"status {head.status} instead of the rest of a stream",
            _MAY_HAVE_RUN,
        )
    if head.status >= 500:
        body = await _read_error_body(call, memory)
        call.finish()
        raise accepted_requests.HttpStatusError(
            accepted_requests.WholeAnswer(head, body)
        )


async def deliver(
    accepted: accepted_requests.AcceptedRequest,
    call: interfaces.ForwardCall,
    head: forwarded_requests.ResponseHead,
    version: str,
    note_pace: Callable[[], None],
    may_try_elsewhere: Callable[[], bool],
) -> None:
    """Forwards a response to its end.

    Args:
        accepted: Request that the response belongs to.
        call: Call from which the body is read.
        head: Response head that passed `check_head`.
        version: Version of the upstream.
        note_pace: Called after the first `PACE_EVENTS` events of a stream.
        may_try_elsewhere: Returns whether another upstream may go on with the
            response. If none may, silence doesn't end it.

    Raises:
        errors.UpstreamError: The response broke off.
    """
    if is_stream(accepted.work) and head.status < 300:
        await _forward_stream(
            accepted, call, head, version, note_pace, may_try_elsewhere
        )
        return
    await _forward_body(accepted, call, head)


async def _forward_body(
    accepted: accepted_requests.AcceptedRequest,
    call: interfaces.ForwardCall,
    head: forwarded_requests.ResponseHead,
) -> None:
    """Forwards a body; raises errors.UpstreamError if it breaks off."""
    if accepted.work.incoming.method != b"HEAD":
        _check_length(head.content_length or 0, _MAX_BODY_BYTES)
    sink, memory = accepted.sink, accepted.sink.memory
    memory_before = memory.size
    body = bytearray()
    received = 0
    while (data := await call.read()) is not None:
        received += len(data)
        body += data
        if received > _MAX_COLLECTED_BYTES or not memory.grow(len(data)):
            break
    is_whole = data is None
    if is_whole:
        accepted.progress.runs.end(verdicts.RunVerdict.RAN)
    length = len(body) if is_whole else head.content_length
    await sink.start(head.status, head.headers, length)
    while body:
        await sink.write(bytes(body[:_PART_BYTES]))
        del body[:_PART_BYTES]
    if not is_whole:
        memory.resize(memory_before)
        while (data := await call.read()) is not None:
            received += len(data)
            _check_length(received, _MAX_BODY_BYTES)
            await sink.write(data)
        accepted.progress.runs.end(verdicts.RunVerdict.RAN)
    await sink.finish()


async def _read_error_body(
    call: interfaces.ForwardCall, memory: memory_budget.Reservation
) -> bytes:
    """Returns the body of an error response; raises errors.UpstreamError."""
    body = bytearray()
    while (data := await call.read()) is not None:
        body += data
        _check_length(len(body), _MAX_ERROR_BYTES)
        if not memory.grow(len(data)):
            raise memory_budget.full_error("the body of an error")
    return bytes(body)


async def _skip_body(call: interfaces.ForwardCall) -> None:
    """Reads a body that nobody gets; raises errors.UpstreamError."""
    received = 0
    while (data := await call.read()) is not None:
        received += len(data)
        _check_length(received, _MAX_ERROR_BYTES)


def _may_be_response(data: bytes) -> bool:
    """Returns whether bytes are, or begin like, the head of a response."""
    return bool(data) and data[:5] == b"HTTP/"[: len(data)]


def _check_length(length: int, limit: int) -> None:
    """Raises errors.UpstreamError if a body is longer than its limit."""
    if length > limit:
        raise errors.UpstreamError(
            reasons.RetryReason.MALFORMED,
            f"response body of {length} bytes or more, the limit is {limit}",
            _MAY_HAVE_RUN,
        )


async def _forward_stream(
    accepted: accepted_requests.AcceptedRequest,
    call: interfaces.ForwardCall,
    head: forwarded_requests.ResponseHead,
    version: str,
    note_pace: Callable[[], None],
    may_try_elsewhere: Callable[[], bool],
) -> None:
    parser = event_streams.EventParser()
    memory = accepted.sink.memory
    memory_before = memory.size
    events = 0
    gap_s = max(_MIN_GAP_S, _GAP_FACTOR * accepted.work.route.target_gap_s)
    loop = asyncio.get_running_loop()
    # Counted from the last whole event: a stalled upstream may still send a
    # byte now and then. The time that the client takes to read doesn't count.
    due_s = loop.time() + gap_s
    while True:
        data = await _read_before(call, due_s, gap_s, may_try_elsewhere)
        if data is None:
            break
        events_before = events
        parts = []
        for event in parser.feed(data):
            events += 1
            if events == PACE_EVENTS:
                note_pace()
            if _note_event(event, accepted.progress):
                parts.append(event.data)
        if parts:
            await _forward_events(accepted, b"".join(parts), head, version)
        if events > events_before:
            due_s = loop.time() + gap_s
        if not memory.resize(memory_before + len(parser.incomplete)):
            raise memory_budget.full_error("an incomplete event")
        if parser.fault:
            raise errors.UpstreamError(
                reasons.RetryReason.MALFORMED, parser.fault, _MAY_HAVE_RUN
            )
    if parser.incomplete:
        raise errors.UpstreamError(
            reasons.RetryReason.TRUNCATED,
            "stream ended within an event",
            _MAY_HAVE_RUN,
        )
    is_resumed = accepted.progress.last_event is not None
    if not events and not (is_resumed and head.has_framing):
        # Without it, the end of the connection looks like a whole body.
        raise errors.UpstreamError(
            reasons.RetryReason.TRUNCATED,
            "stream ended without an event",
            _MAY_HAVE_RUN,
        )
    if not accepted.sink.is_started:
        await accepted.sink.start(head.status, head.headers, None)
    await accepted.sink.finish()


async def _read_before(
    call: interfaces.ForwardCall,
    due_s: float,
    gap_s: float,
    may_try_elsewhere: Callable[[], bool],
) -> bytes | None:
    """Returns the next bytes, None at the end of the stream.

    Args:
        call: Call from which the body is read.
        due_s: Time of the event loop at which the next event is overdue.
        gap_s: Longest time between two events.
        may_try_elsewhere: Returns whether another upstream may go on.

    Raises:
        errors.UpstreamError: The next event is overdue, and another upstream
            may go on.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            async with asyncio.timeout_at(due_s):
                return await call.read()
        except TimeoutError:
            if may_try_elsewhere():
                raise errors.UpstreamError(
                    reasons.RetryReason.TOKEN_GAP,
                    f"no event received within {gap_s:.2f} s",
                    _MAY_HAVE_RUN,
                    is_timeout=True,
                ) from None
            due_s = loop.time() + gap_s


def _note_event(
    event: event_streams.Event, progress: accepted_requests.Progress
) -> bool:
    """Records an event; returns False if it was forwarded before."""
    if _is_repeated(event, progress):
        return False
    progress.event_count += 1
    if event.event_id is not None:
        progress.last_event = event.event_id
    return True


async def _forward_events(
    accepted: accepted_requests.AcceptedRequest,
    data: bytes,
    head: forwarded_requests.ResponseHead,
    version: str,
) -> None:
    """Forwards the events that were read together."""
    if not accepted.sink.is_started:
        accepted.progress.version = version
        await accepted.sink.start(head.status, head.headers, None)
    await accepted.sink.write(data)


def _is_repeated(
    event: event_streams.Event, progress: accepted_requests.Progress
) -> bool:
    """Returns whether a resumed stream repeats a forwarded event."""
    last = progress.last_event
    if not progress.event_count or event.event_id is None or last is None:
        return False
    if _EVENT_NUMBER.fullmatch(event.event_id) and _EVENT_NUMBER.fullmatch(
        last
    ):
        return int(event.event_id) <= int(last)
    return event.event_id == last
