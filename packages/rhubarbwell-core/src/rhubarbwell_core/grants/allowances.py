"""Arithmetic on allowances, field by field."""

from collections.abc import Iterable

from rhubarbwell_core.messages import Allowance

__all__ = [
    "allowance_left",
    "fits_within",
    "largest_allowance",
    "scale_allowance",
    "smallest_allowance",
    "sum_allowances",
]


def sum_allowances(allowances: Iterable[Allowance]) -> Allowance:
    """Add allowances up.

    >>> sum_allowances([Allowance(1, 2, 3), Allowance(1, 0, 0)])
    Allowance(concurrent=2, request_bytes_per_s=2, response_bytes_per_s=3)
    """
    return Allowance(*map(sum, zip(Allowance(), *allowances, strict=True)))


def largest_allowance(allowances: Iterable[Allowance]) -> Allowance:
    """Return the largest number of each field, 0 without allowances."""
    return Allowance(*map(max, zip(Allowance(), *allowances, strict=True)))


def smallest_allowance(first: Allowance, second: Allowance) -> Allowance:
    """Return the smaller number of each field."""
    return Allowance(*map(min, first, second))


def allowance_left(cap: Allowance, taken: Allowance) -> Allowance:
    """Return what the cap leaves beside what is taken, at least 0.

    >>> allowance_left(Allowance(3, 10, 10), Allowance(1, 20, 4))
    Allowance(concurrent=2, request_bytes_per_s=0, response_bytes_per_s=6)
    """
    return Allowance(*(max(0, a - b) for a, b in zip(cap, taken, strict=True)))


def scale_allowance(allowance: Allowance, part: float) -> Allowance:
    """Return the part of an allowance, rounded down."""
    return Allowance(*(int(number * part) for number in allowance))


def fits_within(allowance: Allowance, cap: Allowance) -> bool:
    """Tell whether no field passes the cap's."""
    return all(a <= b for a, b in zip(allowance, cap, strict=True))
