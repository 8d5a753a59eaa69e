"""Run entry and operator processes: publish, look up, request, drain, stop."""

import asyncio
import json
import signal
import sys
from contextlib import asynccontextmanager
from typing import NamedTuple

import aiohttp
from aiohttp import web
from rhubarbwell_core.model import Address
from rhubarbwell_entry.lookups import LOOK_UP_PATH
from rhubarbwell_platform.http.server import platform_app
from rhubarbwell_platform.memory import memory_platform
from rhubarbwell_platform.services import InstanceListing, ListedInstance
from rhubarbwell_platform.standins import FakeBackend

PEER_KEY = "0123456789abcdef0123456789abcdef"
DEPLOYMENT = {
    "deployment": "two",
    "regions": [
        {"name": "lake", "zones": [{"name": "lake-a", "entry_instances": 2}]},
    ],
    "look_up_ttl_ms": 1_000,
}


class Entry(NamedTuple):
    """Hold a running entry process and the addresses it is bound to."""

    process: asyncio.subprocess.Process
    callers: str
    operators: str
    peers: str


async def start_entry(tmp_path, number, platform_url, seeds):
    any_port = {"host": "127.0.0.1", "port": 0}
    settings = {
        "instance_id": f"lake-a-{number}",
        "zone": "lake-a",
        "region": "lake",
        "callers": any_port,
        "operators": any_port,
        "peers": any_port,
        "platform": platform_url,
        "seeds": seeds,
        "peer_keys": [PEER_KEY],
    }
    path = tmp_path / f"entry-{number}.jsonc"
    path.write_text("// Settings of a test.\n" + json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rhubarbwell_entry", "--settings", str(path)),
        stdout=asyncio.subprocess.PIPE,
    )
    async for line in process.stdout:
        fields = json.loads(line)["@fields"]
        if fields.get("event") == "instance_started":
            return Entry(
                process, fields["callers"], fields["operators"], fields["peers"]
            )
    raise AssertionError("the entry process exited before it logged instance_started")


@asynccontextmanager
async def started_entries(tmp_path, platform_url):
    started = []

    async def start(number, seeds):
        entry = await start_entry(tmp_path, number, platform_url, seeds)
        started.append(entry.process)
        return entry

    try:
        yield start
    finally:
        for process in started:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def run_ops(*arguments):
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rhubarbwell_ops", *arguments, "--json"),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return process.returncode, json.loads(output)


@asynccontextmanager
async def serving_platform(platform):
    runner = web.AppRunner(platform_app(platform), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    yield f"http://{host}:{port}"
    await runner.cleanup()


def write_configuration_files(tmp_path, backends):
    endpoints = [
        {"id": name, "host": address.host, "port": address.port}
        for name, address in backends.items()
    ]
    kind = {
        "name": "page",
        "method": "GET",
        "path_prefix": "/",
        "rank": "urgent",
        "idempotent": True,
    }
    service = {
        "service": "slotsvc",
        "description": "Availability pages.",
        "kinds": [kind],
        "endpoints": {"lake-a": endpoints},
    }
    for name, fields in (("deployment", DEPLOYMENT), ("slotsvc", service)):
        (tmp_path / f"{name}.jsonc").write_text(json.dumps(fields))
    return [str(tmp_path / "deployment.jsonc"), str(tmp_path / "slotsvc.jsonc")]


def listed_instance(entry, number):
    peers, operators = (
        Address(host, int(port))
        for host, port in (
            entry.peers.rsplit(":", 1),
            entry.operators.rsplit(":", 1),
        )
    )
    return ListedInstance(f"lake-a-{number}", "lake-a", peers, operators)


async def wait_for_look_up(session, entry, count):
    while True:
        url = f"http://{entry.callers}{LOOK_UP_PATH}"
        async with session.get(url, params={"service": "slotsvc"}) as answer:
            found = (await answer.json())["instances"] if answer.status == 200 else []
        if len(found) == count:
            return found
        await asyncio.sleep(0.05)


async def answering_backend(session, instance):
    url = f"http://{instance['host']}:{instance['port']}/slotsvc/slots/7"
    async with session.get(url) as answer:
        assert answer.headers["Rhubarbwell-Outcome"] == "answered"
        return (await answer.json())["backend"]


async def test_publish_look_up_request_drain_and_stop(tmp_path):
    platform = memory_platform()
    servers = {name: FakeBackend(name) for name in ("one", "two")}
    backends = {name: await server.start() for name, server in servers.items()}
    files = write_configuration_files(tmp_path, backends)
    async with (
        serving_platform(platform) as url,
        aiohttp.ClientSession() as session,
        started_entries(tmp_path, url) as start,
    ):
        first = await start(0, [])
        host, port = first.peers.rsplit(":", 1)
        seeds = [{"host": host, "port": int(port)}]
        second = await start(1, seeds)
        entries = [first, second]
        rows = tuple(
            listed_instance(entry, number) for number, entry in enumerate(entries)
        )
        platform.instances.listing = InstanceListing(0, rows)

        code, published = await run_ops(
            "publish", *files, "--platform", url, "--wait", "20"
        )
        assert (code, published["outcome"]) == (0, "done")
        instances = await wait_for_look_up(session, first, 2)
        answered = {
            await answering_backend(session, instance)
            for instance in instances
            for _ in range(20)
        }
        drained_backend = min(answered)
        remaining_backend = ({"one", "two"} - {drained_backend}).pop()

        code, drain_report = await run_ops(
            "drain", drained_backend, "--platform", url, "--wait", "20"
        )
        assert (code, drain_report["outcome"]) == (0, "done")
        answered = {
            await answering_backend(session, instance)
            for instance in instances
            for _ in range(20)
        }
        assert answered == {remaining_backend}

        code, report = await run_ops("report", "--platform", url)
        assert code == 0 and report["draining"] == [drained_backend]
        (row,) = report["rows"]
        assert row["windows"][0]["requests"] == 80

        second.process.send_signal(signal.SIGTERM)
        await wait_for_look_up(session, first, 1)
        assert await second.process.wait() == 0
        first.process.send_signal(signal.SIGTERM)
        assert await first.process.wait() == 0
    for server in servers.values():
        await server.stop()
