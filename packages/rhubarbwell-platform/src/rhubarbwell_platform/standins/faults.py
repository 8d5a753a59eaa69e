"""Backend server on plain sockets with scripted protocol and network faults."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.model import Address

__all__ = ["Fault", "FaultScript", "FaultyBackend", "RawRequest"]

ATTEMPT_HEADER = "rhubarbwell-attempt"
WRITE_DELAY_MS = 1
LATE_ANSWER_DELAY_MS = 300


class Fault(Enum):
    """Identify a fault of a connection or an answer.

    The SHED members and BARE_503 refuse a request without running it.
    """

    CLOSE_ON_ACCEPT = "close_on_accept"
    RESET_ON_HEAD = "reset_on_head"
    RESET_MID_UPLOAD = "reset_mid_upload"
    SILENT = "silent"
    RESET_AFTER_REQUEST = "reset_after_request"
    CLOSE_AFTER_REQUEST = "close_after_request"
    RESET_MID_HEADERS = "reset_mid_headers"
    RESET_AFTER_HEADERS = "reset_after_headers"
    RESET_MID_BODY = "reset_mid_body"
    SILENT_MID_BODY = "silent_mid_body"
    CUT_SHORT = "cut_short"
    CUT_SHORT_CHUNKED = "cut_short_chunked"
    NO_FRAMING = "no_framing"
    GARBAGE = "garbage"
    HUGE_HEADERS = "huge_headers"
    CROSSED = "crossed"
    DOUBLED = "doubled"
    DOUBLED_LATER = "doubled_later"
    LATE = "late"
    DRIP = "drip"
    INTERIM = "interim"
    EARLY = "early"
    SHED_RETRY_AFTER = "shed_retry_after"
    SHED_OUTCOME = "shed_outcome"
    SHED_TOO_MANY = "shed_too_many"
    BARE_503 = "bare_503"


class RawRequest(NamedTuple):
    """Hold the request line and headers of a request, with names in lower case."""

    method: str
    path: str
    headers: dict[str, str]


class FaultScript:
    """Select the requests that fail, counted over all servers that share the script.

    The first `after` requests are answered correctly, the next `times` requests meet
    the fault, and all later ones are answered correctly again.
    """

    def __init__(self, fault: Fault, *, after: int = 0, times: int = 1) -> None:
        self.fault = fault
        self.runs: list[str] = []
        self._requests = 0
        self._first = after
        self._last = after + times

    def next_fault(self, req: RawRequest | None = None) -> Fault | None:
        """Count a request; return its fault, None if the request is answered correctly.

        req is None for a connection on which no request was read.
        """
        self._requests += 1
        is_faulty = self._first < self._requests <= self._last
        return self.fault if is_faulty else None

    def drops_connection(self) -> bool:
        """Return True if a new connection is to be closed at once.

        With CLOSE_ON_ACCEPT, a connection counts as a request once `after` requests
        have been answered.
        """
        if self.fault is not Fault.CLOSE_ON_ACCEPT:
            return False
        return self._first <= self._requests and self.next_fault() is not None


class FaultyBackend:
    """Answer with the method and path of the request unless the script sets a fault."""

    def __init__(self, script: FaultScript, *, echoes_attempt: bool = True) -> None:
        self.connections = 0
        self._script = script
        self._echoes_attempt = echoes_attempt
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1") -> Address:
        """Start listening on a free port and return the address."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        return Address(bound_host, bound_port)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            if not self._script.drops_connection():
                await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            req = await _read_head(reader)
            fault = self._script.next_fault(req)
            action_before_body = _FAULTS_BEFORE_BODY.get(fault) if fault else None
            if action_before_body is not None:
                await action_before_body(req, reader, writer)
                return
            await _read_body(req, reader)
            self._record_run(req, fault)
            answer = self._make_answer(req)
            if fault is None:
                writer.write(answer)
                await writer.drain()
            elif not await _FAULTS_AFTER_BODY[fault](answer, writer):
                return

    def _record_run(self, req: RawRequest, fault: Fault | None) -> None:
        if fault not in _SHED_FAULTS:
            self._script.runs.append(f"{req.method} {req.path}")

    def _make_answer(self, req: RawRequest) -> bytes:
        body = f"{req.method} {req.path}".encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
        if self._echoes_attempt and ATTEMPT_HEADER in req.headers:
            head += f"Rhubarbwell-Attempt: {req.headers[ATTEMPT_HEADER]}\r\n"
        return head.encode() + b"\r\n" + body


async def _read_head(reader: asyncio.StreamReader) -> RawRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    method, path, _ = first.split(" ")
    pairs = (line.split(":", 1) for line in lines)
    return RawRequest(
        method, path, {name.strip().lower(): value.strip() for name, value in pairs}
    )


