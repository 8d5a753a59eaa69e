"""Map the end of an attempt to its outcome and whether it may be retried."""

from typing import NamedTuple

from rhubarbwell_core.messages import AttemptEnd, AttemptEnded
from rhubarbwell_core.model.outcomes import Outcome, Reason

__all__ = [
    "ENDING_RULES",
    "AttemptOutcome",
    "EndingRule",
    "attempt_outcome",
    "matching_rule",
]


class AttemptOutcome(NamedTuple):
    """Hold the outcome of an ended attempt and whether it may be retried."""

    outcome: Outcome
    reason: Reason
    may_retry: bool


class EndingRule(NamedTuple):
    """Represent the rule for one way in which an attempt ends.

    sent tells whether bytes of the request were sent, fresh whether the connection
    was new. None in idempotent, sent or fresh matches both values.
    """

    end: AttemptEnd
    idempotent: bool | None
    sent: bool | None
    fresh: bool | None
    result: AttemptOutcome


def attempt_outcome(ended: AttemptEnded, *, idempotent: bool) -> AttemptOutcome:
    """Return the outcome of an ended attempt.

    >>> refused = AttemptEnded("a", AttemptEnd.CONNECT_REFUSED, 0, 1)
    >>> attempt_outcome(refused, idempotent=False).may_retry
    True
    """
    rule = matching_rule(
        ended.end,
        idempotent=idempotent,
        sent=ended.bytes_sent > 0,
        fresh=ended.connection_was_fresh,
    )
    return rule.result


def matching_rule(
    end: AttemptEnd, *, idempotent: bool, sent: bool, fresh: bool
) -> EndingRule:
    """Return the only rule that matches how an attempt ended."""
    return _RULES_BY_ENDING[end, idempotent, sent, fresh]


def _answered_rules() -> list[EndingRule]:
    result = AttemptOutcome(Outcome.ANSWERED, Reason.SERVED, False)
    return [EndingRule(AttemptEnd.ANSWERED, None, None, None, result)]


# The server or the peer reports that it did not run the request, even if all bytes
# were sent, so any request may be retried.
def _not_run_rules(end: AttemptEnd, reason: Reason) -> list[EndingRule]:
    result = AttemptOutcome(Outcome.NOT_RUN, reason, True)
    return [EndingRule(end, None, None, None, result)]


# A request whose bytes were sent may have run, so it is retried only if idempotent.
def _unsent_not_run_rules(
    end: AttemptEnd, reason: Reason, *, retry: bool = True
) -> list[EndingRule]:
    unsent = AttemptOutcome(Outcome.NOT_RUN, reason, retry)
    retryable = AttemptOutcome(Outcome.UNKNOWN, reason, retry)
    final = AttemptOutcome(Outcome.UNKNOWN, reason, False)
    return [
        EndingRule(end, None, False, None, unsent),
        EndingRule(end, True, True, None, retryable),
        EndingRule(end, False, True, None, final),
    ]


def _unknown_outcome_rules(end: AttemptEnd, reason: Reason) -> list[EndingRule]:
    retryable = AttemptOutcome(Outcome.UNKNOWN, reason, True)
    final = AttemptOutcome(Outcome.UNKNOWN, reason, False)
    return [
        EndingRule(end, True, None, None, retryable),
        EndingRule(end, False, None, None, final),
    ]


ENDING_RULES: tuple[EndingRule, ...] = (
    *_answered_rules(),
    *_not_run_rules(AttemptEnd.SHED, Reason.BACKEND_SHED),
    *_not_run_rules(AttemptEnd.PEER_NOT_RUN, Reason.NO_CAPACITY),
    *_unsent_not_run_rules(AttemptEnd.CONNECT_REFUSED, Reason.BACKEND_FAILED),
    *_unsent_not_run_rules(AttemptEnd.CONNECT_TIMEOUT, Reason.BACKEND_FAILED),
    *_unsent_not_run_rules(AttemptEnd.RESET_BEFORE_ANSWER, Reason.BACKEND_FAILED),
    *_unsent_not_run_rules(AttemptEnd.TIMEOUT, Reason.DEADLINE),
    *_unsent_not_run_rules(AttemptEnd.PEER_LOST, Reason.BACKEND_FAILED),
    *_unsent_not_run_rules(AttemptEnd.CANCELLED, Reason.CALLER_GONE, retry=False),
    *_unsent_not_run_rules(AttemptEnd.CALLER_GONE, Reason.CALLER_GONE, retry=False),
    *_unsent_not_run_rules(
        AttemptEnd.BODY_TOO_LARGE, Reason.BODY_TOO_LARGE, retry=False
    ),
    *_unsent_not_run_rules(AttemptEnd.STOPPED, Reason.STOPPING, retry=False),
    *_unsent_not_run_rules(
        AttemptEnd.ACCOUNT_REFUSED, Reason.UNKNOWN_ACCOUNT, retry=False
    ),
    *_unsent_not_run_rules(AttemptEnd.REGION_REFUSED, Reason.HOME_REGION, retry=False),
    *_unknown_outcome_rules(AttemptEnd.RESET_AFTER_HEADERS, Reason.BACKEND_FAILED),
    *_unknown_outcome_rules(AttemptEnd.RESET_MID_BODY, Reason.BACKEND_FAILED),
    *_unknown_outcome_rules(AttemptEnd.CUT_SHORT, Reason.BACKEND_FAILED),
    *_unknown_outcome_rules(AttemptEnd.CROSSED, Reason.BACKEND_FAILED),
    *_unknown_outcome_rules(AttemptEnd.PEER_UNKNOWN, Reason.BACKEND_FAILED),
)

_BOOLEANS = (False, True)
_RULES_BY_ENDING = {
    (rule.end, idempotent, sent, fresh): rule
    for rule in ENDING_RULES
    for idempotent in _BOOLEANS
    for sent in _BOOLEANS
    for fresh in _BOOLEANS
    if rule.idempotent in (None, idempotent)
    and rule.sent in (None, sent)
    and rule.fresh in (None, fresh)
}
