"""Bookings through kills, planned stops and store outages, judged by a ledger."""

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

FAULTS = (
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
BACKENDS = 4
ENTRIES = 3
WORKERS = 24
SLOTS = 50
MAX_TRIES = 6
DEADLINE_MS = 1_000
UPLOAD_PARTS = 30


class RandomScript(FaultScript):
    """Let a share of the requests meet faults."""

    def __init__(self, rng, share):
        super().__init__(Fault.SILENT, after=1 << 60)
        self._rng = rng
        self._share = share

    def next_fault(self, req=None):
        if req is None or req.method != "POST" or self._rng.random() >= self._share:
            return None
        return self._rng.choice(FAULTS)


class SoakResult(NamedTuple):
    """Count what callers were told and what the ledger of runs holds against it."""

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


class Soak:
    """Send bookings with tickets, callers' keys and no keys; count the outcomes."""

    def __init__(self, bookings, *, seed, fault_share=0.03):
        self.bookings = bookings
        self.rng = Random(seed)
        self.tables = FlakyTables(seed, lost=0.05, delay_ms=2)
        self.script = RandomScript(Random(seed + 1), fault_share)
        self.told = {}
        self.crossed = []
        self.cut_uploads = []
        self.counts = Counter()
        self.lives = Counter()
        self.live = {}
        self.done = False

    async def run(self):
        servers = [FaultyBackend(self.script) for _ in range(BACKENDS)]
        self.addresses = [await server.start() for server in servers]
        self.session = aiohttp.ClientSession()
        for n in range(ENTRIES):
            await self._start_entry(f"e{n}")
        numbers = iter(range(self.bookings))
        chaos = [asyncio.create_task(c) for c in (self._kill(), self._cut_store())]
        uploads = asyncio.create_task(self._upload())
        await asyncio.gather(*(self._work(numbers) for _ in range(WORKERS)))
        self.done = True
        await asyncio.gather(*chaos, uploads)
        for entry in self.live.values():
            await entry.__aexit__()
        await self.session.close()
        for server in servers:
            await server.stop()
        return self._judge()

    async def _start_entry(self, name):
        self.lives[name] += 1
        cfg = make_configuration(self.addresses, ttl_ms=20, slots=SLOTS)
        entry = RunningEntry(cfg, name=name, life=self.lives[name], tables=self.tables)
        await entry.__aenter__()
        self.live[name] = entry
        for other in self.live.values():
            entry.meet(other)
            other.meet(entry)

    async def _work(self, numbers):
        for number in numbers:
            key = self._make_key(number)
            words = []
            for _ in range(MAX_TRIES if key else 1):
                words.append(await self._book(number, key))
                if words[-1] == "answered":
                    break
                await asyncio.sleep(self.rng.uniform(0, 0.02))
            self.told[number] = words

    def _make_key(self, number):
        entry = self.rng.choice(list(self.live.values()))
        way = number % 3
        if way == 0:
            query = LookUpQuery("slotsvc", wants_ticket=True)
            return entry.core.look_up(query, entry.driver.clock_ms()).ticket
        return f"order-{number}" if way == 1 else None

    async def _book(self, number, key):
        entry = self.rng.choice(list(self.live.values()))
        headers = {"Rhubarbwell-Deadline-Ms": str(DEADLINE_MS)}
        if key:
            headers["Idempotency-Key"] = key
        path = f"/book/{number}"
        try:
            async with self.session.post(
                entry.url + path, headers=headers, data=b"x" * 50
            ) as resp:
                text = await resp.text()
                word = resp.headers.get("Rhubarbwell-Outcome", "missing")
        except aiohttp.ClientConnectorError:
            return "not_sent"
        except (aiohttp.ClientError, TimeoutError):
            return "broken"
        if word == "answered" and resp.status == 200 and text != f"POST {path}":
            self.crossed.append((number, text))
        return word

    async def _kill(self):
        names = [f"e{n}" for n in range(ENTRIES - 1)]
        while not self.done:
            await asyncio.sleep(self.rng.uniform(0.1, 0.3))
            name = self.rng.choice(names)
            entry = self.live[name]
            await entry.__aexit__()
            self.counts["kills"] += 1
            await self._start_entry(name)

    async def _cut_store(self):
        while not self.done:
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
            self.tables.down = True
            self.counts["outages"] += 1
            await asyncio.sleep(self.rng.uniform(0.02, 0.15))
            self.tables.down = False

    async def _upload(self):
        """Upload through the instance that is only ever stopped as planned."""
        while not self.done:
            entry = self.live[f"e{ENTRIES - 1}"]
            sends = [asyncio.create_task(self._send_film(entry)) for _ in range(3)]
            await asyncio.sleep(0.05)
            stop = asyncio.create_task(self._stop_as_planned(entry))
            await asyncio.gather(*sends)
            await stop

    async def _send_film(self, entry):
        self.counts["uploads"] += 1
        number = self.counts["uploads"]
        path = f"/notes/film-{number}"
        try:
            async with self.session.put(entry.url + path, data=_drip()) as resp:
                text = await resp.text()
        except aiohttp.ClientError as exc:
            text = repr(exc)
        if text != f"PUT /notes/film-{number}":
            self.cut_uploads.append((number, text))

    async def _stop_as_planned(self, entry):
        await self._start_entry(entry.name)
        shutdown = GracefulShutdown(
            entry.driver,
            entry.handler,
            max_ms=30_000,
            announce=lambda: None,
            stop_listening=entry.site.stop,
            margin_ms=20,
        )
        await shutdown.run()
        self.counts["planned_stops"] += 1
        await entry.__aexit__()

    def _judge(self):
        runs = Counter(run for run in self.script.runs if run.startswith("POST"))
        words = {n: set(told) for n, told in self.told.items()}
        ran = {n: runs[f"POST /book/{n}"] for n in words}
        harmless = {"not_run", "not_sent"}
        return SoakResult(
            bookings=len(words),
            told=dict(Counter(told[-1] for told in self.told.values())),
            kills=self.counts["kills"],
            planned_stops=self.counts["planned_stops"],
            outages=self.counts["outages"],
            uploads=self.counts["uploads"],
            doubles=[n for n in words if ran[n] > 1],
            false_not_run=[n for n in words if words[n] <= harmless and ran[n]],
            false_answered=[n for n in words if "answered" in words[n] and not ran[n]],
            crossed=self.crossed,
            cut_uploads=self.cut_uploads,
            rows_written=self.tables.writes,
        )


async def _drip():
    for _ in range(UPLOAD_PARTS):
        yield b"x" * 4_000
        await asyncio.sleep(0.005)


async def run_soak(bookings, *, seed, fault_share=0.03):
    """Send so many bookings and return the judgement."""
    return await Soak(bookings, seed=seed, fault_share=fault_share).run()
