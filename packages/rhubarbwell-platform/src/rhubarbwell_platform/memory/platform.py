"""In-memory platform."""

from rhubarbwell_platform.memory.instances import MemoryInstanceList
from rhubarbwell_platform.memory.objects import MemoryObjectStore
from rhubarbwell_platform.memory.tables import MemoryTableService
from rhubarbwell_platform.services import Platform

__all__ = ["memory_platform"]


def memory_platform() -> Platform:
    """Return an empty platform in memory."""
    return Platform(MemoryTableService(), MemoryObjectStore(), MemoryInstanceList())
