"""Exhaustive check of the grant protocol and of deliberately wrong variants."""

import pytest
from models import grants_spec as spec
from models.explorer import explore
from models.grants_spec import Rules, State


def explore_states(rules):
    return explore(
        State(), lambda state: spec.steps(state, rules), spec.violated_invariant
    )


@pytest.mark.parametrize(
    ("rules", "states"),
    [
        (Rules(max_asks=1, max_forwarded=1), 13_210),
        (Rules(max_asks=2, max_forwarded=0), 69_244),
    ],
)
def test_invariants_hold_in_every_state(rules, states, monkeypatch):
    monkeypatch.setattr(spec, "LAST_TICK", 6 if rules.max_forwarded else 5)
    found = explore_states(rules)
    assert found.violation is None, found.trace
    assert found.states == states


@pytest.mark.parametrize(
    ("rules", "violation"),
    [
        (Rules(clock_starts_at_receipt=True, max_asks=1), "may still use"),
        (Rules(claimer_waits=False, max_asks=1), "link"),
        (Rules(renewal_keeps_reservation=False, max_forwarded=0), "may still use"),
        (Rules(rereads_clock=False, max_asks=1), "refused though it arrived in time"),
    ],
    ids=["clock at receipt", "claimer grants at once", "renewal frees", "stale clock"],
)
def test_wrong_variant_is_caught(rules, violation):
    found = explore_states(rules)
    print(*found.trace, found.violation, sep="\n")
    assert found.violation is not None and violation in found.violation
