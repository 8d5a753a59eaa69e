"""Lines of the grantor and the borrower."""

from functools import partial

from rhubarbwell_core.grants import Grantor
from rhubarbwell_core.messages import Allowance, GrantAsk
from rhubarbwell_core.model import Rank
from rhubarbwell_entry.peers import encode_body

from benchmarks.capacity.costs import KB, memory_of, time_of
from benchmarks.control.fits import Line, fit_line

__all__ = ["measure_grants"]

BORROWERS = (25, 50, 100, 200)
CAP = Allowance(1_000_000, 1_000_000_000, 1_000_000_000)
WANTED = Allowance(3, 1_000, 1_000)


def measure_grants() -> list[Line]:
    """Measure a grantor's answers and state by borrowers, and an ask's bytes."""
    times: list[tuple[float, float]] = []
    sizes: list[tuple[float, float]] = []
    asked: list[tuple[float, float]] = []
    for count in BORROWERS:
        sizes.append((count, memory_of(partial(_lend_to, count)) / KB))
        grantor = _lend_to(count)
        repeat = partial(_ask_again, grantor, count)
        times.append((count, time_of(repeat) / count))
        asks = [_ask_of(number, 1) for number in range(count)]
        asked.append((count, float(len(encode_body(asks)))))
    return [
        fit_line("grantor", "answer to an ask by borrowers", "us", times),
        fit_line("grantor", "grants in force by borrowers", "kB", sizes),
        fit_line("borrower", "bytes by asks", "B", asked),
    ]


def _lend_to(borrowers: int) -> Grantor:
    grantor = Grantor("g", "g-1")
    for number in range(borrowers):
        grantor.answer(_ask_of(number, 1), CAP, now_ms=0)
    return grantor


def _ask_again(grantor: Grantor, borrowers: int) -> None:
    for number in range(borrowers):
        grantor.answer(_ask_of(number, 2), CAP, now_ms=1)


def _ask_of(number: int, ask_number: int) -> GrantAsk:
    name = f"lake-a-{number}"
    return GrantAsk(ask_number, name, f"{name}-1", "lake", "slotsvc", Rank.BULK, WANTED)
