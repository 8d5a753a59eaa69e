"""Define the settings of one entry instance."""

from typing import NamedTuple

from rhubarbwell_core.model import Address

__all__ = ["Settings", "TlsSettings"]

DEFAULT_STOP_MAX_S = 900.0


class TlsSettings(NamedTuple):
    """Hold the paths of the PEM files for the listeners of callers and operators.

    Requests to other entry instances trust the certificate too.
    """

    certificate: str
    private_key: str


class Settings(NamedTuple):
    """Hold the validated settings of an entry instance.

    platform is a base URL, stop_max_s the longest graceful shutdown in seconds.
    """

    instance_id: str
    zone: str
    region: str
    callers: Address
    operators: Address
    peers: Address
    platform: str
    seeds: tuple[Address, ...] = ()
    peer_keys: tuple[str, ...] = ()
    log_format: str = "json"
    log_level: str = "info"
    tls: TlsSettings | None = None
    stop_max_s: float = DEFAULT_STOP_MAX_S
