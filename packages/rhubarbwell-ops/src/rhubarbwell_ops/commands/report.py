"""The command that reports on service-level burn."""

from collections.abc import Sequence
from pathlib import Path

from rhubarbwell_core.model import host_port
from rhubarbwell_platform import Platform
from rhubarbwell_platform.services import ListedState

from rhubarbwell_ops.exits import ExitCode, Report
from rhubarbwell_ops.report import (
    FleetReport,
    fleet_report_json,
    format_fleet_report,
    gather_report,
    plot_burn,
)

__all__ = ["listed_operators", "report"]


async def listed_operators(platform: Platform) -> list[str]:
    """Return the operators' addresses of listed instances.

    Raises UnavailableError.
    """
    listing = await platform.instances.read()
    live = [row for row in listing.instances if row.state is ListedState.LIVE]
    return [host_port(row.operators) for row in live]


async def report(operators: Sequence[str], *, plot: Path | None = None) -> Report:
    """Report on the instances at these host:port addresses."""
    fleet = await gather_report(operators)
    if plot is not None:
        failure = _plot(fleet, plot)
        if failure:
            return Report(ExitCode.NOT_DONE, failure)
    exit_code = ExitCode.DONE if fleet.burn.answered else ExitCode.NOT_DONE
    return Report(exit_code, format_fleet_report(fleet), fleet_report_json(fleet))


def _plot(fleet: FleetReport, path: Path) -> str:
    try:
        plot_burn(fleet.burn, path)
    except ImportError:
        return "--plot needs the extra rhubarbwell-ops[plot]"
    except (OSError, ValueError) as exc:
        return f"{path}: {exc}"
    return ""
