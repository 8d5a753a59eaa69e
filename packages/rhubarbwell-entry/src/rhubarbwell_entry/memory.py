"""Memory that a process holds for requests, with one limit for all of it."""

import asyncio
import contextlib
import logging
from collections import deque
from enum import Enum
from typing import Protocol

from rhubarbwell_core.errors import RhubarbwellError

from rhubarbwell_entry.logs import log_event

__all__ = [
    "READ_BYTES",
    "SMALL_BYTES",
    "AnswerLease",
    "LineShare",
    "MemoryPart",
    "NoMemoryError",
    "ReadControl",
    "RequestMemory",
    "answer_reserve",
    "buffer_bytes",
]

_log = logging.getLogger(__name__)

# Bodies and answers up to this size do not wait for larger ones.
SMALL_BYTES = 64 << 10
# Share of the memory that larger ones leave to small ones.
SMALL_SHARE = 0.1
# Most that a transport reads at once.
READ_BYTES = 256 << 10
# Largest share of the memory that is kept for an answer that waits.
MAX_RESERVE_SHARE = 0.4
# Largest share of the memory for the answers of requests that wait for their turn on
# their connections. Those that can be delivered get the rest.
LINE_SHARE = 0.25
# A buffer that grows piece by piece holds up to an eighth more than its content.
SPARE_DIVISOR = 8


class NoMemoryError(RhubarbwellError):
    """Report that memory for a body or an answer did not become free in time."""


class MemoryPart(Enum):
    """Represent what memory is held for.

    BODIES are those of requests, ANSWERS are being read from servers, and RESPONSES
    wait until callers take them.
    """

    BODIES = "bodies"
    ANSWERS = "answers"
    RESPONSES = "responses"


class ReadControl(Protocol):
    """Stop and continue the reading of an answer."""

    def pause_answer(self) -> None:
        """Read no further."""

    def resume_answer(self) -> None:
        """Read on."""


def buffer_bytes(size: int) -> int:
    """Return the memory of a buffer that has grown to a size in bytes."""
    return size if size <= SMALL_BYTES else size + size // SPARE_DIVISOR


def answer_reserve(max_answer_bytes: int) -> int:
    """Return the memory with which the largest answer can be read to its end."""
    return buffer_bytes(max_answer_bytes + READ_BYTES)


