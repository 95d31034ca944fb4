"""Validates responses of upstreams and forwards them to the client.

Streams are forwarded event by event; other responses are buffered first.
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
# Limit for bodies of responses that are not streams. They are buffered before
# anything is forwarded, so that a broken response can be retried.
_MAX_BODY_BYTES = 8 * 1024 * 1024


def is_stream(work: forwarded_requests.ForwardedWork) -> bool:
    """Returns whether a successful response is an event stream."""
    return work.route.kind is routing.RequestKind.STREAM


async def check_head(
    head: forwarded_requests.ResponseHead,
    evidence: run_evidence.RunEvidence,
    call: interfaces.ForwardCall,
    has_begun: bool,
) -> None:
    """Checks the response head before anything of the response is forwarded.

    Args:
        head: The response head.
        evidence: What it says about a run.
        call: Call from which the body is read.
        has_begun: Whether the client has received a part of the stream.

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
        await _read_body(call)
        is_followed = call.has_trailing_data
        call.finish()
        if is_followed:
            # It may be the answer.
            raise errors.UpstreamError(
                reasons.RetryReason.UNCLEAR_REJECTION,
                f"bytes after a rejection with status {head.status}",
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
        body = await _read_body(call)
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
    body = await _read_body(call)
    accepted.progress.runs.end(verdicts.RunVerdict.RAN)
    await accepted.sink.start(head.status, head.headers, len(body))
    await accepted.sink.write(body)
    await accepted.sink.finish()


async def _read_body(call: interfaces.ForwardCall) -> bytes:
    body = bytearray()
    while (data := await call.read()) is not None:
        body += data
        if len(body) > _MAX_BODY_BYTES:
            raise errors.UpstreamError(
                reasons.RetryReason.MALFORMED,
                f"response body exceeds {_MAX_BODY_BYTES} bytes",
                _MAY_HAVE_RUN,
            )
    return bytes(body)


async def _forward_stream(
    accepted: accepted_requests.AcceptedRequest,
    call: interfaces.ForwardCall,
    head: forwarded_requests.ResponseHead,
    version: str,
    note_pace: Callable[[], None],
    may_try_elsewhere: Callable[[], bool],
) -> None:
    parser = event_streams.EventParser()
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
        for event in parser.feed(data):
            await _forward_event(accepted, event, head, version)
            due_s = loop.time() + gap_s
            events += 1
            if events == PACE_EVENTS:
                note_pace()
        if parser.is_oversized:
            raise errors.UpstreamError(
                reasons.RetryReason.MALFORMED,
                "event exceeds the size limit",
                _MAY_HAVE_RUN,
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


async def _forward_event(
    accepted: accepted_requests.AcceptedRequest,
    event: event_streams.Event,
    head: forwarded_requests.ResponseHead,
    version: str,
) -> None:
    """Forwards an event unless it was forwarded before."""
    progress = accepted.progress
    if _is_repeated(event, progress):
        return
    if not accepted.sink.is_started:
        progress.version = version
        await accepted.sink.start(head.status, head.headers, None)
    progress.event_count += 1
    if event.event_id is not None:
        progress.last_event = event.event_id
    await accepted.sink.write(event.data)


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
