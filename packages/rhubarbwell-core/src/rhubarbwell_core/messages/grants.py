"""Events and actions of capacity grants between entry instances of two regions."""

from typing import NamedTuple

from rhubarbwell_core.model import Address, Rank

__all__ = [
    "Allowance",
    "GrantAnswered",
    "GrantAsk",
    "GrantAskReceived",
    "GrantReply",
    "GrantTerms",
    "SendGrantAsk",
    "SendGrantReply",
    "ServiceHeadroom",
    "ZoneHeadroomReceived",
]


class Allowance(NamedTuple):
    """Hold limits on concurrent requests and on bytes/s in each direction."""

    concurrent: int = 0
    request_bytes_per_s: int = 0
    response_bytes_per_s: int = 0


class GrantTerms(NamedTuple):
    """Hold the limits within which a borrower may forward requests to a grantor.

    They cover requests of rank_floor and of more urgent ranks.
    """

    grant_id: str
    grantor_id: str
    grantor_incarnation: str
    service: str
    rank_floor: Rank
    allowance: Allowance
    duration_ms: int


class GrantAsk(NamedTuple):
    """Ask for a grant that replaces the borrower's earlier grants.

    ask_number increases with each GrantAsk of the borrower's incarnation.
    """

    ask_number: int
    borrower_id: str
    borrower_incarnation: str
    borrower_region: str
    service: str
    rank_floor: Rank
    wanted: Allowance


class GrantReply(NamedTuple):
    """Answer a GrantAsk; grant is None if the grantor has nothing to grant."""

    ask_number: int
    borrower_incarnation: str
    grantor_id: str
    service: str
    grant: GrantTerms | None


class SendGrantAsk(NamedTuple):
    """Ask the shell to send a GrantAsk to a peer in another region."""

    peer_id: str
    address: Address
    ask: GrantAsk


class GrantAskReceived(NamedTuple):
    """Report a GrantAsk received from the peer at the given peers address."""

    address: Address
    ask: GrantAsk


class SendGrantReply(NamedTuple):
    """Ask the shell to send a grant reply to the borrower."""

    peer_id: str
    address: Address
    reply: GrantReply


class GrantAnswered(NamedTuple):
    """Report a reply received from a grantor."""

    reply: GrantReply


class ServiceHeadroom(NamedTuple):
    """Hold the numbers of endpoint slots and free slots of a service in a zone."""

    service: str
    slots: int
    free: int


class ZoneHeadroomReceived(NamedTuple):
    """Report a zone's headroom from a received summary, measured age_ms ago."""

    zone: str
    region: str
    services: tuple[ServiceHeadroom, ...]
    age_ms: int = 0
