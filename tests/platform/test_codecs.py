"""The adapter decodes the platform's data; errors name the invalid field."""

import itertools
import json
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from lycheegw.platform import headers
from lycheegw.platform import main
from lycheegw.platform import records
from lycheegw.platform import settings_file
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import reasons
from lycheegw.state import routing
from lycheegw.state import verdicts
from lycheegw.transport import connection_pool
from tests.platform import fleet_harness
from tests.platform import platform_standins


def _decode(value: dict[str, Any]) -> routing.Manifest:
    return records.ManifestDecoder().decode(json.dumps(value).encode())


def test_route_with_the_longest_prefix_is_found() -> None:
    value = platform_standins.manifest()
    value["routes"].append(
        {**value["routes"][0], "name": "deep", "path_prefix": "/look/deep/"}
    )
    manifest = _decode(value)
    for path, name in (
        ("/look/deep/1", "deep"),
        ("/look/deeper", "look"),
        ("/looks/1", None),
    ):
        route = manifest.find_route(platform_standins.HOST, path)
        assert (route.name if route else None) == name
    assert manifest.find_route("else.example", "/look/1") is None


@pytest.mark.parametrize(
    ("path", "value", "fault"),
    [
        (("version",), "7", "/version"),
        (("routes", 1, "timeout_ms"), None, "routes/1/timeout_ms"),
        (("routes", 0, "type"), "odd", "routes/0/type"),
        (("routes", 2, "hostname"), 5, "routes/2/hostname"),
        (("services", 0, "name"), True, "services/0/name"),
    ],
)
def test_error_of_a_manifest_names_the_field(
    path: tuple[Any, ...], value: Any, fault: str
) -> None:
    manifest = platform_standins.manifest()
    parent: Any = manifest
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    with pytest.raises(errors.RecordError, match=fault):
        _decode(manifest)


ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 3,
    "born": 1789369306321,
}


def test_entry_of_an_upstream_is_decoded() -> None:
    entry = records.decode_upstream("i-1", json.dumps(ENTRY).encode())
    assert entry.pool == "llm"
    assert entry.cold_s == 1.5
    assert entry.started_ms == ENTRY["born"]


@hypothesis.given(
    name=strategies.sampled_from(sorted(set(ENTRY) - {"cold_remaining_ms"})),
    value=strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.lists(strategies.integers(), max_size=2),
        strategies.dictionaries(strategies.text(max_size=3), strategies.none()),
    ),
)
def test_entry_with_an_invalid_field_is_an_error(name: str, value: Any) -> None:
    with pytest.raises(errors.RecordError):
        records.decode_upstream(
            "i-1", json.dumps({**ENTRY, name: value}).encode()
        )


@hypothesis.given(strategies.binary(max_size=40))
def test_arbitrary_bytes_are_an_error(value: bytes) -> None:
    try:
        records.decode_upstream("i-1", value)
    except errors.RecordError:
        return
    raise AssertionError(value)


def test_digest_ignores_the_sequence_number() -> None:
    before = json.dumps(ENTRY).encode()
    after = json.dumps({**ENTRY, "sequence": 4}).encode()
    leaving = json.dumps({**ENTRY, "state": "draining"}).encode()
    assert records.upstream_digest(before) == records.upstream_digest(after)
    assert records.upstream_digest(before) != records.upstream_digest(leaving)


def test_settings_ignore_unknown_fields() -> None:
    text = fleet_harness.settings_text("10.0.0.9:70")
    settings = settings_file.parse(text)
    assert settings.store_address == "10.0.0.9:70"
    assert settings.service_levels.drain_s == 2.0
    assert settings.heartbeat_s == 1.2


# Guards against a node that takes more memory than its settings allow.
def test_settings_name_the_memory_limit() -> None:
    text = fleet_harness.settings_text("10.0.0.9:70")
    assert settings_file.parse(text).memory_mb == 300
    smaller = f"{text}\nlimits.memory_mb=128"
    assert settings_file.parse(smaller).memory_mb == 128
    for wrong in ("0", "-1", "nan", "much"):
        with pytest.raises(errors.SettingsError, match="memory_mb"):
            settings_file.parse(f"{text}\nlimits.memory_mb={wrong}")


# Guards against a node that decides under load by a worth that can't be.
def test_settings_check_the_worth_of_late_answers() -> None:
    text = fleet_harness.settings_text("10.0.0.9:70")
    assert settings_file.parse(text).load.late_worth == 0.6
    given = f"{text}\nload.late_worth=0.1"
    assert settings_file.parse(given).load.late_worth == 0.1
    for wrong in ("-0.1", "1.5", "nan", "little"):
        with pytest.raises(errors.SettingsError, match="late_worth"):
            settings_file.parse(f"{text}\nload.late_worth={wrong}")


