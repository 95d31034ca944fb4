"""Keeps the answer of a model until another one has taken its request."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.coordination.load import balancing
from lycheegw.state import forwarded_requests

__all__ = ["MAX_WAIT_S", "Answer", "HeldAnswer"]

# Time for which an answer is held while no upstream can be asked. It covers a
# read of the store, and a place that becomes free.
MAX_WAIT_S = 0.5

# Time for which two upstreams may work on a request. Rejections take a round
# trip between zones and the opening of a connection, some ten milliseconds.
_MAX_OVERLAP_S = 0.1
# Interval of the timer that counts, in seconds; a longer turn of the event loop
# counts as this long, since a rejection that has arrived is not read meanwhile.
_TICK_S = 0.05


class Answer(NamedTuple):
    """A response of which only the head was read.

    Attributes:
        call: Call from which the body is read.
        head: Head of the response.
        choice: Upstream that responds.
        model: Model that responds.
        head_s: Seconds from the start of its attempt to the head.
    """

    call: interfaces.ForwardCall
    head: forwarded_requests.ResponseHead
    choice: balancing.Choice
    model: str | None
    head_s: float


class HeldAnswer:
    """An answer with a low confidence that is given up for another model's.

    It is delivered if no upstream takes the request for the other model.
    """

    def __init__(self, answer: Answer, release: Callable[[], None]):
        """Holds an answer.

        Args:
            answer: The answer.
            release: Called once its upstream has no more work with it.
        """
        self._answer: Answer | None = answer
        self._release = release
        self._timer: asyncio.TimerHandle | None = None

    def note_sent(self) -> None:
        """Starts the time after which the other attempt counts as taken."""
        self._cancel_timer()
        self._count(_MAX_OVERLAP_S)

    def _count(self, left_s: float) -> None:
        """Drops the answer after some seconds."""
        if left_s <= 0:
            self.drop()
            return
        self._timer = asyncio.get_running_loop().call_later(
            _TICK_S, self._count, left_s - _TICK_S
        )

    def note_failed(self) -> None:
        """Keeps the answer until the next attempt is sent."""
        self._cancel_timer()

    def take(self) -> Answer | None:
        """Returns the answer to deliver it, None if it was dropped."""
        self._cancel_timer()
        answer, self._answer = self._answer, None
        return answer

    @property
    def model(self) -> str | None:
        """Model of the answer, None if it was dropped."""
        return None if self._answer is None else self._answer.model

    def drop(self) -> None:
        """Cancels the request at the upstream of the answer."""
        answer = self.take()
        if answer is not None:
            answer.call.abort()
            self._release()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
