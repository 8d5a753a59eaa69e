"""Test of starts of an entry instance that find its machine not ready yet."""

import asyncio
import contextlib
import os
import signal
import socket

import pytest
from rhubarbwell_core.model import Address
from rhubarbwell_entry.direct.instance import DirectInstance
from soak.soak import ENTRY_SCRIPT
from support.entry_processes import prepared_process, wait_until_it_serves
from support.running_fleet import WAIT_S, free_ports
from support.users_platform import TestPlatform, make_settings

# Longer than a start, so that an address is still taken when the process needs it.
TAKEN_S = 2.0
ADDRESSES = ("callers", "ready", "control", "directory")


@contextlib.contextmanager
def listener_at(address):
    """Listen at an address, like another program of the machine."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen()
        yield sock


@contextlib.contextmanager
def connection_from(address):
    """Hold a connection whose near end is an address, as the system may choose it."""
    with socket.create_server((address.host, 0)) as server, socket.socket() as sock:
        sock.bind(address)
        sock.connect(server.getsockname())
        yield sock


async def is_accepted(address):
    try:
        _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


# An address that was taken for a moment ended each start at once, with exit code 3.
@pytest.mark.parametrize("name", [*ADDRESSES, "metrics"])
@pytest.mark.parametrize("take", [listener_at, connection_from])
async def test_start_waits_for_an_address_that_is_taken(name, take, tmp_path):
    async with prepared_process(tmp_path) as prepared:
        with take(prepared.address(name)):
            await prepared.instance.start()
            await asyncio.sleep(TAKEN_S)
            assert prepared.instance.process.returncode is None
        await wait_until_it_serves(prepared)


# An exporter of metrics at the same port kept instances from starting at all.
async def test_instance_serves_without_metrics_while_their_address_is_taken(tmp_path):
    async with prepared_process(tmp_path) as prepared:
        address = prepared.address("metrics")
        url = f"http://{address.host}:{address.port}/metrics"
        with listener_at(address):
            await prepared.instance.start()
            await wait_until_it_serves(prepared)
        async with asyncio.timeout(WAIT_S):
            while True:
                with contextlib.suppress(OSError):
                    async with prepared.session.get(url) as resp:
                        assert resp.status == 200
                        break
                await asyncio.sleep(0.1)


# A failing start closed the connections that it had accepted meanwhile.
async def test_start_accepts_no_callers_before_it_holds_all_addresses(tmp_path):
    async with prepared_process(tmp_path) as prepared:
        instance = prepared.instance
        with listener_at(instance.control):
            await instance.start()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TAKEN_S):
                    while instance.process.returncode is None:
                        assert not await is_accepted(instance.callers)
                        await asyncio.sleep(0.001)


# A settings file that was being written ended each start at once, with exit code 2.
@pytest.mark.parametrize("share", [None, 0.0, 0.3, 0.6])
async def test_start_waits_for_a_settings_file_that_is_being_written(share, tmp_path):
    async with prepared_process(tmp_path) as prepared:
        path = prepared.settings_path
        text = path.read_text()
        if share is None:
            path.unlink()
        else:
            path.write_text(text[: round(share * len(text))])
        await prepared.instance.start()
        await asyncio.sleep(1.0)
        assert prepared.instance.process.returncode is None
        path.write_text(text)
        await wait_until_it_serves(prepared)


# A stop must not wait until a start that waits has had its time.
@pytest.mark.parametrize("cause", ["address", "settings"])
async def test_sigterm_ends_a_start_that_waits(cause, tmp_path):
    async with prepared_process(tmp_path) as prepared:
        instance = prepared.instance
        if cause == "settings":
            prepared.settings_path.unlink()
        with listener_at(instance.control):
            await instance.start()
            await asyncio.sleep(TAKEN_S)
            instance.send_signal(signal.SIGTERM)
            async with asyncio.timeout(WAIT_S):
                assert await instance.process.wait() == 0


START_WITH_CLOSED_DESCRIPTORS = """
import os, sys
for fd in map(int, sys.argv[1].split(",")):
    os.close(fd)
os.execv(sys.executable, [sys.executable, sys.argv[2]])
"""


# A closed standard output ended the start; the first socket would have taken its number
# and received the log.
@pytest.mark.parametrize("closed", ["0", "1", "0,1,2"])
async def test_start_with_closed_standard_descriptors(closed, tmp_path):
    launcher = tmp_path / "launcher.py"
    launcher.write_text(START_WITH_CLOSED_DESCRIPTORS)
    async with prepared_process(tmp_path, launcher) as prepared:
        instance = prepared.instance
        await instance.start(closed, str(ENTRY_SCRIPT))
        await wait_until_it_serves(prepared)
        for fd in map(int, closed.split(",")):
            target = os.readlink(f"/proc/{instance.process.pid}/fd/{fd}")
            assert target == os.devnull


# Ports are the deployment's choice, and the one of the metrics may be among them.
@pytest.mark.parametrize("name", ADDRESSES)
async def test_instance_serves_at_an_address_that_is_also_that_of_the_metrics(
    name, tmp_path
):
    async with prepared_process(tmp_path) as prepared:
        address = prepared.address("metrics")
        setattr(prepared.instance, name, address)
        prepared.instance.write_settings()
        await prepared.instance.start()
        await wait_until_it_serves(prepared)


# Callers would have been served at the address of another part, which never answered.
@pytest.mark.parametrize("name", ["readiness", "control", "directory"])
async def test_address_of_the_callers_cannot_be_that_of_another_part(name):
    settings = make_settings(Address("127.0.0.1", 1), free_ports(5))
    settings = settings._replace(**{name: settings.callers})
    instance = DirectInstance(TestPlatform(settings), settings)
    with pytest.raises(OSError, match="in use"):
        instance.open_sockets()
    instance.metrics.close()
