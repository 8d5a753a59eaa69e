from rhubarbwell_core.burn import BurnObserver, burn_rate, make_burn_rows, merge_rows
from rhubarbwell_core.messages import EndRequest, RequestArrived
from rhubarbwell_core.model import (
    Configuration,
    DeploymentSpec,
    Outcome,
    Rank,
    Reason,
    ServiceSpec,
    WorkKind,
)

KIND = WorkKind("page", "GET", "/", Rank.URGENT, objective=0.9)
CFG = Configuration(
    1,
    "x",
    DeploymentSpec("d", (), ()),
    {"slotsvc": ServiceSpec("slotsvc", (KIND,), ())},
)


def observe(ends, start_ms=1_000):
    observer = BurnObserver()
    observer.configure(CFG)
    for number, (outcome, reason, latency_ms) in enumerate(ends):
        event = RequestArrived(
            number, "slotsvc", "page", "c", start_ms + 100, Rank.URGENT, True
        )
        observer.record_arrival(event, start_ms)
        end = EndRequest(number, outcome, reason)
        observer.record_end(end, start_ms + latency_ms)
    return observer


GOOD = (Outcome.ANSWERED, Reason.SERVED, 50)
LATE = (Outcome.ANSWERED, Reason.SERVED, 101)
REFUSED = (Outcome.NOT_RUN, Reason.OVERLOAD, 0)


def test_late_and_refused_requests_burn_the_budget_by_cause():
    (row,) = make_burn_rows(observe([GOOD] * 8 + [LATE, REFUSED]), 2_000)
    tally = row.windows[60_000]
    assert (tally.total, tally.bad) == (10, 2)
    assert tally.causes == {Reason.DEADLINE: 1, Reason.OVERLOAD: 1}
    assert abs(burn_rate(tally) - 2.0) < 1e-9


def test_windows_forget_old_buckets():
    (row,) = make_burn_rows(observe([REFUSED]), 1_000 + 61_000)
    assert row.windows[60_000].bad == 0
    assert row.windows[300_000].bad == 1


def test_merged_rows_add_up_over_instances():
    observers = [observe([GOOD]), observe([GOOD, REFUSED])]
    rows = [row for observer in observers for row in make_burn_rows(observer, 2_000)]
    (merged,) = merge_rows(rows)
    assert merged.windows[60_000].total == 3
    assert merged.latencies.count == 2


def test_request_abandoned_by_its_caller_is_not_bad():
    gone = (Outcome.UNKNOWN, Reason.CALLER_GONE, 10)
    (row,) = make_burn_rows(observe([gone]), 2_000)
    assert row.windows[60_000].bad == 0
