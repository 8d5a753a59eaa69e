"""The object store."""

from abc import ABC, abstractmethod

__all__ = ["ObjectStore"]


class ObjectStore(ABC):
    """Keep texts under keys; a key names one text for good."""

    @abstractmethod
    async def get(self, key: str) -> str:
        """Return the text; raise MissingObjectError or UnavailableError."""

    @abstractmethod
    async def put(self, key: str, text: str) -> None:
        """Keep the text; the same put again changes nothing.

        Raises ConflictError if another text is under the key, UnavailableError
        and AnswerLostError.
        """
