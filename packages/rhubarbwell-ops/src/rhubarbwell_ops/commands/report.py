"""Command that reports error budget burn and headroom."""

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

__all__ = ["live_operator_addresses", "report"]


async def live_operator_addresses(platform: Platform) -> list[str]:
    """Return the operator endpoint addresses of the live instances as host:port.

    Raises UnavailableError.
    """
    listing = await platform.instances.read()
    live = [row for row in listing.instances if row.state is ListedState.LIVE]
    return [host_port(row.operators) for row in live]


async def report(addresses: Sequence[str], *, plot: Path | None = None) -> Report:
    """Return the report on the instances at these host:port addresses."""
    fleet = await gather_report(addresses)
    if plot is not None:
        error = _write_plot(fleet, plot)
        if error:
            return Report(ExitCode.NOT_DONE, error)
    exit_code = ExitCode.DONE if fleet.burn.answered else ExitCode.NOT_DONE
    return Report(exit_code, format_fleet_report(fleet), fleet_report_json(fleet))


def _write_plot(fleet: FleetReport, path: Path) -> str:
    """Plot the burn rates to a file and return an error message, "" on success."""
    try:
        plot_burn(fleet.burn, path)
    except ImportError:
        return "--plot needs the extra rhubarbwell-ops[plot]"
    except (OSError, ValueError) as exc:
        return f"{path}: {exc}"
    return ""
