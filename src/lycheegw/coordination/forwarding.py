"""Passes a caller's request on, from its arrival to its answer."""

import asyncio
from collections.abc import Callable
import hashlib
from typing import NamedTuple
from typing import Protocol

from lycheegw.coordination import balancing
from lycheegw.coordination import cascades
from lycheegw.coordination import cold_rates
from lycheegw.coordination import directory
from lycheegw.coordination import event_streams
from lycheegw.coordination import fleet_rollouts
from lycheegw.coordination import head_times
from lycheegw.coordination import seams
from lycheegw.coordination import shared_budgets
from lycheegw.coordination import suspects
from lycheegw.coordination import waiting_lines
from lycheegw.coordination import zone_reach
from lycheegw.state import errors
from lycheegw.state import forwarded
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import upstreams
from lycheegw.state import verdicts

__all__ = ["Codec", "Forwarder", "Parts", "Sink"]

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN
_RAN = verdicts.RunVerdict.RAN
_STREAM = routing.RequestKind.STREAM
_ONCE = routing.RequestKind.ONCE

# Upstreams that may turn a request down before it is refused; each has to be
# asked in turn, and a busy fleet is not helped by more.
_MAX_REJECTIONS = 3
# How long a request may wait for an upstream that bears no more right now, as
# a share of its objective; beyond this a refusal serves the caller better.
_HOLD_SHARE = 0.125
_HOLD_POLL_S = 0.02
# How long a request may wait for a process that has just started; it reads the
# store in some ten milliseconds, and a refusal uses up the caller's next try.
_START_HOLD_S = 0.3
# When to come back after a refusal, as a share of the objective, and bounds.
_RETRY_AFTER_SHARE = 0.25
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 1.0
# An upstream is given up for silent after this many times the usual time to
# the head, but not before a share of the objective.
_SILENT_FACTOR = 5.0
_SILENT_SHARE_OF_TARGET = {
    routing.RequestKind.IDEMPOTENT: 2.5,
    routing.RequestKind.STREAM: 0.5,
}
# A stream that pauses for this many times the longest good pause has lost its
# upstream; shorter ones come from preemption.
_GAP_FACTOR = 2.5
_MIN_GAP_S = 2.0
# Requests that can't be answered in this time are not begun.
_LEAST_TIME_S = 0.02
# Bodies of answers that are not streams are read whole before they go out, so
# that a broken one can be asked for again.
_MAX_WHOLE_BYTES = 8 * 1024 * 1024
# A service without a connection bound gets this many from each node.
_DEFAULT_CONNECTIONS = 64
# Part of the bound on connections that all nodes together use.
_CONNECTION_SHARE = 0.9


class Sink(Protocol):
    """The caller's side of one answer."""

    incoming: forwarded.IncomingRequest
    is_started: bool

    async def send(self, refusal: forwarded.Refusal) -> None:
        """Sends a whole answer of the router's own."""

    async def start(
        self,
        status: int,
        headers: forwarded.Headers,
        content_length: int | None,
    ) -> None:
        """Sends the head of an answer."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Ends the answer as whole."""

    def abort(self) -> None:
        """Breaks the answer off."""


class Codec(NamedTuple):
    """How callers' headers and refusals are read and written."""

    decode_traits: Callable[[forwarded.IncomingRequest], forwarded.Traits]
    encode_refusal: Callable[[errors.RefusalError], forwarded.Refusal]


class Parts(NamedTuple):
    """What a forwarder asks."""

    directory: directory.Directory
    balancer: balancing.Balancer
    rates: cold_rates.ColdRates
    budgets: shared_budgets.RetryBudgets
    rollouts: fleet_rollouts.FleetRollouts
    suspects: suspects.Suspects
    client: seams.ForwardClient
    reach: zone_reach.ZoneReach
    is_known: Callable[[], bool]
    is_closing: Callable[[], bool]
    members: Callable[[], int]
    note: Callable[..., None]
    observe: Callable[[str, str, float], None]


class _Answer(NamedTuple):
    """A whole answer that an upstream gave, a failure perhaps."""

    head: forwarded.AnswerHead
    body: bytes


class _AnsweredError(errors.UpstreamError):
    """An upstream's own failure, kept to be passed on."""

    def __init__(self, answer: _Answer):
        super().__init__(
            reasons.RetryReason.SERVER_ERROR,
            f"status {answer.head.status}",
            _RAN,
        )
        self.answer = answer


