"""Test the verdict for each attempt result."""

import pytest
from rhubarbwell_core.direct import AttemptResult as R
from rhubarbwell_core.direct import Verdict as V
from rhubarbwell_core.direct import attempt_verdict

CASES = [
    # result, idempotent, may have run, may retry, verdict
    (R.ANSWERED, False, False, True, V.DELIVER),
    (R.SERVER_ERROR, False, False, True, V.DELIVER),
    (R.SERVER_ERROR, True, False, True, V.RETRY),
    (R.SERVER_ERROR, True, False, False, V.DELIVER),
    (R.NOT_SENT, False, False, True, V.RETRY),
    (R.NOT_SENT, False, False, False, V.REFUSE),
    (R.NOT_RUN, False, False, True, V.RETRY),
    (R.NOT_RUN, False, False, False, V.REFUSE),
    (R.NOT_RUN, True, True, False, V.UNKNOWN),
    (R.BROKEN, False, False, True, V.UNKNOWN),
    (R.BROKEN, True, False, True, V.RETRY),
    (R.BROKEN, True, False, False, V.UNKNOWN),
    (R.TIMED_OUT, True, False, True, V.TIMEOUT),
    (R.TIMED_OUT, False, False, True, V.TIMEOUT),
]


@pytest.mark.parametrize("result, idempotent, may_have_run, may_retry, verdict", CASES)
def test_verdict(result, idempotent, may_have_run, may_retry, verdict):
    assert (
        attempt_verdict(
            result,
            is_idempotent=idempotent,
            may_have_run=may_have_run,
            may_retry=may_retry,
        )
        is verdict
    )
