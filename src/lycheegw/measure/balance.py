"""Measures how late heads come in fleets of 7 to 186 nodes, in simulated time.

The router's balancer chooses by what its node knows. It is compared with an
oracle that knows all queues and caches, and with the least connections of each
node, as proxies choose that don't know of each other. Upstreams prefill one
prompt at a time and cache shared parts.
"""

import collections
from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import response_times
from lycheegw.measure import backlog_fleet
from lycheegw.measure import report
from lycheegw.state import forwarded_requests
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = ["Lateness", "run", "simulate"]

# Nodes, upstreams and zones of each size.
_SIZES = ((7, 6, 1), (76, 63, 5), (186, 156, 5))
_WARM_UP_S, _SECONDS = 4.0, 5.0
# Prompts as in the sheet of the large deployment: a shared part that one of
# many subjects has, an own part, and two models.
_SUBJECTS = 649
_SHARED_TOKENS_LOG_MEAN, _SHARED_TOKENS_LOG_DEVIATION = 9.1, 0.7
_OWN_TOKENS_LOG_MEAN, _OWN_TOKENS_LOG_DEVIATION = 7.8, 1.0
_SMALL_MODEL, _LARGE_MODEL = "small", "large"
_SMALL_MODEL_SHARE = 0.6
_TOKENS_PER_S = {_SMALL_MODEL: 214_000, _LARGE_MODEL: 21_400}
_CACHE_TOKENS = 447_000
_CROSS_ZONE_PENALTY_S = 0.1
# A wait is avoidable if another upstream had less than this to do.
_FREE_S, _LONG_WAIT_S, _LATE_S = 0.1, 1.0, 3.0
_TENTH = 0.1

_ENGINE = routing.Engine(24, _CACHE_TOKENS, {})
_SERVICE = routing.Service("m", "/", 0, 0.0, 0.0, _ENGINE)
_ROUTE = routing.Route(
    "ask",
    "h",
    "/",
    routing.RequestKind.STREAM,
    12.0,
    _LATE_S,
    0.8,
    0,
    3,
    True,
    True,
    (_SMALL_MODEL, _LARGE_MODEL),
    (routing.Backend("m", 1.0),),
)


class Lateness(NamedTuple):
    """When heads came.

    Attributes:
        late_share: Share of the attempts whose head came later than 3 s.
        late_share_of_largest: The same of the tenth with most tokens.
        p50_s: Median of the times to the head.
        p99_s: 99th percentile of these times.
        avoidable_wait_share: Share of the attempts that waited for over 1 s
            while another upstream had next to nothing to do.
    """

    late_share: float
    late_share_of_largest: float
    p50_s: float
    p99_s: float
    avoidable_wait_share: float


class _Prompt(NamedTuple):
    model: str
    subject: int
    shared_tokens: int
    own_tokens: int

    @property
    def tokens(self) -> int:
        return self.shared_tokens + self.own_tokens


class _Sent(NamedTuple):
    tokens: int
    head_s: float
    is_avoidable: bool


class _Upstream:
    """Prefills prompts in order of arrival, and caches shared parts."""

    def __init__(self) -> None:
        self.free_s = 0.0
        self._tokens_by_part: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0

    def wait_s(self, now_s: float) -> float:
        return max(0.0, self.free_s - now_s)

    def prefill_s(self, prompt: _Prompt) -> float:
        is_cached = (prompt.model, prompt.subject) in self._tokens_by_part
        tokens = prompt.own_tokens if is_cached else prompt.tokens
        return tokens / _TOKENS_PER_S[prompt.model]

    def take(self, now_s: float, prompt: _Prompt) -> float:
        """Queues a prompt; returns the time to its head."""
        head_s = self.wait_s(now_s) + self.prefill_s(prompt)
        self.free_s = now_s + head_s
        key = (prompt.model, prompt.subject)
        self._cached_tokens -= self._tokens_by_part.pop(key, 0)
        self._tokens_by_part[key] = prompt.shared_tokens
        self._cached_tokens += prompt.shared_tokens
        while self._cached_tokens > _CACHE_TOKENS:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._cached_tokens -= tokens
        return head_s


