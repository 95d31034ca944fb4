"""Relays requests to peers while this node is cut off from all upstreams.

The peer serves a relayed request like one of its own: it authenticates and
routes it and makes all attempts. It never relays it again. This node passes the
response on and cancels the request when its client leaves.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib

from lycheegw.coordination import accepted_requests
from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = ["RelayLimit", "Relays"]

# Peers that are asked, one after the other, until one takes a request.
_MAX_PEERS = 3
# Time for which a peer that declined, or was out of reach, is asked last.
_AVOID_S = 1.0
# Share of a zone's nodes that have to reach upstreams for the others to prefer
# them; fewer would have to carry more than twice their load.
_MIN_LOCAL_SHARE = 0.5
# Relayed requests that a node serves at a time.
_MAX_RELAYED = 64


class RelayLimit:
    """Bounds the relayed requests that this node serves at a time."""

    def __init__(self) -> None:
        self._count = 0

    @property
    def running(self) -> int:
        """Number of relayed requests that are being served."""
        return self._count

    @property
    def is_reached(self) -> bool:
        """Whether no further request is taken."""
        return self._count >= _MAX_RELAYED

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Counts a request while it is served."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1


class Relays:
    """Chooses peers and passes their responses on."""

    def __init__(
        self,
        state: node_state.NodeState,
        client: interfaces.RelayClient,
        live_nodes: Callable[[str | None], Sequence[str]],
        cut_off_nodes: Callable[[], set[str]],
        promises_not_run: Callable[[int], bool],
        note: Callable[..., None],
    ):
        """Creates the relay.

        Args:
            state: State of this node.
            client: Sends requests to peers.
            live_nodes: Returns the live nodes of a zone, or all of them.
            cut_off_nodes: Returns the nodes that can't serve a relayed request,
                as they are cut off from all upstreams themselves.
            promises_not_run: Returns whether callers take a status for a
                promise that their request has not run.
            note: Writes a line to the event log.
        """
        self._state = state
        self._client = client
        self._promises_not_run = promises_not_run
        self._live_nodes = live_nodes
        self._cut_off_nodes = cut_off_nodes
        self._note = note
        self._avoided_until_s_by_id: dict[str, float] = {}

    async def serve(self, accepted: accepted_requests.AcceptedRequest) -> bool:
        """Lets a peer serve a request whose response has not begun.

        Returns whether a peer took it; if none did, it has not run.

        Raises:
            errors.RefusalError: The peer was lost, and may have run it.
        """
        progress = accepted.progress
        for node_id in self._candidates()[:_MAX_PEERS]:
            verdict = progress.runs.verdict
            # The deadline may pass while the peer has the request.
            progress.runs.begin()
            try:
                if await self._serve_by(node_id, accepted, verdict):
                    return True
                progress.runs.end(verdicts.RunVerdict.NOT_RUN)
            except errors.PeerUnavailableError as error:
                progress.runs.end(verdicts.RunVerdict.NOT_RUN)
                self._note_relay(accepted, node_id, "unavailable", str(error))
            except errors.PeerLostError as error:
                progress.runs.end(verdicts.RunVerdict.MAY_HAVE_RUN)
                self._note_relay(accepted, node_id, "lost", str(error))
                if accepted.sink.is_started or not (
                    accepted.request.is_idempotent
                ):
                    raise errors.RefusalError(
                        reasons.RefusalReason.MAY_HAVE_RUN,
                        f"the response by {node_id} broke off",
                        verdicts.RunVerdict.MAY_HAVE_RUN,
                    ) from error
            self._avoid(node_id)
        progress.is_relay_declined = True
        return False

    def _candidates(self) -> list[str]:
        """Returns the peers in the order in which they are asked.

        Those that are cut off come last. Others of the own zone come first, if
        they are enough to share the load of the zone.
        """
        own_id = self._state.identity.node_id
        now_s = self._state.environment.monotonic_s()
        cut_off = self._cut_off_nodes()
        local = set(self._live_nodes(self._state.identity.zone))
        prefers_local = len(
            local - cut_off - {own_id}
        ) >= _MIN_LOCAL_SHARE * len(local)
        ids = [each for each in self._live_nodes(None) if each != own_id]
        self._state.environment.random.shuffle(ids)

        def rank(node_id: str) -> tuple[bool, bool, bool]:
            avoided_until_s = self._avoided_until_s_by_id.get(node_id, 0.0)
            return (
                node_id in cut_off,
                now_s < avoided_until_s,
                prefers_local and node_id not in local,
            )

        return sorted(ids, key=rank)

    def _avoid(self, node_id: str) -> None:
        now_s = self._state.environment.monotonic_s()
        self._avoided_until_s_by_id = {
            each: until_s
            for each, until_s in self._avoided_until_s_by_id.items()
            if until_s > now_s
        }
        self._avoided_until_s_by_id[node_id] = now_s + _AVOID_S

    async def _serve_by(
        self,
        node_id: str,
        accepted: accepted_requests.AcceptedRequest,
        verdict: verdicts.RunVerdict,
    ) -> bool:
        """Passes on the response of a peer; returns whether it took it.

        Args:
            node_id: The peer.
            accepted: The request.
            verdict: Verdict on the attempts before.

        Raises:
            errors.RefusalError: The peer refused as not run what may have run
                before.
        """
        now_s = self._state.environment.monotonic_s()
        parts = self._client.relay(
            node_id,
            accepted.work.incoming,
            max(0.001, accepted.request.deadline_s - now_s),
        )
        async with contextlib.aclosing(parts):
            async for part in parts:
                if part.is_declined and accepted.sink.is_started:
                    raise errors.PeerLostError(
                        f"{node_id} declined after a part of its response"
                    )
                if part.is_declined:
                    self._note_relay(accepted, node_id, "declined")
                    return False
                if (
                    self._promises_not_run(part.status)
                    and verdict is not verdicts.RunVerdict.NOT_RUN
                ):
                    # The peer knows of its own attempts only.
                    accepted.progress.runs.end(verdicts.RunVerdict.NOT_RUN)
                    self._note_relay(accepted, node_id, "refused")
                    raise errors.RefusalError(
                        reasons.RefusalReason.MAY_HAVE_RUN,
                        f"{node_id} refused it with status {part.status}",
                        verdict,
                    )
                if part.status:
                    accepted.progress.upstream = f"node {node_id}"
                    accepted.progress.status = part.status
                    accepted.progress.evidence = ""
                    await accepted.sink.start(
                        part.status, part.headers, part.content_length
                    )
                if part.data:
                    await accepted.sink.write(part.data)
                if part.is_end:
                    await accepted.sink.finish()
                    self._note_relay(accepted, node_id, "answered")
                    return True
        raise errors.PeerLostError(f"{node_id} ended its response early")

    def _note_relay(
        self,
        accepted: accepted_requests.AcceptedRequest,
        node_id: str,
        outcome: str,
        message: str = "",
    ) -> None:
        self._state.counters.add(f"relay.{outcome}")
        self._note(
            "relay",
            request_id=accepted.request.request_id,
            peer=node_id,
            outcome=outcome,
            message=message,
        )
