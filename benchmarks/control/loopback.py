"""Publish with concurrent operators and time adoption over the loopback."""

import asyncio
import socket
import time
from itertools import combinations
from random import Random
from typing import NamedTuple

from returns.result import Success
from rhubarbwell_core import Core
from rhubarbwell_core.messages import InstancesListed
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    DeploymentSpec,
    Identity,
    LinkSpec,
    RegionSpec,
    ServiceSpec,
    WorkKind,
    ZoneSpec,
)
from rhubarbwell_entry.adoption import LogFollower
from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.peers import PeerKeys, PeerNode
from rhubarbwell_entry.slotstore import SlotStore
from rhubarbwell_platform import Platform
from rhubarbwell_platform.documents import encode_document
from rhubarbwell_platform.errors import PlatformError
from rhubarbwell_platform.memory import (
    FaultKind,
    RandomFaults,
    memory_platform,
    with_faults,
)
from rhubarbwell_platform.publishing import (
    Change,
    PublishUnknown,
    publish,
    read_head,
    read_rows,
    read_state,
)

__all__ = ["Report", "run_publishes"]

ZONES = ("tirol-a", "tirol-b", "salzkammer-a", "salzkammer-b", "adria-a", "adria-b")
SERVICES = ("slotsvc", "paysvc", "clipsvc", "rostersvc")
KEYS = PeerKeys([b"benchmark-key-0001"])
FAULTS = {
    FaultKind.DOWN: 0.02,
    FaultKind.REQUEST_LOST: 0.01,
    FaultKind.ANSWER_LOST: 0.02,
}
MEAN_PUBLISH_PAUSE_S = 0.15
RESTART_INTERVAL_S = 3.0
SETTLE_TIMEOUT_S = 60.0


class Report(NamedTuple):
    """Hold the outcome of a run of publishes.

    lost counts accepted publishes that the log lacks; doubled counts rows that repeat
    a document of the same publish; reverts counts changes of an instance to an older
    version; behind counts instances that lack the head version at the end. times_ms
    are the delays from acceptance until the version is in force on all instances
    that have a configuration.
    """

    accepted: int
    conflicts: int
    lost: int
    doubled: int
    reverts: int
    behind: int
    restarts: int
    times_ms: tuple[int, ...]


