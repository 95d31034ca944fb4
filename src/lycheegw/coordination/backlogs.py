"""How long upstreams still read the prompts that nodes have sent them.

What an upstream says of its load counts requests, and a prompt may take a
thousand times as long as another. Each node adds up the reading time of the
prompts that it has sent and that are not answered yet, and tells the others,
so that all see the same backlogs.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
from typing import NamedTuple

from lycheegw.coordination import seams
from lycheegw.state import node_state

__all__ = ["Backlogs", "Claim", "Codec"]

_TOPIC = "backlogs"
# Changes below this wait for the next heartbeat: some prompts of the smallest
# model, or half a long one of the largest.
_TOLD_STEP_S = 0.05
# Least time between two claims of a node that do not wait for a heartbeat,
# for each node of the fleet, and its least value: each is a frame on every
# link, and passed on by all.
_TOLD_GAP_S_PER_NODE = 0.015
_LEAST_TOLD_GAP_S = 0.1
# Most claims in a frame; the others go with the next ones.
_MAX_CLAIMS = 16
# A claim that is not empty is told again after this long, and one of a node
# that was not heard of for longer is dropped.
_REFRESH_S = 1.0
_EXPIRES_S = 3.0


class Claim(NamedTuple):
    """What one process has sent and not seen answered.

    Attributes:
        node_id: Node of the process.
        started_ms: Unix millisecond of its start.
        sequence: Grows with each claim of a process.
        age_s: Seconds since it was made.
        seconds_by_upstream: Reading time of the prompts by upstream id.
    """

    node_id: str
    started_ms: int
    sequence: int
    age_s: float
    seconds_by_upstream: Mapping[str, float]


class Codec(NamedTuple):
    """How claims are written and read."""

    encode: Callable[[list[Claim]], bytes]
    decode: Callable[[bytes], list[Claim]]


class _Heard(NamedTuple):
    """A claim and the monotonic second at which it was made."""

    claim: Claim
    made_s: float


class Backlogs:
    """The backlogs of all upstreams as this node knows them."""

    def __init__(
        self,
        state: node_state.NodeState,
        peers: seams.PeerBus,
        codec: Codec,
        nudge: Callable[[], None],
    ):
        self._state = state
        self._codec = codec
        self._nudge = nudge
        self._own_id = state.identity.node_id
        self._started_ms = int(state.environment.wall_s() * 1000)
        self._sequence = 0
        self._own_by_upstream: dict[str, float] = {}
        self._heard_by_node: dict[str, _Heard] = {}
        self._told_by_neighbour: dict[str, dict[str, tuple[int, int]]] = {}
        peers.on_delta(_TOPIC, self._lacking, self._merge)

    def forget_neighbour(self, neighbour: str) -> None:
        """Takes a neighbour to know nothing, since its link is new."""
        self._told_by_neighbour.pop(neighbour, None)

    @contextlib.contextmanager
    def hold(self, upstream_id: str, seconds: float) -> Iterator[None]:
        """Counts a prompt at an upstream while it is not answered."""
        self._add(upstream_id, seconds)
        try:
            yield
        finally:
            self._add(upstream_id, -seconds)

    def wait_s(self, upstream_id: str) -> float:
        """Returns how long an upstream takes for the prompts that it has."""
        now_s = self._now_s()
        others_s = sum(
            heard.claim.seconds_by_upstream.get(upstream_id, 0.0)
            for heard in self._heard_by_node.values()
            if heard.claim.node_id != self._own_id
            and now_s - heard.made_s < _EXPIRES_S
        )
        return self._own_by_upstream.get(upstream_id, 0.0) + others_s

    def longest_s(self) -> float:
        """Returns the longest backlog of the upstreams that are listed."""
        ids = self._state.upstreams.by_id
        return max((self.wait_s(each) for each in ids), default=0.0)

    def _add(self, upstream_id: str, seconds: float) -> None:
        total_s = self._own_by_upstream.get(upstream_id, 0.0) + seconds
        if total_s < 1e-6:
            self._own_by_upstream.pop(upstream_id, None)
        else:
            self._own_by_upstream[upstream_id] = total_s
        heard = self._heard_by_node.get(self._own_id)
        gap_s = max(
            _LEAST_TOLD_GAP_S, _TOLD_GAP_S_PER_NODE * len(self._heard_by_node)
        )
        if heard is not None and self._now_s() - heard.made_s < gap_s:
            return
        if self._difference_s() >= _TOLD_STEP_S:
            self._make_claim()
            self._nudge()

    def _difference_s(self) -> float:
        """Returns by how much the own backlogs differ from what was told."""
        heard = self._heard_by_node.get(self._own_id)
        told = heard.claim.seconds_by_upstream if heard is not None else {}
        own = self._own_by_upstream
        return max(
            (
                abs(own.get(each, 0.0) - told.get(each, 0.0))
                for each in {*own, *told}
            ),
            default=0.0,
        )

    def _make_claim(self) -> None:
        self._sequence += 1
        claim = Claim(
            self._own_id,
            self._started_ms,
            self._sequence,
            0.0,
            dict(self._own_by_upstream),
        )
        self._heard_by_node[self._own_id] = _Heard(claim, self._now_s())

    def _lacking(self, neighbour: str) -> bytes | None:
        """Returns the claims that a neighbour lacks."""
        now_s = self._now_s()
        own = self._heard_by_node.get(self._own_id)
        is_due = own is None or now_s - own.made_s > _REFRESH_S
        is_empty = not self._own_by_upstream
        if self._difference_s() > 0 or (is_due and not is_empty):
            self._make_claim()
        told = self._told_by_neighbour.setdefault(neighbour, {})
        claims: list[Claim] = []
        for node_id, heard in self._oldest_first():
            if len(claims) >= _MAX_CLAIMS:
                break
            age_s = now_s - heard.made_s
            if age_s > _EXPIRES_S and node_id != self._own_id:
                del self._heard_by_node[node_id]
            elif told.get(node_id, (0, 0)) < _version(heard.claim):
                told[node_id] = _version(heard.claim)
                claims.append(heard.claim._replace(age_s=age_s))
        return self._codec.encode(claims) if claims else None

    def _oldest_first(self) -> list[tuple[str, _Heard]]:
        """Returns the own claim and then the others, the oldest first."""
        return sorted(
            self._heard_by_node.items(),
            key=lambda item: (item[0] != self._own_id, item[1].made_s),
        )

    def _merge(self, neighbour: str, payload: bytes) -> None:
        told = self._told_by_neighbour.setdefault(neighbour, {})
        now_s = self._now_s()
        for claim in self._codec.decode(payload):
            version = _version(claim)
            told[claim.node_id] = max(told.get(claim.node_id, (0, 0)), version)
            known = self._heard_by_node.get(claim.node_id)
            if claim.node_id == self._own_id or (
                known is not None and _version(known.claim) >= version
            ):
                continue
            self._heard_by_node[claim.node_id] = _Heard(
                claim, now_s - claim.age_s
            )

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _version(claim: Claim) -> tuple[int, int]:
    return claim.started_ms, claim.sequence
