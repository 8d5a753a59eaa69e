"""First tables of a starting entry instance, from instances that already run."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncGenerator, Callable, Mapping, Sequence
from random import Random
from typing import NamedTuple

from rhubarbwell_core.direct import NO_VERSION, StoreVersion
from rhubarbwell_core.model import Address, host_port

from rhubarbwell_entry.direct.changes import (
    ChangesClient,
    ChangesError,
    ChangesQuery,
    ChangesResponse,
)
from rhubarbwell_entry.direct.follower import PollSchedule, StoreHealth, Upstream
from rhubarbwell_entry.direct.state import FleetState
from rhubarbwell_entry.logs import log_event

__all__ = ["SeedLoader"]

_log = logging.getLogger(__name__)

# A seed that runs answers within a round trip between regions, plus the time to send
# some hundred KB over a slow link.
SEED_TIMEOUT_MS = 800
# Time for which a starting instance asks the seeds before it reads the store itself.
# Seeds that start together with it, on a slower machine, have listed the store within
# the longer time.
SEEDS_WAIT_MS = 600
FIRST_START_SEEDS_WAIT_MS = 3_000
# Random, so that a fleet that starts together does not ask the seeds all at once. Of a
# fleet that starts again, callers already wait for each instance.
MIN_PAUSE_MS = 100
MAX_PAUSE_MS = 300
FIRST_START_MAX_PAUSE_MS = 800
# The operators publish the first configuration, after which a reader is ready, within
# some seconds of the start of the fleet.
MAX_READER_QUERIES = 10
# Known versions that exclude all rows from a response.
NO_ROWS_VERSION = StoreVersion(1 << 62, 1 << 62)
MS_PER_S = 1_000


class _Probe(NamedTuple):
    """Hold a seed's address and its response without rows."""

    address: Address
    resp: ChangesResponse

    @property
    def max_age_ms(self) -> int:
        return max(self.resp.ages_ms.values(), default=0)

    @property
    def has_tables(self) -> bool:
        tables = self.resp.tables
        return bool(tables) and all(
            table.version > NO_VERSION for table in tables.values()
        )


class SeedLoader:
    """Take the tables of a seed instance instead of listing the store.

    An instance that starts while the store is out gets its configuration in this way
    too. Copies that are not current are taken only then.
    """

    def __init__(
        self,
        seeds: Sequence[Address],
        own_control: Address,
        *,
        is_first_start: bool,
        state: FleetState,
        health: StoreHealth,
        upstream: Upstream,
        schedules: Sequence[PollSchedule],
        client: ChangesClient,
        rng: Random,
        clock_ms: Callable[[], int],
    ) -> None:
        self._seeds = [address for address in seeds if address != own_control]
        self._wait_ms = FIRST_START_SEEDS_WAIT_MS if is_first_start else SEEDS_WAIT_MS
        self._max_pause_ms = (
            FIRST_START_MAX_PAUSE_MS if is_first_start else MAX_PAUSE_MS
        )
        self._state = state
        self._health = health
        self._upstream = upstream
        self._stale_ms = {schedule.table: schedule.stale_ms for schedule in schedules}
        self._client = client
        self._rng = rng
        self._clock_ms = clock_ms
        # A seed reads the store at once, so that the others find its tables.
        upstream.awaits_seeds = bool(self._seeds) and own_control not in seeds

    async def load_current(self) -> bool:
        """Return True once a seed's current tables are applied.

        Returns False after the waiting time, also while calls to seeds are open, and
        lets the store be read.
        """
        deadline_ms = self._clock_ms() + self._wait_ms
        while self._upstream.awaits_seeds and self._clock_ms() < deadline_ms:
            probe = await self._find_current(deadline_ms - self._clock_ms())
            if probe is not None and await self._load_from(probe):
                await self._wait_for_reader(probe)
            elif self._clock_ms() < deadline_ms:
                await self._pause()
        self._upstream.awaits_seeds = False
        return self._upstream.reader is not None

    async def load_during_outage(self) -> None:
        """Take the newest copy that a seed has while the store gives none.

        Returns once a configuration is in force.
        """
        while self._seeds and not self._state.is_configured:
            if self._health.is_out:
                probes = [p async for p in self._probe_seeds() if p.has_tables]
                if probes and not self._state.is_configured:
                    newest = max(probes, key=lambda p: (p.resp.era, -p.max_age_ms))
                    await self._load_from(newest)
            await self._pause()

    async def _find_current(self, max_wait_ms: int) -> _Probe | None:
        """Return the first seed that answers with current tables, the nearest one."""
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(max_wait_ms / MS_PER_S),
                contextlib.aclosing(self._probe_seeds()) as probes,
            ):
                async for probe in probes:
                    if self._is_current(probe):
                        return probe
        return None

    async def _probe_seeds(self) -> AsyncGenerator[_Probe, None]:
        """Yield the seeds' responses without rows in the order of their arrival."""
        versions = dict.fromkeys(self._state.replicas, NO_ROWS_VERSION)
        calls = [
            asyncio.ensure_future(self._fetch(address, versions))
            for address in self._seeds
        ]
        addresses = dict(zip(calls, self._seeds, strict=True))
        try:
            waiting = set(calls)
            while waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for call in done:
                    resp = call.result()
                    if resp is not None:
                        yield _Probe(addresses[call], resp)
        finally:
            for call in calls:
                call.cancel()

    async def _load_from(self, probe: _Probe) -> bool:
        """Return True after applying a seed's tables and following its reader."""
        versions = {
            name: replica.version for name, replica in self._state.replicas.items()
        }
        resp = await self._fetch(probe.address, versions)
        if resp is None:
            return False
        now_ms = self._clock_ms()
        self._state.apply_response(resp, now_ms)
        if self._upstream.awaits_seeds:
            self._upstream.reader = resp.reader
            self._upstream.awaits_seeds = False
        log_event(
            _log,
            logging.INFO,
            "tables_from_seed",
            "tables were taken from a seed instance",
            address=host_port(probe.address),
            reader=resp.reader,
            age_ms=probe.max_age_ms,
            store_is_out=resp.store_is_out,
        )
        return True

    async def _wait_for_reader(self, probe: _Probe) -> None:
        """Ask the seed again until its tables list the instance that reads the store.

        An instance that has just started may not have registered as ready yet.
        """
        for _ in range(MAX_READER_QUERIES):
            live = self._state.instances.live()
            ready_ids = {entry.instance_id for entry in live if not entry.leaving}
            if self._upstream.reader in ready_ids:
                return
            await self._pause()
            await self._load_from(probe)

    async def _fetch(
        self, address: Address, versions: Mapping[str, StoreVersion]
    ) -> ChangesResponse | None:
        config_version = self._state.known_config_version
        query = ChangesQuery(versions, is_first=True, config_version=config_version)
        try:
            return await self._client.fetch(address, query, SEED_TIMEOUT_MS)
        except ChangesError as exc:
            log_event(
                _log,
                logging.INFO,
                "seed_failed",
                "a seed instance gave no tables",
                address=host_port(address),
                reason=str(exc),
            )
            return None

    def _is_current(self, probe: _Probe) -> bool:
        ages_ms = probe.resp.ages_ms
        return (
            probe.resp.reader is not None
            and probe.has_tables
            and probe.resp.era >= self._state.eras.current
            and all(
                ages_ms.get(name, stale_ms) < stale_ms
                for name, stale_ms in self._stale_ms.items()
            )
        )

    async def _pause(self) -> None:
        pause_ms = self._rng.uniform(MIN_PAUSE_MS, self._max_pause_ms)
        await asyncio.sleep(pause_ms / MS_PER_S)