class _Unrestricted:
    """Directory, roll-outs, rates, notices and zones without a restriction."""

    closed_zones: frozenset[str] = frozenset()

    def __getattr__(self, name: str) -> Callable[..., Any]:
        result_by_name: dict[str, Any] = {
            "wants_target": None,
            "limit_per_s": None,
            "pause_s": 0.0,
            "unreachable": frozenset(),
            "allows_version": True,
            "may_send": True,
        }
        return lambda *_: result_by_name.get(name, False)


class _Run:
    """A fleet whose attempts are placed by one policy."""

    def __init__(
        self,
        policy: str,
        nodes: int,
        upstream_count: int,
        zones: int,
        seed: int,
    ):
        self.fleet = backlog_fleet.BacklogFleet(
            nodes, upstream_count, zones, seed
        )
        self.fleet.draw_attempt = self._draw
        self.sent: list[_Sent] = []
        self._policy = policy
        self._random = random.Random(seed)
        self._upstream_by_id = {
            each: _Upstream() for each in self.fleet.zone_by_upstream
        }
        self._outstanding: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._router_by_node: dict[
            int, tuple[balancing.Balancer, response_times.ResponseTimes]
        ] = {}
        generator = random.Random(seed)
        self._shared_tokens = [
            int(
                generator.lognormvariate(
                    _SHARED_TOKENS_LOG_MEAN, _SHARED_TOKENS_LOG_DEVIATION
                )
            )
            for _ in range(_SUBJECTS)
        ]

    def _now_s(self) -> float:
        return self.fleet.environment.monotonic_s()

    def _draw_prompt(self) -> _Prompt:
        is_small = self._random.random() < _SMALL_MODEL_SHARE
        subject = self._random.randrange(_SUBJECTS)
        own = self._random.lognormvariate(
            _OWN_TOKENS_LOG_MEAN, _OWN_TOKENS_LOG_DEVIATION
        )
        return _Prompt(
            _SMALL_MODEL if is_small else _LARGE_MODEL,
            subject,
            self._shared_tokens[subject],
            int(own) + 1,
        )

    def _draw(self, node: backlog_fleet.Node) -> backlog_fleet.Attempt:
        prompt, now_s = self._draw_prompt(), self._now_s()
        if self._policy == "router":
            upstream_id, expected_s, note_head = self._route(node, prompt)
        else:
            upstream_id = self._place(node, prompt)
            expected_s, note_head = 0.0, lambda _: None
        upstream = self._upstream_by_id[upstream_id]
        is_long = upstream.wait_s(now_s) > _LONG_WAIT_S
        is_avoidable = is_long and any(
            each.wait_s(now_s) < _FREE_S
            for each in self._upstream_by_id.values()
        )
        head_s = upstream.take(now_s, prompt)
        self.sent.append(_Sent(prompt.tokens, head_s, is_avoidable))

        key = (id(node), upstream_id)
        self._outstanding[key] += 1

        def end() -> None:
            self._outstanding[key] -= 1
            note_head(head_s)

        return backlog_fleet.Attempt(upstream_id, expected_s, head_s, end)

    def _place(self, node: backlog_fleet.Node, prompt: _Prompt) -> str:
        """Returns the upstream that the oracle or the counts tell."""
        now_s = self._now_s()

        def cost(upstream_id: str) -> tuple[float, float]:
            upstream = self._upstream_by_id[upstream_id]
            is_local = self.fleet.zone_by_upstream[upstream_id] == node.zone
            tie = self._random.random()
            if self._policy == "least connections":
                return float(self._outstanding[id(node), upstream_id]), tie
            head_s = upstream.wait_s(now_s) + upstream.prefill_s(prompt)
            return head_s + (0.0 if is_local else _CROSS_ZONE_PENALTY_S), tie

        return min(self._upstream_by_id, key=cost)

    def _route(
        self, node: backlog_fleet.Node, prompt: _Prompt
    ) -> tuple[str, float, Callable[[float], None]]:
        """Returns the router's choice, what it expects, and a listener."""
        balancer, times = self._router(node)
        parts = (
            forwarded_requests.PromptPart(
                f"s{prompt.subject}", prompt.shared_tokens
            ),
            forwarded_requests.PromptPart("own", prompt.own_tokens),
        )
        traits = forwarded_requests.RequestTraits(
            "r",
            "h",
            "/",
            None,
            None,
            prompt.model,
            False,
            parts,
            prompt.tokens,
            1,
            None,
            None,
        )
        incoming = forwarded_requests.IncomingRequest(
            b"POST", b"/", (), b"", 0.0, True
        )
        work = forwarded_requests.ForwardedWork(incoming, traits, _ROUTE)
        request = requests.Request(
            "r", "", "ask", work, None, None, 0.0, 0, None, True, ""
        )
        choice = balancer.choose(request, work, _SERVICE, prompt.model, set())
        if not isinstance(choice, balancing.Choice):
            raise AssertionError("each upstream may get the attempt")

        def note_head(head_s: float) -> None:
            times.note_first_byte(
                _SERVICE.name, prompt.model, prompt.tokens, head_s
            )

        return choice.upstream.entry.host_id, choice.prefill_s, note_head

    def _router(
        self, node: backlog_fleet.Node
    ) -> tuple[balancing.Balancer, response_times.ResponseTimes]:
        if id(node) not in self._router_by_node:
            node.state.upstreams.replace_entries(
                upstreams.HostEntry(
                    host_id,
                    upstreams.HostRole.ENGINE,
                    _SERVICE.name,
                    "127.0.0.1:1",
                    zone,
                    False,
                    False,
                )
                for host_id, zone in self.fleet.zone_by_upstream.items()
            )
            times = response_times.ResponseTimes()
            restrictions: Any = _Unrestricted()
            self._router_by_node[id(node)] = (
                balancing.Balancer(
                    node.state,
                    restrictions,
                    restrictions,
                    restrictions,
                    restrictions,
                    lambda _: True,
                    restrictions,
                    times,
                    node.backlogs,
                ),
                times,
            )
        return self._router_by_node[id(node)]


