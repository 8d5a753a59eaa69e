"""Define the routes, services and registry entries of direct forwarding."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.direct.accounts import ClientAccount
from rhubarbwell_core.model import Address

__all__ = [
    "BackendEntry",
    "CallerLimits",
    "InstanceEntry",
    "RequestKind",
    "Route",
    "RoutingConfig",
    "ServiceRule",
    "SplitPart",
]

MS_PER_S = 1_000


class RequestKind(Enum):
    """Represent whether a request may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Return True if a request may run more than once."""
        return self is RequestKind.SAFE


class SplitPart(NamedTuple):
    """Store a service and the weight of its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Map the requests of a host and path prefix to services.

    objective_ms is the latency up to which an answer has its full value to the
    caller; priority 0 is the most urgent. If home_regions is not empty, only servers
    in these regions get requests. A public route needs no client account.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    parts: tuple[SplitPart, ...]
    timeout_ms: int
    objective_ms: int
    max_attempts: int = 1
    priority: int = 0
    sticky: bool = False
    home_regions: frozenset[str] = frozenset()
    is_public: bool = False

    def expires_ms(self, arrived_ms: int, deadline_ms: int) -> int:
        """Return the time in ms at which a request ends without an answer."""
        return min(deadline_ms, arrived_ms + self.timeout_ms)


class ServiceRule(NamedTuple):
    """Store the limits and health check path of a service's backend servers.

    max_connections limits the connections to one backend server, all its clients
    together. cold_start_ms is the assumed time until a started server's caches are
    warm; while they are cold, all instances together send it at most cold_rate_per_s
    requests per second.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 400
    cold_start_ms: int = 0
    cold_rate_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Store the size limits of requests and the timeouts of callers' connections."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutingConfig(NamedTuple):
    """Store one version of the operators' routes, services, limits and accounts.

    accounts is None if requests need no client account.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceRule]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[ClientAccount, ...] | None = None


class BackendEntry(NamedTuple):
    """Describe a backend server as the registry lists it.

    cold_ms is the remaining time during which its caches are cold. born_ms is its
    start time, which changes with each restart; 0 if the registry does not give it.
    """

    backend_id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool = False
    cold_ms: int = 0
    born_ms: int = 0


class InstanceEntry(NamedTuple):
    """Describe an entry instance as it registered itself.

    beat grows with every heartbeat of the incarnation: it is the time in ms of its
    sending, by a steady clock that began at the Unix time of the process's start.
    Earlier builds count their heartbeats instead. capacity is the number of
    requests per second that its processor and link can handle. followers lists the
    instances that polled it recently and are therefore live; busy lists those of
    them, and possibly itself, whose event loops lag.
    """

    instance_id: str
    incarnation: str
    zone: str
    region: str
    callers: Address
    control: Address
    beat: int = 0
    leaving: bool = False
    capacity: float = 1.0
    followers: tuple[str, ...] = ()
    busy: tuple[str, ...] = ()
