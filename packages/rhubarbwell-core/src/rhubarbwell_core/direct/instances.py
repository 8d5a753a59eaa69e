"""Track the live entry instances and choose those offered to callers."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rhubarbwell_core.direct.heartbeats import (
    HeartbeatClock,
    HeartbeatDelays,
    SignOfLife,
)
from rhubarbwell_core.direct.model import InstanceEntry
from rhubarbwell_core.engine import Table
from rhubarbwell_core.model import Address

__all__ = ["InstanceTable", "high_capacity_entries"]

MAX_OFFERED = 64
# With fewer addresses, more instances of the caller's region are offered.
MIN_OFFERED = 2
# A follower that its reader no longer lists may have just switched readers.
DROPPED_GRACE_MS = 2_000
# A listing holds the rows of crashed instances too. Live ones are confirmed by the next
# heartbeat of a reader, which follows within 2.4 s.
LISTED_GRACE_MS = 2_500
# Instances with at least this share of the maximum capacity are offered first: callers
# spread evenly over the offered addresses, which would overload smaller instances.
MIN_CAPACITY_SHARE = 0.5
# The followers that a live reader lists are live. It sends the next list within this
# time even if the store performs its writes late.
MAX_LIST_AGE_MS = 10_000
# A held instance that is silent for this time is removed, like the rows of others.
HELD_SILENCE_MS = 60_000
# Earlier incarnations of an instance, and removed instances, whose rows are recognized.
MAX_EARLIER_INCARNATIONS = 8
MAX_REMOVED = 1_024


class _EarlierIncarnation(NamedTuple):
    """Hold the last beat of an incarnation and the clock of its heartbeats."""

    beat: int
    clock: HeartbeatClock


class _InstanceState:
    __slots__ = (
        "clock",
        "confirmed_by",
        "earlier",
        "entry",
        "is_busy",
        "is_held",
        "last_seen_ms",
        "last_sent_ms",
        "row_seen_ms",
    )

    def __init__(self, entry: InstanceEntry, last_seen_ms: int) -> None:
        self.entry = entry
        # When a sign of life last arrived, and when the newest one was sent.
        self.last_seen_ms = last_seen_ms
        self.last_sent_ms = last_seen_ms
        # When the row of this entry arrived.
        self.row_seen_ms = last_seen_ms
        self.is_busy = False
        self.confirmed_by = ""
        self.clock = HeartbeatClock()
        # The earlier incarnations by name, the newest one last.
        self.earlier: dict[str, _EarlierIncarnation] = {}
        # True if the store no longer lists the instance, and may have lost its row.
        self.is_held = False

    def is_newer(self, entry: InstanceEntry) -> bool:
        """Return True if an entry was written after the one that is known.

        An incarnation that beats on after another one was seen is the later one: the
        other's row came late, or from a copy of the store.
        """
        if entry.incarnation == self.entry.incarnation:
            return entry.beat > self.entry.beat
        earlier = self.earlier.get(entry.incarnation)
        return earlier is None or entry.beat > earlier.beat

    def take_over(self, before: "_InstanceState") -> None:
        """Take over what was known before this entry: clocks and signs of life."""
        incarnations = dict(before.earlier)
        last = _EarlierIncarnation(before.entry.beat, before.clock)
        incarnations[before.entry.incarnation] = last
        same = incarnations.pop(self.entry.incarnation, None)
        if same is not None:
            self.clock = same.clock
            self.last_sent_ms = before.last_sent_ms
        newest = list(incarnations.items())[-MAX_EARLIER_INCARNATIONS:]
        self.earlier = dict(newest)

    def is_live(self, oldest: SignOfLife) -> bool:
        """Return True if there was a sign of life after the oldest one that counts."""
        return (
            self.last_seen_ms >= oldest.seen_ms and self.last_sent_ms >= oldest.sent_ms
        )

    def confirm(self, now_ms: int, sent_ms: int) -> None:
        """Record a sign of life that was sent at sent_ms and arrives now."""
        self.last_seen_ms = now_ms
        self.last_sent_ms = max(self.last_sent_ms, sent_ms)


class InstanceTable:
    """Store the registered entry instances and track which of them are live.

    An instance is live while its own heartbeats continue, a reader lists it as a
    follower in its heartbeats, or it polls this instance as a follower. While no
    registrations arrive at all, the state of the other instances does not change.

    The store may perform the last heartbeat of an instance seconds after its end. So
    heartbeats count from when they were sent, unless the store performs those of all
    instances late.
    """

    def __init__(self, own: InstanceEntry, *, liveness_timeout_ms: int) -> None:
        self.own = own
        self.own_is_busy = False
        self._liveness_timeout_ms = liveness_timeout_ms
        self._rows = Table[str, _InstanceState]("entry instances")
        self._removed = OrderedDict[str, _InstanceState]()
        self._synced_ms = 0
        self._own_confirmed_ms = -liveness_timeout_ms
        self._own_clock = HeartbeatClock()
        self._delays = HeartbeatDelays()

    def put(self, entry: InstanceEntry, now_ms: int) -> None:
        """Add or update an instance from its registration or heartbeat.

        Ignores an entry that is older than the known one: the store may perform a
        write that got no response after later writes, or come back from a copy.
        """
        if entry.instance_id == self.own.instance_id:
            if entry.incarnation == self.own.incarnation:
                self._sent_ms(self._own_clock, entry, now_ms)
            return
        removed = self._removed.pop(entry.instance_id, None)
        if removed is not None:
            # Without a newer entry, it is as silent as before.
            removed.is_held = False
            self._rows.put(entry.instance_id, removed)
        known = self._rows.get(entry.instance_id)
        if known is not None and not known.is_newer(entry):
            known.is_held = False
            return
        self._synced_ms = now_ms
        if known is not None:
            self._expire_dropped_followers(entry, known.entry, now_ms)
        state = _InstanceState(entry, now_ms)
        state.is_busy = entry.instance_id in entry.busy
        if known is not None:
            state.take_over(known)
        sent_ms = self._sent_ms(state.clock, entry, now_ms)
        state.confirm(now_ms, sent_ms)
        self._rows.put(entry.instance_id, state)
        self._confirm_followers(entry, now_ms, sent_ms)

    def put_listed(self, entries: Iterable[InstanceEntry], now_ms: int) -> None:
        """Add the instances of the first listing, whose ages are unknown.

        They count as live for LISTED_GRACE_MS unless they are confirmed.
        """
        entries = list(entries)
        for entry in entries:
            self.put(entry, now_ms)
        grace_end_ms = now_ms - self._liveness_timeout_ms + LISTED_GRACE_MS
        for entry in entries:
            state = self._rows.get(entry.instance_id)
            if state is not None and not state.confirmed_by:
                state.last_seen_ms = min(state.last_seen_ms, grace_end_ms)

    def remove(self, instance_id: str) -> None:
        """Remove an instance whose registration was deleted."""
        state = self._rows.get(instance_id)
        if state is None:
            return
        self._rows.remove(instance_id)
        self._removed[instance_id] = state
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)

    def hold(self, instance_id: str) -> None:
        """Keep an instance whose registration the store may have lost.

        It goes on as before until it is silent for HELD_SILENCE_MS.
        """
        state = self._rows.get(instance_id)
        if state is not None:
            state.is_held = True

    def remove_held(self) -> None:
        """Remove the held instances that are silent for HELD_SILENCE_MS."""
        oldest_ms = self._synced_ms - HELD_SILENCE_MS
        for key, state in list(self._rows.items()):
            if state.is_held and state.last_seen_ms < oldest_ms:
                self.remove(key)

    def mark_synced(self, now_ms: int) -> None:
        """Record that all registrations up to a time have been received."""
        self._synced_ms = max(self._synced_ms, now_ms)

    def confirm_follower(self, instance_id: str, is_busy: bool, now_ms: int) -> None:
        """Record a poll by a follower of this instance as a sign of life."""
        state = self._rows.get(instance_id)
        if state is not None:
            state.confirm(now_ms, now_ms)
            state.is_busy = is_busy
            state.confirmed_by = self.own.instance_id

    def confirm_reader(self, instance_id: str, now_ms: int) -> None:
        """Record an answer of this instance's reader as a sign of life.

        It is one of the followers too that the reader has listed last: their heartbeats
        are those of the reader, which the store may perform late.
        """
        reader = self._rows.get(instance_id)
        if reader is None:
            return
        reader.confirm(now_ms, now_ms)
        if now_ms - reader.row_seen_ms > MAX_LIST_AGE_MS:
            return
        for name in reader.entry.followers:
            state = self._rows.get(name)
            if state is not None and state.confirmed_by == instance_id:
                state.confirm(now_ms, now_ms)

    @property
    def own_confirmed_ms(self) -> int:
        """Return the time in ms at which a reader last listed this instance.

        A reader lists its followers in its heartbeats.
        """
        return self._own_confirmed_ms

    def live(self) -> list[InstanceEntry]:
        """Return the other live instances, including those that are leaving."""
        return [state.entry for state in self._live_states()]

    def live_ids(self) -> list[str]:
        """Return the ids of all live instances, including this one."""
        return sorted([self.own.instance_id, *(e.instance_id for e in self.live())])

    def sender_ids(self) -> list[str]:
        """Return the ids of the instances that may send requests, including this one.

        These are all registered instances: one that is silent may only be slow or cut
        off from the store. Only those that announced that they leave and then fell
        silent are excluded.
        """
        return sorted(entry.instance_id for entry in self._sender_entries())

    def budget_instance_ids(self) -> list[str]:
        """Return the ids of the instances that share the fleet's budgets.

        These are the high-capacity instances of each region, because callers are
        offered those. As long as it is registered, a silent instance keeps its share,
        so that the shares add up to the budget although views of the fleet differ.
        """
        return [entry.instance_id for entry in self.budget_entries()]

    def budget_entries(self) -> list[InstanceEntry]:
        """Return the instances that share the fleet's budgets, ordered by id."""
        by_region = defaultdict[str, list[InstanceEntry]](list)
        for entry in self._sender_entries():
            by_region[entry.region].append(entry)
        high_capacity = [
            high_capacity_entries(entries) for entries in by_region.values()
        ]
        entries = [entry for part in high_capacity for entry in part]
        return sorted(entries, key=lambda entry: entry.instance_id)

    def capacity_by_region(self) -> dict[str, float]:
        """Return the total capacity in requests per second of each region."""
        by_region = defaultdict[str, float](float)
        for entry in [self.own, *self.live()]:
            by_region[entry.region] += entry.capacity
        return dict(by_region)

    def expired_ids(self, silent_ms: int) -> list[str]:
        """Return the ids of instances not heard of for over silent_ms milliseconds."""
        oldest_ms = self._synced_ms - silent_ms
        return [
            key
            for key, state in self._rows.items()
            if state.last_seen_ms < oldest_ms and not state.is_held
        ]

    def offered_addresses(
        self, zone: str, region: str, own_ready: bool
    ) -> Sequence[Address]:
        """Return the addresses that a caller in the zone should use.

        Only the high-capacity instances of the zone are offered, unless they are too
        few or the event loop of one of them lags.
        """
        rows = [state for state in self._live_states() if not state.entry.leaving]
        if own_ready:
            own = _InstanceState(self.own, self._synced_ms)
            own.is_busy = self.own_is_busy
            rows.append(own)
        in_region = [state for state in rows if state.entry.region == region] or rows
        names = {
            e.instance_id
            for e in high_capacity_entries([state.entry for state in in_region])
        }
        high_capacity = [
            state for state in in_region if state.entry.instance_id in names
        ]
        chosen = [state for state in high_capacity if state.entry.zone == zone]
        if len(chosen) < MIN_OFFERED:
            chosen = high_capacity
        if len(chosen) < MIN_OFFERED or any(state.is_busy for state in chosen):
            chosen = [state for state in in_region if state.entry.zone == zone]
        if len(chosen) < MIN_OFFERED:
            chosen = in_region
        return [state.entry.callers for state in chosen[:MAX_OFFERED]]

    def _live_states(self) -> list[_InstanceState]:
        oldest = self._oldest_live()
        return [state for state in self._rows.rows() if state.is_live(oldest)]

    def _oldest_live(self) -> SignOfLife:
        """Return the oldest sign of life with which an instance is live."""
        seen_ms = self._synced_ms - self._liveness_timeout_ms
        return self._delays.oldest_live(seen_ms, self._synced_ms)

    def _sent_ms(self, clock: HeartbeatClock, entry: InstanceEntry, now_ms: int) -> int:
        """Return when a heartbeat that arrives now was sent; now if it is unknown."""
        delay_ms = clock.delay_ms(entry.beat, now_ms)
        if delay_ms is None:
            return now_ms
        sent_ms = now_ms - delay_ms
        self._delays.record(sent_ms, now_ms)
        return sent_ms

    def _sender_entries(self) -> list[InstanceEntry]:
        oldest = self._oldest_live()
        others = [
            state.entry
            for state in self._rows.rows()
            if state.is_live(oldest) or not state.entry.leaving
        ]
        return [self.own, *others]

    def _expire_dropped_followers(
        self, entry: InstanceEntry, before: InstanceEntry, now_ms: int
    ) -> None:
        """Let followers that an entry no longer lists expire after a grace period."""
        for name in set(before.followers) - set(entry.followers):
            state = self._rows.get(name)
            if state is not None and state.confirmed_by == entry.instance_id:
                grace_end_ms = now_ms - self._liveness_timeout_ms + DROPPED_GRACE_MS
                state.last_seen_ms = min(state.last_seen_ms, grace_end_ms)

    def _confirm_followers(
        self, entry: InstanceEntry, now_ms: int, sent_ms: int
    ) -> None:
        for name in entry.followers:
            if name == self.own.instance_id:
                counted_ms = self._delays.counted_ms(sent_ms, now_ms)
                self._own_confirmed_ms = max(self._own_confirmed_ms, counted_ms)
                continue
            state = self._rows.get(name)
            if state is not None:
                state.confirm(now_ms, sent_ms)
                state.is_busy = name in entry.busy
                state.confirmed_by = entry.instance_id


def high_capacity_entries(entries: Sequence[InstanceEntry]) -> list[InstanceEntry]:
    """Return the entries with at least MIN_CAPACITY_SHARE of the maximum capacity."""
    max_capacity = max((entry.capacity for entry in entries), default=0.0)
    return [e for e in entries if e.capacity >= MIN_CAPACITY_SHARE * max_capacity]
