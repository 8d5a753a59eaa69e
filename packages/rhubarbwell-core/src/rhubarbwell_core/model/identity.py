"""The identity of an entry instance."""

from typing import NamedTuple

__all__ = ["Address", "Identity", "host_port"]


class Address(NamedTuple):
    """Represent a TCP endpoint by IP address and port."""

    host: str
    port: int


class Identity(NamedTuple):
    """Identify an entry instance.

    callers is its address for callers, peers the one for other instances.
    """

    instance_id: str
    incarnation: str
    zone: str
    region: str
    callers: Address
    peers: Address


def host_port(address: Address) -> str:
    """Return the address as host:port, an IPv6 host in brackets.

    >>> host_port(Address("::1", 80))
    '[::1]:80'
    """
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
