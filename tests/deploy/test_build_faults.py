"""Test of builds that leave a program that is not made from its sources."""

import asyncio
import importlib.util
import os
import shutil
import signal
import sys
from pathlib import Path

import pytest
from deploy.test_build import (
    BUILD,
    BUILD_TIMEOUT_S,
    PROGRAM,
    assert_starts,
    build,
    change_source,
    checkout,
)

__all__ = ["checkout"]

# Stands in for pip, which downloads, then copies each package unless its folder is there.
SLOW_PIP = """
import os, sys, time
target = sys.argv[sys.argv.index("--target") + 1]
open(f"{os.environ['MARKS']}/{os.getpid()}", "w").close()
time.sleep(1.0)
for name, copy_s in (("large", 1.5), ("small", 0.1)):
    folder = os.path.join(target, name)
    if os.path.isdir(folder):
        continue
    os.makedirs(folder)
    time.sleep(copy_s)
    open(os.path.join(folder, "__init__.py"), "w").close()
"""


# pip goes on without the lock, in the folder that the next build fills.
@pytest.mark.known_red
async def test_build_after_one_that_was_killed_alone_is_whole(checkout, tmp_path):
    pip = tmp_path / "pip"
    marks = tmp_path / "marks"
    marks.mkdir()
    pip.mkdir()
    (pip / "pip.py").write_text(SLOW_PIP)
    path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    env = {**os.environ, "PATH": path, "PYTHONPATH": str(pip), "MARKS": str(marks)}

    async def start(stdout):
        return await asyncio.create_subprocess_shell(
            f"exec {BUILD}",
            cwd=checkout,
            env=env,
            stdout=stdout,
            stderr=asyncio.subprocess.STDOUT,
        )

    killed = await start(asyncio.subprocess.DEVNULL)
    async with asyncio.timeout(BUILD_TIMEOUT_S):
        while not list(marks.iterdir()):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        killed.send_signal(signal.SIGKILL)
        await killed.wait()
        process = await start(asyncio.subprocess.PIPE)
        output, _ = await process.communicate()
    await asyncio.sleep(2.0)
    assert process.returncode == 0, output.decode()
    deps = checkout / "target/deps"
    built = sorted(str(f.relative_to(deps)) for f in deps.rglob("__init__.py"))
    assert built == ["large/__init__.py", "small/__init__.py"]


# The folder is named after the sources of before, and later builds take it for them.
@pytest.mark.known_red
async def test_sources_that_change_during_a_build_do_not_stay(
    checkout, tmp_path, monkeypatch
):
    spec = importlib.util.spec_from_file_location("b", checkout / "deploy/build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    monkeypatch.setattr(module.Requirements, "make", lambda *_: None)
    source = checkout / "platform/rhubarbwell_wire/names.py"
    text = source.read_text()
    copytree = shutil.copytree

    def change_and_copy(*args, **options):
        source.write_text("changed = True\n")
        return copytree(*args, **options)

    with monkeypatch.context() as patch:
        patch.setattr(module.shutil, "copytree", change_and_copy)
        module.build()
    source.write_text(text)
    module.build()
    assert (checkout / "target/app/rhubarbwell_wire/names.py").read_text() == text


# The build before copied the program each time, and so mended it.
@pytest.mark.known_red
async def test_build_mends_a_program_that_has_lost_a_file(checkout, tmp_path):
    code, output = await build(checkout)
    assert code == 0, output
    (checkout / "target/app/rhubarbwell_wire/names.py").unlink()
    code, output = await build(checkout)
    assert code == 0, output
    assert (checkout / PROGRAM).parent.joinpath("rhubarbwell_wire/names.py").exists()
    await assert_starts(checkout, tmp_path / "run")


# An earlier landing's build installs through the link, into the folder in use.
@pytest.mark.known_red
async def test_build_of_an_earlier_landing_leaves_the_packages_of_this_one(checkout):
    code, output = await build(checkout)
    assert code == 0, output
    deps = (checkout / "target/deps").resolve()
    before = {f: f.stat().st_ino for f in deps.rglob("*.py")}
    change_source(checkout, "an earlier landing")
    earlier = (
        f"{sys.executable} -m pip install -q -U --target target/deps "
        "-r deploy/requirements.txt && rm -rf target/app && mkdir -p target/app"
    )
    process = await asyncio.create_subprocess_shell(earlier, cwd=checkout)
    assert await process.wait() == 0
    assert {f: f.stat().st_ino for f in deps.rglob("*.py")} == before
