"""The identity of an entry instance."""

from typing import NamedTuple

__all__ = ["Address", "Identity", "host_port"]


class Address(NamedTuple):
    """Name a TCP address by IP number and port."""

    host: str
    port: int


class Identity(NamedTuple):
    """Tell which entry instance a core decides for."""

    instance_id: str
    incarnation: str
    zone: str
    region: str
    callers: Address
    peers: Address


def host_port(address: Address) -> str:
    """Return the address as in a URL.

    >>> host_port(Address("::1", 80))
    '[::1]:80'
    """
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
