"""Wait at a start for what the machine does not offer yet."""

import logging
from collections.abc import Callable
from typing import Any

from tenacity import RetryCallState, retry_if_exception_type, stop_after_delay
from tenacity.stop import stop_base
from tenacity.wait import wait_fixed

from rhubarbwell_entry.logs import log_event

__all__ = ["ADDRESS_WAIT_S", "SETTINGS_WAIT_S", "wait_options"]

_log = logging.getLogger(__name__)

# A file that another program writes is complete long before.
SETTINGS_WAIT_S = 10.0
# Twice the time for which an idle connection keeps its near end's port.
ADDRESS_WAIT_S = 30.0
RETRY_PERIOD_S = 0.1


class _StopIf(stop_base):
    def __init__(self, condition: Callable[[], bool]) -> None:
        self._condition = condition

    def __call__(self, retry_state: RetryCallState) -> bool:
        return self._condition()


def wait_options(
    waiting_for: str,
    *errors: type[Exception],
    timeout_s: float = float("inf"),
    period_s: float = RETRY_PERIOD_S,
    is_stopped: Callable[[], bool] = lambda: False,
) -> dict[str, Any]:
    """Return options of tenacity that repeat a step of a start while it fails.

    The last error is raised once timeout_s is over or a stop is requested. Each error
    is logged when it differs from the one before.
    """
    last_error = ""

    def log_error(state: RetryCallState) -> None:
        nonlocal last_error
        assert state.outcome is not None
        error = str(state.outcome.exception())
        if error != last_error:
            log_event(
                _log,
                logging.WARNING,
                "start_waits",
                "a part of the start cannot be done yet; it is tried again",
                waiting_for=waiting_for,
                error=error,
            )
        last_error = error

    return {
        "retry": retry_if_exception_type(errors),
        "stop": stop_after_delay(timeout_s) | _StopIf(is_stopped),
        "wait": wait_fixed(period_s),
        "before_sleep": log_error,
        "reraise": True,
    }
