"""The users' platform is known in one small folder alone."""

import json
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
ADAPTER = ROOT / "platform"
PRODUCT = sorted((ROOT / "packages").glob("*/src/**/*.py"))
WIRE_WORDS = (
    "X-Rhubarbwell",
    "rows-get",
    "rows-feed",
    "rows-tx",
    "RHUBARBWELL_NODE_FILE",
    "resourceKind",
    "coldRemaining",
    "homeRegions",
    "maxAttempts",
    "targetLatency",
    "configApply",
    "retrySlack",
    "internalPorts",
)


@pytest.mark.parametrize("word", WIRE_WORDS)
def test_the_product_does_not_know_the_platforms_names(word):
    knowing = [path.name for path in PRODUCT if word in path.read_text()]
    assert knowing == []


def test_the_adapter_is_under_a_twelfth_of_the_product():
    def lines(paths):
        return sum(len(path.read_text().splitlines()) for path in paths)

    assert 12 * lines(ADAPTER.rglob("*.py")) < lines(PRODUCT)


def test_the_folder_is_no_package():
    assert not (ADAPTER / "__init__.py").exists()


def test_the_deploy_file_starts_what_the_build_copies():
    text = (ROOT / "deploy" / "system.toml").read_text()
    program = re.search(r'run = "python3 target/app/(\S+)"', text)
    assert program is not None
    assert (ADAPTER / program[1]).exists()
    assert json.dumps("front") in text
