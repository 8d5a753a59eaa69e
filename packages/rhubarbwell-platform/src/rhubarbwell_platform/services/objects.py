"""Interface of the object store."""

from abc import ABC, abstractmethod

__all__ = ["ObjectStore"]


class ObjectStore(ABC):
    """Store immutable texts under keys."""

    @abstractmethod
    async def get(self, key: str) -> str:
        """Return the text of an object.

        Raises MissingObjectError or UnavailableError.
        """

    @abstractmethod
    async def put(self, key: str, text: str) -> None:
        """Store a text under a key; repeating the call has no effect.

        Raises UnavailableError, AnswerLostError, and ConflictError if the key
        already holds another text.
        """
