"""Decide what the owner of a key does with a request that carries the key."""

from enum import Enum

from rhubarbwell_core.keys.records import KeyRecord, KeyState

__all__ = ["KeyDecision", "key_decision"]


class KeyDecision(Enum):
    """Represent the next step of a request whose key has a record at its owner."""

    RUN = "run"
    CLAIM = "claim"
    WAIT = "wait"
    REPLAY = "replay"
    END_UNKNOWN = "end_unknown"
    REFUSE_OTHER_BODY = "refuse_other_body"


_DECISIONS = {
    KeyState.CLAIMING: KeyDecision.WAIT,
    KeyState.TAKEN: KeyDecision.WAIT,
    KeyState.UNSETTLED: KeyDecision.CLAIM,
    KeyState.FREE: KeyDecision.RUN,
    KeyState.RUNNING: KeyDecision.WAIT,
    KeyState.ANSWERED: KeyDecision.REPLAY,
    KeyState.UNKNOWN: KeyDecision.END_UNKNOWN,
}


def key_decision(record: KeyRecord, fingerprint: str) -> KeyDecision:
    """Return the next step of a request; fingerprint covers method, path and body.

    >>> record = KeyRecord("s", "f", KeyState.RUNNING, 0)
    >>> key_decision(record, "g")
    <KeyDecision.REFUSE_OTHER_BODY: 'refuse_other_body'>
    """
    if record.fingerprint != fingerprint:
        return KeyDecision.REFUSE_OTHER_BODY
    return _DECISIONS[record.state]
