"""Callers that keep connections open and record the answers they receive."""

import asyncio
import gzip
import time
from itertools import count
from random import Random
from typing import NamedTuple

import aiohttp
from soak.servers import LONG_PATH, REQUEST_ID_HEADER, STAMP_HEADER

DEADLINE_MS = 1_500
LONG_DEADLINE_MS = 3_000
LONG_SHARE = 0.08
TIMEOUT_S = 4.0
PAUSE_RANGE_S = (0.005, 0.05)
BODY_BYTES_RANGE = (1, 150_000)
CODED_SHARE = 0.1


class CallerRecord(NamedTuple):
    """Record how a request ended for its caller.

    The status is 0 if no complete answer arrived in time; `error` then names the
    exception. Otherwise it is "crossed" for another request's answer, "altered" for
    one with other content, "failed" for a 500 that no server gave and empty for all
    other answers.
    Times are seconds of the monotonic clock.
    """

    request_id: str
    kind: str
    path: str
    instance: str
    incarnation: int
    status: int
    sent_at: float
    ended_at: float
    error: str = ""


class Callers:
    """Send requests of all kinds from concurrent workers until stopped."""

    def __init__(
        self, fleet, rng: Random, workers: int = 10, *, sends_long: bool = False
    ) -> None:
        self._sends_long = sends_long
        self.records: list[CallerRecord] = []
        self._fleet = fleet
        self._rng = rng
        self._worker_count = workers
        self._ids = count()
        self._stopped = False

    async def run(self) -> None:
        """Send requests until `stop` and return once the last one has ended."""
        await asyncio.gather(*(self._run_worker() for _ in range(self._worker_count)))

    def stop(self) -> None:
        """Start no more requests."""
        self._stopped = True

    async def _run_worker(self) -> None:
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit_per_host=1),
        ) as session:
            while not self._stopped:
                self.records.append(await self._send_request(session))
                await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    async def _send_request(self, session: aiohttp.ClientSession) -> CallerRecord:
        instance = self._rng.choice(self._fleet.instances)
        kind, path = self._rng.choice(self._fleet.request_paths)
        deadline_ms = DEADLINE_MS
        if self._sends_long and self._rng.random() < LONG_SHARE:
            kind, path, deadline_ms = "unsafe", LONG_PATH, LONG_DEADLINE_MS
        request_id = f"r-{next(self._ids)}"
        incarnation, sent_at = instance.incarnation, time.monotonic()
        data, coding = None, {}
        if kind != "safe":
            data = bytes(self._rng.randrange(*BODY_BYTES_RANGE))
            if self._rng.random() < CODED_SHARE:
                data, coding = gzip.compress(data), {"Content-Encoding": "gzip"}
        status, error = 0, ""
        try:
            async with session.request(
                "GET" if data is None else "POST",
                f"http://{instance.callers.host}:{instance.callers.port}{path}",
                data=data,
                headers={
                    "Host": "h.example",
                    REQUEST_ID_HEADER: request_id,
                    "X-Rhubarbwell-Request-Deadline": str(deadline_ms),
                    "Cookie": f"X-Rhubarbwell-Affinity-Key={self._rng.randrange(12)}",
                    **coding,
                },
            ) as resp:
                text = await resp.text()
                status = resp.status
                error = _answer_error(resp, text, request_id, path, len(data or b""))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            status, error = 0, type(exc).__name__
        return CallerRecord(
            *(request_id, kind, path, instance.name, incarnation, status),
            *(sent_at, time.monotonic(), error),
        )


def _answer_error(
    resp: aiohttp.ClientResponse, text: str, request_id: str, path: str, size: int
) -> str:
    """Return what is wrong with an answer, else an empty text."""
    stamp = resp.headers.get(STAMP_HEADER)
    if resp.status == 500 and stamp is None:
        return "failed"
    if resp.headers.get(REQUEST_ID_HEADER, request_id) != request_id:
        return "crossed"
    if stamp is not None and stamp != f"s-{request_id}":
        return "crossed"
    if resp.status == 200 and (stamp is None or text != f"{request_id} {path} {size}"):
        return "altered"
    return ""
