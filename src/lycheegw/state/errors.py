"""Exception classes of the router."""

from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = [
    "ConfigurationError",
    "LogUnavailableError",
    "LycheeError",
    "PeerLostError",
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
    """Base class of all errors that the router raises."""


class ConfigurationError(LycheeError):
    """Input from an operator is not valid.

    Attributes:
        faults: The faults, each as "path: what is wrong".
    """

    def __init__(self, faults: list[str]):
        super().__init__("; ".join(faults))
        self.faults = faults


class SettingsError(ConfigurationError):
    """The settings of a node are not valid."""


class RecordError(ConfigurationError):
    """A configuration record is malformed or doesn't match its schema."""


class PlatformError(LycheeError):
    """A platform service failed or sent an unexpected response."""


class LogUnavailableError(PlatformError):
    """The log service did not confirm an operation.

    Attributes:
        may_have_applied: Whether an append may have taken effect.
    """

    def __init__(self, message: str, may_have_applied: bool = True):
        super().__init__(message)
        self.may_have_applied = may_have_applied


class StoreError(PlatformError):
    """The store failed or sent an unexpected response.

    Attributes:
        may_have_applied: Whether a write may have taken effect or may yet.
    """

    def __init__(self, message: str, may_have_applied: bool = False):
        super().__init__(message)
        self.may_have_applied = may_have_applied


class StoreConflictError(StoreError):
    """A conditional write failed because there is a newer record."""


class StoreHistoryLostError(StoreError):
    """The store no longer has the requested records; load the newest ones."""


class PeerUnavailableError(LycheeError):
    """Another node can't be reached or did not answer a call in time."""


class PeerLostError(LycheeError):
    """Another node took a request over, and its response broke off."""


class PeerMessageError(LycheeError):
    """A message from another node can't be decoded."""


class RefusalError(LycheeError):
    """A request ends without a complete response.

    Attributes:
        reason: Reason, which is also the name of a counter.
        verdict: Whether the request may have run. Code that made attempts
            raises the verdict of code that knows of none.
        retry_after_s: Seconds after which the client may retry, or None.
    """

    def __init__(
        self,
        reason: reasons.RefusalReason,
        message: str,
        verdict: verdicts.RunVerdict,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.reason = reason
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class UpstreamError(LycheeError):
    """One attempt at one upstream failed.

    Attributes:
        reason: Reason, which is also the name of a counter.
        verdict: Whether this attempt may have run the request.
        retry_after_s: Delay that the upstream asked for, or None.
        is_timeout: Whether nothing was received in time. The host is then
            unreachable, as the end of a process closes its connections.
    """

    def __init__(
        self,
        reason: reasons.RetryReason,
        message: str,
        verdict: verdicts.RunVerdict,
        retry_after_s: float | None = None,
        is_timeout: bool = False,
    ):
        super().__init__(message)
        self.reason = reason
        self.verdict = verdict
        self.retry_after_s = retry_after_s
        self.is_timeout = is_timeout
