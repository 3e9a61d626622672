"""The burn report as text and as JSON."""

from collections.abc import Sequence
from typing import Any

import msgspec

from poplarlug.reports.burn import BURN_WINDOWS, BurnRow

NO_ROWS = "No request counts towards a known rank's objective."


def to_text(rows: Sequence[BurnRow]) -> str:
    """Return a table; ``!`` marks burn rates that alert."""
    if not rows:
        return NO_ROWS
    names = [window.name for window in BURN_WINDOWS]
    head = ["rank", "region", "account", "objective", "met", "requests"]
    table = [[*head, "budget left", *names]]
    table += [_row_cells(row) for row in rows]
    widths = [
        max(len(line[column]) for line in table) for column in range(len(table[0]))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in table
    )


def to_json(rows: Sequence[BurnRow]) -> str:
    """Return a JSON array with one object per row."""
    return msgspec.json.encode([_row_fields(row) for row in rows]).decode()


def _row_cells(row: BurnRow) -> list[str]:
    rates = [
        f"{window.short_rate:.2f}/{window.long_rate:.2f}{'!' if window.alert else ''}"
        for window in row.windows
    ]
    met = row.good / row.total if row.total else 1.0
    return [
        *row.key,
        f"{row.objective:.4g}",
        f"{met:.4f}",
        str(row.total),
        f"{100 * row.budget_left:.1f}%",
        *rates,
    ]


def _row_fields(row: BurnRow) -> dict[str, Any]:
    fields = row._asdict()
    key = fields.pop("key")
    fields["windows"] = [window._asdict() for window in row.windows]
    return {**key._asdict(), **fields}