class RequestMemory:
    """Divide the memory for bodies and answers among the open requests.

    Memory is reserved before more is read. What is large waits in order of arrival, and
    its sender notices, because nothing is read meanwhile. Answers go before bodies:
    they have run, and their end frees a body too.

    answer_reserve_bytes are kept for one answer at a time, the first that waits. An
    answer that is no larger can then be read to its end whatever else is held, so that
    bodies and answers that are read in part never wait for each other without end.

    Answers of requests whose turn on their connection has not come are read within
    LINE_SHARE of the memory and never get the reserve: what is kept for an answer that
    can be delivered does not depend on one that waits behind it. The first read of a
    large answer may exceed the share.
    """

    def __init__(self, limit_bytes: int, answer_reserve_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = dict.fromkeys(MemoryPart, 0)
        self._reserve_bytes = min(
            answer_reserve_bytes, round(MAX_RESERVE_SHARE * limit_bytes)
        )
        self._small_limit_bytes = limit_bytes - self._reserve_bytes
        self._large_limit_bytes = self._small_limit_bytes - SMALL_SHARE * limit_bytes
        # Without what the answer that has the reserve uses of it.
        self._shared_bytes = 0
        self._reserve_owner: AnswerLease | None = None
        self._waiting_bodies: deque[tuple[int, asyncio.Future[None]]] = deque()
        self._waiting_answers: dict[AnswerLease, int] = {}
        # What is counted for requests whose turn has not come, and the answers among
        # these that wait for memory.
        self.line_bytes = 0
        self._line_limit_bytes = LINE_SHARE * limit_bytes
        self._waiting_in_line: dict[AnswerLease, int] = {}

    @property
    def used_bytes(self) -> int:
        """Return the bytes that are held or reserved."""
        owner = self._reserve_owner
        return self._shared_bytes + (0 if owner is None else owner.reserve_bytes)

    @property
    def waiting(self) -> int:
        """Return the number of bodies and answers that wait for memory.

        Those of requests whose turn has not come are left out.
        """
        return len(self._waiting_bodies) + len(self._waiting_answers)

    async def reserve(self, size: int, timeout_s: float) -> None:
        """Reserve bytes for a body; raise NoMemoryError if it takes timeout_s."""
        if size <= SMALL_BYTES:
            self.take(MemoryPart.BODIES, size)
            return
        if not self._waiting_bodies and self._fits_body(size):
            self._add(MemoryPart.BODIES, size)
            return
        if size > self._large_limit_bytes or timeout_s <= 0.0:
            self._raise_no_memory(MemoryPart.BODIES, size)
        fut = asyncio.get_running_loop().create_future()
        self._waiting_bodies.append((size, fut))
        try:
            async with asyncio.timeout(timeout_s):
                await fut
        except TimeoutError:
            self._withdraw(size, fut)
            self._raise_no_memory(MemoryPart.BODIES, size)
        except asyncio.CancelledError:
            self._withdraw(size, fut)
            raise

    def _withdraw(self, size: int, fut: asyncio.Future[None]) -> None:
        """Return the memory of a wait that has ended, also if it was just granted."""
        if fut.done() and not fut.cancelled():
            self.release(size)
            return
        # A cancelled wait may have left the queue when it was its turn.
        with contextlib.suppress(ValueError):
            self._waiting_bodies.remove((size, fut))
        self.grant_waiting()

    def take(self, part: MemoryPart, size: int) -> None:
        """Take bytes at once; raise NoMemoryError if there are none."""
        if self._shared_bytes + size > self._small_limit_bytes:
            self._raise_no_memory(part, size)
        self._add(part, size)

    def release(self, size: int, part: MemoryPart = MemoryPart.BODIES) -> None:
        """Return bytes and grant them to what waits."""
        self._add(part, -size)
        self.grant_waiting()

    def move(self, size: int, part: MemoryPart, other: MemoryPart) -> None:
        """Count bytes of one part as those of another."""
        self.held_bytes[part] -= size
        self.held_bytes[other] += size

    def reserve_answer(self, lease: "AnswerLease", size: int) -> bool:
        """Grant bytes to a lease and return True, or False if it has to wait."""
        if lease.is_in_line:
            if not self._waiting_in_line and self._grant_in_line(lease, size):
                return True
            self._waiting_in_line[lease] = size
            return False
        is_behind = self._waiting_answers and lease is not self._reserve_owner
        if not is_behind and self._grant_answer(lease, size):
            return True
        self._waiting_answers[lease] = size
        return False

    def withdraw_answer(self, lease: "AnswerLease") -> None:
        """Grant nothing further to an answer that has been read or given up."""
        self._waiting_answers.pop(lease, None)
        self._waiting_in_line.pop(lease, None)

    def enter_line(self) -> "LineShare | None":
        """Return a share for a request that starts before its turn, None if full."""
        size = self.line_bytes + SMALL_BYTES
        if self._waiting_in_line or size > self._line_limit_bytes:
            return None
        return LineShare(self)

    def leave_line(self, lease: "AnswerLease") -> None:
        """Let an answer wait for memory like others, as its turn has come."""
        size = self._waiting_in_line.pop(lease, None)
        if size is not None:
            self.reserve_answer(lease, size)

    def end_answer(
        self, lease: "AnswerLease", part: MemoryPart, shared: int, reserve: int
    ) -> None:
        """Return what an answer held and grant it to what waits."""
        self.withdraw_answer(lease)
        if self._reserve_owner is lease:
            self._reserve_owner = None
        self.held_bytes[part] -= reserve
        self.release(shared, part)

    def grant_waiting(self) -> None:
        """Grant free memory to the answers and bodies that wait for it."""
        owner = self._reserve_owner
        if owner is not None:
            if owner.is_complete:
                self._move_from_reserve(owner)
            elif owner in self._waiting_answers:
                self._grant_first((owner,))
        if self._waiting_answers:
            self._grant_first(tuple(self._waiting_answers))
        for lease, size in tuple(self._waiting_in_line.items()):
            if not self._grant_in_line(lease, size):
                break
            self._waiting_in_line.pop(lease, None)
        while self._waiting_bodies and self._fits_body(self._waiting_bodies[0][0]):
            size, fut = self._waiting_bodies.popleft()
            if not fut.done():
                self._add(MemoryPart.BODIES, size)
                fut.set_result(None)

    def _grant_first(self, leases: "tuple[AnswerLease, ...]") -> None:
        for lease in leases:
            if not self._grant_answer(lease, self._waiting_answers[lease]):
                return
            del self._waiting_answers[lease]

    def _grant_answer(self, lease: "AnswerLease", size: int) -> bool:
        if self._shared_bytes + size <= self._large_limit_bytes:
            self._add(MemoryPart.ANSWERS, size)
            lease.grant(size)
            return True
        if self._reserve_owner not in (None, lease):
            return False
        if lease.reserve_bytes + size > self._reserve_bytes:
            return False
        self._reserve_owner = lease
        self.held_bytes[MemoryPart.ANSWERS] += size
        lease.grant(size, from_reserve=True)
        return True

    def _grant_in_line(self, lease: "AnswerLease", size: int) -> bool:
        if self._waiting_answers:
            return False
        if self._shared_bytes + size > self._large_limit_bytes:
            return False
        if self.line_bytes + size > self._line_limit_bytes:
            return False
        self._add(MemoryPart.ANSWERS, size)
        lease.grant(size)
        return True

    def _move_from_reserve(self, lease: "AnswerLease") -> None:
        """Free the reserve of an answer that has been read, if the rest has room."""
        size = lease.reserve_bytes
        if self._shared_bytes + size <= self._large_limit_bytes:
            self._shared_bytes += size
            lease.leave_reserve()
            self._reserve_owner = None

    def _fits_body(self, size: int) -> bool:
        if self._waiting_answers:
            return False
        return self._shared_bytes + size <= self._large_limit_bytes

    def _add(self, part: MemoryPart, size: int) -> None:
        self._shared_bytes += size
        self.held_bytes[part] += size

    def _raise_no_memory(self, part: MemoryPart, size: int) -> None:
        is_body = part is MemoryPart.BODIES
        log_event(
            _log,
            logging.WARNING,
            "no_body_memory" if is_body else "no_answer_memory",
            "a request body found no memory in time"
            if is_body
            else "an answer found no memory and was given up",
            bytes=size,
            used_bytes=self.used_bytes,
            limit_bytes=self.limit_bytes,
            waiting=self.waiting,
        )
        raise NoMemoryError


class LineShare:
    """Count the memory of a request's answers until its turn on its connection."""

    def __init__(self, memory: RequestMemory) -> None:
        self.is_waiting = True
        self._memory = memory
        self._leases: set[AnswerLease] = set()
        # A small answer waits for nothing, so its memory is counted from the start.
        self._counted_bytes = SMALL_BYTES
        memory.line_bytes += SMALL_BYTES

    def add(self, lease: "AnswerLease") -> None:
        """Count a further answer."""
        self._leases.add(lease)

    def remove(self, lease: "AnswerLease") -> None:
        """Count an answer no more."""
        self._leases.discard(lease)
        self.update()

    def update(self) -> None:
        """Count what the answers hold now."""
        if not self.is_waiting:
            return
        size = sum(lease.size for lease in self._leases)
        if not any(lease.is_complete for lease in self._leases):
            size = max(size, SMALL_BYTES)
        self._memory.line_bytes += size - self._counted_bytes
        self._counted_bytes = size

    def end(self) -> None:
        """Count nothing any more: the request's turn has come, or it has ended."""
        if not self.is_waiting:
            return
        self.is_waiting = False
        self._memory.line_bytes -= self._counted_bytes
        for lease in tuple(self._leases):
            self._memory.leave_line(lease)
        self._memory.grant_waiting()


class AnswerLease:
    """Hold the memory of an answer until a caller has taken it.

    share counts it as long as the request waits for its turn on its connection.
    """

    __slots__ = (
        "_control",
        "_is_released",
        "_memory",
        "_part",
        "_share",
        "_shared_bytes",
        "has_waited_in_line",
        "is_complete",
        "reserve_bytes",
    )

    def __init__(self, memory: RequestMemory, share: LineShare | None = None) -> None:
        self.is_complete = False
        # True if it was not read on for a time, as its turn had not come.
        self.has_waited_in_line = False
        # What is held of the memory's reserve.
        self.reserve_bytes = 0
        self._memory = memory
        self._part = MemoryPart.ANSWERS
        self._shared_bytes = 0
        self._control: ReadControl | None = None
        self._is_released = False
        self._share = share
        if share is not None:
            share.add(self)

    @property
    def is_in_line(self) -> bool:
        """Return True if the request's turn on its connection has not come."""
        return self._share is not None and self._share.is_waiting

    @property
    def size(self) -> int:
        """Return the bytes that are held."""
        return self._shared_bytes + self.reserve_bytes

    @property
    def is_waiting(self) -> bool:
        """Return True if the answer is not read on for want of memory."""
        return self._control is not None

    def cover(self, size: int, ahead: int, control: ReadControl) -> None:
        """Hold the size bytes that have arrived, and memory for ahead further ones.

        Without memory for these, nothing is read until there is. Raises NoMemoryError
        if there is none for what has arrived.
        """
        if self._is_released:
            return
        taken = buffer_bytes(size) - self.size
        if taken > 0:
            self._memory.take(self._part, taken)
            self._shared_bytes += taken
            if self._share is not None:
                self._share.update()
        # Small answers wait for nothing.
        if not ahead or size <= SMALL_BYTES or self._control is not None:
            return
        needed = buffer_bytes(size + ahead) - self.size
        if needed > 0 and not self._memory.reserve_answer(self, needed):
            self._control = control
            self.has_waited_in_line = self.has_waited_in_line or self.is_in_line
            control.pause_answer()

    def grant(self, size: int, *, from_reserve: bool = False) -> None:
        """Hold bytes that the memory has reserved, and read on."""
        if from_reserve:
            self.reserve_bytes += size
        else:
            self._shared_bytes += size
        if self._share is not None:
            self._share.update()
        control, self._control = self._control, None
        if control is not None:
            control.resume_answer()

    def stop_waiting(self) -> None:
        """Ask for no further memory; nothing else of the answer is due."""
        self._memory.withdraw_answer(self)
        control, self._control = self._control, None
        if control is not None:
            control.resume_answer()

    def leave_reserve(self) -> None:
        """Hold what came from the reserve as shared memory."""
        self._shared_bytes += self.reserve_bytes
        self.reserve_bytes = 0

    def complete(self, size: int) -> None:
        """Hold the size bytes of an answer that has been read, until it is taken."""
        memory = self._memory
        memory.withdraw_answer(self)
        self._control = None
        self.is_complete = True
        unused = min(max(self.size - buffer_bytes(size), 0), self._shared_bytes)
        self._shared_bytes -= unused
        memory.move(self.size, self._part, MemoryPart.RESPONSES)
        read_part, self._part = self._part, MemoryPart.RESPONSES
        if self._share is not None:
            self._share.update()
        memory.release(unused, read_part)

    def release(self) -> None:
        """Return the memory; the lease holds nothing after it."""
        self._control = None
        self._is_released = True
        shared, reserve = self._shared_bytes, self.reserve_bytes
        self._shared_bytes = self.reserve_bytes = 0
        if self._share is not None:
            self._share.remove(self)
        self._memory.end_answer(self, self._part, shared, reserve)
