"""Entry instance in direct forwarding: its listeners and background tasks."""

import asyncio
import logging
import secrets
import socket
from collections.abc import Awaitable, Callable, Sequence
from random import Random, SystemRandom
from typing import Any

from aiohttp import web
from opentelemetry.metrics import Observation
from rhubarbwell_core.direct import (
    CallerLimits,
    FollowerTracker,
    InstanceEntry,
    InstanceTable,
    LoadBalancer,
    LoadBalancerRules,
    QuotaMember,
    request_capacity,
)
from rhubarbwell_core.engine import Action, TimerService
from rhubarbwell_core.model import Address, host_port
from rhubarbwell_platform.http import open_session
from tenacity import AsyncRetrying

from rhubarbwell_entry.clocks import monotonic_ms, unix_ms
from rhubarbwell_entry.direct.accounts import AccountCheck
from rhubarbwell_entry.direct.callers import CallerServer, EarlyHandler, Handler
from rhubarbwell_entry.direct.changes import ChangesClient
from rhubarbwell_entry.direct.configs import ConfigSearch
from rhubarbwell_entry.direct.credits import CreditsClient, QuotaGate
from rhubarbwell_entry.direct.decisions import DecisionHandler
from rhubarbwell_entry.direct.follower import (
    PollSchedule,
    StoreHealth,
    TableFollower,
    Upstream,
)
from rhubarbwell_entry.direct.forwarding import Forwarder
from rhubarbwell_entry.direct.handler import DirectHandler
from rhubarbwell_entry.direct.limits import ConcurrencyWatch
from rhubarbwell_entry.direct.looplag import LoopLag
from rhubarbwell_entry.direct.losses import LossChecks
from rhubarbwell_entry.direct.metrics import DirectMetrics
from rhubarbwell_entry.direct.operators import OperatorHandler
from rhubarbwell_entry.direct.registrar import Registrar
from rhubarbwell_entry.direct.relay import ChangeRelay, PeerFollower
from rhubarbwell_entry.direct.residence import HeldBytes, MemoryWatch, resident_bytes
from rhubarbwell_entry.direct.seeds import SeedLoader
from rhubarbwell_entry.direct.sending import DirectSender
from rhubarbwell_entry.direct.settings import DirectSettings
from rhubarbwell_entry.direct.state import FleetState
from rhubarbwell_entry.direct.wire import DirectPlatform
from rhubarbwell_entry.listeners import open_listening_sockets
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.memory import MemoryPart, RequestMemory, answer_reserve
from rhubarbwell_entry.startup import wait_options
from rhubarbwell_entry.tasks import BackgroundTasks

__all__ = ["DirectInstance"]

_log = logging.getLogger(__name__)

INCARNATION_BYTES = 8
# Default time in which the parts of an instance stop one after the other. Each may use
# its share of what is left, so that one that hangs leaves time for the others.
STOP_TIMEOUT_S = 2.0
# aiohttp waits this long for the open requests of a listener, and as long again for
# their cancellation; with 0 it waits without limit.
LISTENER_CLOSE_TIMEOUT_S = 0.02
# Callers reuse a connection up to the idle timeout; the instance must close it later
# than they do.
IDLE_TIMEOUT_FACTOR = 1.25
MS_PER_S = 1_000
# Two heartbeat periods of 2 s and 0.4 s: one heartbeat may be missing and the next
# one late.
LIVENESS_TIMEOUT_MS = 4_400
ADVANCE_PERIOD_MS = 250
METRICS_RETRY_PERIOD_S = 1.0
# Heartbeats arrive continuously; the pause batches those of several instances.
INSTANCE_POLL_TIMES = {
    "wait_ms": 1_500,
    "pause_ms": 700,
    "stale_ms": 4_000,
    "settle_ms": 500,
}


