"""Messages of this build and of earlier ones, which run side by side.

`tests/recorded` holds what earlier builds sent: the descriptors of all their
messages, and encoded samples.
"""

import base64
import importlib
import json
import pathlib
from typing import Any

from google.protobuf import descriptor_pb2
from google.protobuf import descriptor_pool
from google.protobuf import message_factory
import pytest

from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import session_holds
from lycheegw.protocol import rollout_codec
from lycheegw.state import tallies

_RECORDED = pathlib.Path(__file__).parent / "recorded"
_BUILDS = sorted(path.stem for path in _RECORDED.glob("*.json"))
_UPDATE = canary_rollouts.RolloutUpdate(
    (
        tallies.Tally(
            tallies.TallyKey("drafter", "v2", "edge-a-1"),
            1772630420999,
            7,
            4,
            30,
            28,
            3,
            25,
            -40.5,
            2,
            frozenset({"i-1", "i-2"}),
            9,
            -30.25,
        ),
    ),
    (
        tallies.RolloutStatus(
            "drafter", "edge-a-1", 1772630420999, 8, 4, 3.5, 0.0975, False
        ),
    ),
)


def _recorded(build: str) -> dict[str, Any]:
    return dict(json.loads((_RECORDED / f"{build}.json").read_text()))


def _descriptor(encoded: str) -> descriptor_pb2.FileDescriptorProto:
    return descriptor_pb2.FileDescriptorProto.FromString(
        base64.b64decode(encoded)
    )


def _fields(
    file: descriptor_pb2.FileDescriptorProto,
) -> dict[tuple[str, int], tuple[str, int, int]]:
    """Returns name, type and label of each field by message and number."""
    return {
        (message.name, field.number): (field.name, field.type, field.label)
        for message in file.message_type
        for field in message.field
    }


def test_an_earlier_build_is_recorded() -> None:
    assert _BUILDS


@pytest.mark.parametrize("build", _BUILDS)
def test_fields_of_earlier_builds_keep_number_and_type(build: str) -> None:
    """A changed field would be read as another value by the other build."""
    for name, encoded in _recorded(build)["descriptors"].items():
        module = importlib.import_module(f"lycheegw.protocol.pb.{name}_pb2")
        current = _fields(
            descriptor_pb2.FileDescriptorProto.FromString(
                module.DESCRIPTOR.serialized_pb
            )
        )
        for key, field in _fields(_descriptor(encoded)).items():
            assert current.get(key) == field, (name, key)


@pytest.mark.parametrize("build", _BUILDS)
def test_roll_out_update_of_an_earlier_build_is_read(build: str) -> None:
    payload = base64.b64decode(_recorded(build)["rollout_update"])
    assert rollout_codec.CODEC.decode(payload) == _UPDATE


@pytest.mark.parametrize("build", _BUILDS)
def test_earlier_build_reads_an_update_with_held_sessions(build: str) -> None:
    """It knows no held sessions, and gets the counts and statuses."""
    update = _UPDATE._replace(
        held_sessions=(session_holds.HoldUpdate("drafter", 4, (1, 2**32 - 1)),)
    )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(_descriptor(_recorded(build)["descriptors"]["rollouts"]))
    news = message_factory.GetMessageClass(
        pool.FindMessageTypeByName("lycheegw.rollouts.News")
    ).FromString(rollout_codec.CODEC.encode(update))
    assert [each.sent for each in news.tallies] == [30]
    assert [each.share for each in news.stances] == [0.0975]
    assert rollout_codec.CODEC.decode(rollout_codec.CODEC.encode(update)) == (
        update
    )
