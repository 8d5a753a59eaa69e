"""Client accounts of account files and their identification by key."""

from collections.abc import Iterable
from hashlib import sha256
from typing import NamedTuple

from rhubarbwell_core.model.ranks import Rank

__all__ = ["AccountDirectory", "AccountGroup", "AccountSpec", "key_digest"]


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is known."""
    return sha256(key.encode("utf-8", "surrogateescape")).digest()


class AccountSpec(NamedTuple):
    """Describe a client account.

    key_digests are the digests of its keys, in ascending order. rank, if given,
    replaces that of the kind of work. If home_regions is given, only instances in these
    regions serve the account.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    rank: Rank | None = None
    home_regions: tuple[str, ...] | None = None

    def __repr__(self) -> str:
        """Return a text without the digests, which must not reach logs."""
        return f"AccountSpec({self.name!r}, {len(self.key_digests)} keys)"

    def is_at_home(self, region: str) -> bool:
        """Return True if instances of the region may serve the account.

        >>> AccountSpec("a", home_regions=("r",)).is_at_home("q")
        False
        """
        return self.home_regions is None or region in self.home_regions


class AccountGroup(NamedTuple):
    """Hold the contents of an account file."""

    name: str
    accounts: tuple[AccountSpec, ...]


class AccountDirectory:
    """Look up the accounts of a configuration by key or by name.

    >>> account = AccountSpec("a", (key_digest("k-1"),))
    >>> directory = AccountDirectory([account])
    >>> directory.find("k-1") == directory.named("a") == account
    True
    >>> directory.find("k-2") is None
    True
    """

    def __init__(self, accounts: Iterable[AccountSpec]) -> None:
        """Store accounts whose names and keys are unique."""
        self._by_name = {account.name: account for account in accounts}
        self._by_digest = {
            digest: account
            for account in self._by_name.values()
            for digest in account.key_digests
        }

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, key: str) -> AccountSpec | None:
        """Return the account that holds a key, None if the key is unknown.

        The digest is compared, so that the time tells nothing about the key.
        """
        return self._by_digest.get(key_digest(key))

    def named(self, name: str) -> AccountSpec | None:
        """Return the account with a name, None if there is none."""
        return self._by_name.get(name)
