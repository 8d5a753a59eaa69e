"""Plot of burn rates; requires the optional package matplotlib."""

from pathlib import Path

from rhubarbwell_core.burn import WINDOWS_MS, BurnReport, burn_rate
from rhubarbwell_core.model import rank_name

from rhubarbwell_ops.report.tables import format_duration

__all__ = ["plot_burn"]

# Height of all bars of a row; rows are 1.0 apart.
BAR_GROUP_HEIGHT = 0.8
ROW_INCHES = 0.5
WIDTH_INCHES = 8.0


def plot_burn(report: BurnReport, path: Path) -> None:
    """Plot the burn rates by service, rank and window to an image file.

    Raises ImportError if matplotlib is missing, and OSError or ValueError if the file
    cannot be written.
    """
    from matplotlib.figure import Figure

    labels = [f"{row.key.service} {rank_name(row.key.rank)}" for row in report.rows]
    height_inches = 1.0 + ROW_INCHES * max(1, len(labels))
    figure = Figure(figsize=(WIDTH_INCHES, height_inches), layout="constrained")
    axes = figure.subplots()
    bar_height = BAR_GROUP_HEIGHT / len(WINDOWS_MS)
    for index, window_ms in enumerate(WINDOWS_MS):
        rates = [burn_rate(row.windows[window_ms]) for row in report.rows]
        positions = [row + index * bar_height for row in range(len(labels))]
        axes.barh(positions, rates, bar_height, label=format_duration(window_ms))
    center = BAR_GROUP_HEIGHT / 2 - bar_height / 2
    axes.set_yticks([row + center for row in range(len(labels))], labels)
    axes.axvline(1.0, color="black", linestyle="--", label="budget used up exactly")
    axes.set_xlabel("burn rate")
    axes.invert_yaxis()
    axes.legend()
    figure.savefig(path)
