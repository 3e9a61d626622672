"""Ledger of the requests that a stand-in upstream ran."""

from pathlib import Path
from typing import NamedTuple

import msgspec


class LedgerLine(NamedTuple):
    """
    One run of a request.

    Parameters
    ----------
    request_id : str
        The ``X-Request-Id`` that came with it.
    name : str
        What tells the caller's request apart: a prompt or an idempotency key.
    """

    request_id: str
    name: str


class RequestLedger:
    """
    Append each run to a file before it starts.

    Parameters
    ----------
    path : str
        The file; empty for no ledger.
    """

    def __init__(self, *, path: str) -> None:
        self._path = path

    def write(self, request_id: str, name: str) -> None:
        if self._path:
            line = msgspec.json.encode(LedgerLine(request_id, name))
            with Path(self._path).open("ab") as file:
                file.write(line + b"\n")


def read_ledger(path: Path) -> list[LedgerLine]:
    """Return the lines of a ledger, none when the file isn't there."""
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(LedgerLine)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]
