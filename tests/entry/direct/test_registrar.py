"""Tests of an instance's registration, heartbeats and list of followers."""

from random import Random

from rhubarbwell_core.direct import (
    FollowerTracker,
    InstanceEntry,
    InstanceTable,
    ReplicaRow,
)
from rhubarbwell_core.model import Address
from rhubarbwell_entry.direct.follower import Upstream
from rhubarbwell_entry.direct.registrar import Registrar
from rhubarbwell_entry.direct.registrations import decode_instance
from rhubarbwell_platform.errors import ConflictError, UnavailableError
from rhubarbwell_platform.services import EraTracker
from support.versions import at

HERE = Address("127.0.0.1", 1)
TABLE = "instances"
TICK_MS = 400


class RecordingStore:
    def __init__(self):
        self.written = []
        self.is_out = False
        self.write_attempts = 0
        self.versions = {}
        self.rows = {}
        self.eras = EraTracker()

    async def write(self, row):
        self.write_attempts += 1
        if self.is_out:
            raise UnavailableError("out")
        version = self.versions.get(row.key, 0)
        if row.expected_version not in (None, version):
            raise ConflictError(row.key)
        self.written.append(decode_instance(row.key, row.value) if row.value else row)
        self.rows[row.key] = ReplicaRow(row.key, at(1, self.eras.current), row.value)
        return self.eras.current


class RegistrarHarness:
    """Run one instance's registrar on a simulated clock."""

    def __init__(self, *, divides_quotas=True):
        own = InstanceEntry("i-1", "x", "a-1", "a", HERE, HERE)
        self.now_ms = 0
        self.ready = True
        self._reader_beat = 0
        self.store = RecordingStore()
        self.upstream = Upstream()
        self.known_versions = {}
        # Whether the row was written again, for each era that the store began.
        self.restored = []
        self.followers = FollowerTracker()
        self.instances = InstanceTable(own, liveness_timeout_ms=4_400)
        self.registrar = Registrar(
            own,
            TABLE,
            self.store,
            self.instances,
            self.followers,
            self.upstream,
            lambda instance_id: self.known_versions.get(instance_id, 0),
            lambda: self.ready,
            lambda: self.now_ms,
            eras=self.store.eras,
            own_row=lambda: self.store.rows.get("i-1"),
            on_restored=self.restored.append,
            synced_until_ms=lambda: self.now_ms - 700,
            divides_quotas=divides_quotas,
            max_writes_per_s=400.0,
            rng=Random(1),
        )

    async def advance(self, for_ms, before_check=lambda: None):
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            before_check()
            await self.registrar.write_if_due()
            self.now_ms += TICK_MS

    def confirm(self):
        """Receive a heartbeat of the reader that lists this follower."""
        self._reader_beat += 1
        self.receive_reader_heartbeat(self._reader_beat)

    def receive_reader_heartbeat(self, beat):
        reader = InstanceEntry("i-2", "y", "a-1", "a", HERE, HERE, beat)
        self.instances.put(reader._replace(followers=("i-1",)), self.now_ms)


async def test_reader_writes_heartbeats_that_list_its_followers():
    harness = RegistrarHarness()
    await harness.advance(
        10_000, lambda: harness.followers.record_poll("i-3", False, harness.now_ms)
    )
    assert 5 <= len(harness.store.written) <= 7
    assert harness.store.written[-1].followers == ("i-3",)


async def test_reader_removes_a_silent_follower_from_its_row():
    harness = RegistrarHarness()
    await harness.advance(
        2_000, lambda: harness.followers.record_poll("i-3", False, harness.now_ms)
    )
    await harness.advance(2_000)
    listed_followers = [entry.followers for entry in harness.store.written]
    assert listed_followers[-1] == ()
    assert len(listed_followers) <= 4


async def test_follower_listed_by_its_reader_writes_nothing_more():
    harness = RegistrarHarness()
    harness.upstream.reader = "i-2"
    await harness.advance(400)
    harness.store.written.clear()
    await harness.advance(
        30_000, lambda: harness.receive_reader_heartbeat(harness.now_ms)
    )
    assert harness.store.written == []


async def test_unlisted_follower_writes_its_own_heartbeats():
    harness = RegistrarHarness()
    harness.upstream.reader = "i-2"
    await harness.advance(12_000)
    # Other instances consider an instance gone after 4.4 s of silence.
    assert len(harness.store.written) >= 12_000 / 4_400 + 1


async def test_row_of_a_follower_lists_no_followers():
    harness = RegistrarHarness()
    harness.upstream.reader = "i-2"
    await harness.advance(
        2_000, lambda: harness.followers.record_poll("i-3", False, harness.now_ms)
    )
    assert [entry.followers for entry in harness.store.written] == [()]


async def test_state_change_is_written_at_once():
    harness = RegistrarHarness()
    harness.upstream.reader = "i-2"
    await harness.advance(400)
    harness.ready = False
    await harness.advance(400, lambda: harness.receive_reader_heartbeat(1))
    assert [entry.leaving for entry in harness.store.written] == [False, True]


async def test_failed_writes_are_retried_once_a_second():
    harness = RegistrarHarness()
    harness.store.is_out = True
    await harness.advance(12_000)
    assert harness.store.write_attempts <= 12
    harness.store.is_out = False
    await harness.advance(2_000)
    assert harness.store.written


async def test_starting_follower_registers_once_when_it_is_ready():
    harness = RegistrarHarness()
    harness.ready = False
    harness.upstream.reader = "i-2"
    await harness.advance(1_200)
    assert harness.store.written == []
    harness.ready = True
    await harness.advance(800)
    assert [entry.leaving for entry in harness.store.written] == [False]


