"""HTTP client of model engines and plain services.

Validates the echoed request id and the model version of each response, and
the totals and the end marker of each token stream.
"""

import asyncio
from collections.abc import Mapping
import json
from typing import Any

from lycheegw.coordination import interfaces
from lycheegw.protocol import engine_api
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import json_fields
from lycheegw.state import limits
from lycheegw.state import reasons
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from lycheegw.transport import http_client

__all__ = ["EngineStream", "HttpUpstreamClient"]

_GENERATE_PATH = "/v1/generate"
_REPORT_PATH = "/report"
_ORDER_PATH = "/order"
_REJECTION_STATUSES = frozenset({409, 429, 503})
_EMPTY_RESULTS: tuple[Any, ...] = (None, "", [], {})
_MAX_FRAME_BYTES = 256 * 1024
_MAX_RETRY_AFTER_S = 3600.0


def _upstream_error(
    reason: reasons.RetryReason,
    message: str,
    verdict: verdicts.RunVerdict,
    retry_after_s: float | None = None,
) -> errors.UpstreamError:
    return errors.UpstreamError(reason, message, verdict, retry_after_s)


def _check_status(
    status: int, headers: Mapping[str, str], request_id: str | None = None
) -> None:
    """Raises errors.UpstreamError for any status but 200.

    A rejection shows that the request did not run if it echoes its id.
    """
    if status == 200:
        return
    reason = reasons.RetryReason.SERVER_ERROR
    verdict = verdicts.RunVerdict.MAY_HAVE_RUN
    message = f"status {status}"
    if status in _REJECTION_STATUSES and headers.get("x-run") == "not_run":
        reason = reasons.RetryReason.REFUSED
        echo = headers.get("x-request-id")
        message = f"refused with status {status}, request {echo!r}"
        if request_id is not None and echo == request_id:
            verdict = verdicts.RunVerdict.NOT_RUN
    raise _upstream_error(reason, message, verdict, _retry_after_s(headers))


def _retry_after_s(headers: Mapping[str, str]) -> float | None:
    """Returns the Retry-After in seconds, None if absent, a date or invalid."""
    try:
        seconds = float(headers.get("retry-after", ""))
    except ValueError:
        return None
    return seconds if 0 <= seconds <= _MAX_RETRY_AFTER_S else None


def _check_echo(headers: Mapping[str, str], request_id: str) -> None:
    echo = headers.get("x-request-id")
    if echo != request_id:
        raise _upstream_error(
            reasons.RetryReason.ECHO_MISMATCH,
            f"response to request {echo!r}, expected {request_id!r}",
            verdicts.RunVerdict.MAY_HAVE_RUN,
        )


def _check_version(headers: Mapping[str, str], expected: str) -> None:
    ran = headers.get("x-model-version")
    if ran != expected:
        raise _upstream_error(
            reasons.RetryReason.WRONG_VERSION,
            f"response of version {ran!r}, expected {expected!r}",
            verdicts.RunVerdict.RAN,
        )


