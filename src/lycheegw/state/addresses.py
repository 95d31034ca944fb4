"""Parses the addresses of processes, as "ip:port"."""

import functools
import ipaddress
import re

__all__ = ["parse"]

_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 2**16 - 1
# Addresses whose parsed form is kept; each heartbeat of a process has the same.
_MAX_CACHED = 4096


@functools.lru_cache(_MAX_CACHED)
def parse(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of an "ip:port".

    Raises:
        ValueError: It is no such address, or the port is out of range.
    """
    host, _, port = address.rpartition(":")
    if "%" in host:
        raise ValueError("an address with a scope")
    ipaddress.ip_address(host)
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("no port from 1 to 65535")
    return host, int(port)
