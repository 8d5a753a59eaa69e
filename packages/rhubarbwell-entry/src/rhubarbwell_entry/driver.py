"""Pass events to a core on the event loop and execute its actions."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from rhubarbwell_core import Core
from rhubarbwell_core.engine import Action, Event

from rhubarbwell_entry.clocks import monotonic_ms
from rhubarbwell_entry.logs import log_event

__all__ = ["ActionExecutor", "CoreDriver"]

_log = logging.getLogger(__name__)

ActionExecutor = Callable[[Any], None]
IDLE_SLEEP_MS = 1_000


class CoreDriver:
    """Pass events to one core and its actions to the executors of their types.

    An action without an executor is logged as an error and dropped.
    """

    def __init__(
        self, core: Core, *, clock_ms: Callable[[], int] = monotonic_ms
    ) -> None:
        self.core = core
        self.clock_ms = clock_ms
        self._executors: dict[type, ActionExecutor] = {}

    def register(self, action_type: type, executor: ActionExecutor) -> None:
        """Set the executor of an action type, replacing any earlier one."""
        self._executors[action_type] = executor

    def handle(self, event: Event) -> None:
        """Pass an event to the core and execute the actions it returns."""
        self._execute(self.core.handle(event, self.clock_ms()))

    async def run(self) -> None:
        """Advance the core whenever a timer is due, until cancelled."""
        while True:
            self._execute(self.core.advance(self.clock_ms()))
            due_ms = self.core.next_due_ms()
            wait_ms = IDLE_SLEEP_MS if due_ms is None else due_ms - self.clock_ms()
            await asyncio.sleep(max(wait_ms, 1) / 1_000)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            executor = self._executors.get(type(action))
            if executor is None:
                log_event(
                    _log,
                    logging.ERROR,
                    "action_dropped",
                    "dropped an action that has no executor",
                    action=type(action).__name__,
                )
                continue
            executor(action)
