"""Write and verify the headers of requests forwarded between entry instances."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from multidict import CIMultiDict
from rhubarbwell_core.errors import RhubarbwellError
from rhubarbwell_core.messages import ForwardedFrom

from rhubarbwell_entry.proxy.headers import ACCOUNT_HEADER, ATTEMPT_HEADER

__all__ = [
    "PEER_HEADER",
    "ForgedHopError",
    "HopKeys",
    "PeerHop",
    "add_hop",
    "read_hop",
]

MAX_HOPS = 1
PEER_HEADER = "Rhubarbwell-Peer"
GRANT_HEADER = "Rhubarbwell-Grant"
HOPS_HEADER = "Rhubarbwell-Hops"
CALLER_HEADER = "Rhubarbwell-Caller"
TAG_HEADER = "Rhubarbwell-Peer-Tag"


class ForgedHopError(RhubarbwellError):
    """Report hop headers that fail verification."""


class HopKeys(Protocol):
    """Compute and verify the authentication tags of hop headers."""

    def sign_text(self, *parts: str) -> str:
        """Return the authentication tag of the parts."""

    def verify_text(self, tag: str, *parts: str) -> bool:
        """Return True if the tag is valid for the parts."""


class PeerHop(NamedTuple):
    """Hold the forwarding instance, its attempt, the caller and the grant, if any.

    account is the name of the request's client account, empty if it needs none.
    """

    instance_id: str
    attempt_id: str
    caller: str
    grant_id: str = ""
    hops: int = MAX_HOPS
    account: str = ""

    def forwarded_from(self) -> ForwardedFrom | None:
        """Return the origin of a request forwarded under a grant, else None.

        A request passed to the owner of its key has no grant.
        """
        if not self.grant_id:
            return None
        return ForwardedFrom(
            self.instance_id, self.grant_id, self.attempt_id, self.hops
        )


def add_hop(
    headers: CIMultiDict[str], hop: PeerHop, keys: HopKeys, *, method: str, path: str
) -> None:
    """Add the hop and its authentication tag to the headers."""
    headers[PEER_HEADER] = hop.instance_id
    headers[ATTEMPT_HEADER] = hop.attempt_id
    headers[CALLER_HEADER] = hop.caller
    headers[GRANT_HEADER] = hop.grant_id
    headers[HOPS_HEADER] = str(hop.hops)
    if hop.account:
        headers[ACCOUNT_HEADER] = hop.account
    headers[TAG_HEADER] = keys.sign_text(*_signed_parts(hop, method, path))


def read_hop(
    headers: Mapping[str, str], keys: HopKeys | None, *, method: str, path: str
) -> PeerHop | None:
    """Return the verified hop of a peer's request, None for a caller's request.

    Raises ForgedHopError if the tag is invalid, if there are no keys to verify it
    or if the hop count is not MAX_HOPS.
    """
    if PEER_HEADER not in headers:
        return None
    hop = PeerHop(
        headers[PEER_HEADER],
        headers.get(ATTEMPT_HEADER, ""),
        headers.get(CALLER_HEADER, ""),
        headers.get(GRANT_HEADER, ""),
        MAX_HOPS,
        headers.get(ACCOUNT_HEADER, ""),
    )
    tag = headers.get(TAG_HEADER, "")
    is_authentic = keys is not None and keys.verify_text(
        tag, *_signed_parts(hop, method, path)
    )
    if not is_authentic or headers.get(HOPS_HEADER) != str(MAX_HOPS):
        raise ForgedHopError(
            f"hop headers have an invalid tag or a hop count other than {MAX_HOPS}"
        )
    return hop


def _signed_parts(hop: PeerHop, method: str, path: str) -> tuple[str, ...]:
    """Return the parts that the tag covers; without an account, those of old builds."""
    parts = (hop.instance_id, hop.attempt_id, hop.caller, hop.grant_id, str(hop.hops))
    account = (hop.account,) if hop.account else ()
    return (*parts, method, path, *account)
