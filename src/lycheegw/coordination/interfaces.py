"""Interfaces of the systems around a node that coordination uses.

Each is implemented by one adapter module of the transport layer.
"""

from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import Protocol

from lycheegw.state import forwarded_requests
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
    "RelayClient",
    "RelayedPart",
    "ReportClient",
    "StreamedFrames",
    "TokenStream",
    "UpstreamClient",
    "UpstreamOrder",
    "WeightsClient",
]


class NewEntry(NamedTuple):
    """An entry to append; repeated appends have the same `entry_id`."""

    entry_id: str
    data: Mapping[str, Any]


class AppendedEntry(NamedTuple):
    """An entry of the log, with its offset and the log's wall-clock time."""

    offset: int
    at_s: float
    entry_id: str
    data: Mapping[str, Any]


class LogPage(NamedTuple):
    """The result of a read of the log.

    Attributes:
        first: First offset that the log still holds.
        next: Offset of the next append.
        entries: Entries from the requested offset on, in order.
    """

    first: int
    next: int
    entries: Sequence[AppendedEntry]


class LogClient(Protocol):
    """The platform's append-only log service."""

    async def append(self, stream: str, entries: Sequence[NewEntry]) -> int:
        """Appends entries as one batch; returns the first offset.

        Raises:
            errors.LogUnavailableError: The append was not confirmed;
                `may_have_applied` tells whether it may have taken effect.
        """

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> LogPage:
        """Reads entries from `start` on; waits up to `wait_s` for the first.

        Raises:
            errors.LogUnavailableError: The log did not respond.
        """


class ForwardAttempt(NamedTuple):
    """One attempt to forward a request.

    Attributes:
        work: The request.
        upstream: The upstream to send it to.
        organisation: The requesting organisation, empty on a public route.
        model: Model chosen by the router, None if the client chose it.
        time_left_s: Returns the time that the upstream has for it.
        last_event: Id of the last event that the client received, if the
            router resumes a stream.
        urgency: 0 (first) to 9 (last), None for the upstream's default.
        max_connections: Limit of this node's connections to the upstream.
        may_send: Returns whether the request may still be sent. It is called
            once a connection is open, immediately before the first byte.
        answered: Keys of the upstream processes that responded to the request
            on a connection that was kept; the client adds to them.
    """

    work: forwarded_requests.ForwardedWork
    upstream: upstreams.HostEntry
    organisation: str
    model: str | None
    time_left_s: Callable[[], float]
    last_event: str | None
    urgency: int | None
    max_connections: int
    may_send: Callable[[], bool]
    answered: set[str]


class ForwardCall(Protocol):
    """A request that was sent to an upstream."""

    async def head(self) -> forwarded_requests.ResponseHead:
        """Returns the response head.

        Raises:
            errors.UpstreamError: No valid response head was received.
        """

    async def read(self) -> bytes | None:
        """Returns the next bytes of the body, None at its end.

        Raises:
            errors.UpstreamError: The response broke off.
        """

    @property
    def trailing_data(self) -> bytes:
        """Bytes that were received after the end of the response."""

    def finish(self) -> None:
        """Ends a call whose response was read completely."""

    def abort(self) -> None:
        """Cancels a call; the upstream stops working on it."""


class ForwardClient(Protocol):
    """Forwards requests byte for byte."""

    def has_capacity(self, entry: upstreams.HostEntry, limit: int) -> bool:
        """Returns whether a request needs no more than `limit` connections."""

    async def send(self, attempt: ForwardAttempt) -> ForwardCall:
        """Sends a request.

        Raises:
            errors.UpstreamError: The request was not sent.
        """


