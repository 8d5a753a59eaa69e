"""An object store in memory."""

from rhubarbwell_platform.errors import ConflictError, MissingObjectError
from rhubarbwell_platform.services import ObjectStore

__all__ = ["MemoryObjectStore"]


class MemoryObjectStore(ObjectStore):
    """Keep texts in memory."""

    def __init__(self) -> None:
        self._texts: dict[str, str] = {}

    async def get(self, key: str) -> str:
        """Return the text; raise MissingObjectError."""
        if key not in self._texts:
            raise MissingObjectError(key)
        return self._texts[key]

    async def put(self, key: str, text: str) -> None:
        """Keep the text; raise ConflictError if another is under the key."""
        if self._texts.setdefault(key, text) != text:
            raise ConflictError(key)
