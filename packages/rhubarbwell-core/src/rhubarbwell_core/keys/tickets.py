"""Create and parse tickets: idempotency keys that name their owner instance."""

from random import Random
from typing import NamedTuple

__all__ = ["TICKET_LIFETIME_MS", "Ticket", "new_ticket", "parse_ticket"]

TICKET_LIFETIME_MS = 600_000
TICKET_PREFIX = "rwt1"
RANDOM_BITS = 128


class Ticket(NamedTuple):
    """Hold the parts of a ticket; issued_ms is on the owner's clock."""

    owner: str
    issued_ms: int
    secret: str

    def expires_ms(self) -> int:
        """Return the time in ms from which the owner no longer runs the ticket."""
        return self.issued_ms + TICKET_LIFETIME_MS


def new_ticket(incarnation: str, rng: Random, now_ms: int) -> str:
    """Return a new ticket; it can be guessed unless rng is unpredictable.

    >>> parse_ticket(new_ticket("i-1", Random(1), 7)).owner
    'i-1'
    """
    secret = f"{rng.getrandbits(RANDOM_BITS):0{RANDOM_BITS // 4}x}"
    return f"{TICKET_PREFIX}.{incarnation}.{now_ms}.{secret}"


def parse_ticket(key: str) -> Ticket | None:
    """Return the parts of an idempotency key if it is a well-formed ticket, else None.

    >>> parse_ticket("order-17") is None
    True
    """
    prefix, _, rest = key.partition(".")
    if prefix != TICKET_PREFIX:
        return None
    parts = rest.rsplit(".", 2)
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    return Ticket(parts[0], int(parts[1]), parts[2])
