"""Distribute requests over regions and limit how fast the shares change."""

from collections import Counter, deque
from collections.abc import Collection, Mapping, Sequence
from math import sqrt

from rhubarbwell_core.direct.affinity import RankedBackend

__all__ = ["RegionShares", "planned_shares", "region_costs_ms", "shares_of"]

# Length of the windows whose shares are compared; operators measure shifts between
# consecutive windows of this length.
WINDOW_MS = 2_000
# Buckets per sliding window.
BUCKETS = 8
BUCKET_MS = WINDOW_MS // BUCKETS
# Share of the allowed shift that is used; the rest allows for sampling error.
SHIFT_SHARE_USED = 0.5
# Weight of the history relative to the previous window, in requests.
HISTORY_WEIGHT_REQUESTS = 10.0
# Weight of the expected shares against the requests of the current window.
PRIOR_WEIGHT_REQUESTS = 4.0
# Cost of a region other than the one that an object is assigned to, as a share of the
# objective. It is below the time that a cache miss costs, so that servers of the other
# region are still used while those of the assigned one are overloaded.
OTHER_REGION_COST_SHARE = 0.3
# Share of failed requests from which a server counts as no better than those elsewhere.
UNRELIABLE_FAILURE_SHARE = 0.4


class _Bucket:
    __slots__ = ("assigned", "counts", "started_ms", "usable_slots")

    def __init__(self, started_ms: int, usable_slots: Mapping[str, float]) -> None:
        self.started_ms = started_ms
        self.usable_slots = usable_slots
        self.counts = Counter[str]()
        self.assigned = Counter[str]()


class RegionShares:
    """Limit how fast requests shift from one region's servers to another's.

    When the shares of the current window differ from the expected ones by more than
    the limit, regions above their expected share get no further requests until the
    expected shares catch up. Expected shares come from the previous window and the
    history, initially from the planned shares. The expected share of a region that
    has lost usable slots is reduced, so its requests may shift at once.

    Each request may name the region that its object is assigned to. Expected shares
    follow the assigned regions of the requests that arrive, the more the more
    instances share the callers: each of them sees few requests, whose shares vary by
    chance although those of all instances together do not.

    >>> shares = RegionShares(0.15)
    >>> shares.set_planned({"a": 0.5, "b": 0.5})
    >>> for _ in range(12):
    ...     shares.count_request("a", 0)
    >>> shares.allowed_regions({"a", "b"}, 0)
    ['b']
    """

    def __init__(self, max_shift: float) -> None:
        self._max_shift = SHIFT_SHARE_USED * max_shift
        self._chance_share = 0.0
        self._history: dict[str, float] = {}
        self._usable_slots: Mapping[str, float] = {}
        self._current = Counter[str]()
        self._previous = Counter[str]()
        self._assigned_history: dict[str, float] = {}
        self._current_assigned = Counter[str]()
        self._previous_assigned = Counter[str]()
        self._buckets = deque[_Bucket]()
        self._expected: dict[str, float] = {}

    def set_planned(self, shares: Mapping[str, float]) -> None:
        """Set the expected shares, unless requests have been counted already."""
        if not self._buckets:
            self._history = {
                n: HISTORY_WEIGHT_REQUESTS * share for n, share in shares.items()
            }
            self._assigned_history = dict(self._history)
            self._update_expected_shares()

    def set_instances(self, instances: int) -> None:
        """Set how many instances, including this one, share the region's callers."""
        # Independent variations of n instances average out to 1 / sqrt(n) of one.
        self._chance_share = 1.0 - 1.0 / sqrt(max(instances, 1))

    def set_usable_slots(self, usable_slots: Mapping[str, float]) -> None:
        """Set the number of concurrent requests that each region can process."""
        self._usable_slots = dict(usable_slots)

    def count_request(
        self, region: str, now_ms: int, *, assigned: str | None = None
    ) -> None:
        """Count a request sent to a server of a region."""
        self._advance_window(now_ms)
        self._buckets[-1].counts[region] += 1
        self._current[region] += 1
        if assigned is not None:
            self._buckets[-1].assigned[assigned] += 1
            self._current_assigned[assigned] += 1

    def allowed_regions(self, usable: Collection[str], now_ms: int) -> Collection[str]:
        """Return the regions with usable servers that may get a request.

        Once the limit on shifted requests is reached, these are the regions below
        their expected share, or else the one that exceeds its share the least.
        """
        self._advance_window(now_ms)
        expected = self._expected_in_window()
        prior_total = sum(self._expected.values())
        if prior_total <= 0.0 or len(usable) <= 1:
            return usable
        total = self._current.total() + PRIOR_WEIGHT_REQUESTS
        names = {*expected, *self._current, *usable}
        excess = dict.fromkeys(names, 0.0)
        for name in names:
            prior = PRIOR_WEIGHT_REQUESTS * self._expected.get(name, 0.0) / prior_total
            counted = self._current[name] + prior
            excess[name] = counted / total - expected.get(name, 0.0)
        moved = sum(x for x in excess.values() if x > 0.0)
        if moved < self._max_shift + 1.0 - sum(expected.values()):
            return usable
        below = [name for name in usable if excess[name] < 0.0]
        return below or [min(usable, key=excess.__getitem__)]

    def _expected_in_window(self) -> dict[str, float]:
        """Return the expected shares for the assigned regions of the current window."""
        reference = {
            name: self._previous_assigned[name] + self._assigned_history.get(name, 0.0)
            for name in {*self._previous_assigned, *self._assigned_history}
        }
        total, counted = sum(reference.values()), self._current_assigned.total()
        if not counted or total <= 0.0:
            return self._expected
        expected: dict[str, float] = {}
        for name in {*self._expected, *reference, *self._current_assigned}:
            share = reference.get(name, 0.0) / total
            change = (self._current_assigned[name] - counted * share) / (
                counted + PRIOR_WEIGHT_REQUESTS
            )
            change *= self._chance_share * self._remaining_slot_share(name)
            expected[name] = max(self._expected.get(name, 0.0) + change, 0.0)
        return expected

    def _advance_window(self, now_ms: int) -> None:
        if self._buckets and now_ms < self._buckets[-1].started_ms + BUCKET_MS:
            return
        started_ms = now_ms - now_ms % BUCKET_MS
        self._buckets.append(_Bucket(started_ms, self._usable_slots))
        oldest_ms = started_ms - (2 * BUCKETS - 1) * BUCKET_MS
        while self._buckets[0].started_ms < oldest_ms:
            self._merge_into_history(self._buckets.popleft())
        window_start_ms = started_ms - (BUCKETS - 1) * BUCKET_MS
        self._current, self._previous = Counter[str](), Counter[str]()
        self._current_assigned = Counter[str]()
        self._previous_assigned = Counter[str]()
        for bucket in self._buckets:
            if bucket.started_ms < window_start_ms:
                self._previous.update(bucket.counts)
                self._previous_assigned.update(bucket.assigned)
            else:
                self._current.update(bucket.counts)
                self._current_assigned.update(bucket.assigned)
        self._update_expected_shares()

    def _merge_into_history(self, bucket: _Bucket) -> None:
        """Merge an expired bucket into the history, whose weight stays bounded."""
        self._history = _merged_history(self._history, bucket.counts)
        self._assigned_history = _merged_history(
            self._assigned_history, bucket.assigned
        )

    def _update_expected_shares(self) -> None:
        """Recompute the shares that the current window is compared with."""
        names = {*self._history, *self._previous}
        counts = {n: self._previous[n] + self._history.get(n, 0.0) for n in names}
        total = sum(counts.values())
        self._expected = {
            name: n / total * self._remaining_slot_share(name)
            for name, n in counts.items()
            if n
        }

    def _remaining_slot_share(self, region: str) -> float:
        """Return a region's usable slots as a share of their recent maximum."""
        max_slots = max(
            (b.usable_slots.get(region, 0.0) for b in self._buckets), default=0.0
        )
        if max_slots <= 0.0:
            return 1.0
        return min(self._usable_slots.get(region, 0.0) / max_slots, 1.0)


