"""Traffic weights and their changes, limited by a cap per second."""

from collections.abc import Mapping, Sequence

from rhubarbwell_core.messages import ServiceHeadroom

__all__ = [
    "move_weights",
    "next_zone_weights",
    "preferred_weights",
    "proportional_weights",
]

# A zone with this fraction of its slots free takes all the weight that is left.
AMPLE_FREE_FRACTION = 0.2


def move_weights(
    current: Mapping[str, float], target: Mapping[str, float], *, step: float
) -> dict[str, float]:
    """Return weights moved towards the target by at most step in total.

    >>> move_weights({"a": 1.0}, {"a": 0.5, "b": 0.5}, step=0.25)
    {'a': 0.75, 'b': 0.25}
    """
    names = sorted({*current, *target})
    changes = {name: target.get(name, 0.0) - current.get(name, 0.0) for name in names}
    distance = max(
        sum(change for change in changes.values() if change > 0.0),
        -sum(change for change in changes.values() if change < 0.0),
    )
    fraction = 1.0 if distance <= step else step / distance
    moved = {name: current.get(name, 0.0) + fraction * changes[name] for name in names}
    return {name: weight for name, weight in moved.items() if weight > 1e-9}


def preferred_weights(
    zones: Sequence[str], headroom: Mapping[str, ServiceHeadroom]
) -> dict[str, float]:
    """Return target weights that fill the nearest zones first.

    zones lists the nearest first. Each zone takes what its free slots allow; the rest
    goes to the nearest.

    >>> headroom = {"a": ServiceHeadroom("s", 10, 1), "b": ServiceHeadroom("s", 10, 5)}
    >>> preferred_weights(("a", "b"), headroom)
    {'a': 0.5, 'b': 0.5}
    """
    left = 1.0
    weights: dict[str, float] = {}
    for zone in zones:
        weights[zone] = left * _acceptable_fraction(headroom.get(zone))
        left -= weights[zone]
    if zones:
        weights[zones[0]] += left
    return {zone: weight for zone, weight in weights.items() if weight > 0.0}


def proportional_weights(
    zones: Sequence[str], headroom: Mapping[str, ServiceHeadroom]
) -> dict[str, float]:
    """Return weights in proportion to the free slots of the zones.

    The result is empty if no zone has a free slot.

    >>> headroom = {"a": ServiceHeadroom("s", 10, 1), "b": ServiceHeadroom("s", 10, 3)}
    >>> proportional_weights(("a", "b"), headroom)
    {'a': 0.25, 'b': 0.75}
    """
    free = {zone: headroom[zone].free for zone in zones if zone in headroom}
    total = sum(free.values())
    return {zone: count / total for zone, count in free.items()} if total else {}


def next_zone_weights(
    current: Mapping[str, float],
    zones: Sequence[str],
    headroom: Mapping[str, ServiceHeadroom],
    *,
    shift_cap_per_s: float,
    elapsed_ms: int,
) -> dict[str, float]:
    """Return the next weights of zones, unchanged if a zone's headroom is unknown."""
    if not current:
        return {zones[0]: 1.0} if zones else {}
    if not all(zone in headroom for zone in zones):
        return dict(current)
    target = preferred_weights(zones, headroom)
    step = shift_cap_per_s * elapsed_ms / 1_000
    return move_weights(current, target, step=step)


def _acceptable_fraction(headroom: ServiceHeadroom | None) -> float:
    if headroom is None or headroom.slots == 0:
        return 0.0
    return min(1.0, headroom.free / headroom.slots / AMPLE_FREE_FRACTION)
