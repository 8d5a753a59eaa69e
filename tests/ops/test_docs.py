"""Check that documented commands and flags exist and that links resolve."""

import importlib.util
import inspect
import re
from pathlib import Path

import pytest
from rhubarbwell_ops.__main__ import Commands

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
COMMAND = re.compile(r"^(?:    |\$ )(rhubarbwell|python -m) (\S+)(.*)$", re.MULTILINE)
FLAG = re.compile(r"--([a-z][a-z-]*)")


def documented_commands():
    for page in PAGES:
        for program, name, rest in COMMAND.findall(page.read_text()):
            yield pytest.param(program, name, rest, id=f"{page.name}: {name}{rest}")


@pytest.mark.parametrize(("program", "name", "rest"), list(documented_commands()))
def test_documented_command_exists(program, name, rest):
    if program == "python -m":
        assert importlib.util.find_spec(name) is not None
        return
    known = inspect.signature(getattr(Commands, name)).parameters
    flags = {flag.replace("-", "_") for flag in FLAG.findall(rest)}
    assert flags <= set(known)


def test_readme_shows_the_two_commands_of_the_makefile():
    readme = (ROOT / "README.md").read_text()
    targets = re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.MULTILINE)
    shown = re.findall(r"^    make (\w+)", readme, re.MULTILINE)
    assert shown == ["demo", "test"]
    assert set(shown) <= set(targets)


def test_relative_links_resolve():
    for page in PAGES:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"
