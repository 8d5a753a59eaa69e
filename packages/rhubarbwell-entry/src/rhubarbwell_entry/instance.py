"""Assemble an entry instance: its core, listeners and background tasks."""

import logging
import secrets
import socket
from collections.abc import Callable
from random import Random, SystemRandom
from typing import NamedTuple

import aiohttp
from aiohttp import web
from rhubarbwell_core import Core
from rhubarbwell_core.messages import IncarnationSuperseded, ShutdownRequested
from rhubarbwell_core.model import Address, Identity, host_port
from rhubarbwell_platform.services import Platform

from rhubarbwell_entry.adoption import LogFollower
from rhubarbwell_entry.clocks import monotonic_ms
from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.gauges import add_gauges
from rhubarbwell_entry.instance_list import InstanceListPoller
from rhubarbwell_entry.keystore import KeyStore
from rhubarbwell_entry.listeners import (
    Listener,
    TlsContexts,
    bound_address,
    open_listening_sockets,
)
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.lookups import LookUpHandler
from rhubarbwell_entry.metrics import InstanceMetrics
from rhubarbwell_entry.monitor import BackendMonitor
from rhubarbwell_entry.operators import OperatorHandler
from rhubarbwell_entry.peers import PeerKeys, PeerNode
from rhubarbwell_entry.proxy.callers import CallerRunner
from rhubarbwell_entry.proxy.handler import CallerHandler
from rhubarbwell_entry.settings import Settings
from rhubarbwell_entry.shutdown import GracefulShutdown
from rhubarbwell_entry.slotstore import SlotStore
from rhubarbwell_entry.tasks import BackgroundTasks

__all__ = ["EntryInstance"]

_log = logging.getLogger(__name__)

INCARNATION_BYTES = 8
# aiohttp waits this long for the open requests of operators when an instance stops;
# with 0 it waits without limit.
OPERATORS_CLOSE_TIMEOUT_S = 0.2
MS_PER_S = 1_000


class _Sockets(NamedTuple):
    callers: socket.socket
    operators: socket.socket
    peers: socket.socket


