"""The entry instances that run, and those that a caller is offered."""

from collections.abc import Sequence
from typing import NamedTuple

from rhubarbwell_core.direct.model import InstanceEntry
from rhubarbwell_core.engine import Table
from rhubarbwell_core.model import Address

__all__ = ["InstanceTable"]

MAX_OFFERED = 64
# Fewer addresses than this are filled up from the caller's region.
MIN_OFFERED = 2


class _Seen(NamedTuple):
    entry: InstanceEntry
    seen_ms: int


class InstanceTable:
    """Know which entry instances registered and which of them still run.

    An instance runs while its beats go on. While this instance hears no beats of
    anybody, it takes the others' state as it was.
    """

    def __init__(self, own: InstanceEntry, *, silence_ms: int) -> None:
        self.own = own
        self._silence_ms = silence_ms
        self._rows = Table[str, _Seen]("entry instances")
        self._heard_ms = 0

    def put(self, entry: InstanceEntry, now_ms: int) -> None:
        """Take in a registration or a beat."""
        if entry.instance_id == self.own.instance_id:
            return
        known = self._rows.get(entry.instance_id)
        if known is not None and known.entry == entry:
            return
        self._rows.put(entry.instance_id, _Seen(entry, now_ms))
        self._heard_ms = now_ms

    def remove(self, instance_id: str) -> None:
        """Forget an instance whose registration is gone."""
        self._rows.remove(instance_id)

    def heard(self, now_ms: int) -> None:
        """Note that the registrations are known as of now."""
        self._heard_ms = now_ms

    def live(self) -> list[InstanceEntry]:
        """Return the other instances that run, those that leave included."""
        oldest_ms = self._heard_ms - self._silence_ms
        return [seen.entry for seen in self._rows.rows() if seen.seen_ms >= oldest_ms]

    def live_ids(self) -> list[str]:
        """Return the ids of the instances that run, the own one included."""
        return sorted([self.own.instance_id, *(e.instance_id for e in self.live())])

    def lapsed(self, forget_ms: int) -> list[str]:
        """Return the ids of instances that have been silent for forget_ms."""
        oldest_ms = self._heard_ms - forget_ms
        return [key for key, seen in self._rows.items() if seen.seen_ms < oldest_ms]

    def offered(self, zone: str, region: str, own_ready: bool) -> Sequence[Address]:
        """Return the addresses that a caller of the zone is to use."""
        ready = [entry for entry in self.live() if not entry.leaving]
        if own_ready:
            ready.append(self.own)
        near = [entry for entry in ready if entry.zone == zone]
        if len(near) < MIN_OFFERED:
            near = [entry for entry in ready if entry.region == region]
        chosen = near or ready
        return [entry.callers for entry in chosen[:MAX_OFFERED]]
