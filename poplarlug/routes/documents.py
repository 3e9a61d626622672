"""Decoding of route tables as operators submit them."""

from collections.abc import Callable
from typing import TypeAlias

import json5
from returns.result import Failure, Result, Success

from poplarlug.routes.checks import check_route_table
from poplarlug.routes.objects import RouteTable
from poplarlug.routes.problems import RouteProblem
from poplarlug.settings import SettingsError, check_settings

DecodeTable: TypeAlias = Callable[[bytes], Result[RouteTable, list[RouteProblem]]]
"""Returns the route table in a document, or all of its problems."""


def decode_route_table(document: bytes) -> Result[RouteTable, list[RouteProblem]]:
    """Return the route table in a JSON5 document, or all of its problems."""
    try:
        tree = json5.loads(document.decode())
    except (ValueError, RecursionError) as error:
        return Failure([RouteProblem("$", f"can't be read: {error}")])
    checked = check_settings(tree, RouteTable)
    if not isinstance(checked, Success):
        return Failure([_to_problem(error) for error in checked.failure()])
    table = checked.unwrap()
    problems = check_route_table(table)
    return Failure(problems) if problems else Success(table)


def _to_problem(error: SettingsError) -> RouteProblem:
    if error.path.startswith("$.teams") and error.message.startswith("got "):
        message = "not valid here; the value isn't shown, as it may be a key"
        return RouteProblem(error.path, message)
    return RouteProblem(error.path, error.message)
