"""Table, JSON and plot of measured runs."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from poplarlug.load.measures import MeasuredRun, Measures, mean_and_spread

PLOTTED = ("cost", "urgent_p99", "away_share", "urgent_met", "patient_kept")


def group(runs: Sequence[MeasuredRun]) -> dict[tuple[str, str, str], list[Measures]]:
    """Return the measures of all seeds by (deployment, scenario, policy)."""
    grouped: dict[tuple[str, str, str], list[Measures]] = {}
    for run in runs:
        key = (run.key.deployment, run.key.scenario, run.key.policy)
        grouped.setdefault(key, []).append(run.measures)
    return grouped


def table(runs: Sequence[MeasuredRun]) -> str:
    """Return a table with means over all seeds and, below them, the ranges."""
    heads = ["deployment", "scenario", "policy", "seeds", *Measures._fields]
    rows = [heads]
    for (deployment, scenario, policy), seeds in group(runs).items():
        means, spreads = [], []
        for values in zip(*seeds, strict=True):
            mean, least, largest = mean_and_spread(values)
            means.append(f"{mean:.3f}")
            spreads.append(f"{least:.3f}..{largest:.3f}")
        rows.append([deployment, scenario, policy, str(len(seeds)), *means])
        if len(seeds) > 1:
            rows.append(["", "", "", "", *spreads])
    widths = [max(len(row[column]) for row in rows) for column in range(len(heads))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )


def to_json(runs: Sequence[MeasuredRun]) -> bytes:
    """Return the runs as a JSON array of objects."""
    items: list[dict[str, Any]] = [
        {**run.key._asdict(), **run.measures._asdict()} for run in runs
    ]
    return msgspec.json.format(msgspec.json.encode(items))


def plot(runs: Sequence[MeasuredRun], path: Path) -> None:
    """Plot the measures in ``PLOTTED`` by scenario and policy to the file ``path``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    grouped = group(runs)
    cases = list(dict.fromkeys(key[:2] for key in grouped))
    policies = list(dict.fromkeys(key[2] for key in grouped))
    figure, axes = pyplot.subplots(
        len(PLOTTED), 1, figsize=(3 + 1.6 * len(cases), 2.6 * len(PLOTTED))
    )
    for axis, name in zip(axes, PLOTTED, strict=True):
        for place, policy in enumerate(policies):
            bars = [
                mean_and_spread([getattr(m, name) for m in grouped[(*case, policy)]])
                for case in cases
                if (*case, policy) in grouped
            ]
            positions = [
                index + place / (len(policies) + 1) for index in range(len(bars))
            ]
            means = [mean for mean, _, _ in bars]
            below = [mean - least for mean, least, _ in bars]
            above = [largest - mean for mean, _, largest in bars]
            axis.bar(
                positions,
                means,
                width=1 / (len(policies) + 1),
                yerr=[below, above],
                label=policy,
            )
        axis.set_title(name)
        axis.set_xticks(range(len(cases)))
        axis.set_xticklabels([f"{d}\n{s}" for d, s in cases], fontsize=7)
    axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
