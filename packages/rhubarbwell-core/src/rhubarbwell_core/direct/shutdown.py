"""Decide which requests an instance still accepts while it shuts down."""

from typing import NamedTuple

__all__ = ["ShutdownSchedule"]

# Shares of the time from SIGTERM to SIGKILL. New connections are accepted until the
# first, by when callers have replaced the answers of their look-ups. Accepted requests
# have ended by the second; up to the third, callers read their answers and open
# requests from before SIGTERM are waited for; at the fourth all parts have stopped.
LISTEN_SHARE = 0.6
ANSWER_SHARE = 0.9
CLOSE_SHARE = 0.93
STOP_SHARE = 0.98


class ShutdownSchedule(NamedTuple):
    """Hold the times of a shutdown that SIGTERM started at started_ms.

    SIGKILL follows max_ms later.

    >>> schedule = ShutdownSchedule(started_ms=10_000, max_ms=6_000)
    >>> schedule.can_finish(15_400), schedule.can_finish(15_401)
    (True, False)
    """

    started_ms: int
    max_ms: int

    @property
    def listen_until_ms(self) -> int:
        """Return the time in ms until which new connections are accepted."""
        return self._time_at(LISTEN_SHARE)

    @property
    def close_ms(self) -> int:
        """Return the time in ms at which the remaining connections are closed."""
        return self._time_at(CLOSE_SHARE)

    @property
    def stop_ms(self) -> int:
        """Return the time in ms at which all parts have stopped."""
        return self._time_at(STOP_SHARE)

    def can_finish(self, expires_ms: int) -> bool:
        """Return True if a request that expires then ends before the instance does.

        How long its backend server will work on it is not known; until it expires, it
        may still be answered.
        """
        return expires_ms <= self._time_at(ANSWER_SHARE)

    def _time_at(self, share: float) -> int:
        return self.started_ms + int(share * self.max_ms)
