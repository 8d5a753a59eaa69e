"""Events that tell routing about backend servers."""

from typing import NamedTuple

__all__ = ["BackendLeaving", "BackendReturned", "ConnectionSilent", "LoadReported"]


class LoadReported(NamedTuple):
    """Report a backend server's answer on its load, read at measured_ms."""

    backend_id: str
    in_flight: int
    measured_ms: int
    healthy: bool = True
    draining: bool = False


class BackendLeaving(NamedTuple):
    """Report a sign, from any source, that a backend server is leaving."""

    backend_id: str
    source: str


class BackendReturned(NamedTuple):
    """Report that the source no longer says that the backend server is leaving."""

    backend_id: str
    source: str


class ConnectionSilent(NamedTuple):
    """Report a connection without progress, which the shell has retired."""

    backend_id: str
