"""Search for the newest configuration that any instance has in force."""

import asyncio
import logging
from collections.abc import Iterable, Sequence

from rhubarbwell_core.direct import InstanceTable, StoreVersion
from rhubarbwell_core.model import Address, host_port

from rhubarbwell_entry.direct.changes import ChangesClient, ChangesError, ChangesQuery
from rhubarbwell_entry.direct.follower import Upstream
from rhubarbwell_entry.direct.state import FleetState
from rhubarbwell_entry.logs import log_event

__all__ = ["ConfigSearch"]

_log = logging.getLogger(__name__)

# A round trip between regions, and the time to open a connection. An instance that
# starts accepts no request that needs an account until all that it asks have answered
# or this time has passed.
ASK_TIMEOUT_MS = 800
# Time for which an instance to which no seed answered waits for the list of instances.
LISTING_WAIT_S = 1.0
MAX_CONCURRENT_CALLS = 16
CHECK_S = 0.1
# Known versions that exclude all rows from a response.
NO_ROWS_VERSION = StoreVersion(1 << 62, 1 << 62)


class ConfigSearch:
    """Learn configurations that the store has lost from the instances that have them.

    At the start, a configuration with accounts comes into force once the seeds have
    been asked, so that a key that was revoked is not accepted for the older
    configuration in a store that came back from a copy.
    """

    def __init__(
        self,
        seeds: Sequence[Address],
        own_control: Address,
        state: FleetState,
        instances: InstanceTable,
        upstream: Upstream,
        client: ChangesClient,
        *,
        is_first_start: bool,
    ) -> None:
        self._seeds = [address for address in seeds if address != own_control]
        self._state = state
        self._instances = instances
        self._upstream = upstream
        self._client = client
        self._is_first_start = is_first_start
        if self._seeds:
            state.hold_config()

    async def run(self) -> None:
        """Ask instances at the start and when they may know more, until cancelled."""
        era = self._state.eras.current
        try:
            has_answer = await self._ask(self._seeds)
            if self._seeds and not has_answer and not self._is_first_start:
                await self._ask_listed()
        finally:
            self._state.release_config()
        while True:
            await asyncio.sleep(CHECK_S)
            if newer := self._state.take_newer_configs():
                await self._ask(self._controls(newer))
            if self._state.eras.current == era:
                continue
            era = self._state.eras.current
            # Followers learn it from their readers, and tell these what they know.
            if self._upstream.reads_store:
                await self._ask(self._controls())

    async def _ask_listed(self) -> None:
        """Ask the instances that the store lists: the seeds may be out of date."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + LISTING_WAIT_S
        while not self._instances.live() and loop.time() < end_s:
            await asyncio.sleep(CHECK_S)
        await self._ask(self._controls())

    def _controls(self, names: Iterable[str] | None = None) -> list[Address]:
        """Return the control addresses of live instances, of some if they are named."""
        wanted = None if names is None else set(names)
        return [
            entry.control
            for entry in self._instances.live()
            if wanted is None or entry.instance_id in wanted
        ]

    async def _ask(self, addresses: Sequence[Address]) -> bool:
        """Apply newer configurations of instances; return True if one answered."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def ask(address: Address) -> bool:
            async with limit:
                return await self._ask_one(address)

        return any(await asyncio.gather(*map(ask, addresses)))

    async def _ask_one(self, address: Address) -> bool:
        versions = dict.fromkeys(self._state.replicas, NO_ROWS_VERSION)
        known_version = self._state.known_config_version
        query = ChangesQuery(versions, is_first=True, config_version=known_version)
        try:
            resp = await self._client.fetch(address, query, ASK_TIMEOUT_MS)
        except ChangesError:
            return False
        if resp.config is not None and resp.config.version > known_version:
            log_event(
                _log,
                logging.INFO,
                "config_from_instance",
                "another instance has a newer configuration in force",
                address=host_port(address),
                version=resp.config.version,
                known_version=known_version,
            )
        self._state.apply_config_copy(resp.config)
        return True
