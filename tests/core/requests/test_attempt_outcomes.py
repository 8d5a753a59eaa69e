from itertools import product

import pytest
from rhubarbwell_core.messages import AttemptEnd, AttemptEnded
from rhubarbwell_core.model import Outcome
from rhubarbwell_core.requests import ENDING_RULES, attempt_outcome

BOOLEANS = (False, True)
ENDINGS = list(product(AttemptEnd, BOOLEANS, BOOLEANS, BOOLEANS))
REPORTS_NOT_RUN = {AttemptEnd.SHED, AttemptEnd.PEER_NOT_RUN}


def rule_matches(rule, end, idempotent, sent, fresh):
    facts = (idempotent, sent, fresh)
    wanted = (rule.idempotent, rule.sent, rule.fresh)
    are_met = (want in (None, fact) for want, fact in zip(wanted, facts, strict=True))
    return rule.end is end and all(are_met)


@pytest.mark.parametrize(("end", "idempotent", "sent", "fresh"), ENDINGS)
def test_exactly_one_rule_matches_and_allows_only_safe_retries(
    end, idempotent, sent, fresh
):
    (rule,) = [r for r in ENDING_RULES if rule_matches(r, end, idempotent, sent, fresh)]
    ended = AttemptEnded("a", end, int(sent), 1, connection_was_fresh=fresh)
    result = attempt_outcome(ended, idempotent=idempotent)
    assert result == rule.result
    if result.outcome is Outcome.NOT_RUN:
        assert not sent or end in REPORTS_NOT_RUN
    if result.may_retry and not idempotent:
        assert result.outcome is Outcome.NOT_RUN
    assert (result.outcome is Outcome.ANSWERED) == (end is AttemptEnd.ANSWERED)
