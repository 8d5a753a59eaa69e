"""Configuration status of entry instances."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from typing import Any, NamedTuple

import aiohttp
from rhubarbwell_core.adoption import LogHead
from rhubarbwell_core.model import host_port
from rhubarbwell_platform import InstanceList, ListedInstance, ListedState
from rhubarbwell_platform.errors import UnavailableError

from rhubarbwell_ops.operators import OperatorClient, open_operator_client

__all__ = [
    "Adoption",
    "InstanceStatus",
    "adoption_summary",
    "find_instance_ahead",
    "is_in_force",
    "read_statuses",
    "statuses_json",
    "wait_until_in_force",
]

STATUS_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.25
MAX_CONCURRENT_REQUESTS = 64
AHEAD_CHECK_LIMIT = 16


class Adoption(Enum):
    """Represent how an instance's configuration compares to the published one."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    AHEAD = "ahead"
    DIFFERENT = "different"
    UNREACHABLE = "unreachable"


class InstanceStatus(NamedTuple):
    """Hold the state and the configuration version of an entry instance.

    accounts is the number of active client accounts, None if no account file is active
    or the instance does not tell.
    """

    instance_id: str
    zone: str
    adoption: Adoption
    state: str = ""
    config_version: int = 0
    config_digest: str = ""
    accounts: int | None = None


async def read_statuses(
    instances: InstanceList, head: LogHead, *, limit: int | None = None
) -> tuple[InstanceStatus, ...]:
    """Return the statuses of the live listed instances, up to a limit.

    Raises UnavailableError.
    """
    listing = await instances.read()
    live = [listed for listed in listing.instances if listed.state is ListedState.LIVE]
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    async with open_operator_client(timeout_s=STATUS_TIMEOUT_S) as client:

        async def read_status(listed: ListedInstance) -> InstanceStatus:
            async with semaphore:
                return await _read_status(client, listed, head)

        return tuple(await asyncio.gather(*map(read_status, live[:limit])))


async def find_instance_ahead(
    instances: InstanceList, head: LogHead
) -> InstanceStatus | None:
    """Return an instance whose version is newer than the store's, else None.

    Asks at most AHEAD_CHECK_LIMIT instances. Unreachable instances and an unavailable
    instance list are ignored.
    """
    try:
        statuses = await read_statuses(instances, head, limit=AHEAD_CHECK_LIMIT)
    except UnavailableError:
        return None
    ahead = (status for status in statuses if status.adoption is Adoption.AHEAD)
    return next(ahead, None)


async def wait_until_in_force(
    instances: InstanceList, head: LogHead, *, timeout_s: float
) -> tuple[InstanceStatus, ...]:
    """Poll until the version is in force everywhere or timeout_s has passed.

    Returns the last statuses read. Raises UnavailableError.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        statuses = await read_statuses(instances, head)
        if all(is_in_force(status) for status in statuses) or loop.time() >= deadline_s:
            return statuses
        await asyncio.sleep(POLL_INTERVAL_S)


def is_in_force(status: InstanceStatus) -> bool:
    """Return True if the instance has the published version or a newer one in force."""
    return status.adoption in (Adoption.IN_FORCE, Adoption.AHEAD)


def statuses_json(statuses: Iterable[InstanceStatus]) -> list[dict[str, Any]]:
    """Return the statuses as JSON-compatible values."""
    return [
        {**status._asdict(), "adoption": status.adoption.value} for status in statuses
    ]


def adoption_summary(statuses: Sequence[InstanceStatus]) -> str:
    """Return the number of instances by adoption, such as "2 in force, 1 behind"."""
    counts = dict.fromkeys(Adoption, 0)
    for status in statuses:
        counts[status.adoption] += 1
    parts = [f"{n} {adoption.value}" for adoption, n in counts.items() if n]
    return ", ".join(parts) or "no instances are listed"


async def _read_status(
    client: OperatorClient, listed: ListedInstance, head: LogHead
) -> InstanceStatus:
    unreachable = InstanceStatus(listed.instance_id, listed.zone, Adoption.UNREACHABLE)
    try:
        body: Any = await client.get_json(host_port(listed.operators), "/status")
        return _parse_status(listed, body, head)
    except (aiohttp.ClientError, TimeoutError, KeyError, TypeError, ValueError):
        return unreachable


def _parse_status(
    listed: ListedInstance, body: Mapping[str, Any], head: LogHead
) -> InstanceStatus:
    version, digest = int(body["config_version"]), str(body["config_digest"])
    accounts = body.get("accounts")
    return InstanceStatus(
        listed.instance_id,
        listed.zone,
        _adoption_of(version, digest, head),
        str(body["state"]),
        version,
        digest,
        accounts if isinstance(accounts, int) else None,
    )


def _adoption_of(version: int, digest: str, head: LogHead) -> Adoption:
    if version < head.version:
        return Adoption.BEHIND
    if version > head.version:
        return Adoption.AHEAD
    return Adoption.IN_FORCE if digest == head.chain else Adoption.DIFFERENT
