"""Encodes calls of a model engine; encodes and parses the events it sends.

An engine streams server-sent events. Each event is `data: ` and a JSON
object that starts with the echoed request id; the last one is `data: [DONE]`.
"""

from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import interfaces

__all__ = [
    "END_FRAME",
    "END_MARKER",
    "FRAME_END",
    "EngineTotals",
    "Frame",
    "encode_call",
    "parse_frame",
    "token_frame",
    "totals_frame",
]

FRAME_END = b"\n\n"
END_MARKER = b"data: [DONE]"
END_FRAME = END_MARKER + FRAME_END
_DATA = b"data: "


class EngineTotals(NamedTuple):
    """Totals of a complete answer, as reported by the engine.

    Attributes:
        tokens: Tokens of the complete answer, including a resumed prefix.
        confidence: The engine's estimate of the quality, 0 to 1, or None.
    """

    tokens: int
    confidence: float | None


class Frame(NamedTuple):
    """One parsed event.

    Attributes:
        request_id: Id of the request that the event is for.
        text: Text of one token, empty if the frame has totals.
        totals: Totals in the last frame before the end marker, else None.
    """

    request_id: str
    text: str
    totals: EngineTotals | None


def encode_call(call: interfaces.GenerateCall) -> bytes:
    """Returns the body of a model call."""
    return json.dumps(
        {
            "request_id": call.request_id,
            "model": call.model,
            "version": call.version,
            "messages": list(call.messages),
            "max_tokens": call.max_tokens,
            "priority": call.priority,
            "prefix": call.prefix,
            "prefix_tokens": call.prefix_tokens,
        }
    ).encode()


def token_frame(request_id: str, text: str) -> bytes:
    """Returns the frame of one token."""
    choices = [{"index": 0, "delta": {"content": text}}]
    return (
        _DATA
        + json.dumps({"id": request_id, "choices": choices}).encode()
        + (FRAME_END)
    )


def totals_frame(request_id: str, tokens: int, confidence: float) -> bytes:
    """Returns the frame with the totals, which precedes the end marker."""
    value = {
        "id": request_id,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": tokens},
        "confidence": confidence,
    }
    return _DATA + json.dumps(value).encode() + FRAME_END


def parse_frame(frame: bytes) -> Frame:
    """Returns the parsed frame; raises ValueError.

    Args:
        frame: The frame without FRAME_END.
    """
    if not frame.startswith(_DATA):
        raise ValueError(f"expected a frame that starts with {_DATA!r}")
    try:
        value = json.loads(frame[len(_DATA) :])
        if value.get("usage") is not None:
            return Frame(value["id"], "", _totals(value))
        text = value["choices"][0]["delta"]["content"]
    except (LookupError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"expected a token or totals: {error!r}") from error
    if not isinstance(text, str):
        raise ValueError(
            f"expected a string as text of a token, got {type(text).__name__}"
        )
    return Frame(value["id"], text, None)


def _totals(value: Mapping[str, Any]) -> EngineTotals:
    confidence = value.get("confidence")
    return EngineTotals(
        int(value["usage"]["completion_tokens"]),
        None if confidence is None else float(confidence),
    )
