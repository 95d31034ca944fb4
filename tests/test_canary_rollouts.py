"""Canary roll-outs of several nodes that exchange counts, without a network."""

import math

import hypothesis
from hypothesis import strategies

from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import directory
from lycheegw.protocol import rollout_codec
from lycheegw.state import orders
from lycheegw.state import tallies
from tests import fakes

ORDER = orders.RolloutOrder("m", "v2", 24.0)


class Fleet:
    """Nodes that carry out one roll-out under a manual clock."""

    def __init__(self, count: int):
        self.clock = fakes.ManualClock()
        self.peers = [
            fakes.FakePeerBus(f"n{number}") for number in range(count)
        ]
        self.rollouts = []
        self.directories = []
        for peer in self.peers:
            peer.others = [each for each in self.peers if each is not peer]
            state = fakes.node(self.clock, peer.node_id)
            known = directory.Directory(
                state, None, {}, 1.2, lambda *_, **__: None
            )
            known.rollout_by_service["m"] = directory.KnownRollout(
                ORDER, 7, self.clock.now_s
            )
            self.directories.append(known)
            self.rollouts.append(
                canary_rollouts.CanaryRollouts(
                    state,
                    known,
                    peer,
                    rollout_codec.CODEC,
                    lambda: fakes.BOUNDS,
                    lambda: None,
                    lambda *_, **__: None,
                )
            )

    def tick(self) -> None:
        """Lets each node decide and send updates to the others."""
        for known, rollout in zip(self.directories, self.rollouts, strict=True):
            rollout._report_tallies()
            rollout._decide(known.rollout_by_service["m"])
            rollout._set_own_status(known.rollout_by_service["m"])
        for peer in self.peers:
            peer.send_deltas()

    def serve(self, number: int, request: int, is_target_bad: bool) -> bool:
        """Serves a request at a node; returns whether the target got it."""
        rollout = self.rollouts[number]
        wants = rollout.wants_target("m", f"r{request}", f"p{request % 40}")
        version = "v2" if wants else "v1"
        rollout.note_sent("m", version)
        if wants and is_target_bad and request % 2:
            rollout.note_failed("m", version, f"u{request % 5}")
        else:
            rollout.note_answer("m", version, 0.2)
        rollout.note_ended("m", version)
        return bool(wants)


def _serve_whole_rollout(
    nodes: int, bad_from_s: float, requests_per_s: int = 30
) -> tuple[Fleet, int, int]:
    """Returns the fleet, the requests at the target and all requests."""
    fleet = Fleet(nodes)
    exposed = request = 0
    begun_s = fleet.clock.now_s
    while fleet.clock.now_s - begun_s < ORDER.duration_s:
        fleet.clock.now_s += 1 / requests_per_s
        request += 1
        is_bad = fleet.clock.now_s - begun_s >= bad_from_s
        exposed += fleet.serve(request % nodes, request, is_bad)
        if request % 15 == 0:
            fleet.tick()
    return fleet, exposed, request


@hypothesis.given(
    nodes=strategies.integers(1, 9),
    bad_from_s=strategies.sampled_from([0.0, 3.0, 8.0, 12.5, 14.0]),
)
@hypothesis.settings(max_examples=20, deadline=None)
def test_requests_at_a_bad_version_stay_within_the_exposure_bound(
    nodes: int, bad_from_s: float
) -> None:
    """rollout_bad, errors, late: at the start, as a canary, on the ramp."""
    fleet, exposed, total = _serve_whole_rollout(nodes, bad_from_s)
    assert (
        exposed
        <= fakes.BOUNDS.exposure_share * total + fakes.BOUNDS.exposure_slack
    )
    fleet.tick()
    assert all(each.share("m") == 0.0 for each in fleet.rollouts)


def test_good_version_gets_everything_before_the_end() -> None:
    fleet, _, _ = _serve_whole_rollout(4, math.inf)
    assert all(each.share("m") == 1.0 for each in fleet.rollouts)


def test_requests_with_the_same_prompt_move_together_on_the_ramp() -> None:
    """scale: each shared prompt is prefilled once at the new upstreams."""
    fleet = Fleet(2)
    begun_s = fleet.clock.now_s
    for request in range(600):
        fleet.clock.now_s = begun_s + request * 0.02
        fleet.serve(request % 2, request, False)
    fleet.tick()
    fleet.clock.now_s = begun_s + 12.1
    fleet.rollouts[0].share("m")
    fleet.clock.now_s += 2.0
    wants_by_prompt: dict[str, list[bool]] = {}
    for request in range(4000):
        prompt = f"p{request % 40}"
        wants = fleet.rollouts[0].wants_target("m", f"x{request}", prompt)
        wants_by_prompt.setdefault(prompt, []).append(bool(wants))
    shares = [sum(each) / len(each) for each in wants_by_prompt.values()]
    assert all(share < 0.25 or share == 1.0 for share in shares)
    assert 0.2 < sum(share == 1.0 for share in shares) / 40 < 0.8


