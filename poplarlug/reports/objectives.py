"""Objectives of ranks, and whether a request met its rank's targets."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import json5
import msgspec
from returns.result import Failure, Result, Success

from poplarlug.catalog import Rank
from poplarlug.requestlog import RequestRecord
from poplarlug.types import RankName

TOO_MANY_REQUESTS = 429


class Outcome(NamedTuple):
    """Number of requests that count towards an objective and of those that met it."""

    good: int
    total: int


def load_ranks(path: Path) -> Result[Mapping[RankName, Rank], str]:
    """
    Read ranks as ``poplarlug --output=json rank list`` prints them.

    Returns
    -------
    Success(mapping) or Failure(str)
        Ranks by name, or what is wrong with the file.
    """
    try:
        rows = json5.loads(path.read_text(encoding="utf-8"))
        ranks = [_parse_rank(row) for row in rows]
    except (OSError, ValueError, TypeError, AttributeError) as error:
        return Failure(
            f"{path}: got {error}, expected the JSON of 'poplarlug rank list'"
        )
    invalid = [rank.name for rank in ranks if not 0 < rank.objective < 1]
    if invalid:
        return Failure(f"{path}: objective of {invalid} must lie between 0 and 1")
    return Success({rank.name: rank for rank in ranks})


def request_outcome(record: RequestRecord, rank: Rank) -> Outcome:
    """
    Return whether ``record`` counts and met the targets of ``rank``.

    Requests that were invalid or that the caller abandoned don't count. A refusal
    counts as missed.
    """
    if record.status == 0:
        return Outcome(0, 0)
    if record.status >= 500 or record.status == TOO_MANY_REQUESTS:
        return Outcome(0, 1)
    if record.status >= 400:
        return Outcome(0, 0)
    first = record.first_token_seconds
    in_time = first is None or first <= rank.first_token_target_seconds
    in_time = in_time and record.total_seconds <= rank.target_seconds
    return Outcome(int(in_time), 1)


def _parse_rank(row: dict[str, Any]) -> Rank:
    known = {name: row[name] for name in Rank._fields if name in row}
    fields = {**Rank._field_defaults, **known}
    return msgspec.convert([fields[name] for name in Rank._fields], Rank)
