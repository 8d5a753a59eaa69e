"""Poll the platform's instance list for peers and leaving backend servers.

The list lags, so the core takes what it says as a hint.
"""

import asyncio
import logging
from collections.abc import Sequence

from rhubarbwell_core.messages import (
    BackendLeaving,
    BackendReturned,
    InstancesListed,
)
from rhubarbwell_core.model import Address
from rhubarbwell_platform.errors import UnavailableError
from rhubarbwell_platform.services import (
    InstanceList,
    InstanceListing,
    ListedBackend,
    ListedState,
)

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event

__all__ = ["InstanceListPoller"]

_log = logging.getLogger(__name__)

MIN_READ_PERIOD_S = 2.0
MAX_FLEET_READS_PER_S = 300.0
LEAVING_SOURCE = "instance list"


class InstanceListPoller:
    """Poll the platform's instance list and report its rows to the core.

    The read period grows with the fleet, so that the reads of all instances together
    stay within MAX_FLEET_READS_PER_S.
    """

    def __init__(
        self, driver: CoreDriver, instance_list: InstanceList, seeds: Sequence[Address]
    ) -> None:
        self._driver = driver
        self._instance_list = instance_list
        self._seeds = tuple(seeds)
        self._leaving: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Report the seeds at once, then poll the list until cancelled."""
        self._driver.handle(InstancesListed(self._seeds))
        while True:
            await self.read_once()
            await asyncio.sleep(self._read_period_s())

    async def read_once(self) -> None:
        """Read and report the list once; an unavailable list changes nothing."""
        try:
            listing = await self._instance_list.read()
        except UnavailableError as exc:
            log_event(
                _log,
                logging.WARNING,
                "instance_list_unavailable",
                "could not read the platform's instance list",
                error=str(exc),
            )
            return
        self._report_peers(listing)
        self._report_backends(listing.backends)

    def _read_period_s(self) -> float:
        instances = len(self._driver.core.peers)
        return max(MIN_READ_PERIOD_S, instances / MAX_FLEET_READS_PER_S)

    def _report_peers(self, listing: InstanceListing) -> None:
        live = [row for row in listing.instances if row.state is ListedState.LIVE]
        addresses = (*self._seeds, *(row.peers for row in live))
        self._driver.handle(InstancesListed(addresses))

    def _report_backends(self, backends: Sequence[ListedBackend]) -> None:
        leaving = frozenset(
            row.backend_id for row in backends if row.state is ListedState.LEAVING
        )
        for backend_id in sorted(leaving - self._leaving):
            self._driver.handle(BackendLeaving(backend_id, LEAVING_SOURCE))
        for backend_id in sorted(self._leaving - leaving):
            self._driver.handle(BackendReturned(backend_id, LEAVING_SOURCE))
        self._leaving = leaving
