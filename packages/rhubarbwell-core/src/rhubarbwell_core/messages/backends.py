"""Events about backend servers, handled by routing."""

from typing import NamedTuple

__all__ = ["BackendLeaving", "BackendReturned", "ConnectionSilent", "LoadReported"]


class LoadReported(NamedTuple):
    """Report the load that a backend server stated, read at measured_ms."""

    backend_id: str
    in_flight: int
    measured_ms: int
    healthy: bool = True
    draining: bool = False


class BackendLeaving(NamedTuple):
    """Report that a source marks a backend server as leaving."""

    backend_id: str
    source: str


class BackendReturned(NamedTuple):
    """Report that a source no longer marks a backend server as leaving."""

    backend_id: str
    source: str


class ConnectionSilent(NamedTuple):
    """Report that the shell retired a connection that made no progress."""

    backend_id: str
