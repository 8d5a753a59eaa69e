"""Measure the cost of control per node and per change at several fleet sizes."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from rhubarbwell_core import Core
from rhubarbwell_core.messages import (
    MemberNews,
    PeerRecord,
    PeerState,
    ServiceHeadroom,
    SyncAnswer,
    SyncAnswered,
)
from rhubarbwell_core.model import Address, Identity
from rhubarbwell_entry.peers import PeerKeys, decode_body, encode_body

from benchmarks.control.fits import Line, fit_line
from benchmarks.control.fleet import Fleet

__all__ = ["measure_changes", "measure_memory", "measure_relays", "measure_zone"]

KEYS = PeerKeys([b"benchmark-key-0001"])
SERVICES = ("slotsvc", "paysvc", "clipsvc", "rostersvc")
JOIN_TIMEOUT_S = 300
WARM_UP_MS = 20_000
MEASURED_SPAN_S = 20
HEADROOM_STEP_S = 10
ZONE_SIZES = (12, 20, 29, 36, 48)
ZONE_COUNTS = (25, 40, 60)
NODES_PER_ZONE = 2
CHANGE_FLEET_SIZES = (4, 12, 24, 40)
CHANGE_COUNT = 10
VIEW_SIZES = (100, 400, 1_000, 2_000, 2_900)
DOCUMENT_BYTES = 4_000


class NodeCost(NamedTuple):
    """Hold the mean costs of one node per second.

    bytes_per_s counts sent and received envelopes, messages_per_s only sent messages.
    In measure_changes, the fields hold a node's extra costs per configuration change
    instead.
    """

    bytes_per_s: float
    messages_per_s: float
    cpu_us_per_s: float
    store_ops_per_s: float


def measure_zone() -> list[Line]:
    """Return lines of a node's idle cost over the number of instances in a zone."""
    costs = [(size, _measure_idle(_make_joined_fleet(1, size))) for size in ZONE_SIZES]
    return _cost_lines("in-zone membership", "instances of the zone", costs)


def measure_relays() -> list[Line]:
    """Return lines of a node's cost over the number of zones while headroom changes."""
    costs = [
        (zones, _measure_idle(_make_joined_fleet(zones, NODES_PER_ZONE)))
        for zones in ZONE_COUNTS
    ]
    return _cost_lines("relays between zones", "zones", costs)


