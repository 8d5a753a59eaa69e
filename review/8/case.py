"""A lost heartbeat of a server is performed seconds after the server has left."""

import asyncio
import time
from pathlib import Path

from standins import (
    HEARTBEAT_S,
    Backend,
    Callers,
    Deployment,
    Record,
    Route,
    config_body,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
ZONES = {"tirol-a": "tirol", "tirol-b": "tirol"}
HOST = "h.example"
DEADLINE_S = 2.5
CALM_S = 8.0
DRAIN_S = 2.5
STABILITY_S = 4.0
# The bounds of the platform: a lost write is done 1 to 6 s later.
LATE_S = 6.0
# From the lost heartbeat to the removal of the entry: the store is stable again.
LEAVES_AFTER_S = 4.1
# A server goes on for drain after the store has accepted its leaving, and longer.
GOES_ON_S = 9.0
EXPIRY_S = 3 * HEARTBEAT_S


async def lose_and_leave(
    record: Record, server: Backend, *, has_trouble: bool
) -> tuple[float, float]:
    """Lose one heartbeat, leave, and return when the store has accepted both."""
    late = None
    if has_trouble:
        late = asyncio.create_task(server.register_late(LATE_S))
        record.write(
            f"no answer to a heartbeat of {server.name}, done {LATE_S} s later"
        )
    await asyncio.sleep(LEAVES_AFTER_S)
    left_at = await server.leave()
    record.write(f"entry of {server.name} removed, which serves on for {GOES_ON_S} s")
    performed_at = left_at
    if late is not None:
        performed_at = await late
        record.write(f"late heartbeat of {server.name} performed")
        await asyncio.sleep(EXPIRY_S)
        await server.leave()
        record.write(f"entry of {server.name} expired after silence")
    return left_at, performed_at


async def check(record: Record, has_trouble: bool) -> bool:
    """Return True if a server that has left gets no new work."""
    async with Deployment(record, ZONES) as deployment:
        store = deployment.store
        route = Route("/pay/", "paysvc", kind="unsafe", timeout_ms=1_000, aim_ms=400)
        await store.put("op", "config", config_body(1, HOST, [route]))
        backends = [
            Backend(store, record, f"i-{n}", "paysvc", zone)
            for n, zone in enumerate(list(ZONES) * 2)
        ]
        await deployment.start_backends(backends)
        entries = await deployment.start_entries([store.address] * 2, list(ZONES))
        await asyncio.sleep(CALM_S)
        callers = [Callers(record, entry, HOST) for entry in entries]
        loads = [
            asyncio.create_task(
                c.run(30.0, "/pay/{}", DEADLINE_S, method="POST", body=b"booking")
            )
            for c in callers
        ]
        await asyncio.sleep(HEARTBEAT_S)
        server = backends[0]
        started = time.monotonic()
        left_at, performed_at = await lose_and_leave(
            record, server, has_trouble=has_trouble
        )
        ends_at = started + LEAVES_AFTER_S + GOES_ON_S
        await asyncio.sleep(max(ends_at - time.monotonic(), 0.0))
        for load in loads:
            load.cancel()
        for caller in callers:
            await caller.finish()
        late = [run.at - left_at for run in server.runs if run.at > left_at + DRAIN_S]
        # Counted as long as possible: the disruption of the store lasts until the late
        # write is performed, and machines are in touch again some time later.
        strict_s = max(DRAIN_S, performed_at + STABILITY_S - left_at)
        strict = [age_s for age_s in late if age_s > strict_s]
    first = f", the first {min(late):.1f} s after it" if late else ""
    record.write(
        f"{len(late)} requests reached {server.name} more than {DRAIN_S} s after the "
        f"store had accepted its leaving{first}; {len(strict)} of them when the store "
        f"had been stable for {STABILITY_S} s since the late write"
    )
    return not strict


if __name__ == "__main__":
    run_case(check, FOLDER)
