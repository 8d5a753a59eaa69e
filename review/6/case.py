"""A backend server spoils one answer in fifty with line ends that do not stop."""

import asyncio
import contextlib
from pathlib import Path

from standins import (
    Backend,
    Callers,
    Deployment,
    Entry,
    Message,
    Record,
    Route,
    Sent,
    config_body,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
ZONES = {"tirol-a": "tirol", "tirol-b": "tirol"}
HOST = "h.example"
TIMEOUT_S = 0.8
LATE_S = 0.5
DEADLINE_S = 2.0
CALM_S = 5.0
LOAD_S = 20.0
AFTER_S = 25.0
# One answer in this number is spoiled, at one server of eight.
SPOILED_EVERY = 50
MIN_LATE = 8
MAX_LATE_SHARE = 0.5
PROBE_S = 1.0


class SpoiledAnswers:
    """Answer some requests with a body of line ends, until the caller closes."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._answers = 0

    async def spoil(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Return True for an answer that was spoiled."""
        self._answers += 1
        if self._answers % SPOILED_EVERY:
            return False
        request_id = message.headers["x-rhubarbwell-request-id"]
        self._record.write(f"spoils the answer to {request_id}")
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {request_id}\r\n"
            f"X-Rhubarbwell-Server-Stamp: s-{request_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        block = b"\r\n" * (32 << 10)
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(b"%x\r\n%b\r\n" % (len(block), block))
                await writer.drain()
        self._record.write(f"connection of {request_id} closed")
        return True


async def probe_readiness(record: Record, entry: Entry) -> None:
    """Record how long the readiness of an instance gets no answer."""
    since = None
    while True:
        if await entry.is_ready():
            if since is not None:
                silent_s = record.now() - since
                record.write(f"{entry.name} is ready again after {silent_s:.1f} s")
            since = None
        elif since is None:
            since = record.now()
            record.write(f"{entry.name} does not answer the readiness call")
        await asyncio.sleep(PROBE_S)


async def check(record: Record, has_trouble: bool) -> bool:
    """Return True if requests have an answer soon after their route's timeout."""
    async with Deployment(record, ZONES) as deployment:
        store = deployment.store
        route = Route("/a/", "svc", timeout_ms=round(TIMEOUT_S * 1_000))
        await store.put("op", "config", config_body(1, HOST, [route]))
        zones = list(ZONES) * 4
        backends = [
            Backend(store, record, f"i-{n}", "svc", zone)
            for n, zone in enumerate(zones)
        ]
        await deployment.start_backends(backends)
        entries = await deployment.start_entries([store.address] * 2, list(ZONES))
        callers = [Callers(record, entry, HOST) for entry in entries]
        await asyncio.sleep(CALM_S)
        if has_trouble:
            backends[0].spoil = SpoiledAnswers(record).spoil
        loads = [asyncio.create_task(c.run(25.0, "/a/{}", DEADLINE_S)) for c in callers]
        probes = [asyncio.create_task(probe_readiness(record, e)) for e in entries]
        await asyncio.sleep(LOAD_S)
        for load in loads:
            load.cancel()
        for caller in callers:
            await caller.finish()
        await asyncio.sleep(AFTER_S)
        for probe in probes:
            probe.cancel()
        sent = [s for caller in callers for s in caller.sent]
    open_at_timeout = [s for s in sent if _is_open_after(s, TIMEOUT_S)]
    late = [s for s in open_at_timeout if _is_open_after(s, TIMEOUT_S + LATE_S)]
    answered = sum(s.status == 200 for s in sent)
    record.write(
        f"{len(sent)} sent, {answered} answered 200, {len(open_at_timeout)} open at "
        f"the route's timeout, {len(late)} of them still open {LATE_S} s later"
    )
    is_broken = len(late) >= MIN_LATE and len(late) > MAX_LATE_SHARE * len(
        open_at_timeout
    )
    return not is_broken


def _is_open_after(sent: Sent, seconds: float) -> bool:
    is_answered = sent.status != 0
    return not is_answered or sent.ended_at - sent.sent_at > seconds


if __name__ == "__main__":
    run_case(check, FOLDER)
