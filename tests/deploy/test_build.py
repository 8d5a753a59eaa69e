"""Test that the build of the deploy file never takes away a program that runs."""

import asyncio
import os
import shutil
import signal
import sys
import tomllib
import zipfile
from pathlib import Path

import pytest
from soak.fleet import ROOT
from support.entry_processes import prepared_process, wait_until_it_serves
from support.running_fleet import WAIT_S

BUILD = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
PROGRAM = Path("target/app/run_entry.py")
# Under load a build takes some seconds.
BUILD_TIMEOUT_S = 120.0
WHEEL = "stub-1.0-py3-none-any.whl"


@pytest.fixture
def checkout(tmp_path):
    """Return a copy of the sources that requires one package, from a local file."""
    root = tmp_path / "checkout"
    for source in (*ROOT.glob("packages/*/src"), ROOT / "platform", ROOT / "deploy"):
        shutil.copytree(
            source,
            root / source.relative_to(ROOT),
            ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
        )
    write_wheel(root / "deploy" / WHEEL)
    (root / "deploy/requirements.txt").write_text(f"./deploy/{WHEEL}\n")
    (root / "constraints.txt").touch()
    return root


def write_wheel(path):
    info = "stub-1.0.dist-info"
    with zipfile.ZipFile(path, "w") as wheel:
        wheel.writestr("stub.py", "")
        wheel.writestr(
            f"{info}/METADATA", "Metadata-Version: 2.1\nName: stub\nVersion: 1.0\n"
        )
        wheel.writestr(
            f"{info}/WHEEL",
            "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
        )
        wheel.writestr(f"{info}/RECORD", "")


def change_source(root, text):
    with (root / "platform/rhubarbwell_wire/__init__.py").open("a") as source:
        source.write(f"\n# {text}\n")


async def start_build(root):
    """Start the build as the platform does, with this interpreter as python3."""
    path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    return await asyncio.create_subprocess_shell(
        BUILD,
        cwd=root,
        env={**os.environ, "PATH": path},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        start_new_session=True,
    )


async def build(root):
    """Build and return the exit code and the output."""
    async with asyncio.timeout(BUILD_TIMEOUT_S):
        process = await start_build(root)
        output, _ = await process.communicate()
    return process.returncode, output.decode()


def built_files(root):
    # Unlike Path.rglob, os.walk passes over folders that vanish meanwhile.
    walk = os.walk(root / "target")
    return {f"{folder}/{name}" for folder, _, names in walk for name in names}


async def kill_build_at_work(root):
    """Start a build and kill it as soon as it has changed a file."""
    before = built_files(root)
    process = await start_build(root)
    async with asyncio.timeout(BUILD_TIMEOUT_S):
        while len(built_files(root) - before) < 20:
            await asyncio.sleep(0)
    os.killpg(process.pid, signal.SIGKILL)
    await process.communicate()


async def assert_starts(root, folder):
    """Start the program that is built and assert that it serves and ends with 0."""
    folder.mkdir()
    async with prepared_process(folder, root / PROGRAM) as prepared:
        # Without the sources on the path, the program's own folder must do.
        prepared.instance.code_paths = [root / "target/deps"]
        await prepared.instance.start()
        await wait_until_it_serves(prepared)
        prepared.instance.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_S):
            assert await prepared.instance.process.wait() == 0


# Builds removed each other's files; of three at once two failed.
async def test_builds_at_once_all_succeed(checkout, tmp_path):
    for number in range(4):
        change_source(checkout, f"change {number}")
        results = await asyncio.gather(*(build(checkout) for _ in range(3)))
        assert [code for code, _ in results] == [0, 0, 0], results
    await assert_starts(checkout, tmp_path / "run")


# A build removed the program's folder while instances started from it.
async def test_starts_beside_builds_succeed(checkout, tmp_path):
    code, output = await build(checkout)
    assert code == 0, output

    async def build_again_and_again():
        for number in range(1_000):
            change_source(checkout, f"change {number}")
            code, output = await build(checkout)
            assert code == 0, output

    builds = asyncio.create_task(build_again_and_again())
    try:
        for number in range(6):
            await assert_starts(checkout, tmp_path / f"run-{number}")
    finally:
        builds.cancel()
        await asyncio.wait([builds])
    assert builds.cancelled()


async def test_files_of_an_earlier_build_stay(checkout):
    await build(checkout)
    first = (checkout / PROGRAM).parent.resolve()
    files = built_files(checkout)
    change_source(checkout, "a change")
    code, output = await build(checkout)
    assert code == 0, output
    assert files <= built_files(checkout)
    assert (checkout / PROGRAM).parent.resolve() != first


# A build that failed left no program, or half of one.
@pytest.mark.parametrize("failure", ["requirement", "syntax", "killed"])
async def test_failed_build_leaves_the_program_as_it_was(failure, checkout, tmp_path):
    await build(checkout)
    first = (checkout / PROGRAM).parent.resolve()
    change_source(checkout, "a change")
    if failure == "killed":
        await kill_build_at_work(checkout)
    else:
        broken = checkout / "deploy/requirements.txt"
        if failure == "syntax":
            broken = checkout / "platform/rhubarbwell_wire/names.py"
        text = broken.read_text()
        broken.write_text("./deploy/missing.whl" if failure == "requirement" else "(")
        code, _ = await build(checkout)
        assert code != 0
        broken.write_text(text)
    assert (checkout / PROGRAM).parent.resolve() == first
    await assert_starts(checkout, tmp_path / "run")
    code, output = await build(checkout)
    assert code == 0, output
    assert (checkout / PROGRAM).parent.resolve() != first
    await assert_starts(checkout, tmp_path / "again")
