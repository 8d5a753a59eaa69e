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
from tenacity import AsyncRetrying

from rhubarbwell_entry.instance import EntryInstance
from rhubarbwell_entry.settings import Settings
from rhubarbwell_entry.signals import StopSignals
from rhubarbwell_entry.startup import ADDRESS_WAIT_S, wait_options

__all__ = ["EntryService"]

RATE_UPDATE_PERIOD_S = 10.0


class EntryService(Service):
    """Start and stop an entry instance with the process."""

    settings: Settings
    signals: StopSignals

    async def start(self) -> None:
        """Start the instance, unless a signal asks to stop before it can.

        Raises OSError if an address stays taken or a TLS file unreadable.
        """
        self._session = open_session()
        self._limits = RateLimits(ClientOptions())
        self._rate_update_task: asyncio.Task[None] | None = None
        options = wait_options(
            "addresses and TLS files",
            OSError,
            timeout_s=ADDRESS_WAIT_S,
            is_stopped=self.signals.requested.is_set,
        )
        try:
            instance: EntryInstance = await AsyncRetrying(**options)(
                self._make_instance
            )
        except OSError:
            if self.signals.requested.is_set():
                return
            raise
        self._instance = instance
        await instance.start()
        self._rate_update_task = asyncio.create_task(self._update_rate_limits())

    async def _make_instance(self) -> EntryInstance:
        platform = http_platform(
            self._session, self.settings.platform, SystemRandom(), limits=self._limits
        )
        return EntryInstance(self.settings, platform)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Shut the instance down gracefully; a second SIGINT forces it."""
        if self._rate_update_task is not None:
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
