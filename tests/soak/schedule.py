"""Draws the faults of a soak from a seed; the same seed draws the same."""

import random
from typing import NamedTuple

__all__ = [
    "FAULTY_RESPONSES",
    "ORDERS",
    "RESPONSE_FAULTS",
    "Fault",
    "draw",
    "draw_memory_mb",
    "draw_restores",
]

# What an operator does.
ORDERS = frozenset(
    {
        "rotate_keys",
        "grow_manifest",
        "change_in_a_row",
        "evacuate",
        "rollout_bad",
    }
)

# Shares of the kinds of faults.
_WEIGHT_BY_KIND = {
    "drain": 10.0,
    "remove": 5.0,
    "freeze": 6.0,
    "kill": 1.0,
    "terminate": 1.0,
    "node_store_silent": 2.0,
    "node_store_reset": 1.0,
    "node_store_slow": 1.0,
    "upstream_slow": 1.0,
    "upstream_silent": 1.0,
    "upstream_reset": 1.0,
    "evacuate": 1.0,
    "rotate_keys": 2.0,
    "store_forgets": 1.0,
    # The store's disturbances excuse all nodes, so that little is judged.
    "store_silent": 0.5,
    "store_busy": 0.5,
    "store_reset": 0.5,
    "store_loses_replies": 0.5,
}
# Seconds without faults at the start, while all nodes find each other.
_QUIET_START_S = 4.0
# Bounds of the time between two faults, and of how long a fault lasts.
_GAP_S = (0.1, 1.2)
_DURATION_S = (0.2, 3.0)


# Share of soaks with a roll-out.
_ROLLOUT_SHARE = 0.5
# Share of soaks with a prompt part that crashes upstreams.
_CRASHING_PART_SHARE = 0.4
# Share of soaks in which the manifest grows by many routes.
_LONG_MANIFEST_SHARE = 0.5
# Bounds of the time between two series of changes of the manifest, and of how
# long one lasts.
_SERIES_GAP_S = (4.0, 12.0)
_SERIES_S = (0.5, 3.0)
# Faults by which upstreams announce something, answer a request twice, or are
# silent in the middle of a stream.
RESPONSE_FAULTS = (
    "announce_limit",
    "announce_pause",
    "answer_twice",
    "announce_brittle",
    "fall_silent",
)
# Bounds of the time between two of these, and of how long one lasts.
_RESPONSE_FAULT_GAP_S = (1.0, 5.0)
_RESPONSE_FAULT_S = (3.0, 12.0)
# Faults by which upstreams answer a part of their requests wrongly.
FAULTY_RESPONSES = (
    "grey_failures",
    "contradictory_rejections",
    "true_rejections",
    "endless_responses",
)
# Bounds of the time between two of these, and of how long one lasts.
_FAULTY_RESPONSES_GAP_S = (1.0, 4.0)
_FAULTY_RESPONSES_S = (1.0, 4.0)
# Memory that the settings allow a node.
_MEMORY_MB = (300, 150)
# Share of soaks in which another writer leaves entries that can't be used, and
# bounds of the time between two of them.
_MALFORMED_ENTRIES_SHARE = 0.5
_MALFORMED_ENTRY_GAP_S = (1.0, 6.0)
# Share of soaks in which processes get little processor time for a while, and
# bounds of the time between two of these and of how long one lasts.
_SLOW_PROCESSES_SHARE = 0.5
_SLOW_PROCESS_GAP_S = (2.0, 8.0)
_SLOW_PROCESS_S = (2.0, 6.0)

# Bounds of the time between two restores of the store.
_RESTORE_GAP_S = (1.0, 9.0)


class Fault(NamedTuple):
    """A fault to cause.

    Attributes:
        at_s: Seconds from the start of the load.
        kind: What happens.
        target: Number of the node or upstream, modulo their count.
        for_s: How long it lasts, where it lasts.
    """

    at_s: float
    kind: str
    target: int
    for_s: float


