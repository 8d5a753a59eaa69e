"""Define the client accounts of a configuration and identify them by their keys."""

from collections.abc import Iterable
from typing import NamedTuple

from rhubarbwell_core.model import key_digest

__all__ = ["AccountTable", "ClientAccount", "key_digest"]


class ClientAccount(NamedTuple):
    """Store a client account as the operators configured it.

    key_digests are the digests of its keys, which are not kept in clear. priority, if
    given, replaces that of the route. rate_per_s and burst limit the account's requests
    over all instances together; a rate of 0 means no limit. If home_regions is given,
    only servers in these regions get the account's requests.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] | None = None

    @property
    def has_quota(self) -> bool:
        """Return True if the number of the account's requests is limited."""
        return self.rate_per_s > 0.0


class AccountTable:
    """Look up client accounts by key.

    A key that several accounts hold identifies none of them.

    >>> account = ClientAccount("a", frozenset({key_digest("k-1")}))
    >>> table = AccountTable([account])
    >>> table.find("k-1") == account, table.find("k-2")
    (True, None)
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._by_digest: dict[bytes, ClientAccount] = {}
        self.ambiguous_names: set[str] = set()
        ambiguous: set[bytes] = set()
        for account in accounts:
            for digest in account.key_digests:
                other = self._by_digest.setdefault(digest, account)
                if other is not account:
                    ambiguous.add(digest)
                    self.ambiguous_names |= {other.name, account.name}
        for digest in ambiguous:
            del self._by_digest[digest]

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that holds a key, None if the key is unknown.

        The digest is compared, so that the time tells nothing about the key.
        """
        return self._by_digest.get(key_digest(key))
