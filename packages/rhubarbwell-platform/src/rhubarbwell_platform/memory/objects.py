"""In-memory object store."""

from rhubarbwell_platform.errors import ConflictError, MissingObjectError
from rhubarbwell_platform.services import ObjectStore

__all__ = ["MemoryObjectStore"]


class MemoryObjectStore(ObjectStore):
    """Store texts in memory."""

    def __init__(self) -> None:
        self._texts: dict[str, str] = {}

    async def get(self, key: str) -> str:
        """Return the text of a key; raise MissingObjectError if none is stored."""
        if key not in self._texts:
            raise MissingObjectError(key)
        return self._texts[key]

    async def put(self, key: str, text: str) -> None:
        """Store a text; raise ConflictError if the key holds another text."""
        if self._texts.setdefault(key, text) != text:
            raise ConflictError(key)