def measure_changes() -> list[Line]:
    """Return lines of a node's cost per configuration change, beyond its idle cost."""
    costs: list[tuple[int, NodeCost]] = []
    for nodes in CHANGE_FLEET_SIZES:
        idle = _measure_idle(
            _make_joined_fleet(nodes // NODES_PER_ZONE, NODES_PER_ZONE)
        )
        changing = _measure_publishing(
            _make_joined_fleet(nodes // NODES_PER_ZONE, NODES_PER_ZONE)
        )
        extra_costs = [
            MEASURED_SPAN_S * (c - i) / CHANGE_COUNT
            for c, i in zip(changing, idle, strict=True)
        ]
        costs.append((nodes, NodeCost(*extra_costs)))
    role = "configuration poller and adopter"
    per_change = [
        ("bytes per node and change", "B", 0),
        ("processor time per node and change", "us", 2),
        ("store operations per node and change", "calls", 3),
    ]
    return [
        fit_line(role, name, unit, [(n, cost[index]) for n, cost in costs])
        for name, unit, index in per_change
    ]


def measure_memory() -> list[Line]:
    """Return lines of memory for a view and of start-up bytes over the fleet size."""
    memory, start_bytes = [], []
    for size in VIEW_SIZES:
        news = _make_member_news(size)
        start_bytes.append((size, float(len(encode_body([SyncAnswer(news, ())])))))
        memory.append((size, _memory_bytes_of_view(news) / 1_000))
    role = "view of all instances"
    return [
        fit_line(role, "memory per node by instances", "KB", memory),
        fit_line(role, "bytes at a start by instances", "B", start_bytes),
    ]


def _cost_lines(
    role: str, size_name: str, costs: list[tuple[int, NodeCost]]
) -> list[Line]:
    quantities = [
        (f"bytes/s per node by {size_name}", "B/s", 0),
        (f"messages/s per node by {size_name}", "1/s", 1),
        (f"processor time per node by {size_name}", "us/s", 2),
        (f"store operations per node by {size_name}", "calls/s", 3),
    ]
    return [
        fit_line(role, name, unit, [(n, cost[index]) for n, cost in costs])
        for name, unit, index in quantities
    ]


def _make_joined_fleet(zones: int, size: int) -> Fleet:
    fleet = Fleet(seed=zones * 1_000 + size, keys=KEYS)
    fleet.store.publish({f"service/{name}": _random_text(name) for name in SERVICES})
    headroom = [_headroom_reader(fleet, zone) for zone in range(zones)]
    for zone in range(zones):
        for number in range(size):
            name = f"r{zone:03d}-a"
            member = fleet.add(f"entry-{zone:03d}-{number:02d}", name)
            member.core.membership._read_headroom = headroom[zone]
    addresses = [member.identity.peers for member in fleet.members.values()]
    fleet.set_instance_list(addresses)
    _wait_until_joined(fleet)
    for member in fleet.members.values():
        member.core.membership.heartbeats.clear_member_news()
    fleet.run(WARM_UP_MS)
    return fleet


def _wait_until_joined(fleet: Fleet) -> None:
    for _ in range(JOIN_TIMEOUT_S):
        fleet.run(1_000)
        if fleet.all_ready() and fleet.converged():
            return
    raise TimeoutError(
        f"instances not ready and known to each other after {JOIN_TIMEOUT_S} s"
    )


def _headroom_reader(
    fleet: Fleet, zone: int
) -> Callable[[], tuple[ServiceHeadroom, ...]]:
    def read_headroom() -> tuple[ServiceHeadroom, ...]:
        step = fleet.now_ms // (HEADROOM_STEP_S * 1_000)
        # A multiplier above any step keeps the seeds of the zones distinct.
        rng = Random(zone * 100_003 + step)
        return tuple(ServiceHeadroom(name, 36, rng.randrange(36)) for name in SERVICES)

    return read_headroom


def _measure_idle(fleet: Fleet) -> NodeCost:
    before = _cost_totals(fleet)
    fleet.run(MEASURED_SPAN_S * 1_000)
    return _cost_per_node(fleet, before)


def _measure_publishing(fleet: Fleet) -> NodeCost:
    before = _cost_totals(fleet)
    for number in range(CHANGE_COUNT):
        name = SERVICES[number % len(SERVICES)]
        fleet.store.publish({f"service/{name}": _random_text(f"{number}")})
        fleet.run(MEASURED_SPAN_S * 1_000 // CHANGE_COUNT)
    cost = _cost_per_node(fleet, before)
    fleet.run_until(lambda: fleet.all_in_force(fleet.store.head.version), 60_000)
    return cost


def _cost_totals(fleet: Fleet) -> tuple[int, int, int, int]:
    gc.collect()
    members = fleet.members.values()
    return (
        sum(member.sent_bytes + member.received_bytes for member in members),
        sum(sum(member.sent_messages.values()) for member in members),
        sum(member.cpu_ns for member in members),
        fleet.store.operations,
    )


def _cost_per_node(fleet: Fleet, before: tuple[int, int, int, int]) -> NodeCost:
    scale = 1.0 / (MEASURED_SPAN_S * len(fleet.members))
    spent = [a - b for a, b in zip(_cost_totals(fleet), before, strict=True)]
    return NodeCost(
        spent[0] * scale, spent[1] * scale, spent[2] * scale / 1_000, spent[3] * scale
    )


def _random_text(seed: str) -> str:
    rng = Random(seed)
    return f"{rng.getrandbits(DOCUMENT_BYTES * 2):x}"


def _make_member_news(size: int) -> tuple[MemberNews, ...]:
    news = []
    for number in range(size):
        zone = f"region-{number % 40:02d}-{'abc'[number % 100 // 40]}"
        here = Address(f"10.0.{number >> 8}.{number & 255}", 7_001)
        incarnation = f"{Random(number).getrandbits(64):016x}"
        record = PeerRecord(
            f"entry-{number:04d}",
            incarnation,
            zone,
            zone[:-2],
            here._replace(port=8_080),
            here,
            PeerState.READY,
            8_600,
            3,
        )
        news.append(MemberNews(record))
    return tuple(news)


def _memory_bytes_of_view(news: tuple[MemberNews, ...]) -> int:
    here = Address("10.9.9.9", 7_001)
    body = encode_body([SyncAnswer(news, ())])
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    core = Core(
        Identity("me", "me-1", "region-00-a", "region-00", here, here), Random(1)
    )
    (answer,) = decode_body(body)
    core.handle(SyncAnswered(here, answer), 0)
    del answer
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(core.peers) == len(news) + 1
    return after - before


def run_timed(measure: Callable[[], list[Line]]) -> list[Line]:
    """Run a measurement, print its duration in s and return its lines."""
    start = time.monotonic()
    lines = measure()
    print(f"# {measure.__name__}: {time.monotonic() - start:.0f} s")
    return lines
