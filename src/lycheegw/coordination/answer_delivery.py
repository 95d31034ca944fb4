"""Passes answers of upstreams on: whole ones at once, streams by event."""

import asyncio
from collections.abc import Callable
import http

from lycheegw.coordination import event_streams
from lycheegw.coordination import pending
from lycheegw.coordination import seams
from lycheegw.state import errors
from lycheegw.state import forwarded
from lycheegw.state import reasons
from lycheegw.state import routing
from lycheegw.state import verdicts

__all__ = ["PACE_EVENTS", "check", "deliver", "is_stream"]

_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN

# A stream that pauses for this many times the longest good pause has lost its
# upstream; shorter ones come from preemption.
_GAP_FACTOR = 2.5
_MIN_GAP_S = 2.0
# Events of an attempt after which its pace is told; a few are enough, and the
# pace of a slow upstream is known before its streams end.
PACE_EVENTS = 4
# Bodies of answers that are not streams are read whole before they go out, so
# that a broken one can be asked for again.
_MAX_WHOLE_BYTES = 8 * 1024 * 1024


def is_stream(work: forwarded.ForwardedWork) -> bool:
    """Returns whether a success comes as a series of events."""
    return work.route.kind is routing.RequestKind.STREAM


async def check(head: forwarded.AnswerHead, call: seams.ForwardCall) -> None:
    """Checks the head of an answer before anything is passed on.

    Raises:
        errors.UpstreamError: The answer is a rejection, is not signed, or
            (pending.AnsweredError) is the upstream's own failure.
    """
    if head.is_not_run:
        # Reading to the end keeps the connection.
        await _read_whole(call)
        call.finish()
        is_other = head.status == http.HTTPStatus.MISDIRECTED_REQUEST
        raise errors.UpstreamError(
            reasons.RetryReason.MISDIRECTED
            if is_other
            else reasons.RetryReason.REFUSED,
            f"turned down with status {head.status}",
            verdicts.RunVerdict.NOT_RUN,
            head.retry_after_s,
        )
    is_success = 200 <= head.status < 300
    if is_success and (not head.is_signed or head.is_encoded):
        raise errors.UpstreamError(
            reasons.RetryReason.UNSIGNED,
            "a success that the upstream did not sign",
            _MAY_HAVE_RUN,
        )
    if head.status >= 500:
        body = await _read_whole(call)
        call.finish()
        raise pending.AnsweredError(pending.WholeAnswer(head, body))


async def deliver(
    served: pending.Pending,
    call: seams.ForwardCall,
    head: forwarded.AnswerHead,
    version: str,
    note_pace: Callable[[], None],
) -> None:
    """Passes an answer on to its end.

    Args:
        served: The request.
        call: Where the answer is read.
        head: Its head, checked.
        version: Version of the upstream.
        note_pace: Called after the first few events of a stream.

    Raises:
        errors.UpstreamError: The answer broke off.
    """
    if is_stream(served.work) and head.status < 300:
        await _deliver_stream(served, call, head, version, note_pace)
        return
    body = await _read_whole(call)
    served.progress.is_out = False
    served.progress.verdict = verdicts.RunVerdict.RAN
    await served.sink.start(head.status, head.headers, len(body))
    await served.sink.write(body)
    await served.sink.finish()


async def _read_whole(call: seams.ForwardCall) -> bytes:
    body = bytearray()
    while (data := await call.read()) is not None:
        body += data
        if len(body) > _MAX_WHOLE_BYTES:
            raise errors.UpstreamError(
                reasons.RetryReason.MALFORMED,
                "the answer is too large",
                _MAY_HAVE_RUN,
            )
    return bytes(body)


async def _deliver_stream(
    served: pending.Pending,
    call: seams.ForwardCall,
    head: forwarded.AnswerHead,
    version: str,
    note_pace: Callable[[], None],
) -> None:
    reader = event_streams.EventReader()
    events = 0
    gap_s = max(_MIN_GAP_S, _GAP_FACTOR * served.work.route.gap_s)
    while (data := await _read_within(call, gap_s)) is not None:
        for event in reader.feed(data):
            await _pass_on(served, event, head, version)
            events += 1
            if events == PACE_EVENTS:
                note_pace()
        if reader.is_oversized:
            raise errors.UpstreamError(
                reasons.RetryReason.MALFORMED,
                "an event is too large",
                _MAY_HAVE_RUN,
            )
    if reader.rest:
        raise errors.UpstreamError(
            reasons.RetryReason.TRUNCATED,
            "the stream ended within an event",
            _MAY_HAVE_RUN,
        )
    if not served.sink.is_started:
        await served.sink.start(head.status, head.headers, None)
    await served.sink.finish()


async def _read_within(call: seams.ForwardCall, gap_s: float) -> bytes | None:
    """Returns the next bytes; raises errors.UpstreamError after a silence."""
    try:
        async with asyncio.timeout(gap_s):
            return await call.read()
    except TimeoutError:
        raise errors.UpstreamError(
            reasons.RetryReason.TOKEN_GAP,
            f"no event in {gap_s:.2f} s",
            _MAY_HAVE_RUN,
            is_silence=True,
        ) from None


async def _pass_on(
    served: pending.Pending,
    event: event_streams.Event,
    head: forwarded.AnswerHead,
    version: str,
) -> None:
    """Passes one event on unless it was passed on before."""
    progress = served.progress
    if _is_repeated(event, progress):
        return
    if not served.sink.is_started:
        progress.version = version
        await served.sink.start(head.status, head.headers, None)
    progress.events += 1
    if event.event_id is not None:
        progress.last_event = event.event_id
    await served.sink.write(event.data)


def _is_repeated(
    event: event_streams.Event, progress: pending.Progress
) -> bool:
    """Returns whether a resumed stream sends what was passed on before."""
    last = progress.last_event
    if not progress.events or event.event_id is None or last is None:
        return False
    if event.event_id.isdigit() and last.isdigit():
        return int(event.event_id) <= int(last)
    return event.event_id == last
