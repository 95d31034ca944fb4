"""Addresses of other processes are parsed strictly."""

import socket

import hypothesis
from hypothesis import strategies
import pytest

from lycheegw.state import addresses


def test_address_is_parsed() -> None:
    assert addresses.parse("10.1.64.44:8640") == ("10.1.64.44", 8640)
    assert addresses.parse("::1:65535") == ("::1", 65535)


@pytest.mark.parametrize(
    "address",
    [
        "10.1.64.44:65536",
        "10.1.64.44:0",
        "10.1.64.44:+80",
        "10.1.64.44: 80",
        "10.1.64.44:8_0",
        "10.1.64.44:80\n",
        "10.1.64.44\n:80",
        "10.1.64.256:80",
        "fe80::1%\ud800:80",
        "host:80",
        "",
    ],
)
def test_text_that_is_no_address_is_an_error(address: str) -> None:
    with pytest.raises(ValueError, match=r"."):
        addresses.parse(address)


@hypothesis.given(
    strategies.one_of(
        strategies.text(max_size=30),
        strategies.from_regex(r"[0-9.:%a]{1,12}:\w{0,6}", fullmatch=True),
        strategies.from_regex(
            r"([0-9]{1,3}\.){3}[0-9]{1,3}:[0-9]{1,6}", fullmatch=True
        ),
    )
)
def test_parsed_address_can_be_connected_to(address: str) -> None:
    try:
        host, port = addresses.parse(address)
    except ValueError:
        return
    # Raises OverflowError or UnicodeError for what can't be connected to.
    assert socket.getaddrinfo(
        host, port, flags=socket.AI_NUMERICHOST | socket.AI_NUMERICSERV
    )