class EngineStream:
    """A token stream that returns only validated token frames.

    A frame is returned after it was parsed and its echoed request id checked.
    The totals and the end marker are not returned: the router sends its own
    once the answer is complete.
    """

    def __init__(
        self,
        stream: http_client.ResponseStream,
        request_id: str,
        prefix_tokens: int,
        token_gap_timeout_s: float,
    ):
        self._stream = stream
        self._request_id = request_id
        self._tokens = prefix_tokens
        self._token_gap_timeout_s = token_gap_timeout_s
        self._partial = b""
        self._texts: list[str] = []
        self._totals: engine_api.EngineTotals | None = None
        self._deferred_error: errors.UpstreamError | None = None

    async def read(self) -> interfaces.StreamedFrames:
        """Returns the next complete frames; raises errors.UpstreamError."""
        if self._deferred_error is not None:
            raise self._deferred_error
        # A stalled engine may still send a byte of a frame now and then.
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self._token_gap_timeout_s
        while True:
            data = await self._receive(max(0.0, due_s - loop.time()))
            complete, separator, self._partial = (
                self._partial + data
            ).rpartition(engine_api.FRAME_END)
            if len(self._partial) > _MAX_FRAME_BYTES:
                raise self._stream_error(
                    reasons.RetryReason.MALFORMED,
                    "incomplete frame exceeds the size limit",
                )
            if separator:
                valid_frames = self._validate_frames(complete)
                if valid_frames is not None:
                    return valid_frames

    async def _receive(self, timeout_s: float) -> bytes:
        try:
            data = await self._stream.read(timeout_s)
        except TimeoutError as error:
            raise self._stream_error(
                reasons.RetryReason.TOKEN_GAP,
                "no frame within the token gap timeout",
            ) from error
        except OSError as error:
            raise self._stream_error(
                reasons.RetryReason.CONNECTION_LOST, str(error)
            ) from error
        if not data:
            raise self._stream_error(
                reasons.RetryReason.TRUNCATED,
                "stream ended without an end marker",
            )
        return data

    def _validate_frames(
        self, complete: bytes
    ) -> interfaces.StreamedFrames | None:
        """Returns the valid token frames, None if there are none and no end.

        If a frame is invalid, the valid ones before it are returned, and the
        next read raises the error.
        """
        valid_frames = []
        is_end = False
        try:
            for frame in complete.split(engine_api.FRAME_END):
                if is_end:
                    raise self._stream_error(
                        reasons.RetryReason.MALFORMED,
                        "frame after the end marker",
                    )
                if frame == engine_api.END_MARKER:
                    self._check_totals()
                    is_end = True
                elif self._add_frame(frame):
                    valid_frames.append(frame)
        except errors.UpstreamError as error:
            if not valid_frames:
                raise
            self._deferred_error = error
            is_end = False
        if not valid_frames and not is_end:
            return None
        return self._to_streamed_frames(valid_frames, is_end)

    def _to_streamed_frames(
        self, valid_frames: list[bytes], is_end: bool
    ) -> interfaces.StreamedFrames:
        tokens = len(valid_frames)
        confidence = None
        if is_end and self._totals is not None:
            confidence = self._totals.confidence
        payload = engine_api.FRAME_END.join([*valid_frames, b""])
        return interfaces.StreamedFrames(payload, tokens, is_end, confidence)

    def _add_frame(self, frame: bytes) -> bool:
        """Validates and records a frame; returns whether it is a token."""
        try:
            parsed = engine_api.parse_frame(frame)
        except ValueError as error:
            raise self._stream_error(
                reasons.RetryReason.MALFORMED, str(error)
            ) from error
        if parsed.request_id != self._request_id:
            raise self._stream_error(
                reasons.RetryReason.ECHO_MISMATCH,
                f"frame of request {parsed.request_id!r},"
                f" expected {self._request_id!r}",
            )
        if self._totals is not None:
            raise self._stream_error(
                reasons.RetryReason.MALFORMED, "frame after the totals"
            )
        if parsed.totals is not None:
            self._totals = parsed.totals
            return False
        self._texts.append(parsed.text)
        self._tokens += 1
        return True

    def _check_totals(self) -> None:
        """Raises errors.UpstreamError unless all tokens were received."""
        if self._totals is None:
            raise self._stream_error(
                reasons.RetryReason.TRUNCATED, "end marker without totals"
            )
        if self._totals.tokens != self._tokens:
            raise self._stream_error(
                reasons.RetryReason.TRUNCATED,
                f"{self._tokens} tokens received,"
                f" expected {self._totals.tokens}",
            )

    def _stream_error(
        self, reason: reasons.RetryReason, message: str
    ) -> errors.UpstreamError:
        return _upstream_error(
            reason, message, verdicts.RunVerdict.MAY_HAVE_RUN
        )

    def text(self) -> str:
        """Returns the text of all valid token frames."""
        return "".join(self._texts)

    def close(self) -> None:
        """Closes the connection; the engine cancels the request if it runs."""
        self._stream.close()


