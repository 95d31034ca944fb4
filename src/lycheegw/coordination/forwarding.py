"""Handles forwarded requests from arrival to the end of the response.

A request is authenticated and routed by the current manifest, then attempted
until its deadline, and logged with its outcome.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import http
from typing import NamedTuple

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import attempt_limits
from lycheegw.coordination import forward_attempts
from lycheegw.coordination import forward_dependencies
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import topics
from lycheegw.state import verdicts

__all__ = ["Codec", "Forwarder"]

_STREAM = routing.RequestKind.STREAM

# How long a request may wait for a process that has just started. Reading the
# store takes some ten milliseconds, and a refusal costs the client a retry.
_MAX_STARTUP_WAIT_S = 0.3
# Retry-after time of a node that has no up-to-date configuration.
_NOT_READY_RETRY_AFTER_S = 1.0
# A request that ends with less time left was ended by the stop of the process.
_MIN_TIME_TO_STOP_S = 0.01
# Time limit of a request whose route isn't known, in seconds.
_MAX_TIME_LIMIT_S = 60.0
# Logged age of orders that the store has not confirmed yet.
_MAX_LOGGED_AGE_S = 999.0


class Codec(NamedTuple):
    """Decodes the headers of requests and encodes refusals.

    Attributes:
        decode_traits: Returns the traits in a client's headers.
        encode_refusal: Returns the response to a refused request.
        promises_not_run: Returns whether clients take a status for a promise
            that their request has not run and never will.
    """

    decode_traits: Callable[
        [forwarded_requests.IncomingRequest], forwarded_requests.RequestTraits
    ]
    encode_refusal: Callable[
        [errors.RefusalError], forwarded_requests.LocalResponse
    ]
    promises_not_run: Callable[[int], bool]


class Forwarder:
    """Serves the requests of clients.

    Attributes:
        attempts: Makes the attempts of accepted requests.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        codec: Codec,
        dependencies: forward_dependencies.Dependencies,
    ):
        self.attempts = forward_attempts.ForwardAttempts(state, dependencies)
        self._state = state
        self._codec = codec
        self._dependencies = dependencies
        self._time_limits: set[asyncio.Timeout] = set()

    def end_running_within(self, left_s: float) -> None:
        """Makes the requests that run now end within some seconds.

        Those whose response hasn't begun by then are refused.
        """
        end_s = asyncio.get_running_loop().time() + left_s
        for limit in self._time_limits:
            when_s = limit.when()
            if when_s is not None and when_s > end_s:
                limit.reschedule(end_s)

    async def handle(
        self,
        sink: accepted_requests.ResponseSink,
        decline: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Serves one request and logs how it ended.

        Args:
            sink: Where the response is written.
            decline: Tells the node that relayed the request that it has not
                run, None if a client sent it.
        """
        end = _End(sink.incoming)
        try:
            end.traits = self._codec.decode_traits(sink.incoming)
            await self._wait_for_startup()
            await self._wait_for_current_copies(sink.incoming, end.traits)
            manifest = self._dependencies.directory.manifest
            end.manifest_version = manifest.version if manifest else None
            end.orders_age_s = self._dependencies.freshness.age_s(
                topics.Topic.ORDERS
            )
            end.accepted = self._accept(sink, end.traits, manifest)
            await self._serve_until_deadline(end.accepted)
        except errors.RefusalError as error:
            await self._refuse(sink, end, error, decline)
        except (ConnectionError, asyncio.CancelledError) as error:
            self._note_end(end, "caller_gone", error)
            raise
        else:
            self._note_end(end, _outcome(end), None)

    async def _wait_for_startup(self) -> None:
        """Waits a short time for a process that has not read the store yet."""
        until_s = self._now_s() + _MAX_STARTUP_WAIT_S
        while (
            not self._dependencies.is_store_read() and self._now_s() < until_s
        ):
            await self._state.environment.sleep(
                forward_attempts.WAIT_POLL_INTERVAL_S
            )

    async def _wait_for_current_copies(
        self,
        incoming: forwarded_requests.IncomingRequest,
        traits: forwarded_requests.RequestTraits,
    ) -> None:
        """Waits until the orders and upstreams are known well enough.

        Raises:
            errors.RefusalError: They are not, and the time limit of the request
                has passed or peers know later ones.
        """
        freshness = self._dependencies.freshness
        if freshness.is_current():
            await freshness.ensure_current()
            return
        manifest = self._dependencies.directory.manifest
        route = manifest and manifest.find_route(traits.host, traits.path)
        left_s = _time_limit_s(incoming, traits, route)
        try:
            async with asyncio.timeout(
                incoming.received_s + left_s - self._now_s()
            ):
                await freshness.ensure_current()
        except TimeoutError as error:
            raise errors.RefusalError(
                reasons.RefusalReason.NOT_READY,
                f"the store could not be read within {left_s:.2f} s",
                verdicts.RunVerdict.NOT_RUN,
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            ) from error

    def _accept(
        self,
        sink: accepted_requests.ResponseSink,
        traits: forwarded_requests.RequestTraits,
        manifest: routing.Manifest | None,
    ) -> accepted_requests.AcceptedRequest:
        """Authenticates and routes a request; raises errors.RefusalError."""
        if manifest is None:
            raise errors.RefusalError(
                reasons.RefusalReason.NOT_READY,
                "the node has not read its configuration yet",
                verdicts.RunVerdict.NOT_RUN,
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        route = manifest.find_route(traits.host, traits.path)
        if route is None:
            raise self._unknown(
                reasons.RefusalReason.UNKNOWN_ROUTE,
                "no route for this host and path",
            )
        organisation = self._authenticate(manifest, route, traits)
        work = forwarded_requests.ForwardedWork(sink.incoming, traits, route)
        request = _request(work, organisation)
        if self._dependencies.is_closing() and (
            route.kind is _STREAM
            or request.deadline_s - self._now_s()
            > self._dependencies.time_to_stop_s()
        ):
            # The response could outlast the process.
            raise attempt_limits.shutting_down_error()
        return accepted_requests.AcceptedRequest(
            request,
            work,
            self._pick_service(manifest, route),
            sink,
            accepted_requests.Progress(work),
        )

    def _authenticate(
        self,
        manifest: routing.Manifest,
        route: routing.Route,
        traits: forwarded_requests.RequestTraits,
    ) -> routing.Organisation | None:
        """Returns the organisation of the API key, None where keys don't count.

        Raises:
            errors.RefusalError: The key is unknown.
        """
        if manifest.organisation_by_key is None or route.is_public:
            return None
        organisation = manifest.organisation_by_key.get(traits.api_key or "")
        if organisation is None:
            raise self._unknown(
                reasons.RefusalReason.UNAUTHENTICATED, "unknown API key"
            )
        return organisation

    def _unknown(
        self, reason: reasons.RefusalReason, message: str
    ) -> errors.RefusalError:
        """Returns the refusal of a route or key missing in the configuration.

        While the store is unreachable, the configuration may be out of date;
        the refusal then says that the node is not ready.
        """
        if self._dependencies.directory.is_store_silent:
            return errors.RefusalError(
                reasons.RefusalReason.NOT_READY,
                f"{message} in a configuration that may be out of date",
                verdicts.RunVerdict.NOT_RUN,
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        return errors.RefusalError(reason, message, verdicts.RunVerdict.NOT_RUN)

    def _pick_service(
        self, manifest: routing.Manifest, route: routing.Route
    ) -> routing.Service:
        """Returns a service of the route, picked at random by weight."""
        names = [each.service for each in route.backends]
        weights = [max(0.0, each.weight) for each in route.backends]
        if not any(weights):
            weights = [1.0] * len(names)
        (name,) = self._state.environment.random.choices(names, weights)
        service = manifest.service_by_name.get(name)
        if service is None:
            raise errors.RefusalError(
                reasons.RefusalReason.UNKNOWN_SERVICE,
                f"service {name!r} is not in the configuration",
                verdicts.RunVerdict.NOT_RUN,
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        return service

    async def _serve_until_deadline(
        self, accepted: accepted_requests.AcceptedRequest
    ) -> None:
        """Serves a request.

        Raises:
            errors.RefusalError: Its deadline passed, or the process is ending.
        """
        left_s = max(0.001, accepted.request.deadline_s - self._now_s())
        to_stop_s = max(0.001, self._dependencies.time_to_stop_s())
        limit = asyncio.timeout(min(left_s, to_stop_s))
        self._time_limits.add(limit)
        try:
            async with limit:
                await self.attempts.serve(accepted)
        except TimeoutError:
            if self._dependencies.time_to_stop_s() <= _MIN_TIME_TO_STOP_S:
                raise attempt_limits.shutting_down_error() from None
            raise errors.RefusalError(
                reasons.RefusalReason.DEADLINE_PASSED,
                f"no complete response within {left_s:.2f} s",
                accepted.progress.runs.verdict,
                attempt_limits.MIN_RETRY_AFTER_S,
            ) from None
        finally:
            self._time_limits.discard(limit)

    async def _refuse(
        self,
        sink: accepted_requests.ResponseSink,
        end: "_End",
        error: errors.RefusalError,
        decline: Callable[[], Awaitable[None]] | None,
    ) -> None:
        """Sends a refusal, or breaks off a response that has begun."""
        if end.accepted is not None:
            verdict = end.accepted.progress.runs.verdict
            error.verdict = error.verdict.max_with(verdict)
        self._state.counters.add(f"refusal.{error.reason.value}")
        self._note_end(end, "refused", error)
        if sink.is_started:
            sink.abort()
            return
        if (
            decline is not None
            and (
                self._dependencies.reach.is_cut_off
                or error.reason is reasons.RefusalReason.SHUTTING_DOWN
            )
            and error.verdict is verdicts.RunVerdict.NOT_RUN
        ):
            # Another peer may serve it.
            await decline()
            return
        await sink.send(self._codec.encode_refusal(error))

    def _note_end(
        self, end: "_End", outcome: str, error: BaseException | None
    ) -> None:
        """Records the outcome of a request in counters, histogram and log."""
        taken_s = self._now_s() - end.incoming.received_s
        self._state.counters.add(f"requests.{outcome}")
        # Records of incidents may cut lines short: the verdict comes first.
        fields: dict[str, object] = {}
        if end.traits is not None:
            fields["request_id"] = end.traits.request_id
        if isinstance(error, errors.RefusalError):
            fields |= {"reason": error.reason.value, "run": error.verdict.value}
        if end.accepted is not None:
            self._dependencies.observe(
                outcome, end.accepted.request.kind, taken_s
            )
            fields["evidence"] = end.accepted.progress.evidence
            fields["runs"] = end.accepted.progress.runs.run_count
        fields["taken_s"] = round(taken_s, 3)
        if end.accepted is not None:
            fields |= _progress_fields(end.accepted)
        if isinstance(error, errors.RefusalError):
            fields["message"] = str(error)
        if end.manifest_version is not None:
            fields["manifest"] = end.manifest_version
            fields["orders_age_s"] = round(
                min(end.orders_age_s, _MAX_LOGGED_AGE_S), 2
            )
            self._dependencies.observe("orders_age", outcome, end.orders_age_s)
        self._dependencies.note(outcome, **fields)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _outcome(end: "_End") -> str:
    """Returns how a request ended whose response was sent whole."""
    is_error = end.accepted is not None and (
        end.accepted.progress.status >= http.HTTPStatus.BAD_REQUEST
    )
    return "error_forwarded" if is_error else "answered"


class _End:
    """A request as far as it was read and accepted, for the final log line.

    Attributes:
        incoming: Request as it was read.
        traits: Decoded headers, None if they are invalid.
        manifest_version: Version by which it was accepted or refused, None if
            there was none yet.
        orders_age_s: Age of the orders at that time.
        accepted: Accepted request, None if it was not accepted.
    """

    def __init__(self, incoming: forwarded_requests.IncomingRequest):
        self.incoming = incoming
        self.traits: forwarded_requests.RequestTraits | None = None
        self.manifest_version: int | None = None
        self.orders_age_s = 0.0
        self.accepted: accepted_requests.AcceptedRequest | None = None


def _progress_fields(
    accepted: accepted_requests.AcceptedRequest,
) -> dict[str, object]:
    """Returns the fields of the final log line that describe the attempts."""
    progress = accepted.progress
    return {
        "route": accepted.request.kind,
        "attempts": progress.attempt_count,
        "upstream": progress.upstream,
        "model": progress.model,
        "send_delay_s": round(progress.send_delay_s, 3),
        "list_age_s": round(progress.list_age_s, 2),
        "head_s": round(progress.head_s, 3),
        "confidence": progress.confidence,
        "events": progress.event_count,
    }


def _time_limit_s(
    incoming: forwarded_requests.IncomingRequest,
    traits: forwarded_requests.RequestTraits,
    route: routing.Route | None,
) -> float:
    """Returns the seconds that a request has from when it was received."""
    limits_s = [_MAX_TIME_LIMIT_S]
    if route is not None:
        limits_s = [route.timeout_s]
    if traits.time_left_s is not None:
        limits_s.append(traits.time_left_s)
    if incoming.relayed_time_left_s is not None:
        limits_s.append(incoming.relayed_time_left_s)
    return min(limits_s)


def _request(
    work: forwarded_requests.ForwardedWork,
    organisation: routing.Organisation | None,
) -> requests.Request:
    """Returns the properties that the policies of all requests use."""
    route, traits = work.route, work.traits
    left_s = _time_limit_s(work.incoming, traits, route)
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    is_resumable = route.kind is _STREAM and route.is_resumable
    return requests.Request(
        traits.request_id,
        organisation.name if organisation is not None else "",
        route.name,
        work,
        traits.session,
        None,
        work.incoming.received_s + left_s,
        priority,
        None,
        route.kind is routing.RequestKind.IDEMPOTENT or is_resumable,
        _fingerprint(work),
        prompt_parts=tuple(part.part_id for part in traits.prompt[:-1]),
    )


def _fingerprint(work: forwarded_requests.ForwardedWork) -> str:
    """Returns a hash that is equal for repetitions of the same request."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        work.incoming.method,
        work.incoming.target,
        work.traits.host.encode(),
        (work.traits.api_key or "").encode(),
        work.incoming.body,
    ):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()
