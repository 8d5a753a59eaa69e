"""Select the instance that reads the metadata store for others."""

from collections.abc import Sequence

from rhubarbwell_core.direct.instances import high_capacity_entries
from rhubarbwell_core.direct.model import InstanceEntry
from rhubarbwell_core.hashing import rendezvous

__all__ = ["ReaderSelector"]

# Time for which a reader that failed or was out of date is not selected.
EXCLUSION_MS = 3_000
# Maximum number of instances with one reader; beyond it, each region has its own.
MAX_SINGLE_READER_FLEET = 16


class ReaderSelector:
    """Select the instance to poll for changes of the metadata store's tables.

    One instance of a small fleet, or of each region of a large one, reads the store.
    The others follow it, so that calls to the store do not grow with the fleet. Readers
    are instances of high capacity: a change goes to all followers at once. Instances
    that fail, including this one, are excluded for a while.

    >>> from rhubarbwell_core.model import Address
    >>> here = Address("127.0.0.1", 1)
    >>> own = InstanceEntry("i-1", "x", "a-1", "a", here, here)
    >>> ReaderSelector(own).choose([], 0) is None
    True
    """

    def __init__(self, own: InstanceEntry) -> None:
        self._own = own
        self._excluded_until_ms: dict[str, int] = {}

    def choose(
        self, others: Sequence[InstanceEntry], now_ms: int, *, hint: str | None = None
    ) -> InstanceEntry | None:
        """Return the instance to poll, or None if this instance reads the store.

        hint is the id of an instance known to read the store, which goes first.
        """
        entries = self._candidates(others)
        order = self._preference_order(entries)
        if hint in entries and hint != self._own.instance_id:
            order.insert(0, hint)
        for instance_id in order:
            if self.is_excluded(instance_id, now_ms):
                continue
            if instance_id == self._own.instance_id:
                return None
            return entries[instance_id]
        return None

    def own_rank(self, others: Sequence[InstanceEntry]) -> int:
        """Return how many instances are preferred as reader over this instance."""
        return self._preference_order(self._candidates(others)).index(
            self._own.instance_id
        )

    def is_excluded(self, instance_id: str, now_ms: int) -> bool:
        """Return True if an instance is excluded."""
        return self._excluded_until_ms.get(instance_id, 0) > now_ms

    def exclude(self, instance_id: str, now_ms: int) -> None:
        """Exclude an instance that failed or is out of date for EXCLUSION_MS."""
        self._excluded_until_ms[instance_id] = now_ms + EXCLUSION_MS

    def _candidates(self, others: Sequence[InstanceEntry]) -> dict[str, InstanceEntry]:
        entries = {entry.instance_id: entry for entry in others if not entry.leaving}
        entries[self._own.instance_id] = self._own
        return entries

    def _preference_order(self, entries: dict[str, InstanceEntry]) -> list[str]:
        if len(entries) <= MAX_SINGLE_READER_FLEET:
            return _ranked_by_capacity(list(entries.values()))
        region = self._own.region
        in_region = [entry for entry in entries.values() if entry.region == region]
        elsewhere = [entry for entry in entries.values() if entry.region != region]
        return [*_ranked_by_capacity(in_region), *_ranked_by_capacity(elsewhere)]


def _ranked_by_capacity(entries: Sequence[InstanceEntry]) -> list[str]:
    """Return the ids, those of high capacity first, else by rendezvous hashing."""
    high = {entry.instance_id for entry in high_capacity_entries(entries)}
    ids = [entry.instance_id for entry in entries]
    ranked = rendezvous("store reader", ids, len(ids))
    return sorted(ranked, key=lambda name: name not in high)
