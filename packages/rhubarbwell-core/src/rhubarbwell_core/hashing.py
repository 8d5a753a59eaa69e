"""Rendezvous hashing: the same choice on every instance that sees the same ids."""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous"]


def rendezvous(key: str, ids: Iterable[str], count: int = 1) -> list[str]:
    """Return the `count` ids of highest weight for the key, highest first.

    >>> chosen = rendezvous("poll", ["a", "b", "c", "d"], 2)
    >>> others = [name for name in "abcd" if name not in chosen]
    >>> rendezvous("poll", chosen + others[:1], 2) == chosen
    True
    """
    return sorted(ids, key=lambda name: _weight(key, name), reverse=True)[:count]


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\n{name}".encode(), digest_size=8).digest()