def test_settings_errors_list_every_fault() -> None:
    text = fleet_harness.settings_text("10.0.0.9")
    text = text.replace("bounds.grace_s=8", "bounds.grace_s=soon")
    text = text.replace("node_name=node-1", "")
    with pytest.raises(errors.SettingsError) as raised:
        settings_file.parse(text)
    faults = "\n".join(raised.value.faults)
    for name in ("platform.address", "bounds.grace_s", "node_name"):
        assert name in faults


@pytest.mark.parametrize(
    ("reason", "verdict", "status"),
    [
        (reasons.RefusalReason.UNKNOWN_ROUTE, "not_run", 404),
        (reasons.RefusalReason.UNAUTHENTICATED, "not_run", 401),
        (reasons.RefusalReason.NO_UPSTREAM, "not_run", 503),
        (reasons.RefusalReason.DEADLINE_PASSED, "not_run", 503),
        (reasons.RefusalReason.DEADLINE_PASSED, "may_have_run", 504),
        (reasons.RefusalReason.MAY_HAVE_RUN, "may_have_run", 502),
        (reasons.RefusalReason.SHED, "ran", 502),
    ],
)
def test_status_503_only_if_the_request_has_not_run(
    reason: reasons.RefusalReason, verdict: str, status: int
) -> None:
    error = errors.RefusalError(
        reason, "why", verdicts.RunVerdict(verdict), retry_after_s=0.25
    )
    refusal = headers.encode_refusal(error)
    assert refusal.status == status
    has_retry_after = any(name == b"Retry-After" for name, _ in refusal.headers)
    assert has_retry_after == (status == 503)


def test_response_head_is_decoded() -> None:
    raw = (
        (b"X-Lycheegw-Attempt-Id", b"a1"),
        (b"X-Lycheegw-Response-Signature", b"s"),
        (b"X-Lycheegw-Instance-Load", b"3, 1,8"),
        (b"X-Lycheegw-Confidence", b"41"),
        (b"Keep-Alive", b"timeout=5, max=9"),
        (b"Connection", b"keep-alive, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Content-Length", b"12"),
    )
    lower_case = tuple((name.lower(), value) for name, value in raw)
    head = headers.decode_response_head(
        connection_pool.RawResponseHead(200, lower_case, raw)
    )
    assert (head.running, head.waiting, head.slots) == (3, 1, 8)
    assert head.confidence == 41
    assert head.keep_alive_s == 5
    assert head.content_length == 12
    assert [name for name, _ in head.headers] == [
        b"X-Lycheegw-Attempt-Id",
        b"X-Lycheegw-Response-Signature",
        b"X-Lycheegw-Instance-Load",
        b"X-Lycheegw-Confidence",
    ]


# Guards against a load that is never read, and against figures out of range
# that reach a choice.
@pytest.mark.parametrize(
    ("text", "load", "slowness"),
    [
        (b"3,1,8", (3, 1, 8), None),
        (b"3,1,8,100", (3, 1, 8), 1.0),
        (b"3, 1, 8, 250", (3, 1, 8), 2.5),
        (b"3,1,8,40", (3, 1, 8), 0.4),
        (b"3,1,8,0", (None, None, None), None),
        (b"3,1,8,10001", (None, None, None), None),
        (b"3,1,8,-5", (None, None, None), None),
        (b"3,1,8,", (None, None, None), None),
        (b"3,1,8,100,7", (None, None, None), None),
        (b"3,1", (None, None, None), None),
    ],
)
def test_load_has_three_figures_or_four(
    text: bytes, load: tuple[int | None, ...], slowness: float | None
) -> None:
    fields = ((b"x-lycheegw-instance-load", text),)
    head = headers.decode_response_head(
        connection_pool.RawResponseHead(200, fields, fields)
    )
    assert (head.running, head.waiting, head.slots) == load
    assert head.slowness == slowness
    is_malformed = bool(head.malformed_headers)
    assert is_malformed == (load[0] is None)


def test_traits_of_a_prompt_are_decoded() -> None:
    incoming = forwarded_requests.IncomingRequest(
        b"POST",
        b"/ask/1?a=b",
        (
            (b"host", b"Desk.Example:80"),
            (b"X-Lycheegw-Attempt-Id", b"a1"),
            (b"X-Lycheegw-Model", b"*"),
            (b"X-Lycheegw-Token-Usage", b"1460,80"),
            (b"X-Lycheegw-Prompt-Prefix", b"5c:800,91:410,bad,e4:250"),
        ),
        b"",
        0.0,
        True,
    )
    traits = headers.decode_traits(incoming)
    assert traits.host == "desk.example"
    assert traits.path == "/ask/1"
    assert traits.is_model_open
    assert (traits.prompt_tokens, traits.max_tokens) == (1460, 80)
    assert [part.tokens for part in traits.prompt] == [800, 410, 250]


