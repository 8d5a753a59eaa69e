"""Property test: a settings file is read or raises SettingsError."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from rhubarbwell_entry.direct.settings import SettingsError
from rhubarbwell_wire.settings import read_settings

FUZZED = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
GOOD = """node = "n"
ip = "10.1.0.15"
zone = "a-1"
seeds = ["10.1.0.15:8649"]
[zones]
a-1 = "a"
[listen]
front = "10.1.0.15:8641"
[limits]
memoryMb = 300
[bounds]
grace = "6s"
[platform]
address = "10.200.1.7:8642"
"""
VALUES = st.sampled_from(
    ["nan", "inf", "-1", "9" * 400, '"\\u0000"', "[]", "{}", "[" * 2_000, "true", '""']
)


@FUZZED
@given(line=st.integers(0, GOOD.count("\n") - 1), value=VALUES | st.text(max_size=10))
def test_damaged_file_is_read_or_refused(tmp_path, line, value):
    lines = GOOD.splitlines()
    lines[line] = f"{lines[line].partition(' = ')[0]} = {value}"
    path = tmp_path / "settings.toml"
    path.write_bytes("\n".join(lines).encode("utf-8", "surrogatepass"))
    try:
        read_settings(path)
    except SettingsError:
        return


@pytest.mark.parametrize("data", [b"\xff", b"a = " + b"[" * 2_000, b"a.b.c" * 99])
def test_bytes_that_are_no_settings_are_refused(tmp_path, data):
    path = tmp_path / "settings.toml"
    path.write_bytes(data)
    with pytest.raises(SettingsError):
        read_settings(path)
