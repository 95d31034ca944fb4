"""Checks of upstreams whose connections broke."""

import asyncio

from lycheegw.coordination import crash_checks
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from tests import fakes


class _Client:
    """Probes of upstreams, of which some are away and some are silent."""

    def __init__(self, away: set[str], silent: set[str]):
        self.away = away
        self.silent = silent
        self.probed: list[str] = []

    async def report(
        self, target: upstreams.HostEntry, timeout_s: float
    ) -> upstreams.LoadReport:
        self.probed.append(target.host_id)
        await asyncio.sleep(0)
        for ids, reason in (
            (self.away, reasons.RetryReason.CONNECT_FAILED),
            (self.silent, reasons.RetryReason.HEAD_TIMEOUT),
        ):
            if target.host_id in ids:
                raise errors.UpstreamError(
                    reason, "no report", verdicts.RunVerdict.NOT_RUN
                )
        return fakes.load_report(fakes.ManualClock(), 1.0)


class _Zone:
    """A node, and upstreams u0 to u3 of one zone."""

    def __init__(self, away: set[str], silent: set[str], crashed: set[str]):
        state = fakes.node(fakes.ManualClock(), "n")
        for number in range(4):
            fakes.add_upstream(state, f"u{number}")
        self.by_id = state.upstreams.by_id
        self.client = _Client(away, silent)
        self.checker = crash_checks.CrashChecker(
            state, self.client, lambda: crashed
        )

    async def check(self, upstream_id: str) -> crash_checks.Finding:
        return await self.checker.check(self.by_id[upstream_id], 1.0)


# Guards against crashes that are left out, since a request that crashes the
# upstreams of a zone one by one makes the zone look lost.
async def test_upstreams_that_crashed_before_do_not_make_a_zone_lost() -> None:
    zone = _Zone({"u0", "u1", "u2", "u3"}, set(), {"u1", "u2", "u3"})
    assert await zone.check("u0") is crash_checks.Finding.CRASHED


async def test_zone_whose_upstreams_are_away_at_once_is_lost() -> None:
    zone = _Zone({"u0", "u1", "u2", "u3"}, set(), set())
    assert await zone.check("u0") is crash_checks.Finding.ZONE_DOWN


async def test_silent_upstream_has_not_crashed() -> None:
    zone = _Zone(set(), {"u0"}, set())
    assert await zone.check("u0") is crash_checks.Finding.NOT_CRASHED


async def test_failures_at_the_same_time_share_one_check() -> None:
    zone = _Zone({"u0"}, set(), set())
    findings = await asyncio.gather(*(zone.check("u0") for _ in range(20)))
    assert set(findings) == {crash_checks.Finding.CRASHED}
    assert zone.client.probed.count("u0") == 1
