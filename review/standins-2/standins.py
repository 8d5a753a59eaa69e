"""Stand-ins of the platform, its backend servers and its callers for scripts.

Only the standard library is used, so that a script runs without a network.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ID = "x-rhubarbwell-request-id"
STAMP = "x-rhubarbwell-server-stamp"
HEARTBEAT_S = 1.5
CONTRACTS = ("base", "drain", "config", "cost", "retry", "recover", "places")
GRACE_S = 6.0
# Objects that the requests concern.
OBJECTS = 32
READY_TIMEOUT_S = 25.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """Report that a case could not be set up."""


class Record:
    """Write what happens to the record of a case, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message(NamedTuple):
    """Hold a request or an answer; the names of headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message; raise IncompleteReadError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start, headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a body."""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass


def encode_answer(
    status: int, headers: dict[str, str], body: bytes, reason: str = "Status"
) -> bytes:
    """Return an answer with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class HttpStandIn:
    """Serve HTTP on a free port of a loopback address."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the answer to a request, None to close the connection."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            try:
                while (
                    data := await self.answer(await read_message(reader), writer)
                ) is not None:
                    writer.write(data)
                    await writer.drain()
            finally:
                writer.close()
                self._tasks.discard(task)


class Store(HttpStandIn):
    """Keep the rows of the platform's store in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        # Returns after which time a write is performed that gets no answer, if any.
        self.late_write_s: Callable[[str], float | None] = lambda key: None
        self._late: set[asyncio.Task[bytes]] = set()
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: object | None) -> float:
        """Write a row as JSON, or remove it; return the time of the acknowledgement."""
        data = None if value is None else json.dumps(value).encode()
        async with self._changed:
            self._put(table, key, data)
            self._changed.notify_all()
        return time.monotonic()

    def _put(self, table: str, key: str, data: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = self.version, data

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the answer to a call."""
        target = urlsplit(message.start.split(" ")[1])
        query = {k: v[0] for k, v in parse_qs(target.query).items()}
        call = target.path.rpartition("/")[2]
        if call == "rows-get":
            return self._rows(self._listed(query), 0)
        if call == "rows-feed":
            return await self._feed(query)
        if call == "rows-tx":
            body = json.loads(message.body)
            for item in body.get("writes", ()):
                delay_s = self.late_write_s(item["key"])
                if delay_s is not None:
                    late = asyncio.create_task(self._transact_late(body, delay_s))
                    self._late.add(late)
                    late.add_done_callback(self._late.discard)
                    return None
            return await self._transact(body)
        return encode_answer(404, {}, b"{}")

    async def _transact_late(self, body: dict[str, Any], delay_s: float) -> bytes:
        await asyncio.sleep(delay_s)
        return await self._transact(body)

    def _listed(self, query: dict[str, str]) -> list[tuple[str, str]]:
        first = query.get("rangeStart", "")
        return sorted(
            row
            for row, (_, value) in self.rows.items()
            if row[0] == query["table"] and row[1] >= first and value is not None
        )

    def _changes(self, table: str, after: int) -> list[tuple[str, str]]:
        rows = [
            row
            for row, (version, _) in self.rows.items()
            if row[0] == table and version > after
        ]
        return sorted(rows, key=lambda row: self.rows[row][0])

    async def _feed(self, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["after"])
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1_000):
                    await self._changed.wait_for(lambda: self._changes(table, after))
        return self._rows(self._changes(table, after), after)

    def _rows(self, rows: list[tuple[str, str]], _after: int) -> bytes:
        body = {
            "rows": [self._row(row) for row in rows],
            "hasMore": False,
            "rowVersion": self.version,
            "now": f"{round(time.monotonic() * 1_000)}ms",
        }
        return _json_answer(200, body)

    def _row(self, row: tuple[str, str]) -> dict[str, Any]:
        version, value = self.rows[row]
        known = {"table": row[0], "part": "", "key": row[1], "rowVersion": version}
        if value is None:
            return {**known, "deleted": True}
        return {**known, "value": base64.b64encode(value).decode()}

    async def _transact(self, body: dict[str, Any]) -> bytes:
        async with self._changed:
            for item in body.get("expect", ()):
                row = item["table"], item["key"]
                version, value = self.rows.get(row, (0, None))
                if item["rowVersion"] != (0 if value is None else version):
                    rows = [self._row(row)] if row in self.rows else []
                    return _json_answer(412, {"rows": rows})
            for item in body.get("writes", ()):
                data = base64.b64decode(item["value"])
                self._put(item["table"], item["key"], data)
            for item in body.get("remove", ()):
                self._put(item["table"], item["key"], None)
            self._changed.notify_all()
        return _json_answer(200, {"rowVersion": self.version, "now": "1ms"})


