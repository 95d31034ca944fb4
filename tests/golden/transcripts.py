"""Transcript of a session: requests, runs on upstreams, responses, traces."""

from collections.abc import Mapping
import json
from typing import Any

from lycheegw.measure import harness

__all__ = ["Transcript"]

_SHOWN_HEADERS = (
    "x-model-version",
    "x-attempts",
    "x-cost",
    "x-session-moved",
    "x-run",
)
_HIDDEN_DETAILS = ("message", "upstream_message")


class Transcript:
    """Sends the requests of a session and records what follows as lines.

    Attributes:
        lines: The lines so far.
        session_token: Latest session token that the caller received, or None.
    """

    def __init__(self, fleet: harness.Fleet, key: str):
        self._fleet = fleet
        self._key = key
        self._recorded_runs: dict[str, int] = {}
        self.lines: list[str] = []
        self.session_token: str | None = None

    def add_heading(self, text: str) -> None:
        """Starts a section."""
        self.lines += ["", f"== {text}"]

    async def publish(self, *records: Mapping[str, Any]) -> None:
        """Publishes records as an operator; waits until they are applied."""
        for record in records:
            self.lines.append(f"operator  publishes {record['id']}")
        await self._fleet.wait_applied(await self._fleet.publish(*records))

    async def send_request(
        self,
        node_id: str,
        request_id: str,
        path: str,
        body: Any,
        **headers: str,
    ) -> harness.Reply:
        """Sends a request as the caller; records runs, reply and trace."""
        sent = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        shown = " ".join(f"{name}={value}" for name, value in sent.items())
        self.lines.append(
            f"caller    {request_id} to {node_id}: POST {path} {shown}".rstrip()
        )
        if self.session_token is not None:
            sent["x-session-token"] = self.session_token
        sent["x-request-id"] = request_id
        node = self._fleet.nodes[node_id]
        reply = await self._fleet.call(node, path, body, self._key, sent)
        self.session_token = reply.header_by_name.get(
            "x-session-token", self.session_token
        )
        self._add_runs()
        self._add_reply(request_id, reply)
        self._add_trace(node_id, request_id)
        return reply

    def _add_runs(self) -> None:
        standins = {**self._fleet.engines, **self._fleet.services}
        for host_id, standin in sorted(standins.items()):
            first_new = self._recorded_runs.get(host_id, 0)
            for run in standin.runs[first_new:]:
                self.lines.append(
                    f"upstream  {host_id} runs {run.version_or_operation}"
                    f" for {run.request_id}"
                )
            self._recorded_runs[host_id] = len(standin.runs)

    def _add_reply(self, request_id: str, reply: harness.Reply) -> None:
        headers = " ".join(
            f"{name}={reply.header_by_name[name]}"
            for name in _SHOWN_HEADERS
            if name in reply.header_by_name
        )
        self.lines.append(
            f"caller    {request_id} gets {reply.status} {headers}"
        )
        self.lines.append(f"          {_summary(reply)}")

    def _add_trace(self, node_id: str, request_id: str) -> None:
        traces = self._fleet.nodes[node_id].state.traces
        for event in traces.events(request_id):
            details = " ".join(
                f"{name}={value}"
                for name, value in sorted(event.details.items())
                if name not in _HIDDEN_DETAILS
            )
            self.lines.append(f"explain   {event.name} {details}".rstrip())

    def add_log_entries(self, stream: str, fields: tuple[str, ...]) -> None:
        """Records some fields of each entry of a stream of the log."""
        for entry in self._fleet.log.stream(stream).entries:
            shown = " ".join(
                f"{field}={entry['data'][field]}"
                for field in fields
                if field in entry["data"]
            )
            self.lines.append(f"log       {stream} {shown}")

    def text(self) -> str:
        """Returns all lines as the text of a golden file."""
        return "\n".join(self.lines).strip() + "\n"


def _summary(reply: harness.Reply) -> str:
    """Returns one readable line about a response body."""
    if reply.status != 200:
        error = reply.json()["error"]
        return f"refused: {error['reason']}, run: {error['run']}"
    if reply.body.startswith(b"data: "):
        frames = reply.body.decode().split("\n\n")
        totals = json.loads(frames[-3].removeprefix("data: "))
        return (
            f"{len(frames) - 3} tokens streamed, then {frames[-2]}:"
            f" cost {totals['cost']}, attempts {totals['attempts']}"
        )
    body = reply.json()
    if "result" in body:
        return f"result {json.dumps(body['result'], sort_keys=True)}"
    return f"text {body['choices'][0]['message']['content']!r}"
