"""Exceptions raised by the decision core."""

__all__ = [
    "DECODING_ERRORS",
    "DuplicateRowError",
    "MissingRowError",
    "RhubarbwellError",
]

# What parsing JSON of unknown origin and converting its fields can raise: values of
# other types, missing fields, nesting beyond the stack, numbers beyond a float.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class RhubarbwellError(Exception):
    """Base of every exception that rhubarbwell raises."""


class DuplicateRowError(RhubarbwellError):
    """Report that a table already holds a row with the key."""


class MissingRowError(RhubarbwellError):
    """Report that a table holds no row with the key."""
