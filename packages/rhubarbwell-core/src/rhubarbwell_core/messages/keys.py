"""Events and actions of requests that carry an idempotency key."""

from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.model.identity import Address

__all__ = [
    "ClaimKey",
    "ClaimResult",
    "KeptAnswer",
    "KeyClaimEnded",
    "KeyRead",
    "OutcomesRecorded",
    "PassToOwner",
    "ReadKey",
    "RecordOutcomes",
    "ReplayAnswer",
    "StoredKey",
]


class KeptAnswer(NamedTuple):
    """Hold a complete answer, to be replayed for repeats of its request."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class StoredKey(NamedTuple):
    """Hold the table service's row of an idempotency key.

    status is None until the request that claimed the key has been answered.
    """

    scope: str
    claimer: str
    claim_id: str
    fingerprint: str
    status: int | None = None
    answer: KeptAnswer | None = None


class ClaimKey(NamedTuple):
    """Ask the shell to insert a key's row unless the key already has a row."""

    row: StoredKey
    deadline_ms: int


class ClaimResult(Enum):
    """Name the result of a claim; with LOST the claim may have taken effect."""

    CLAIMED = "claimed"
    TAKEN = "taken"
    LOST = "lost"
    UNAVAILABLE = "unavailable"


class KeyClaimEnded(NamedTuple):
    """Report the result of a claim."""

    scope: str
    claim_id: str
    result: ClaimResult


class ReadKey(NamedTuple):
    """Ask the shell to read a key's row."""

    scope: str
    deadline_ms: int


class KeyRead(NamedTuple):
    """Report a key's row; available is False if the read failed."""

    scope: str
    row: StoredKey | None
    available: bool = True


class RecordOutcomes(NamedTuple):
    """Ask the shell to write the rows of ended requests in one transaction."""

    batch_id: int
    rows: tuple[StoredKey, ...]


class OutcomesRecorded(NamedTuple):
    """Report whether a batch of outcomes is known to be written."""

    batch_id: int
    recorded: bool


class ReplayAnswer(NamedTuple):
    """Ask the shell to answer a repeated request; an EndRequest follows."""

    request_id: int
    answer: KeptAnswer


class PassToOwner(NamedTuple):
    """Ask the shell to send a request to the entry instance that owns its key."""

    request_id: int
    attempt_id: str
    address: Address
    deadline_ms: int
