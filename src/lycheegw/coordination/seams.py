"""The seams through which coordination meets the systems around a node.

Each is implemented by one adapter module of the transport layer.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import Protocol

from lycheegw.state import forwarded
from lycheegw.state import requests
from lycheegw.state import topics
from lycheegw.state import upstreams

__all__ = [
    "AnswerSink",
    "AppendedEntry",
    "ForwardAttempt",
    "ForwardCall",
    "ForwardClient",
    "GenerateCall",
    "HostsClient",
    "KeyedStore",
    "LogClient",
    "LogPage",
    "NewEntry",
    "OperationCall",
    "PeerBus",
    "RatedAnswer",
    "Rating",
    "RatingsClient",
    "ReportClient",
    "StreamedFrames",
    "TokenStream",
    "UpstreamClient",
    "UpstreamOrder",
    "WeightsClient",
]


class NewEntry(NamedTuple):
    """An entry to append; equal `entry_id` marks a repeated append."""

    entry_id: str
    data: Mapping[str, Any]


class AppendedEntry(NamedTuple):
    """An entry of the log with its offset and the log's wall second."""

    offset: int
    at_s: float
    entry_id: str
    data: Mapping[str, Any]


class LogPage(NamedTuple):
    """A read of the log.

    Attributes:
        first: First offset that the log still holds.
        next: Offset that the next append gets.
        entries: Entries from the offset asked for, in order.
    """

    first: int
    next: int
    entries: Sequence[AppendedEntry]


class LogClient(Protocol):
    """The platform's append-only log service."""

    async def append(self, stream: str, entries: Sequence[NewEntry]) -> int:
        """Appends entries as one batch; returns the first offset.

        Raises:
            errors.LogUnavailableError: No confirmation came; the append may
                have taken effect as `may_have_applied` says.
        """

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> LogPage:
        """Reads entries from `start`; waits up to `wait_s` for the first.

        Raises:
            errors.LogUnavailableError: The log did not answer.
        """


class ForwardAttempt(NamedTuple):
    """One attempt at passing a request on.

    Attributes:
        work: The request.
        upstream: Where it goes.
        organisation: Whose request it is, empty on a public route.
        model: Model that the router names, None where the caller did.
        time_left_s: How long the upstream may work on it.
        last_event: Id of the last event that the caller has, where the
            router resumes a stream.
        urgency: 0 (first) to 9 (last), None for the upstream's default.
        max_connections: Bound on this node's connections to the upstream.
    """

    work: forwarded.ForwardedWork
    upstream: upstreams.HostEntry
    organisation: str
    model: str | None
    time_left_s: float
    last_event: str | None
    urgency: int | None
    max_connections: int


class ForwardCall(Protocol):
    """A request that was sent to an upstream."""

    async def head(self) -> forwarded.AnswerHead:
        """Returns the head of the answer to this request.

        Raises:
            errors.UpstreamError: There is none.
        """

    async def read(self) -> bytes | None:
        """Returns the next bytes of the body, None at its end.

        Raises:
            errors.UpstreamError: The answer broke off.
        """

    def finish(self) -> None:
        """Ends a call whose answer was read whole."""

    def abort(self) -> None:
        """Ends a call; the upstream stops work on it."""


class ForwardClient(Protocol):
    """Passes requests on byte for byte."""

    async def send(self, attempt: ForwardAttempt) -> ForwardCall:
        """Sends a request.

        Raises:
            errors.UpstreamError: It was not sent.
        """


class KeyedStore(Protocol):
    """Topics that keep the newest record of each key, in a shared store."""

    async def newest(self, topic: topics.Topic) -> topics.TopicPage:
        """Returns the newest record of every key.

        Raises:
            errors.StoreError: The store did not answer.
        """

    async def changes(
        self, topic: topics.Topic, offset: int, wait_s: float
    ) -> topics.TopicPage:
        """Returns the records from an offset on; waits for the first.

        Raises:
            errors.StoreHistoryLostError: They are not kept any more.
            errors.StoreError: The store did not answer.
        """

    async def put(
        self,
        topic: topics.Topic,
        key: str,
        value: bytes,
        expected_end: int | None,
    ) -> int:
        """Writes the newest record of a key; returns its offset.

        Args:
            topic: Where to.
            key: Which one.
            value: Its new value.
            expected_end: Offset at which the topic must end, None for any.

        Raises:
            errors.StoreConflictError: The topic ends elsewhere.
            errors.StoreError: Unknown whether it took effect, or it did not.
        """


class HostsClient(Protocol):
    """The platform's lagging list of hosts."""

    async def list_hosts(self) -> Sequence[upstreams.HostEntry]:
        """Returns the list.

        Raises:
            errors.PlatformError: The list can't be read.
        """


class GenerateCall(NamedTuple):
    """One attempt at a model call.

    Attributes:
        request_id: Echoed by the upstream in every frame.
        model: Name of the model.
        version: Version asked for.
        messages: Chat messages.
        max_tokens: Upper bound of the whole answer in tokens.
        priority: 0 (first) to 9 (last).
        prefix: Text already passed on, to resume after.
        prefix_tokens: Tokens in `prefix`.
    """

    request_id: str
    model: str
    version: str
    messages: Sequence[Mapping[str, Any]]
    max_tokens: int
    priority: int
    prefix: str = ""
    prefix_tokens: int = 0


