"""Many cores on one virtual clock, with a network and a store that fail."""

import heapq
import time
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random
from typing import NamedTuple

from rhubarbwell_core import Core
from rhubarbwell_core.adoption import (
    ConfigurationAlarm,
    ConfigurationParsed,
    ConfigurationRefused,
    FollowLog,
    LogAnswered,
    LogAsked,
    ParseConfiguration,
    ReadHead,
    ReadLogRows,
    ReadObject,
    ReadSnapshot,
    RestoreLog,
)
from rhubarbwell_core.messages import (
    HeartbeatReceived,
    IncarnationSuperseded,
    InstancesListed,
    PeerState,
    SendPeerMessage,
    SyncAnswered,
    SyncAsked,
)
from rhubarbwell_core.model import (
    Address,
    Configuration,
    DeploymentSpec,
    Identity,
    RegionSpec,
    ZoneSpec,
)
from rhubarbwell_entry.peers import (
    SUPPORTED_PROTOCOLS,
    PeerKeys,
    open_envelope,
    seal_envelope,
)

from benchmarks.control.store import LogStore

__all__ = ["Fleet", "Member", "Network"]

TICK_MS = 100
STORE_ACTIONS = (ReadHead, ReadLogRows, ReadObject, ReadSnapshot, RestoreLog)
EVENT_OF_KIND = {
    "Heartbeat": HeartbeatReceived,
    "SyncAsk": SyncAsked,
    "SyncAnswer": SyncAnswered,
    "LogAsk": LogAsked,
    "LogAnswer": LogAnswered,
}
INVALID_TEXT = "invalid"


class Network(NamedTuple):
    """Set delay and loss of messages within and between zones."""

    zone_delay_ms: int = 1
    region_delay_ms: int = 20
    jitter_ms: int = 0
    loss: float = 0.0


class Member:
    """Run one core of the fleet and record what it did."""

    def __init__(self, identity: Identity, core: Core) -> None:
        self.identity = identity
        self.core = core
        self.paused_until_ms = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages: Counter[str] = Counter()
        self.cpu_ns = 0
        self.versions: list[int] = []
        self.alarms: list[ConfigurationAlarm] = []
        self.superseded = False


