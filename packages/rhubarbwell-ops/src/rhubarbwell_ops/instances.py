"""What entry instances tell about the configuration in force."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from typing import Any, NamedTuple

import aiohttp
from rhubarbwell_core.adoption import LogHead
from rhubarbwell_core.model import host_port
from rhubarbwell_platform import InstanceList, ListedInstance, ListedState
from rhubarbwell_platform.errors import UnavailableError

from rhubarbwell_ops.operators import OperatorClient, open_operators

__all__ = [
    "Adoption",
    "InstanceStatus",
    "count_adoptions",
    "find_ahead",
    "is_in_force",
    "read_statuses",
    "statuses_json",
    "wait_in_force",
]

STATUS_TIMEOUT_S = 2.0
POLL_S = 0.25
PARALLEL_CALLS = 64
ASKED_FOR_AHEAD = 16


class Adoption(Enum):
    """Tell how an instance's configuration stands to the published one."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    AHEAD = "ahead"
    DIFFERENT = "different"
    UNREACHABLE = "unreachable"


class InstanceStatus(NamedTuple):
    """Tell the state and the configuration of an entry instance."""

    instance_id: str
    zone: str
    adoption: Adoption
    state: str = ""
    config_version: int = 0
    config_digest: str = ""


async def read_statuses(
    instances: InstanceList, head: LogHead, *, limit: int | None = None
) -> tuple[InstanceStatus, ...]:
    """Ask the listed instances that are not leaving, up to a limit.

    Raises UnavailableError.
    """
    listing = await instances.read()
    live = [row for row in listing.instances if row.state is ListedState.LIVE]
    turn = asyncio.Semaphore(PARALLEL_CALLS)
    async with open_operators(timeout_s=STATUS_TIMEOUT_S) as client:

        async def ask(row: ListedInstance) -> InstanceStatus:
            async with turn:
                return await _read_status(client, row, head)

        return tuple(await asyncio.gather(*map(ask, live[:limit])))


async def find_ahead(instances: InstanceList, head: LogHead) -> InstanceStatus | None:
    """Return an instance whose version the store does not have, None without one.

    Asks a few instances; one that is not reached, or no list, tells nothing.
    """
    try:
        statuses = await read_statuses(instances, head, limit=ASKED_FOR_AHEAD)
    except UnavailableError:
        return None
    ahead = (status for status in statuses if status.adoption is Adoption.AHEAD)
    return next(ahead, None)


async def wait_in_force(
    instances: InstanceList, head: LogHead, *, longest_s: float
) -> tuple[InstanceStatus, ...]:
    """Ask until the version is in force everywhere, for a time at most.

    Raises UnavailableError.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + longest_s
    while True:
        statuses = await read_statuses(instances, head)
        if all(is_in_force(status) for status in statuses) or loop.time() >= end:
            return statuses
        await asyncio.sleep(POLL_S)


def is_in_force(status: InstanceStatus) -> bool:
    """Tell whether an instance has the version, or a later one, in force."""
    return status.adoption in (Adoption.IN_FORCE, Adoption.AHEAD)


def statuses_json(statuses: Iterable[InstanceStatus]) -> list[dict[str, Any]]:
    """Return the statuses as JSON."""
    return [{**row._asdict(), "adoption": row.adoption.value} for row in statuses]


def count_adoptions(statuses: Sequence[InstanceStatus]) -> str:
    """Return the number of instances by adoption, in words."""
    counts = dict.fromkeys(Adoption, 0)
    for status in statuses:
        counts[status.adoption] += 1
    told = [f"{n} {kind.value}" for kind, n in counts.items() if n]
    return ", ".join(told) or "no instances are listed"


async def _read_status(
    client: OperatorClient, row: ListedInstance, head: LogHead
) -> InstanceStatus:
    unreachable = InstanceStatus(row.instance_id, row.zone, Adoption.UNREACHABLE)
    try:
        answer: Any = await client.ask(host_port(row.operators), "/status")
        return _status_of(row, answer, head)
    except (aiohttp.ClientError, TimeoutError, KeyError, TypeError, ValueError):
        return unreachable


def _status_of(
    row: ListedInstance, body: Mapping[str, Any], head: LogHead
) -> InstanceStatus:
    version, digest = int(body["config_version"]), str(body["config_digest"])
    return InstanceStatus(
        row.instance_id,
        row.zone,
        _compare(version, digest, head),
        str(body["state"]),
        version,
        digest,
    )


def _compare(version: int, digest: str, head: LogHead) -> Adoption:
    if version < head.version:
        return Adoption.BEHIND
    if version > head.version:
        return Adoption.AHEAD
    return Adoption.IN_FORCE if digest == head.chain else Adoption.DIFFERENT
