"""Run the commands on the operators' page and compare their output with it."""

import asyncio
import contextlib
import doctest
import io
import re
import shlex
import shutil
import subprocess
from pathlib import Path

import fire
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from rhubarbwell_core.model import Address
from rhubarbwell_ops.__main__ import Commands
from rhubarbwell_platform import (
    InstanceListing,
    ListedInstance,
    ListedState,
    memory_platform,
    platform_app,
)
from rhubarbwell_platform.documents import check_files, read_files
from rhubarbwell_platform.publishing import read_state

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "operating" / "configuration.md"
UNUSED_ADDRESS = Address("127.0.0.1", 9)
DOCTEST_FLAGS = doctest.ELLIPSIS | doctest.NORMALIZE_WHITESPACE


def page_examples():
    """Return the commands and their expected output, in the order of the page."""
    examples = []
    for block in re.findall(r"```console\n(.*?)```", PAGE.read_text(), re.DOTALL):
        for part in re.split(r"^\$ ", block, flags=re.MULTILINE)[1:]:
            command, _, output = part.partition("\n")
            examples.append((command, output))
    return examples


def expand_glob(word):
    return sorted(str(path) for path in Path().glob(word)) if "*" in word else [word]


def run_command(command):
    words = [part for word in shlex.split(command) for part in expand_glob(word)]
    if words[0] != "rhubarbwell":
        subprocess.run(words, check=True)
        return ""
    out = io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(out),
        pytest.raises(SystemExit),
    ):
        fire.Fire(Commands, command=words[1:], name="rhubarbwell")
    return out.getvalue()


async def start_status_server(platform, *, max_version):
    async def status(request):
        head = (await read_state(platform, version=None)).head
        version = min(head.version, max_version)
        state = await read_state(platform, version=version)
        body = {"config_version": version, "config_digest": state.head.chain}
        return web.json_response({**body, "state": "ready"})

    app = web.Application()
    app.router.add_get("/status", status)
    server = TestServer(app)
    await server.start_server()
    return server


async def test_commands_print_what_the_page_shows(tmp_path, monkeypatch):
    for path in (ROOT / "examples" / "demo").glob("*.jsonc"):
        shutil.copy(path, tmp_path)
    monkeypatch.chdir(tmp_path)
    platform = memory_platform()
    servers = [
        await start_status_server(platform, max_version=6),
        await start_status_server(platform, max_version=5),
        TestServer(platform_app(platform)),
    ]
    await servers[2].start_server()
    addresses = [Address("127.0.0.1", server.port) for server in servers]
    platform.instances.listing = InstanceListing(
        0,
        (
            ListedInstance("lake-a-0", "lake-a", UNUSED_ADDRESS, addresses[0]),
            ListedInstance("lake-b-0", "lake-b", UNUSED_ADDRESS, addresses[1]),
            ListedInstance("coast-a-0", "coast-a", UNUSED_ADDRESS, UNUSED_ADDRESS),
            ListedInstance(
                "coast-b-0",
                "coast-b",
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                ListedState.LEAVING,
            ),
        ),
    )
    monkeypatch.setenv("RHUBARBWELL_PLATFORM", str(servers[2].make_url("")))
    checker = doctest.OutputChecker()
    for command, expected in page_examples():
        actual = await asyncio.to_thread(run_command, command)
        assert checker.check_output(expected, actual, DOCTEST_FLAGS), (
            f"$ {command}\n{actual}"
        )
    for server in servers:
        await server.close()


def test_page_names_every_key():
    page = PAGE.read_text()
    paths = sorted((ROOT / "examples" / "wellenbrett").glob("*.jsonc"))
    documents = check_files(read_files(paths).unwrap()).unwrap()
    keys = {key for doc in documents for key in re.findall(r'"(\w+)":', doc.text)}
    assert len(keys) > 30
    assert {key for key in keys if f"`{key}`" not in page} == set()
