"""Process entry point of an entry instance in direct forwarding."""

import asyncio
import gc
import logging
import signal
import sys
from typing import Any

from aiomisc import Service, entrypoint
from tenacity import AsyncRetrying, Retrying

from rhubarbwell_entry.direct.instance import DirectInstance
from rhubarbwell_entry.direct.logsink import install_log_handler
from rhubarbwell_entry.direct.settings import SettingsError
from rhubarbwell_entry.direct.shutdown import DirectShutdown
from rhubarbwell_entry.direct.wire import DirectPlatform
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.startup import (
    ADDRESS_WAIT_S,
    SETTINGS_WAIT_S,
    wait_options,
)

__all__ = ["run"]

_log = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class DirectService(Service):
    """Start and stop an entry instance with the process."""

    instance: DirectInstance

    async def start(self) -> None:
        """Start the instance, unless a signal asks to stop before it can.

        Raises OSError if an address stays taken.
        """
        self._stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in STOP_SIGNALS:
            loop.add_signal_handler(signum, self._stop_requested.set)
        try:
            await self._open_sockets()
        except OSError:
            if self._stop_requested.is_set():
                return
            raise
        await self.instance.start()
        loop.add_signal_handler(signal.SIGHUP, self._log_settings_changes)

    async def wait_for_stop_signal(self) -> None:
        """Return after a first SIGTERM or SIGINT; further ones have no effect."""
        await self._stop_requested.wait()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Finish open requests, then stop the instance."""
        if self.instance.is_started:
            shutdown = DirectShutdown(self.instance)
            await shutdown.run()
            await self.instance.stop(timeout_s=shutdown.remaining_s)
        # A loop that closes restores the default actions of the signals it handles.
        loop = asyncio.get_running_loop()
        for signum in (*STOP_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(signum)
            signal.signal(signum, signal.SIG_IGN)
        # The interpreter collects garbage as it ends, which may take seconds.
        gc.freeze()

    async def _open_sockets(self) -> None:
        async def open_sockets() -> None:
            self.instance.open_sockets()

        options = wait_options(
            "addresses",
            OSError,
            timeout_s=ADDRESS_WAIT_S,
            is_stopped=self._stop_requested.is_set,
        )
        await AsyncRetrying(**options)(open_sockets)

    def _log_settings_changes(self) -> None:
        """Log which settings have changed; they take effect after a restart."""
        try:
            settings = self.instance.platform.read_settings()
        except SettingsError as exc:
            log_event(
                _log,
                logging.WARNING,
                "settings_refused",
                "the settings file is invalid; the current settings stay in force",
                error=str(exc),
            )
            return
        old = self.instance.settings._asdict()
        changed = [
            name for name, value in settings._asdict().items() if old[name] != value
        ]
        log_event(
            _log,
            logging.INFO,
            "settings_reloaded",
            "the settings were reloaded; changes take effect at the next start",
            changed=changed,
        )


def run(platform: DirectPlatform) -> None:
    """Run an entry instance on a platform until SIGTERM.

    A settings file that is being written, or an address that is taken, is waited for.
    Raises SystemExit with EXIT_BAD_SETTINGS or EXIT_CANNOT_START.
    """
    install_log_handler()
    options = wait_options("settings", SettingsError, timeout_s=SETTINGS_WAIT_S)
    try:
        settings = Retrying(**options)(platform.read_settings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from exc
    instance = DirectInstance(platform, settings)
    service = DirectService(instance=instance)
    try:
        # aiomisc's own handler ends the process at a second signal.
        with entrypoint(service, log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(service.wait_for_stop_signal())
    except OSError as exc:
        print(f"cannot start: {exc}", file=sys.stderr)
        raise SystemExit(EXIT_CANNOT_START) from exc
