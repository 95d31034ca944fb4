"""Limits and timeouts of a node and their defaults."""

from typing import NamedTuple

__all__ = ["Limits"]


class Limits(NamedTuple):
    """Limits and timeouts of a node; each name ends with its unit."""

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
