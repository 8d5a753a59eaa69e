import pytest
from rhubarbwell_core.model import Address
from rhubarbwell_entry.settings_files import SettingsError, parse_settings

VALID_SETTINGS = """
// An entry instance of the lake.
{
  "instance_id": "lake-a-0", "zone": "lake-a", "region": "lake",
  "callers": {"host": "10.0.0.1", "port": 8080},
  "operators": {"host": "10.0.0.1", "port": 8081},
  "peers": {"host": "10.0.0.1", "port": 8082},
  "platform": "http://10.0.0.9:80/",
  "seeds": [{"host": "10.0.0.2", "port": 8082}],
  "peer_keys": ["0123456789abcdef0123456789abcdef"],
}
"""


def test_valid_settings_are_read_with_defaults():
    settings = parse_settings(VALID_SETTINGS)
    assert settings.callers == Address("10.0.0.1", 8080)
    assert settings.platform == "http://10.0.0.9:80"
    assert settings.seeds == (Address("10.0.0.2", 8082),)
    assert (settings.log_format, settings.tls) == ("json", None)


def test_all_findings_are_reported_together_with_their_places():
    invalid = VALID_SETTINGS.replace('"zone"', '"zoen"').replace("8081", "99999")
    with pytest.raises(SettingsError) as caught:
        parse_settings(invalid, file="a.jsonc")
    places = {(f.key, f.line, f.column) for f in caught.value.findings}
    assert ("zoen", 4, 30) in places
    assert ("operators.port", 6, 45) in places
    assert "did you mean 'zone'" in str(caught.value)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("http://10", "ftp://10", "platform"),
        ("0123456789abcdef0", "0", "peer_keys"),
        ('"lake-a-0"', "7", "instance_id"),
        ('"callers"', '"caller"', "callers"),
    ],
)
def test_each_fault_is_found(old, new, key):
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID_SETTINGS.replace(old, new))
    assert key in {finding.key for finding in caught.value.findings}


def test_invalid_json_gives_one_finding():
    with pytest.raises(SettingsError) as caught:
        parse_settings("{")
    assert len(caught.value.findings) == 1
