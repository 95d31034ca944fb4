"""Runs service calls: idempotent ones with retries, others at most once.

A call that is not idempotent claims its idempotency key before it is sent.
"""

from typing import Any
from typing import NamedTuple

from lycheegw.coordination import attempts
from lycheegw.coordination import interfaces
from lycheegw.coordination import key_claims
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests

__all__ = ["ServiceAnswer", "ServiceRuns"]


class ServiceAnswer(NamedTuple):
    """A complete response of a service."""

    result: Any
    head: requests.AnswerMetadata
    totals: requests.AnswerTotals


class ServiceRuns:
    """Runs service calls that were admitted."""

    def __init__(
        self,
        state: node_state.NodeState,
        dependencies: attempts.Dependencies,
        request_attempts: attempts.Attempts,
    ):
        self._state = state
        self._dependencies = dependencies
        self._attempts = request_attempts

    async def run(
        self,
        request: requests.Request,
        work: requests.ServiceWork,
        progress: attempts.Progress,
    ) -> ServiceAnswer:
        """Runs a service call.

        Raises:
            errors.RefusalError: The call failed, with the verdict over all
                attempts.
        """
        if request.is_idempotent:
            result = await self._run_operation(request, work, progress)
        else:
            result = await self._run_once(request, work, progress)
        totals = requests.AnswerTotals(0, progress.cost, progress.attempts)
        head = requests.AnswerMetadata(
            None, None, None, False, progress.attempts
        )
        await self._attempts.bill(
            request, f"{work.service}/{work.operation}", totals, progress
        )
        return ServiceAnswer(result, head, totals)

    async def _run_once(
        self,
        request: requests.Request,
        work: requests.ServiceWork,
        progress: attempts.Progress,
    ) -> Any:
        """Runs a non-idempotent call under its claimed idempotency key."""
        stored = await self._dependencies.key_claims.begin(request)
        if stored is not None:
            self._state.trace(request.request_id, "answer_stored")
            return stored.result
        answer = None
        try:
            result = await self._run_operation(request, work, progress)
            answer = key_claims.StoredAnswer(result)
        finally:
            await self._dependencies.key_claims.complete(
                request, progress.ledger.verdict, answer
            )
        return result

    async def _run_operation(
        self,
        request: requests.Request,
        work: requests.ServiceWork,
        progress: attempts.Progress,
    ) -> Any:
        service = self._state.catalog.service(work.service)
        operation = service and service.operations.get(work.operation)
        if operation is None:
            raise errors.RefusalError(
                reasons.RefusalReason.UNKNOWN_SERVICE,
                f"no operation {work.service}/{work.operation} in the catalog",
            )
        call = interfaces.OperationCall(
            request.request_id,
            work.operation,
            work.payload,
            request.idempotency_key,
            operation.is_idempotent,
            operation.may_be_empty,
        )
        while True:
            upstream = await self._attempts.choose(
                request, work.service, None, progress
            )
            try:
                async with self._attempts.attempt(request, upstream, progress):
                    result = await self._dependencies.upstream_client.operate(
                        upstream.entry,
                        call,
                        self._attempts.head_timeout_s(request, progress),
                    )
                    self._attempts.note_head(upstream, progress)
                return result
            except errors.UpstreamError as error:
                await self._attempts.handle_failure(
                    request, upstream, error, progress
                )
