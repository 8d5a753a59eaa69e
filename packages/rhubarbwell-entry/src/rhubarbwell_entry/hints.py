"""Addresses at which peers may be found: the settings and the platform's list."""

import asyncio
import logging
from collections.abc import Sequence

from rhubarbwell_core.messages import InstancesListed
from rhubarbwell_core.model import Address
from rhubarbwell_platform import InstanceList, UnavailableError

from rhubarbwell_entry.driver import CoreDriver

__all__ = ["PeerHints"]

_log = logging.getLogger(__name__)

FIRST_PERIOD_S = 2.0
PERIOD_S = 60.0


class PeerHints:
    """Tell a core the seeds and the lagging list: PeerHints(...), run()."""

    def __init__(
        self,
        driver: CoreDriver,
        instances: InstanceList,
        seeds: Sequence[Address] = (),
    ) -> None:
        self._driver = driver
        self._instances = instances
        self._seeds = tuple(seeds)

    async def run(self) -> None:
        """Read the list from time to time until cancelled."""
        self._driver.handle(InstancesListed(self._seeds))
        while True:
            listed = await self._read()
            if listed is not None:
                addresses = dict.fromkeys((*self._seeds, *listed))
                self._driver.handle(InstancesListed(tuple(addresses)))
            alone = len(self._driver.core.peers) < 2
            await asyncio.sleep(FIRST_PERIOD_S if alone else PERIOD_S)

    async def _read(self) -> tuple[Address, ...] | None:
        try:
            listing = await self._instances.read()
        except UnavailableError as exc:
            _log.warning("the instance list could not be read: %s", exc)
            return None
        own = self._driver.core.identity.peers
        addresses = (instance.peers for instance in listing.instances)
        return tuple(address for address in addresses if address != own)
