"""A planned stop cuts off unsafe requests that the instance has passed on.

Clients hold connections to one machine. It gets SIGTERM; the clients look up the
machines at the other one a moment later, are still given the address, keep the answer
for three times its time to live and send a request on the kept connection before that
ends.
"""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins

CLIENTS = 12
# Times of the look-ups after SIGTERM.
FIRST_LOOK_UP_S = 0.12
LOOK_UP_GAP_S = 0.03
# Requests sent later than this after SIGTERM have no excuse for a slow server.
EXCUSED_S = 3.0
TTL_FACTOR = 3.0
WORK_S = 2.6
DEADLINE_MS = 3_044
ROUTE_TIMEOUT_MS = 3_000
GRACE_S = 6.0
# The rule holds until this time after the grace.
AFTER_GRACE_S = 1.0


async def look_up(machine: standins.Machine) -> tuple[list[str], float]:
    """Return the addresses for a client in tirol-a and their time to live in s."""
    conn = await standins.Client.open(machine.ip, machine.ports["directory"])
    query = f"name={standins.HOST}&region=tirol&zone=tirol-a"
    answer = await conn.send(
        standins.encode_message(
            f"GET /rhubarbwell/resolve?{query} HTTP/1.1", {"Host": machine.ip}
        )
    )
    conn.close()
    if answer is None or answer.start[1] != "200":
        return [], 0.0
    body = json.loads(answer.body)
    ttl = body["ttl"]
    seconds = float(ttl[:-2]) / 1_000 if ttl.endswith("ms") else float(ttl[:-1])
    return body["addresses"], seconds


class BookingClient:
    """Send a request on a kept connection as late as its look-up allows."""

    def __init__(self, number: int, deployment: standins.Deployment) -> None:
        self._number = number
        self._deployment = deployment
        self._record = deployment.record

    async def prepare(self) -> None:
        """Open a connection to the first machine and use it once."""
        machine = self._deployment.machines[0]
        self._address = f"{machine.ip}:{machine.ports['front']}"
        self._conn = await machine.connect()
        await self._conn.send(
            standins.request_bytes(
                "POST", "/pay/short", f"short-{self._number}", DEADLINE_MS, b"booking"
            )
        )

    async def run(self, stopped_s: float) -> bool:
        """Return True if a request was cut off against the rule."""
        number, record = self._number, self._record
        due_s = stopped_s + FIRST_LOOK_UP_S + LOOK_UP_GAP_S * number
        await asyncio.sleep(due_s - time.monotonic())
        looked_up_s = time.monotonic()
        addresses, ttl_s = await look_up(self._deployment.machines[1])
        known = self._address in addresses
        record.add(f"look-up  client {number}: the machine is listed: {known}")
        if not known:
            return False
        end_s = looked_up_s + TTL_FACTOR * ttl_s
        await asyncio.sleep(end_s - 0.02 - time.monotonic())
        request_id = f"booking-{number}"
        sent_s = time.monotonic()
        record.add(
            f"send     {request_id} {sent_s - stopped_s:.3f} s after SIGTERM, "
            f"its look-up ends at {end_s - stopped_s:.3f} s"
        )
        data = standins.request_bytes(
            "POST",
            "/pay/long",
            request_id,
            DEADLINE_MS,
            b"booking",
            object_key=str(number),
        )
        try:
            answer = await self._conn.send(data)
            what = "closed" if answer is None else f"status {answer.start[1]}"
        except (OSError, EOFError) as exc:
            answer, what = None, f"broke off: {exc!r}"
        took_s = time.monotonic() - sent_s
        record.add(f"answer   {request_id} after {took_s:.3f} s: {what}")
        passed_on = any(
            run.request_id == request_id
            for server in self._deployment.servers
            for run in server.runs
        )
        late_s = sent_s - stopped_s
        ended_s = late_s + took_s
        return (
            answer is None
            and passed_on
            and late_s > EXCUSED_S
            and took_s < min(DEADLINE_MS, ROUTE_TIMEOUT_MS) / 1_000
            and ended_s < GRACE_S + AFTER_GRACE_S
        )


async def case(deployment: standins.Deployment, trouble: bool) -> int:
    """Return whether a request was cut off around a planned stop."""
    timeout = f"{ROUTE_TIMEOUT_MS}ms"
    await deployment.start_store(standins.config(timeout=timeout))
    for number, zone in enumerate(["tirol-a", "tirol-a", "salz-a", "adria-a"] * 2):
        await deployment.add_server(
            f"i-{number}",
            zone=zone,
            work_s=lambda req: WORK_S if req.start[1] == "/pay/long" else 0.05,
        )
    await deployment.start_machines(["tirol-a", "tirol-a"])
    clients = [BookingClient(number, deployment) for number in range(CLIENTS)]
    for client in clients:
        await client.prepare()
    if trouble:
        deployment.machines[0].signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    deployment.record.add("SIGTERM" if trouble else "no SIGTERM")
    cut = await asyncio.gather(*(client.run(stopped_s) for client in clients))
    deployment.record.add(f"cut off  {sum(cut)} requests that an endpoint worked on")
    return standins.BROKEN if any(cut) else standins.HELD


standins.main(__file__, case)