class RelayedPart(NamedTuple):
    """A part of the response that a peer sends for a relayed request.

    Attributes:
        status: HTTP status in the first part, 0 in the others.
        headers: Headers of the response, in the first part.
        content_length: Length of the body, None if it isn't known.
        data: Next bytes of the body.
        is_end: Whether the response is complete.
        is_declined: Whether the peer has not run the request and will not.
    """

    status: int = 0
    headers: forwarded_requests.Headers = ()
    content_length: int | None = None
    data: bytes = b""
    is_end: bool = False
    is_declined: bool = False


class RelayClient(Protocol):
    """Sends requests to peers that serve them in this node's place."""

    def relay(
        self,
        node_id: str,
        incoming: forwarded_requests.IncomingRequest,
        time_left_s: float,
    ) -> AsyncGenerator[RelayedPart, None]:
        """Yields the parts of the response.

        Raises:
            errors.PeerUnavailableError: The request was not sent.
            errors.PeerLostError: The peer may have run the request.
        """


class KeyedStore(Protocol):
    """A shared store of topics that keep the newest record of each key."""

    async def newest(self, topic: topics.Topic) -> topics.TopicPage:
        """Returns the newest record of every key.

        Raises:
            errors.StoreError: The store did not respond.
        """

    async def changes(
        self,
        topic: topics.Topic,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> topics.TopicPage:
        """Returns records from `offset` on; waits up to `wait_s` for the first.

        A short reply must arrive within `timeout_s` besides, None for the
        client's own limit; a long one may take longer.

        Raises:
            errors.StoreHistoryLostError: They are no longer kept.
            errors.StoreError: The store did not respond.
        """

    async def put(
        self,
        topic: topics.Topic,
        key: str,
        value: bytes,
        expected_end: int | None,
    ) -> topics.Position:
        """Writes the newest record of a key; returns its position.

        A record of a later era than that of this node's copy was written
        without regard to `expected_end`, which was the end in another era.

        Args:
            topic: The topic to write to.
            key: The key.
            value: Its new value.
            expected_end: End offset that the topic must have, None for any.

        Raises:
            errors.StoreConflictError: The topic has another end offset.
            errors.StoreError: The write failed or its outcome is unknown.
        """


class HostsClient(Protocol):
    """The platform's list of hosts, which may be outdated."""

    async def list_hosts(self) -> Sequence[upstreams.HostEntry]:
        """Returns the hosts on the list.

        Raises:
            errors.PlatformError: Reading the list failed.
        """


class GenerateCall(NamedTuple):
    """One attempt of a model call.

    Attributes:
        request_id: Echoed by the upstream in every frame.
        model: Name of the model.
        version: Requested version.
        messages: Chat messages.
        max_tokens: Limit of the whole answer in tokens.
        priority: 0 (first) to 9 (last).
        prefix: Text that the client already received; the answer resumes
            after it.
        prefix_tokens: Number of tokens in `prefix`.
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
    """Complete frames that were read from a token stream at once.

    Attributes:
        payload: Token frames, encoded as the client receives them.
        tokens: Number of token frames.
        is_end: Whether the end marker was read.
        confidence: The engine's estimate of the answer's quality, None
            before the end.
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
            errors.UpstreamError: The stream broke, stalled, or belongs to
                another request.
        """

    def text(self) -> str:
        """Returns the text of all frames read."""

    def close(self) -> None:
        """Closes the stream; the engine cancels the request if it runs."""


class OperationCall(NamedTuple):
    """One attempt of a service call; the response echoes `request_id`."""

    request_id: str
    operation: str
    payload: Any
    idempotency_key: str | None
    is_idempotent: bool
    may_be_empty: bool


class UpstreamOrder(NamedTuple):
    """An order to load or unload versions, as an absolute target.

    Attributes:
        versions: Versions that the upstream has to have loaded.
        fencing: Fencing number: offset of the lease for this order.
    """

    versions: frozenset[str]
    fencing: int


class ReportClient(Protocol):
    """Reads load reports of upstreams."""

    async def report(
        self, target: upstreams.HostEntry, timeout_s: float
    ) -> upstreams.LoadReport:
        """Reads the load report of an upstream.

        Raises:
            errors.UpstreamError: No report was received.
        """


class UpstreamClient(ReportClient, Protocol):
    """Sends calls and orders to model engines and plain services."""

    async def generate(
        self, target: upstreams.HostEntry, call: GenerateCall, timeout_s: float
    ) -> TokenStream:
        """Sends a model call; returns once the response head is checked.

        Raises:
            errors.UpstreamError: It failed; has the verdict on the attempt.
        """

    async def operate(
        self, target: upstreams.HostEntry, call: OperationCall, timeout_s: float
    ) -> Any:
        """Sends a service call; returns the checked JSON response.

        Raises:
            errors.UpstreamError: It failed; has the verdict on the attempt.
        """

    async def order(
        self,
        target: upstreams.HostEntry,
        order: UpstreamOrder,
        timeout_s: float,
    ) -> None:
        """Sends an order; returns once the upstream accepted it.

        Raises:
            errors.UpstreamError: The order was refused, or its outcome is
                unknown.
        """


class AnswerSink(Protocol):
    """The client's connection, as the receiver of one answer."""

    async def start(self, head: requests.AnswerMetadata) -> None:
        """Starts a streamed answer."""

    async def write(self, payload: bytes) -> None:
        """Sends frames to the client.

        Raises:
            errors.RefusalError: The client closed the connection.
        """

    async def finish(self, totals: requests.AnswerTotals) -> None:
        """Ends a complete streamed answer with totals and end marker."""


class RatedAnswer(NamedTuple):
    """A complete answer, submitted to the rating service.

    Attributes:
        request_id: Identifier of the request.
        organisation: The requesting organisation.
        kind: Kind of request.
        model: Model that answered.
        version: Version that answered.
        confidence: The engine's estimate of its quality, 0 to 1.
        is_delivered: Whether the client received this answer.
        text: Text of the answer.
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
    """The rating of one answer, with the fields that were submitted."""

    request_id: str
    organisation: str
    kind: str
    model: str
    version: str
    confidence: float
    is_delivered: bool
    is_good: bool


class RatingsClient(Protocol):
    """The platform's rating service.

    It is slow and sometimes unavailable, and rates only part of the answers.
    """

    async def submit(self, answers: Sequence[RatedAnswer]) -> None:
        """Submits answers.

        Raises:
            errors.PlatformError: The service did not accept them.
        """

    async def read(self, start: int) -> tuple[int, Sequence[Rating]]:
        """Returns the next position and the ratings from `start` on.

        Raises:
            errors.PlatformError: The service did not respond.
        """


class WeightsClient(Protocol):
    """The platform's rate-limited weight store."""

    async def reserve(self, model: str, version: str) -> float:
        """Reserves a fetch; returns the seconds to wait, 0 if it may start.

        Raises:
            errors.PlatformError: The store did not respond.
        """


CallHandler = Callable[[str, bytes], Awaitable[bytes]]
DeltaSource = Callable[[str], bytes | None]
DeltaTarget = Callable[[str, bytes], None]


class PeerBus(Protocol):
    """Authenticated messages between the nodes.

    A topic names the component that a message is for. Payloads are serialized
    protobuf messages of that component.
    """

    def live_nodes(self, zone: str | None = None) -> Sequence[str]:
        """Returns the ids of live nodes, this one included, sorted."""

    async def call(
        self, node_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Sends a message to one node; returns its reply.

        Raises:
            errors.PeerUnavailableError: No reply was received; the node may
                have handled the message.
        """

    def on_call(self, topic: str, handler: CallHandler) -> None:
        """Registers handler(sender id, payload), which answers calls."""

    def on_delta(
        self, topic: str, source: DeltaSource, target: DeltaTarget
    ) -> None:
        """Exchanges deltas with each neighbour at each heartbeat.

        source(neighbour id) returns the delta to send or None;
        target(neighbour id, payload) merges a received delta.
        """
