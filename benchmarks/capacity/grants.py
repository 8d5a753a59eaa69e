"""Measure the costs of grants for grantors and borrowers."""

from functools import partial

from rhubarbwell_core.grants import Grantor
from rhubarbwell_core.messages import Allowance, GrantAsk
from rhubarbwell_core.model import Rank
from rhubarbwell_entry.peers import encode_body

from benchmarks.capacity.costs import KB, cpu_time_us, memory_bytes
from benchmarks.control.fits import Line, fit_line

__all__ = ["measure_grants"]

BORROWERS = (25, 50, 100, 200)
CAP = Allowance(1_000_000, 1_000_000_000, 1_000_000_000)
WANTED = Allowance(3, 1_000, 1_000)


def measure_grants() -> list[Line]:
    """Return lines of a grantor's time and memory and of the bytes of GrantAsks.

    Time and memory are by borrowers, bytes by GrantAsk messages.
    """
    times_us: list[tuple[float, float]] = []
    memory_kb: list[tuple[float, float]] = []
    ask_bytes: list[tuple[float, float]] = []
    for count in BORROWERS:
        memory_kb.append((count, memory_bytes(partial(_make_grantor, count)) / KB))
        grantor = _make_grantor(count)
        repeat = partial(_answer_second_asks, grantor, count)
        times_us.append((count, cpu_time_us(repeat) / count))
        asks = [_make_grant_ask(number, 1) for number in range(count)]
        ask_bytes.append((count, float(len(encode_body(asks)))))
    return [
        fit_line("grantor", "answer to an ask by borrowers", "us", times_us),
        fit_line("grantor", "grants in force by borrowers", "kB", memory_kb),
        fit_line("borrower", "bytes by asks", "B", ask_bytes),
    ]


def _make_grantor(borrowers: int) -> Grantor:
    grantor = Grantor("g", "g-1")
    for number in range(borrowers):
        grantor.answer(_make_grant_ask(number, 1), CAP, now_ms=0)
    return grantor


def _answer_second_asks(grantor: Grantor, borrowers: int) -> None:
    for number in range(borrowers):
        grantor.answer(_make_grant_ask(number, 2), CAP, now_ms=1)


def _make_grant_ask(number: int, ask_number: int) -> GrantAsk:
    name = f"lake-a-{number}"
    return GrantAsk(ask_number, name, f"{name}-1", "lake", "slotsvc", Rank.BULK, WANTED)
