"""Measure how the fleet behaves in failure scenarios and how fast it recovers."""

from typing import NamedTuple

from rhubarbwell_core.messages import PeerState

from benchmarks.control.fleet import Fleet

__all__ = ["SCENARIOS", "Recovery", "make_joined_fleet"]

ZONES = ("ra-1", "ra-2", "rb-1", "rb-2", "rc-1", "rc-2")
HOUR_MS = 3_600_000
SLOW_STORE_DELAY_MS = 3_000
STUCK_STORE_DELAY_MS = 60_000
LIST_LAG_MS = 60_000
RECOVERY_TIMEOUT_MS = 300_000


class Recovery(NamedTuple):
    """Hold the result of a failure scenario.

    ready_meanwhile is the share of ready instances and in_force_meanwhile is True
    if the scenario publishes during the failure and every instance has this publish
    in force; both are taken right before the repair. replaced_ready_ms is the time
    from the start of the new instances until they are ready, -1 if the scenario does
    not measure it; recovered_ms is the time from the repair until all are ready, know
    each other and have a new publish in force.
    """

    scenario: str
    ready_meanwhile: float
    in_force_meanwhile: bool
    replaced_ready_ms: int
    recovered_ms: int


def make_joined_fleet(seed: int = 1) -> Fleet:
    """Return a fleet of 12 instances in 6 zones, all ready and known to each other."""
    fleet = Fleet(seed=seed)
    fleet.store.publish({"deployment": "{}"})
    for zone in ZONES:
        for number in range(2):
            fleet.add(f"{zone}-{number}", zone)
    fleet.run_until(lambda: fleet.all_ready() and fleet.converged(), 60_000)
    return fleet


def replace_zone_without_platform() -> Recovery:
    """Replace all instances of a zone at once while the platform is down."""
    fleet = make_joined_fleet()
    fleet.store.is_down = True
    ready_ms = _replace_zone(fleet, "rb-1")
    return _repair_and_measure(fleet, "zone replaced, platform down", ready_ms)


def slow_store_for_an_hour() -> Recovery:
    """Delay every answer of the store by 3 s for an hour."""
    fleet = make_joined_fleet()
    fleet.store.delay_ms = SLOW_STORE_DELAY_MS
    version = fleet.store.publish({"deployment": "slow"})
    fleet.run(HOUR_MS)
    return _repair_and_measure(fleet, "store slow for an hour", -1, version)


def hang_store_for_an_hour() -> Recovery:
    """Delay store answers by 60 s, beyond the callers' timeouts, for an hour."""
    fleet = make_joined_fleet()
    fleet.store.delay_ms = STUCK_STORE_DELAY_MS
    version = fleet.store.publish({"deployment": "stuck"})
    fleet.run(HOUR_MS)
    return _repair_and_measure(fleet, "store stuck for an hour", -1, version)


def replace_zone_with_stuck_store() -> Recovery:
    """Replace all instances of a zone while the store answers after 60 s."""
    fleet = make_joined_fleet()
    fleet.store.delay_ms = STUCK_STORE_DELAY_MS
    ready_ms = _replace_zone(fleet, "rb-1")
    fleet.run(HOUR_MS)
    return _repair_and_measure(fleet, "zone replaced, store stuck", ready_ms)


def replace_zone_with_lagging_list() -> Recovery:
    """Replace a zone while the instance list shows the old addresses for a minute."""
    fleet = make_joined_fleet()
    old = [member.identity.peers for member in fleet.members.values()]
    fleet.set_instance_list(old)
    ready_ms = _replace_zone(fleet, "rb-1")
    fleet.run(LIST_LAG_MS)
    fleet.set_instance_list([m.identity.peers for m in fleet.members.values()])
    return _repair_and_measure(fleet, "zone replaced, list a minute late", ready_ms)


def cut_zone() -> Recovery:
    """Cut a zone off from peers and platform and replace one of its instances."""
    fleet = make_joined_fleet()
    fleet.cut_zones = fleet.zones_without_store = {"rb-1"}
    fleet.run(20_000)
    version = fleet.store.publish({"deployment": "meanwhile"})
    fleet.kill("rb-1-0")
    fleet.run(10_000)
    member = fleet.add("rb-1-0", "rb-1")
    start_ms = fleet.now_ms
    fleet.run_until(lambda: member.core.state is PeerState.READY, RECOVERY_TIMEOUT_MS)
    return _repair_and_measure(fleet, "zone cut off", fleet.now_ms - start_ms, version)


def replace_cut_zone() -> Recovery:
    """Replace all instances of a zone that is cut off from peers and platform."""
    fleet = make_joined_fleet()
    fleet.cut_zones = fleet.zones_without_store = {"rb-1"}
    fleet.run(20_000)
    for name in ("rb-1-0", "rb-1-1"):
        fleet.kill(name)
        fleet.add(name, "rb-1")
    fleet.run(60_000)
    return _repair_and_measure(fleet, "zone cut off and replaced", -1)


SCENARIOS = (
    replace_zone_without_platform,
    slow_store_for_an_hour,
    hang_store_for_an_hour,
    replace_zone_with_stuck_store,
    replace_zone_with_lagging_list,
    cut_zone,
    replace_cut_zone,
)


def _replace_zone(fleet: Fleet, zone: str) -> int:
    names = [n for n, m in fleet.members.items() if m.identity.zone == zone]
    for name in names:
        fleet.kill(name)
    added = [fleet.add(name, zone) for name in names]
    start_ms = fleet.now_ms
    fleet.run_until(
        lambda: all(member.core.state is PeerState.READY for member in added),
        RECOVERY_TIMEOUT_MS,
    )
    return fleet.now_ms - start_ms


def _repair_and_measure(
    fleet: Fleet, scenario: str, replaced_ready_ms: int, version: int = 0
) -> Recovery:
    ready = [m for m in fleet.members.values() if m.core.state is PeerState.READY]
    ready_share = len(ready) / len(fleet.members)
    was_in_force = version > 0 and fleet.all_in_force(version)
    fleet.cut_zones = fleet.zones_without_store = set()
    fleet.store.is_down = False
    fleet.store.delay_ms = 5
    newest = fleet.store.publish({"deployment": "after"})
    recovered_ms = fleet.run_until(
        lambda: fleet.converged() and fleet.all_ready() and fleet.all_in_force(newest),
        RECOVERY_TIMEOUT_MS,
    )
    return Recovery(
        scenario, ready_share, was_in_force, replaced_ready_ms, recovered_ms
    )
