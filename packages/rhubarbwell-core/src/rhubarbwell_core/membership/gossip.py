"""Queue updates until heartbeats carry them."""

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

__all__ = ["GossipQueue"]

K = TypeVar("K", bound=Hashable)
T = TypeVar("T")


class _QueuedItem(NamedTuple, Generic[T]):
    item: T
    sends_left: int


class GossipQueue(Generic[K, T]):
    """Store items that are each sent a bounded number of times, newest first.

    >>> queue = GossipQueue[str, str](sends=2)
    >>> queue.put("a", "a left")
    >>> queue.put("b", "b joined")
    >>> queue.take(1), queue.take(9), queue.take(9), queue.take(9)
    (('b joined',), ('a left', 'b joined'), ('a left',), ())
    """

    def __init__(self, *, sends: int) -> None:
        self._sends = sends
        self._queued: dict[K, _QueuedItem[T]] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, key: K, item: T) -> None:
        """Add an item in place of any older one under the key."""
        self._queued.pop(key, None)
        self._queued[key] = _QueuedItem(item, self._sends)

    def clear(self) -> None:
        """Remove all items."""
        self._queued.clear()

    def take(self, limit: int) -> tuple[T, ...]:
        """Return at most limit items and count the sends.

        Items sent least often come first, newer ones before older ones.
        """
        newest_first = list(reversed(self._queued.items()))
        newest_first.sort(key=lambda item: -item[1].sends_left)
        taken = newest_first[:limit]
        for key, queued in taken:
            self._count_send(key, queued)
        return tuple(queued.item for _, queued in taken)

    def _count_send(self, key: K, queued: _QueuedItem[T]) -> None:
        if queued.sends_left == 1:
            del self._queued[key]
            return
        self._queued[key] = _QueuedItem(queued.item, queued.sends_left - 1)
