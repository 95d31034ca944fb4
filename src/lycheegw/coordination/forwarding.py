"""Takes a caller's request from its arrival to the end of its answer."""

import asyncio
from collections.abc import Callable
import hashlib
from typing import NamedTuple

from lycheegw.coordination import forward_attempts
from lycheegw.coordination import pending
from lycheegw.state import errors
from lycheegw.state import forwarded
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import routing

__all__ = ["Codec", "Forwarder"]

_STREAM = routing.RequestKind.STREAM

# How long a request may wait for a process that has just started; it reads the
# store in some ten milliseconds, and a refusal uses up the caller's next try.
_START_HOLD_S = 0.3
# When to come back to a node that does not know its configuration.
_NOT_READY_RETRY_AFTER_S = 1.0


class Codec(NamedTuple):
    """How callers' headers and refusals are read and written."""

    decode_traits: Callable[[forwarded.IncomingRequest], forwarded.Traits]
    encode_refusal: Callable[[errors.RefusalError], forwarded.Refusal]


class Forwarder:
    """Serves the requests of callers.

    Attributes:
        attempts: Makes the attempts of accepted requests.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        codec: Codec,
        parts: forward_attempts.Parts,
    ):
        self.attempts = forward_attempts.ForwardAttempts(state, parts)
        self._state = state
        self._codec = codec
        self._parts = parts

    async def handle(self, sink: pending.Sink) -> None:
        """Answers one request."""
        end = _End(sink.incoming)
        try:
            await self._wait_until_known()
            end.traits = self._codec.decode_traits(sink.incoming)
            end.served = self._accept(sink, end.traits)
            await self._serve_in_time(end.served)
        except errors.RefusalError as error:
            await self._refuse(sink, end, error)
        except (ConnectionError, asyncio.CancelledError) as error:
            self._note_end(end, "caller_gone", error)
            raise
        else:
            self._note_end(end, "answered", None)

    async def _wait_until_known(self) -> None:
        """Holds requests that come before a process has read anything."""
        until_s = self._now_s() + _START_HOLD_S
        while not self._parts.is_known() and self._now_s() < until_s:
            await self._state.environment.sleep(forward_attempts.HOLD_POLL_S)

    def _accept(
        self, sink: pending.Sink, traits: forwarded.Traits
    ) -> pending.Pending:
        """Returns a request with its route; raises errors.RefusalError."""
        manifest = self._parts.directory.manifest
        if manifest is None:
            raise errors.RefusalError(
                reasons.RefusalReason.NOT_READY,
                "no configuration yet",
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        route = manifest.find_route(traits.host, traits.path)
        if route is None:
            raise self._not_allowed(
                reasons.RefusalReason.UNKNOWN_ROUTE, "no such route"
            )
        organisation = self._organisation(manifest, route, traits)
        if route.kind is _STREAM and self._parts.is_closing():
            # It could not end before the process does.
            raise errors.RefusalError(
                reasons.RefusalReason.SHUTTING_DOWN,
                "the node goes down",
                retry_after_s=forward_attempts.MIN_RETRY_AFTER_S,
            )
        work = forwarded.ForwardedWork(sink.incoming, traits, route)
        return pending.Pending(
            _request(work, organisation),
            work,
            self._service(manifest, route),
            sink,
            pending.Progress(work),
        )

    def _organisation(
        self,
        manifest: routing.Manifest,
        route: routing.Route,
        traits: forwarded.Traits,
    ) -> routing.Organisation | None:
        """Returns whose request it is; raises errors.RefusalError."""
        if manifest.organisation_by_key is None or route.is_public:
            return None
        organisation = manifest.organisation_by_key.get(traits.api_key or "")
        if organisation is None:
            raise self._not_allowed(
                reasons.RefusalReason.UNAUTHENTICATED, "no such API key"
            )
        return organisation

    def _not_allowed(
        self, reason: reasons.RefusalReason, message: str
    ) -> errors.RefusalError:
        """Returns a refusal for what the configuration does not have.

        A node that hears nothing of the store can't know what was added.
        """
        if self._parts.directory.is_store_silent:
            return errors.RefusalError(
                reasons.RefusalReason.NOT_READY,
                f"{message}, as far as an old configuration tells",
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        return errors.RefusalError(reason, message)

    def _service(
        self, manifest: routing.Manifest, route: routing.Route
    ) -> routing.Service:
        """Returns the service that gets a request, by weight."""
        names = [each.service for each in route.backends]
        weights = [max(0.0, each.weight) for each in route.backends]
        if not any(weights):
            weights = [1.0] * len(names)
        (name,) = self._state.environment.random.choices(names, weights)
        service = manifest.service_by_name.get(name)
        if service is None:
            raise errors.RefusalError(
                reasons.RefusalReason.UNKNOWN_SERVICE,
                f"the configuration has no service {name}",
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        return service

    async def _serve_in_time(self, served: pending.Pending) -> None:
        """Serves a request until its deadline; raises RefusalError."""
        left_s = max(0.001, served.request.deadline_s - self._now_s())
        try:
            async with asyncio.timeout(left_s):
                await self.attempts.serve(served)
        except TimeoutError:
            raise errors.RefusalError(
                reasons.RefusalReason.DEADLINE_PASSED,
                f"no whole answer in {left_s:.2f} s",
                served.progress.verdict_now(),
                forward_attempts.MIN_RETRY_AFTER_S,
            ) from None

    async def _refuse(
        self, sink: pending.Sink, end: "_End", error: errors.RefusalError
    ) -> None:
        """Ends a request without a whole answer of an upstream."""
        if end.served is not None:
            verdict = end.served.progress.verdict_now()
            error.verdict = error.verdict.worse(verdict)
        self._state.counters.add(f"refusal.{error.reason.value}")
        self._note_end(end, "refused", error)
        if sink.is_started:
            sink.abort()
            return
        await sink.send(self._codec.encode_refusal(error))

    def _note_end(
        self, end: "_End", outcome: str, error: BaseException | None
    ) -> None:
        """Counts and logs how a request ended."""
        taken_s = self._now_s() - end.incoming.received_s
        self._state.counters.add(f"requests.{outcome}")
        fields: dict[str, object] = {"taken_s": round(taken_s, 3)}
        if end.traits is not None:
            fields["request_id"] = end.traits.request_id
        if end.served is not None:
            self._parts.observe(outcome, end.served.request.kind, taken_s)
            fields |= _progress_fields(end.served)
        if isinstance(error, errors.RefusalError):
            fields |= {
                "reason": error.reason.value,
                "run": error.verdict.value,
                "message": str(error),
            }
        manifest = self._parts.directory.manifest
        if manifest is not None:
            fields["manifest"] = manifest.version
        self._parts.note(outcome, **fields)

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


class _End:
    """What is known of a request when it ends, wherever that is.

    Attributes:
        incoming: What was read.
        traits: What its headers say, None where they can't be read.
        served: The request, None where it was not accepted.
    """

    def __init__(self, incoming: forwarded.IncomingRequest):
        self.incoming = incoming
        self.traits: forwarded.Traits | None = None
        self.served: pending.Pending | None = None


def _progress_fields(served: pending.Pending) -> dict[str, object]:
    """Returns what the last line of a request tells of its attempts."""
    progress = served.progress
    return {
        "route": served.request.kind,
        "attempts": progress.sends,
        "upstream": progress.upstream,
        "model": progress.model,
        "head_s": round(progress.head_s, 3),
        "confidence": progress.confidence,
        "events": progress.events,
    }


def _request(
    work: forwarded.ForwardedWork, organisation: routing.Organisation | None
) -> requests.Request:
    """Returns what the policies of all requests look at."""
    route, traits = work.route, work.traits
    left_s = route.timeout_s
    if traits.time_left_s is not None:
        left_s = min(left_s, traits.time_left_s)
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
    )


def _fingerprint(work: forwarded.ForwardedWork) -> str:
    """Returns a hash that is equal for requests that a caller sends again."""
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
