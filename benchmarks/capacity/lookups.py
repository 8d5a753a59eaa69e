"""Measure look-ups in many client blocks and the directory of instances."""

from functools import partial

from rhubarbwell_core import Core
from rhubarbwell_core.lookups import InstanceDirectory, LookUpQuery, index_blocks
from rhubarbwell_core.messages import PeerRecord

from benchmarks.capacity.costs import MB, cpu_time_us, memory_bytes
from benchmarks.control.fits import Line, fit_line
from benchmarks.decisions.deployments import make_core, make_deployment, make_peers

__all__ = ["measure_blocks", "measure_directory"]

BLOCK_COUNTS = (70_000, 140_000, 210_000, 280_000)
NODE_COUNTS = (300, 1_000, 2_000, 2_900)
REFRESHES = 50
LOOK_UPS = 5_000
SHIFT_CAP_PER_S = 0.05
SEED = 1


def measure_blocks() -> list[Line]:
    """Return lines of look-up time and packed size over the number of client blocks."""
    times_us: list[tuple[float, float]] = []
    sizes_mb: list[tuple[float, float]] = []
    for count in BLOCK_COUNTS:
        deployment = make_deployment(count, NODE_COUNTS[0])
        index = index_blocks(deployment.client_blocks)
        sizes_mb.append((count, index.size_bytes() / MB))
        core = make_core(deployment, seed=SEED)
        for peer in make_peers(deployment, NODE_COUNTS[0]):
            core.peers.put(peer.instance_id, peer)
        core.advance(1_000)
        sample = deployment.client_blocks[:: count // LOOK_UPS]
        queries = [LookUpQuery("slotsvc", _address_in(b.prefix)) for b in sample]
        times_us.append(
            (count, cpu_time_us(partial(_look_up_all, core, queries)) / len(queries))
        )
    return [
        fit_line("look-ups", "look-up by client blocks", "us", times_us),
        fit_line("look-ups", "packed blocks by client blocks", "MB", sizes_mb),
    ]


def measure_directory() -> list[Line]:
    """Return lines of a directory's refresh time and memory over its instance count."""
    times_us: list[tuple[float, float]] = []
    sizes_mb: list[tuple[float, float]] = []
    for count in NODE_COUNTS:
        peers = make_peers(make_deployment(1, count), count)
        sizes_mb.append((count, memory_bytes(partial(_make_directory, peers)) / MB))
        refresh = partial(
            _make_directory(peers).update, peers, 1_000, shift_cap_per_s=SHIFT_CAP_PER_S
        )
        times_us.append((count, cpu_time_us(refresh, calls=REFRESHES)))
    return [
        fit_line("look-ups", "directory refresh by instances", "us", times_us),
        fit_line("look-ups", "directory by instances", "MB", sizes_mb),
    ]


def _address_in(prefix: str) -> str:
    return prefix.replace(".0/24", ".7")


def _look_up_all(core: Core, queries: list[LookUpQuery]) -> None:
    for query in queries:
        core.look_up(query, 1_000)


def _make_directory(peers: list[PeerRecord]) -> InstanceDirectory:
    directory = InstanceDirectory()
    directory.update(peers, 0, shift_cap_per_s=SHIFT_CAP_PER_S)
    return directory
