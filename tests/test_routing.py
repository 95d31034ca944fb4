"""Routes are found by an index, as if all of them were looked at."""

import hypothesis
from hypothesis import strategies

from lycheegw.state import routing
from tests import fakes

PREFIXES = strategies.lists(
    strategies.sampled_from(["", "a/", "bb/", "a/b/", "a/bb/", "c/a/b/"]),
    max_size=8,
)


def _routes(prefixes: list[str]) -> list[routing.Route]:
    return [
        fakes.STREAM_ROUTE._replace(name=f"r{index}", prefix=f"/{prefix}")
        for index, prefix in enumerate(prefixes)
    ]


def _manifest(routes: list[routing.Route]) -> routing.Manifest:
    return routing.Manifest(
        1, routing.index_routes(routes), {}, None, routing.CallerLimits()
    )


@hypothesis.given(PREFIXES, strategies.text("abc/", max_size=8))
@hypothesis.settings(max_examples=500, deadline=None)
def test_first_route_with_the_longest_prefix_is_found(
    prefixes: list[str], path: str
) -> None:
    routes = _routes(prefixes)
    path = f"/{path}"
    matching = [each for each in routes if path.startswith(each.prefix)]
    expected = max(matching, key=lambda each: len(each.prefix), default=None)
    assert _manifest(routes).find_route("H", path) is expected


def test_lookup_does_not_look_at_each_route() -> None:
    """CONFIG, issue 32: each request looked at all routes of its host."""
    manifest = _manifest(_routes([f"{number:05}/" for number in range(10_000)]))
    host = manifest.routes_by_host["h"]
    assert list(host.prefix_lengths) == [len("/00000/")]
    route = manifest.find_route("h", "/00700/x")
    assert route is not None and route.name == "r700"
    assert manifest.route_count == 10_000
