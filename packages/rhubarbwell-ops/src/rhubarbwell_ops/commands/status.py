"""Commands that show published versions and the versions in force."""

from collections.abc import Sequence
from datetime import UTC, datetime

from rhubarbwell_platform import Platform
from rhubarbwell_platform.publishing import read_head, read_history
from tabulate import tabulate

from rhubarbwell_ops.exits import ExitCode, Report
from rhubarbwell_ops.instances import (
    InstanceStatus,
    adoption_summary,
    is_in_force,
    read_statuses,
    statuses_json,
)

__all__ = ["history", "status"]


async def status(platform: Platform) -> Report:
    """Return a report on the published version and the version at each instance."""
    head = (await read_head(platform.tables)).head
    statuses = await read_statuses(platform.instances, head)
    lines = [f"published: version {head.version}, {adoption_summary(statuses)}"]
    if statuses:
        lines.append(_status_table(statuses))
    fields = {"head": head._asdict(), "instances": statuses_json(statuses)}
    all_in_force = all(is_in_force(row) for row in statuses)
    exit_code = ExitCode.DONE if all_in_force else ExitCode.NOT_IN_FORCE
    return Report(exit_code, "\n".join(lines), fields)


def _status_table(statuses: Sequence[InstanceStatus]) -> str:
    """Return a table with a line for each instance.

    It has a column of active accounts if an instance has account files active.
    """
    statuses = sorted(statuses, key=lambda row: (row.zone, row.instance_id))
    columns = {
        "instance": [row.instance_id for row in statuses],
        "zone": [row.zone for row in statuses],
        "state": [row.state for row in statuses],
        "version": [row.config_version for row in statuses],
        "configuration": [row.adoption.value for row in statuses],
    }
    if any(row.accounts is not None for row in statuses):
        columns["accounts"] = [
            "" if row.accounts is None else row.accounts for row in statuses
        ]
    return tabulate(columns, headers="keys")


async def history(platform: Platform, *, limit: int) -> Report:
    """Return a report on the most recent publishes, newest first."""
    records = await read_history(platform.tables, limit=limit)
    rows = [
        (
            record.version,
            _format_time(record.published_at_ms),
            record.author,
            record.publish_id,
            ", ".join(record.documents),
        )
        for record in records
    ]
    headers = ("version", "at", "author", "publish id", "documents")
    fields = {"publishes": [record._asdict() for record in records]}
    return Report(ExitCode.DONE, tabulate(rows, headers), fields)


def _format_time(at_ms: int) -> str:
    return datetime.fromtimestamp(at_ms / 1_000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
