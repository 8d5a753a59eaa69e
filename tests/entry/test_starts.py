"""Test of starts of the stand-alone program that find their machine not ready yet."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys

import pytest
import trustme
from support.loopback import LOOPBACK

WAIT_S = 20.0
# Longer than a start, so that what is missing is still missing when it is needed.
MISSING_S = 2.0
ADDRESSES = ("callers", "operators", "peers")


def free_ports(number):
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(number)]
        for sock in socks:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in socks]


def make_settings(tmp_path):
    ports = free_ports(len(ADDRESSES))
    settings = {
        name: {"host": LOOPBACK, "port": port}
        for name, port in zip(ADDRESSES, ports, strict=True)
    }
    certificate = trustme.CA().issue_cert(LOOPBACK)
    paths = {name: tmp_path / f"{name}.pem" for name in ("certificate", "private_key")}
    certificate.cert_chain_pems[0].write_to_path(paths["certificate"])
    certificate.private_key_pem.write_to_path(paths["private_key"])
    return settings | {
        "instance_id": "lake-a-0",
        "zone": "lake-a",
        "region": "lake",
        "platform": "http://127.0.0.1:1",
        "peer_keys": ["0123456789abcdef0123456789abcdef"],
        "tls": {name: str(path) for name, path in paths.items()},
    }


@contextlib.asynccontextmanager
async def started_process(tmp_path):
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rhubarbwell_entry"),
        *("--settings", str(tmp_path / "settings.jsonc")),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


async def wait_until_started(process):
    await wait_until_logged(process, b'"instance_started"')


async def wait_until_logged(process, event):
    async with asyncio.timeout(WAIT_S):
        async for line in process.stdout:
            if event in line:
                return
    pytest.fail(f"the process ended with {await process.wait()}")


# An address that was taken for a moment ended each start at once, with exit code 3.
@pytest.mark.parametrize("name", ADDRESSES)
async def test_start_waits_for_an_address_that_is_taken(name, tmp_path):
    settings = make_settings(tmp_path)
    (tmp_path / "settings.jsonc").write_text(json.dumps(settings))
    with socket.create_server((LOOPBACK, settings[name]["port"])):
        async with started_process(tmp_path) as process:
            await asyncio.sleep(MISSING_S)
            assert process.returncode is None
            for other in set(ADDRESSES) - {name}:
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(LOOPBACK, settings[other]["port"])
    async with started_process(tmp_path) as process:
        with socket.create_server((LOOPBACK, settings[name]["port"])):
            await asyncio.sleep(MISSING_S)
        await wait_until_started(process)


# A file that was being written ended each start at once, with exit code 2 or 3.
@pytest.mark.parametrize("name", ["settings.jsonc", "certificate.pem"])
@pytest.mark.parametrize("share", [None, 0.0, 0.5])
async def test_start_waits_for_a_file_that_is_being_written(name, share, tmp_path):
    settings = make_settings(tmp_path)
    (tmp_path / "settings.jsonc").write_text(json.dumps(settings))
    path = tmp_path / name
    text = path.read_text()
    if share is None:
        path.unlink()
    else:
        path.write_text(text[: round(share * len(text))])
    async with started_process(tmp_path) as process:
        await asyncio.sleep(MISSING_S)
        assert process.returncode is None
        path.write_text(text)
        await wait_until_started(process)


# A stop must not wait until a start that waits has had its time.
@pytest.mark.parametrize("name", ["settings.jsonc", "certificate.pem"])
async def test_sigterm_ends_a_start_that_waits(name, tmp_path):
    (tmp_path / "settings.jsonc").write_text(json.dumps(make_settings(tmp_path)))
    (tmp_path / name).unlink()
    async with started_process(tmp_path) as process:
        # Before its first line, a signal would kill the interpreter.
        await wait_until_logged(process, b'"start_waits"')
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_S):
            assert await process.wait() == 0


CLOSE_AND_START = """
import os, sys
for fd in map(int, sys.argv[1].split(",")):
    os.close(fd)
command = [sys.executable, "-m", "rhubarbwell_entry", "--settings", sys.argv[2]]
os.execv(sys.executable, command)
"""


# Libraries that expect standard error ended a start without it.
@pytest.mark.parametrize("closed", ["0", "1", "2", "0,1,2"])
async def test_start_with_closed_standard_descriptors(closed, tmp_path):
    settings = make_settings(tmp_path)
    path = tmp_path / "settings.jsonc"
    path.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-c", CLOSE_AND_START, closed, str(path))
    )
    try:
        async with asyncio.timeout(WAIT_S):
            while True:
                assert process.returncode is None
                with contextlib.suppress(ConnectionRefusedError):
                    await asyncio.open_connection(LOOPBACK, settings["callers"]["port"])
                    break
                await asyncio.sleep(0.05)
        for fd in map(int, closed.split(",")):
            assert os.readlink(f"/proc/{process.pid}/fd/{fd}") == os.devnull
    finally:
        process.kill()
        await process.wait()
