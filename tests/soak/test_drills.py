"""Short drills of a store that comes back from a copy."""

import pytest
from soak.drills import run_drills

# Kinds of drills by seed.
DRILLS = {
    1: ("twice", "fresh"),
    2: ("start", "compacted"),
    3: ("late", "stop"),
}


@pytest.mark.parametrize("seed", DRILLS)
async def test_drill_keeps_the_promises(seed, tmp_path):
    report = await run_drills(seed, tmp_path, kinds=DRILLS[seed], played=(True,))
    assert report.findings == []
    assert report.runs > 100


async def test_outage_without_a_loss_keeps_the_promises(tmp_path):
    report = await run_drills(1, tmp_path, kinds=("plain",), played=(False,))
    assert report.findings == []
    assert report.runs > 100