class StreamedFrames(NamedTuple):
    """Whole frames read from a token stream at once.

    Attributes:
        payload: Token frames as bytes, fit for a caller of the stream.
        tokens: Count of token frames among them.
        is_end: Whether the end marker was among them.
        confidence: The engine's own estimate of the answer, at the end only.
    """

    payload: bytes
    tokens: int
    is_end: bool
    confidence: float | None


class TokenStream(Protocol):
    """A running answer of a model engine."""

    async def read(self) -> StreamedFrames:
        """Returns the next frames.

        Raises:
            errors.UpstreamError: The stream broke, stalled or is another's.
        """

    def text(self) -> str:
        """Returns the text of all frames read."""

    def close(self) -> None:
        """Closes the stream; the engine cancels work that still runs."""


class OperationCall(NamedTuple):
    """One attempt at a service call; its echo is the request id."""

    request_id: str
    operation: str
    payload: Any
    idempotency_key: str | None
    is_idempotent: bool
    may_be_empty: bool


class UpstreamOrder(NamedTuple):
    """An order to load or unload versions, as an absolute target.

    Attributes:
        versions: Versions that the upstream shall hold in the end.
        fencing: Offset of the lease under which the order is sent.
    """

    versions: frozenset[str]
    fencing: int


class ReportClient(Protocol):
    """Upstreams that tell of themselves when asked."""

    async def report(
        self, target: upstreams.HostEntry, timeout_s: float
    ) -> upstreams.LoadReport:
        """Reads the load report of an upstream.

        Raises:
            errors.UpstreamError: No report came.
        """


class UpstreamClient(ReportClient, Protocol):
    """Model engines and plain services."""

    async def generate(
        self, target: upstreams.HostEntry, call: GenerateCall, timeout_s: float
    ) -> TokenStream:
        """Sends a model call; returns once the head of the answer is checked.

        Raises:
            errors.UpstreamError: With the verdict on this attempt.
        """

    async def operate(
        self, target: upstreams.HostEntry, call: OperationCall, timeout_s: float
    ) -> Any:
        """Sends a service call; returns the checked JSON answer.

        Raises:
            errors.UpstreamError: With the verdict on this attempt.
        """

    async def order(
        self,
        target: upstreams.HostEntry,
        order: UpstreamOrder,
        timeout_s: float,
    ) -> None:
        """Sends an order; returns once the upstream took it.

        Raises:
            errors.UpstreamError: Refused (NOT_RUN) or unknown.
        """


class AnswerSink(Protocol):
    """The caller's side of one answer."""

    async def start(self, head: requests.AnswerHead) -> None:
        """Starts a streamed answer."""

    async def write(self, payload: bytes) -> None:
        """Passes frames on.

        Raises:
            errors.RefusalError: The caller is gone.
        """

    async def finish(self, tail: requests.AnswerTail) -> None:
        """Ends a whole streamed answer with its totals and end marker."""


class RatedAnswer(NamedTuple):
    """A whole answer, handed to the rating service.

    Attributes:
        request_id: Identifier of the request.
        organisation: Whose request it is.
        kind: Kind of request.
        model: Model that answered.
        version: Version that answered.
        confidence: The engine's own estimate, 0 to 1.
        is_delivered: Whether the caller got this answer.
        text: The answer.
    """

    request_id: str
    organisation: str
    kind: str
    model: str
    version: str
    confidence: float
    is_delivered: bool
    text: str


class Rating(NamedTuple):
    """What the rating service says of one answer, with what it was told."""

    request_id: str
    organisation: str
    kind: str
    model: str
    version: str
    confidence: float
    is_delivered: bool
    is_good: bool


class RatingsClient(Protocol):
    """The platform's rating service: slow, partial, sometimes down."""

    async def submit(self, answers: Sequence[RatedAnswer]) -> None:
        """Hands answers in.

        Raises:
            errors.PlatformError: The service did not take them.
        """

    async def read(self, start: int) -> tuple[int, Sequence[Rating]]:
        """Returns the next position and the ratings from `start` on.

        Raises:
            errors.PlatformError: The service did not answer.
        """


class WeightsClient(Protocol):
    """The platform's rate-limited weight store."""

    async def reserve(self, model: str, version: str) -> float:
        """Asks for a fetch; returns seconds to wait, 0 for go.

        Raises:
            errors.PlatformError: The store did not answer.
        """


CallHandler = Callable[[str, bytes], Awaitable[bytes]]
DeltaSource = Callable[[str], bytes | None]
DeltaTarget = Callable[[str, bytes], None]


class PeerBus(Protocol):
    """Authenticated messages between the nodes.

    A topic names the part of a node that a message is for. Payloads are
    serialised protobuf messages of that part.
    """

    def live_nodes(self, zone: str | None = None) -> Sequence[str]:
        """Returns ids of nodes held live, this one included, sorted."""

    async def call(
        self, node_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Sends a message to one node; returns its reply.

        Raises:
            errors.PeerUnavailableError: No reply came; it may have been seen.
        """

    def on_call(self, topic: str, handler: CallHandler) -> None:
        """Answers calls on `topic` by handler(sender id, payload)."""

    def on_delta(
        self, topic: str, source: DeltaSource, target: DeltaTarget
    ) -> None:
        """Exchanges deltas on `topic` with each neighbour once a beat.

        source(neighbour id) returns what that neighbour lacks or None;
        target(neighbour id, payload) merges what came from it.
        """
