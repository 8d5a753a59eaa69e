import pytest

from benchmarks.publishing.race import run_race


@pytest.mark.parametrize("seed", [1, 2])
def test_racing_operators_lose_and_revert_nothing(seed):
    result = run_race(60, seed=seed)
    assert result.accepted == 60
    assert result.outcomes["PublishConflict"] > 0
    broken = (result.lost, result.doubled, result.wrong_conflicts, result.reverts)
    assert broken == (0, 0, 0, 0)


def test_a_store_that_ignores_conditions_shows():
    result = run_race(40, seed=1, keeps_conditions=False)
    assert result.lost + result.reverts > 0
