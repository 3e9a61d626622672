"""Ledger of the requests that a fake upstream ran."""

from pathlib import Path
from typing import NamedTuple

import msgspec


class LedgerLine(NamedTuple):
    """
    One run of a request.

    Parameters
    ----------
    request_id : str
        The request's ``X-Request-Id`` header.
    name : str
        Identifies the caller's request: a prompt or an idempotency key.
    """

    request_id: str
    name: str


class RequestLedger:
    """
    Append a line to a file before each run starts.

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
    """Return the lines of a ledger, none if the file doesn't exist."""
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(LedgerLine)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]
