"""Sessions and the model versions that they are pinned to."""

import collections
from typing import NamedTuple

__all__ = ["SessionClaim", "SessionKey", "SessionPins"]

_MAX_PINS = 50_000
_MAX_AGE_S = 24 * 3600.0


class SessionKey(NamedTuple):
    """A session of an organisation with one model."""

    organisation: str
    session: str
    model: str


class SessionClaim(NamedTuple):
    """The version that a session uses, as stored in a token or a pin.

    Attributes:
        organisation: Name of the organisation.
        session: Identifier that the client gave the session.
        model: Name of the model.
        version: Version that the session is pinned to.
        pinned_s: Wall-clock second of the response that set it.
    """

    organisation: str
    session: str
    model: str
    version: str
    pinned_s: float = 0.0

    @property
    def key(self) -> SessionKey:
        """Key of the session that the claim is for."""
        return SessionKey(self.organisation, self.session, self.model)


class SessionPins:
    """Claims by session; the least recently stored are dropped first."""

    def __init__(self, max_pins: int = _MAX_PINS):
        self._max_pins = max_pins
        self._claim_by_key: collections.OrderedDict[
            SessionKey, SessionClaim
        ] = collections.OrderedDict()

    def pin(self, claim: SessionClaim) -> None:
        """Stores a claim unless a newer one is stored."""
        known = self._claim_by_key.get(claim.key)
        if known is not None and known.pinned_s > claim.pinned_s:
            return
        self._claim_by_key[claim.key] = claim
        self._claim_by_key.move_to_end(claim.key)
        while len(self._claim_by_key) > self._max_pins:
            self._claim_by_key.popitem(last=False)

    def claim(self, key: SessionKey, wall_s: float) -> SessionClaim | None:
        """Returns the claim of a session, None if it has none or it expired."""
        claim = self._claim_by_key.get(key)
        if claim is None or wall_s - claim.pinned_s > _MAX_AGE_S:
            return None
        return claim
