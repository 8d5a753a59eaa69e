import pytest

from benchmarks.publishing.race import run_race


@pytest.mark.parametrize("seed", [1, 2])
def test_racing_operators_lose_and_revert_nothing(seed):
    result = run_race(60, seed=seed)
    assert result.accepted == 60
    assert result.outcomes["PublishConflict"] > 0
    violations = (result.lost, result.doubled, result.wrong_conflicts, result.reverts)
    assert violations == (0, 0, 0, 0)


def test_store_that_ignores_conditions_loses_or_reverts_publishes():
    result = run_race(40, seed=1, keeps_conditions=False)
    assert result.lost + result.reverts > 0
