"""Run one entry instance as an aiomisc service."""

import asyncio
from random import SystemRandom
from typing import Any

from aiomisc import Service
from rhubarbwell_platform.http import (
    ClientOptions,
    RateLimits,
    http_platform,
    open_session,
)

from rhubarbwell_entry.instance import EntryInstance
from rhubarbwell_entry.settings import Settings
from rhubarbwell_entry.signals import StopSignals

__all__ = ["EntryService"]

RATE_UPDATE_PERIOD_S = 10.0


class EntryService(Service):
    """Start and stop an entry instance with the process."""

    settings: Settings
    signals: StopSignals

    async def start(self) -> None:
        """Start the instance; raise OSError if one of its addresses is taken."""
        self._session = open_session()
        self._limits = RateLimits(ClientOptions())
        platform = http_platform(
            self._session, self.settings.platform, SystemRandom(), limits=self._limits
        )
        self._instance = EntryInstance(self.settings, platform)
        await self._instance.start()
        self._rate_update_task = asyncio.create_task(self._update_rate_limits())

    async def stop(self, exception: Exception | None = None) -> Any:
        """Shut the instance down gracefully; a second SIGINT forces it."""
        force_task = asyncio.create_task(self._force_on_signal())
        await self._instance.shut_down()
        force_task.cancel()
        self._rate_update_task.cancel()
        await self._session.close()

    async def _force_on_signal(self) -> None:
        await self.signals.forced.wait()
        self._instance.force_shutdown()

    async def _update_rate_limits(self) -> None:
        """Keep the rate limits of platform calls at this instance's share."""
        while True:
            cfg = self._instance.core.configuration
            if cfg is not None:
                zones = cfg.deployment.zones
                self._limits.set_fleet_size(sum(zone.entry_instances for zone in zones))
            await asyncio.sleep(RATE_UPDATE_PERIOD_S)
