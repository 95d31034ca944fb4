"""Exports a node's counters to a statsd server."""

import statsd

from lycheegw.state import counters

__all__ = ["attach"]

_PREFIX = "lycheegw"


def attach(address: str, source: counters.Counters) -> None:
    """Sends each increment of `source` to the statsd server at `address`."""
    host, _, port = address.rpartition(":")
    client = statsd.StatsClient(host, int(port), prefix=_PREFIX)

    def send(name: str, amount: int) -> None:
        client.incr(name, amount)

    source.observe(send)
