"""Parsing of service files: a service, its kinds of requests and its endpoints."""

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

__all__ = ["FORMAT_RANGE", "FORMAT_VERSION", "RANK_NAMES", "read_service"]

FORMAT_VERSION = 1
MAX_DEADLINE_MS = 24 * 60 * 60 * 1_000
MAX_BODY_BYTES = 1 << 40
DEFAULT_PORT = 8080
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
RANK_NAMES = tuple(rank_name(rank) for rank in Rank)
FORBIDDEN_OUTCOMES = ("run_twice", "cut_off", "served_late")

FORMAT_RANGE = Range(1, FORMAT_VERSION)
PORT_RANGE = Range(1, 65_535)
SLOT_RANGE = Range(1, 100_000)
CONNECTION_RANGE = Range(1, 1_000_000)
DEADLINE_RANGE = Range(1, MAX_DEADLINE_MS, "ms")
WORTH_RANGE = Range(0, 1_000_000)
OBJECTIVE_RANGE = Range(0.5, 0.99999, "of the requests")
BODY_SIZE_RANGE = Range(0, MAX_BODY_BYTES, "bytes")

_KIND_DEFAULTS = WorkKind("", "", "")
_BACKEND_DEFAULTS = BackendSpec("", "", "", DEFAULT_PORT)
_SERVICE_DEFAULTS = ServiceSpec("", (), ())


def read_service(fields: FieldReader) -> ServiceSpec:
    """Return the service of an object; invalid fields are reported as findings."""
    fields.integer("format", FORMAT_RANGE, default=FORMAT_VERSION)
    name = fields.name("service")
    description = fields.text("description", default="")
    health_path = _read_path(fields, "health_path", _SERVICE_DEFAULTS.health_path)
    load_path = _read_path(fields, "load_path", _SERVICE_DEFAULTS.load_path)
    kinds = tuple(_read_kind(kind) for kind in fields.objects("kinds", required=True))
    backends = _read_endpoints(fields)
    fields.report_unknown_fields()
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
        rank=rank_from_name(fields.choice("rank", RANK_NAMES)),
        idempotent=fields.boolean("idempotent"),
        deadline_ms=fields.integer(
            "deadline_ms", DEADLINE_RANGE, default=_KIND_DEFAULTS.deadline_ms
        ),
        worth=fields.number("worth", WORTH_RANGE, default=_KIND_DEFAULTS.worth),
        objective=fields.number(
            "objective", OBJECTIVE_RANGE, default=_KIND_DEFAULTS.objective
        ),
        max_body_bytes=fields.integer(
            "max_body_bytes", BODY_SIZE_RANGE, default=_KIND_DEFAULTS.max_body_bytes
        ),
        never=fields.texts("never"),
        public=fields.boolean("public", default=False),
    )
    _check_forbidden_outcomes(fields, kind)
    fields.report_unknown_fields()
    return kind


def _check_forbidden_outcomes(fields: FieldReader, kind: WorkKind) -> None:
    for index, word in enumerate(kind.never):
        if word not in FORBIDDEN_OUTCOMES:
            fields.add_finding(
                f"never[{index}]",
                fields.unknown_value_message(word, FORBIDDEN_OUTCOMES),
            )
    if len(set(kind.never)) < len(kind.never):
        fields.add_finding("never", "must not list a value more than once")
    if "run_twice" in kind.never and kind.idempotent:
        fields.add_finding("never", "'run_twice' contradicts idempotent: true")
    if "served_late" in kind.never and not fields.has("deadline_ms"):
        fields.add_finding("never", "'served_late' requires an explicit deadline_ms")


def _read_path(fields: FieldReader, name: str, default: str | None) -> str:
    path = fields.text(name, default=default)
    if path and not path.startswith("/"):
        fields.add_finding(name, f"{path!r} must start with '/'")
    if any(char in path for char in "?# "):
        fields.add_finding(
            name, f"{path!r} must not contain a query, a fragment or spaces"
        )
    return path


def _read_endpoints(fields: FieldReader) -> dict[str, BackendSpec]:
    """Return the backend servers by their key in the file."""
    defaults = _BACKEND_DEFAULTS._replace(
        port=fields.integer("port", PORT_RANGE, default=DEFAULT_PORT),
        slots=fields.integer("slots", SLOT_RANGE, default=_BACKEND_DEFAULTS.slots),
        connections=fields.integer(
            "connections", CONNECTION_RANGE, default=_BACKEND_DEFAULTS.connections
        ),
    )
    zones = fields.object("endpoints")
    if zones is None:
        fields.add_finding(
            "endpoints", "is missing: an object of lists by availability zone"
        )
        return {}
    backends = {}
    for zone in sorted(zones.read_keys()):
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
        port=fields.integer("port", PORT_RANGE, default=defaults.port),
        slots=fields.integer("slots", SLOT_RANGE, default=defaults.slots),
        connections=fields.integer(
            "connections", CONNECTION_RANGE, default=defaults.connections
        ),
        draining=fields.boolean("draining", default=False),
    )
    fields.report_unknown_fields()
    return backend


def _check_kinds(fields: FieldReader, kinds: tuple[WorkKind, ...]) -> None:
    names: dict[str, int] = {}
    routes: dict[tuple[str, str], int] = {}
    for index, kind in enumerate(kinds):
        key = f"kinds[{index}]"
        first = names.setdefault(kind.name, index)
        if first != index:
            fields.log.add_at_key(f"{key}.name", f"duplicates kinds[{first}].name")
        first = routes.setdefault((kind.method, kind.path_prefix), index)
        if first != index:
            message = f"duplicates the method and path of kinds[{first}]"
            fields.log.add_at_key(f"{key}.path_prefix", message)


def _check_backends(fields: FieldReader, backends: dict[str, BackendSpec]) -> None:
    ids: dict[str, str] = {}
    addresses: dict[tuple[str, int], str] = {}
    for key, backend in backends.items():
        first = ids.setdefault(backend.backend_id, key)
        if first != key:
            fields.log.add_at_key(f"{key}.id", f"duplicates {first}.id")
        first = addresses.setdefault((backend.host, backend.port), key)
        if first != key:
            fields.log.add_at_key(f"{key}.host", f"duplicates the address of {first}")
