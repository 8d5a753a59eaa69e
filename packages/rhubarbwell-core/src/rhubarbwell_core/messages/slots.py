"""Events and actions of slot leases, with the table service and zone peers."""

from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.model import Address

__all__ = [
    "AnswerRelay",
    "ClaimSlot",
    "ReadSlots",
    "RelayAnswered",
    "RelayAsked",
    "RelayRenewal",
    "ReleaseSlot",
    "RenewSlots",
    "RenewalResult",
    "SlotClaimAnswered",
    "SlotRenewal",
    "SlotRow",
    "SlotsAnswered",
    "SlotsRenewed",
    "StoreResult",
]


class StoreResult(Enum):
    """Tell what the table service answered; an unavailable one may have written."""

    DONE = "done"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


class SlotRow(NamedTuple):
    """Hold one slot of a zone as the table service keeps it.

    The pair of incarnation and renewals changes with every claim and renewal.
    """

    zone: str
    slot: int
    instance_id: str
    incarnation: str
    renewals: int = 0


class SlotRenewal(NamedTuple):
    """Name the slot and the incarnation that its renewal is conditional on."""

    zone: str
    slot: int
    incarnation: str


class RenewalResult(Enum):
    """Tell what became of one renewal."""

    RENEWED = "renewed"
    LOST = "lost"
    UNAVAILABLE = "unavailable"


class ReadSlots(NamedTuple):
    """Ask the shell to read the slot rows of the zone from the table service."""

    call_id: int
    zone: str


class SlotsAnswered(NamedTuple):
    """Report the slot rows of the zone, None without an answer."""

    call_id: int
    rows: tuple[SlotRow, ...] | None


class ClaimSlot(NamedTuple):
    """Ask the shell to put the row if the slot's row is still the expected one.

    An expected None stands for a slot without a row.
    """

    call_id: int
    row: SlotRow
    expected: SlotRow | None


class SlotClaimAnswered(NamedTuple):
    """Report the table service's answer to a claim."""

    call_id: int
    result: StoreResult


class RenewSlots(NamedTuple):
    """Ask the shell to add 1 to the renewals of each row in one transaction.

    A row whose incarnation differs is left alone and reported as lost.
    """

    call_id: int
    renewals: tuple[SlotRenewal, ...]


class SlotsRenewed(NamedTuple):
    """Report one result per renewal of the call, in its order."""

    call_id: int
    results: tuple[RenewalResult, ...]


class ReleaseSlot(NamedTuple):
    """Ask the shell to delete the slot's row if the incarnation still holds it."""

    zone: str
    slot: int
    incarnation: str


class RelayRenewal(NamedTuple):
    """Ask the shell to send a renewal to a zone peer that is to relay it."""

    peer_id: str
    address: Address
    relay_id: int
    renewal: SlotRenewal


class RelayAsked(NamedTuple):
    """Report that a zone peer asks to have its renewal relayed."""

    peer_id: str
    address: Address
    relay_id: int
    renewal: SlotRenewal


class AnswerRelay(NamedTuple):
    """Ask the shell to answer a zone peer whose renewal was relayed.

    store_silent_ms counts from the last answer that the table service gave the
    relaying instance, None if it gave none in the instance's life.
    """

    peer_id: str
    address: Address
    relay_id: int
    result: RenewalResult
    store_silent_ms: int | None


class RelayAnswered(NamedTuple):
    """Report a zone peer's answer to a relayed renewal."""

    peer_id: str
    relay_id: int
    result: RenewalResult
    store_silent_ms: int | None