class _Instance:
    """Run one core with its peer transport, log follower and slot store."""

    def __init__(self, name: str, zone: str, platform: Platform, rng: Random) -> None:
        self.name = name
        self.zone = zone
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        peer_address = Address(*self.sock.getsockname())
        incarnation = f"{rng.getrandbits(64):016x}"
        identity = Identity(
            name, incarnation, zone, zone[:-2], Address("127.0.0.1", 1), peer_address
        )
        core = Core(identity, rng, now_ms=time.monotonic_ns() // 1_000_000)
        self.driver = CoreDriver(core)
        self.node = PeerNode(self.driver, KEYS)
        self.follower = LogFollower(self.driver, platform)
        self.slots = SlotStore(self.driver, platform.tables)
        self.versions: list[int] = []

    @property
    def address(self) -> Address:
        return self.driver.core.identity.peers

    async def start(self, seeds: tuple[Address, ...]) -> None:
        await self.node.start(sock=self.sock)
        self.driver.handle(InstancesListed(seeds))
        self.task = asyncio.create_task(self.driver.run())
        self.follower.start()

    async def stop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.follower.close()
        await self.slots.close()
        await self.node.close()

    def record_version(self) -> int:
        """Return the version in force, and record the version if it has changed."""
        cfg = self.driver.core.configuration
        version = 0 if cfg is None else cfg.version
        if version and (not self.versions or self.versions[-1] != version):
            self.versions.append(version)
        return version

    def count_reverts(self) -> int:
        pairs = zip(self.versions, self.versions[1:], strict=False)
        return sum(1 for before, after in pairs if after < before)


class _PublishRun:
    def __init__(self, publishes: int, seed: int, with_restarts: bool) -> None:
        self.rng = Random(seed)
        self.backing_platform = memory_platform()
        self.platform = with_faults(
            self.backing_platform, RandomFaults(Random(seed), FAULTS)
        )
        self.publishes = publishes
        self.with_restarts = with_restarts
        self.instances: list[_Instance] = []
        self.stopped_instances: list[_Instance] = []
        self.accepted: dict[str, int] = {}
        self.accepted_at_s: dict[int, float] = {}
        self.in_force_at_s: dict[int, float] = {}
        self.conflicts = 0
        self.restarts = 0
        self.is_done = False

    async def run(self) -> Report:
        await _publish_initial_configuration(self.backing_platform)
        for zone in ZONES:
            for number in range(2):
                await self._start(f"{zone}-{number}", zone)
        watcher = asyncio.create_task(self._watch_versions())
        restarter = asyncio.create_task(self._restart_instances())
        try:
            await asyncio.gather(self._run_operator("ana"), self._run_operator("ben"))
            self.is_done = True
            await restarter
            head = (await read_head(self.backing_platform.tables)).head
            await self._wait_until_adopted(head.version)
            self._record_adoption_times()
        finally:
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)
            await asyncio.gather(*(instance.stop() for instance in self.instances))
        return await self._make_report(head.version)

    async def _start(self, name: str, zone: str) -> None:
        rng = Random(self.rng.getrandbits(32))
        instance = _Instance(name, zone, self.platform, rng)
        seeds = tuple(other.address for other in self.instances)
        self.instances.append(instance)
        await instance.start(seeds)

    async def _run_operator(self, author: str) -> None:
        rng = Random(author)
        number = 0
        while len(self.accepted) < self.publishes:
            number += 1
            await self._publish_change(author, f"{author}-{number}", rng)
            await asyncio.sleep(MEAN_PUBLISH_PAUSE_S * rng.uniform(0.5, 1.5))

    async def _publish_change(self, author: str, publish_id: str, rng: Random) -> None:
        try:
            base = await read_state(self.platform)
        except PlatformError:
            return
        service = rng.choice(SERVICES)
        text = encode_document(_make_service(service, f"{publish_id}"))
        change = Change(publish_id, author, 0, {f"service/{service}": text})
        outcome = await publish(self.platform, change, base=base)
        while isinstance(outcome, PublishUnknown):
            outcome = await publish(self.platform, change, base=base)
        if isinstance(outcome, Success):
            version = outcome.unwrap().version
            self.accepted[publish_id] = version
            self.accepted_at_s[version] = time.monotonic()
        else:
            self.conflicts += 1

    async def _watch_versions(self) -> None:
        while True:
            self._record_adoption_times()
            await asyncio.sleep(0.005)

    def _record_adoption_times(self) -> None:
        # An instance that has just started has no configuration yet.
        ready = [
            instance
            for instance in self.instances
            if instance.driver.core.configuration
        ]
        lowest = min((instance.record_version() for instance in ready), default=0)
        now = time.monotonic()
        for version in self.accepted_at_s:
            if version <= lowest and version not in self.in_force_at_s:
                self.in_force_at_s[version] = now

    async def _restart_instances(self) -> None:
        while self.with_restarts and not self.is_done:
            await asyncio.sleep(RESTART_INTERVAL_S)
            instance = self.rng.choice(self.instances)
            self.instances.remove(instance)
            self.stopped_instances.append(instance)
            await instance.stop()
            self.restarts += 1
            await self._start(instance.name, instance.zone)

    async def _wait_until_adopted(self, version: int) -> None:
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(instance.record_version() >= version for instance in self.instances):
                return
            await asyncio.sleep(0.01)

    async def _make_report(self, head_version: int) -> Report:
        rows = await read_rows(self.backing_platform.tables, up_to=head_version)
        entries = [(row.publish_id, row.document) for row in rows]
        ids = {row.publish_id for row in rows}
        all_instances = self.instances + self.stopped_instances
        behind = [
            instance
            for instance in self.instances
            if instance.record_version() < head_version
        ]
        delays_ms = [
            round((self.in_force_at_s[version] - at) * 1_000)
            for version, at in self.accepted_at_s.items()
            if version in self.in_force_at_s
        ]
        return Report(
            accepted=len(self.accepted),
            conflicts=self.conflicts,
            lost=sum(1 for publish_id in self.accepted if publish_id not in ids),
            doubled=len(entries) - len(set(entries)),
            reverts=sum(instance.count_reverts() for instance in all_instances),
            behind=len(behind),
            restarts=self.restarts,
            times_ms=tuple(max(0, ms) for ms in delays_ms),
        )


async def run_publishes(
    publishes: int, *, seed: int = 1, with_restarts: bool = True
) -> Report:
    """Return the outcome of publishes by two concurrent operators to 12 instances.

    The platform fails at the rates of FAULTS, but not for the first publish.
    """
    return await _PublishRun(publishes, seed, with_restarts).run()


async def _publish_initial_configuration(platform: Platform) -> None:
    zones = tuple(ZoneSpec(zone, zone[:-2], 2) for zone in ZONES)
    regions = tuple(RegionSpec(name) for name in dict.fromkeys(z.region for z in zones))
    names = [region.name for region in regions]
    links = tuple(LinkSpec(*pair, 4_000.0, 35.0) for pair in combinations(names, 2))
    deployment = DeploymentSpec("wellenbrett", regions, zones, links)
    documents: dict[str, str | None] = {"deployment": encode_document(deployment)}
    for service in SERVICES:
        documents[f"service/{service}"] = encode_document(_make_service(service, ""))
    base = await read_state(platform)
    outcome = await publish(platform, Change("first", "ana", 0, documents), base=base)
    if not isinstance(outcome, Success):
        raise RuntimeError(f"the first publish failed: {outcome}")


def _make_service(name: str, description: str) -> ServiceSpec:
    port = 9_000 + 100 * SERVICES.index(name)
    backends = tuple(
        BackendSpec(f"{name}-{number}", zone, "127.0.0.1", port + number)
        for number, zone in enumerate(ZONES)
    )
    return ServiceSpec(name, (WorkKind("page", "GET", "/"),), backends, description)
