"""An entry that cannot be read stops all machines from learning which servers left.

Beside the servers' entries lies one of another writer with unreadable bytes. A server
leaves: its entry is removed, it goes on serving for some seconds and then ends.
"""

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins

# Opening brackets only: no JSON value.
UNREADABLE = b"[" * 2_000
DRAIN_S = 2.5
SERVES_ON_S = 8.0
PRESS_S = 10.0
WORK_S = 0.3
REQUEST_GAP_S = 0.1
DEADLINE_MS = 2_500


async def press(
    deployment: standins.Deployment, number: int, sent: dict[str, float], end_s: float
) -> None:
    """Send unsafe requests to one machine until end_s and note when."""
    for count in itertools.count():
        if time.monotonic() > end_s:
            return
        request_id = f"booking-{number}-{count}"
        conn = await deployment.machines[number].connect()
        sent[request_id] = time.monotonic()
        deployment.record.add(f"send     {request_id}")
        answer = await conn.send(
            standins.request_bytes(
                "POST",
                "/pay/a",
                request_id,
                DEADLINE_MS,
                b"booking",
                object_key=str(count),
            )
        )
        conn.close()
        status = "closed" if answer is None else answer.start[1]
        deployment.record.add(f"answer   {request_id} {status}")
        await asyncio.sleep(REQUEST_GAP_S)


async def case(deployment: standins.Deployment, trouble: bool) -> int:
    """Return whether a server that left still got requests."""
    record = deployment.record
    await deployment.start_store(standins.config())
    for number, zone in enumerate(["tirol-a", "salz-a", "adria-a"]):
        await deployment.add_server(f"i-{number}", zone=zone, work_s=lambda _: WORK_S)
    if trouble:
        await deployment.store.put("servers", "i-other", UNREADABLE)
        record.add("another writer has put an unreadable entry")
    await deployment.start_machines(["tirol-a", "salz-a", "adria-a"])
    left = deployment.servers[0]
    await left.leave()
    left_s = time.monotonic()
    record.add(f"the store has removed the entry of {left.server_id}")
    sent: dict[str, float] = {}
    clients = [
        asyncio.create_task(press(deployment, number, sent, left_s + PRESS_S))
        for number in range(len(deployment.machines))
    ]
    await asyncio.sleep(left_s + SERVES_ON_S - time.monotonic())
    await left.stop()
    record.add(f"{left.server_id} has ended")
    await asyncio.gather(*clients)
    late = [
        run
        for run in left.runs
        if run.request_id in sent
        and sent[run.request_id] > left_s + DRAIN_S
        and run.at_s > left_s + DRAIN_S
    ]
    for run in late:
        record.add(
            f"late     {run.request_id} sent {sent[run.request_id] - left_s:.3f} s "
            f"after the removal, reached {run.server_id} at {run.at_s - left_s:.3f} s"
        )
    record.add(f"{len(late)} of {len(sent)} requests reached the server that had left")
    return standins.BROKEN if late else standins.HELD


standins.main(__file__, case)
