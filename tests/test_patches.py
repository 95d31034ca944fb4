"""Patches turn one version of a value into another, and cost what changed."""

import json
import time
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from lycheegw.state import errors
from lycheegw.state import patches
from tests.platform import long_manifests

SEGMENTS = strategies.lists(
    strategies.sampled_from([b"{a}", b"{bb}", b"{ccc}", b"x", b"}", b"", b"{"]),
    max_size=12,
).map(b"".join)


@hypothesis.given(SEGMENTS, SEGMENTS)
@hypothesis.settings(max_examples=500, deadline=None)
def test_patch_makes_the_new_value(former: bytes, new: bytes) -> None:
    assert patches.apply(former, patches.make(former, new)) == new


def _encode(value: dict[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _changed(
    name: str, manifest: dict[str, Any], routes: list[Any]
) -> dict[str, Any]:
    if name == "timeout":
        routes[700] = {**routes[700], "timeout_ms": 1234}
    elif name == "added":
        routes.insert(300, {**routes[0], "name": "new"})
    elif name == "removed":
        del routes[900]
    elif name == "moved":
        routes.append(routes.pop(5))
    else:
        manifest["tenants"] = long_manifests.tenants()
    return {**manifest, "version": 17, "routes": routes}


@pytest.mark.parametrize(
    "name", ["timeout", "added", "removed", "moved", "key"]
)
def test_patch_of_a_long_manifest_is_short(name: str) -> None:
    """CONFIG, issue 32: each version went whole over each link."""
    keys = [f"key-{number}" for number in range(500)]
    before = long_manifests.manifest(
        2, 1400, tenants=long_manifests.tenants(*keys)
    )
    after = _changed(name, dict(before), list(before["routes"]))
    former, new = _encode(before), _encode(after)
    patch = patches.make(former, new)
    assert patches.apply(former, patch) == new
    assert patches.size(patch) < 1000


def test_span_beyond_the_value_is_an_error() -> None:
    with pytest.raises(errors.PeerMessageError):
        patches.apply(b"abc", (patches.Span(1, 3),))


def test_time_of_a_patch_grows_with_the_value_and_no_faster() -> None:
    """New bytes were joined one segment after the other."""
    seconds = []
    for routes in (2000, 16_000):
        new = _encode(long_manifests.manifest(2, routes))
        begun_s = time.process_time()
        patch = patches.make(b"{}", new)
        seconds.append(time.process_time() - begun_s)
        assert patches.apply(b"{}", patch) == new
    assert seconds[1] < 2 * 8 * seconds[0]