class Fleet:
    """Drive cores, deliver their messages and answer their reads."""

    def __init__(
        self,
        *,
        seed: int = 1,
        network: Network = Network(),  # noqa: B008
        keys: PeerKeys | None = None,
    ) -> None:
        self.now_ms = 1_000_000
        self.network = network
        self.store = LogStore()
        self.members: dict[str, Member] = {}
        self.listed: list[Address] | None = None
        self.adopted_ms: dict[int, dict[str, int]] = {}
        self.cut_zones: set[str] = set()
        self.storeless_zones: set[str] = set()
        self._rng = Random(seed)
        self._keys = keys
        self._by_address: dict[Address, Member] = {}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._ports = count(1)
        self._born = count(1)

    def add(self, name: str, zone: str, region: str | None = None) -> Member:
        """Start an instance, in place of one of the same name if there is one."""
        old = self.members.get(name)
        number = next(self._ports)
        address = (
            Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7001)
            if old is None
            else old.identity.peers
        )
        incarnation = f"{Random(next(self._born)).getrandbits(64):016x}"
        identity = Identity(
            name, incarnation, zone, region or zone[:-2], address, address
        )
        rng = Random(self._rng.getrandbits(32))
        member = Member(identity, Core(identity, rng, now_ms=self.now_ms))
        self.members[name] = member
        self._by_address[address] = member
        listed = self.listed
        seeds = [m.identity.peers for m in self.members.values() if m is not member]
        self._feed(member, InstancesListed(tuple(seeds if listed is None else listed)))
        self._feed(member, FollowLog())
        self._at(self._rng.randrange(TICK_MS), lambda: self._tick(member))
        return member

    def kill(self, name: str) -> None:
        """Let an instance die at once."""
        member = self.members.pop(name)
        del self._by_address[member.identity.peers]

    def list_instances(self, addresses: list[Address]) -> None:
        """Show every instance the platform's list."""
        self.listed = addresses
        for member in list(self.members.values()):
            self._feed(member, InstancesListed(tuple(addresses)))

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        until_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = until_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> int:
        """Let time pass until the condition holds; return the ms it took.

        Raises TimeoutError after limit_ms.
        """
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= limit_ms:
                raise TimeoutError(f"not so after {limit_ms} ms")
            self.run(20)
        return self.now_ms - start_ms

    def all_ready(self) -> bool:
        """Return whether every instance is ready."""
        return all(m.core.state is PeerState.READY for m in self.members.values())

    def converged(self) -> bool:
        """Return whether every instance sees exactly those that run."""
        names = set(self.members)
        return all(set(m.core.peers) == names for m in self.members.values())

    def in_force(self, version: int) -> bool:
        """Return whether every instance has the version or a later one in force."""
        return all(
            m.core.adoption.in_force_version >= version for m in self.members.values()
        )

    def _at(self, delay_ms: float, call: Callable[[], None]) -> None:
        due_ms = self.now_ms + int(delay_ms)
        heapq.heappush(self._queue, (due_ms, next(self._order), call))

    def _tick(self, member: Member) -> None:
        if self.members.get(member.identity.instance_id) is not member:
            return
        if self.now_ms >= member.paused_until_ms:
            self._carry_out(member, self._timed(member, None))
        self._at(TICK_MS, lambda: self._tick(member))

    def _feed(self, member: Member, event: object) -> None:
        if self._by_address.get(member.identity.peers) is not member:
            return
        if self.now_ms < member.paused_until_ms:
            wait_ms = member.paused_until_ms - self.now_ms
            self._at(wait_ms, lambda: self._feed(member, event))
            return
        self._carry_out(member, self._timed(member, event))

    def _timed(self, member: Member, event: object | None) -> list:
        start_ns = time.perf_counter_ns()
        if event is None:
            actions = member.core.advance(self.now_ms)
        else:
            actions = member.core.handle(event, self.now_ms)
        member.cpu_ns += time.perf_counter_ns() - start_ns
        return actions

    def _carry_out(self, member: Member, actions: list) -> None:
        for action in actions:
            if isinstance(action, SendPeerMessage):
                self._send(member, action)
            elif isinstance(action, STORE_ACTIONS):
                self._call_store(member, action)
            elif isinstance(action, ParseConfiguration):
                self._parse(member, action)
            elif isinstance(action, ConfigurationAlarm):
                member.alarms.append(action)
            elif isinstance(action, IncarnationSuperseded):
                member.superseded = True

    def _send(self, member: Member, action: SendPeerMessage) -> None:
        message = action.message
        kind = type(message).__name__
        member.sent_messages[kind] += 1
        envelope = None
        if self._keys is not None:
            start_ns = time.perf_counter_ns()
            envelope = self._seal(member, message)
            member.cpu_ns += time.perf_counter_ns() - start_ns
            member.sent_bytes += envelope.ByteSize()
        target = self._by_address.get(action.address)
        if target is None or not self._passes(member, target):
            return
        sender = member.identity.peers
        delay_ms = self._delay_ms(member, target)
        self._at(delay_ms, lambda: self._arrive(target, sender, message, envelope))

    def _arrive(self, target, sender, message, envelope) -> None:
        if envelope is not None:
            start_ns = time.perf_counter_ns()
            opened = open_envelope(
                envelope, keys=self._keys, protocols=SUPPORTED_PROTOCOLS
            )
            target.cpu_ns += time.perf_counter_ns() - start_ns
            target.received_bytes += envelope.ByteSize()
            (message,) = opened.messages
        self._feed(target, EVENT_OF_KIND[type(message).__name__](sender, message))

    def _seal(self, member: Member, message: object):
        return seal_envelope(
            [message],
            sender=member.identity.peers,
            keys=self._keys,
            protocols=SUPPORTED_PROTOCOLS,
            protocol=SUPPORTED_PROTOCOLS.newest,
        )

    def _passes(self, member: Member, target: Member) -> bool:
        zones = {member.identity.zone, target.identity.zone}
        is_cut = len(zones) == 2 and bool(zones & self.cut_zones)
        return not is_cut and self._rng.random() >= self.network.loss

    def _delay_ms(self, member: Member, target: Member) -> float:
        same = member.identity.zone == target.identity.zone
        network = self.network
        base_ms = network.zone_delay_ms if same else network.region_delay_ms
        return base_ms + self._rng.uniform(0, network.jitter_ms)

    def _call_store(self, member: Member, action) -> None:
        zone = member.identity.zone
        if self.store.is_down or zone in self.storeless_zones:
            return

        def answer() -> None:
            event = self.store.answer(action)
            if event is not None:
                self._at(0, lambda: self._feed(member, event))

        self._at(self.store.delay_ms, answer)

    def _parse(self, member: Member, action: ParseConfiguration) -> None:
        if INVALID_TEXT in action.documents.values():
            refused = ConfigurationRefused(action.version, ("invalid",))
            self._feed(member, refused)
            return
        zone = member.identity.zone
        region = member.identity.region
        deployment = DeploymentSpec(
            "d", (RegionSpec(region),), (ZoneSpec(zone, region, 1),)
        )
        cfg = Configuration(action.version, action.digest, deployment, {})
        self._feed(member, ConfigurationParsed(cfg))
        member.versions.append(member.core.configuration.version)
        name = member.identity.instance_id
        self.adopted_ms.setdefault(action.version, {})[name] = self.now_ms
