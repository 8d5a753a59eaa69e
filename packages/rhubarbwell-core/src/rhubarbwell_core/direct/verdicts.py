"""What follows from the way an attempt at a backend server ended."""

from enum import Enum

__all__ = ["AttemptResult", "Verdict", "attempt_verdict"]


class AttemptResult(Enum):
    """Tell how an attempt at a backend server ended.

    Only NOT_SENT and NOT_RUN prove that the request did not run there.
    """

    ANSWERED = "answered"
    SERVER_ERROR = "server_error"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"

    @property
    def proves_not_run(self) -> bool:
        """Tell whether the request certainly did not run."""
        return self in (AttemptResult.NOT_SENT, AttemptResult.NOT_RUN)


class Verdict(Enum):
    """Tell what becomes of a request after an attempt."""

    DELIVER = "deliver"
    RETRY = "retry"
    REFUSE = "refuse"
    UNKNOWN = "unknown"
    TIMEOUT = "timeout"


def attempt_verdict(
    result: AttemptResult,
    *,
    is_idempotent: bool,
    may_have_run: bool,
    may_retry: bool,
) -> Verdict:
    """Return what becomes of a request.

    may_have_run covers the earlier attempts; may_retry tells whether attempts,
    budget and time are left.

    >>> attempt_verdict(AttemptResult.BROKEN, is_idempotent=False, may_have_run=False,
    ...       may_retry=True)
    <Verdict.UNKNOWN: 'unknown'>
    """
    if result is AttemptResult.ANSWERED:
        return Verdict.DELIVER
    can_repeat = is_idempotent or result.proves_not_run
    if can_repeat and may_retry and result is not AttemptResult.TIMED_OUT:
        return Verdict.RETRY
    if result is AttemptResult.SERVER_ERROR:
        return Verdict.DELIVER
    if result is AttemptResult.TIMED_OUT:
        return Verdict.TIMEOUT
    if result.proves_not_run and not may_have_run:
        return Verdict.REFUSE
    return Verdict.UNKNOWN
