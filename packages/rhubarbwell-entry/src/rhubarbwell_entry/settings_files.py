"""Read settings from JSON with comments and report all findings at once."""

from pathlib import Path

from rhubarbwell_core.errors import RhubarbwellError
from rhubarbwell_core.model import Address
from rhubarbwell_platform.documents import (
    DocumentSyntaxError,
    FieldReader,
    Finding,
    FindingLog,
    Range,
    format_findings,
    parse_jsonc,
)

from rhubarbwell_entry.peers.keys import MAX_PEER_KEYS
from rhubarbwell_entry.settings import (
    DEFAULT_STOP_MAX_S,
    Settings,
    TlsSettings,
)

__all__ = ["SettingsError", "parse_settings", "read_settings"]

MIN_KEY_CHARACTERS = 32
PORT_RANGE = Range(0, 65_535)
LOG_FORMATS = ("json", "plain")
LOG_LEVELS = ("debug", "info", "warning", "error")
STOP_MAX_RANGE_S = Range(1, 86_400, "s")


class SettingsError(RhubarbwellError):
    """Report every finding in a settings file."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__(format_findings(findings))
        self.findings = findings


def read_settings(path: Path) -> Settings:
    """Return the settings in a file.

    Raises SettingsError, or OSError or UnicodeDecodeError for an unreadable file.
    """
    return parse_settings(path.read_text(encoding="utf-8"), file=str(path))


def parse_settings(text: str, *, file: str = "settings") -> Settings:
    """Return the settings in a text; raise SettingsError with every finding."""
    log = FindingLog(file)
    try:
        node = parse_jsonc(text)
    except DocumentSyntaxError as exc:
        log.add(exc.position, "", exc.message)
        raise SettingsError(log.findings()) from exc
    settings = _read_fields(FieldReader(node, "", log))
    if log.findings():
        raise SettingsError(log.findings())
    return settings


def _read_fields(reader: FieldReader) -> Settings:
    settings = Settings(
        instance_id=reader.name("instance_id"),
        zone=reader.name("zone"),
        region=reader.name("region"),
        callers=_read_address(reader, "callers"),
        operators=_read_address(reader, "operators"),
        peers=_read_address(reader, "peers"),
        platform=_read_url(reader, "platform"),
        seeds=tuple(_read_host_port(seed) for seed in reader.objects("seeds")),
        peer_keys=_read_peer_keys(reader),
        log_format=reader.choice("log_format", LOG_FORMATS, default="json"),
        log_level=reader.choice("log_level", LOG_LEVELS, default="info"),
        tls=_read_tls(reader),
        stop_max_s=reader.number(
            "stop_max_s", STOP_MAX_RANGE_S, default=DEFAULT_STOP_MAX_S
        ),
    )
    reader.report_unknown_fields()
    return settings


def _read_address(reader: FieldReader, name: str) -> Address:
    nested = reader.object(name)
    if nested is None:
        reader.add_finding(name, 'is missing: {"host": ..., "port": ...}')
        return Address("", 0)
    return _read_host_port(nested)


def _read_host_port(reader: FieldReader) -> Address:
    address = Address(reader.text("host"), reader.integer("port", PORT_RANGE))
    reader.report_unknown_fields()
    return address


def _read_url(reader: FieldReader, name: str) -> str:
    url = reader.text(name)
    if url and not url.startswith(("http://", "https://")):
        reader.add_finding(name, f"{url!r} must begin with http:// or https://")
    return url.rstrip("/")


def _read_peer_keys(reader: FieldReader) -> tuple[str, ...]:
    keys = reader.texts("peer_keys", required=True)
    if len(keys) > MAX_PEER_KEYS:
        reader.add_finding(
            "peer_keys",
            f"{len(keys)} keys given; at most {MAX_PEER_KEYS} are valid at once",
        )
    if any(len(key) < MIN_KEY_CHARACTERS for key in keys):
        reader.add_finding(
            "peer_keys", f"keys need at least {MIN_KEY_CHARACTERS} characters"
        )
    return keys


def _read_tls(reader: FieldReader) -> TlsSettings | None:
    nested = reader.object("tls")
    if nested is None:
        return None
    tls = TlsSettings(nested.text("certificate"), nested.text("private_key"))
    nested.report_unknown_fields()
    return tls