def simulate(
    policy: str,
    size: tuple[int, int, int],
    seed: int,
    seconds: float = _SECONDS,
) -> Lateness:
    """Returns the lateness of a fleet.

    Args:
        policy: "router", "oracle" or "least connections".
        size: Nodes, upstreams and zones.
        seed: Seed of the prompts.
        seconds: Simulated time that is measured.
    """
    simulation = _Run(policy, *size, seed)
    simulation.fleet.run(_WARM_UP_S, seconds)
    sent = simulation.sent
    # The prompts of the warm-up teach the nodes.
    sent = sent[int(len(sent) * _WARM_UP_S / (_WARM_UP_S + seconds)) :]
    heads_s = sorted(each.head_s for each in sent)
    by_tokens = sorted(sent, key=lambda each: each.tokens)
    largest = by_tokens[int(len(by_tokens) * (1 - _TENTH)) :]
    return Lateness(
        sum(each.head_s > _LATE_S for each in sent) / len(sent),
        sum(each.head_s > _LATE_S for each in largest) / len(largest),
        heads_s[len(heads_s) // 2],
        heads_s[int(len(heads_s) * 0.99)],
        sum(each.is_avoidable for each in sent) / len(sent),
    )


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings for fleets of several sizes."""
    figures: dict[str, float] = {}
    baseline: dict[str, float] = {}
    for size in _SIZES:
        router, oracle, counts = (
            simulate(policy, size, seed, _SECONDS * scale)
            for policy in ("router", "oracle", "least connections")
        )
        for name in Lateness._fields:
            figure = f"{name}_{size[0]}"
            figures[figure] = getattr(router, name)
            baseline[figure] = getattr(counts, name)
            figures[f"oracle_{figure}"] = getattr(oracle, name)
        figures[f"late_of_largest_to_oracle_{size[0]}"] = (
            router.late_share_of_largest + 0.001
        ) / (oracle.late_share_of_largest + 0.001)
    return report.Findings(figures, "least connections", baseline)