class HttpUpstreamClient:
    """Sends calls and orders to model engines and plain services over HTTP."""

    def __init__(
        self, node_limits: limits.Limits, environment: clocks.Environment
    ):
        self._limits = node_limits
        self._environment = environment

    async def generate(
        self,
        target: upstreams.HostEntry,
        call: interfaces.GenerateCall,
        timeout_s: float,
    ) -> EngineStream:
        """Sends a model call; raises errors.UpstreamError."""
        body = engine_api.encode_call(call)
        timeout_s = min(timeout_s, self._head_timeout_s(body))
        now_s = asyncio.get_running_loop().time
        deadline_s = now_s() + timeout_s
        stream = await http_client.open_stream(
            target.address,
            "POST",
            _GENERATE_PATH,
            timeout_s,
            {"x-request-id": call.request_id},
            body,
            self._limits.connect_timeout_s,
        )
        if stream.status != 200:
            # A rejection that breaks off may be that of a failed run.
            await http_client.read_response(
                stream, max(0.0, deadline_s - now_s())
            )
        try:
            _check_status(stream.status, stream.header_by_name, call.request_id)
            _check_echo(stream.header_by_name, call.request_id)
            _check_version(
                stream.header_by_name, f"{call.model}@{call.version}"
            )
        except errors.UpstreamError:
            stream.close()
            raise
        return EngineStream(
            stream,
            call.request_id,
            call.prefix_tokens,
            self._limits.token_gap_timeout_s,
        )

    def _head_timeout_s(self, body: bytes) -> float:
        """Returns the timeout of the response head, with time for prefill."""
        prefill_s = len(body) / self._limits.prefill_bytes_per_s
        return self._limits.head_timeout_s + prefill_s

    async def operate(
        self,
        target: upstreams.HostEntry,
        call: interfaces.OperationCall,
        timeout_s: float,
    ) -> Any:
        """Sends a service call; raises errors.UpstreamError."""
        headers = {"x-request-id": call.request_id}
        if call.idempotency_key is not None:
            headers["idempotency-key"] = call.idempotency_key
        response = await http_client.fetch(
            target.address,
            "POST",
            f"/{call.operation}",
            timeout_s,
            headers,
            json.dumps(call.payload).encode(),
        )
        _check_status(response.status, response.header_by_name, call.request_id)
        _check_echo(response.header_by_name, call.request_id)
        return _parse_result(response, call)

    async def report(
        self, target: upstreams.HostEntry, timeout_s: float
    ) -> upstreams.LoadReport:
        """Reads a load report; raises errors.UpstreamError."""
        response = await http_client.fetch(
            target.address, "GET", _REPORT_PATH, timeout_s
        )
        _check_status(response.status, response.header_by_name)
        try:
            return _parse_report(response.body, self._environment.monotonic_s())
        except (errors.RecordError, TypeError) as error:
            raise _upstream_error(
                reasons.RetryReason.MALFORMED,
                f"invalid load report: {error}",
                verdicts.RunVerdict.RAN,
            ) from error

    async def order(
        self,
        target: upstreams.HostEntry,
        order: interfaces.UpstreamOrder,
        timeout_s: float,
    ) -> None:
        """Sends an order; raises errors.UpstreamError."""
        body = {"versions": sorted(order.versions), "fencing": order.fencing}
        response = await http_client.fetch(
            target.address,
            "POST",
            _ORDER_PATH,
            timeout_s,
            body=json.dumps(body).encode(),
        )
        _check_status(response.status, response.header_by_name)


def _parse_report(body: bytes, now_s: float) -> upstreams.LoadReport:
    """Returns a load report.

    Raises:
        errors.RecordError: A field is missing, or of another type.
        TypeError: A version is no text.
    """
    fields = json_fields.load_object("report", body)
    return upstreams.LoadReport(
        frozenset(json_fields.read("report", fields, "versions", list)),
        json_fields.read("report", fields, "running", int),
        json_fields.read("report", fields, "queued", int),
        json_fields.read("report", fields, "started_at_s", float),
        json_fields.read("report", fields, "completed_total", int),
        now_s,
    )


def _parse_result(
    response: http_client.HttpResponse, call: interfaces.OperationCall
) -> Any:
    """Returns the validated result of a service call."""
    try:
        result = response.json()["result"]
    except (ValueError, KeyError, TypeError) as error:
        raise _upstream_error(
            reasons.RetryReason.MALFORMED,
            f"invalid response of {call.operation}: {error!r}",
            verdicts.RunVerdict.RAN,
        ) from error
    is_lookup = call.is_idempotent and not call.may_be_empty
    if is_lookup and result in _EMPTY_RESULTS:
        raise _upstream_error(
            reasons.RetryReason.EMPTY_ANSWER,
            f"empty result of {call.operation}",
            verdicts.RunVerdict.RAN,
        )
    return result
