"""The exception tree of the router."""

from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = [
    "ConfigurationError",
    "LogUnavailableError",
    "LycheeError",
    "PeerMessageError",
    "PeerUnavailableError",
    "PlatformError",
    "RecordError",
    "RefusalError",
    "SettingsError",
    "StoreConflictError",
    "StoreError",
    "StoreHistoryLostError",
    "UpstreamError",
]


class LycheeError(Exception):
    """Base of all errors that the router raises on purpose."""


class ConfigurationError(LycheeError):
    """Bad input from an operator, with the path of each fault."""

    def __init__(self, faults: list[str]):
        """Keeps `faults`, each "path: what is wrong"."""
        super().__init__("; ".join(faults))
        self.faults = faults


class SettingsError(ConfigurationError):
    """The settings of a daemon are not valid."""


class RecordError(ConfigurationError):
    """A configuration record is not valid by itself."""


class PlatformError(LycheeError):
    """A service of the platform did not answer as it should."""


class LogUnavailableError(PlatformError):
    """The log service did not confirm; an append may have taken effect."""

    def __init__(self, message: str, may_have_applied: bool = True):
        """Keeps whether an append may have taken effect."""
        super().__init__(message)
        self.may_have_applied = may_have_applied


class StoreError(PlatformError):
    """The store did not answer as asked.

    Attributes:
        may_have_applied: Whether a write may have taken effect, or still may.
    """

    def __init__(self, message: str, may_have_applied: bool = False):
        super().__init__(message)
        self.may_have_applied = may_have_applied


class StoreConflictError(StoreError):
    """A conditional write found a newer record; nothing was written."""


class StoreHistoryLostError(StoreError):
    """The records asked for are not kept any more; read the newest ones."""


class PeerUnavailableError(LycheeError):
    """Another node did not answer a call in time."""


class PeerMessageError(LycheeError):
    """A message of another node can't be read."""


class RefusalError(LycheeError):
    """A request ends without a whole answer.

    Attributes:
        reason: Why, as counted.
        verdict: Whether the request may have run.
        retry_after_s: When the caller may come again, None for never.
    """

    def __init__(
        self,
        reason: reasons.RefusalReason,
        message: str,
        verdict: verdicts.RunVerdict = verdicts.RunVerdict.NOT_RUN,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.reason = reason
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class UpstreamError(LycheeError):
    """One attempt at one upstream failed.

    Attributes:
        reason: Why, as counted.
        verdict: Whether this attempt may have run the request.
        retry_after_s: What the upstream asked for, None where it did not.
        is_silence: Whether nothing at all was heard, where an upstream that
            had died would have been heard of at once.
    """

    def __init__(
        self,
        reason: reasons.RetryReason,
        message: str,
        verdict: verdicts.RunVerdict,
        retry_after_s: float | None = None,
        is_silence: bool = False,
    ):
        super().__init__(message)
        self.reason = reason
        self.verdict = verdict
        self.retry_after_s = retry_after_s
        self.is_silence = is_silence
