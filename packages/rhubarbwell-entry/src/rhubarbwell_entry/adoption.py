"""Execute a core's configuration actions: read, restore, parse and raise alarms."""

import logging
from collections.abc import Callable

from returns.result import Failure
from rhubarbwell_core.adoption import (
    HEAD_KEY,
    ConfigurationAlarm,
    ConfigurationParsed,
    ConfigurationRefused,
    FollowLog,
    HeadRead,
    InvalidLogError,
    LogRowsRead,
    ObjectRead,
    ParseConfiguration,
    ReadHead,
    ReadLogRows,
    ReadObject,
    ReadSnapshot,
    RestoreLog,
    SnapshotRead,
    decode_head,
    decode_snapshot,
    document_digest,
    encode_head,
    encode_log_row,
    log_key,
    object_key,
    snapshot_key,
)
from rhubarbwell_core.model import Configuration
from rhubarbwell_platform import (
    Absent,
    Platform,
    PlatformError,
    TableService,
    VersionIs,
    Write,
)
from rhubarbwell_platform.documents import configuration_of
from rhubarbwell_platform.http import SocketTimeout
from rhubarbwell_platform.publishing import publish_key, read_head, read_rows

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.tasks import BackgroundTasks

__all__ = ["LogFollower"]

_log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 5.0

AlarmListener = Callable[[ConfigurationAlarm], None]


class LogFollower:
    """Read the published configuration log from the platform for a core.

    The core follows the log once `start` is called. reads counts its read actions,
    including those that failed.
    """

    def __init__(
        self,
        driver: CoreDriver,
        platform: Platform,
        *,
        on_alarm: AlarmListener | None = None,
    ) -> None:
        self.reads = 0
        self._driver = driver
        self._platform = platform
        self._on_alarm = on_alarm
        self._accounts: int | None = None
        self._tasks = BackgroundTasks()
        spawn = self._tasks.spawn
        driver.register(ReadHead, lambda action: spawn(self._read_head(action)))
        driver.register(ReadLogRows, lambda action: spawn(self._read_rows(action)))
        driver.register(ReadSnapshot, lambda action: spawn(self._read_snapshot(action)))
        driver.register(ReadObject, lambda action: spawn(self._read_object(action)))
        driver.register(RestoreLog, lambda action: spawn(self._restore_log(action)))
        driver.register(ParseConfiguration, self._parse_configuration)
        driver.register(ConfigurationAlarm, self._report_alarm)

    def start(self) -> None:
        """Make the core follow the log."""
        self._driver.handle(FollowLog())

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await self._tasks.close()

    async def _read_head(self, action: ReadHead) -> None:
        self.reads += 1
        head = None
        try:
            async with SocketTimeout(CALL_TIMEOUT_S):
                head = (await read_head(self._platform.tables)).head
        except (PlatformError, InvalidLogError, TimeoutError) as exc:
            _log_failure("head", exc)
        self._driver.handle(HeadRead(action.call_id, head))

    async def _read_rows(self, action: ReadLogRows) -> None:
        self.reads += 1
        rows = None
        tables = self._platform.tables
        try:
            async with SocketTimeout(CALL_TIMEOUT_S):
                rows = await read_rows(
                    tables, after=action.first - 1, up_to=action.last
                )
        except (PlatformError, InvalidLogError, TimeoutError) as exc:
            _log_failure("rows", exc)
        self._driver.handle(LogRowsRead(action.call_id, rows))

    async def _read_snapshot(self, action: ReadSnapshot) -> None:
        text = await self._get_object(snapshot_key(action.version))
        snapshot = None
        if text is not None:
            try:
                snapshot = decode_snapshot(text)
            except InvalidLogError as exc:
                _log_failure("snapshot", exc)
        self._driver.handle(SnapshotRead(action.call_id, snapshot))

    async def _read_object(self, action: ReadObject) -> None:
        text = await self._get_object(object_key(action.digest))
        self._driver.handle(ObjectRead(action.call_id, action.digest, text))

    async def _get_object(self, key: str) -> str | None:
        self.reads += 1
        try:
            async with SocketTimeout(CALL_TIMEOUT_S):
                return await self._platform.objects.get(key)
        except (PlatformError, TimeoutError) as exc:
            _log_failure("object", exc)
            return None

    async def _restore_log(self, action: RestoreLog) -> None:
        try:
            async with SocketTimeout(CALL_TIMEOUT_S):
                await _write_restored_log(self._platform, action)
        except (PlatformError, InvalidLogError, TimeoutError) as exc:
            _log_failure("restored log", exc)

    def _parse_configuration(self, action: ParseConfiguration) -> None:
        parsed = configuration_of(action.version, action.digest, action.documents)
        if isinstance(parsed, Failure):
            findings = tuple(str(finding) for finding in parsed.failure())
            self._driver.handle(ConfigurationRefused(action.version, findings))
        else:
            cfg = parsed.unwrap()
            self._log_accounts(cfg)
            self._driver.handle(ConfigurationParsed(cfg))

    def _log_accounts(self, cfg: Configuration) -> None:
        """Log how many accounts there are if that changes; None stands for no files."""
        accounts = None if cfg.accounts is None else len(cfg.accounts)
        if accounts == self._accounts:
            return
        self._accounts = accounts
        log_event(
            _log,
            logging.INFO,
            "accounts_changed",
            "the number of client accounts in the account files changed",
            version=cfg.version,
            accounts=accounts,
        )

    def _report_alarm(self, action: ConfigurationAlarm) -> None:
        log_event(
            _log,
            logging.ERROR,
            f"config_{action.kind.value}",
            "published configuration failed a check; the old one stays in force",
            version=action.version,
            detail=action.detail,
        )
        if self._on_alarm is not None:
            self._on_alarm(action)


async def _write_restored_log(platform: Platform, action: RestoreLog) -> None:
    tables: TableService = platform.tables
    head_row = (await tables.read([HEAD_KEY])).get(HEAD_KEY)
    if head_row is None or decode_head(head_row.value) != action.expected:
        return
    for text in action.documents.values():
        await platform.objects.put(object_key(document_digest(text)), text)
    last_versions = {row.publish_id: row.version for row in action.rows}
    writes = [
        Write(log_key(row.version), encode_log_row(row), Absent())
        for row in action.rows
    ]
    writes += [
        Write(publish_key(publish_id), str(version), Absent())
        for publish_id, version in last_versions.items()
    ]
    condition = VersionIs(head_row.version)
    writes.append(Write(HEAD_KEY, encode_head(action.head), condition))
    await tables.transact(writes)


def _log_failure(call: str, exc: Exception) -> None:
    log_event(
        _log,
        logging.WARNING,
        "config_call_failed",
        "call to the platform failed; the configuration in force stays",
        call=call,
        error=str(exc) or type(exc).__name__,
    )
