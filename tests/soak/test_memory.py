"""Short loads that fill the memory of instances, under a watcher that kills them."""

import pytest
from soak.memory import SHAPES, run_load

LIMIT_MB = 300


# Guards against processes that are killed over their memory, with all that they have
# open, because servers answer without end.
@pytest.mark.parametrize("shape", ["endless", "endless_chunked"])
async def test_answers_without_end_take_no_process_over_its_memory(shape, tmp_path):
    report = await run_load(
        SHAPES[shape],
        tmp_path,
        callers=6,
        for_s=4.0,
        instances=1,
        servers=4,
        limit_mb=LIMIT_MB,
    )
    assert (report.kills, report.own_ends, report.lost, report.cut) == (0, 0, 0, 0)
    assert 0 < max(report.peaks_mb) <= LIMIT_MB
    assert report.outcomes["large 502"] > 0
    assert report.outcomes["small 200"] > 0
