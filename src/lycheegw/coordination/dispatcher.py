"""Takes model and service calls from admission to the response.

Applies the policies that precede the first attempt: blocked requests, session
version, billing capacity, deadline and admission.
"""

from collections.abc import AsyncIterator
import contextlib

from lycheegw.coordination import attempts
from lycheegw.coordination import interfaces
from lycheegw.coordination import model_runs
from lycheegw.coordination import service_runs
from lycheegw.coordination import version_selection
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import requests
from lycheegw.state import sessions

__all__ = ["Dependencies", "Dispatcher", "ModelAnswer", "ServiceAnswer"]

ModelAnswer = model_runs.ModelAnswer
Dependencies = attempts.Dependencies
ServiceAnswer = service_runs.ServiceAnswer


class Dispatcher:
    """Runs model and service calls on upstreams under the node's policies."""

    def __init__(self, state: node_state.NodeState, dependencies: Dependencies):
        self._state = state
        self._dependencies = dependencies
        self._attempts = attempts.Attempts(state, dependencies)
        self._model_runs = model_runs.ModelRuns(
            state, dependencies, self._attempts
        )
        self._service_runs = service_runs.ServiceRuns(
            state, dependencies, self._attempts
        )

    async def run_model(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        claim: sessions.SessionClaim | None,
        sink: interfaces.AnswerSink,
    ) -> ModelAnswer:
        """Runs a model call; a streamed response is written to `sink`.

        Raises:
            errors.RefusalError: The call failed, with the verdict over all
                attempts.
        """
        self._dependencies.suspects.refuse_blocked(request)
        claim = await self._dependencies.sessions.find_claim(
            request, work, claim
        )
        version_selection.choose_versions(self._state, request, work, claim)
        async with self._admit(request) as progress:
            return await self._model_runs.run(
                request, work, claim, sink, progress
            )

    async def run_service(
        self, request: requests.Request, work: requests.ServiceWork
    ) -> ServiceAnswer:
        """Runs a service call.

        Raises:
            errors.RefusalError: The call failed, with the verdict over all
                attempts.
        """
        self._dependencies.suspects.refuse_blocked(request)
        async with self._admit(request) as progress:
            return await self._service_runs.run(request, work, progress)

    @contextlib.asynccontextmanager
    async def _admit(
        self, request: requests.Request
    ) -> AsyncIterator[attempts.Progress]:
        """Admits a request and bounds the block by its deadline."""
        self._dependencies.billing.check_capacity()
        progress = attempts.Progress()
        try:
            async with (
                self._attempts.enforce_deadline(request, progress),
                self._dependencies.admission.enter(request),
            ):
                self._dependencies.retry_budget.note_request()
                yield progress
        except errors.RefusalError as error:
            # The code that refused may not know of earlier attempts.
            error.verdict = error.verdict.max_with(progress.ledger.verdict)
            raise