async def test_starting_reader_registers_at_once():
    harness = RegistrarHarness()
    harness.ready = False
    await harness.advance(TICK_MS)
    assert len(harness.store.written) == 1


async def test_starting_follower_that_stays_unready_registers_after_a_while():
    harness = RegistrarHarness()
    harness.ready = False
    harness.upstream.reader = "i-2"
    await harness.advance(4_400)
    assert [entry.leaving for entry in harness.store.written] == [True]


async def test_row_of_an_instance_that_woke_up_is_not_removed():
    """A suspended instance writes its row while a reader is about to remove it."""
    harness = RegistrarHarness()
    silent = InstanceEntry("i-2", "y", "a-1", "a", HERE, HERE, 1)
    harness.instances.put(silent, 0)
    harness.instances.mark_synced(61_000)
    harness.known_versions["i-2"] = 7
    harness.store.versions["i-2"] = 8
    await harness.registrar.remove_expired()
    assert harness.store.written == []
    harness.store.versions["i-2"] = 7
    await harness.registrar.remove_expired()
    assert [row.key for row in harness.store.written] == ["i-2"]


def restore_store(harness, era, *, keeps_row):
    """Let the store come back from a copy that has the row or has lost it."""
    row = harness.store.rows.pop("i-1", None)
    if keeps_row:
        harness.store.rows["i-1"] = row._replace(version=at(1, era))
    harness.store.written.clear()
    harness.store.eras.observe(era)


async def test_reader_writes_its_row_at_once_after_a_loss():
    harness = RegistrarHarness()
    harness.store.eras.observe(1)
    await harness.advance(800)
    restore_store(harness, 2, keeps_row=False)
    await harness.advance(TICK_MS)
    assert len(harness.store.written) == 1
    assert harness.restored == [True]


async def start_follower():
    harness = RegistrarHarness()
    harness.upstream.reader = "i-2"
    harness.store.eras.observe(1)
    await harness.advance(800)
    return harness


async def test_follower_writes_a_lost_row_once_within_the_spread():
    harness = await start_follower()
    restore_store(harness, 2, keeps_row=False)
    await harness.advance(1_000, harness.confirm)
    assert harness.store.written == []
    await harness.advance(6_000, harness.confirm)
    assert len(harness.store.written) == 1
    assert harness.restored == [True]


async def test_follower_writes_nothing_if_the_store_kept_its_row():
    harness = await start_follower()
    restore_store(harness, 2, keeps_row=True)
    await harness.advance(6_000, harness.confirm)
    assert harness.store.written == []
    assert harness.restored == [False]


async def test_row_that_was_lost_again_is_written_again():
    harness = await start_follower()
    restore_store(harness, 2, keeps_row=False)
    await harness.advance(1_200, harness.confirm)
    restore_store(harness, 3, keeps_row=False)
    await harness.advance(6_000, harness.confirm)
    assert len(harness.store.written) == 1
    assert harness.store.rows["i-1"].version.era == 3


async def test_write_that_took_effect_in_an_earlier_era_is_repeated():
    harness = RegistrarHarness()
    harness.store.eras.observe(1)
    write = harness.store.write

    async def write_before_the_loss(row):
        era = await write(row)
        if era == 1:
            harness.store.eras.observe(2)
        return era

    harness.store.write = write_before_the_loss
    await harness.advance(TICK_MS)
    await harness.advance(TICK_MS)
    assert harness.store.rows["i-1"].version.era == 2


# Guards against two instances that earn the same share: a row that was removed after it
# was listed, which the others' lists may lack.
async def test_first_write_replaces_the_listed_row_or_the_list_counts_as_old():
    for is_removed in (False, True):
        harness = RegistrarHarness()
        row = ReplicaRow("i-1", at(1), b"earlier")
        harness.store.rows["i-1"] = row
        harness.store.versions["i-1"] = at(2) if is_removed else at(1)
        await harness.registrar.write_heartbeat()
        assert len(harness.store.written) == 1
        assert harness.store.write_attempts == 1 + is_removed
        assert harness.registrar.was_listed
        assert harness.registrar.listed_ms == (None if is_removed else -700)


# Guards against starts that need one more call of the store without a use for it.
async def test_first_write_is_unconditional_without_quotas():
    harness = RegistrarHarness(divides_quotas=False)
    harness.store.rows["i-1"] = ReplicaRow("i-1", at(1), b"earlier")
    harness.store.versions["i-1"] = at(2)
    await harness.registrar.write_heartbeat()
    assert harness.store.write_attempts == 1
    assert harness.registrar.was_listed
    assert harness.registrar.listed_ms is None


# Guards against heartbeats that do not tell when they were sent.
async def test_heartbeats_are_times_of_a_steady_clock():
    harness = RegistrarHarness()
    suspended_ms = [500]
    harness.registrar._suspended_ms = lambda: suspended_ms[0]
    first_ms = harness.registrar._next_beat()
    harness.now_ms += 2_000
    assert harness.registrar._next_beat() - first_ms == 2_000
    # The time for which the machine was suspended counts too.
    suspended_ms[0] += 60_000
    assert harness.registrar._next_beat() - first_ms == 62_000


async def test_each_heartbeat_has_a_later_time_than_those_before():
    harness = RegistrarHarness()
    await harness.registrar.write_heartbeat()
    await harness.registrar.write_heartbeat()
    beats = [row.beat for row in harness.store.written]
    assert beats[0] < beats[1]
