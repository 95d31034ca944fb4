"""Runs the steps of a model call's plan; resumes streams after failures."""

import functools
from typing import NamedTuple

from lycheegw.coordination import attempts
from lycheegw.coordination import interfaces
from lycheegw.coordination import version_selection
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import sessions
from lycheegw.state import upstreams

__all__ = ["ModelAnswer", "ModelRuns"]


class ModelAnswer(NamedTuple):
    """A complete response of a model; `text` is empty if it was streamed."""

    head: requests.AnswerMetadata
    totals: requests.AnswerTotals
    text: str


class ModelRuns:
    """Runs model calls that were admitted."""

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
        work: requests.ModelWork,
        claim: sessions.SessionClaim | None,
        sink: interfaces.AnswerSink,
        progress: attempts.Progress,
    ) -> ModelAnswer:
        """Runs a model call, on another version if the first is withdrawn.

        Raises:
            errors.RefusalError: The call failed.
        """
        while True:
            choice = version_selection.choose_versions(
                self._state, request, work, claim
            )
            try:
                return await self._run_plan(
                    request, work, choice, sink, progress
                )
            except errors.RefusalError as error:
                if not _may_change_version(error, progress):
                    raise
            # Nothing was sent to the client, so nothing is billed.
            progress.discard()
            self._state.counters.add("versions.changed")
            self._state.trace(request.request_id, "version_changed")

    async def _run_plan(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        choice: version_selection.VersionChoice,
        sink: interfaces.AnswerSink,
        progress: attempts.Progress,
    ) -> ModelAnswer:
        """Runs the steps of the plan until a response is confident enough."""
        steps = self._dependencies.planner.plan(request, work, choice)
        for step in steps:
            self._state.trace(request.request_id, "step", version=step.version)
            progress.start_step()
            head = self._response_head(request, work, choice, step.version)
            confidence = await self._run_step(
                request, work, head, sink, progress
            )
            is_kept = confidence >= step.min_confidence
            self._dependencies.bad_version_detector.note_answer(
                request,
                work.model,
                step.version,
                confidence,
                is_kept,
                progress.text,
            )
            if is_kept:
                break
            self._state.trace(
                request.request_id, "step_not_kept", confidence=confidence
            )
        self._pin_session(request, work, step.version)
        totals = requests.AnswerTotals(
            progress.tokens, progress.cost, progress.attempts
        )
        await self._attempts.bill(
            request, f"{work.model}@{step.version}", totals, progress
        )
        return ModelAnswer(
            head._replace(attempts=progress.attempts), totals, progress.text
        )

    async def _run_step(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        head: requests.AnswerMetadata,
        sink: interfaces.AnswerSink,
        progress: attempts.Progress,
    ) -> float:
        """Runs one version, with retries; returns the response's confidence."""
        version = str(head.version)
        while True:
            check_allowed = functools.partial(
                self._check_version, request, work, version, progress
            )
            check_allowed()
            upstream = await self._attempts.choose(
                request, work.model, version, progress
            )
            try:
                # The version may be withdrawn during the wait for a slot.
                async with self._attempts.attempt(
                    request, upstream, progress, check_allowed
                ):
                    return await self._stream(
                        request, work, head, upstream, sink, progress
                    )
            except errors.UpstreamError as error:
                self._dependencies.bad_version_detector.note_failure(
                    request, work.model, version, upstream, error
                )
                await self._attempts.handle_failure(
                    request, upstream, error, progress
                )

    def _check_version(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        version: str,
        progress: attempts.Progress,
    ) -> None:
        """Raises errors.RefusalError if the version may not get work now."""
        version_selection.check_allowed(
            self._state,
            request.organisation,
            work.model,
            version,
            progress.ledger.verdict,
        )

    async def _stream(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        head: requests.AnswerMetadata,
        upstream: upstreams.Upstream,
        sink: interfaces.AnswerSink,
        progress: attempts.Progress,
    ) -> float:
        """Forwards one engine's response up to its end; returns confidence."""
        call = interfaces.GenerateCall(
            request.request_id,
            work.model,
            str(head.version),
            work.messages,
            work.max_tokens,
            request.priority,
            progress.text,
            progress.tokens,
        )
        stream = await self._dependencies.upstream_client.generate(
            upstream.entry,
            call,
            self._attempts.head_timeout_s(request, progress),
        )
        self._attempts.note_head(upstream, progress)
        tokens = 0
        try:
            while True:
                frames = await stream.read()
                tokens += frames.tokens
                if work.stream:
                    await self._forward_frames(head, frames, sink, progress)
                if frames.is_end:
                    return frames.confidence or 0.0
        finally:
            stream.close()
            progress.text += stream.text()
            progress.tokens += tokens
            self._add_cost(work.model, str(head.version), tokens, progress)

    async def _forward_frames(
        self,
        head: requests.AnswerMetadata,
        frames: interfaces.StreamedFrames,
        sink: interfaces.AnswerSink,
        progress: attempts.Progress,
    ) -> None:
        if not progress.is_started:
            progress.is_started = True
            await sink.start(head._replace(attempts=progress.attempts))
        await sink.write(frames.payload)

    def _add_cost(
        self, model: str, version: str, tokens: int, progress: attempts.Progress
    ) -> None:
        record = self._state.catalog.model(model)
        if record is not None and version in record.versions:
            price = record.versions[version].cost_per_1k_tokens
            progress.cost += tokens * price / 1000
        progress.generated_tokens += tokens

    def _response_head(
        self,
        request: requests.Request,
        work: requests.ModelWork,
        choice: version_selection.VersionChoice,
        version: str,
    ) -> requests.AnswerMetadata:
        del request
        return requests.AnswerMetadata(
            work.model, version, None, choice.session_moved, 0
        )

    def _pin_session(
        self, request: requests.Request, work: requests.ModelWork, version: str
    ) -> None:
        if request.session is not None:
            key = sessions.SessionKey(
                request.organisation, request.session, work.model
            )
            self._dependencies.sessions.pin_session(key, version)


def _may_change_version(
    error: errors.RefusalError, progress: attempts.Progress
) -> bool:
    """Returns whether the call may restart on another version."""
    return (
        error.reason is reasons.RefusalReason.VERSION_WITHDRAWN
        and progress.attempts > 0
        and not progress.is_started
    )
