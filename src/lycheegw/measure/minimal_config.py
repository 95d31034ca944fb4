"""Minimal configuration records that measures and tests start from."""

from collections.abc import Sequence
from typing import Any

from lycheegw.measure import harness

__all__ = ["MODEL", "ORGANISATION", "SERVICE", "records", "service_record"]

MODEL = "drafter"
ORGANISATION = "desk"
SERVICE = "deskapp"


def records(
    key: str, versions: Sequence[str] = ("v1",)
) -> tuple[dict[str, Any], ...]:
    """Returns a model and an organisation that may use all its versions.

    The first version is the default; the n-th one costs n per 1,000 tokens.
    """
    body_by_version = {
        version: {"cost_per_1k_tokens": float(index + 1)}
        for index, version in enumerate(versions)
    }
    return (
        harness.record(
            "model",
            MODEL,
            {"default": versions[0], "versions": body_by_version},
        ),
        harness.record(
            "organisation",
            ORGANISATION,
            {
                "key_sha256": harness.key_sha256(key),
                "versions_by_model": {MODEL: list(versions)},
                "quality_target": 0.9,
                "weight": 1.0,
            },
        ),
    )


def service_record() -> dict[str, Any]:
    """Returns a service with an idempotent operation and one that isn't."""
    operations = {
        "lookup": {"is_idempotent": True},
        "book": {"is_idempotent": False},
    }
    return harness.record("service", SERVICE, {"operations": operations})
