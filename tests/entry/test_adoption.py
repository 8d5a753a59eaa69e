"""Racing publishes taken into force by instances on the loopback."""

from benchmarks.control.loopback import run_publishes


async def test_racing_publishes_with_faults_and_a_restart_lose_and_revert_nothing():
    report = await run_publishes(40)
    assert report.accepted >= 40
    assert (report.lost, report.doubled, report.reverts, report.behind) == (0, 0, 0, 0)
    assert len(report.times_ms) == report.accepted
