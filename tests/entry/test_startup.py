"""Test of steps of a start that are repeated while they fail."""

import logging
import time

import pytest
from rhubarbwell_entry.startup import wait_options
from tenacity import Retrying


class Step:
    """Fail with the given errors, one each time, then with the last one."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.calls = 0

    def __call__(self):
        self.calls += 1
        error = self.errors[0] if len(self.errors) == 1 else self.errors.pop(0)
        if error is not None:
            raise error
        return "done"


def test_step_is_repeated_until_it_succeeds():
    step = Step(OSError("a"), OSError("b"), None)
    assert Retrying(**wait_options("step", OSError, period_s=0.001))(step) == "done"
    assert step.calls == 3


def test_last_error_is_raised_after_the_timeout():
    started = time.monotonic()
    with pytest.raises(OSError, match="taken"):
        Retrying(**wait_options("step", OSError, timeout_s=0.3, period_s=0.01))(
            Step(OSError("taken"))
        )
    assert time.monotonic() - started >= 0.3


def test_other_errors_are_raised_at_once():
    step = Step(ValueError())
    with pytest.raises(ValueError):
        Retrying(**wait_options("step", OSError))(step)
    assert step.calls == 1


def test_stop_ends_the_repetition():
    step = Step(OSError())
    with pytest.raises(OSError):
        Retrying(**wait_options("step", OSError, is_stopped=lambda: step.calls > 1))(
            step
        )
    assert step.calls == 2


def test_each_error_is_logged_when_it_differs_from_the_one_before(caplog):
    step = Step(*map(OSError, "aabba"), None)
    with caplog.at_level(logging.WARNING):
        Retrying(**wait_options("step", OSError, period_s=0.001))(step)
    assert [record.error for record in caplog.records] == ["a", "b", "a"]
    assert {record.event for record in caplog.records} == {"start_waits"}
