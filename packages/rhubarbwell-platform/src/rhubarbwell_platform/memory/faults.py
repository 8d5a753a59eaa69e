"""Injection of scripted or random faults into calls to a platform."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Awaitable, Callable, Mapping, Sequence
from enum import Enum
from random import Random
from typing import NamedTuple, TypeVar

from rhubarbwell_platform.errors import AnswerLostError, UnavailableError
from rhubarbwell_platform.services import (
    InstanceList,
    InstanceListing,
    ObjectStore,
    Platform,
    Row,
    TableService,
    Write,
)

__all__ = [
    "Fault",
    "FaultKind",
    "FaultSource",
    "NoFaults",
    "Operation",
    "RandomFaults",
    "ScriptedFaults",
    "with_faults",
]

T = TypeVar("T")


class Operation(Enum):
    """Identify a call to the platform."""

    READ = "read"
    SCAN = "scan"
    TRANSACT = "transact"
    GET = "get"
    PUT = "put"
    LIST = "list"


class FaultKind(Enum):
    """Identify how a call fails."""

    DOWN = "down"
    REQUEST_LOST = "request lost"
    ANSWER_LOST = "answer lost"
    SLOW = "slow"


class Fault(NamedTuple):
    """Represent a fault; delay_ms applies to slow calls only."""

    kind: FaultKind
    delay_ms: int = 0


class FaultSource(ABC):
    """Select the fault of each call."""

    @abstractmethod
    def next_fault(self, operation: Operation) -> Fault | None:
        """Return the fault of the next call, None if it is to succeed."""


class NoFaults(FaultSource):
    """Inject no faults."""

    def next_fault(self, operation: Operation) -> Fault | None:
        """Return None."""
        return None


class ScriptedFaults(FaultSource):
    """Inject the faults queued for an operation, one fault for each call.

    >>> faults = ScriptedFaults()
    >>> faults.add(Operation.READ, Fault(FaultKind.DOWN))
    >>> faults.next_fault(Operation.READ).kind, faults.next_fault(Operation.READ)
    (<FaultKind.DOWN: 'down'>, None)
    """

    def __init__(self) -> None:
        self._pending: dict[Operation, deque[Fault]] = {}
        self._default_fault: Fault | None = None

    def add(self, operation: Operation, *faults: Fault) -> None:
        """Queue faults for the next calls of an operation."""
        self._pending.setdefault(operation, deque()).extend(faults)

    def set_default_fault(self, fault: Fault | None) -> None:
        """Set the fault of calls for which no fault is queued."""
        self._default_fault = fault

    def next_fault(self, operation: Operation) -> Fault | None:
        """Return the next queued fault of the operation, else the default fault."""
        pending = self._pending.get(operation)
        return pending.popleft() if pending else self._default_fault


class RandomFaults(FaultSource):
    """Inject each kind of fault with a given probability."""

    def __init__(self, rng: Random, probabilities: Mapping[FaultKind, float]) -> None:
        self._rng = rng
        self._probabilities = dict(probabilities)

    def next_fault(self, operation: Operation) -> Fault | None:
        """Return a random fault, or None."""
        drawn = self._rng.random()
        for kind, probability in self._probabilities.items():
            if drawn < probability:
                return Fault(kind)
            drawn -= probability
        return None


def with_faults(platform: Platform, faults: FaultSource) -> Platform:
    """Return a platform whose calls fail as the source of faults selects."""
    return Platform(
        _FaultyTableService(platform.tables, faults),
        _FaultyObjectStore(platform.objects, faults),
        _FaultyInstanceList(platform.instances, faults),
    )


async def _call_with_fault(
    faults: FaultSource, operation: Operation, call: Callable[[], Awaitable[T]]
) -> T:
    """Return the result of a call, or raise the error of its fault.

    The call takes effect if its answer is lost, but not if its request is lost.
    """
    fault = faults.next_fault(operation)
    if fault is None:
        return await call()
    writes = operation in (Operation.TRANSACT, Operation.PUT)
    lost = AnswerLostError if writes else UnavailableError
    if fault.kind is FaultKind.DOWN:
        raise UnavailableError("the platform is down")
    if fault.kind is FaultKind.REQUEST_LOST:
        raise lost("the request was lost")
    if fault.kind is FaultKind.SLOW:
        await asyncio.sleep(fault.delay_ms / 1_000)
        return await call()
    await call()
    raise lost("the answer was lost")


class _FaultyTableService(TableService):
    def __init__(self, inner: TableService, faults: FaultSource) -> None:
        self._inner = inner
        self._faults = faults

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        return await _call_with_fault(
            self._faults, Operation.READ, lambda: self._inner.read(keys)
        )

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1_000
    ) -> Sequence[Row]:
        def call() -> Awaitable[Sequence[Row]]:
            return self._inner.scan(prefix, after=after, limit=limit)

        return await _call_with_fault(self._faults, Operation.SCAN, call)

    async def transact(self, writes: Sequence[Write]) -> int:
        def call() -> Awaitable[int]:
            return self._inner.transact(writes)

        return await _call_with_fault(self._faults, Operation.TRANSACT, call)


class _FaultyObjectStore(ObjectStore):
    def __init__(self, inner: ObjectStore, faults: FaultSource) -> None:
        self._inner = inner
        self._faults = faults

    async def get(self, key: str) -> str:
        return await _call_with_fault(
            self._faults, Operation.GET, lambda: self._inner.get(key)
        )

    async def put(self, key: str, text: str) -> None:
        def call() -> Awaitable[None]:
            return self._inner.put(key, text)

        await _call_with_fault(self._faults, Operation.PUT, call)


class _FaultyInstanceList(InstanceList):
    def __init__(self, inner: InstanceList, faults: FaultSource) -> None:
        self._inner = inner
        self._faults = faults

    async def read(self) -> InstanceListing:
        return await _call_with_fault(self._faults, Operation.LIST, self._inner.read)
