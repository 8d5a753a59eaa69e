"""Run commands against the platform and validate their arguments."""

from collections.abc import Awaitable, Callable
from typing import NoReturn

import uvloop
from rhubarbwell_core.adoption import InvalidLogError
from rhubarbwell_platform import Platform, PlatformError

from rhubarbwell_ops.connections import open_platform
from rhubarbwell_ops.exits import ExitCode, Report, exit_with

__all__ = ["require_seconds", "require_non_negative_int", "run_command", "split_list"]

MAX_WAIT_S = 3_600.0


def run_command(
    url: str, command: Callable[[Platform], Awaitable[Report]], *, as_json: bool
) -> NoReturn:
    """Run a command on the platform at a URL and exit with the command's code.

    Exits with NOT_DONE if the command raises PlatformError or InvalidLogError.
    """

    async def connect_and_run() -> Report:
        try:
            async with open_platform(str(url)) as platform:
                return await command(platform)
        except (PlatformError, InvalidLogError) as exc:
            fields = {"reason": str(exc)}
            return Report(ExitCode.NOT_DONE, f"nothing was done: {exc}", fields)

    exit_with(uvloop.run(connect_and_run()), as_json=as_json)


def split_list(text: object) -> list[str]:
    """Return the items of a comma-separated list.

    The command line library may have parsed the text into a list or tuple already.
    """
    words = text if isinstance(text, (list, tuple)) else str(text).split(",")
    return [str(word).strip() for word in words]


def require_non_negative_int(name: str, value: object) -> int:
    """Return the value if it is an integer of at least 0, else exit with code 2."""
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    _exit_with_usage_error(f"{name} must be an integer of at least 0, not {value!r}")


def require_seconds(name: str, value: object) -> float:
    """Return the value if it is 0 to MAX_WAIT_S seconds, else exit with code 2."""
    if isinstance(value, (int, float)) and 0 <= value <= MAX_WAIT_S:
        return float(value)
    _exit_with_usage_error(f"{name} must be 0 to {MAX_WAIT_S:g} seconds, not {value!r}")


def _exit_with_usage_error(message: str) -> NoReturn:
    exit_with(Report(ExitCode.USAGE, message), as_json=False)
