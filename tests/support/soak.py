"""A soak of bookings through crashes, graceful stops and store outages.

The outcomes that callers receive are compared with the runs at the backend servers.
"""

import asyncio
from collections import Counter
from random import Random
from typing import NamedTuple

import aiohttp
from rhubarbwell_core.lookups import LookUpQuery
from rhubarbwell_entry.shutdown import GracefulShutdown
from rhubarbwell_platform.standins import Fault, FaultScript, FaultyBackend
from support.entries import RunningEntry, make_configuration
from support.tables import FlakyTables

BACKEND_FAULTS = (
    Fault.RESET_ON_HEAD,
    Fault.RESET_AFTER_REQUEST,
    Fault.CLOSE_AFTER_REQUEST,
    Fault.RESET_MID_BODY,
    Fault.CUT_SHORT,
    Fault.CROSSED,
    Fault.DOUBLED,
    Fault.DOUBLED_LATER,
    Fault.SHED_OUTCOME,
)
BACKEND_COUNT = 4
ENTRY_COUNT = 3
WORKER_COUNT = 24
SLOTS_PER_BACKEND = 50
MAX_TRIES = 6
DEADLINE_MS = 1_000
UPLOAD_CHUNKS = 30


class RandomFaultScript(FaultScript):
    """Apply a random fault to a share of the POST requests."""

    def __init__(self, rng, fault_share):
        # The base class requires a fault; `next_fault` never returns it.
        super().__init__(Fault.SILENT, after=1 << 60)
        self._rng = rng
        self._fault_share = fault_share

    def next_fault(self, req=None):
        if (
            req is None
            or req.method != "POST"
            or self._rng.random() >= self._fault_share
        ):
            return None
        return self._rng.choice(BACKEND_FAULTS)


class SoakResult(NamedTuple):
    """Hold the outcomes of a soak and the bookings that contradict the runs.

    `told` counts the bookings by the last outcome that their callers received.
    `doubles` ran more than once, `false_not_run` ran although every outcome said
    not run, and `false_answered` were answered without a run. `crossed` and
    `cut_uploads` hold the number and the text of each wrong answer.
    """

    bookings: int
    told: dict
    kills: int
    planned_stops: int
    outages: int
    uploads: int
    doubles: list
    false_not_run: list
    false_answered: list
    crossed: list
    cut_uploads: list
    rows_written: int


