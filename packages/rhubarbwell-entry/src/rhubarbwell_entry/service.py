"""The aiomisc service that runs one entry instance in a process."""

from random import SystemRandom
from typing import Any

import aiohttp
from aiomisc import Service
from rhubarbwell_platform.http import http_platform

from rhubarbwell_entry.instance import EntryInstance
from rhubarbwell_entry.settings import Settings

__all__ = ["EntryService"]


class EntryService(Service):
    """Start and stop an entry instance with the process."""

    settings: Settings

    async def start(self) -> None:
        """Start the instance; raise OSError if one of its addresses is taken."""
        self._session = aiohttp.ClientSession()
        platform = http_platform(self._session, self.settings.platform, SystemRandom())
        self._instance = EntryInstance(self.settings, platform)
        await self._instance.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop the instance."""
        await self._instance.stop()
        await self._session.close()
