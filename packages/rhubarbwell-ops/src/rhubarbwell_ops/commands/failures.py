"""Reports on failed publishes."""

from rhubarbwell_platform.publishing import (
    PublishConflict,
    PublishFailure,
    PublishIdReused,
    PublishInvalid,
    PublishNotDone,
    format_differences,
)

from rhubarbwell_ops.commands.check import findings_report
from rhubarbwell_ops.exits import ExitCode, Report

__all__ = ["failure_report"]


def failure_report(failure: PublishFailure) -> Report:
    """Return the report on a failed publish."""
    if isinstance(failure, PublishInvalid):
        return findings_report(failure.findings)
    if isinstance(failure, PublishConflict):
        return _conflict_report(failure)
    if isinstance(failure, PublishIdReused):
        text = (
            f"publish id {failure.publish_id} belongs to another change, "
            f"version {failure.version}"
        )
        return Report(ExitCode.CONFLICT, text, failure._asdict())
    if isinstance(failure, PublishNotDone):
        text = f"nothing was published: {failure.reason}"
        return Report(ExitCode.NOT_DONE, text, failure._asdict())
    text = (
        f"the publish may have taken effect: {failure.reason}; publish again "
        f"with --publish-id {failure.publish_id}"
    )
    return Report(ExitCode.UNKNOWN, text, failure._asdict())


def _conflict_report(conflict: PublishConflict) -> Report:
    winners = {row.publish_id: row for row in conflict.winners}
    lines = [f"others have published since version {conflict.base_version}:"]
    lines += [
        f"  version {row.version} by {row.author} as {row.publish_id}"
        for row in winners.values()
    ]
    if conflict.differing:
        lines.append(
            "with this change, these keys would differ from what they published:"
        )
        formatted = format_differences(conflict.differing).splitlines()
        lines += [f"  {line}" for line in formatted]
    fields = {
        "base_version": conflict.base_version,
        "winners": [row._asdict() for row in conflict.winners],
        "differences": [difference._asdict() for difference in conflict.differing],
    }
    return Report(ExitCode.CONFLICT, "\n".join(lines), fields)
