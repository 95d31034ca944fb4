"""States what sending work to another availability zone costs.

The cost is a wait: work crosses to a zone if it begins there sooner by more
than that. It grows with the bytes that cross.
"""

from lycheegw.state import edge_settings
from lycheegw.state import forwarded_requests

__all__ = ["ZoneCosts"]

_BYTES_PER_MB = 1_000_000


class ZoneCosts:
    """What a deployment's settings say about crossing zones."""

    def __init__(self, own_zone: str, settings: edge_settings.LoadSettings):
        self._own_zone = own_zone
        self._settings = settings

    def crossing_s(self, zone: str, body_bytes: int) -> float:
        """Returns the seconds of wait that sending a body is worth.

        Args:
            zone: Zone of the upstream; the node's own costs nothing.
            body_bytes: Length of the body.
        """
        if zone == self._own_zone:
            return 0.0
        megabytes = body_bytes / _BYTES_PER_MB
        return (
            self._settings.crossing_s
            + self._settings.crossing_s_per_mb * megabytes
        )

    def work_crossing_s(
        self, work: forwarded_requests.ForwardedWork, zone: str
    ) -> float:
        """Returns the seconds of wait that sending a request is worth."""
        return self.crossing_s(zone, len(work.incoming.body))
