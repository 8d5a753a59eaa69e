"""Test recovery from platform, zone and instance list failures on a virtual clock."""

import pytest

from benchmarks.control import recovery
from benchmarks.control.recovery import SCENARIOS

IN_FORCE_LIMIT_MS = 15_000
READY_LIMIT_MS = 10_000
OUTAGE_MS = 120_000


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_fleet_serves_during_an_outage_and_recovers(scenario, monkeypatch):
    monkeypatch.setattr(recovery, "HOUR_MS", OUTAGE_MS)
    result = scenario()
    assert result.recovered_ms <= IN_FORCE_LIMIT_MS
    assert result.replaced_ready_ms <= READY_LIMIT_MS
    if scenario is recovery.replace_cut_zone:
        assert result.ready_meanwhile == 10 / 12
    else:
        assert result.ready_meanwhile == 1.0
    assert result.in_force_meanwhile == (scenario is recovery.slow_store_for_an_hour)
