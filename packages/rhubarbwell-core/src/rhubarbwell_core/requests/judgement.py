"""Judgement of ended attempts: what a caller may be told, whether to retry."""

from typing import NamedTuple

from rhubarbwell_core.messages import AttemptEnd, AttemptEnded
from rhubarbwell_core.model.outcomes import Outcome, Reason

__all__ = ["Verdict", "judge_attempt"]

_PROOF_OF_NOT_RUN = frozenset(
    {
        AttemptEnd.SHED,
        AttemptEnd.CONNECT_REFUSED,
        AttemptEnd.CONNECT_TIMEOUT,
        AttemptEnd.PEER_NOT_RUN,
    }
)


class Verdict(NamedTuple):
    """Give the outcome of an ended attempt and whether a retry is allowed."""

    outcome: Outcome
    reason: Reason
    may_retry: bool


def judge_attempt(ended: AttemptEnded, *, idempotent: bool) -> Verdict:
    """Judge an ended attempt.

    >>> refused = AttemptEnded("a", AttemptEnd.CONNECT_REFUSED, 0, 1)
    >>> judge_attempt(refused, idempotent=False).may_retry
    True
    """
    if ended.end is AttemptEnd.ANSWERED:
        return Verdict(Outcome.ANSWERED, Reason.SERVED, False)
    if ended.end is AttemptEnd.SHED:
        return Verdict(Outcome.NOT_RUN, Reason.BACKEND_SHED, True)
    if ended.end in _PROOF_OF_NOT_RUN:
        return Verdict(Outcome.NOT_RUN, Reason.BACKEND_FAILED, True)
    if ended.end in {AttemptEnd.CALLER_GONE, AttemptEnd.CANCELLED}:
        return Verdict(Outcome.UNKNOWN, Reason.CALLER_GONE, False)
    return Verdict(Outcome.UNKNOWN, Reason.BACKEND_FAILED, idempotent)
