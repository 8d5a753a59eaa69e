"""The aiomisc service that runs one entry instance in a process."""

import asyncio
import signal
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
        """Shut the instance down gracefully; a second SIGTERM hurries it."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._instance.hurry)
        await self._instance.shut_down()
        await self._session.close()
