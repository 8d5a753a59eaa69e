"""Tests of signals to a stand-alone entry instance that runs as a process."""

import asyncio
import json
import os
import signal
import sys
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web
from rhubarbwell_platform.documents import document_name, encode_document
from rhubarbwell_platform.http.server import platform_app
from rhubarbwell_platform.memory import memory_platform
from rhubarbwell_platform.publishing import Change, publish, read_state
from rhubarbwell_platform.standins import FakeBackend
from support.entries import make_configuration

WAIT_S = 30.0
PEER_KEY = "0123456789abcdef0123456789abcdef"
SERIES = (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
WORK_MS = 800
CODE = [
    str(path)
    for path in (Path(__file__).parents[2] / "packages").glob("rhubarbwell-*/src")
]


@asynccontextmanager
async def served_platform(cfg):
    """Yield the URL of a platform with a configuration."""
    platform = memory_platform()
    specs = [cfg.deployment, *cfg.services.values()]
    documents = {document_name(spec): encode_document(spec) for spec in specs}
    base = await read_state(platform)
    await publish(platform, Change("p", "test", 0, documents), base=base)
    runner = web.AppRunner(platform_app(platform), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    yield f"http://{host}:{port}"
    await runner.cleanup()


async def start_process(folder, platform_url, stop_max_s):
    any_port = {"host": "127.0.0.1", "port": 0}
    settings = {
        "instance_id": "r-a-0",
        "zone": "r-a",
        "region": "r",
        "callers": any_port,
        "operators": any_port,
        "peers": any_port,
        "platform": platform_url,
        "seeds": [],
        "peer_keys": [PEER_KEY],
        "stop_max_s": stop_max_s,
    }
    path = folder / "entry.jsonc"
    path.write_text(json.dumps(settings))
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rhubarbwell_entry", "--settings", str(path)),
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 20,
        env={**os.environ, "PYTHONPATH": ":".join(CODE)},
    )


@asynccontextmanager
async def running_process(folder, stop_max_s=30):
    """Run an instance as a process; yield it, its URL, a backend server and a session.

    The process has no URL, and may not be ready, until wait_until_ready returns it.
    """
    backend = FakeBackend("b0", slots=20)
    backend.service_ms = WORK_MS
    address = await backend.start()
    cfg = make_configuration([address], ttl_ms=1_000, slots=20)
    async with served_platform(cfg) as url, aiohttp.ClientSession() as session:
        process = await start_process(folder, url, stop_max_s)
        try:
            yield process, backend, session
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await backend.stop()


async def wait_until_ready(process, session):
    """Return the URL for callers once the instance has its configuration."""
    async with asyncio.timeout(WAIT_S):
        async for line in process.stdout:
            fields = json.loads(line)["@fields"]
            if fields.get("event") == "instance_started":
                break
        while True:
            async with session.get(f"http://{fields['operators']}/ready") as resp:
                if resp.status == 200:
                    return f"http://{fields['callers']}/slotsvc"
            await asyncio.sleep(0.05)


async def send_booking(session, url):
    async with session.post(url + "/book/1") as resp:
        await resp.read()
        return resp.status, resp.headers.get("Rhubarbwell-Outcome")


async def open_booking(process, backend, session):
    """Return the task of a request that a backend server works on."""
    url = await wait_until_ready(process, session)
    answer = asyncio.create_task(send_booking(session, url))
    async with asyncio.timeout(WAIT_S):
        while not backend.started:
            await asyncio.sleep(0.01)
    return answer


def send_signal(process, number):
    # Process.send_signal would reap a process that has ended and lose its code.
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)


# A second SIGTERM told callers "unknown", a SIGHUP ended the process at once.
@pytest.mark.parametrize("gap_s", [0.0, 0.002, 0.3])
async def test_repeated_signals_do_not_cut_off_requests(gap_s, tmp_path):
    async with running_process(tmp_path) as (process, backend, session):
        answer = await open_booking(process, backend, session)
        for number in SERIES:
            send_signal(process, number)
            await asyncio.sleep(gap_s)
        async with asyncio.timeout(WAIT_S):
            assert await answer == (200, "answered")
            assert await process.wait() == 0


async def test_signals_until_the_exit_change_nothing(tmp_path):
    async with running_process(tmp_path) as (process, backend, session):
        answer = await open_booking(process, backend, session)
        async with asyncio.timeout(WAIT_S):
            while process.returncode is None:
                for number in SERIES:
                    send_signal(process, number)
                    await asyncio.sleep(0.003)
            assert await answer == (200, "answered")
        assert process.returncode == 0


async def test_hangup_changes_nothing(tmp_path):
    async with running_process(tmp_path) as (process, backend, session):
        answer = await open_booking(process, backend, session)
        send_signal(process, signal.SIGHUP)
        async with asyncio.timeout(WAIT_S):
            assert await answer == (200, "answered")
            send_signal(process, signal.SIGTERM)
            assert await process.wait() == 0


def is_caught(process, number):
    """Return True if the process catches or ignores a signal."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        name, _, mask = line.partition(":\t")
        if name in ("SigCgt", "SigIgn") and int(mask, 16) >> (number - 1) & 1:
            return True
    return False


# Before the interpreter runs the program's first line, any signal ends the process.
async def test_signals_before_the_event_loop_runs_stop_the_instance(tmp_path):
    async with running_process(tmp_path) as (process, _, _):
        async with asyncio.timeout(WAIT_S):
            while not is_caught(process, signal.SIGTERM):
                await asyncio.sleep(0.001)
        for number in SERIES:
            send_signal(process, number)
        async with asyncio.timeout(WAIT_S):
            assert await process.wait() == 0


async def test_second_interrupt_ends_requests_as_unknown(tmp_path):
    async with running_process(tmp_path) as (process, backend, session):
        answer = await open_booking(process, backend, session)
        send_signal(process, signal.SIGINT)
        await asyncio.sleep(0.1)
        assert not answer.done()
        send_signal(process, signal.SIGINT)
        async with asyncio.timeout(WAIT_S):
            assert await answer == (502, "unknown")
            assert await process.wait() == 0


# The process ended with 70 at this time, and callers got no answer.
async def test_longest_stop_ends_requests_as_unknown(tmp_path):
    async with running_process(tmp_path, stop_max_s=1) as (process, backend, session):
        backend.service_ms = 20_000
        answer = await open_booking(process, backend, session)
        send_signal(process, signal.SIGTERM)
        async with asyncio.timeout(WAIT_S):
            assert await answer == (502, "unknown")
            assert await process.wait() == 0
