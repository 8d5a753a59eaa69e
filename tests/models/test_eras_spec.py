"""Exhaustive check of following a store through eras, and of wrong variants."""

import pytest
from models import eras_spec as spec
from models.eras_spec import Rules, State
from models.explorer import Step, explore

TWO_LOSSES = State(writes=1, losses=2)
TWO_WRITES = State(writes=2, losses=1)


def explore_states(initial, rules):
    return explore(
        initial,
        lambda state: (
            Step(label, spec.canonical(after))
            for label, after in spec.steps(state, rules)
        ),
        lambda state: spec.violated_invariant(state, rules),
    )


@pytest.mark.parametrize(
    ("initial", "states"), [(TWO_LOSSES, 12_432), (TWO_WRITES, 6_801)]
)
def test_invariants_hold_in_every_state(initial, states):
    found = explore_states(initial, Rules())
    assert found.violation is None, found.trace
    assert found.states == states


@pytest.mark.parametrize(
    ("rules", "initial", "violation"),
    [
        (Rules(versions_carry_era=False), TWO_LOSSES, "of two eras are compared"),
        (Rules(peers_name_era=False), TWO_WRITES, "does not follow the store"),
        (Rules(older_eras_are_ignored=False), TWO_LOSSES, "back to an older era"),
        (Rules(lists_in_new_era=False), TWO_WRITES, "does not follow the store"),
        (Rules(expects_current_era=False), TWO_LOSSES, "older era is expected"),
        (Rules(configurations_only_increase=False), TWO_LOSSES, "an older config"),
    ],
    ids=[
        "no eras",
        "no eras among instances",
        "late answer of an older era",
        "changes of a new era",
        "expected version of an older era",
        "configuration of the copy",
    ],
)
def test_wrong_variant_is_caught(rules, initial, violation):
    found = explore_states(initial, rules)
    print(found.states, *found.trace, found.violation, sep="\n")
    assert found.violation is not None and violation in found.violation
