"""The settings of one entry instance."""

from typing import NamedTuple

from rhubarbwell_core.model import Address

__all__ = ["PlatformSettings", "Settings", "TlsSettings"]

DEFAULT_STOP_MAX_S = 900.0


class PlatformSettings(NamedTuple):
    """Name the base URLs of the platform's services."""

    table_service: str
    object_store: str
    instance_list: str


class TlsSettings(NamedTuple):
    """Name the PEM files for callers and operators."""

    certificate: str
    private_key: str


class Settings(NamedTuple):
    """Hold the checked settings of an entry instance."""

    instance_id: str
    zone: str
    region: str
    callers: Address
    operators: Address
    peers: Address
    platform: PlatformSettings
    seeds: tuple[Address, ...] = ()
    peer_keys: tuple[str, ...] = ()
    log_format: str = "json"
    log_level: str = "info"
    tls: TlsSettings | None = None
    stop_max_s: float = DEFAULT_STOP_MAX_S
