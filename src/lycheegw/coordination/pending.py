"""A request that is being served: what it is, and how far it has come."""

from typing import NamedTuple
from typing import Protocol

from lycheegw.state import errors
from lycheegw.state import forwarded
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import verdicts

__all__ = ["AnsweredError", "Pending", "Progress", "Sink", "WholeAnswer"]


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


class WholeAnswer(NamedTuple):
    """A whole answer that an upstream gave, a failure perhaps."""

    head: forwarded.AnswerHead
    body: bytes


class AnsweredError(errors.UpstreamError):
    """An upstream's own failure, kept to be passed on."""

    def __init__(self, answer: WholeAnswer):
        super().__init__(
            reasons.RetryReason.SERVER_ERROR,
            f"status {answer.head.status}",
            verdicts.RunVerdict.RAN,
        )
        self.answer = answer


class Progress:
    """How far a request has come.

    Attributes:
        runs: Attempts that may have run.
        rejections: Attempts that upstreams turned down.
        sends: Attempts of any kind.
        arrivals: Attempts that may have reached an upstream.
        is_out: Whether an attempt is with an upstream.
        verdict: Whether an ended attempt may have run.
        tried: Upstreams that failed it.
        last_event: Id of the last event passed on.
        events: Events passed on.
        version: Version whose stream was passed on.
        upstream: Upstream of the last attempt.
        model: Model of the last attempt.
        is_answered: Whether an upstream's failure was passed on.
        begun_s: Monotonic second at which the last attempt went out.
        head_s: Seconds from there to the head of its answer.
        confidence: What the last model said of its answer.
    """

    def __init__(self, work: forwarded.ForwardedWork) -> None:
        self.runs = 0
        self.rejections = 0
        self.sends = 0
        self.arrivals = 0
        self.is_out = False
        self.verdict = verdicts.RunVerdict.NOT_RUN
        self.tried: set[str] = set()
        self.last_event = work.traits.last_event
        self.events = 0
        self.version: str | None = None
        self.upstream = ""
        self.model: str | None = None
        self.is_answered = False
        self.begun_s = 0.0
        self.head_s = 0.0
        self.confidence: float | None = None

    def verdict_now(self) -> verdicts.RunVerdict:
        """Returns the verdict, an attempt that is out included."""
        if self.is_out:
            return self.verdict.worse(verdicts.RunVerdict.MAY_HAVE_RUN)
        return self.verdict


class Pending(NamedTuple):
    """A request that was accepted.

    Attributes:
        request: What the policies of all requests look at.
        work: The bytes to pass on, and their route.
        service: Service that serves it.
        sink: Where its answer goes.
        progress: How far it has come.
    """

    request: requests.Request
    work: forwarded.ForwardedWork
    service: routing.Service
    sink: Sink
    progress: Progress
