"""Events and actions of slot leases: table service calls and relayed renewals."""

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
    """Name the result of a claim; with UNAVAILABLE the row may have been written."""

    DONE = "done"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


class SlotRow(NamedTuple):
    """Hold the table service's row of one slot of a zone.

    The pair of incarnation and renewals changes with every claim and renewal.
    """

    zone: str
    slot: int
    instance_id: str
    incarnation: str
    renewals: int = 0


class SlotRenewal(NamedTuple):
    """Identify a slot to renew and the incarnation that must still hold it."""

    zone: str
    slot: int
    incarnation: str


class RenewalResult(Enum):
    """Name the result of one renewal."""

    RENEWED = "renewed"
    LOST = "lost"
    UNAVAILABLE = "unavailable"


class ReadSlots(NamedTuple):
    """Ask the shell to read the slot rows of the zone from the table service."""

    call_id: int
    zone: str


class SlotsAnswered(NamedTuple):
    """Report the slot rows of the zone, None if there was no answer."""

    call_id: int
    rows: tuple[SlotRow, ...] | None


class ClaimSlot(NamedTuple):
    """Ask the shell to write the row if the stored row still equals expected.

    expected is None for a slot without a row.
    """

    call_id: int
    row: SlotRow
    expected: SlotRow | None


class SlotClaimAnswered(NamedTuple):
    """Report the table service's answer to a claim."""

    call_id: int
    result: StoreResult


class RenewSlots(NamedTuple):
    """Ask the shell to add 1 to the renewals counter of each slot's row.

    All rows are written in one transaction. A row that is missing or has another
    incarnation is not written and is reported as LOST.
    """

    call_id: int
    renewals: tuple[SlotRenewal, ...]


class SlotsRenewed(NamedTuple):
    """Report one result per renewal of the call, in the same order."""

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

    store_silent_ms is the time since the table service last answered the relaying
    instance, None if it has not answered since that instance started.
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
