"""Command line of an entry instance."""

import gc
import logging
import sys
from pathlib import Path
from typing import NoReturn

import fire
from aiomisc import entrypoint
from tenacity import Retrying

from rhubarbwell_entry.logs import EventRateFilter
from rhubarbwell_entry.service import EntryService
from rhubarbwell_entry.settings import Settings
from rhubarbwell_entry.settings_files import SettingsError, read_settings
from rhubarbwell_entry.signals import StopSignals
from rhubarbwell_entry.startup import SETTINGS_WAIT_S, wait_options

__all__ = ["main", "run"]

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3


def run(settings: str) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

    A second SIGINT ends open requests with the outcome unknown. settings is the path
    of the settings file. Exits with 2 if the file stays invalid or unreadable, and with
    3 if an address stays in use or a TLS file unreadable; both may be mended meanwhile.
    """
    signals = StopSignals()
    signals.install()
    loaded = _read_or_exit(Path(settings), signals)
    service = EntryService(settings=loaded, signals=signals)
    try:
        # aiomisc's own handlers end the process at a second signal, and after the
        # longest stop before callers are told.
        with entrypoint(
            service,
            log_level=loaded.log_level,
            log_format=loaded.log_format,
            log_buffering=False,
            catch_signals=(),
        ) as loop:
            _limit_log_rates()
            loop.run_until_complete(signals.wait())
        signals.ignore()
        # The interpreter collects garbage as it ends, which may take seconds.
        gc.freeze()
    except OSError as exc:
        _exit_with_message(EXIT_CANNOT_START, f"cannot start: {exc}")


def main() -> None:
    """Parse the command line and run the entry instance."""
    fire.Fire(run, name="rhubarbwell-entry")


def _read_or_exit(path: Path, signals: StopSignals) -> Settings:
    options = wait_options(
        str(path),
        *(SettingsError, OSError, UnicodeDecodeError),
        timeout_s=SETTINGS_WAIT_S,
        is_stopped=signals.requested.is_set,
    )
    try:
        return Retrying(**options)(read_settings, path)
    except (SettingsError, OSError, UnicodeDecodeError) as exc:
        if signals.requested.is_set():
            raise SystemExit(0) from exc
        message = str(exc) if isinstance(exc, SettingsError) else f"{path}: {exc}"
        _exit_with_message(EXIT_BAD_SETTINGS, message)


def _limit_log_rates() -> None:
    rate_filter = EventRateFilter()
    for handler in logging.getLogger().handlers:
        handler.addFilter(rate_filter)


def _exit_with_message(code: int, message: str) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(code)
