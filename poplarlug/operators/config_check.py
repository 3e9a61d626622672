"""Checks a configuration before it is submitted."""

import json
from enum import IntEnum
from pkgutil import resolve_name
from typing import Literal, NamedTuple, TypeAlias

from returns.result import Failure

from poplarlug.routes import RouteTable
from poplarlug.routes.comparison import TableChange, compare_tables
from poplarlug.routes.conflicts import find_conflicts
from poplarlug.routes.documents import DecodeTable
from poplarlug.routes.problems import RouteProblem

DEFAULT_DECODER = "poplarlug.routes.documents:decode_route_table"

ReportFormat: TypeAlias = Literal["text", "json"]


class CheckStatus(IntEnum):
    """Exit status of the check."""

    SOUND = 0
    WARNINGS = 1
    ERRORS = 2


class CheckReport(NamedTuple):
    """
    What a check found.

    Parameters
    ----------
    errors : tuple of RouteProblem
        Reasons for which the control replicas refuse the configuration.
    warnings : tuple of RouteProblem
        What is accepted but has no effect, or contradicts something else.
    changes : tuple of TableChange
        Differences from the configuration in force.
    """

    errors: tuple[RouteProblem, ...] = ()
    warnings: tuple[RouteProblem, ...] = ()
    changes: tuple[TableChange, ...] = ()

    @property
    def status(self) -> CheckStatus:
        if self.errors:
            return CheckStatus.ERRORS
        return CheckStatus.WARNINGS if self.warnings else CheckStatus.SOUND

    def render(self, output: ReportFormat) -> str:
        """Return the report as lines of text, or as a JSON object."""
        if output == "json":
            fields = {
                "status": self.status.name.lower(),
                "errors": [problem._asdict() for problem in self.errors],
                "warnings": [problem._asdict() for problem in self.warnings],
                "changes": [change._asdict() for change in self.changes],
            }
            return json.dumps(fields, indent=2)
        lines = [
            *(f"error: {problem}" for problem in self.errors),
            *(f"warning: {problem}" for problem in self.warnings),
            *(f"change: {change}" for change in self.changes),
        ]
        counts = f"{len(self.errors)} errors, {len(self.warnings)} warnings"
        return "\n".join([*lines, f"{counts}, {len(self.changes)} changes"])


def check_configuration(
    document: bytes, decode: DecodeTable, in_force: bytes | None = None
) -> CheckReport:
    """
    Check a document with the code that the control replicas use.

    Parameters
    ----------
    in_force : bytes, optional
        The document to compare with; empty if none was submitted yet.
    """
    decoded = decode(document)
    former = None
    errors: list[RouteProblem] = []
    if in_force is not None:
        held = decode(in_force) if in_force else None
        if held is None:
            former = RouteTable(version=-1)
        elif isinstance(held, Failure):
            problem = held.failure()[0]
            errors.append(RouteProblem("in force", f"can't be read: {problem}"))
        else:
            former = held.unwrap()
    if isinstance(decoded, Failure):
        return CheckReport(errors=(*decoded.failure(), *errors))
    table = decoded.unwrap()
    warnings = find_conflicts(table)
    changes: list[TableChange] = []
    if former is not None:
        changes = compare_tables(table, former)
        if changes and table.version <= former.version:
            message = (
                f"got {table.version}, expected more than {former.version}, which is "
                f"in force; this configuration would change nothing"
            )
            warnings.append(RouteProblem("$.version", message))
    return CheckReport(tuple(errors), tuple(warnings), tuple(changes))


def load_decoder(name: str) -> DecodeTable:
    """
    Return the decoder of a document format.

    Parameters
    ----------
    name : str
        ``MODULE:FUNCTION``.

    Raises
    ------
    ValueError
        If there is no such function.
    """
    try:
        decode = resolve_name(name)
    except (ValueError, ImportError, AttributeError) as error:
        raise ValueError(f"got decoder {name!r}: {error}") from error
    if not callable(decode):
        raise ValueError(f"got decoder {name!r}, expected MODULE:FUNCTION")
    checked: DecodeTable = decode
    return checked
