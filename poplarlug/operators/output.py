"""Output of command results as a table or as JSON."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Literal, TypeAlias

OutputFormat: TypeAlias = Literal["table", "json"]


def print_rows(rows: Sequence[Mapping[str, Any]], output: OutputFormat) -> None:
    """Print one row per line, or a JSON array of objects."""
    if output == "json":
        print(json.dumps([dict(row) for row in rows], indent=2))
        return
    if not rows:
        print("(none)")
        return
    columns = list(rows[0])
    cells = [columns] + [[_cell(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def _cell(value: Any) -> str:
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value)
    return str(value)