def _json_answer(status: int, body: object) -> bytes:
    return encode_answer(
        status, {"Content-Type": "application/json"}, json.dumps(body).encode()
    )


class Run(NamedTuple):
    """Record a request that a backend server began to work on."""

    request_id: str
    backend_id: str
    target: str
    at: float


class Backend(HttpStandIn):
    """Serve requests as a backend server, and register it every heartbeat.

    spoil may answer in place of the server once the request has run.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str
    ) -> None:
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.has_left = False
        self.work_s = 0.02
        self.runs: list[Run] = []
        self.spoil: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]] | None
        self.spoil = None
        self._store, self._record = store, record
        self._born = round(time.time() * 1_000)
        self._sequence = 0
        self._running = 0

    async def register(self) -> float:
        """Write the server's entry; return the time of the acknowledgement."""
        return await self._store.put("servers", self.name, self._next_entry())

    def _next_entry(self) -> dict[str, object]:
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemaining": "0ms",
            "sequence": self._sequence,
            "born": self._born,
        }

    async def heartbeat(self) -> None:
        """Register again and again, until the server has left."""
        while not self.has_left:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def register_late(self, delay_s: float) -> float:
        """Write an entry that the store performs late; return when it does."""
        entry = self._next_entry()
        await asyncio.sleep(delay_s)
        return await self._store.put("servers", self.name, entry)

    async def leave(self) -> float:
        """Remove the entry; return the time of the acknowledgement."""
        self.has_left = True
        return await self._store.put("servers", self.name, None)

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the answer to a request."""
        _, target, _ = message.start.split(" ", 2)
        request_id = message.headers.get(ID, "")
        echoed = {"X-Rhubarbwell-Request-Id": request_id}
        expected = message.headers.get("x-rhubarbwell-expect-instance", self.name)
        if expected != self.name:
            named = {"X-Rhubarbwell-Instance-Id": self.name}
            return encode_answer(421, {**echoed, **named}, b"")
        self.runs.append(Run(request_id, self.name, target, time.monotonic()))
        self._record.write(f"runs {request_id} at {self.name}: {message.start}")
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        if self.spoil is not None and await self.spoil(message, writer):
            return None
        headers = {
            **echoed,
            "X-Rhubarbwell-Server-Stamp": f"s-{request_id}",
            "X-Rhubarbwell-Server-Load": f"{self._running + 1},0,8",
        }
        return encode_answer(200, headers, f"answer to {request_id}".encode())


class Entry:
    """Run the program of the deploy file as one entry instance."""

    def __init__(self, number: int, zone: str, store_address: str, prefix: str) -> None:
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = f"{prefix}.{number + 1}"
        self.store_address = store_address
        self.process: asyncio.subprocess.Process | None = None
        self.front, self.ready, self.control, self.directory = (
            f"{self.host}:{port}" for port in _free_ports(self.host, 4)
        )

    async def start(
        self, folder: Path, zones: dict[str, str], seeds: list[str], bounds: str
    ) -> None:
        """Write the settings and start the process."""
        quoted = ", ".join(f'"{seed}"' for seed in seeds)
        named = "\n".join(f'{zone} = "{region}"' for zone, region in zones.items())
        contracts = ", ".join(f'"{name}"' for name in (*CONTRACTS, "platform"))
        settings = folder / f"{self.name}.toml"
        settings.write_text(
            f"""node = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front", "control", "directory"]
