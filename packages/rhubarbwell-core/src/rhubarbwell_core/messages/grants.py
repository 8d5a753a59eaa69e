"""Events and actions of capacity grants between entry instances of two regions."""

from typing import NamedTuple

from rhubarbwell_core.model import Address, Rank

__all__ = [
    "Allowance",
    "GrantAnswered",
    "GrantAsk",
    "GrantAsked",
    "GrantReply",
    "GrantTerms",
    "SendGrantAsk",
    "SendGrantReply",
    "ServiceHeadroom",
    "ZoneHeadroomReceived",
]


class Allowance(NamedTuple):
    """Give numbers of concurrent requests and bytes/s each way."""

    concurrent: int = 0
    request_bytes_per_s: int = 0
    response_bytes_per_s: int = 0


class GrantTerms(NamedTuple):
    """State what a grantor lets a borrower send, of the rank floor and above it."""

    grant_id: str
    grantor_id: str
    grantor_incarnation: str
    service: str
    rank_floor: Rank
    allowance: Allowance
    duration_ms: int


class GrantAsk(NamedTuple):
    """Ask for a grant that takes the place of the borrower's earlier ones.

    ask_number grows with each ask of the borrower's incarnation.
    """

    ask_number: int
    borrower_id: str
    borrower_incarnation: str
    borrower_region: str
    service: str
    rank_floor: Rank
    wanted: Allowance


class GrantReply(NamedTuple):
    """Answer an ask with a grant, None if there is nothing to grant."""

    ask_number: int
    borrower_incarnation: str
    grantor_id: str
    service: str
    grant: GrantTerms | None


class SendGrantAsk(NamedTuple):
    """Ask the shell to send an ask to a peer of another region."""

    peer_id: str
    address: Address
    ask: GrantAsk


class GrantAsked(NamedTuple):
    """Report an ask of the peer whose peers address is given."""

    address: Address
    ask: GrantAsk


class SendGrantReply(NamedTuple):
    """Ask the shell to send the reply to the borrower."""

    peer_id: str
    address: Address
    reply: GrantReply


class GrantAnswered(NamedTuple):
    """Report a grantor's reply."""

    reply: GrantReply


class ServiceHeadroom(NamedTuple):
    """Give the endpoint slots of a service in a zone and how many are free."""

    service: str
    slots: int
    free: int


class ZoneHeadroomReceived(NamedTuple):
    """Report the headroom of a zone that a summary brought, measured age_ms ago."""

    zone: str
    region: str
    services: tuple[ServiceHeadroom, ...]
    age_ms: int = 0