def draw(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a soak of some seconds, in their order."""
    generator = random.Random(seed)
    kinds, weights = zip(*_WEIGHT_BY_KIND.items(), strict=True)
    faults = []
    at_s = _QUIET_START_S
    while at_s < seconds:
        (kind,) = generator.choices(kinds, weights)
        faults.append(
            Fault(
                round(at_s, 2),
                kind,
                generator.randrange(1000),
                round(generator.uniform(*_DURATION_S), 2),
            )
        )
        at_s += generator.uniform(*_GAP_S)
    faults += _draw_rollout(seed, seconds)
    faults += _draw_crashing_part(seed, seconds)
    faults += _draw_response_faults(seed, seconds)
    faults += _draw_faulty_responses(seed, seconds)
    faults += _draw_manifests(seed, seconds)
    faults += _draw_malformed_entries(seed, seconds)
    faults += _draw_slow_processes(seed, seconds)
    return sorted(faults)


def draw_restores(seed: int, seconds: float) -> list[Fault]:
    """Returns when the store comes back from a backup, `for_s` old."""
    generator = random.Random(f"restores of {seed}")
    faults = []
    at_s = _QUIET_START_S + generator.uniform(*_RESTORE_GAP_S)
    while at_s < seconds:
        for_s = round(2 * generator.uniform(*_DURATION_S), 2)
        faults.append(Fault(round(at_s, 2), "store_restored", 0, for_s))
        at_s += generator.uniform(*_RESTORE_GAP_S)
    return faults


def draw_memory_mb(seed: int) -> int:
    """Returns the memory that the settings allow each node of a soak."""
    return random.Random(f"memory of {seed}").choice(_MEMORY_MB)


def _draw_faulty_responses(seed: int, seconds: float) -> list[Fault]:
    """Returns when upstreams answer wrongly."""
    generator = random.Random(f"faulty responses of {seed}")
    faults = []
    at_s = _QUIET_START_S
    while at_s < seconds:
        faults.append(
            Fault(
                round(at_s, 2),
                generator.choice(FAULTY_RESPONSES),
                generator.randrange(1000),
                round(generator.uniform(*_FAULTY_RESPONSES_S), 2),
            )
        )
        at_s += generator.uniform(*_FAULTY_RESPONSES_GAP_S)
    return faults


def _draw_response_faults(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults in the responses of upstreams."""
    generator = random.Random(f"announcements of {seed}")
    faults = []
    at_s = _QUIET_START_S
    while at_s < seconds:
        faults.append(
            Fault(
                round(at_s, 2),
                generator.choice(RESPONSE_FAULTS),
                generator.randrange(1000),
                round(generator.uniform(*_RESPONSE_FAULT_S), 2),
            )
        )
        at_s += generator.uniform(*_RESPONSE_FAULT_GAP_S)
    return faults


def _draw_manifests(seed: int, seconds: float) -> list[Fault]:
    """Returns the growth of the manifest, and series of its changes."""
    generator = random.Random(f"manifests of {seed}")
    if generator.random() >= _LONG_MANIFEST_SHARE:
        return []
    at_s = generator.uniform(_QUIET_START_S, max(_QUIET_START_S, seconds / 3))
    faults = [Fault(round(at_s, 2), "grow_manifest", 0, 0.0)]
    while (at_s := at_s + generator.uniform(*_SERIES_GAP_S)) < seconds:
        for_s = round(generator.uniform(*_SERIES_S), 2)
        faults.append(Fault(round(at_s, 2), "change_in_a_row", 0, for_s))
    return faults


def _draw_malformed_entries(seed: int, seconds: float) -> list[Fault]:
    """Returns when another writer leaves an entry that can't be used."""
    generator = random.Random(f"odd entries of {seed}")
    if generator.random() >= _MALFORMED_ENTRIES_SHARE:
        return []
    faults = []
    at_s = generator.uniform(*_MALFORMED_ENTRY_GAP_S)
    while at_s < seconds:
        number = generator.randrange(1000)
        faults.append(Fault(round(at_s, 2), "malformed_entry", number, 0.0))
        at_s += generator.uniform(*_MALFORMED_ENTRY_GAP_S)
    return faults


def _draw_slow_processes(seed: int, seconds: float) -> list[Fault]:
    """Returns when processes get little processor time."""
    generator = random.Random(f"slow processes of {seed}")
    if generator.random() >= _SLOW_PROCESSES_SHARE:
        return []
    faults = []
    at_s = _QUIET_START_S + generator.uniform(*_SLOW_PROCESS_GAP_S)
    while at_s < seconds:
        number = generator.randrange(1000)
        for_s = round(generator.uniform(*_SLOW_PROCESS_S), 2)
        faults.append(Fault(round(at_s, 2), "slow_process", number, for_s))
        at_s += generator.uniform(*_SLOW_PROCESS_GAP_S)
    return faults


def _draw_rollout(seed: int, seconds: float) -> list[Fault]:
    """Returns the roll-out of a bad version, in half of all soaks."""
    # A separate generator: the other faults do not depend on it.
    generator = random.Random(f"roll-out of {seed}")
    at_s = generator.uniform(_QUIET_START_S, max(_QUIET_START_S, seconds / 2))
    if generator.random() < _ROLLOUT_SHARE:
        return [Fault(round(at_s, 2), "rollout_bad", 0, 0.0)]
    return []


def _draw_crashing_part(seed: int, seconds: float) -> list[Fault]:
    """Returns the begin of prompts with a part that crashes upstreams."""
    generator = random.Random(f"crashing part of {seed}")
    at_s = generator.uniform(_QUIET_START_S, max(_QUIET_START_S, seconds / 2))
    if generator.random() < _CRASHING_PART_SHARE:
        return [Fault(round(at_s, 2), "crashing_part", 0, 0.0)]
    return []
