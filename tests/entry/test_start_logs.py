"""Test of what a waiting start of the stand-alone program tells."""

import asyncio
import json
import os
import sys

from entry.test_starts import WAIT_S, make_settings


# Logging is set up after the settings are read.
async def test_start_that_waits_for_its_settings_tells_why(tmp_path):
    (tmp_path / "settings.jsonc").write_text('{"instance_id": ')
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rhubarbwell_entry"),
        *("--settings", str(tmp_path / "settings.jsonc")),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    async with asyncio.timeout(WAIT_S):
        line = (await process.stdout.readline()).decode()
    assert process.returncode is None
    process.kill()
    await process.communicate()
    assert "settings.jsonc" in line, line


# Each try loads the certificate authorities anew, on the event loop.
async def test_start_that_waits_for_an_address_uses_little_processor_time(tmp_path):
    settings = make_settings(tmp_path)
    path = tmp_path / "settings.jsonc"
    path.write_text(json.dumps(settings))
    host, port = settings["peers"]["host"], settings["peers"]["port"]
    server = await asyncio.start_server(lambda *_: None, host, port)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rhubarbwell_entry", "--settings", str(path)),
        stdout=asyncio.subprocess.DEVNULL,
    )

    def processor_s():
        with open(f"/proc/{process.pid}/stat") as stat:
            fields = stat.read().rsplit(") ", 1)[1].split()
        return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")

    try:
        await asyncio.sleep(4.0)
        before = processor_s()
        await asyncio.sleep(5.0)
        assert processor_s() - before < 0.05 * 5.0
    finally:
        process.kill()
        await process.wait()
        server.close()
