from rhubarbwell_core.model import Rank
from rhubarbwell_core.routing import RetryBudget


def spend_all(budget, rank):
    return sum(budget.try_spend("s", rank) for _ in range(1_000))


def test_retries_stay_below_a_tenth_of_first_attempts_in_an_outage():
    budget = RetryBudget()
    retries = 0
    for _ in range(10_000):
        budget.first_attempt("s")
        retries += sum(budget.try_spend("s", rank) for rank in Rank)
    assert retries <= 1_000


def test_lower_ranks_leave_a_reserve_to_urgent_work():
    budget = RetryBudget()
    for _ in range(1_000):
        budget.first_attempt("s")
    assert spend_all(budget, Rank.BULK) > 0
    assert spend_all(budget, Rank.STANDARD) > 0
    assert spend_all(budget, Rank.URGENT) > 0
    assert spend_all(budget, Rank.URGENT) == 0