ip = "{self.host}"
zone = "{self.zone}"
region = "{zones[self.zone]}"
seeds = [{quoted}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat = "1500ms"
contracts = [{contracts}]
[zones]
{named}
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpuShare = 0.86
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
{bounds}
[platform]
address = "{self.store_address}"
form = "table"
writesPerS = 400
readsPerS = 2000
"""
        )
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["RHUBARBWELL_NODE_FILE"] = str(settings)
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-S", "target/app/run_entry.py"),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return True if the readiness call is answered with 200."""
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(1.0):
                answer = await call(self.ready, "/rhubarbwell/readiness")
                return answer.start.split(" ")[1] == "200"
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


def _free_ports(host: str, count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


async def call(address: str, target: str) -> Message:
    """Return the answer to a GET on a new connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        return await read_message(reader)
    finally:
        writer.close()


class Sent(NamedTuple):
    """Record a request of a caller; status 0 means that no answer came.

    Times are those of the steady clock.
    """

    request_id: str
    entry: str
    sent_at: float
    ended_at: float
    status: int
    target: str


class Callers:
    """Send requests at a steady rate to one instance and record their answers."""

    _numbers = itertools.count()

    def __init__(self, record: Record, entry: Entry, host: str) -> None:
        self.sent: list[Sent] = []
        self._record, self._entry, self._host = record, entry, host
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        per_s: float,
        target: str,
        deadline_s: float,
        *,
        method: str = "GET",
        body: bytes = b"",
    ) -> None:
        """Send requests until cancelled, whether earlier ones are answered or not."""
        for number in itertools.count(1):
            due = time.monotonic() + 1.0 / per_s
            key = str(number % OBJECTS)
            path = target.replace("{}", key)
            task = asyncio.create_task(self.send(method, path, deadline_s, body, key))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(max(due - time.monotonic(), 0.0))

    async def finish(self) -> None:
        """Wait for the requests that are open."""
        await asyncio.gather(*self._tasks)

    async def send(
        self, method: str, path: str, deadline_s: float, body: bytes, key: str
    ) -> None:
        """Send a request and record how it ended for its caller."""
        request_id = f"r{next(self._numbers)}"
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
        deadline_ms = round(deadline_s * 1_000)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"X-Rhubarbwell-Request-Id: {request_id}\r\n"
            f"Cookie: X-Rhubarbwell-Affinity-Key={key}\r\n"
            f"X-Rhubarbwell-Request-Deadline: {deadline_ms}\r\n{length}\r\n"
        )
        sent_at = time.monotonic()
        self._record.write(f"sent {request_id} to {self._entry.name}: {method} {path}")
        status = 0
        writer = None
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(deadline_s):
                reader, writer = await self._connection()
                writer.write(head.encode() + body)
                await writer.drain()
                answer = await read_message(reader)
                status = int(answer.start.split(" ")[1])
                if answer.headers.get("connection", "").lower() != "close":
                    self._idle.append((reader, writer))
                    writer = None
        if writer is not None:
            writer.close()
        ended_at = time.monotonic()
        ms = round((ended_at - sent_at) * 1_000)
        outcome = f"answered {status}" if status else "not answered"
        self._record.write(f"{outcome} {request_id} after {ms} ms")
        sent = Sent(request_id, self._entry.name, sent_at, ended_at, status, path)
        self.sent.append(sent)

    async def _connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        host, _, port = self._entry.front.rpartition(":")
        async with asyncio.timeout(1.0):
            return await asyncio.open_connection(host, int(port))


class Route(NamedTuple):
    """Describe a route of the configuration."""

    prefix: str
    service: str
    kind: str = "safe"
    timeout_ms: int = 800
    aim_ms: int = 300
    max_attempts: int = 2


def config_body(version: int, host: str, routes: list[Route]) -> dict[str, Any]:
    """Return a configuration."""
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 1 << 20,
        "headerTimeout": "3s",
        "idleTimeout": "15s",
    }
    resources = [
        {"resourceKind": "limits", "metadata": {"name": "limits"}, "spec": limits}
    ]
    for service in sorted({route.service for route in routes}):
        spec = {
            "healthPath": "/health",
            "maxConnections": 390,
            "coldStart": "3s",
            "coldPerS": 6.8,
        }
        resources.append(
            {"resourceKind": "services", "metadata": {"name": service}, "spec": spec}
        )
    for number, route in enumerate(routes):
        spec = {
            "host": host,
            "prefix": route.prefix,
            "service": route.service,
            "kind": route.kind,
            "maxAttempts": route.max_attempts,
            "timeout": f"{route.timeout_ms}ms",
            "targetLatency": f"{route.aim_ms}ms",
            "priority": 1,
        }
        resources.append(
            {
                "resourceKind": "routes",
                "metadata": {"name": f"route-{number}"},
                "spec": spec,
            }
        )
    return {"version": version, "resources": resources}


BOUNDS = f"""stabilityWindow = "4000ms"
drain = "2500ms"
grace = "{GRACE_S:.0f}s"
lossSlack = "200ms"
configApply = "2500ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retrySlack = 62
coldOverage = 1.5
coldSlack = 5
evacuation = "5000ms"
maxShift = 0.15"""


class Deployment:
    """Run a store, backend servers and entry instances for the time of a case."""

    def __init__(self, record: Record, zones: dict[str, str]) -> None:
        self.record, self.zones = record, zones
        self.store = Store()
        self.backends: list[Backend] = []
        self.entries: list[Entry] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Deployment":
        """Start the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and stand-ins, and remove the folder."""
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            await entry.kill()
        for part in (*self.backends, self.store):
            await part.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    async def start_backends(self, backends: list[Backend]) -> None:
        """Start backend servers and their heartbeats."""
        for backend in backends:
            await backend.start()
            self.backends.append(backend)
            self._tasks.append(asyncio.create_task(backend.heartbeat()))

    async def start_entries(
        self, store_addresses: list[str], zones: list[str]
    ) -> list[Entry]:
        """Start entry instances and wait until all are ready."""
        if not (ROOT / "target/app/run_entry.py").exists():
            raise CannotRunError("target/app is missing: build first")
        prefix = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
        addresses = zip(store_addresses, zones, strict=True)
        entries = [Entry(n, z, a, prefix) for n, (a, z) in enumerate(addresses)]
        self.entries += entries
        seeds = [entry.control for entry in entries[:3]]
        for entry in entries:
            await entry.start(self._folder, self.zones, seeds, BOUNDS)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for entry in entries:
                    while not await entry.is_ready():
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise CannotRunError("an entry instance did not get ready") from None
        return entries


def run_case(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit with 1 if its rule was broken, 0 if not, else 2.

    case gets the record and whether the disruption is to happen, and returns True if
    the rule held.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"start, with the disruption: {has_trouble}")
    code = CANNOT_RUN
    try:
        code = HELD if asyncio.run(_run(case, record, has_trouble)) else BROKEN
    except Exception as exc:
        # A fault of the case itself must not look like a broken rule.
        record.write(f"could not run: {exc!r}")
    record.write(f"exit {code}")
    record.close()
    sys.exit(code)


async def _run(
    case: Callable[[Record, bool], Awaitable[bool]], record: Record, has_trouble: bool
) -> bool:
    async with asyncio.timeout(115.0):
        return await case(record, has_trouble)
