from rhubarbwell_core.keys import KeyState
from rhubarbwell_core.keys import requests as keyed_requests
from rhubarbwell_core.model import Outcome
from support.soak import run_soak


async def test_bookings_survive_kills_and_store_outages():
    result = await run_soak(1_500, seed=1)
    assert result.kills >= 2 and result.planned_stops >= 2 and result.outages >= 2
    assert result.told["answered"] > result.bookings / 2
    violations = (
        result.doubles,
        result.false_not_run,
        result.false_answered,
        result.crossed,
        result.cut_uploads,
    )
    assert violations == ([], [], [], [], [])


async def test_soak_finds_runs_repeated_after_an_unknown_outcome(monkeypatch):
    states = keyed_requests._STATES_AFTER_RUN
    monkeypatch.setitem(states, Outcome.UNKNOWN, KeyState.FREE)
    result = await run_soak(300, seed=1, fault_share=0.3)
    assert result.doubles
