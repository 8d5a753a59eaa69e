"""Authenticate messages between entry instances with shared keys."""

import hashlib
import hmac
from collections.abc import Sequence

__all__ = ["MAX_PEER_KEYS", "MIN_PEER_KEY_BYTES", "PeerKeys"]

MAX_PEER_KEYS = 2
MIN_PEER_KEY_BYTES = 16
TAG_BYTES = 16


class PeerKeys:
    """Hold the shared keys; sign with the first and accept any, for key rotation.

    >>> old, new = b"o" * 16, b"n" * 16
    >>> tag = PeerKeys([old]).sign(b"message")
    >>> PeerKeys([new, old]).verify(b"message", tag)
    True
    >>> PeerKeys([new]).verify(b"message", tag)
    False
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        """Store 1 to MAX_PEER_KEYS keys of at least MIN_PEER_KEY_BYTES each.

        Raises ValueError for another number of keys or for a shorter key.
        """
        if not 1 <= len(keys) <= MAX_PEER_KEYS:
            raise ValueError(f"expected 1 to {MAX_PEER_KEYS} keys, got {len(keys)}")
        if any(len(key) < MIN_PEER_KEY_BYTES for key in keys):
            raise ValueError(f"a key is shorter than {MIN_PEER_KEY_BYTES} bytes")
        self._keys = tuple(keys)

    def sign(self, data: bytes) -> bytes:
        """Return the HMAC-SHA256 of the data under the first key, cut to TAG_BYTES."""
        return _tag(self._keys[0], data)

    def verify(self, data: bytes, tag: bytes) -> bool:
        """Return True if the tag is valid for the data under any of the keys."""
        return any(hmac.compare_digest(_tag(key, data), tag) for key in self._keys)

    def sign_text(self, *parts: str) -> str:
        """Return the tag of the parts in hexadecimal, for use in an HTTP header."""
        return self.sign(_length_prefixed(parts)).hex()

    def verify_text(self, tag: str, *parts: str) -> bool:
        """Return True if the hexadecimal tag is valid for the parts.

        >>> keys = PeerKeys([b"k" * 16])
        >>> keys.verify_text(keys.sign_text("a", "b"), "a", "b")
        True
        >>> keys.verify_text(keys.sign_text("ab", ""), "a", "b")
        False
        """
        try:
            return self.verify(_length_prefixed(parts), bytes.fromhex(tag))
        except ValueError:
            return False


def _tag(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, hashlib.sha256)[:TAG_BYTES]


def _length_prefixed(parts: Sequence[str]) -> bytes:
    encoded = [part.encode() for part in parts]
    return b"".join(len(part).to_bytes(4, "big") + part for part in encoded)
