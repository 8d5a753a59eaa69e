import pytest
from rhubarbwell_ops.__main__ import main

WRONG_USAGES = [
    ["rollback", "abc"],
    ["rollback", "-1"],
    ["rollback"],
    ["history", "--limit", "x"],
    ["publish", "a.jsonc", "--base", "x"],
    ["publish", "a.jsonc", "--wait", "x"],
    ["publish", "a.jsonc", "--wait=-1"],
    ["publish", "a.jsonc", "--dryrun"],
    ["publish", "a.jsonc", "--no-such-flag", "1"],
]
COMMANDS_WITHOUT_PLATFORM = [
    ["status"],
    ["status", "--platform"],
    ["publish", "a.jsonc", "--platform", "ftp://x"],
    ["status", "--platform", "http://127.0.0.1:9"],
]


def exit_code_of(arguments):
    with pytest.MonkeyPatch.context() as patch, pytest.raises(SystemExit) as caught:
        patch.setattr("sys.argv", ["rhubarbwell", *arguments])
        main()
    return caught.value.code


@pytest.mark.parametrize("arguments", WRONG_USAGES, ids=" ".join)
def test_wrong_usage_prints_an_error(arguments, capsys):
    assert exit_code_of(arguments) == 2
    assert capsys.readouterr().err


@pytest.mark.parametrize("arguments", COMMANDS_WITHOUT_PLATFORM, ids=" ".join)
def test_nothing_is_done_without_a_platform(arguments, capsys, monkeypatch):
    monkeypatch.delenv("RHUBARBWELL_PLATFORM", raising=False)
    assert exit_code_of(arguments) == 4
    assert "nothing was done" in capsys.readouterr().err


@pytest.mark.parametrize("command", ["check", "publish", "rollback", "drain", "status"])
def test_help_names_the_flags(command, capsys):
    assert exit_code_of([command, "--help"]) == 0
    assert "platform" in capsys.readouterr().err


def test_check_takes_folders(capsys):
    assert exit_code_of(["check", "examples/wellenbrett"]) == 0
    assert "5 documents, no findings" in capsys.readouterr().out


def test_check_of_a_folder_without_configuration_files_has_a_finding(tmp_path, capsys):
    assert exit_code_of(["check", str(tmp_path)]) == 1
    assert "no files are given" in capsys.readouterr().err
