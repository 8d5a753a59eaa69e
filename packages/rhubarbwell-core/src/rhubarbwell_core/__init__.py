"""Decision core of rhubarbwell: tables, systems and protocols without I/O."""

from typing import TYPE_CHECKING, Any

from rhubarbwell_core.errors import (
    DuplicateRowError,
    MissingRowError,
    RhubarbwellError,
)

if TYPE_CHECKING:
    from rhubarbwell_core.core import Core

__all__ = ["Core", "DuplicateRowError", "MissingRowError", "RhubarbwellError"]


def __getattr__(name: str) -> Any:
    # Loaded on first use: instances in direct forwarding start without Core.
    if name == "Core":
        from rhubarbwell_core.core import Core

        return Core
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
