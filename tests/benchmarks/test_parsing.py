"""Test the benchmark of the time for which bytes hold the event loop."""

import pytest

from benchmarks.parsing.forms import ANSWER_FORMS, READ_BYTES, REQUEST_FORMS
from benchmarks.parsing.measures import measure_answer, measure_requests


def test_each_form_is_one_read():
    forms = [*ANSWER_FORMS.values(), *REQUEST_FORMS.values()]
    assert {len(data) for data in forms} == {READ_BYTES}


@pytest.mark.parametrize("form", ["blank lines, chunks of 8 KB", "random bytes"])
async def test_longest_hold_of_an_answer_is_part_of_the_sum(form):
    holds = await measure_answer(ANSWER_FORMS[form][: 32 << 10], 8 << 10)
    assert 0.0 < holds.longest_s <= holds.total_s


async def test_longest_hold_of_requests_is_part_of_the_sum():
    holds = await measure_requests(REQUEST_FORMS["pipelined requests"][:4_096], 512)
    assert 0.0 < holds.longest_s <= holds.total_s
