"""Decide how a request proceeds after an attempt at a backend server."""

from enum import Enum

__all__ = ["AttemptResult", "Verdict", "attempt_verdict"]


class AttemptResult(Enum):
    """Represent how an attempt at a backend server ended.

    Only NOT_SENT and NOT_RUN prove that the server did not run the request.
    """

    ANSWERED = "answered"
    SERVER_ERROR = "server_error"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"

    @property
    def is_answer(self) -> bool:
        """Return True if the server answered, be it with an error or a refusal."""
        return self in (
            AttemptResult.ANSWERED,
            AttemptResult.SERVER_ERROR,
            AttemptResult.NOT_RUN,
        )

    @property
    def proves_not_run(self) -> bool:
        """Return True if the request certainly did not run at the server."""
        return self in (AttemptResult.NOT_SENT, AttemptResult.NOT_RUN)


class Verdict(Enum):
    """Represent how a request proceeds after an attempt."""

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
    """Return how a request proceeds after an attempt.

    may_have_run is True if an earlier attempt may have run the request; may_retry is
    True if attempts, retry budget and time are left.

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
