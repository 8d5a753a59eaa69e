"""The identity of an entry instance."""

from typing import NamedTuple

__all__ = ["Address", "Identity"]


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