@hypothesis.given(
    keys=strategies.lists(strategies.text(max_size=5), min_size=1)
)
def test_keys_sent_to_the_target_stay_on_it(
    keys: list[str],
) -> None:
    """A growing share never moves a session back to the old version."""
    fleet = Fleet(1)
    rollout = fleet.rollouts[0]
    for request in range(400):
        fleet.serve(0, request, False)
    before: set[str] = set()
    for _ in range(20):
        fleet.clock.now_s += 1.0
        now = {key for key in keys if rollout.wants_target("m", key, key)}
        assert before <= now
        before = now


def test_single_failing_upstream_does_not_reject_its_version() -> None:
    """srv_grey: the other upstreams of the version answer well."""
    others = tallies.TallySums(200, 200, 2, 0, 0.0, 0, frozenset())
    one = tallies.TallySums(60, 60, 10, 0, 0.0, 0, frozenset({"u1"}))
    two = one._replace(failing_upstreams=frozenset({"u1", "u2"}))
    assert canary_rollouts.rejection_reason(one, others) is None
    assert canary_rollouts.rejection_reason(two, others) == "failures"


def test_failures_common_to_all_versions_reject_none() -> None:
    """error_share: old and new versions fail one request in seven."""
    others = tallies.TallySums(400, 400, 56, 0, 0.0, 0, frozenset({"u1", "u2"}))
    target = tallies.TallySums(60, 60, 10, 0, 0.0, 0, frozenset({"u3", "u4"}))
    assert canary_rollouts.rejection_reason(target, others) is None


def test_slow_version_is_rejected() -> None:
    """rollout_bad, slow: eight times the usual times, requests of all sizes."""
    times = [0.05, 0.1, 0.2, 0.4, 1.0] * 4
    logs = sum(math.log(each) for each in times)
    slow = sum(math.log(8 * each) for each in times)
    others = tallies.TallySums(20, 20, 0, 20, logs, 0, frozenset())
    target = tallies.TallySums(20, 20, 0, 20, slow, 0, frozenset())
    assert canary_rollouts.rejection_reason(target, others) == "slow"
    assert canary_rollouts.rejection_reason(others, others) is None


def test_canary_version_does_not_replace_all_others() -> None:
    """cold_return: the old upstreams are cold and the target has capacity."""
    fleet = Fleet(1)
    rollout = fleet.rollouts[0]
    sent = 0
    while rollout.allows_version("m", "v2") and sent < 1000:
        rollout.note_sent("m", "v2")
        sent += 1
    assert 0 < sent <= fakes.BOUNDS.exposure_slack
    for _ in range(2000):
        rollout.note_sent("m", "v1")
    assert rollout.allows_version("m", "v2")
    assert rollout.allows_version("m", "v1")


def test_version_slow_only_under_load_is_rejected_by_its_pace() -> None:
    """rollout_bad, slow: in the canary phase the target has little load.

    Its time to the first byte equals that of the old version under load; the
    time between its events does not.
    """
    logs = 100 * math.log(0.2)
    others = tallies.TallySums(
        100, 100, 0, 100, logs, 0, frozenset(), 60, 60 * math.log(0.035)
    )
    target = tallies.TallySums(
        16,
        12,
        0,
        12,
        12 * math.log(0.16),
        0,
        frozenset(),
        5,
        5 * math.log(0.13),
    )
    assert canary_rollouts.rejection_reason(target, others) == "slow pace"
    good = target._replace(log_pace_sum=5 * math.log(0.03))
    assert canary_rollouts.rejection_reason(good, others) is None


def test_attempts_without_an_answer_count_as_slow() -> None:
    """Else only the fast answers of a slow version would be counted."""
    fleet = Fleet(1)
    rollout = fleet.rollouts[0]
    for _ in range(30):
        rollout.note_sent("m", "v1")
        rollout.note_answer("m", "v1", 0.2)
        rollout.note_sent("m", "v2")
        rollout.note_first_byte_timeout("m", "v2", 1.5)
    fleet.tick()
    rollout._evaluate("m")
    assert rollout.share("m") == 0.0
