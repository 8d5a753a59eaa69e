"""Hints where peers may be: the settings' seeds and the platform's list."""

import asyncio
import logging
from collections.abc import Sequence

from rhubarbwell_core.messages import InstancesListed
from rhubarbwell_core.model import Address
from rhubarbwell_platform.errors import UnavailableError
from rhubarbwell_platform.services import InstanceList, ListedState

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event

__all__ = ["PeerHints"]

_log = logging.getLogger(__name__)

PERIOD_S = 30.0


class PeerHints:
    """Tell the core, once a period, which addresses peers may have."""

    def __init__(
        self,
        driver: CoreDriver,
        listing: InstanceList,
        seeds: Sequence[Address],
        *,
        period_s: float = PERIOD_S,
    ) -> None:
        self._driver = driver
        self._listing = listing
        self._seeds = tuple(seeds)
        self._period_s = period_s

    async def run(self) -> None:
        """Give the seeds at once and the list as soon as it can be read."""
        self._driver.handle(InstancesListed(self._seeds))
        while True:
            self._driver.handle(InstancesListed(await self._read()))
            await asyncio.sleep(self._period_s)

    async def _read(self) -> tuple[Address, ...]:
        try:
            listing = await self._listing.read()
        except UnavailableError as exc:
            log_event(
                _log,
                logging.WARNING,
                "instance_list_unavailable",
                "could not read the platform's instance list",
                error=str(exc),
            )
            return self._seeds
        live = [row for row in listing.instances if row.state is ListedState.LIVE]
        return (*self._seeds, *(row.peers for row in live))
