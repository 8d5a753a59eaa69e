"""Measurement of what a process holds in memory, and for what."""

import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from rhubarbwell_entry.logs import log_event

__all__ = ["HeldBytes", "MemoryWatch", "resident_bytes"]

_log = logging.getLogger(__name__)

STATM_PATH = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# From this share of the limit on, each further step is logged once.
FIRST_LOGGED_SHARE = 0.5
LOGGED_STEP_SHARE = 0.05
# The memory has to fall by this share before a step is logged again.
HYSTERESIS_SHARE = 0.1


class HeldBytes(NamedTuple):
    """Hold the sizes of what a process keeps for requests.

    bodies are those of requests, answers are being read from servers, and responses
    wait until callers take them.
    """

    bodies: int
    answers: int
    responses: int


def resident_bytes() -> int:
    """Return the resident memory of this process, 0 if it cannot be read."""
    try:
        return int(STATM_PATH.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class MemoryWatch:
    """Log how much memory the process holds for what, as it nears its limit.

    The platform kills a process over its limit without a line of its own.
    """

    def __init__(
        self,
        limit_bytes: int,
        read_held: Callable[[], HeldBytes],
        read_resident: Callable[[], int] = resident_bytes,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._read_held = read_held
        self._read_resident = read_resident
        self._next_share = FIRST_LOGGED_SHARE

    def check(self, open_requests: int) -> None:
        """Log the resident memory and its known parts if it has reached a new step."""
        resident = self._read_resident()
        share = resident / self._limit_bytes
        if share < self._next_share:
            lowered = share + HYSTERESIS_SHARE
            self._next_share = max(min(self._next_share, lowered), FIRST_LOGGED_SHARE)
            return
        self._next_share = share + LOGGED_STEP_SHARE
        held = self._read_held()
        log_event(
            _log,
            logging.WARNING,
            "memory_high",
            "the process nears its memory limit",
            resident_bytes=resident,
            limit_bytes=self._limit_bytes,
            body_bytes=held.bodies,
            answer_bytes=held.answers,
            response_bytes=held.responses,
            open_requests=open_requests,
        )
