"""Tests that counters reach statsd and that all reasons are documented."""

import pathlib
import socket

from lycheegw.state import counters
from lycheegw.state import reasons
from lycheegw.transport import statsd_export

METRICS_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "METRICS.md"


def test_each_increment_is_sent_to_statsd() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        source = counters.Counters()
        statsd_export.attach(f"127.0.0.1:{receiver.getsockname()[1]}", source)
        source.add("refusal.shed", 2)
        assert receiver.recv(100) == b"lycheegw.refusal.shed:2|c"


def test_all_reasons_are_documented() -> None:
    page = METRICS_PAGE.read_text()
    for reason in (*reasons.RefusalReason, *reasons.RetryReason):
        assert f"`{reason.value}`" in page, reason