def _merged_history(
    history: Mapping[str, float], counts: Counter[str]
) -> dict[str, float]:
    merged = {n: history.get(n, 0.0) + counts[n] for n in {*history, *counts}}
    factor = min(1.0, HISTORY_WEIGHT_REQUESTS / max(sum(merged.values()), 1.0))
    return {name: factor * n for name, n in merged.items()}


def planned_shares(
    region: str, usable_slots: Mapping[str, float], demand: Mapping[str, float]
) -> dict[str, float]:
    """Return the share of a region's requests that each region should serve.

    With these shares, the slots of all regions are loaded evenly. usable_slots and
    demand map regions to their slots and to the relative number of requests arriving
    there. The result is empty without slots or demand.

    >>> planned_shares("a", {"a": 1, "b": 3, "c": 4}, {"a": 1, "b": 1, "c": 2})
    {'a': 0.5, 'b': 0.5}
    >>> planned_shares("b", {"a": 1, "b": 3, "c": 4}, {"a": 1, "b": 1, "c": 2})
    {'b': 1.0}
    """
    total_slots, total_demand = sum(usable_slots.values()), sum(demand.values())
    if total_slots <= 0.0 or total_demand <= 0.0 or demand.get(region, 0.0) <= 0.0:
        return {}
    spare = {
        name: max(0.0, amount / total_slots - demand.get(name, 0.0) / total_demand)
        for name, amount in usable_slots.items()
        if name != region
    }
    total = sum(spare.values())
    if total <= 0.0:
        return {region: 1.0}
    demand_share = demand[region] / total_demand
    local_share = min(usable_slots.get(region, 0.0) / total_slots / demand_share, 1.0)
    if local_share == 1.0:
        return {region: 1.0}
    remote_shares = {
        n: (1.0 - local_share) * x / total for n, x in spare.items() if x > 0.0
    }
    return {region: local_share} | remote_shares


def region_costs_ms(
    objective_ms: float, candidates: Sequence[RankedBackend], assigned: str | None
) -> Mapping[str, float]:
    """Return the cost in ms of leaving the assigned region, by region.

    The cost decreases with the failures of the servers in the assigned region.
    """
    costs = {ranked.state.region: 0.0 for ranked in candidates}
    if assigned is None or assigned not in costs:
        return costs
    failure_share = min(
        ranked.state.failure_share
        for ranked in candidates
        if ranked.state.region == assigned
    )
    reliability = max(0.0, 1.0 - failure_share / UNRELIABLE_FAILURE_SHARE)
    cost_ms = OTHER_REGION_COST_SHARE * objective_ms * reliability
    return {region: 0.0 if region == assigned else cost_ms for region in costs}


def shares_of(
    regions: frozenset[str], shares: Mapping[str, float]
) -> Mapping[str, float]:
    """Return the shares of some regions that are above 0."""
    return {name: x for name, x in shares.items() if name in regions and x > 0.0}
