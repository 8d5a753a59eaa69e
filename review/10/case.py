"""A lost write of an instance is performed seconds after the instance was removed."""

import asyncio
import json
import signal
import time
from pathlib import Path

from standins import (
    Backend,
    CannotRunError,
    Deployment,
    Entry,
    Record,
    Route,
    call,
    config_body,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
ZONES = {"tirol-a": "tirol", "tirol-b": "tirol"}
HOST = "h.example"
CALM_S = 8.0
# The bounds of the platform: a lost write is done 1 to 6 s later.
LATE_S = 6.0
STABILITY_S = 4.0
NAMED_S = STABILITY_S + 3.0
WATCH_S = 14.0
# A zone of the site has 30 callers, and an answer of the directory counts for a second.
ASK_S = 0.1
MAX_NAMED = 3


class LostWrite:
    """Leave the next write of a row without an answer and perform it late."""

    def __init__(self, record: Record, key: str) -> None:
        self.lost_at: float | None = None
        self._record, self._key = record, key

    def delay_s(self, key: str) -> float | None:
        """Return after how long a write is performed, None if at once."""
        if key != self._key or self.lost_at is not None:
            return None
        self.lost_at = time.monotonic()
        self._record.write(f"no answer to a write of {key}, done {LATE_S} s later")
        return LATE_S


async def reader_of(deployment: Deployment) -> Entry:
    """Return the instance that reads the store: its row lists the followers."""
    names = {entry.name: entry for entry in deployment.entries}
    for (_, key), (_, value) in deployment.store.rows.items():
        if (
            key in names
            and value is not None
            and any(isinstance(field, list) and field for field in json.loads(value))
        ):
            return names[key]
    raise CannotRunError("no instance reads the store for others")


async def named_in(entry: Entry) -> list[str]:
    """Return the addresses in an answer of an instance's directory."""
    target = f"/rhubarbwell/resolve?name={HOST}&region=tirol&zone={entry.zone}"
    answer = await call(entry.directory, target)
    addresses: list[str] = json.loads(answer.body)["addresses"]
    return addresses


async def check(record: Record, has_trouble: bool) -> bool:
    """Return True if the directory stops naming an instance that was removed."""
    async with Deployment(record, ZONES) as deployment:
        store = deployment.store
        await store.put("op", "config", config_body(1, HOST, [Route("/a/", "svc")]))
        backends = [
            Backend(store, record, f"i-{n}", "svc", z) for n, z in enumerate(ZONES)
        ]
        await deployment.start_backends(backends)
        zones = ["tirol-a", "tirol-b", "tirol-a", "tirol-b"]
        entries = await deployment.start_entries([store.address] * 4, zones)
        await asyncio.sleep(CALM_S)
        removed = await reader_of(deployment)
        lost = LostWrite(record, removed.name)
        if has_trouble:
            store.late_write_s = lost.delay_s
            while lost.lost_at is None:
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.1)
        removed.signal(signal.SIGKILL)
        killed_at = time.monotonic()
        record.write(f"{removed.name} is removed for good, without SIGTERM")
        since_s = NAMED_S
        if lost.lost_at is not None:
            # Counted as long as possible: the disruption of the store lasts until the
            # write is performed, and machines are in touch again some time later.
            stable_at = lost.lost_at + LATE_S + STABILITY_S
            since_s = max(since_s, stable_at - killed_at)
        named = await watch(
            record,
            [e for e in entries if e is not removed],
            removed,
            killed_at,
            since_s,
        )
    record.write(
        f"{named} answers named {removed.front} over {since_s:.1f} s after its removal"
    )
    return named <= MAX_NAMED


async def watch(
    record: Record,
    others: list[Entry],
    removed: Entry,
    killed_at: float,
    since_s: float,
) -> int:
    """Return how many answers name a removed instance since_s or longer after."""
    named = 0
    while (age_s := time.monotonic() - killed_at) < WATCH_S:
        for other in others:
            addresses = await named_in(other)
            if removed.front in addresses:
                record.write(f"{other.name} names {removed.front} {age_s:.1f} s after")
                named += age_s > since_s and len(addresses) > 1
        await asyncio.sleep(ASK_S)
    return named


if __name__ == "__main__":
    run_case(check, FOLDER)
