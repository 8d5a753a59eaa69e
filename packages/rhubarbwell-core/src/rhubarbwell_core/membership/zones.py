"""Monitor the reachability of other zones by a few watchers per zone."""

from typing import NamedTuple

from rhubarbwell_core.hashing import rendezvous
from rhubarbwell_core.membership.members import MemberTable
from rhubarbwell_core.messages import PeerRecord, ZoneReach
from rhubarbwell_core.model import Identity

__all__ = ["WATCHERS_PER_ZONE", "ZoneWatch"]

WATCHERS_PER_ZONE = 2
FAILURES_UNTIL_UNREACHABLE = 2
REPORT_PERIOD_MS = 4_000
REPORT_MAX_AGE_MS = 15_000


class _Report(NamedTuple):
    reach: ZoneReach
    received_ms: int


class ZoneWatch:
    """Hold the watchers, probe results and reports on other zones.

    Rendezvous hashing assigns WATCHERS_PER_ZONE instances of this zone to each
    other zone.
    """

    def __init__(self, identity: Identity, members: MemberTable) -> None:
        self._identity = identity
        self._members = members
        self._watchers: dict[str, list[str]] = {}
        self._watchers_key: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._changes_seen = -1
        self._failures: dict[str, int] = {}
        self._probe_queue: list[str] = []
        self._reports: dict[str, dict[str, _Report]] = {}
        self._unreachable: set[str] = set()

    def watched_zones(self) -> list[str]:
        """Return the zones that this instance watches."""
        own_id = self._identity.instance_id
        watchers = self._current_watchers()
        return [zone for zone, ids in watchers.items() if own_id in ids]

    def next_target(self) -> PeerRecord | None:
        """Return the instance to probe next: failing zones first, then each in turn."""
        watched_zones = self.watched_zones()
        self._probe_queue = [
            zone for zone in self._probe_queue if zone in watched_zones
        ] or watched_zones
        if not self._probe_queue:
            return None
        failing = [zone for zone in self._probe_queue if self._failures.get(zone)]
        zone = failing[0] if failing else self._probe_queue[0]
        self._probe_queue = [other for other in self._probe_queue if other != zone]
        return self._target_in(zone)

    def record_answer(self, zone: str, now_ms: int) -> ZoneReach | None:
        """Reset a zone's failures; return a report that the zone is reachable, or None.

        Return None unless this instance's last report said unreachable."""
        self._failures.pop(zone, None)
        return self._make_report_if_due(zone, reachable=True, now_ms=now_ms)

    def record_failure(self, zone: str, now_ms: int) -> ZoneReach | None:
        """Count a failure; return a report on an unreachable zone if a report is due.

        A report is due if this instance has made none on the zone, if its last one
        says reachable, or if that is REPORT_PERIOD_MS old.
        """
        failures = self._failures.get(zone, 0) + 1
        self._failures[zone] = failures
        if failures < FAILURES_UNTIL_UNREACHABLE:
            return None
        return self._make_report_if_due(zone, reachable=False, now_ms=now_ms)

    def merge(self, reach: ZoneReach, now_ms: int) -> bool:
        """Store a watcher's report if the known one is older; return True if stored."""
        reports = self._reports.setdefault(reach.zone, {})
        known = reports.get(reach.watcher)
        if known is not None and known.reach.sequence >= reach.sequence:
            return False
        reports[reach.watcher] = _Report(reach, now_ms)
        return True

    def is_reachable(self, zone: str) -> bool:
        """Return True if the zone was reachable at the last update."""
        return zone not in self._unreachable

    def update(self, now_ms: int) -> list[str]:
        """Reevaluate reachability and return the zones for which it changed.

        A zone is unreachable while every watcher's latest report says so and is
        younger than REPORT_MAX_AGE_MS.
        """
        watchers = self._current_watchers()
        unreachable = {
            zone
            for zone in self._reports
            if self._is_unreachable(zone, watchers.get(zone, []), now_ms)
        }
        changed = unreachable ^ self._unreachable
        self._unreachable = unreachable
        return sorted(changed)

    def _is_unreachable(self, zone: str, watchers: list[str], now_ms: int) -> bool:
        reports = self._reports.get(zone)
        if not reports or not watchers:
            return False
        known_reports = [reports[name] for name in watchers if name in reports]
        return len(known_reports) == len(watchers) and all(
            not report.reach.reachable
            and now_ms - report.received_ms < REPORT_MAX_AGE_MS
            for report in known_reports
        )

    def _make_report_if_due(
        self, zone: str, *, reachable: bool, now_ms: int
    ) -> ZoneReach | None:
        own_id = self._identity.instance_id
        known = self._reports.get(zone, {}).get(own_id)
        sequence = 1
        if known is None and reachable:
            return None
        if known is not None:
            age_ms = now_ms - known.received_ms
            is_due = not reachable and age_ms >= REPORT_PERIOD_MS
            if known.reach.reachable == reachable and not is_due:
                return None
            sequence = known.reach.sequence + 1
        reach = ZoneReach(zone, own_id, sequence, reachable)
        self.merge(reach, now_ms)
        return reach

    def _target_in(self, zone: str) -> PeerRecord | None:
        live = {peer.instance_id: peer for peer in self._members.live_of_zone(zone)}
        if not live:
            return None
        candidates = rendezvous(self._identity.instance_id, live, len(live))
        index = self._failures.get(zone, 0) % len(candidates)
        return live[candidates[index]]

    def _current_watchers(self) -> dict[str, list[str]]:
        if self._changes_seen == self._members.changes:
            return self._watchers
        self._changes_seen = self._members.changes
        own_zone = self._identity.zone
        live = self._members.live_of_zone(own_zone)
        ids = tuple(peer.instance_id for peer in live)
        zones = tuple(zone for zone in self._members.zones() if zone != own_zone)
        if self._watchers_key != (ids, zones):
            self._watchers_key = (ids, zones)
            self._watchers = {
                zone: rendezvous(zone, ids, WATCHERS_PER_ZONE) for zone in zones
            }
        return self._watchers
