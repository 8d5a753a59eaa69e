"""Record which servers were weighed for an attempt, and why others were left out."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.direct.requests import Target

__all__ = ["ChoiceTrace", "Exclusion", "WeighedServer"]


class Exclusion(Enum):
    """Represent why a backend server of the service may not get an attempt.

    AFFINITY means that enough servers of its region precede it in the object's order,
    CONNECTION_LIMIT that this instance has its share of the server's connections.
    """

    DRAINED = "drained"
    LEAVING = "leaving"
    EVACUATED_ZONE = "evacuated_zone"
    HOME_REGION = "home_region"
    TRIED = "tried"
    AFFINITY = "affinity"
    CONNECTION_LIMIT = "connection_limit"
    BODY_BYTES = "body_bytes"
    PAUSED = "paused"
    COLD = "cold"
    RATE_LIMIT = "rate_limit"
    EJECTED = "ejected"
    SHIFT_LIMIT = "shift_limit"


class WeighedServer(NamedTuple):
    """Hold a server that may get an attempt, and what its cost in ms consists of.

    The cost is network_ms, the target's queue_ms, server_ms, failure_ms, region_ms,
    link_ms and noise_ms. server_ms is the target's processing_ms times slowness and
    pace, or stalled_ms, the time for which the server has not answered, if that is
    more than twice as long. limit is the number of requests in progress from which
    further ones wait.
    """

    target: Target
    region: str
    cost_ms: float
    network_ms: float
    server_ms: float
    slowness: float
    pace: float
    stalled_ms: int
    hit_ratio: float
    limit: float
    failure_ms: float
    region_ms: float
    link_ms: float
    noise_ms: float


class ChoiceTrace:
    """Collect the servers that one choice weighed, and those that it left out.

    assigned_region is the region that the object is assigned to; None if that is not
    known, or if no server may get the attempt.
    """

    def __init__(self) -> None:
        self.weighed: list[WeighedServer] = []
        self.excluded: dict[str, Exclusion] = {}
        self.assigned_region: str | None = None

    def exclude(self, backend_id: str, reason: Exclusion) -> None:
        """Record why a server is left out."""
        self.excluded[backend_id] = reason

    def keep_only(self, kept: Iterable[str], among: Iterable[str]) -> None:
        """Record the servers that the limit on shifts between regions leaves out."""
        names = set(kept)
        for backend_id in among:
            if backend_id not in names:
                self.excluded[backend_id] = Exclusion.SHIFT_LIMIT
