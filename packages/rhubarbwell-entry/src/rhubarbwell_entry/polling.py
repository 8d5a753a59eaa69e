"""Polling of the platform for the published configuration."""

import asyncio
import logging

from returns.result import Failure
from rhubarbwell_core.adoption import InvalidLogError
from rhubarbwell_core.messages import ConfigReceived
from rhubarbwell_platform.documents import format_findings
from rhubarbwell_platform.errors import MissingObjectError, UnavailableError
from rhubarbwell_platform.publishing import read_configuration, read_head
from rhubarbwell_platform.services import Platform

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event

__all__ = ["ConfigurationPoller"]

_log = logging.getLogger(__name__)

POLL_PERIOD_S = 1.0


class ConfigurationPoller:
    """Read the configuration from the platform whenever the head has moved."""

    def __init__(self, driver: CoreDriver, platform: Platform) -> None:
        self._driver = driver
        self._platform = platform

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self._poll_once()
            except (InvalidLogError, MissingObjectError, UnavailableError) as exc:
                log_event(
                    _log,
                    logging.WARNING,
                    "config_poll_failed",
                    "could not read the configuration; the old one stays in force",
                    error=str(exc),
                )
            await asyncio.sleep(POLL_PERIOD_S)

    async def _poll_once(self) -> None:
        head = (await read_head(self._platform.tables)).head
        cfg = self._driver.core.configuration
        if head.version <= (0 if cfg is None else cfg.version):
            return
        result = await read_configuration(self._platform)
        if isinstance(result, Failure):
            log_event(
                _log,
                logging.ERROR,
                "config_refused",
                "published configuration is invalid; the old one stays in force",
                findings=format_findings(result.failure()),
            )
            return
        self._driver.handle(ConfigReceived(result.unwrap()))
