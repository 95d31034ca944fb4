"""What upstream processes announce, and the gossip of their limits."""

import pytest

from lycheegw.coordination import upstream_notices
from lycheegw.protocol import notice_codec
from lycheegw.state import forwarded_requests
from lycheegw.state import run_evidence
from lycheegw.state import upstreams
from tests import fakes


def _head(
    status: int = 200,
    retry_after_s: float | None = None,
    limit_per_s: float | None = None,
    is_attributed: bool = True,
    is_leaving: bool = False,
) -> forwarded_requests.ResponseHead:
    return forwarded_requests.ResponseHead(
        status=status,
        headers=(),
        content_length=0,
        echoed_ids=frozenset({"a"}),
        is_signed=status == 200,
        mark=run_evidence.Mark.ABSENT
        if status == 200
        else run_evidence.Mark.NOT_RUN,
        is_encoded=False,
        confidence=None,
        running=None,
        waiting=None,
        slots=None,
        instance=None,
        cold_s=None,
        retry_after_s=retry_after_s,
        keep_alive_s=None,
        is_leaving=is_leaving,
        rate_limit_per_s=limit_per_s,
        is_attributed=is_attributed,
    )


class _Node:
    """The notices of one node, and the upstream that they are about."""

    def __init__(self, clock: fakes.ManualClock, node_id: str):
        self.clock = clock
        self.state = fakes.node(clock, node_id)
        self.bus = fakes.FakePeerBus(node_id)
        self.upstream = fakes.add_upstream(self.state, "u")
        self.left: list[upstreams.Upstream] = []
        self.notices = upstream_notices.UpstreamNotices(
            self.state,
            self.bus,
            notice_codec.CODEC,
            lambda: None,
            lambda *_, **__: None,
            self.left.append,
        )

    @property
    def limit_per_s(self) -> float | None:
        return self.notices.limit_per_s(self.upstream)

    def note(
        self, head: forwarded_requests.ResponseHead, sent_s: float | None = None
    ) -> None:
        sent_s = self.clock.now_s if sent_s is None else sent_s
        self.notices.note_response(self.upstream, head, sent_s)


@pytest.fixture
def nodes() -> list[_Node]:
    clock = fakes.ManualClock()
    found = [_Node(clock, node_id) for node_id in ("n1", "n2")]
    found[0].bus.others = [found[1].bus]
    found[1].bus.others = [found[0].bus]
    return found


def test_response_to_an_earlier_request_does_not_end_a_limit(
    nodes: list[_Node],
) -> None:
    """A slow response may have been made before the limit was announced."""
    node, _ = nodes
    sent_s = node.clock.now_s
    node.clock.now_s += 1.0
    node.note(_head(limit_per_s=1.5))
    node.clock.now_s += 1.0
    node.note(_head(), sent_s)
    assert node.limit_per_s == 1.5
    node.note(_head())
    assert node.limit_per_s is None


def test_rejection_without_the_limit_does_not_end_it(
    nodes: list[_Node],
) -> None:
    node, _ = nodes
    node.note(_head(limit_per_s=1.5))
    node.clock.now_s += 1.0
    node.note(_head(status=503))
    assert node.limit_per_s == 1.5


def test_limit_and_its_end_are_gossiped(nodes: list[_Node]) -> None:
    first, second = nodes
    first.note(_head(limit_per_s=0.0))
    first.bus.send_deltas()
    assert second.limit_per_s == 0.0
    first.clock.now_s += 5.0
    first.note(_head())
    first.bus.send_deltas()
    assert second.limit_per_s is None
    # An older word that comes back by another way changes nothing.
    second.bus.send_deltas()
    assert first.limit_per_s is None


def test_gossip_of_an_end_does_not_undo_a_limit_heard_since(
    nodes: list[_Node],
) -> None:
    first, second = nodes
    first.note(_head(limit_per_s=2.0))
    first.bus.send_deltas()
    first.clock.now_s += 5.0
    first.note(_head())
    first.clock.now_s += 0.2
    second.note(_head(limit_per_s=2.0))
    first.bus.send_deltas()
    assert second.limit_per_s == 2.0
    second.bus.send_deltas()
    assert first.limit_per_s == 2.0


def test_new_neighbour_gets_limits_and_known_ones_are_not_repeated(
    nodes: list[_Node],
) -> None:
    first, _ = nodes
    first.note(_head(limit_per_s=2.0))
    source = first.notices._encode_unknown_limits
    assert source("n2") is not None
    assert source("n2") is None
    first.notices.forget_neighbour("n2")
    assert source("n2") is not None


def test_pause_is_bounded_and_belongs_to_one_process(
    nodes: list[_Node],
) -> None:
    node, _ = nodes
    node.note(_head(status=503, retry_after_s=1e9))
    assert 300 <= node.notices.pause_s(node.upstream) <= 330
    restarted = upstreams.Upstream(
        node.upstream.entry._replace(started_ms=2000)
    )
    assert node.notices.pause_s(restarted) == 0
    node.note(_head(status=503, retry_after_s=1.0))
    assert node.notices.pause_s(node.upstream) >= 300


@pytest.mark.parametrize(
    "head",
    [
        _head(status=421, is_leaving=True, limit_per_s=1.0),
        _head(
            status=503, is_leaving=True, retry_after_s=5, is_attributed=False
        ),
    ],
)
def test_response_of_another_process_or_request_announces_nothing(
    nodes: list[_Node], head: forwarded_requests.ResponseHead
) -> None:
    node, _ = nodes
    node.note(head)
    assert not node.notices.is_leaving(node.upstream)
    assert not node.notices.pause_s(node.upstream)
    assert node.limit_per_s is None
    assert not node.left


def test_leaving_is_reported_once(nodes: list[_Node]) -> None:
    node, _ = nodes
    for _ in range(3):
        node.note(_head(is_leaving=True))
    node.note(_head())
    assert node.notices.is_leaving(node.upstream)
    assert node.left == [node.upstream]


def test_malformed_headers_are_logged_once_a_change(
    nodes: list[_Node], caplog: pytest.LogCaptureFixture
) -> None:
    node, _ = nodes
    odd = _head()._replace(malformed_headers=("server-limit",))
    for head in (odd, odd, odd, _head(), _head(), odd, odd):
        node.note(head)
    assert len(caplog.records) == 3
    name = "upstreams.malformed_notice"
    assert node.state.counters.by_name[name] == 5
