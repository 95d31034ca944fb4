"""Signs and verifies the tokens that state the version of a session."""

from typing import Any

import itsdangerous

from lycheegw.state import sessions

__all__ = ["SessionTokens"]

_SALT = "lycheegw-session"


class SessionTokens:
    """Signs and verifies session tokens with the key that all nodes share."""

    def __init__(self, key: str):
        self._serializer = itsdangerous.URLSafeSerializer(key, salt=_SALT)

    def sign(self, claim: sessions.SessionClaim) -> str:
        """Returns the token of a claim."""
        return str(self._serializer.dumps(list(claim)))

    def verify(self, token: str) -> sessions.SessionClaim | None:
        """Returns the claim of a token, None if its signature is not valid."""
        try:
            value: Any = self._serializer.loads(token)
            return sessions.SessionClaim(*value)
        except (itsdangerous.BadData, TypeError):
            return None
