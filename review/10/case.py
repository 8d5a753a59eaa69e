"""Callers send a target whose query is empty; the servers get another target."""

import asyncio
from pathlib import Path

from standins import (
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
DEADLINE_S = 2.0
CALM_S = 3.0
LOAD_S = 5.0


async def check(record: Record, has_trouble: bool) -> bool:
    """Return True if servers run requests with the targets that callers sent."""
    target = "/a/{}?" if has_trouble else "/a/{}"
    async with Deployment(record, ZONES) as deployment:
        store = deployment.store
        await store.put("op", "config", config_body(1, HOST, [Route("/a/", "svc")]))
        backends = [
            Backend(store, record, f"i-{n}", "svc", zone)
            for n, zone in enumerate(list(ZONES) * 2)
        ]
        await deployment.start_backends(backends)
        entries = await deployment.start_entries([store.address] * 2, list(ZONES))
        await asyncio.sleep(CALM_S)
        callers = [Callers(record, entry, HOST) for entry in entries]
        loads = [asyncio.create_task(c.run(10.0, target, DEADLINE_S)) for c in callers]
        await asyncio.sleep(LOAD_S)
        for load in loads:
            load.cancel()
        for caller in callers:
            await caller.finish()
        targets = {s.request_id: s.target for caller in callers for s in caller.sent}
        runs = [run for backend in backends for run in backend.runs]
    changed = [run for run in runs if run.target != targets[run.request_id]]
    record.write(
        f"{len(targets)} sent, {len(runs)} run, {len(changed)} of these with a target "
        "that was not sent"
    )
    return not changed


if __name__ == "__main__":
    run_case(check, FOLDER)
