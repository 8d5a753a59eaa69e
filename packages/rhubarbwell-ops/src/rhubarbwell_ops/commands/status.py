"""Commands that show published versions and the versions in force."""

from datetime import UTC, datetime

from rhubarbwell_platform import Platform
from rhubarbwell_platform.publishing import read_head, read_history
from tabulate import tabulate

from rhubarbwell_ops.exits import ExitCode, Report
from rhubarbwell_ops.instances import (
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
    rows = [
        (row.instance_id, row.zone, row.state, row.config_version, row.adoption.value)
        for row in sorted(statuses, key=lambda row: (row.zone, row.instance_id))
    ]
    headers = ("instance", "zone", "state", "version", "configuration")
    lines = [f"published: version {head.version}, {adoption_summary(statuses)}"]
    if rows:
        lines.append(tabulate(rows, headers))
    fields = {"head": head._asdict(), "instances": statuses_json(statuses)}
    all_in_force = all(is_in_force(row) for row in statuses)
    exit_code = ExitCode.DONE if all_in_force else ExitCode.NOT_IN_FORCE
    return Report(exit_code, "\n".join(lines), fields)


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