def test_missing_settings_variable_is_an_error(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.delenv("LYCHEEGW_BOOT", raising=False)
    with pytest.raises(SystemExit) as raised:
        main.main()
    assert raised.value.code == 2
    assert "LYCHEEGW_BOOT: is not set" in capsys.readouterr().err


def test_missing_bounds_have_defaults() -> None:
    lines = fleet_harness.settings_text("10.0.0.9:70").splitlines()
    other_lines = [line for line in lines if not line.startswith("bounds.")]
    settings = settings_file.parse("\n".join(other_lines))
    assert settings.service_levels.grace_s == 8.0
    assert settings.service_levels.retry_ratio == 0.9


_MALFORMED_NUMBERS = [
    int("9" * 400),
    -int("9" * 400),
    float("inf"),
    float("-inf"),
    float("nan"),
]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        *itertools.product(
            ("slots", "born", "sequence", "cold_remaining_ms"),
            _MALFORMED_NUMBERS,
        ),
        ("slots", 2**63),
        ("sequence", 2**63),
    ],
)
def test_entry_with_a_number_out_of_range_is_an_error(
    name: str, value: float
) -> None:
    with pytest.raises(errors.RecordError, match=name):
        records.decode_upstream(
            "i-1", json.dumps({**ENTRY, name: value}).encode()
        )


# Guards against lines and messages to peers that are as long as an entry.
@pytest.mark.parametrize("name", ["service", "zone", "version", "address"])
def test_entry_with_a_long_text_is_an_error(name: str) -> None:
    value = "1" * 100_000 if name != "address" else "1" * 100_000 + ":80"
    with pytest.raises(errors.RecordError) as raised:
        records.decode_upstream(
            "i-1", json.dumps({**ENTRY, name: value}).encode()
        )
    assert len(str(raised.value)) < 200


def test_error_of_an_entry_is_short() -> None:
    """The error is logged with each change of the entry."""
    for value in ("x" * 100_000, [[["x" * 90_000]]], 7):
        with pytest.raises(errors.RecordError) as raised:
            records.decode_upstream(
                "i-1", json.dumps({**ENTRY, "state": value}).encode()
            )
        assert len(str(raised.value)) < 200


@pytest.mark.parametrize("levels", [10, 900, 985, 1000, 100_000])
def test_nested_entry_is_an_error(levels: int) -> None:
    value = json.dumps(ENTRY)[:-1] + ',"state":' + "[" * levels + "]" * levels
    with pytest.raises(errors.RecordError):
        records.decode_upstream("i-1", value.encode() + b"}")


@pytest.mark.parametrize("number", ["\u00b2", "9" * 11, "9" * 5000, "-1", "x"])
def test_traits_with_malformed_numbers_are_decoded(number: str) -> None:
    odd = number.encode("latin-1")
    incoming = forwarded_requests.IncomingRequest(
        b"POST",
        b"/ask/1",
        (
            (b"X-Lycheegw-Attempt-Id", b"a1"),
            (b"X-Lycheegw-Token-Usage", b"%b,80" % odd),
            (b"X-Lycheegw-Prompt-Prefix", b"5c:800,91:%b,e4:250" % odd),
        ),
        b"",
        0.0,
        True,
    )
    traits = headers.decode_traits(incoming)
    assert (traits.prompt_tokens, traits.max_tokens) == (0, 0)
    assert [part.tokens for part in traits.prompt] == [800, 250]


_JSON_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.sampled_from(_MALFORMED_NUMBERS),
        strategies.floats(),
        strategies.text(max_size=3),
        strategies.just("\ud800"),
    ),
    lambda children: strategies.one_of(
        strategies.lists(children, max_size=2),
        strategies.dictionaries(
            strategies.sampled_from(
                ["name", "service", "weight", "api_keys", "models", "cost"]
            ),
            children,
            max_size=2,
        ),
    ),
    max_leaves=4,
)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all values in a JSON value."""
    children: Any = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    found = [path] if path else []
    for key, child in children:
        found += _paths(child, (*path, key))
    return found


_MANIFEST_PATHS = _paths(platform_standins.manifest())


@hypothesis.given(strategies.sampled_from(_MANIFEST_PATHS), _JSON_VALUES)
def test_manifest_with_any_value_is_decoded_or_an_error(
    path: tuple[Any, ...], value: Any
) -> None:
    manifest = platform_standins.manifest()
    parent: Any = manifest
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    decode = records.create_codec().decode_order
    try:
        decode("config", json.dumps(manifest).encode())
    except errors.RecordError:
        return


@hypothesis.given(
    strategies.sampled_from(["rollout/llm", "evacuate/z", "odd"]), _JSON_VALUES
)
def test_records_of_any_value_are_decoded_or_an_error(
    key: str, value: Any
) -> None:
    codec = records.create_codec()
    text = json.dumps(value).encode()
    for decode in (
        codec.decode_order,
        codec.decode_outcome,
        codec.decode_upstream,
    ):
        try:
            decode(key, text)
        except errors.RecordError:
            continue