class EntryInstance:
    """Run an entry instance on the current event loop.

    A process may hold several instances.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        *,
        rng: Random | None = None,
        clock_ms: Callable[[], int] = monotonic_ms,
        tls: TlsContexts | None = None,
    ) -> None:
        """Listen on the addresses of the settings.

        tls are the contexts of the settings' files, which are loaded without it.
        Raises OSError if an address cannot be had or a TLS file is unreadable; then
        no caller is accepted.
        """
        self.settings = settings
        self._platform = platform
        self._tls = TlsContexts.load(settings.tls) if tls is None else tls
        # Callers may come once the others are served.
        peers, operators, callers = open_listening_sockets(
            settings.peers, settings.operators, settings.callers
        )
        self._sockets = _Sockets(callers, operators, peers)
        self.identity = _make_identity(settings, self._sockets)
        self.metrics = InstanceMetrics(self.identity)
        core = Core(
            self.identity,
            rng or SystemRandom(),
            now_ms=clock_ms(),
            on_request_ended=self.metrics.record_request,
            ticket_rng=SystemRandom(),
        )
        self.driver = CoreDriver(core, clock_ms=clock_ms)
        self._shutdown: GracefulShutdown | None = None
        self._tasks = BackgroundTasks(self.metrics.record_task_failure)

    @property
    def core(self) -> Core:
        """Return the decision core."""
        return self.driver.core

    @property
    def callers(self) -> Address:
        """Return the address that callers connect to."""
        return self.identity.callers

    @property
    def operators(self) -> Address:
        """Return the address that operators connect to."""
        return bound_address(self._sockets.operators)

    async def start(self) -> None:
        """Start the listeners and the background tasks."""
        keys = PeerKeys([key.encode() for key in self.settings.peer_keys])
        self._session = aiohttp.ClientSession()
        self._handler = CallerHandler(
            self.driver, keys, peer_tls=self._tls.peers, observer=self.metrics
        )
        self._keystore = KeyStore(self.driver, self._platform.tables)
        self._peers = PeerNode(self.driver, keys)
        self._log_follower = LogFollower(
            self.driver, self._platform, on_alarm=self.metrics.record_config_alarm
        )
        self._slotstore = SlotStore(self.driver, self._platform.tables)
        self.driver.register(IncarnationSuperseded, self._on_superseded)
        add_gauges(self.metrics, self.driver, self._peers)
        await self._peers.start(sock=self._sockets.peers)
        await self._start_listeners()
        poller = InstanceListPoller(
            self.driver, self._platform.instances, self.settings.seeds
        )
        self._tasks.supervise("timers", self.driver.run, essential=True)
        self._tasks.supervise("instance list", poller.run)
        self._log_follower.start()
        monitor = BackendMonitor(self.driver, self._session)
        self._tasks.supervise("backend monitor", monitor.run, essential=True)
        log_event(
            _log,
            logging.INFO,
            "instance_started",
            "entry instance listens for callers",
            instance_id=self.identity.instance_id,
            callers=host_port(self.callers),
            operators=host_port(self.operators),
            peers=host_port(self.identity.peers),
        )

    async def shut_down(self) -> bool:
        """Shut down gracefully; return True if every request ran to its end."""
        self._shutdown = GracefulShutdown(
            self.driver,
            self._handler,
            max_ms=round(self.settings.stop_max_s * MS_PER_S),
            announce=lambda: self.driver.handle(ShutdownRequested()),
            stop_listening=self._callers_listener.stop_accepting,
            close_idle_connections=self._caller_runner.close_idle_connections,
        )
        graceful = await self._shutdown.run()
        await self.stop()
        return graceful

    def force_shutdown(self) -> None:
        """End a graceful shutdown in progress without further waiting."""
        if self._shutdown is not None:
            self._shutdown.force()

    async def stop(self) -> None:
        """Stop at once, without a graceful shutdown."""
        await self._tasks.close()
        await self._callers_listener.stop()
        await self._operators_listener.stop()
        await self._peers.close()
        await self._handler.close()
        await self._keystore.close()
        await self._log_follower.close()
        await self._slotstore.close()
        await self._session.close()
        self.metrics.close()

    async def _start_listeners(self) -> None:
        self._caller_runner = CallerRunner(self._caller_app())
        self._callers_listener = self._listener(
            self._caller_runner, self._sockets.callers
        )
        operators = web.AppRunner(
            self._operator_app(),
            access_log=None,
            shutdown_timeout=OPERATORS_CLOSE_TIMEOUT_S,
        )
        self._operators_listener = self._listener(operators, self._sockets.operators)
        await self._callers_listener.start()
        await self._operators_listener.start()

    def _listener(self, runner: web.AppRunner, sock: socket.socket) -> Listener:
        return Listener(runner, sock, tls=self._tls.server)

    def _on_superseded(self, action: IncarnationSuperseded) -> None:
        log_event(
            _log,
            logging.ERROR,
            "incarnation_superseded",
            "a newer incarnation has this instance id; leaving",
            incarnation=action.incarnation,
        )

    def _caller_app(self) -> web.Application:
        app = web.Application(client_max_size=0)
        LookUpHandler(self.driver, self.metrics).add_routes(app)
        app.router.add_route("*", "/{service}/{rest:.*}", self._handler.handle)
        return app

    def _operator_app(self) -> web.Application:
        app = web.Application()
        OperatorHandler(
            self.driver, self.metrics, lambda: self._tasks.can_run
        ).add_routes(app)
        return app


def _make_identity(settings: Settings, sockets: _Sockets) -> Identity:
    return Identity(
        settings.instance_id,
        secrets.token_hex(INCARNATION_BYTES),
        settings.zone,
        settings.region,
        bound_address(sockets.callers),
        bound_address(sockets.peers),
    )