class BookingSoak:
    """Send bookings with tickets, with callers' own keys and without keys."""

    def __init__(self, bookings, *, seed, fault_share=0.03):
        self.bookings = bookings
        self.rng = Random(seed)
        self.tables = FlakyTables(seed, lost_answer_share=0.05, delay_ms=2)
        self.script = RandomFaultScript(Random(seed + 1), fault_share)
        self.outcomes_by_booking = {}
        self.crossed = []
        self.cut_uploads = []
        self.counts = Counter()
        self.incarnations = Counter()
        self.entries = {}
        self.finished = False

    async def run(self):
        """Send all bookings, inject faults meanwhile and return the result."""
        servers = [FaultyBackend(self.script) for _ in range(BACKEND_COUNT)]
        self.addresses = [await server.start() for server in servers]
        self.session = aiohttp.ClientSession()
        for n in range(ENTRY_COUNT):
            await self._start_entry(f"e{n}")
        booking_numbers = iter(range(self.bookings))
        fault_tasks = [
            asyncio.create_task(c)
            for c in (self._kill_entries(), self._interrupt_store())
        ]
        upload_task = asyncio.create_task(self._run_uploads())
        await asyncio.gather(
            *(self._run_worker(booking_numbers) for _ in range(WORKER_COUNT))
        )
        self.finished = True
        await asyncio.gather(*fault_tasks, upload_task)
        for entry in self.entries.values():
            await entry.__aexit__()
        await self.session.close()
        for server in servers:
            await server.stop()
        return self._make_result()

    async def _start_entry(self, name):
        self.incarnations[name] += 1
        cfg = make_configuration(self.addresses, ttl_ms=20, slots=SLOTS_PER_BACKEND)
        entry = RunningEntry(
            cfg,
            name=name,
            incarnation_number=self.incarnations[name],
            tables=self.tables,
        )
        await entry.__aenter__()
        self.entries[name] = entry
        for other in self.entries.values():
            entry.add_peer(other)
            other.add_peer(entry)

    async def _run_worker(self, booking_numbers):
        for number in booking_numbers:
            key = self._make_idempotency_key(number)
            outcomes = []
            for _ in range(MAX_TRIES if key else 1):
                outcomes.append(await self._book(number, key))
                if outcomes[-1] == "answered":
                    break
                await asyncio.sleep(self.rng.uniform(0, 0.02))
            self.outcomes_by_booking[number] = outcomes

    def _make_idempotency_key(self, number):
        entry = self.rng.choice(list(self.entries.values()))
        key_type = number % 3
        if key_type == 0:
            query = LookUpQuery("slotsvc", wants_ticket=True)
            return entry.core.look_up(query, entry.driver.clock_ms()).ticket
        return f"order-{number}" if key_type == 1 else None

    async def _book(self, number, key):
        entry = self.rng.choice(list(self.entries.values()))
        headers = {"Rhubarbwell-Deadline-Ms": str(DEADLINE_MS)}
        if key:
            headers["Idempotency-Key"] = key
        path = f"/book/{number}"
        try:
            async with self.session.post(
                entry.url + path, headers=headers, data=b"x" * 50
            ) as resp:
                text = await resp.text()
                outcome = resp.headers.get("Rhubarbwell-Outcome", "missing")
        except aiohttp.ClientConnectorError:
            return "not_sent"
        except (aiohttp.ClientError, TimeoutError):
            return "broken"
        if outcome == "answered" and resp.status == 200 and text != f"POST {path}":
            self.crossed.append((number, text))
        return outcome

    async def _kill_entries(self):
        names = [f"e{n}" for n in range(ENTRY_COUNT - 1)]
        while not self.finished:
            await asyncio.sleep(self.rng.uniform(0.1, 0.3))
            name = self.rng.choice(names)
            entry = self.entries[name]
            await entry.__aexit__()
            self.counts["kills"] += 1
            await self._start_entry(name)

    async def _interrupt_store(self):
        while not self.finished:
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
            self.tables.down = True
            self.counts["outages"] += 1
            await asyncio.sleep(self.rng.uniform(0.02, 0.15))
            self.tables.down = False

    async def _run_uploads(self):
        """Upload through the one instance that is stopped only gracefully."""
        while not self.finished:
            entry = self.entries[f"e{ENTRY_COUNT - 1}"]
            upload_tasks = [
                asyncio.create_task(self._send_upload(entry)) for _ in range(3)
            ]
            await asyncio.sleep(0.05)
            stop = asyncio.create_task(self._restart_gracefully(entry))
            await asyncio.gather(*upload_tasks)
            await stop

    async def _send_upload(self, entry):
        self.counts["uploads"] += 1
        number = self.counts["uploads"]
        path = f"/notes/film-{number}"
        try:
            async with self.session.put(
                entry.url + path, data=_upload_chunks()
            ) as resp:
                text = await resp.text()
        except aiohttp.ClientError as exc:
            text = repr(exc)
        if text != f"PUT /notes/film-{number}":
            self.cut_uploads.append((number, text))

    async def _restart_gracefully(self, entry):
        await self._start_entry(entry.name)
        shutdown = GracefulShutdown(
            entry.driver,
            entry.handler,
            max_ms=30_000,
            announce=lambda: None,
            stop_listening=entry.site.stop,
            close_idle_connections=entry.runner.close_idle_connections,
            margin_ms=20,
        )
        await shutdown.run()
        self.counts["planned_stops"] += 1
        await entry.__aexit__()

    def _make_result(self):
        runs = Counter(run for run in self.script.runs if run.startswith("POST"))
        outcome_sets = {
            n: set(outcomes) for n, outcomes in self.outcomes_by_booking.items()
        }
        run_counts = {n: runs[f"POST /book/{n}"] for n in outcome_sets}
        not_run_outcomes = {"not_run", "not_sent"}
        return SoakResult(
            bookings=len(outcome_sets),
            told=dict(
                Counter(outcomes[-1] for outcomes in self.outcomes_by_booking.values())
            ),
            kills=self.counts["kills"],
            planned_stops=self.counts["planned_stops"],
            outages=self.counts["outages"],
            uploads=self.counts["uploads"],
            doubles=[n for n in outcome_sets if run_counts[n] > 1],
            false_not_run=[
                n
                for n in outcome_sets
                if outcome_sets[n] <= not_run_outcomes and run_counts[n]
            ],
            false_answered=[
                n
                for n in outcome_sets
                if "answered" in outcome_sets[n] and not run_counts[n]
            ],
            crossed=self.crossed,
            cut_uploads=self.cut_uploads,
            rows_written=self.tables.writes,
        )


async def _upload_chunks():
    for _ in range(UPLOAD_CHUNKS):
        yield b"x" * 4_000
        await asyncio.sleep(0.005)


async def run_soak(bookings, *, seed, fault_share=0.03):
    """Send bookings under faults and return the `SoakResult`."""
    return await BookingSoak(bookings, seed=seed, fault_share=fault_share).run()
