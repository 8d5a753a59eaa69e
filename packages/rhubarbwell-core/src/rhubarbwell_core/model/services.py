"""Services, their kinds of requests and their backend servers."""

from typing import NamedTuple

from rhubarbwell_core.model.ranks import Rank

__all__ = ["BackendSpec", "ServiceSpec", "WorkKind", "matching_kind"]

DEFAULT_SLOTS = 3
DEFAULT_CONNECTIONS = 400
DEFAULT_MAX_BODY_BYTES = 1 << 30
DEFAULT_DEADLINE_MS = 2_000


class WorkKind(NamedTuple):
    """Describe one kind of request that a service handles.

    objective is the share of requests that must be good. The outcomes in never,
    such as run_twice, are those that the service's team rules out. Requests of a public
    kind need no account.
    """

    name: str
    method: str
    path_prefix: str
    rank: Rank = Rank.STANDARD
    idempotent: bool = False
    deadline_ms: int = DEFAULT_DEADLINE_MS
    worth: float = 1.0
    objective: float = 0.99
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    never: tuple[str, ...] = ()
    public: bool = False


class BackendSpec(NamedTuple):
    """Describe one backend server of a service."""

    backend_id: str
    zone: str
    host: str
    port: int
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    draining: bool = False


class ServiceSpec(NamedTuple):
    """Hold the contents of a service file."""

    name: str
    kinds: tuple[WorkKind, ...]
    backends: tuple[BackendSpec, ...]
    description: str = ""
    health_path: str = "/health"
    load_path: str = "/load"


def matching_kind(service: ServiceSpec, method: str, path: str) -> WorkKind | None:
    """Return the kind with the longest matching path prefix, None if none matches.

    >>> kinds = (WorkKind("page", "GET", "/"), WorkKind("slot", "GET", "/slots"))
    >>> spec = ServiceSpec("slotsvc", kinds, ())
    >>> matching_kind(spec, "GET", "/slots/7").name
    'slot'
    """
    matching = [
        kind
        for kind in service.kinds
        if kind.method == method and _is_below_prefix(path, kind.path_prefix)
    ]
    return max(matching, key=lambda kind: len(kind.path_prefix), default=None)


def _is_below_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    ends_at_boundary = prefix.endswith("/") or len(path) == len(prefix)
    return ends_at_boundary or path[len(prefix)] in "/?"
