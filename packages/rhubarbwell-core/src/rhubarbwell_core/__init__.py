"""Decision core of rhubarbwell: tables, systems and protocols without I/O."""

from rhubarbwell_core.core import Core
from rhubarbwell_core.errors import (
    DuplicateRowError,
    MissingRowError,
    RhubarbwellError,
)

__all__ = ["Core", "DuplicateRowError", "MissingRowError", "RhubarbwellError"]
