"""Graceful shutdown of an entry instance in direct forwarding."""

import asyncio
import logging

from rhubarbwell_entry.direct.instance import DirectInstance
from rhubarbwell_entry.logs import log_event

__all__ = ["DirectShutdown"]

_log = logging.getLogger(__name__)

# Fractions of the time from SIGTERM to SIGKILL: new connections are accepted until the
# first; at the second the instance stops even if requests are still open; at the third
# its parts have stopped.
ACCEPT_SHARE = 0.6
STOP_SHARE = 0.93
END_SHARE = 0.98
POLL_PERIOD_MS = 20


class DirectShutdown:
    """Leave the directory, serve late requests and finish open requests."""

    def __init__(self, instance: DirectInstance) -> None:
        self._instance = instance
        self._started_s = 0.0

    @property
    def remaining_s(self) -> float:
        """Return the time in seconds in which the parts of the instance may stop."""
        loop = asyncio.get_running_loop()
        stop_max_s = self._instance.settings.stop_max_ms / 1_000
        return max(self._started_s + END_SHARE * stop_max_s - loop.time(), 0.0)

    async def run(self) -> None:
        """Shut down and return once the instance may stop."""
        instance, handler = self._instance, self._instance.handler
        callers = instance.callers
        loop = asyncio.get_running_loop()
        stop_max_s = instance.settings.stop_max_ms / 1_000
        self._started_s = started_s = loop.time()
        instance.leaving = True
        handler.leaving = True
        log_event(
            _log,
            logging.INFO,
            "instance_leaving",
            "entry instance is shutting down",
            open_requests=callers.open_requests,
        )
        await instance.registrar.write_heartbeat()
        await asyncio.sleep(started_s + ACCEPT_SHARE * stop_max_s - loop.time())
        handler.refuses_new = True
        await callers.stop_listening()
        while loop.time() < started_s + STOP_SHARE * stop_max_s:
            if not callers.close_idle_connections():
                break
            await asyncio.sleep(POLL_PERIOD_MS / 1_000)
        log_event(
            _log,
            logging.INFO,
            "requests_finished",
            "entry instance no longer waits for callers",
            open_requests=callers.open_requests,
            elapsed_ms=round((loop.time() - started_s) * 1_000),
        )
