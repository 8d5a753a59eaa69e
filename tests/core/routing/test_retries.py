from rhubarbwell_core.model import Rank
from rhubarbwell_core.routing import RetryBudget


def test_retries_stay_below_a_tenth_of_first_attempts_in_an_outage():
    budget = RetryBudget()
    retries = 0
    for _ in range(10_000):
        budget.record_first_attempt("s")
        retries += sum(budget.try_spend("s", rank) for rank in Rank)
    assert retries <= 1_000


def test_urgent_work_gets_most_of_the_retries_when_every_attempt_fails():
    budget = RetryBudget()
    spent = dict.fromkeys(Rank, 0)
    for _ in range(1_000):
        budget.record_first_attempt("s")
        for rank in reversed(Rank):
            spent[rank] += budget.try_spend("s", rank)
    assert spent[Rank.URGENT] >= 0.8 * sum(spent.values()) > 0


def test_any_rank_may_spend_while_higher_ones_ask_for_nothing():
    budget = RetryBudget()
    for _ in range(20):
        budget.record_first_attempt("s")
    assert budget.try_spend("s", Rank.BULK) and budget.try_spend("s", Rank.BULK)
    assert not budget.try_spend("s", Rank.BULK)
