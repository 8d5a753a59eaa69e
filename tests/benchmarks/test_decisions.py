from benchmarks.decisions.__main__ import print_timings


def test_every_decision_is_measured_against_a_baseline(capsys):
    print_timings(blocks=256, nodes=100)
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in lines[2:]] == ["look-up", "request", "metrics"]
