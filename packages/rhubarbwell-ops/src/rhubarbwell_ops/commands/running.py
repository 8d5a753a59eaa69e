"""Running of commands against the platform."""

from collections.abc import Awaitable, Callable
from typing import NoReturn

import uvloop
from rhubarbwell_core.adoption import InvalidLogError
from rhubarbwell_platform import Platform, PlatformError

from rhubarbwell_ops.connections import open_platform
from rhubarbwell_ops.exits import ExitCode, Report, exit_with

__all__ = ["run_command", "split_words"]


def run_command(
    url: str, command: Callable[[Platform], Awaitable[Report]], *, as_json: bool
) -> NoReturn:
    """Run a command with the platform at a URL and end with its exit code."""

    async def connect_andrun_command() -> Report:
        try:
            async with open_platform(str(url)) as platform:
                return await command(platform)
        except (PlatformError, InvalidLogError) as exc:
            fields = {"reason": str(exc)}
            return Report(ExitCode.NOT_DONE, f"nothing was done: {exc}", fields)

    exit_with(uvloop.run(connect_andrun_command()), as_json=as_json)


def split_words(text: str | tuple[str, ...]) -> list[str]:
    """Return the words of a list, which the command line may have split."""
    words = text.split(",") if isinstance(text, str) else text
    return [str(word).strip() for word in words]
