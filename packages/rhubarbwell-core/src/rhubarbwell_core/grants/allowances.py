"""Field-by-field arithmetic on allowances."""

from collections.abc import Iterable

from rhubarbwell_core.messages import Allowance

__all__ = [
    "fieldwise_max",
    "fieldwise_min",
    "fits_within",
    "remaining_allowance",
    "scale_allowance",
    "sum_allowances",
]


def sum_allowances(allowances: Iterable[Allowance]) -> Allowance:
    """Return the sum of allowances.

    >>> sum_allowances([Allowance(1, 2, 3), Allowance(1, 0, 0)])
    Allowance(concurrent=2, request_bytes_per_s=2, response_bytes_per_s=3)
    """
    return Allowance(*map(sum, zip(Allowance(), *allowances, strict=True)))


def fieldwise_max(allowances: Iterable[Allowance]) -> Allowance:
    """Return the maximum of each field, 0 if there are no allowances."""
    return Allowance(*map(max, zip(Allowance(), *allowances, strict=True)))


def fieldwise_min(first: Allowance, second: Allowance) -> Allowance:
    """Return the minimum of each field."""
    return Allowance(*map(min, first, second))


def remaining_allowance(cap: Allowance, reserved: Allowance) -> Allowance:
    """Return the cap less the reserved allowance, at least 0 in each field.

    >>> remaining_allowance(Allowance(3, 10, 10), Allowance(1, 20, 4))
    Allowance(concurrent=2, request_bytes_per_s=0, response_bytes_per_s=6)
    """
    return Allowance(*(max(0, a - b) for a, b in zip(cap, reserved, strict=True)))


def scale_allowance(allowance: Allowance, fraction: float) -> Allowance:
    """Return the allowance times the fraction, rounded down."""
    return Allowance(*(int(number * fraction) for number in allowance))


def fits_within(allowance: Allowance, cap: Allowance) -> bool:
    """Return True if no field exceeds the same field of the cap."""
    return all(a <= b for a, b in zip(allowance, cap, strict=True))
