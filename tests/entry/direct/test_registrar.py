"""When an instance writes its registration and whom it answers for."""

from rhubarbwell_core.direct import FollowerTracker, InstanceEntry, InstanceTable
from rhubarbwell_core.model import Address
from rhubarbwell_entry.direct.follower import Upstream
from rhubarbwell_entry.direct.registrar import Registrar
from rhubarbwell_entry.direct.registrations import decode_instance
from rhubarbwell_platform.errors import UnavailableError

HERE = Address("127.0.0.1", 1)
TABLE = "instances"
TICK_MS = 400


class RecordingStore:
    def __init__(self):
        self.written = []
        self.is_out = False
        self.tries = 0

    async def write(self, row):
        self.tries += 1
        if self.is_out:
            raise UnavailableError("out")
        self.written.append(decode_instance(row.key, row.value) if row.value else row)


class World:
    """Hold one instance's registrar on a clock of its own."""

    def __init__(self):
        own = InstanceEntry("i-1", "x", "a-1", "a", HERE, HERE)
        self.now_ms = 0
        self.ready = True
        self.store = RecordingStore()
        self.upstream = Upstream()
        self.followers = FollowerTracker()
        self.instances = InstanceTable(own, liveness_timeout_ms=4_400)
        self.registrar = Registrar(
            own,
            TABLE,
            self.store,
            self.instances,
            self.followers,
            self.upstream,
            lambda: self.ready,
            lambda: self.now_ms,
        )

    async def play(self, for_ms, each=lambda: None):
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            each()
            await self.registrar.check()
            self.now_ms += TICK_MS

    def reader_beats(self, beat):
        reader = InstanceEntry("i-2", "y", "a-1", "a", HERE, HERE, beat)
        self.instances.put(reader._replace(followers=("i-1",)), self.now_ms)


async def test_reader_beats_and_answers_for_its_followers():
    world = World()
    await world.play(
        10_000, lambda: world.followers.record_poll("i-3", False, world.now_ms)
    )
    assert 5 <= len(world.store.written) <= 7
    assert world.store.written[-1].followers == ("i-3",)


async def test_reader_tells_at_once_that_a_follower_is_silent():
    world = World()
    await world.play(
        2_000, lambda: world.followers.record_poll("i-3", False, world.now_ms)
    )
    await world.play(2_000)
    told = [entry.followers for entry in world.store.written]
    assert told[-1] == ()
    assert len(told) <= 4


async def test_follower_that_is_answered_for_writes_nothing_more():
    world = World()
    world.upstream.reader = "i-2"
    await world.play(400)
    world.store.written.clear()
    await world.play(30_000, lambda: world.reader_beats(world.now_ms))
    assert world.store.written == []


async def test_follower_that_nobody_answers_for_beats_itself():
    world = World()
    world.upstream.reader = "i-2"
    await world.play(12_000)
    # Others take an instance for gone after 4.4 s.
    assert len(world.store.written) >= 12_000 / 4_400 + 1


async def test_instance_that_does_not_read_the_store_answers_for_nobody():
    world = World()
    world.upstream.reader = "i-2"
    await world.play(
        2_000, lambda: world.followers.record_poll("i-3", False, world.now_ms)
    )
    assert [entry.followers for entry in world.store.written] == [()]


async def test_change_of_the_own_state_is_written_at_once():
    world = World()
    world.upstream.reader = "i-2"
    await world.play(400)
    world.ready = False
    await world.play(400, lambda: world.reader_beats(1))
    assert [entry.leaving for entry in world.store.written] == [False, True]


async def test_store_that_is_out_is_asked_once_a_second():
    world = World()
    world.store.is_out = True
    await world.play(12_000)
    assert world.store.tries <= 12
    world.store.is_out = False
    await world.play(2_000)
    assert world.store.written