class _Progress:
    """How far a request has come.

    Attributes:
        runs: Attempts that may have run.
        rejections: Attempts that upstreams turned down.
        sends: Attempts of any kind.
        is_out: Whether an attempt is with an upstream.
        verdict: Whether an ended attempt may have run.
        tried: Upstreams that failed it.
        last_event: Id of the last event passed on.
        events: Events passed on.
        version: Version whose stream was passed on.
        upstream: Upstream of the last attempt.
        model: Model of the last attempt.
        answer: The failure of an upstream that was passed on.
        begun_s: Monotonic second at which the last attempt went out.
        head_s: Seconds from there to the head of its answer.
        confidence: What the last model said of its answer.
    """

    def __init__(self, work: forwarded.ForwardedWork) -> None:
        self.runs = 0
        self.rejections = 0
        self.sends = 0
        self.is_out = False
        self.verdict = _NOT_RUN
        self.tried: set[str] = set()
        self.last_event = work.traits.last_event
        self.events = 0
        self.version: str | None = None
        self.upstream = ""
        self.model: str | None = None
        self.answer: _Answer | None = None
        self.begun_s = 0.0
        self.head_s = 0.0
        self.confidence: float | None = None

    def verdict_now(self) -> verdicts.RunVerdict:
        """Returns the verdict, an attempt that is out included."""
        return self.verdict.worse(_MAY_HAVE_RUN if self.is_out else _NOT_RUN)