class DirectInstance:
    """Run an entry instance on the current event loop."""

    def __init__(
        self,
        platform: DirectPlatform,
        settings: DirectSettings,
        *,
        rng: Random | None = None,
        clock_ms: Callable[[], int] = monotonic_ms,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self._rng = rng or SystemRandom()
        self.clock_ms = clock_ms
        self.metrics = DirectMetrics(settings)
        self._tasks = BackgroundTasks(self.metrics.record_task_failure)
        self._timers = TimerService(now_ms=clock_ms())
        self._runners: list[web.ServerRunner] = []
        self._sockets: dict[Address, socket.socket] = {}
        self._upstream = Upstream()
        self.is_started = False
        self.leaving = False
        self._own_entry = InstanceEntry(
            settings.instance_id,
            secrets.token_hex(INCARNATION_BYTES),
            settings.zone,
            settings.region,
            settings.callers,
            settings.control,
            beat=unix_ms(),
            capacity=request_capacity(
                settings.processor_cores, settings.link_mbit_per_s
            ),
        )
        self._memory = RequestMemory(
            settings.max_request_memory_bytes, answer_reserve(settings.max_answer_bytes)
        )
        self._memory_watch = MemoryWatch(settings.memory_bytes, self._held_bytes)
        self._loop_lag = LoopLag()
        self._followers = FollowerTracker()
        self.instances = InstanceTable(
            self._own_entry, liveness_timeout_ms=LIVENESS_TIMEOUT_MS
        )
        self.balancer = LoadBalancer(
            settings.instance_id,
            settings.zone,
            dict(settings.regions),
            LoadBalancerRules(
                settings.retries,
                max_shift=settings.max_shift,
                sheds_load=settings.sheds_load,
                body_bytes_per_slot=settings.body_bytes_per_slot,
                adapts_concurrency=settings.adapts_concurrency,
                sheds_load_by_pace=settings.sheds_load_by_pace,
                adapts_concurrency_by_pace=settings.adapts_concurrency_by_pace,
            ),
            self._rng,
        )
        self.state = FleetState(platform, self.balancer, self.instances)
        self.state.eras.subscribe(self._on_store_restored)
        self._add_gauges()
        self._limit_watch = ConcurrencyWatch(self.balancer.backends, clock_ms)
        self._limit_watch.add_gauges(self.metrics)

    @property
    def is_ready(self) -> bool:
        """Return True if the instance is configured, able to run and not stopping."""
        return self.state.is_configured and self._tasks.can_run and not self.leaving

    @property
    def _config_version(self) -> int:
        config = self.balancer.config
        return config.version if config is not None else 0

    def open_sockets(self) -> None:
        """Listen on all addresses but that of the metrics.

        Raises OSError if one of them cannot be had; then no caller is accepted.
        """
        cfg = self.settings
        # Operators' addresses may be one; that of the callers is opened last, as they
        # may come once the others listen.
        operators = dict.fromkeys((cfg.readiness, cfg.directory, cfg.control))
        addresses = (*operators, cfg.callers)
        socks = open_listening_sockets(*addresses)
        self._sockets = dict(zip(addresses, socks, strict=True))

    async def start(self) -> None:
        """Start listeners and tasks; raise OSError if an address is in use."""
        if not self._sockets:
            self.open_sockets()
        self.is_started = True
        self._session = open_session()
        self._store = self.platform.open_store(
            self._session, self.settings, self.state.eras
        )
        self._health = StoreHealth(
            self._on_store_lost, self._on_store_up, self.clock_ms
        )
        self._sender = DirectSender(
            self.platform,
            self._memory,
            self.clock_ms,
            max_answer_bytes=self.settings.max_answer_bytes,
            max_pause_ms=self.settings.max_pause_ms,
            on_idle_lost=self._on_idle_connection_lost,
        )
        self._losses = LossChecks(
            self.balancer, self._sender.oldest_open_ms, self._tasks, self.clock_ms
        )
        self._accounts = accounts = AccountCheck(
            self.platform.names,
            self.balancer,
            lambda: self.state.config_age_ms(self.clock_ms()),
            self.settings.config_apply_ms,
            self._rng,
            self.clock_ms,
        )
        forwarder = Forwarder(
            self.balancer,
            self._sender,
            self._losses,
            self.metrics,
            accounts,
            self.clock_ms,
        )
        cfg = self.settings
        self.quotas = QuotaGate(
            QuotaMember(cfg.instance_id, cfg.zone, cfg.region),
            cfg.quotas,
            self.balancer,
            self.instances,
            CreditsClient(self._session),
            self._tasks,
            self.metrics,
            self.clock_ms,
            rng=self._rng,
            is_first_start=cfg.is_first_start,
        )
        self._tasks.supervise("quotas", self.quotas.run)
        self.handler = DirectHandler(
            self.platform.names,
            self.balancer,
            forwarder,
            self.quotas,
            self.metrics,
            self._memory,
            accounts,
            self.clock_ms,
        )
        await self._start_listeners()
        self._start_followers()
        self._timers.subscribe(ADVANCE_PERIOD_MS, self._advance)
        self._tasks.supervise("timers", self._run_timers, essential=True)
        self.registrar = Registrar(
            self._own_entry,
            self.platform.names.instance_table,
            self._store,
            self.instances,
            self._followers,
            self._upstream,
            self.state.instance_row_version,
            lambda: self.is_ready,
            self.clock_ms,
            eras=self.state.eras,
            own_row=lambda: self.state.instance_row(self.settings.instance_id),
            on_restored=self.state.restoration.record_registration,
            synced_until_ms=lambda: self.state.synced_until_ms[
                self.platform.names.instance_table
            ],
            divides_quotas=self.settings.divides_quotas,
            max_writes_per_s=self.settings.store_options.writes_per_s,
            rng=self._rng,
        )
        self._tasks.supervise("registrar", self.registrar.run)
        log_event(
            _log,
            logging.INFO,
            "instance_started",
            "entry instance listens for callers",
            instance_id=self.settings.instance_id,
            zone=self.settings.zone,
            callers=host_port(self.settings.callers),
            incarnation=self._own_entry.incarnation,
        )

    async def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Stop all parts within timeout_s; stop waiting for those that take longer."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        parts: tuple[tuple[str, Callable[[], Awaitable[Any]]], ...] = (
            ("background calls", self._tasks.close),
            ("listeners", self._close_listeners),
            ("connections to servers", self._sender.close),
            ("connections to the store", self._session.close),
        )
        for number, (part, stop) in enumerate(parts):
            left_s = max(end_s - loop.time(), 0.0)
            await self._stop_part(part, stop(), left_s / (len(parts) - number))
        self.metrics.close()
        log_event(_log, logging.INFO, "instance_stopped", "entry instance stopped")

    async def _close_listeners(self) -> None:
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def _stop_part(
        self, part: str, stopped: Awaitable[Any], timeout_s: float
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await stopped
        except TimeoutError:
            log_event(
                _log,
                logging.WARNING,
                "part_did_not_end",
                "a part of the instance did not stop in time; continuing the shutdown",
                part=part,
                timeout_ms=round(timeout_s * MS_PER_S),
            )

    async def _start_listeners(self) -> None:
        cfg = self.settings
        self.callers = await self._listen_at(
            cfg.callers, self.handler.handle, early=self.handler
        )
        operators = OperatorHandler(
            self.platform,
            self.instances,
            self.metrics,
            ChangeRelay(
                cfg.instance_id,
                self.state,
                self._health,
                self._upstream,
                self._followers,
                self.clock_ms,
            ),
            self.quotas,
            DecisionHandler(
                cfg.instance_id,
                self.balancer,
                self._accounts,
                self.quotas,
                self.handler,
                self.metrics,
                self.clock_ms,
            ),
            lambda: self.is_ready,
        )
        for address in list(self._sockets):
            if address != cfg.callers:
                await self._listen_at(address, operators.handle)
        self._start_metrics(operators.handle)

    def _start_metrics(self, handle: Handler) -> None:
        """Serve the metrics once their address is free; callers do without them."""
        address = self.settings.metrics
        if address == self.settings.callers:
            log_event(
                _log,
                logging.WARNING,
                "metrics_not_served",
                "callers use the address of the metrics",
                address=host_port(address),
            )
        elif address not in self._sockets:
            self._tasks.supervise("metrics", lambda: self._serve_metrics(handle))

    async def _serve_metrics(self, handle: Handler) -> None:
        address = self.settings.metrics

        async def open_socket() -> None:
            if address not in self._sockets:
                (self._sockets[address],) = open_listening_sockets(address)

        options = wait_options("metrics", OSError, period_s=METRICS_RETRY_PERIOD_S)
        await AsyncRetrying(**options)(open_socket)
        await self._listen_at(address, handle)

    async def _listen_at(
        self, address: Address, handle: Handler, *, early: EarlyHandler | None = None
    ) -> CallerServer:
        server = CallerServer(
            handle, self._idle_timeout_s, self._header_timeout_s, early
        )
        runner = web.ServerRunner(server, shutdown_timeout=LISTENER_CLOSE_TIMEOUT_S)
        self._runners.append(runner)
        await runner.setup()
        await server.listen(runner, self._sockets[address])
        return server

    @property
    def _caller_limits(self) -> CallerLimits:
        config = self.balancer.config
        return CallerLimits() if config is None else config.limits

    def _idle_timeout_s(self) -> float:
        return IDLE_TIMEOUT_FACTOR * self._caller_limits.idle_timeout_ms / MS_PER_S

    def _header_timeout_s(self) -> float:
        return self._caller_limits.header_timeout_ms / MS_PER_S

    def _start_followers(self) -> None:
        names = self.platform.names
        schedules = (
            _poll_schedule(
                names.operator_table,
                self.settings.config_apply_ms,
                wait_share=0.25,
                pause_share=0.0,
                stale_share=0.65,
            ),
            _poll_schedule(
                names.backend_table,
                self.settings.drain_ms,
                wait_share=0.25,
                pause_share=0.125,
                stale_share=0.75,
            ),
            PollSchedule(names.instance_table, **INSTANCE_POLL_TIMES),
        )
        client = ChangesClient(self._session)
        seeds = SeedLoader(
            self.settings.seeds,
            self.settings.control,
            is_first_start=self.settings.is_first_start,
            state=self.state,
            health=self._health,
            upstream=self._upstream,
            schedules=schedules,
            client=client,
            rng=self._rng,
            clock_ms=self.clock_ms,
        )
        self._tasks.supervise("seeds", seeds.load_during_outage)
        for schedule in schedules:
            follower = TableFollower(
                schedule,
                self._store,
                self.state,
                self._health,
                self._upstream,
                rng=self._rng,
                clock_ms=self.clock_ms,
            )
            self._tasks.supervise(
                f"follower of {schedule.table}", follower.run, essential=True
            )
        peers = PeerFollower(
            self._own_entry,
            self.state,
            self.instances,
            self._health,
            self._upstream,
            schedules,
            client,
            seeds,
            self.clock_ms,
        )
        configs = ConfigSearch(
            self.settings.seeds,
            self.settings.control,
            self.state,
            self.instances,
            self._upstream,
            client,
            is_first_start=self.settings.is_first_start,
        )
        self._tasks.supervise("newest configuration", configs.run)
        self._tasks.supervise("follower of peers", peers.run, essential=True)

    async def _run_timers(self) -> None:
        while True:
            self._timers.advance(self.clock_ms())
            due_ms = self._timers.next_due_ms() or self.clock_ms()
            await asyncio.sleep(max(due_ms - self.clock_ms(), 1) / 1_000)
            self._loop_lag.record_delay(self.clock_ms() - due_ms)

    def _advance(self, now_ms: int) -> Sequence[Action]:
        self.instances.own_is_busy = self._loop_lag.is_busy
        self.state.restoration.advance(now_ms)
        self._accounts.note_time(self.clock_ms())
        registrar = self.registrar
        self.quotas.update(
            registrar.confirmed_ms,
            was_listed=registrar.was_listed,
            listed_ms=registrar.listed_ms,
        )
        self._memory_watch.check(self.callers.open_requests)
        self.callers.end_left()
        self.callers.check_untaken(is_memory_short=self._memory.waiting > 0)
        self._limit_watch.log_changes(now_ms)
        for backend_id in self.balancer.advance(now_ms):
            log_event(
                _log,
                logging.INFO,
                "backend_expired",
                "a removed backend server is no longer used",
                backend_id=backend_id,
            )
        return ()

    def _add_gauges(self) -> None:
        backends = self.balancer.backends
        self.metrics.add_gauge(
            "rhubarbwell.backends.listed",
            "{server}",
            "Backend servers that the registry lists.",
            lambda: [Observation(len(backends.rows))],
        )
        self.metrics.add_gauge(
            "rhubarbwell.instances.live",
            "{instance}",
            "Entry instances that run, the own one included.",
            lambda: [Observation(len(self.instances.live_ids()))],
        )
        self.metrics.add_gauge(
            "rhubarbwell.config.version",
            "{version}",
            "Version of the configuration in force, 0 before the first.",
            lambda: [Observation(self._config_version)],
        )
        self.metrics.add_gauge(
            "rhubarbwell.body.memory",
            "By",
            "Memory reserved for the bodies of open requests.",
            lambda: [Observation(self._memory.held_bytes[MemoryPart.BODIES])],
        )
        self.metrics.add_gauge(
            "rhubarbwell.request.memory",
            "By",
            "Memory held for open requests, by part.",
            self._observe_held_bytes,
        )
        self.metrics.add_gauge(
            "rhubarbwell.pipelined.waiting",
            "{request}",
            "Requests that wait behind others of their connection.",
            lambda: [Observation(self.callers.waiting_in_line)],
        )
        self.metrics.add_gauge(
            "process.memory.usage",
            "By",
            "Resident memory.",
            lambda: [Observation(resident_bytes())],
        )
        self.metrics.add_gauge(
            "rhubarbwell.loop.lag",
            "ms",
            "Average delay of the event loop's timers.",
            lambda: [Observation(self._loop_lag.average_ms)],
        )
        self.metrics.add_gauge(
            "rhubarbwell.store.out",
            "1",
            "1 while the metadata store does not answer this instance.",
            lambda: [Observation(int(self._health.is_out))],
        )

    def _held_bytes(self) -> HeldBytes:
        held = self._memory.held_bytes
        return HeldBytes(*(held[part] for part in MemoryPart))

    def _observe_held_bytes(self) -> list[Observation]:
        parts = self._held_bytes()._asdict()
        return [Observation(size, {"part": part}) for part, size in parts.items()]

    def _on_idle_connection_lost(self, address: Address, idle_s: float) -> None:
        log_event(
            _log,
            logging.INFO,
            "idle_connection_lost",
            "a server closed an idle connection before its idle timeout",
            address=host_port(address),
            idle_ms=round(idle_s * MS_PER_S),
        )
        self.balancer.record_idle_connection_lost(address, self.clock_ms())
        self._losses.start(address, was_connected=True)

    def _on_store_restored(self, old_era: int, new_era: int) -> None:
        self.metrics.record_store_restored()
        self.state.begin_era(old_era, new_era, self.clock_ms())

    def _on_store_lost(self) -> None:
        self.balancer.backends.mark_store_lost(self.clock_ms())

    def _on_store_up(self, since_ms: int) -> None:
        self.balancer.backends.mark_store_up(since_ms)
        self._advance(self.clock_ms())


def _poll_schedule(
    table: str,
    bound_ms: int,
    *,
    wait_share: float,
    pause_share: float,
    stale_share: float,
) -> PollSchedule:
    """Return a poll schedule whose times are the given fractions of bound_ms.

    A change must be in force on this instance within bound_ms. A copy counts as stale
    after stale_share of that time and is then read from the store at once, which has to
    fit into the rest.
    """
    return PollSchedule(
        table,
        wait_ms=round(wait_share * bound_ms),
        pause_ms=round(pause_share * bound_ms),
        stale_ms=round(stale_share * bound_ms),
    )
