"""Hints of the platform's lagging list: where peers are, which servers leave."""

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

__all__ = ["PlatformHints"]

_log = logging.getLogger(__name__)

MIN_PERIOD_S = 2.0
FLEET_READS_PER_S = 300.0
SOURCE = "instance list"


class PlatformHints:
    """Read the platform's list, more seldom in a large fleet, and tell the core."""

    def __init__(
        self, driver: CoreDriver, listing: InstanceList, seeds: Sequence[Address]
    ) -> None:
        self._driver = driver
        self._listing = listing
        self._seeds = tuple(seeds)
        self._leaving: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Give the seeds at once, then read the list until cancelled."""
        self._driver.handle(InstancesListed(self._seeds))
        while True:
            await self.read_once()
            await asyncio.sleep(self._period_s())

    async def read_once(self) -> None:
        """Read the list once; an unavailable list changes nothing."""
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
            return
        self._tell_peers(listing)
        self._tell_backends(listing.backends)

    def _period_s(self) -> float:
        instances = len(self._driver.core.peers)
        return max(MIN_PERIOD_S, instances / FLEET_READS_PER_S)

    def _tell_peers(self, listing: InstanceListing) -> None:
        live = [row for row in listing.instances if row.state is ListedState.LIVE]
        addresses = (*self._seeds, *(row.peers for row in live))
        self._driver.handle(InstancesListed(addresses))

    def _tell_backends(self, backends: Sequence[ListedBackend]) -> None:
        leaving = frozenset(
            row.backend_id for row in backends if row.state is ListedState.LEAVING
        )
        for backend_id in sorted(leaving - self._leaving):
            self._driver.handle(BackendLeaving(backend_id, SOURCE))
        for backend_id in sorted(self._leaving - leaving):
            self._driver.handle(BackendReturned(backend_id, SOURCE))
        self._leaving = leaving
