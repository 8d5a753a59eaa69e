"""Rendezvous hashing: the same choice on every instance that sees the same ids."""

import hashlib
from collections.abc import Iterable, Mapping
from math import log

__all__ = ["rendezvous", "weighted_rendezvous"]


def rendezvous(key: str, ids: Iterable[str], count: int = 1) -> list[str]:
    """Return the `count` ids of highest weight for the key, highest first.

    >>> chosen = rendezvous("poll", ["a", "b", "c", "d"], 2)
    >>> others = [name for name in "abcd" if name not in chosen]
    >>> rendezvous("poll", chosen + others[:1], 2) == chosen
    True
    """
    return sorted(ids, key=lambda name: _weight(key, name), reverse=True)[:count]


def weighted_rendezvous(key: str, shares: Mapping[str, float]) -> str:
    """Return the id for the key; over all keys, ids are chosen by their shares.

    A change of the shares changes the choice for as few keys as possible. Raises
    ValueError if no share is positive.

    >>> chosen = [weighted_rendezvous(str(n), {"a": 3.0, "b": 1.0}) for n in range(400)]
    >>> 0.7 < chosen.count("a") / 400 < 0.8
    True
    """
    names = [name for name, share in shares.items() if share > 0.0]
    return min(names, key=lambda name: -log(_fraction(key, name)) / shares[name])


def _fraction(key: str, name: str) -> float:
    """Return a number that is uniform in (0, 1] over all keys and names."""
    weight = int.from_bytes(_weight(key, name), "big")
    return (weight + 1) / (1 << 64)


def _weight(key: str, name: str) -> bytes:
    # Keys are decoded from any bytes, those that are no UTF-8 to surrogates.
    data = f"{key}\n{name}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=8).digest()
