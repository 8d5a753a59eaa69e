"""Track the era of the metadata store, which rises when it returns from a copy."""

from collections.abc import Callable

__all__ = ["EraTracker", "StoreEraError"]


class StoreEraError(ValueError):
    """Report an era that is invalid or lower than one seen before."""


class EraTracker:
    """Store the newest era of the metadata store that an instance has seen.

    >>> eras, changes = EraTracker(), []
    >>> eras.subscribe(lambda old, new: changes.append((old, new)))
    >>> for era in (3, 3, 4):
    ...     eras.observe(era)
    >>> eras.current, changes
    (4, [(3, 4)])
    """

    def __init__(self) -> None:
        self.current = 0
        self._is_known = False
        self._subscribers: list[Callable[[int, int], None]] = []

    def subscribe(self, on_change: Callable[[int, int], None]) -> None:
        """Call on_change with the old and new era whenever the era has risen.

        The first era that is seen is no change.
        """
        self._subscribers.append(on_change)

    def observe(self, era: int) -> None:
        """Record an era that the store named; raise StoreEraError for a lower one."""
        if era < self.current:
            raise StoreEraError(
                f"the store's era {era} is lower than {self.current}, seen before"
            )
        old, self.current = self.current, era
        was_known, self._is_known = self._is_known, True
        if era > old and was_known:
            for on_change in self._subscribers:
                on_change(old, era)
