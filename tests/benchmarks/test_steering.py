"""Check short runs of the steering scenarios against the bounds of the targets."""

import pytest

from benchmarks.steering.__main__ import DEPLOYMENTS, make_core
from benchmarks.steering.report import check_targets
from benchmarks.steering.scenarios import Timeline, run_scenarios
from benchmarks.steering.simulation import Simulation

SHORT = Timeline(2_500, 3_000, 4_000, 7_000, 7_500, 8_000)


@pytest.mark.parametrize(
    ("deployment", "names"),
    [
        ("wellenbrett", ("bulk-flood",)),
        ("vanua", ("urgent-flood",)),
        ("wellenbrett", ("drain-uploads", "silent-connections")),
    ],
)
def test_short_run_meets_the_targets(deployment, names):
    simulation = Simulation(DEPLOYMENTS[deployment](), make_core, seed=7)
    run_scenarios(simulation, names, SHORT)
    checks = check_targets(simulation, names, SHORT)
    assert checks
    assert [check for check in checks if not check.is_met] == []
