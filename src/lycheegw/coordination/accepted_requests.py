"""The data, progress and response sink of an accepted request."""

from typing import NamedTuple
from typing import Protocol

from lycheegw.coordination import held_answers
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import memory_budget
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import verdicts

__all__ = [
    "AcceptedRequest",
    "HttpStatusError",
    "Progress",
    "ResponseSink",
    "WholeAnswer",
]


class ResponseSink(Protocol):
    """Where the response to one request is written.

    Attributes:
        incoming: The request.
        is_started: Whether the response head was sent.
        memory: What the request and its response take.
    """

    incoming: forwarded_requests.IncomingRequest
    is_started: bool
    memory: memory_budget.Reservation

    async def send(self, refusal: forwarded_requests.LocalResponse) -> None:
        """Sends a refusal by the router as the whole response."""

    async def start(
        self,
        status: int,
        headers: forwarded_requests.Headers,
        content_length: int | None,
    ) -> None:
        """Sends the response head."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the response body."""

    async def finish(self) -> None:
        """Ends a response that is complete."""

    def abort(self) -> None:
        """Closes the connection so that the client sees a broken response."""


class WholeAnswer(NamedTuple):
    """A complete response of an upstream, possibly an error."""

    head: forwarded_requests.ResponseHead
    body: bytes


class HttpStatusError(errors.UpstreamError):
    """An error response of an upstream, kept in case it is forwarded."""

    def __init__(self, answer: WholeAnswer):
        super().__init__(
            reasons.RetryReason.SERVER_ERROR,
            f"status {answer.head.status}",
            verdicts.RunVerdict.RAN,
        )
        self.answer = answer


class Progress:
    """The state of a request over all its attempts.

    Attributes:
        runs: Verdict over all attempts, by upstreams or peers.
        rejection_count: Attempts that upstreams rejected without running them.
        attempt_count: Attempts of any kind.
        sent_count: Attempts that may have reached an upstream.
        tried: Ids of upstreams that failed the request.
        answered: Keys of the upstream processes that responded on a connection
            that was kept.
        last_event: Id of the last event that was forwarded.
        event_count: Number of events that were forwarded.
        version: Version of the upstream that began the stream.
        upstream: Id of the last attempt's upstream.
        model: Model of the last attempt.
        urgency: Urgency of the last attempt at its upstream.
        hold_start_s: Monotonic time at which admission first held the request
            back, None if it never did.
        is_error_forwarded: Whether an upstream's error response was sent.
        attempt_start_s: Monotonic time at which the last attempt began.
        send_delay_s: Seconds from `attempt_start_s` to the first byte sent.
        list_age_s: Age of the list of upstreams when that byte was sent.
        status: HTTP status of the last response, 0 before the first one.
        evidence: What the last attempt's response says about a run, for the
            log; empty before it.
        is_relay_declined: Whether no peer took the request.
        unreached: Ids of upstreams that could not be reached.
        head_s: Seconds from `attempt_start_s` to the response head.
        confidence: Confidence that the last model reported.
        held_answer: Answer of the model before, None without one.
    """

    def __init__(self, work: forwarded_requests.ForwardedWork) -> None:
        self.runs = verdicts.RunLedger()
        self.rejection_count = 0
        self.attempt_count = 0
        self.sent_count = 0
        self.tried: set[str] = set()
        self.answered: set[str] = set()
        self.last_event = work.traits.last_event
        self.event_count = 0
        self.version: str | None = None
        self.upstream = ""
        self.model: str | None = None
        self.urgency: int | None = None
        self.hold_start_s: float | None = None
        self.is_error_forwarded = False
        self.attempt_start_s = 0.0
        self.send_delay_s = 0.0
        self.list_age_s = 0.0
        self.status = 0
        self.evidence = ""
        self.is_relay_declined = False
        self.unreached: set[str] = set()
        self.head_s = 0.0
        self.confidence: float | None = None
        self.held_answer: held_answers.HeldAnswer | None = None


class AcceptedRequest(NamedTuple):
    """An accepted request.

    Attributes:
        request: Properties that the policies of all requests use.
        work: Bytes to forward, and their route.
        service: Service that handles the request.
        sink: Where the response is written.
        progress: State of its attempts.
    """

    request: requests.Request
    work: forwarded_requests.ForwardedWork
    service: routing.Service
    sink: ResponseSink
    progress: Progress
