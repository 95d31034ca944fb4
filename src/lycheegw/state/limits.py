"""Limits and timeouts of a node and their defaults."""

from typing import NamedTuple

__all__ = ["Limits"]


class Limits(NamedTuple):
    """Limits and timeouts of a node.

    Attributes:
        body_bytes: Maximum size of a request body.
        head_timeout_s: Time within which a response head must arrive, not
            counting the prefill of the prompt.
        token_gap_timeout_s: Maximum time between two tokens of a stream.
        default_deadline_s: Deadline of a request that states none.
        readiness_linger_s: Time from the first failing readiness check until
            a node may exit, in which the load balancer notices.
        cold_limit: Concurrent requests at an upstream that is cold.
        warm_limit: Concurrency at which a cold upstream's limit is lifted.
        warm_up_s: Time before the limit of a cold upstream starts to grow.
        queue_requests: Maximum number of requests that wait for one pool.
        checkpoint_entries: Log entries after which a checkpoint is written.
        prefill_bytes_per_s: Speed of prefill, for the head timeout.
    """

    body_bytes: int = 4 * 1024 * 1024
    connect_timeout_s: float = 1.0
    head_timeout_s: float = 5.0
    token_gap_timeout_s: float = 2.0
    default_deadline_s: float = 60.0
    max_deadline_s: float = 600.0
    hosts_interval_s: float = 1.0
    report_interval_s: float = 0.5
    readiness_linger_s: float = 2.0
    drain_timeout_s: float = 120.0
    http_threads: int = 16
    cold_limit: int = 4
    warm_limit: int = 64
    warm_up_s: float = 30.0
    queue_requests: int = 256
    checkpoint_interval_s: float = 600.0
    checkpoint_entries: int = 100
    lease_term_s: float = 10.0
    prefill_bytes_per_s: float = 20_000.0
