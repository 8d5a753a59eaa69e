"""Graceful shutdown of an entry instance in direct forwarding."""

import asyncio
import logging

from rhubarbwell_core.direct import ShutdownSchedule

from rhubarbwell_entry.direct.instance import DirectInstance
from rhubarbwell_entry.logs import log_event

__all__ = ["DirectShutdown"]

_log = logging.getLogger(__name__)

POLL_PERIOD_MS = 20
MS_PER_S = 1_000


class DirectShutdown:
    """Leave the directory, serve late requests and finish open requests."""

    def __init__(self, instance: DirectInstance) -> None:
        self._instance = instance
        self._clock_ms = instance.clock_ms
        self._schedule = ShutdownSchedule(
            self._clock_ms(), instance.settings.stop_max_ms
        )

    @property
    def remaining_s(self) -> float:
        """Return the time in seconds in which the parts of the instance may stop."""
        return max(self._schedule.stop_ms - self._clock_ms(), 0) / MS_PER_S

    async def run(self) -> None:
        """Shut down and return once the instance may stop."""
        instance, schedule = self._instance, self._schedule
        callers = instance.callers
        instance.leaving = True
        instance.handler.shutdown = schedule
        log_event(
            _log,
            logging.INFO,
            "instance_leaving",
            "entry instance is shutting down",
            open_requests=callers.open_requests,
        )
        await instance.registrar.write_heartbeat()
        listen_ms = max(schedule.listen_until_ms - self._clock_ms(), 0)
        await asyncio.sleep(listen_ms / MS_PER_S)
        await callers.stop_listening()
        while self._clock_ms() < schedule.close_ms:
            # The loop counts connections a little after it has accepted them.
            await asyncio.sleep(POLL_PERIOD_MS / MS_PER_S)
            if not callers.close_idle_connections():
                break
        log_event(
            _log,
            logging.INFO,
            "requests_finished",
            "entry instance no longer waits for callers",
            open_requests=callers.open_requests,
            closed_idle=callers.closed_idle,
            elapsed_ms=self._clock_ms() - schedule.started_ms,
        )
