"""The commands on configuration, as the command line offers them."""

import getpass
import time
from collections.abc import Awaitable, Callable

import uvloop
from rhubarbwell_core.adoption import InvalidLogError
from rhubarbwell_platform import Platform, PlatformError
from rhubarbwell_platform.publishing import read_state

from rhubarbwell_ops.commands.check import check
from rhubarbwell_ops.commands.publish import (
    PublishOptions,
    drain,
    publish_files,
    rollback,
)
from rhubarbwell_ops.commands.status import history, status
from rhubarbwell_ops.connections import open_platform
from rhubarbwell_ops.exits import ExitCode, Report, exit_with

__all__ = ["ConfigurationCommands"]

HISTORY_ROWS = 50


class ConfigurationCommands:
    """Check, publish and follow the configuration.

    Exit codes: 0 done, 1 findings, 2 wrong use, 3 conflict, 4 nothing done,
    5 outcome unknown, 6 published but not in force everywhere.
    """

    def check(self, *files: str, platform: str = "", json: bool = False) -> None:
        """Check service and deployment files; with a platform, against its documents.

        Args:
            files: Paths of the files.
            platform: URL of the platform.
            json: Print JSON.
        """
        paths = [str(path) for path in files]
        if not platform:
            exit_with(check(paths), as_json=json)

        async def command(opened: Platform) -> Report:
            return check(paths, published=await read_state(opened))

        _run(platform, command, as_json=json)

    def publish(
        self,
        *files: str,
        platform: str = "",
        author: str = "",
        publish_id: str = "",
        base: int | None = None,
        remove: str = "",
        dry_run: bool = False,
        wait: float = 0.0,
        json: bool = False,
    ) -> None:
        """Publish service and deployment files as one change.

        Args:
            files: Paths of the files.
            platform: URL of the platform.
            author: Name for the history, the user's by default.
            publish_id: Id of an earlier try that is to be repeated.
            base: Version that the change was made on, the newest by default.
            remove: Names of services to remove, with commas between.
            dry_run: Show what would change and publish nothing.
            wait: Seconds to wait until the version is in force everywhere.
            json: Print JSON.
        """
        options = _options(author, publish_id, dry_run, wait)._replace(
            base_version=base
        )
        names = [name for name in _words(remove) if name]
        paths = [str(path) for path in files]
        _run(
            platform,
            lambda opened: publish_files(opened, paths, options, remove=names),
            as_json=json,
        )

    def rollback(
        self,
        version: int,
        platform: str = "",
        author: str = "",
        publish_id: str = "",
        dry_run: bool = False,
        wait: float = 0.0,
        json: bool = False,
    ) -> None:
        """Publish the documents of an older version as a new version.

        Args:
            version: Version whose documents are to be in force again.
            platform: URL of the platform.
            author: Name for the history, the user's by default.
            publish_id: Id of an earlier try that is to be repeated.
            dry_run: Show what would change and publish nothing.
            wait: Seconds to wait until the version is in force everywhere.
            json: Print JSON.
        """
        options = _options(author, publish_id, dry_run, wait)
        _run(
            platform,
            lambda opened: rollback(opened, int(version), options),
            as_json=json,
        )

    def drain(
        self,
        backend_id: str,
        platform: str = "",
        undo: bool = False,
        author: str = "",
        publish_id: str = "",
        dry_run: bool = False,
        wait: float = 0.0,
        json: bool = False,
    ) -> None:
        """Publish that a backend server gets no new work.

        Args:
            backend_id: Id of the backend server in its service file.
            platform: URL of the platform.
            undo: Give it work again.
            author: Name for the history, the user's by default.
            publish_id: Id of an earlier try that is to be repeated.
            dry_run: Show what would change and publish nothing.
            wait: Seconds to wait until the version is in force everywhere.
            json: Print JSON.
        """
        options = _options(author, publish_id, dry_run, wait)
        _run(
            platform,
            lambda opened: drain(opened, str(backend_id), options, undo=undo),
            as_json=json,
        )

    def status(self, platform: str = "", json: bool = False) -> None:
        """Show the published version and the one in force at every instance.

        Args:
            platform: URL of the platform.
            json: Print JSON.
        """
        _run(platform, status, as_json=json)

    def history(
        self, platform: str = "", limit: int = HISTORY_ROWS, json: bool = False
    ) -> None:
        """Show the newest publishes.

        Args:
            platform: URL of the platform.
            limit: Number of log rows to go back.
            json: Print JSON.
        """
        _run(platform, lambda opened: history(opened, limit=limit), as_json=json)


def _run(
    url: str, command: Callable[[Platform], Awaitable[Report]], *, as_json: bool
) -> None:
    async def connect_and_run() -> Report:
        try:
            async with open_platform(str(url)) as platform:
                return await command(platform)
        except (PlatformError, InvalidLogError) as exc:
            fields = {"reason": str(exc)}
            return Report(ExitCode.NOT_DONE, f"nothing was done: {exc}", fields)

    exit_with(uvloop.run(connect_and_run()), as_json=as_json)


def _options(
    author: str, publish_id: str, dry_run: bool, wait: float
) -> PublishOptions:
    return PublishOptions(
        author=str(author or getpass.getuser()),
        at_ms=time.time_ns() // 1_000_000,
        publish_id=str(publish_id),
        dry_run=dry_run,
        wait_s=float(wait),
    )


def _words(text: str | tuple[str, ...]) -> list[str]:
    """Return the words of a list, which the command line may have split."""
    words = text.split(",") if isinstance(text, str) else text
    return [str(word).strip() for word in words]
