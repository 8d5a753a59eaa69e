"""Print for how long one read of a server's or caller's bytes holds the event loop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping

import fire
from tabulate import tabulate

from benchmarks.parsing.forms import ANSWER_FORMS, READ_BYTES, REQUEST_FORMS
from benchmarks.parsing.measures import (
    SEGMENT_BYTES,
    Holds,
    measure_answer,
    measure_requests,
)

HEADERS = ["form", "one read: longest s", "sum s", "segments: longest s", "sum s"]


class Parsing:
    """Measure the processor time of 256 KB of bytes in several forms."""

    def answers(self) -> None:
        """Print the times of answers of backend servers."""
        _print_holds(ANSWER_FORMS, measure_answer)

    def requests(self) -> None:
        """Print the times of requests of callers."""
        _print_holds(REQUEST_FORMS, measure_requests)


def _print_holds(
    forms: Mapping[str, bytes], measure: Callable[[bytes, int], Awaitable[Holds]]
) -> None:
    logging.disable(logging.CRITICAL)
    rows = []
    for name, data in forms.items():
        one_read = asyncio.run(_run(measure, data, READ_BYTES))
        segments = asyncio.run(_run(measure, data, SEGMENT_BYTES))
        rows.append((name, *one_read, *segments))
    print(tabulate(rows, headers=HEADERS, floatfmt=".4f"))


async def _run(
    measure: Callable[[bytes, int], Awaitable[Holds]], data: bytes, read_bytes: int
) -> Holds:
    return await measure(data, read_bytes)


if __name__ == "__main__":
    fire.Fire(Parsing)
