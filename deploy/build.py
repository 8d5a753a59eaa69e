"""Build the program that the deploy file runs, beside builds that are in use.

Each build has a folder of its own below `target/builds`, named after a digest of what
it is made from. `target/app` and `target/deps` are links to the current build, which
one rename replaces. Earlier builds stay, as processes may run from them.
"""

import compileall
import contextlib
import fcntl
import hashlib
import os
import platform
import shutil
import subprocess
import sys
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from pathlib import Path

__all__ = ["Part", "Program", "Requirements", "build"]

ROOT = Path(__file__).resolve().parents[1]
TARGET = ROOT / "target"
BUILDS = TARGET / "builds"
# Link in the folder of a program to the packages that it was built with.
REQUIREMENTS_LINK = "deps"
UNFINISHED_PREFIX = "unfinished-"
DIGEST_CHARACTERS = 16


class BuildError(Exception):
    """Report why a part could not be built."""


class Part(ABC):
    """Build a folder from sources."""

    name: str

    @abstractmethod
    def sources(self) -> Iterable[Path]:
        """Return the files that the folder is made from."""

    @abstractmethod
    def make(self, folder: Path, final: Path) -> None:
        """Fill an empty folder that is to be moved to `final`; raise BuildError."""

    def folder(self) -> Path:
        """Return the folder of the build of the present sources."""
        # Compiled files depend on the interpreter, packages also on the machine.
        digest = hashlib.sha256(f"{sys.version} {platform.machine()}".encode())
        for source in sorted(self.sources()):
            data = source.read_bytes()
            digest.update(f"{source.relative_to(ROOT)} {len(data)} ".encode())
            digest.update(data)
        return BUILDS / f"{self.name}-{digest.hexdigest()[:DIGEST_CHARACTERS]}"


class Requirements(Part):
    """Install the required packages."""

    name = "deps"

    def sources(self) -> Iterable[Path]:
        """Return the files that name the packages and their versions."""
        return ROOT / "deploy/requirements.txt", ROOT / "constraints.txt"

    def make(self, folder: Path, final: Path) -> None:
        """Install the packages into a folder."""
        options = ("--quiet", "--no-compile", "--target", str(folder))
        requirements = str(ROOT / "deploy/requirements.txt")
        command = (sys.executable, "-m", "pip", "install", *options, "-r", requirements)
        if subprocess.run(command, cwd=ROOT, check=False).returncode != 0:
            raise BuildError(f"{requirements}: pip could not install the packages")
        # Some packages hold sources that are not for this version of Python.
        compileall.compile_dir(folder, ddir=str(final), quiet=2)


class Program(Part):
    """Copy and compile the program."""

    name = "app"

    def __init__(self, requirements: Path) -> None:
        self._requirements = requirements

    def sources(self) -> Iterable[Path]:
        """Return the files of all packages, and of the packages that they require."""
        yield from Requirements().sources()
        for folder in self._source_folders():
            for source in folder.rglob("*"):
                if source.is_file() and not is_ignored(source.relative_to(folder)):
                    yield source

    def make(self, folder: Path, final: Path) -> None:
        """Copy the packages into one folder; processes cannot write bytecode."""
        ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
        for source in self._source_folders():
            shutil.copytree(source, folder, ignore=ignore, dirs_exist_ok=True)
        if not compileall.compile_dir(folder, ddir=str(final), quiet=1):
            raise BuildError("a file of the program could not be compiled")
        (folder / REQUIREMENTS_LINK).symlink_to(Path("..") / self._requirements.name)

    def _source_folders(self) -> list[Path]:
        return [*sorted(ROOT.glob("packages/*/src")), ROOT / "platform"]


def is_ignored(path: Path) -> bool:
    """Return True for files that are made from others."""
    return any(
        part == "__pycache__" or part.endswith(".egg-info") for part in path.parts
    )


def build() -> None:
    """Build what is missing, then make it the current build; raise BuildError."""
    BUILDS.mkdir(parents=True, exist_ok=True)
    with one_build_at_a_time():
        remove_unfinished()
        requirements = make_once(Requirements())
        program = make_once(Program(requirements))
        replace_link(TARGET / "deps", requirements)
        replace_link(TARGET / "app", program)


@contextlib.contextmanager
def one_build_at_a_time() -> Iterator[None]:
    """Hold a lock, which the system releases if the process ends."""
    with (BUILDS / "lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def remove_unfinished() -> None:
    """Remove what builds that were interrupted have left."""
    for folder in BUILDS.glob(f"{UNFINISHED_PREFIX}*"):
        shutil.rmtree(folder)


def make_once(part: Part) -> Path:
    """Return the folder of a part, which is made unless it is there."""
    final = part.folder()
    if not final.exists():
        unfinished = BUILDS / f"{UNFINISHED_PREFIX}{final.name}"
        unfinished.mkdir()
        part.make(unfinished, final)
        unfinished.rename(final)
    return final


def replace_link(link: Path, folder: Path) -> None:
    """Make a link name a folder; no moment is without it once it is a link."""
    new = BUILDS / f"{link.name}.link"
    new.unlink(missing_ok=True)
    new.symlink_to(folder.relative_to(link.parent))
    if link.is_dir() and not link.is_symlink():
        # Programs before this one were built into the folder itself.
        link.rename(BUILDS / f"{link.name}-replaced-{os.getpid()}")
    new.replace(link)


if __name__ == "__main__":
    try:
        build()
    except BuildError as exc:
        sys.exit(f"build: {exc}")
