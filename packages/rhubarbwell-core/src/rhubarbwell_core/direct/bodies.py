"""Bound the bytes of request bodies that are outstanding at a backend server."""

from rhubarbwell_core.direct.backends import BackendState
from rhubarbwell_core.direct.requests import ActiveRequest

__all__ = ["BodyBytesLimit"]

# Weight of a request in the mean body size of a service's requests.
MEAN_SMOOTHING = 0.02
# Share of the bound up to which others' bodies leave room for one larger than a share.
MAX_OTHERS_SHARE = 0.75


class BodyBytesLimit:
    """Limit the request body bytes at each server, over all instances together.

    A server ends when the requests that it runs and queues exceed its memory. Its bound
    is bytes_per_slot for each of its slots, and each instance uses an equal share of
    it. A body larger than the share is sent if it is the only one of this instance
    there, and if the bodies of others at the server leave room by its load, taken to be
    of the mean size of this instance's: so few of them meet, and none is refused
    everywhere. Loads are known too late to use more of what others leave. Without
    bytes_per_slot, there is no limit.
    """

    def __init__(self, bytes_per_slot: int | None) -> None:
        self._bytes_per_slot = bytes_per_slot
        self._mean_bytes: dict[str, float] = {}

    def record_request(self, req: ActiveRequest) -> None:
        """Update the mean body size of a service by a request that arrived."""
        mean = self._mean_bytes.setdefault(req.service, float(req.body_bytes))
        mean += MEAN_SMOOTHING * (req.body_bytes - mean)
        self._mean_bytes[req.service] = mean

    def admits(
        self, req: ActiveRequest, state: BackendState, load: float, senders: int
    ) -> bool:
        """Return True if the body of a request may be sent to a server.

        load is the server's estimated load, senders the number of the instances that
        share the bound.
        """
        if self._bytes_per_slot is None or not req.body_bytes:
            return True
        held = sum(other.body_bytes for other in state.sent_at_ms)
        slots = state.entry.slots
        bound = self._bytes_per_slot * slots
        if held + req.body_bytes <= bound / senders:
            return True
        mean = self._mean_bytes.get(req.service, 0.0)
        others = mean * max(load - state.in_flight, 0.0)
        return not held and others <= MAX_OTHERS_SHARE * bound
