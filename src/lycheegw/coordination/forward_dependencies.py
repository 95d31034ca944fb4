"""The collaborators that requests and their attempts need."""

from collections.abc import Callable
from typing import NamedTuple

from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import directory
from lycheegw.coordination import freshness
from lycheegw.coordination import interfaces
from lycheegw.coordination import relays
from lycheegw.coordination import retry_budgets
from lycheegw.coordination import shared_rates
from lycheegw.coordination import suspects
from lycheegw.coordination import upstream_notices
from lycheegw.coordination import upstream_reach
from lycheegw.coordination import zone_reachability
from lycheegw.coordination.load import backlogs
from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import request_admission
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import speeds

__all__ = ["Dependencies"]


class Dependencies(NamedTuple):
    """The collaborators needed to serve requests.

    Attributes:
        directory: Manifest and operator orders in force.
        balancer: Selects upstreams.
        timings: Expected response times.
        backlogs: Outstanding prefill work of upstreams.
        speeds: How fast each upstream is.
        admission: Judges requests to model services by the load.
        late_worth: Worth of a late answer, as a part of one in time.
        rates: Rate limits of upstreams that all nodes share.
        budgets: Limits retries.
        rollouts: Selects the version of a request.
        suspects: Requests whose upstreams crashed.
        notices: What upstreams announced about themselves.
        client: Sends requests to upstreams.
        reachability: Detects unreachable zones.
        reach: Tells whether this node is cut off from all upstreams.
        relays: Lets peers serve requests while it is.
        is_store_read: Returns whether the store was ever read.
        is_closing: Returns whether the process is shutting down.
        time_to_stop_s: Returns the seconds until it aborts what still runs,
            infinity unless it is shutting down.
        member_count: Returns how many nodes share a limit.
        refresh_upstreams: Requests an early read of the list of upstreams.
        list_age_s: Returns the age of the list of upstreams.
        freshness: Bounds the age of the orders and the list of upstreams.
        note: Writes a line to the event log.
        observe: Adds a time to a histogram, by name and label.
    """

    directory: directory.Directory
    balancer: balancing.Balancer
    timings: response_times.ResponseTimes
    backlogs: backlogs.Backlogs
    speeds: speeds.Speeds
    admission: request_admission.RequestAdmission
    late_worth: float
    rates: shared_rates.SharedRates
    budgets: retry_budgets.RetryBudgets
    rollouts: canary_rollouts.CanaryRollouts
    suspects: suspects.Suspects
    notices: upstream_notices.UpstreamNotices
    client: interfaces.ForwardClient
    reachability: zone_reachability.ZoneReachability
    reach: upstream_reach.UpstreamReach
    relays: relays.Relays
    is_store_read: Callable[[], bool]
    is_closing: Callable[[], bool]
    time_to_stop_s: Callable[[], float]
    member_count: Callable[[], int]
    refresh_upstreams: Callable[[], None]
    list_age_s: Callable[[], float]
    freshness: freshness.Freshness
    note: Callable[..., None]
    observe: Callable[[str, str, float], None]
