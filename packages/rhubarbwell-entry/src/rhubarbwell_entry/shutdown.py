"""Shut down an entry instance gracefully."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from rhubarbwell_core.direct import ShutdownSchedule
from rhubarbwell_core.messages import ShutdownForced

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.proxy.handler import CallerHandler

__all__ = ["GracefulShutdown"]

_log = logging.getLogger(__name__)

TTL_MARGIN_MS = 2_000
FLUSH_TIMEOUT_MS = 5_000
POLL_INTERVAL_MS = 20
# A caller sends its request within some round trips after it has connected.
ARRIVAL_MS = 300


class GracefulShutdown:
    """Stop an entry instance after its open requests have ended.

    New requests are served for the time to live of look-up answers plus margin_ms, at
    most for max_ms, if their deadline leaves them time to end before the instance.
    Requests still open max_ms after the start are cut. announce tells peers that the
    instance is leaving; stop_listening closes the callers' listeners;
    close_idle_connections returns the number of connections that are left. `run`
    returns once the process may exit; `force` ends the open requests with the outcome
    unknown.
    """

    def __init__(
        self,
        driver: CoreDriver,
        handler: CallerHandler,
        *,
        max_ms: int,
        announce: Callable[[], None],
        stop_listening: Callable[[], Awaitable[None]],
        close_idle_connections: Callable[[], int],
        margin_ms: int = TTL_MARGIN_MS,
    ) -> None:
        self._driver = driver
        self._handler = handler
        self._max_ms = max_ms
        self._announce = announce
        self._stop_listening = stop_listening
        self._close_idle_connections = close_idle_connections
        self._margin_ms = margin_ms
        self._last_open_ms = 0
        self._forced = asyncio.Event()

    def force(self) -> None:
        """Stop waiting for cached look-up answers to expire and requests to end."""
        self._forced.set()

    async def run(self) -> bool:
        """Shut down; return True if every request ran to its end."""
        started_ms = self._driver.clock_ms()
        deadline_ms = started_ms + self._max_ms
        self._handler.shutdown = ShutdownSchedule(started_ms, self._max_ms)
        self._announce()
        self._handler.leaving = True
        log_event(
            _log,
            logging.INFO,
            "leaving",
            "leaving; serving callers that hold cached look-up answers",
        )
        cache_ttl_ms = min(self._cached_answer_ttl_ms() + self._margin_ms, self._max_ms)
        await self._wait_until(lambda: False, self._driver.clock_ms() + cache_ttl_ms)
        self._handler.refusing = True
        # TLS handshakes of the last connections may take longer than the stop.
        stopping = asyncio.ensure_future(self._stop_listening())
        await self._wait_until(stopping.done, deadline_ms)
        if not stopping.cancel():
            stopping.result()
        log_event(
            _log,
            logging.INFO,
            "waiting_for_requests",
            "waiting for open requests to end",
            open_requests=self._handler.open_requests,
        )
        # Requests may still arrive on the connections that were accepted last.
        arrival_end_ms = min(self._driver.clock_ms() + ARRIVAL_MS, deadline_ms)
        await self._wait_until(lambda: False, arrival_end_ms)
        self._last_open_ms = self._driver.clock_ms()
        await self._wait_until(self._is_finished, deadline_ms)
        graceful = self._handler.open_requests == 0
        if not graceful:
            log_event(
                _log,
                logging.WARNING,
                "requests_cut",
                "ending open requests with the outcome unknown",
                open_requests=self._handler.open_requests,
            )
            self._driver.handle(ShutdownForced())
            await self._flush_answers()
        await self._wait_until_outcomes_recorded()
        return graceful

    async def _wait_until(self, done: Callable[[], bool], until_ms: int) -> bool:
        while not done():
            remaining_ms = until_ms - self._driver.clock_ms()
            if remaining_ms <= 0 or self._forced.is_set():
                return done()
            try:
                async with asyncio.timeout(min(remaining_ms, POLL_INTERVAL_MS) / 1_000):
                    await self._forced.wait()
            except TimeoutError:
                continue
        return True

    def _is_finished(self) -> bool:
        """Return True once callers have their answers, or do not take them in time."""
        now_ms = self._driver.clock_ms()
        connections = self._close_idle_connections()
        if self._handler.open_requests:
            self._last_open_ms = now_ms
            return False
        return not connections or now_ms - self._last_open_ms >= FLUSH_TIMEOUT_MS

    async def _flush_answers(self) -> None:
        until_ms = self._driver.clock_ms() + FLUSH_TIMEOUT_MS
        while not self._is_finished() and self._driver.clock_ms() < until_ms:
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)

    async def _wait_until_outcomes_recorded(self) -> None:
        until_ms = self._driver.clock_ms() + FLUSH_TIMEOUT_MS
        outcomes = self._driver.core.keys.outcomes
        while len(outcomes) and self._driver.clock_ms() < until_ms:
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)

    def _cached_answer_ttl_ms(self) -> int:
        cfg = self._driver.core.configuration
        return 0 if cfg is None else cfg.deployment.look_up_ttl_ms