async def _read_body(req: RawRequest, reader: asyncio.StreamReader) -> None:
    if "chunked" in req.headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
        return
    await reader.readexactly(int(req.headers.get("content-length", "0")))


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _reset_on_head(
    req: RawRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    _reset_connection(writer)


async def _reset_mid_upload(
    req: RawRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read(1)
    _reset_connection(writer)


async def _answer_early(
    req: RawRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n")
    writer.write(b"Connection: close\r\n\r\n")
    await writer.drain()


async def _never_answer(answer: bytes, writer: asyncio.StreamWriter) -> bool:
    await asyncio.Event().wait()
    return False


async def _stall_mid_body(answer: bytes, writer: asyncio.StreamWriter) -> bool:
    writer.write(answer[: _head_end(answer) + 3])
    await writer.drain()
    return await _never_answer(answer, writer)


async def _reset_now(answer: bytes, writer: asyncio.StreamWriter) -> bool:
    _reset_connection(writer)
    return False


async def _close_now(answer: bytes, writer: asyncio.StreamWriter) -> bool:
    return False


def _reset_after(prefix_length: Callable[[bytes], int]) -> "_FaultAction":
    async def reset(answer: bytes, writer: asyncio.StreamWriter) -> bool:
        writer.write(answer[: prefix_length(answer)])
        await writer.drain()
        await asyncio.sleep(WRITE_DELAY_MS / 1_000)
        _reset_connection(writer)
        return False

    return reset


def _send_and_close(change: Callable[[bytes], bytes]) -> "_FaultAction":
    async def close(answer: bytes, writer: asyncio.StreamWriter) -> bool:
        writer.write(change(answer))
        await writer.drain()
        return False

    return close


def _send_and_keep_open(change: Callable[[bytes], bytes]) -> "_FaultAction":
    async def send(answer: bytes, writer: asyncio.StreamWriter) -> bool:
        writer.write(change(answer))
        await writer.drain()
        return True

    return send


async def _send_twice_with_delay(answer: bytes, writer: asyncio.StreamWriter) -> bool:
    writer.write(answer)
    await writer.drain()
    await asyncio.sleep(WRITE_DELAY_MS * 5 / 1_000)
    writer.write(answer)
    return True


async def _send_after_delay(answer: bytes, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(LATE_ANSWER_DELAY_MS / 1_000)
    writer.write(answer)
    return True


async def _send_in_chunks(answer: bytes, writer: asyncio.StreamWriter) -> bool:
    for start in range(0, len(answer), 8):
        writer.write(answer[start : start + 8])
        await writer.drain()
        await asyncio.sleep(WRITE_DELAY_MS / 1_000)
    return True


def _head_end(answer: bytes) -> int:
    return answer.index(b"\r\n\r\n") + 4


def _chunked_without_end(answer: bytes) -> bytes:
    length = b"Content-Length: %d" % (len(answer) - _head_end(answer))
    head = answer[: _head_end(answer)].replace(length, b"Transfer-Encoding: chunked")
    body = answer[_head_end(answer) :]
    return head + b"%x\r\n" % len(body) + body + b"\r\n"


def _without_framing(answer: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n\r\n" + answer[_head_end(answer) :]


def _with_header(name: str, value: str) -> Callable[[bytes], bytes]:
    line = f"{name}: {value}\r\n\r\n".encode()
    return lambda answer: answer.replace(b"\r\n\r\n", b"\r\n" + line, 1)


def _as_shed_answer(status: str, header: str) -> Callable[[bytes], bytes]:
    def shed_answer(answer: bytes) -> bytes:
        _, _, *other_headers = answer[: _head_end(answer) - 4].decode().split("\r\n")
        lines = [f"HTTP/1.1 {status}", "Content-Length: 0", header, *other_headers]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    return shed_answer


def _with_other_attempt_id(answer: bytes) -> bytes:
    return answer.replace(b"Rhubarbwell-Attempt: ", b"Rhubarbwell-Attempt: other-")


# Returns True if the connection stays open for the next request.
_FaultAction = Callable[[bytes, asyncio.StreamWriter], Awaitable[bool]]

_FAULTS_BEFORE_BODY = {
    Fault.RESET_ON_HEAD: _reset_on_head,
    Fault.RESET_MID_UPLOAD: _reset_mid_upload,
    Fault.EARLY: _answer_early,
}
_SHED_FAULTS = frozenset(
    {
        Fault.SHED_RETRY_AFTER,
        Fault.SHED_OUTCOME,
        Fault.SHED_TOO_MANY,
        Fault.BARE_503,
    }
)
_FAULTS_AFTER_BODY: dict[Fault, _FaultAction] = {
    Fault.SILENT: _never_answer,
    Fault.SILENT_MID_BODY: _stall_mid_body,
    Fault.RESET_AFTER_REQUEST: _reset_now,
    Fault.CLOSE_AFTER_REQUEST: _close_now,
    Fault.RESET_MID_HEADERS: _reset_after(lambda answer: 20),
    Fault.RESET_AFTER_HEADERS: _reset_after(_head_end),
    Fault.RESET_MID_BODY: _reset_after(lambda answer: _head_end(answer) + 3),
    Fault.CUT_SHORT: _send_and_close(lambda answer: answer[:-3]),
    Fault.CUT_SHORT_CHUNKED: _send_and_close(_chunked_without_end),
    Fault.NO_FRAMING: _send_and_close(_without_framing),
    Fault.GARBAGE: _send_and_close(lambda answer: b"\x00\x01 not HTTP\r\n\r\n"),
    Fault.HUGE_HEADERS: _send_and_keep_open(_with_header("X-Huge", "x" * 64_000)),
    Fault.CROSSED: _send_and_keep_open(_with_other_attempt_id),
    Fault.DOUBLED: _send_and_keep_open(lambda answer: answer + answer),
    Fault.DOUBLED_LATER: _send_twice_with_delay,
    Fault.LATE: _send_after_delay,
    Fault.DRIP: _send_in_chunks,
    Fault.INTERIM: _send_and_keep_open(
        lambda answer: b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answer
    ),
    Fault.SHED_RETRY_AFTER: _send_and_keep_open(
        _as_shed_answer("503 Busy", "Retry-After: 1")
    ),
    Fault.SHED_OUTCOME: _send_and_keep_open(
        _as_shed_answer("503 Busy", "Rhubarbwell-Outcome: not_run")
    ),
    Fault.SHED_TOO_MANY: _send_and_keep_open(
        _as_shed_answer("429 Too Many", "Retry-After: 1")
    ),
    Fault.BARE_503: _send_and_keep_open(_as_shed_answer("503 Busy", "X-Reason: none")),
}
