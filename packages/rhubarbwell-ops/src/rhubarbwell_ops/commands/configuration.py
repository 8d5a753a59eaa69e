"""Command-line interface of the configuration commands."""

import getpass
import time

from rhubarbwell_platform import Platform
from rhubarbwell_platform.publishing import read_state

from rhubarbwell_ops.commands.check import check
from rhubarbwell_ops.commands.publish import (
    PublishOptions,
    drain,
    publish_files,
    rollback,
)
from rhubarbwell_ops.commands.running import (
    require_non_negative_int,
    require_seconds,
    run_command,
    split_list,
)
from rhubarbwell_ops.commands.status import history, status
from rhubarbwell_ops.exits import Report, exit_with

__all__ = ["ConfigurationCommands"]

DEFAULT_HISTORY_ROWS = 50


class ConfigurationCommands:
    """Check and publish the configuration and show its state.

    Exit codes: 0 done, 1 findings, 2 usage error, 3 conflict, 4 nothing done,
    5 outcome unknown, 6 published but not in force everywhere.
    """

    def check(self, *files: str, platform: str = "", json: bool = False) -> None:
        """Check configuration files, optionally against published documents.

        Args:
            files: Paths of files, or of folders that contain them.
            platform: URL of the platform that holds the published documents.
            json: Print JSON.
        """
        paths = [str(path) for path in files]
        if not platform:
            exit_with(check(paths), as_json=json)

        async def command(client: Platform) -> Report:
            return check(paths, published=await read_state(client))

        run_command(platform, command, as_json=json)

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
        force: bool = False,
        json: bool = False,
    ) -> None:
        """Publish service, deployment and account files as one change.

        Args:
            files: Paths of files, or of folders that contain them.
            platform: URL of the platform.
            author: Author shown in the history, by default the login name.
            publish_id: Id of an earlier attempt to repeat.
            base: Version that the change is based on, by default the newest.
            remove: Comma-separated names of services, or accounts/GROUP, to remove.
            dry_run: Show the differences and publish nothing.
            wait: Seconds to wait until the version is in force everywhere.
            force: Publish even if an instance has a newer version than the store.
            json: Print JSON.
        """
        options = _publish_options(author, publish_id, dry_run, wait, force)._replace(
            base_version=None
            if base is None
            else require_non_negative_int("base", base)
        )
        names = [name for name in split_list(remove) if name]
        paths = [str(path) for path in files]
        run_command(
            platform,
            lambda client: publish_files(client, paths, options, remove=names),
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
        force: bool = False,
        json: bool = False,
    ) -> None:
        """Publish the documents of an older version as a new version.

        Args:
            version: Version whose documents are published again.
            platform: URL of the platform.
            author: Author shown in the history, by default the login name.
            publish_id: Id of an earlier attempt to repeat.
            dry_run: Show the differences and publish nothing.
            wait: Seconds to wait until the version is in force everywhere.
            force: Publish even if an instance has a newer version than the store.
            json: Print JSON.
        """
        options = _publish_options(author, publish_id, dry_run, wait, force)
        target = require_non_negative_int("version", version)
        run_command(
            platform,
            lambda client: rollback(client, target, options),
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
        force: bool = False,
        json: bool = False,
    ) -> None:
        """Drain a backend server: publish that it gets no new requests.

        Args:
            backend_id: Id of the backend server in its service file.
            platform: URL of the platform.
            undo: Publish that it gets new requests again.
            author: Author shown in the history, by default the login name.
            publish_id: Id of an earlier attempt to repeat.
            dry_run: Show the differences and publish nothing.
            wait: Seconds to wait until the version is in force everywhere.
            force: Publish even if an instance has a newer version than the store.
            json: Print JSON.
        """
        options = _publish_options(author, publish_id, dry_run, wait, force)
        run_command(
            platform,
            lambda client: drain(client, str(backend_id), options, undo=undo),
            as_json=json,
        )

    def status(self, platform: str = "", json: bool = False) -> None:
        """Show the published version and the version in force at each instance.

        Args:
            platform: URL of the platform.
            json: Print JSON.
        """
        run_command(platform, status, as_json=json)

    def history(
        self, platform: str = "", limit: int = DEFAULT_HISTORY_ROWS, json: bool = False
    ) -> None:
        """Show the most recent publishes.

        Args:
            platform: URL of the platform.
            limit: Number of log rows to read, from the newest.
            json: Print JSON.
        """
        rows = require_non_negative_int("limit", limit)
        run_command(platform, lambda client: history(client, limit=rows), as_json=json)


def _publish_options(
    author: str, publish_id: str, dry_run: bool, wait: float, force: bool
) -> PublishOptions:
    return PublishOptions(
        author=str(author or getpass.getuser()),
        at_ms=time.time_ns() // 1_000_000,
        publish_id=str(publish_id),
        dry_run=dry_run,
        wait_s=require_seconds("wait", wait),
        force=force,
    )
