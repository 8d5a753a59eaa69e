"""Watch over other zones by the few instances whom the hash names for each."""

from rhubarbwell_core.membership.members import MemberTable
from rhubarbwell_core.membership.rendezvous import rendezvous
from rhubarbwell_core.messages import PeerHeard, ZoneReach
from rhubarbwell_core.model import Identity

__all__ = ["WATCHERS_PER_ZONE", "ZoneWatch"]

WATCHERS_PER_ZONE = 2
FAILURES_UNTIL_UNREACHABLE = 2


class ZoneWatch:
    """Choose whom to probe in other zones and judge which zones answer."""

    def __init__(self, identity: Identity, members: MemberTable) -> None:
        self._identity = identity
        self._members = members
        self._watchers: dict[str, list[str]] = {}
        self._watchers_key: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._failures: dict[str, int] = {}
        self._queue: list[str] = []
        self._reports: dict[str, dict[str, ZoneReach]] = {}

    def watched(self) -> list[str]:
        """Return the zones that this instance watches."""
        own_id = self._identity.instance_id
        watchers = self._current_watchers()
        return [zone for zone, ids in watchers.items() if own_id in ids]

    def next_target(self) -> PeerHeard | None:
        """Return the instance to probe next: of failing zones first, then in turn."""
        watched = self.watched()
        self._queue = [zone for zone in self._queue if zone in watched] or watched
        if not self._queue:
            return None
        failing = [zone for zone in self._queue if self._failures.get(zone)]
        zone = failing[0] if failing else self._queue[0]
        self._queue = [other for other in self._queue if other != zone]
        return self._target(zone)

    def answered(self, zone: str) -> ZoneReach | None:
        """Count an answer; return a report if the zone was unreachable."""
        self._failures.pop(zone, None)
        return self._report(zone, reachable=True)

    def failed(self, zone: str) -> ZoneReach | None:
        """Count a failure; return a report if the zone has become unreachable."""
        failures = self._failures.get(zone, 0) + 1
        self._failures[zone] = failures
        if failures < FAILURES_UNTIL_UNREACHABLE:
            return None
        return self._report(zone, reachable=False)

    def merge(self, reach: ZoneReach) -> bool:
        """Take in a zone peer's report; return False if a newer one is known."""
        reports = self._reports.setdefault(reach.zone, {})
        known = reports.get(reach.watcher)
        if known is not None and known.sequence >= reach.sequence:
            return False
        reports[reach.watcher] = reach
        return True

    def is_reachable(self, zone: str) -> bool:
        """Return whether any watcher can reach the zone or has not yet said."""
        if zone == self._identity.zone:
            return True
        reports = self._reports.get(zone, {})
        watchers = self._current_watchers().get(zone, ())
        said = [reports[name].reachable for name in watchers if name in reports]
        return any(said) or len(said) < len(watchers)

    def _report(self, zone: str, *, reachable: bool) -> ZoneReach | None:
        own_id = self._identity.instance_id
        known = self._reports.get(zone, {}).get(own_id)
        was_reachable = known is None or known.reachable
        if was_reachable == reachable:
            return None
        sequence = 1 if known is None else known.sequence + 1
        reach = ZoneReach(zone, own_id, sequence, reachable)
        self.merge(reach)
        return reach

    def _target(self, zone: str) -> PeerHeard | None:
        live = {peer.instance_id: peer for peer in self._members.live_of_zone(zone)}
        if not live:
            return None
        order = rendezvous(self._identity.instance_id, live, len(live))
        place = self._failures.get(zone, 0) % len(order)
        return live[order[place]]

    def _current_watchers(self) -> dict[str, list[str]]:
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
