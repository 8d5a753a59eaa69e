"""Exhaustive check of the slot leases and of deliberately wrong variants."""

import pytest
from models import slots_spec as spec
from models.explorer import explore
from models.slots_spec import Rules, State


def explore_states(rules, *, rounds, last_tick, monkeypatch, store_toggles=2):
    monkeypatch.setattr(spec, "MAX_STORE_TOGGLES", store_toggles)
    monkeypatch.setattr(spec, "MAX_ROUNDS", rounds)
    monkeypatch.setattr(spec, "LAST_TICK", last_tick)
    return explore(
        State(),
        lambda state: spec.steps(state, rules),
        lambda state: spec.violated_invariant(state, rules),
    )


@pytest.mark.parametrize(
    ("rounds", "last_tick", "store_toggles", "states"),
    [(1, 7, 2, 14_891), (2, 5, 1, 42_283)],
)
def test_one_instance_grants_a_share_in_every_state(
    rounds, last_tick, store_toggles, states, monkeypatch
):
    found = explore_states(
        Rules(),
        rounds=rounds,
        last_tick=last_tick,
        store_toggles=store_toggles,
        monkeypatch=monkeypatch,
    )
    assert found.violation is None, found.trace
    assert found.states == states


@pytest.mark.parametrize(
    ("rules", "rounds", "last_tick", "store_toggles"),
    [
        (Rules(asks_peers=False), 1, 7, 2),
        (Rules(claimer_waits=False), 1, 7, 2),
        (Rules(watches_lease=False), 1, 7, 2),
        (Rules(lease_starts_at_sending=False), 2, 5, 1),
    ],
    ids=["holds over alone", "claimer grants at once", "no watch", "lease at receipt"],
)
def test_wrong_variant_is_caught(rules, rounds, last_tick, store_toggles, monkeypatch):
    found = explore_states(
        rules,
        rounds=rounds,
        last_tick=last_tick,
        store_toggles=store_toggles,
        monkeypatch=monkeypatch,
    )
    print(*found.trace, found.violation, sep="\n")
    assert found.violation == "two instances grant the share of one slot"


def test_claimer_that_the_holder_cannot_reach_is_outside_the_guarantee(monkeypatch):
    """Hold-over relies on zone peers reaching each other while the store is down."""
    rules = Rules(claimer_is_reachable=False)
    found = explore_states(rules, rounds=1, last_tick=7, monkeypatch=monkeypatch)
    assert found.violation is not None
