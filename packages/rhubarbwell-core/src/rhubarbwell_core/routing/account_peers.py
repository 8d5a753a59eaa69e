"""Decide which peers may get the requests of client accounts."""

from rhubarbwell_core.messages import PeerRecord, RequestArrived
from rhubarbwell_core.model import Configuration, Reason

__all__ = ["AccountPeers"]


class AccountPeers:
    """Refuse peers outside of an account's home regions and peers without accounts.

    A peer of an earlier build cannot have a configuration with accounts active. It is
    recognised by its version, which precedes the first one with accounts.
    """

    def __init__(self) -> None:
        self._first_version: int | None = None

    def configure(self, configuration: Configuration) -> None:
        """Note the first version with accounts since the last one without."""
        if configuration.accounts is None:
            self._first_version = None
        elif self._first_version is None:
            self._first_version = configuration.version

    def refusal(self, req: RequestArrived, peer: PeerRecord) -> Reason | None:
        """Return why a peer must not get a request, None if it may."""
        if not req.account:
            return None
        if not req.may_run_in(peer.region):
            return Reason.HOME_REGION
        first = self._first_version
        return None if first and peer.config_version >= first else Reason.NOT_READY
