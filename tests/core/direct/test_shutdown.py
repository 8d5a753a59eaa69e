"""Model check of the requests that an instance accepts while it shuts down."""

from itertools import product

import pytest
from rhubarbwell_core.direct import RequestKind, Route, ShutdownSchedule, SplitPart

STARTED_MS = 50_000
# Shares of the grace time.
SENT_SHARES = [share / 40 for share in range(40)]
DURATION_SHARES = (0.001, 0.05, 0.1, 0.3, 0.5, 0.8, 1.0, 3.0)


def make_route(timeout_ms):
    return Route(
        "pay", "h", "/pay/", RequestKind.UNSAFE, (SplitPart("svc", 1),), timeout_ms, 300
    )


# Requests that outlived the instance were accepted and then cut off by its end.
@pytest.mark.parametrize("grace_ms", [500, 1_000, 6_000, 10_000, 30_000])
def test_accepted_requests_end_before_the_instance_and_no_other_is_refused(grace_ms):
    schedule = ShutdownSchedule(STARTED_MS, grace_ms)
    accepted = refused = 0
    for sent, deadline, timeout, work in product(
        SENT_SHARES, DURATION_SHARES, DURATION_SHARES, DURATION_SHARES
    ):
        sent_ms = STARTED_MS + round(sent * grace_ms)
        deadline_ms = sent_ms + round(deadline * grace_ms)
        expires_ms = make_route(round(timeout * grace_ms)).expires_ms(
            sent_ms, deadline_ms
        )
        if schedule.can_finish(expires_ms):
            accepted += 1
            answered_ms = min(sent_ms + round(work * grace_ms), expires_ms)
            assert answered_ms < schedule.close_ms
        else:
            refused += 1
            # A tenth of the grace time is kept for slow readers and the instance's
            # own parts.
            assert expires_ms > STARTED_MS + 0.9 * grace_ms - 1
    assert accepted > 0
    assert refused > 0


@pytest.mark.parametrize("grace_ms", [500, 6_000, 10_000])
def test_stages_follow_each_other_before_sigkill(grace_ms):
    schedule = ShutdownSchedule(STARTED_MS, grace_ms)
    stages = (schedule.listen_until_ms, schedule.close_ms, schedule.stop_ms)
    assert list(stages) == sorted(set(stages))
    assert stages[0] > STARTED_MS
    assert stages[-1] < STARTED_MS + grace_ms