class Forwarder:
    """Serves the requests of callers."""

    def __init__(self, state: node_state.NodeState, codec: Codec, parts: Parts):
        self._state = state
        self._codec = codec
        self._parts = parts
        self._times = head_times.HeadTimes()
        self._lines = waiting_lines.WaitingLines()

    async def handle(self, sink: Sink) -> None:
        """Answers one request."""
        incoming = sink.incoming
        request: requests.Request | None = None
        progress: _Progress | None = None
        try:
            await self._wait_until_known()
            request, work = self._accept(incoming)
            progress = _Progress(work)
            await self._serve_in_time(request, work, sink, progress)
        except errors.RefusalError as error:
            await self._refuse(sink, incoming, request, progress, error)
        except (ConnectionError, asyncio.CancelledError) as error:
            self._note_end(incoming, request, progress, "caller_gone", error)
            raise
        else:
            self._note_end(incoming, request, progress, "answered", None)

    async def _wait_until_known(self) -> None:
        """Holds requests that come before a process has read anything."""
        until_s = self._now_s() + _START_HOLD_S
        while not self._parts.is_known() and self._now_s() < until_s:
            await self._state.environment.sleep(_HOLD_POLL_S)

    def _accept(
        self, incoming: forwarded.IncomingRequest
    ) -> tuple[requests.Request, forwarded.ForwardedWork]:
        """Returns a request with its route; raises errors.RefusalError."""
        manifest = self._parts.directory.manifest
        if manifest is None:
            raise errors.RefusalError(
                reasons.RefusalReason.NOT_READY,
                "no configuration yet",
                retry_after_s=_MAX_RETRY_AFTER_S,
            )
        traits = self._codec.decode_traits(incoming)
        route = manifest.find_route(traits.host, traits.path)
        if route is None:
            raise self._not_allowed(
                reasons.RefusalReason.UNKNOWN_ROUTE, "no such route"
            )
        organisation = self._organisation(manifest, route, traits)
        work = forwarded.ForwardedWork(incoming, traits, route)
        left_s = route.timeout_s
        if traits.time_left_s is not None:
            left_s = min(left_s, traits.time_left_s)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        kind = route.kind
        if kind is _STREAM and self._parts.is_closing():
            # It could not end before the process does.
            raise errors.RefusalError(
                reasons.RefusalReason.SHUTTING_DOWN,
                "the node goes down",
                retry_after_s=_MIN_RETRY_AFTER_S,
            )
        request = requests.Request(
            traits.request_id,
            organisation.name if organisation is not None else "",
            route.name,
            work,
            traits.session,
            None,
            incoming.received_s + left_s,
            priority,
            None,
            kind is routing.RequestKind.IDEMPOTENT
            or (kind is _STREAM and route.is_resumable),
            _fingerprint(incoming, traits),
        )
        return request, work

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
                retry_after_s=_MAX_RETRY_AFTER_S,
            )
        return errors.RefusalError(reason, message)

    async def _serve_in_time(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        sink: Sink,
        progress: _Progress,
    ) -> None:
        left_s = self._left_s(request)
        try:
            async with asyncio.timeout(left_s):
                await self._serve(request, work, sink, progress)
        except TimeoutError:
            raise errors.RefusalError(
                reasons.RefusalReason.DEADLINE_PASSED,
                f"no whole answer in {left_s:.2f} s",
                progress.verdict_now(),
                _MIN_RETRY_AFTER_S,
            ) from None

    async def _serve(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        sink: Sink,
        progress: _Progress,
    ) -> None:
        """Makes attempts until one is answered."""
        self._parts.suspects.check(request)
        service = self._service(work)
        self._parts.budgets.note_request(service.name)
        progress.model = cascades.first_model(work)
        while True:
            choice = await self._choose(request, work, service, progress)
            try:
                larger = await self._attempt(
                    request, work, sink, progress, choice
                )
            except errors.UpstreamError as error:
                await self._after_failure(
                    request, work, sink, progress, choice, error
                )
                if progress.answer is not None:
                    return
                if not progress.events:
                    progress.model = cascades.model_after_failure(
                        work,
                        progress.model,
                        self._clock(request, work),
                        self._expected(work, service),
                    )
                continue
            self._parts.suspects.note_success(request, choice.upstream)
            if larger is None:
                return
            progress.model = larger
            progress.runs += 1
            progress.tried.clear()

    def _clock(
        self, request: requests.Request, work: forwarded.ForwardedWork
    ) -> cascades.Clock:
        """Returns where a request stands in its time."""
        passed_s = self._now_s() - work.incoming.received_s
        return cascades.Clock(
            work.route.target_s - passed_s, self._left_s(request)
        )

    def _expected(
        self, work: forwarded.ForwardedWork, service: routing.Service
    ) -> cascades.Expected:
        """Returns what tells how long an answer usually takes."""

        def expected(model: str) -> cascades.Duration:
            traits = work.traits
            head_s = self._times.expected_s(
                service.name, model, traits.prompt_tokens
            )
            rest_s = self._times.expected_rest_s(
                service.name, model, traits.max_tokens
            )
            return cascades.Duration(head_s or 0.0, rest_s)

        return expected

    def _service(self, work: forwarded.ForwardedWork) -> routing.Service:
        """Returns the service that gets a request, by weight."""
        manifest = self._parts.directory.manifest
        backends = work.route.backends
        total = sum(max(0.0, each.weight) for each in backends)
        point = self._state.environment.random.random() * total
        name = backends[-1].service
        for backend in backends:
            point -= max(0.0, backend.weight)
            if point < 0:
                name = backend.service
                break
        service = manifest.service_by_name.get(name) if manifest else None
        if service is None:
            raise errors.RefusalError(
                reasons.RefusalReason.UNKNOWN_SERVICE,
                f"the configuration has no service {name}",
                retry_after_s=_MAX_RETRY_AFTER_S,
            )
        return service

    async def _choose(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        service: routing.Service,
        progress: _Progress,
    ) -> balancing.Choice:
        """Returns the upstream of the next attempt.

        Raises:
            errors.RefusalError: There is none.
        """
        if not self._parts.suspects.is_suspect(request):
            return await self._wait_for_choice(request, work, service, progress)
        choices: list[balancing.Choice] = []

        async def choose() -> upstreams.Upstream:
            choices.append(
                await self._wait_for_choice(request, work, service, progress)
            )
            return choices[-1].upstream

        # Other requests must not die beside one that may crash its upstream.
        await self._parts.suspects.choose(request, choose, lambda _: True)
        return choices[-1]

    async def _wait_for_choice(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        service: routing.Service,
        progress: _Progress,
    ) -> balancing.Choice:
        """Returns an upstream; waits a little for one that may get more.

        Raises:
            errors.RefusalError: There is none.
        """
        choice = self._try_to_choose(request, work, service, progress, None)
        if isinstance(choice, balancing.NoUpstream) and choice.known:
            hold_s = _HOLD_SHARE * work.route.target_s
            until_s = self._now_s() + min(hold_s, self._left_s(request))
            with self._lines.wait(service.name, request.priority) as ticket:
                while self._now_s() < until_s:
                    await self._state.environment.sleep(_HOLD_POLL_S)
                    choice = self._try_to_choose(
                        request, work, service, progress, ticket
                    )
                    if isinstance(choice, balancing.Choice):
                        break
        if isinstance(choice, balancing.Choice):
            return choice
        if progress.tried:
            # All that were left failed it; one of them may do better now.
            progress.tried.clear()
            choice = self._parts.balancer.choose(
                request,
                work,
                service,
                progress.model,
                progress.tried,
                progress.version,
            )
            if isinstance(choice, balancing.Choice):
                return choice
        reason = reasons.RefusalReason.NO_UPSTREAM
        if choice.is_cold:
            reason = reasons.RefusalReason.COLD_LIMIT
        raise errors.RefusalError(
            reason,
            f"none of {choice.known} upstreams of {service.name}",
            progress.verdict,
            self._retry_after_s(work),
        )

    def _try_to_choose(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        service: routing.Service,
        progress: _Progress,
        ticket: waiting_lines.Ticket | None,
    ) -> balancing.Choice | balancing.NoUpstream:
        """Returns an upstream unless others in line go first."""
        if not self._lines.may_try(service.name, request.priority, ticket):
            return balancing.NoUpstream(1, True)
        return self._parts.balancer.choose(
            request,
            work,
            service,
            progress.model,
            progress.tried,
            progress.version,
        )

    async def _attempt(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        sink: Sink,
        progress: _Progress,
        choice: balancing.Choice,
    ) -> str | None:
        """Makes one attempt; returns the model to ask instead, if any.

        Raises:
            errors.UpstreamError: It failed.
        """
        upstream, service = choice.upstream, choice.service
        self._note_attempt(request, work, progress, choice)
        call: seams.ForwardCall | None = None
        try:
            call = await self._parts.client.send(
                self._encode(request, work, progress, choice)
            )
            # Before this the request was on no connection.
            progress.is_out = True
            head = await self._head(request, work, progress, call, choice)
            progress.head_s = self._now_s() - progress.begun_s
            progress.confidence = head.confidence
            self._take_load(choice, head)
            await self._check(head, call)
            larger = self._larger_model(request, work, service, progress, head)
            self._note_answer(request, work, choice, progress, larger)
            if larger is not None:
                call.abort()
                return larger
            await self._deliver(work, sink, progress, call, head, upstream)
            call.finish()
            self._note_whole(work, service, progress)
            return None
        except BaseException:
            if call is not None:
                call.abort()
            raise
        finally:
            upstream.in_flight -= 1
            self._parts.rollouts.note_ended(
                service.name, upstream.entry.version
            )

    def _note_attempt(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        progress: _Progress,
        choice: balancing.Choice,
    ) -> None:
        upstream, service = choice.upstream, choice.service
        progress.sends += 1
        progress.begun_s = self._now_s()
        progress.upstream = upstream.entry.host_id
        if progress.sends > 1:
            self._parts.budgets.note_extra(service.name)
        self._parts.rates.note_sent(upstream, service)
        self._parts.rollouts.note_sent(service.name, upstream.entry.version)
        upstream.note_sent()
        self._parts.note(
            "attempt",
            request_id=request.request_id,
            upstream=upstream.entry.host_id,
            version=upstream.entry.version,
            model=progress.model,
            number=progress.sends,
            why=choice.why,
            prompt=balancing.affinity_key(work.traits)[0],
            tokens=work.traits.prompt_tokens,
            load=round(upstream.estimated_load(self._now_s()), 1),
            load_age_s=round(
                min(999.0, upstream.report_age_s(self._now_s())), 2
            ),
            left_s=round(self._left_s(request), 3),
            last_event=progress.last_event,
        )

    def _encode(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        progress: _Progress,
        choice: balancing.Choice,
    ) -> seams.ForwardAttempt:
        return seams.ForwardAttempt(
            work,
            choice.upstream.entry,
            request.organisation,
            progress.model,
            self._left_s(request),
            progress.last_event if progress.events else None,
            None,
            self.connection_limit(choice.service),
        )

    def connection_limit(self, service: routing.Service) -> int:
        """Returns this node's part of the bound on connections."""
        if not service.max_connections:
            return _DEFAULT_CONNECTIONS
        share = _CONNECTION_SHARE * service.max_connections
        return max(1, int(share / max(1, self._parts.members())))

    async def _head(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        progress: _Progress,
        call: seams.ForwardCall,
        choice: balancing.Choice,
    ) -> forwarded.AnswerHead:
        limit_s = self._head_limit_s(request, work, progress, choice)
        try:
            async with asyncio.timeout(limit_s):
                return await call.head()
        except TimeoutError:
            self._times.note_at_least(
                choice.service.name,
                progress.model,
                work.traits.prompt_tokens,
                limit_s or 0.0,
            )
            raise errors.UpstreamError(
                reasons.RetryReason.HEAD_TIMEOUT,
                f"no head in {limit_s:.2f} s",
                _MAY_HAVE_RUN,
                is_silence=True,
            ) from None

    def _head_limit_s(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        progress: _Progress,
        choice: balancing.Choice,
    ) -> float | None:
        """Returns how long an upstream may be silent, None for no limit."""
        if not request.is_idempotent:
            return None
        if progress.runs + 1 >= work.route.max_attempts:
            return None
        kind = work.route.kind
        least_s = _SILENT_SHARE_OF_TARGET[kind] * work.route.target_s
        usual_s = self._times.expected_s(
            choice.service.name, progress.model, work.traits.prompt_tokens
        )
        limit_s = max(least_s, _SILENT_FACTOR * (usual_s or 0.0))
        # Another upstream begins anew; it needs the usual time, too.
        if limit_s + (usual_s or least_s) > self._left_s(request):
            return None
        return limit_s

    def _take_load(
        self, choice: balancing.Choice, head: forwarded.AnswerHead
    ) -> None:
        """Takes what an answer tells of its upstream."""
        upstream = choice.upstream
        now_s = self._now_s()
        upstream.note_reachable()
        upstream.end_doubt(now_s, choice.service.cold_s)
        self._parts.reach.note_answer(upstream.entry.zone)
        if head.cold_s is not None:
            upstream.cold_until_s = now_s + head.cold_s
        if head.running is None or head.waiting is None:
            return
        upstream.take_load(
            upstreams.LoadReport(
                frozenset({upstream.entry.version}),
                head.running,
                head.waiting,
                upstream.entry.started_ms / 1000,
                0,
                now_s,
            )
        )

    async def _check(
        self, head: forwarded.AnswerHead, call: seams.ForwardCall
    ) -> None:
        """Raises errors.UpstreamError for an answer that is not kept."""
        if head.is_not_run:
            await self._drain(call)
            raise errors.UpstreamError(
                reasons.RetryReason.REFUSED,
                f"turned down with status {head.status}",
                _NOT_RUN,
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
            body = await self._read_whole(call)
            call.finish()
            raise _AnsweredError(_Answer(head, body))

    async def _drain(self, call: seams.ForwardCall) -> None:
        """Reads the rest of an answer, so that the connection is kept."""
        await self._read_whole(call)
        call.finish()

    async def _read_whole(self, call: seams.ForwardCall) -> bytes:
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

    def _larger_model(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        service: routing.Service,
        progress: _Progress,
        head: forwarded.AnswerHead,
    ) -> str | None:
        """Returns the model that is to answer instead, None for none."""
        if progress.events or progress.runs + 1 >= work.route.max_attempts:
            return None
        larger = cascades.larger_model(
            work,
            progress.model,
            head.confidence,
            self._clock(request, work),
            self._expected(work, service),
        )
        if larger is None or not self._parts.budgets.has_room(service.name):
            return None
        if self._parts.balancer.is_scarce(service):
            # The place serves another request better.
            return None
        return larger

    def _note_answer(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        choice: balancing.Choice,
        progress: _Progress,
        larger: str | None,
    ) -> None:
        service = choice.service.name
        version = choice.upstream.entry.version
        tokens = work.traits.prompt_tokens
        head_s = progress.head_s
        self._times.note(service, progress.model, tokens, head_s)
        self._parts.rollouts.note_answer(service, version, head_s)
        self._parts.observe("head", work.route.name, head_s)
        if larger is not None:
            self._state.counters.add("retry.low_confidence")
            self._parts.note(
                "answer_not_kept",
                request_id=request.request_id,
                model=progress.model,
                instead=larger,
                confidence=progress.confidence,
                head_s=round(head_s, 3),
            )

    def _note_whole(
        self,
        work: forwarded.ForwardedWork,
        service: routing.Service,
        progress: _Progress,
    ) -> None:
        """Takes the time of a stream that ended whole."""
        if work.route.kind is _STREAM and work.traits.max_tokens:
            rest_s = self._now_s() - progress.begun_s - progress.head_s
            self._times.note_rest(
                service.name, progress.model, work.traits.max_tokens, rest_s
            )

    async def _deliver(
        self,
        work: forwarded.ForwardedWork,
        sink: Sink,
        progress: _Progress,
        call: seams.ForwardCall,
        head: forwarded.AnswerHead,
        upstream: upstreams.Upstream,
    ) -> None:
        """Passes an answer on; raises errors.UpstreamError if it breaks."""
        is_stream = work.route.kind is _STREAM and head.status < 300
        if not is_stream:
            body = await self._read_whole(call)
            progress.is_out = False
            progress.verdict = _RAN
            await sink.start(head.status, head.headers, len(body))
            await sink.write(body)
            await sink.finish()
            return
        await self._deliver_stream(work, sink, progress, call, head, upstream)

    async def _deliver_stream(
        self,
        work: forwarded.ForwardedWork,
        sink: Sink,
        progress: _Progress,
        call: seams.ForwardCall,
        head: forwarded.AnswerHead,
        upstream: upstreams.Upstream,
    ) -> None:
        reader = event_streams.EventReader()
        gap_s = max(_MIN_GAP_S, _GAP_FACTOR * work.route.gap_s)
        while True:
            try:
                async with asyncio.timeout(gap_s):
                    data = await call.read()
            except TimeoutError:
                raise errors.UpstreamError(
                    reasons.RetryReason.TOKEN_GAP,
                    f"no event in {gap_s:.2f} s",
                    _MAY_HAVE_RUN,
                    is_silence=True,
                ) from None
            if data is None:
                break
            for event in reader.feed(data):
                if _is_repeated(event, progress):
                    continue
                if not sink.is_started:
                    progress.version = upstream.entry.version
                    await sink.start(head.status, head.headers, None)
                progress.events += 1
                if event.event_id is not None:
                    progress.last_event = event.event_id
                await sink.write(event.data)
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
        if not sink.is_started:
            await sink.start(head.status, head.headers, None)
        await sink.finish()

    async def _after_failure(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        sink: Sink,
        progress: _Progress,
        choice: balancing.Choice,
        error: errors.UpstreamError,
    ) -> None:
        """Returns where the request goes out again, or was answered.

        Raises:
            errors.RefusalError: It ends here.
        """
        progress.is_out = False
        progress.verdict = progress.verdict.worse(error.verdict)
        if error.verdict is _NOT_RUN:
            progress.rejections += 1
        else:
            progress.runs += 1
        progress.tried.add(choice.upstream.entry.host_id)
        await self._note_failure(request, choice, error, progress.begun_s)
        reason = self._end_reason(request, work, progress, choice, error)
        if reason is None:
            self._state.counters.add(f"retry.{error.reason.value}")
            return
        if isinstance(error, _AnsweredError) and not sink.is_started:
            answer = error.answer
            progress.answer = answer
            await sink.start(
                answer.head.status, answer.head.headers, len(answer.body)
            )
            await sink.write(answer.body)
            await sink.finish()
            return
        raise errors.RefusalError(
            reason,
            f"{progress.sends} attempts, the last: {error}",
            progress.verdict,
            self._retry_after_s(work),
        ) from error

    async def _note_failure(
        self,
        request: requests.Request,
        choice: balancing.Choice,
        error: errors.UpstreamError,
        begun_s: float,
    ) -> None:
        upstream, service = choice.upstream, choice.service
        host_id = upstream.entry.host_id
        now_s = self._now_s()
        self._state.counters.add(f"failure.{error.reason.value}")
        self._parts.note(
            "attempt_failed",
            request_id=request.request_id,
            upstream=host_id,
            version=upstream.entry.version,
            reason=error.reason.value,
            run=error.verdict.value,
            message=str(error),
        )
        if error.reason in _OWN_FAILURES:
            self._parts.rollouts.note_failed(
                service.name, upstream.entry.version, host_id
            )
        if error.reason in _SILENT_REASONS:
            upstream.note_unreachable(now_s)
        if error.is_silence:
            self._parts.reach.note_silent(upstream.entry.zone, host_id)
        if error.reason is reasons.RetryReason.CONNECT_FAILED:
            upstream.take_out(now_s)
            upstream.doubted_s = now_s
        await self._parts.suspects.note_failure(
            request,
            upstream,
            error,
            upstream.entry.started_ms / 1000,
            begun_s,
        )

    def _end_reason(
        self,
        request: requests.Request,
        work: forwarded.ForwardedWork,
        progress: _Progress,
        choice: balancing.Choice,
        error: errors.UpstreamError,
    ) -> reasons.RefusalReason | None:
        """Returns why no attempt follows, None where one does."""
        if progress.events and not work.route.is_resumable:
            return reasons.RefusalReason.STREAM_BROKEN
        if error.verdict is not _NOT_RUN and not request.is_idempotent:
            return reasons.RefusalReason.MAY_HAVE_RUN
        if progress.runs >= work.route.max_attempts:
            return reasons.RefusalReason.ATTEMPTS_EXHAUSTED
        if progress.rejections > _MAX_REJECTIONS:
            return reasons.RefusalReason.SHED
        if self._left_s(request) < _LEAST_TIME_S:
            return reasons.RefusalReason.DEADLINE_TOO_SHORT
        if not self._parts.budgets.has_room(choice.service.name):
            return reasons.RefusalReason.RETRY_BUDGET
        return None

    def _retry_after_s(self, work: forwarded.ForwardedWork) -> float:
        wanted_s = _RETRY_AFTER_SHARE * work.route.target_s
        jitter = 0.75 + self._state.environment.random.random() / 2
        bounded_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wanted_s))
        return bounded_s * jitter

    async def _refuse(
        self,
        sink: Sink,
        incoming: forwarded.IncomingRequest,
        request: requests.Request | None,
        progress: _Progress | None,
        error: errors.RefusalError,
    ) -> None:
        """Ends a request without a whole answer of an upstream."""
        if progress is not None:
            error.verdict = error.verdict.worse(progress.verdict_now())
        self._state.counters.add(f"refusal.{error.reason.value}")
        self._note_end(incoming, request, progress, "refused", error)
        if sink.is_started:
            sink.abort()
            return
        await sink.send(self._codec.encode_refusal(error))

    def _note_end(
        self,
        incoming: forwarded.IncomingRequest,
        request: requests.Request | None,
        progress: _Progress | None,
        outcome: str,
        error: BaseException | None,
    ) -> None:
        taken_s = self._now_s() - incoming.received_s
        self._state.counters.add(f"requests.{outcome}")
        fields: dict[str, object] = {"taken_s": round(taken_s, 3)}
        if request is not None:
            fields["request_id"] = request.request_id
            fields["route"] = request.kind
            self._parts.observe(outcome, request.kind, taken_s)
        if progress is not None:
            fields["attempts"] = progress.sends
            fields["upstream"] = progress.upstream
            fields["model"] = progress.model
            fields["head_s"] = round(progress.head_s, 3)
            fields["confidence"] = progress.confidence
            fields["events"] = progress.events
        if isinstance(error, errors.RefusalError):
            fields["reason"] = error.reason.value
            fields["run"] = error.verdict.value
            fields["message"] = str(error)
        manifest = self._parts.directory.manifest
        if manifest is not None:
            fields["manifest"] = manifest.version
        self._parts.note(outcome, **fields)

    def _left_s(self, request: requests.Request) -> float:
        """Returns seconds until the deadline, never 0."""
        return max(0.001, request.deadline_s - self._now_s())

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


_OWN_FAILURES = frozenset(
    {
        reasons.RetryReason.SERVER_ERROR,
        reasons.RetryReason.MALFORMED,
        reasons.RetryReason.UNSIGNED,
    }
)
_SILENT_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.HEAD_TIMEOUT,
        reasons.RetryReason.TOKEN_GAP,
    }
)


def _fingerprint(
    incoming: forwarded.IncomingRequest, traits: forwarded.Traits
) -> str:
    """Returns a hash that is equal for requests that a caller sends again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        incoming.method,
        incoming.target,
        traits.host.encode(),
        (traits.api_key or "").encode(),
        incoming.body,
    ):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()


def _is_repeated(event: event_streams.Event, progress: _Progress) -> bool:
    """Returns whether a resumed stream sends what was passed on before."""
    last = progress.last_event
    if not progress.events or event.event_id is None or last is None:
        return False
    if event.event_id.isdigit() and last.isdigit():
        return int(event.event_id) <= int(last)
    return event.event_id == last
