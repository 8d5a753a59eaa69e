"""News that wait to ride on heartbeats."""

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

__all__ = ["NewsQueue"]

K = TypeVar("K", bound=Hashable)
N = TypeVar("N")


class _Waiting(NamedTuple, Generic[N]):
    news: N
    sends_left: int


class NewsQueue(Generic[K, N]):
    """Give each piece of news a bounded number of sends, newest first.

    >>> queue = NewsQueue[str, str](sends=2)
    >>> queue.put("a", "a left")
    >>> queue.put("b", "b joined")
    >>> queue.take(1), queue.take(9), queue.take(9), queue.take(9)
    (('b joined',), ('a left', 'b joined'), ('a left',), ())
    """

    def __init__(self, *, sends: int) -> None:
        self._sends = sends
        self._waiting: dict[K, _Waiting[N]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, key: K, news: N) -> None:
        """Queue news in place of older ones under the key."""
        self._waiting.pop(key, None)
        self._waiting[key] = _Waiting(news, self._sends)

    def clear(self) -> None:
        """Drop all news."""
        self._waiting.clear()

    def take(self, limit: int) -> tuple[N, ...]:
        """Return at most limit news, those sent least often first."""
        newest_first = list(reversed(self._waiting.items()))
        newest_first.sort(key=lambda item: -item[1].sends_left)
        taken = newest_first[:limit]
        for key, waiting in taken:
            self._count_send(key, waiting)
        return tuple(waiting.news for _, waiting in taken)

    def _count_send(self, key: K, waiting: _Waiting[N]) -> None:
        if waiting.sends_left == 1:
            del self._waiting[key]
            return
        self._waiting[key] = _Waiting(waiting.news, waiting.sends_left - 1)
