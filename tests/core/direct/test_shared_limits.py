"""Load pattern: a server returns cold while instances lose sight of each other.

The rate of a cold server holds for all instances together. Each takes a share by the
instances that it knows, so the shares have to add up whatever an instance misses.
"""

from collections.abc import Callable

import pytest
from rhubarbwell_core.direct import (
    FollowerTracker,
    InstanceEntry,
    InstanceTable,
    SharedRateLimiter,
)
from rhubarbwell_core.model import Address

INSTANCES = 12
REGIONS = ("a", "b", "c")
RATE_PER_S = 10.0
# The platform allows 1.5 times the rate and 5 requests more in each second.
MAX_REQUESTS_PER_S = 1.5 * RATE_PER_S + 5.0
LIVENESS_TIMEOUT_MS = 4_400
TICK_MS = 100
HEARTBEAT_PERIOD_MS = 2_000
POLL_PERIOD_MS = 400
CONFIRMATION_TIMEOUT_MS = 3_300


class SimulatedInstance:
    """Hold one instance's view of the fleet and its share of the rate."""

    def __init__(self, number: int, now_ms: int) -> None:
        name = f"i-{number}"
        region = REGIONS[number % len(REGIONS)]
        address = Address(f"10.0.0.{number}", 80)
        self.entry = InstanceEntry(
            name, f"x-{now_ms}", f"{region}-1", region, address, address
        )
        self.table = InstanceTable(self.entry, liveness_timeout_ms=LIVENESS_TIMEOUT_MS)
        self.followers = FollowerTracker()
        self.written_ms = -HEARTBEAT_PERIOD_MS
        self.is_frozen = False

    def allowed_requests(self, now_ms: int) -> int:
        """Return how many requests it may send to a server that has just started."""
        limiter = SharedRateLimiter(self.entry.instance_id)
        limiter.configure(self.table.budget_instance_ids())
        backend_id = f"b-{now_ms}"
        return sum(limiter.try_send(backend_id, RATE_PER_S, now_ms) for _ in range(50))


class SimulatedMembership:
    """Simulate registrations through a store that one of the instances reads.

    write_delay_ms is the time until a write takes effect, None if the store accepts
    none.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        self.instances = [SimulatedInstance(n, 0) for n in range(INSTANCES)]
        self.reader = self.instances[0]
        self.write_delay_ms: int | None = 10
        self._pending: list[tuple[int, InstanceEntry]] = []
        self.rows: dict[str, InstanceEntry] = {}
        for instance in self.instances:
            self._write(instance)

    def run(self, duration_ms: int, check: Callable[[int], None] | None = None) -> None:
        """Simulate a time and pass the allowed requests of each tick to a check."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._apply_writes()
            for number, instance in enumerate(self.instances):
                if not instance.is_frozen:
                    self._advance(instance, number)
            if check is not None:
                check(sum(i.allowed_requests(self.now_ms) for i in self.instances))

    def restart(self, number: int) -> SimulatedInstance:
        """Replace an instance by a new incarnation that lists the store's rows."""
        was_reader = self.reader is self.instances[number]
        instance = SimulatedInstance(number, self.now_ms)
        instance.table.put_listed(self.rows.values(), self.now_ms)
        self.instances[number] = instance
        if was_reader:
            self.reader = instance
        return instance

    def _advance(self, instance: SimulatedInstance, number: int) -> None:
        is_reader = instance is self.reader
        if not is_reader:
            if (self.now_ms + TICK_MS * number) % POLL_PERIOD_MS or (
                self.reader.is_frozen
            ):
                return
            self._poll(instance)
        self._read_rows(instance)
        elapsed_ms = self.now_ms - instance.written_ms
        confirmed_ms = max(instance.table.own_confirmed_ms, instance.written_ms)
        if elapsed_ms >= HEARTBEAT_PERIOD_MS and (
            is_reader or self.now_ms - confirmed_ms >= CONFIRMATION_TIMEOUT_MS
        ):
            self._write(instance)

    def _poll(self, instance: SimulatedInstance) -> None:
        name = instance.entry.instance_id
        self.reader.followers.record_poll(name, False, self.now_ms)
        self.reader.table.confirm_follower(name, False, self.now_ms)

    def _read_rows(self, instance: SimulatedInstance) -> None:
        for entry in self.rows.values():
            instance.table.put(entry, self.now_ms)
        instance.table.mark_synced(self.now_ms)

    def _write(self, instance: SimulatedInstance) -> None:
        instance.written_ms = self.now_ms
        followers = instance.followers.ids(self.now_ms)
        instance.entry = instance.entry._replace(
            beat=instance.entry.beat + 1, followers=followers
        )
        if self.write_delay_ms is not None:
            due_ms = self.now_ms + self.write_delay_ms
            self._pending.append((due_ms, instance.entry))

    def _apply_writes(self) -> None:
        due = [entry for due_ms, entry in self._pending if due_ms <= self.now_ms]
        self._pending = [row for row in self._pending if row[0] > self.now_ms]
        self.rows.update({entry.instance_id: entry for entry in due})


@pytest.fixture
def membership():
    fleet = SimulatedMembership()
    fleet.run(10_000)
    return fleet


def make_check(max_requests):
    def check(allowed):
        assert allowed <= max_requests

    return check


# These guard against the flood of cold servers (FAILBACK).
def test_shares_add_up_to_the_rate_in_a_calm_fleet(membership):
    membership.run(20_000, make_check(RATE_PER_S))


@pytest.mark.parametrize("write_delay_ms", [None, 3_000, 6_000])
def test_shares_keep_to_the_limit_while_the_store_takes_no_heartbeats(
    membership, write_delay_ms
):
    membership.write_delay_ms = write_delay_ms
    membership.run(30_000, make_check(MAX_REQUESTS_PER_S))
    membership.write_delay_ms = 10
    membership.run(20_000, make_check(MAX_REQUESTS_PER_S))


def test_shares_keep_to_the_limit_while_the_reader_is_frozen(membership):
    membership.reader.is_frozen = True
    membership.run(10_000, make_check(MAX_REQUESTS_PER_S))
    membership.reader.is_frozen = False
    membership.run(10_000, make_check(MAX_REQUESTS_PER_S))


def test_shares_keep_to_the_limit_while_readers_take_turns(membership):
    for number in range(1, 6):
        membership.reader = membership.instances[number]
        membership.run(5_000, make_check(MAX_REQUESTS_PER_S))


def test_shares_keep_to_the_limit_when_all_instances_restart(membership):
    membership.write_delay_ms = None
    for number in range(INSTANCES):
        membership.restart(number)
        membership.run(TICK_MS, make_check(MAX_REQUESTS_PER_S))
    membership.run(10_000, make_check(MAX_REQUESTS_PER_S))
    membership.write_delay_ms = 10
    membership.run(10_000, make_check(MAX_REQUESTS_PER_S))


def test_a_stopped_instance_leaves_its_share_to_the_others(membership):
    stopped = membership.instances.pop()
    name = stopped.entry.instance_id
    membership.rows[name] = stopped.entry._replace(
        beat=stopped.entry.beat + 1, leaving=True
    )
    membership.run(10_000)
    for instance in membership.instances:
        assert name not in instance.table.budget_instance_ids()


def test_an_instance_without_registrations_has_no_share():
    limiter = SharedRateLimiter("i-3")
    assert not limiter.may_send("b-1", RATE_PER_S, 0)
