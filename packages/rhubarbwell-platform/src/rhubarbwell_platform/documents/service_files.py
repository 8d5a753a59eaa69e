"""Service files: what a service is, its kinds of work and its endpoints."""

from rhubarbwell_core.model import (
    BackendSpec,
    Rank,
    ServiceSpec,
    WorkKind,
    rank_from_name,
    rank_name,
)

from rhubarbwell_platform.documents.addresses import read_ip
from rhubarbwell_platform.documents.fields import FieldReader, Range

__all__ = ["FORMAT", "read_service"]

FORMAT = 1
MAX_DEADLINE_MS = 24 * 60 * 60 * 1_000
MAX_BODY_BYTES = 1 << 40
DEFAULT_PORT = 8080
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
RANKS = tuple(rank_name(rank) for rank in Rank)
NEVER = ("run_twice", "cut_off", "served_late")

FORMATS = Range(1, FORMAT)
PORTS = Range(1, 65_535)
SLOTS = Range(1, 100_000)
CONNECTIONS = Range(1, 1_000_000)
DEADLINES = Range(1, MAX_DEADLINE_MS, "ms")
WORTHS = Range(0, 1_000_000)
OBJECTIVES = Range(0.5, 0.99999, "of the requests")
BODIES = Range(0, MAX_BODY_BYTES, "bytes")

_KIND_DEFAULTS = WorkKind("", "", "")
_BACKEND_DEFAULTS = BackendSpec("", "", "", DEFAULT_PORT)
_SERVICE_DEFAULTS = ServiceSpec("", (), ())


def read_service(fields: FieldReader) -> ServiceSpec:
    """Read a service; what does not fit is in the reader's log."""
    fields.integer("format", FORMATS, default=FORMAT)
    name = fields.name("service")
    description = fields.text("description", default="")
    health_path = _read_path(fields, "health_path", _SERVICE_DEFAULTS.health_path)
    load_path = _read_path(fields, "load_path", _SERVICE_DEFAULTS.load_path)
    kinds = tuple(_read_kind(kind) for kind in fields.objects("kinds", required=True))
    backends = _read_endpoints(fields)
    fields.finish()
    _check_kinds(fields, kinds)
    _check_backends(fields, backends)
    return ServiceSpec(
        name, kinds, tuple(backends.values()), description, health_path, load_path
    )


def _read_kind(fields: FieldReader) -> WorkKind:
    kind = WorkKind(
        name=fields.name("name"),
        method=fields.choice("method", METHODS),
        path_prefix=_read_path(fields, "path_prefix", None),
        rank=rank_from_name(fields.choice("rank", RANKS)),
        idempotent=fields.flag("idempotent"),
        deadline_ms=fields.integer(
            "deadline_ms", DEADLINES, default=_KIND_DEFAULTS.deadline_ms
        ),
        worth=fields.number("worth", WORTHS, default=_KIND_DEFAULTS.worth),
        objective=fields.number(
            "objective", OBJECTIVES, default=_KIND_DEFAULTS.objective
        ),
        max_body_bytes=fields.integer(
            "max_body_bytes", BODIES, default=_KIND_DEFAULTS.max_body_bytes
        ),
        never=fields.texts("never"),
    )
    _check_never(fields, kind)
    fields.finish()
    return kind


def _check_never(fields: FieldReader, kind: WorkKind) -> None:
    for index, word in enumerate(kind.never):
        if word not in NEVER:
            fields.add(f"never[{index}]", fields.unknown_value(word, NEVER))
    if len(set(kind.never)) < len(kind.never):
        fields.add("never", "a word stands twice")
    if "run_twice" in kind.never and kind.idempotent:
        fields.add("never", "'run_twice' contradicts idempotent: true")
    if "served_late" in kind.never and not fields.has("deadline_ms"):
        fields.add("never", "'served_late' needs a stated deadline_ms")


def _read_path(fields: FieldReader, name: str, default: str | None) -> str:
    path = fields.text(name, default=default)
    if path and not path.startswith("/"):
        fields.add(name, f"{path!r} must start with '/'")
    if any(char in path for char in "?# "):
        fields.add(name, f"{path!r} must be a path without query or spaces")
    return path


def _read_endpoints(fields: FieldReader) -> dict[str, BackendSpec]:
    """Return the backend servers by key of the file."""
    defaults = _BACKEND_DEFAULTS._replace(
        port=fields.integer("port", PORTS, default=DEFAULT_PORT),
        slots=fields.integer("slots", SLOTS, default=_BACKEND_DEFAULTS.slots),
        connections=fields.integer(
            "connections", CONNECTIONS, default=_BACKEND_DEFAULTS.connections
        ),
    )
    zones = fields.object("endpoints")
    if zones is None:
        fields.add("endpoints", "is missing: an object of lists by availability zone")
        return {}
    backends = {}
    for zone in sorted(zones.members()):
        for endpoint in zones.objects(zone):
            backends[endpoint.key] = _read_endpoint(endpoint, zone, defaults)
    return backends


def _read_endpoint(
    fields: FieldReader, zone: str, defaults: BackendSpec
) -> BackendSpec:
    backend = BackendSpec(
        backend_id=fields.name("id"),
        zone=zone,
        host=read_ip(fields, "host"),
        port=fields.integer("port", PORTS, default=defaults.port),
        slots=fields.integer("slots", SLOTS, default=defaults.slots),
        connections=fields.integer(
            "connections", CONNECTIONS, default=defaults.connections
        ),
        draining=fields.flag("draining", default=False),
    )
    fields.finish()
    return backend


def _check_kinds(fields: FieldReader, kinds: tuple[WorkKind, ...]) -> None:
    names: dict[str, int] = {}
    routes: dict[tuple[str, str], int] = {}
    for index, kind in enumerate(kinds):
        key = f"kinds[{index}]"
        first = names.setdefault(kind.name, index)
        if first != index:
            fields.log.add_at_key(f"{key}.name", f"doubles kinds[{first}].name")
        first = routes.setdefault((kind.method, kind.path_prefix), index)
        if first != index:
            message = f"doubles the method and path of kinds[{first}]"
            fields.log.add_at_key(f"{key}.path_prefix", message)


def _check_backends(fields: FieldReader, backends: dict[str, BackendSpec]) -> None:
    ids: dict[str, str] = {}
    addresses: dict[tuple[str, int], str] = {}
    for key, backend in backends.items():
        first = ids.setdefault(backend.backend_id, key)
        if first != key:
            fields.log.add_at_key(f"{key}.id", f"doubles {first}.id")
        first = addresses.setdefault((backend.host, backend.port), key)
        if first != key:
            fields.log.add_at_key(f"{key}.host", f"doubles the address of {first}")
