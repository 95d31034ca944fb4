"""HTTP API of a node for clients, the load balancer and operators.

Routes each HTTP request by path: model and service calls go to the
dispatcher, health checks and operator queries are handled here.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import hmac
from typing import Any

from absl import logging

from lycheegw.coordination import dispatcher
from lycheegw.coordination import interfaces
from lycheegw.protocol import caller_api
from lycheegw.protocol import session_tokens
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import sessions
from lycheegw.state import verdicts
from lycheegw.transport import http_server
from lycheegw.transport import json_logging

__all__ = ["HttpApi"]

_EVENT_STREAM_TYPE = "text/event-stream"
_OPERATOR_PREFIX = "/v1/operator/"
_EXPLAIN_PATH = _OPERATOR_PREFIX + "explain/"
_STATUS_PATH = _OPERATOR_PREFIX + "status"

StatusSource = Callable[[], Mapping[str, Any]]


class _StreamSink:
    """Sends a streamed response to the client as server-sent events."""

    def __init__(
        self,
        exchange: http_server.Exchange,
        request_id: str,
        sign: Callable[[requests.AnswerMetadata], requests.AnswerMetadata],
    ):
        self._exchange = exchange
        self._request_id = request_id
        self._sign = sign

    async def start(self, metadata: requests.AnswerMetadata) -> None:
        """Sends the response head."""
        headers = caller_api.response_headers(
            self._sign(metadata), self._request_id
        )
        await self._exchange.start_stream(headers, _EVENT_STREAM_TYPE)

    async def write(self, payload: bytes) -> None:
        """Sends encoded frames."""
        if payload:
            await self._exchange.write(payload)

    async def finish(self, totals: requests.AnswerTotals) -> None:
        """Sends the totals and the end marker."""
        await self._exchange.write(
            caller_api.end_frames(self._request_id, totals)
        )
        await self._exchange.finish()


class HttpApi:
    """Handles requests of clients, the load balancer and operators.

    Attributes:
        is_draining: Whether the node refuses new requests.
        running: Number of client requests being handled.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        dispatch: dispatcher.Dispatcher,
        tokens: session_tokens.SessionTokens,
        operator_key: str,
        status: StatusSource,
    ):
        self._state = state
        self._dispatch = dispatch
        self._tokens = tokens
        self._operator_key = operator_key
        self._status = status
        self.is_draining = False
        self.running = 0

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Handles one HTTP request and sends its response."""
        request = exchange.request
        if request.path == "/healthz":
            await exchange.send_json(200, {"status": "alive"})
        elif request.path == "/readyz":
            await self._handle_readiness(exchange)
        elif request.path.startswith(_OPERATOR_PREFIX):
            await self._handle_operator(exchange)
        elif request.method != "POST":
            await exchange.send_json(405, {"error": {"reason": "method"}})
        elif request.path == caller_api.CHAT_PATH or request.path.startswith(
            caller_api.SERVICES_PATH
        ):
            await self._handle_client(exchange)
        else:
            await exchange.send_json(404, {"error": {"reason": "path"}})

    def unready_reason(self) -> reasons.RefusalReason | None:
        """Returns why the node refuses requests, None if it accepts them."""
        if self.is_draining:
            return reasons.RefusalReason.SHUTTING_DOWN
        # Without load reports no upstream could be selected for any request.
        knows_upstreams = self._state.upstreams.has_reports
        if self._state.catalog.is_empty or not knows_upstreams:
            return reasons.RefusalReason.NOT_READY
        if self._state.catalog.has_unknown_kind():
            return reasons.RefusalReason.CONFIGURATION_UNREADABLE
        return None

    async def _handle_readiness(self, exchange: http_server.Exchange) -> None:
        reason = self.unready_reason()
        if reason is not None:
            await exchange.send_json(503, {"status": reason.value})
        elif not self._state.catalog.is_zone_serving(self._state.identity.zone):
            # Requests that still arrive are served by upstreams of other zones.
            await exchange.send_json(503, {"status": "zone_out"})
        else:
            await exchange.send_json(200, {"status": "ready"})

    async def _handle_operator(self, exchange: http_server.Exchange) -> None:
        headers = exchange.request.header_by_name
        key = headers.get("authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(key.encode(), self._operator_key.encode()):
            await exchange.send_json(401, {"error": {"reason": "operator_key"}})
            return
        path = exchange.request.path
        if path == _STATUS_PATH:
            await exchange.send_json(200, self._status())
        elif path.startswith(_EXPLAIN_PATH):
            await self._send_trace(exchange, path[len(_EXPLAIN_PATH) :])
        else:
            await exchange.send_json(404, {"error": {"reason": "path"}})

    async def _send_trace(
        self, exchange: http_server.Exchange, request_id: str
    ) -> None:
        events = [
            event._asdict() for event in self._state.traces.events(request_id)
        ]
        status = 200 if events else 404
        await exchange.send_json(
            status, {"request_id": request_id, "events": events}
        )

    async def _handle_client(self, exchange: http_server.Exchange) -> None:
        headers = exchange.request.header_by_name
        request_id = headers.get("x-request-id", "")
        if not request_id.isprintable() or not 0 < len(request_id) <= 128:
            request_id = self._state.environment.new_id()
        self.running += 1
        try:
            await self._run_request(exchange, request_id)
        except errors.RefusalError as error:
            await self._refuse(exchange, request_id, error)
        except OSError:
            # The client disconnected, so no response can be sent.
            raise
        except Exception:
            logging.exception("request %s: unexpected exception", request_id)
            await self._refuse(
                exchange,
                request_id,
                errors.RefusalError(
                    reasons.RefusalReason.INTERNAL,
                    "the router failed to handle the request",
                    verdicts.RunVerdict.MAY_HAVE_RUN,
                ),
            )
        finally:
            self.running -= 1

    async def _run_request(
        self, exchange: http_server.Exchange, request_id: str
    ) -> None:
        reason = self.unready_reason()
        if reason is not None:
            raise errors.RefusalError(reason, reason.value, retry_after_s=1.0)
        request = caller_api.parse_request(
            exchange.request.path,
            exchange.request.header_by_name,
            exchange.request.body,
            request_id,
            self._state.environment.monotonic_s(),
            self._state.catalog,
            self._state.limits,
        )
        self._state.trace(
            request_id,
            "received",
            organisation=request.organisation,
            kind=request.kind,
        )
        if isinstance(request.work, requests.ModelWork):
            await self._run_while_connected(
                exchange, self._run_model(exchange, request, request.work)
            )
        elif isinstance(request.work, requests.ServiceWork):
            await self._run_service(exchange, request, request.work)
        self._state.counters.add("answers")
        self._state.trace(request_id, "answered")

    async def _run_while_connected(
        self, exchange: http_server.Exchange, coroutine: Any
    ) -> None:
        """Runs `coroutine` until it ends or the client disconnects."""
        running_task = asyncio.ensure_future(coroutine)
        disconnect_task = asyncio.ensure_future(exchange.wait_disconnected())
        try:
            await asyncio.wait(
                {running_task, disconnect_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not running_task.done():
                raise errors.RefusalError(
                    reasons.RefusalReason.CALLER_GONE,
                    "the client closed the connection",
                    verdicts.RunVerdict.MAY_HAVE_RUN,
                )
            await running_task
        finally:
            for task in (disconnect_task, running_task):
                task.cancel()
            await asyncio.gather(
                disconnect_task, running_task, return_exceptions=True
            )

    async def _run_model(
        self,
        exchange: http_server.Exchange,
        request: requests.Request,
        work: requests.ModelWork,
    ) -> None:
        claim = None
        if request.session_token is not None:
            claim = self._tokens.verify(request.session_token)

        def sign(metadata: requests.AnswerMetadata) -> requests.AnswerMetadata:
            return self._with_session_token(request, metadata)

        sink: interfaces.AnswerSink = _StreamSink(
            exchange, request.request_id, sign
        )
        answer = await self._dispatch.run_model(request, work, claim, sink)
        if work.stream:
            await sink.finish(answer.totals)
            return
        metadata = sign(answer.head)
        await exchange.send_json(
            200,
            caller_api.chat_completion_body(
                request.request_id, metadata, answer.text, answer.totals.tokens
            ),
            caller_api.response_headers(metadata, request.request_id)
            | caller_api.completion_headers(answer.totals),
        )

    def _with_session_token(
        self, request: requests.Request, metadata: requests.AnswerMetadata
    ) -> requests.AnswerMetadata:
        """Adds a session token if the request belongs to a session."""
        if (
            request.session is None
            or not metadata.model
            or not metadata.version
        ):
            return metadata
        claim = sessions.SessionClaim(
            request.organisation,
            request.session,
            metadata.model,
            metadata.version,
            round(self._state.environment.wall_s(), 3),
        )
        return metadata._replace(session_token=self._tokens.sign(claim))

    async def _run_service(
        self,
        exchange: http_server.Exchange,
        request: requests.Request,
        work: requests.ServiceWork,
    ) -> None:
        answer = await self._dispatch.run_service(request, work)
        await exchange.send_json(
            200,
            {"id": request.request_id, "result": answer.result},
            caller_api.response_headers(answer.head, request.request_id)
            | caller_api.completion_headers(answer.totals),
        )

    async def _refuse(
        self,
        exchange: http_server.Exchange,
        request_id: str,
        error: errors.RefusalError,
    ) -> None:
        self._state.counters.add(f"refusal.{error.reason.value}")
        details = {"reason": error.reason.value, "run": error.verdict.value}
        self._state.trace(request_id, "refused", **details)
        json_logging.event("refused", request_id=request_id, **details)
        body = caller_api.error_body(error, request_id)
        if exchange.is_started:
            # The head was sent: send an error event and no end marker.
            exchange.keep_alive = False
            await exchange.write(caller_api.error_frame(body))
            await exchange.finish()
            return
        await exchange.send_json(
            caller_api.http_status(error.reason),
            body,
            caller_api.refusal_headers(error, request_id),
        )
