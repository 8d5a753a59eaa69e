"""The owner of a key and what a request with the key is to do."""

from enum import Enum

from rhubarbwell_core.keys.records import KeyRecord, KeyState

__all__ = ["KeyStep", "step_of_record"]


class KeyStep(Enum):
    """Tell what a request does whose key has a record at its owner."""

    RUN = "run"
    CLAIM = "claim"
    WAIT = "wait"
    REPLAY = "replay"
    END_UNKNOWN = "end_unknown"
    REFUSE_OTHER_BODY = "refuse_other_body"


_STEPS = {
    KeyState.CLAIMING: KeyStep.WAIT,
    KeyState.TAKEN: KeyStep.WAIT,
    KeyState.UNSETTLED: KeyStep.CLAIM,
    KeyState.FREE: KeyStep.RUN,
    KeyState.RUNNING: KeyStep.WAIT,
    KeyState.ANSWERED: KeyStep.REPLAY,
    KeyState.UNKNOWN: KeyStep.END_UNKNOWN,
}


def step_of_record(record: KeyRecord, fingerprint: str) -> KeyStep:
    """Return the step of a request with the fingerprint of method, path and body.

    >>> record = KeyRecord("s", "f", KeyState.RUNNING, 0)
    >>> step_of_record(record, "g")
    <KeyStep.REFUSE_OTHER_BODY: 'refuse_other_body'>
    """
    if record.fingerprint != fingerprint:
        return KeyStep.REFUSE_OTHER_BODY
    return _STEPS[record.state]
