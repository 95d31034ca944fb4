"""Only the adapter contains names of the platform's protocol."""

import pathlib
import re

import lycheegw

ROOT = pathlib.Path(lycheegw.__file__).parent
PLATFORM_NAMES = re.compile(
    r"x-lycheegw|api-key|kv-from|kv-fetch|last-event-id|"
    r"/v1/(readyz|report|log-|hold-|kv-)|keyed\.|log-newest|log-read|"
    r"log-append|lycheegw_boot|bounds\.[a-z]+_(ms|s)=|"
    r"cold_remaining_ms|target_latency_ms|path_prefix|"
    r"evacuate/|\"rollout/\"|listeners_map",
    re.IGNORECASE,
)


def test_no_other_file_contains_names_of_the_platform() -> None:
    for path in ROOT.rglob("*.py"):
        if path.relative_to(ROOT).parts[0] == "platform":
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            assert not PLATFORM_NAMES.search(line), f"{path}:{number}: {line}"


def test_adapter_has_under_a_tenth_of_the_lines() -> None:
    line_count_by_path = {
        path: len(path.read_text().splitlines()) for path in ROOT.rglob("*.py")
    }
    adapter_lines = sum(
        line_count
        for path, line_count in line_count_by_path.items()
        if path.relative_to(ROOT).parts[0] == "platform"
    )
    assert adapter_lines * 10 < sum(line_count_by_path.values())


def test_only_the_adapter_imports_the_adapter() -> None:
    for path in ROOT.rglob("*.py"):
        if path.relative_to(ROOT).parts[0] != "platform":
            assert "lycheegw.platform" not in path.read_text(), path
