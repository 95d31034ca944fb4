"""Wraps an upstream client to measure the time to the first token."""

from collections.abc import Callable
from typing import Any

from lycheegw.coordination import interfaces
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["TimedUpstreamClient"]

NoteFirstToken = Callable[[upstreams.Upstream, str, float], None]


class TimedUpstreamClient:
    """Delegates to an upstream client and reports times to the first token."""

    def __init__(
        self,
        state: node_state.NodeState,
        client: interfaces.UpstreamClient,
        note_first_token: NoteFirstToken,
    ):
        self._state = state
        self._client = client
        self._note_first_token = note_first_token
        self.operate = client.operate
        self.report = client.report
        self.order = client.order

    async def generate(
        self,
        target: upstreams.HostEntry,
        call: interfaces.GenerateCall,
        timeout_s: float,
    ) -> interfaces.TokenStream:
        """Sends a model call and reports the time to its first token.

        Raises:
            errors.UpstreamError: The call failed.
        """
        start_s = self._state.environment.monotonic_s()
        stream = await self._client.generate(target, call, timeout_s)
        upstream = self._state.upstreams.by_id.get(target.host_id)
        if upstream is not None:
            now_s = self._state.environment.monotonic_s()
            self._note_first_token(upstream, call.version, now_s - start_s)
        return stream

    def __getattr__(self, name: str) -> Any:
        """Returns the wrapped client's attribute."""
        return getattr(self._client, name)
