from pathlib import Path

import pytest
from returns.result import Success
from rhubarbwell_core.model import Rank, matching_kind
from rhubarbwell_platform.documents import (
    SourceFile,
    check_files,
    configuration_of,
    read_files,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
ENDPOINTS = {
    "wellenbrett": {"slotsvc": 18, "paysvc": 12, "clipsvc": 12, "rostersvc": 12},
    "vanua": {"boardsvc": 20, "payledger": 12, "bundledock": 12, "alertcast": 12},
    "demo": {"slotsvc": 4, "paysvc": 4, "clipsvc": 4, "rostersvc": 4},
}
ENTRY_INSTANCES = {"wellenbrett": 12, "vanua": 11, "demo": 4}


def check_example_files(name):
    paths = sorted((EXAMPLES / name).glob("*.jsonc"))
    return check_files(read_files(paths).unwrap())


@pytest.mark.parametrize("name", sorted(ENDPOINTS))
def test_examples_pass_and_have_their_sizes(name):
    documents = check_example_files(name).unwrap()
    texts = {document.name: document.text for document in documents}
    cfg = configuration_of(7, "chain", texts).unwrap()
    counts = {key: len(spec.backends) for key, spec in cfg.services.items()}
    assert counts == ENDPOINTS[name]
    zones = cfg.deployment.zones
    assert sum(zone.entry_instances for zone in zones) == ENTRY_INSTANCES[name]
    assert all(
        backend.slots == 3 and backend.connections == 400
        for spec in cfg.services.values()
        for backend in spec.backends
    )


def test_reading_back_gives_the_same_specs():
    documents = check_example_files("wellenbrett").unwrap()
    texts = {document.name: document.text for document in documents}
    cfg = configuration_of(1, "chain", texts).unwrap()
    specs = {document.name: document.spec for document in documents}
    assert specs["deployment"] == cfg.deployment
    assert specs["service/paysvc"] == cfg.services["paysvc"]
    pay = matching_kind(cfg.services["paysvc"], "POST", "/payments/7")
    assert (pay.rank, pay.idempotent) == (Rank.URGENT, False)


def test_all_inconsistencies_between_files_are_reported():
    sources = read_files(sorted((EXAMPLES / "demo").glob("*.jsonc"))).unwrap()
    changed = []
    for source in sources:
        text = source.text.replace('"slots": 3', '"slots": 1')
        if source.name.endswith("paysvc.jsonc"):
            text = text.replace('"coast-a": [', '"coast-q": [')
        if source.name.endswith("clipsvc.jsonc"):
            text = text.replace('"deadline_ms": 900000', '"deadline_ms": 900')
        changed.append(SourceFile(Path(source.name).name, text))
    findings = check_files(changed).failure()
    reported = {(finding.file, finding.key) for finding in findings}
    assert ("paysvc.jsonc", "endpoints.coast-q") in reported
    assert ("clipsvc.jsonc", "kinds[0].max_body_bytes") in reported
    assert ("slotsvc.jsonc", "endpoints") in reported
    hint = next(f for f in findings if f.key == "endpoints.coast-q").message
    assert "did you mean 'coast-a'?" in hint or "did you mean 'coast-b'?" in hint
    assert all(finding.line > 0 for finding in findings)


@pytest.mark.parametrize("name", ["deployment", "service/paysvc"])
def test_newer_format_is_refused(name):
    texts = {
        document.name: document.text
        for document in check_example_files("demo").unwrap()
    }
    texts[name] = texts[name].replace('"format":1', '"format":2')
    finding = configuration_of(1, "chain", texts).failure()[0]
    assert (finding.file, finding.key) == (name, "format")


def test_configuration_without_deployment_is_refused():
    assert not isinstance(configuration_of(1, "", {}), Success)
