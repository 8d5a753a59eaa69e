"""Exhaustive check of publishing and adoption and of deliberately wrong variants."""

import pytest
from models import publishing_spec as spec
from models.explorer import explore
from models.publishing_spec import Operator, Rules, State

ONE_SEND = (Operator(sends=1), Operator(sends=1))
RESTORED = State(restores=1, operators=ONE_SEND)


def explore_states(initial, rules):
    return explore(
        initial, lambda state: spec.steps(state, rules), spec.violated_invariant
    )


@pytest.mark.parametrize(("initial", "states"), [(State(), 25_505), (RESTORED, 17_548)])
def test_invariants_hold_in_every_state(initial, states):
    found = explore_states(initial, Rules())
    assert found.violation is None, found.trace
    assert found.states == states


@pytest.mark.parametrize(
    ("rules", "initial", "violation"),
    [
        (Rules(head_is_compared=False), State(), "accepted publish was lost"),
        (Rules(settles_by_id=False), State(), "reported as a conflict"),
        (Rules(awaits_base=False), State(), "reported as a conflict"),
        (Rules(repeats_fence=False), State(), "reported as a conflict"),
        (
            Rules(id_is_unique=False, settles_by_id=False, rebases_automatically=True),
            State(),
            "applied twice",
        ),
        (Rules(versions_only_increase=False), State(), "an instance reverted"),
        (Rules(chain_is_verified=False), State(restores=1), "an instance reverted"),
    ],
    ids=[
        "blind append",
        "lost answer taken as failure",
        "stale head taken as conflict",
        "repeat without fence",
        "lost answer sent anew",
        "any version is taken",
        "chain is not verified",
    ],
)
def test_wrong_variant_is_caught(rules, initial, violation):
    found = explore_states(initial, rules)
    print(found.states, *found.trace, found.violation, sep="\n")
    assert found.violation is not None and violation in found.violation
