"""Defines bills, their log entries and the messages that replicate them."""

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
import json
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.state import requests

__all__ = [
    "STREAM",
    "Bill",
    "Codec",
    "ReplicateReply",
    "ReplicateRequest",
    "build_bill",
    "build_entry",
]

STREAM = "billing"

_ID_BYTES = 12


class Bill(NamedTuple):
    """The charge for one request.

    Attributes:
        bill_id: Identifier; only the first record with it counts.
        request_id: Identifier of the request, for people who read the log.
        organisation: Organisation that is charged.
        kind: Kind of request.
        version: "model@version" or "service/operation".
        tokens: Tokens generated for the caller.
        cost: Cost of all attempts, in the operators' unit.
    """

    bill_id: str
    request_id: str
    organisation: str
    kind: str
    version: str
    tokens: int
    cost: float

    def row(self) -> bytes:
        """Returns the bill as a JSON array, the form that the log holds."""
        return json.dumps(self, separators=(",", ":")).encode()


def build_bill(
    request: requests.Request, version: str, totals: requests.AnswerTotals
) -> Bill:
    """Returns the bill of a request.

    Its id is the same on every node to which the same request is sent again.
    It differs for another request that reuses a request id.
    """
    retry_id = request.idempotency_key or request.request_id
    scope = f"{request.organisation}\n{retry_id}\n{request.fingerprint}"
    digest = hashlib.blake2b(scope.encode(), digest_size=_ID_BYTES)
    return Bill(
        digest.hexdigest(),
        request.request_id,
        request.organisation,
        request.kind,
        version,
        totals.tokens,
        round(totals.cost, 9),
    )


def build_entry(
    owner_run: str, first_seq: int, rows: Sequence[bytes]
) -> interfaces.NewEntry:
    """Returns the log entry for consecutive bills of one node."""
    return interfaces.NewEntry(
        f"bills-{owner_run}-{first_seq}-{len(rows)}",
        {"bills": [json.loads(row) for row in rows]},
    )


class ReplicateRequest(NamedTuple):
    """Asks a replica holder to store rows; without rows it is a heartbeat.

    Attributes:
        owner_run: Identifier of the node's run that issued the bills.
        logged_seq: Rows before it are in the log.
        first_seq: Number of the first row sent.
        rows: Consecutive bills.
    """

    owner_run: str
    logged_seq: int
    first_seq: int
    rows: Sequence[bytes]


class ReplicateReply(NamedTuple):
    """A replica holder's reply.

    Attributes:
        is_kept: Whether there was room for the rows.
        next_seq: Number of the first row that it lacks.
    """

    is_kept: bool
    next_seq: int


class Codec(NamedTuple):
    """Encodes and decodes bill messages; the protocol layer provides it."""

    encode_request: Callable[[ReplicateRequest], bytes]
    decode_request: Callable[[bytes], ReplicateRequest]
    encode_reply: Callable[[ReplicateReply], bytes]
    decode_reply: Callable[[bytes], ReplicateReply]
