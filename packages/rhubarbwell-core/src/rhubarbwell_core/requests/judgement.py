"""Judgement of ended attempts: what a caller may be told, whether to retry."""

from typing import NamedTuple

from rhubarbwell_core.messages import AttemptEnd, AttemptEnded
from rhubarbwell_core.model.outcomes import Outcome, Reason

__all__ = ["ENDING_RULES", "EndingRule", "Verdict", "find_rule", "judge_attempt"]


class Verdict(NamedTuple):
    """Give the outcome of an ended attempt and whether a retry is allowed."""

    outcome: Outcome
    reason: Reason
    may_retry: bool


class EndingRule(NamedTuple):
    """Judge one way to end; None fits every idempotency, bytes sent or connection."""

    end: AttemptEnd
    idempotent: bool | None
    sent: bool | None
    fresh: bool | None
    verdict: Verdict


def judge_attempt(ended: AttemptEnded, *, idempotent: bool) -> Verdict:
    """Judge an ended attempt.

    >>> refused = AttemptEnded("a", AttemptEnd.CONNECT_REFUSED, 0, 1)
    >>> judge_attempt(refused, idempotent=False).may_retry
    True
    """
    rule = find_rule(
        ended.end,
        idempotent=idempotent,
        sent=ended.bytes_sent > 0,
        fresh=ended.connection_was_fresh,
    )
    return rule.verdict


def find_rule(
    end: AttemptEnd, *, idempotent: bool, sent: bool, fresh: bool
) -> EndingRule:
    """Return the one rule that fits."""
    return _RULES[end, idempotent, sent, fresh]


def _answered() -> list[EndingRule]:
    verdict = Verdict(Outcome.ANSWERED, Reason.SERVED, False)
    return [EndingRule(AttemptEnd.ANSWERED, None, None, None, verdict)]


def _proven_not_run(end: AttemptEnd, reason: Reason) -> list[EndingRule]:
    verdict = Verdict(Outcome.NOT_RUN, reason, True)
    return [EndingRule(end, None, None, None, verdict)]


def _not_run_unless_sent(
    end: AttemptEnd, reason: Reason, *, retry: bool = True
) -> list[EndingRule]:
    unsent = Verdict(Outcome.NOT_RUN, reason, retry)
    repeatable = Verdict(Outcome.UNKNOWN, reason, retry)
    final = Verdict(Outcome.UNKNOWN, reason, False)
    return [
        EndingRule(end, None, False, None, unsent),
        EndingRule(end, True, True, None, repeatable),
        EndingRule(end, False, True, None, final),
    ]


def _unknown(end: AttemptEnd, reason: Reason) -> list[EndingRule]:
    repeatable = Verdict(Outcome.UNKNOWN, reason, True)
    final = Verdict(Outcome.UNKNOWN, reason, False)
    return [
        EndingRule(end, True, None, None, repeatable),
        EndingRule(end, False, None, None, final),
    ]


ENDING_RULES: tuple[EndingRule, ...] = (
    *_answered(),
    *_proven_not_run(AttemptEnd.SHED, Reason.BACKEND_SHED),
    *_proven_not_run(AttemptEnd.PEER_NOT_RUN, Reason.NO_CAPACITY),
    *_not_run_unless_sent(AttemptEnd.CONNECT_REFUSED, Reason.BACKEND_FAILED),
    *_not_run_unless_sent(AttemptEnd.CONNECT_TIMEOUT, Reason.BACKEND_FAILED),
    *_not_run_unless_sent(AttemptEnd.RESET_BEFORE_ANSWER, Reason.BACKEND_FAILED),
    *_not_run_unless_sent(AttemptEnd.TIMEOUT, Reason.DEADLINE),
    *_not_run_unless_sent(AttemptEnd.PEER_LOST, Reason.BACKEND_FAILED),
    *_not_run_unless_sent(AttemptEnd.CANCELLED, Reason.CALLER_GONE, retry=False),
    *_not_run_unless_sent(AttemptEnd.CALLER_GONE, Reason.CALLER_GONE, retry=False),
    *_not_run_unless_sent(
        AttemptEnd.BODY_TOO_LARGE, Reason.BODY_TOO_LARGE, retry=False
    ),
    *_not_run_unless_sent(AttemptEnd.STOPPED, Reason.STOPPING, retry=False),
    *_unknown(AttemptEnd.RESET_AFTER_HEADERS, Reason.BACKEND_FAILED),
    *_unknown(AttemptEnd.RESET_MID_BODY, Reason.BACKEND_FAILED),
    *_unknown(AttemptEnd.CUT_SHORT, Reason.BACKEND_FAILED),
    *_unknown(AttemptEnd.CROSSED, Reason.BACKEND_FAILED),
    *_unknown(AttemptEnd.PEER_UNKNOWN, Reason.BACKEND_FAILED),
)

_BOTH = (False, True)
_RULES = {
    (rule.end, idempotent, sent, fresh): rule
    for rule in ENDING_RULES
    for idempotent in _BOTH
    for sent in _BOTH
    for fresh in _BOTH
    if rule.idempotent in (None, idempotent)
    and rule.sent in (None, sent)
    and rule.fresh in (None, fresh)
}
