from itertools import product

import pytest
from rhubarbwell_core.messages import AttemptEnd, AttemptEnded
from rhubarbwell_core.model import Outcome
from rhubarbwell_core.requests import ENDING_RULES, judge_attempt

BOTH = (False, True)
WAYS = list(product(AttemptEnd, BOTH, BOTH, BOTH))
SAYS_NOT_RUN = {AttemptEnd.SHED, AttemptEnd.PEER_NOT_RUN}


def fits(rule, end, idempotent, sent, fresh):
    facts = (idempotent, sent, fresh)
    wanted = (rule.idempotent, rule.sent, rule.fresh)
    matches = (want in (None, fact) for want, fact in zip(wanted, facts, strict=True))
    return rule.end is end and all(matches)


@pytest.mark.parametrize(("end", "idempotent", "sent", "fresh"), WAYS)
def test_one_rule_fits_and_keeps_the_promises(end, idempotent, sent, fresh):
    (rule,) = [r for r in ENDING_RULES if fits(r, end, idempotent, sent, fresh)]
    ended = AttemptEnded("a", end, int(sent), 1, connection_was_fresh=fresh)
    verdict = judge_attempt(ended, idempotent=idempotent)
    assert verdict == rule.verdict
    if verdict.outcome is Outcome.NOT_RUN:
        assert not sent or end in SAYS_NOT_RUN
    if verdict.may_retry and not idempotent:
        assert verdict.outcome is Outcome.NOT_RUN
    assert (verdict.outcome is Outcome.ANSWERED) == (end is AttemptEnd.ANSWERED)
