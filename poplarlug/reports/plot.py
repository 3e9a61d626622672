"""Plot of the burn report; needs the ``report`` extra."""

from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot
from matplotlib.dates import date2num

from poplarlug.reports.burn import BURN_WINDOWS, BurnReport
from poplarlug.types import RankName


def plot_burn(report: BurnReport, ranks: Sequence[RankName], path: Path) -> None:
    """Plot the burn rate of each rank over time to the file ``path``."""
    figure, axes = pyplot.subplots(figsize=(10, 4))
    for rank in ranks:
        series = report.series(rank)
        times = [date2num(datetime.fromtimestamp(time, UTC)) for time, _ in series]
        axes.plot(times, [rate for _, rate in series], marker=".", label=rank)
    for window in BURN_WINDOWS:
        axes.axhline(window.threshold, linestyle=":", linewidth=0.8)
        axes.annotate(
            window.name, (0, window.threshold), xycoords=("axes fraction", "data")
        )
    axes.xaxis_date("UTC")
    axes.set_ylabel("burn rate in 5 minutes (1 = budget used up exactly)")
    axes.set_xlabel("time (UTC)")
    axes.legend()
    figure.autofmt_xdate()
    figure.savefig(path)
    pyplot.close(figure)
