"""The request log: one JSON line per request, limited in memory and on disk."""

import asyncio
import sys
from collections import deque
from pathlib import Path
from typing import NamedTuple, TextIO

import msgspec

from poplarlug.types import (
    AccountName,
    RankName,
    RegionName,
    RequestId,
    Seconds,
    VmName,
    ZoneName,
)

FLUSH_SECONDS = 0.25
MAX_QUEUED_LINES = 20_000
STDERR = "stderr"


class RequestRecord(NamedTuple):
    """
    One request as recorded by the entry that its caller used.

    Parameters
    ----------
    time : float
        End of the request, in seconds since 1970.
    region : RegionName
        Region of the entry that received the request.
    target : str
        The requested model or service.
    status : int
        HTTP status; 0 when the caller disconnected before the end.
    error : str
        Type of the error, empty for a complete answer.
    ran : bool or None
        Whether it ran at an upstream; ``None`` when unknown.
    first_token_seconds : float or None
        Time from the request to the first byte of the answer's body.
    """

    time: float
    request_id: RequestId
    entry: VmName
    region: RegionName
    account: AccountName = ""
    rank: RankName = ""
    target: str = ""
    stream: bool = False
    zone: ZoneName = ""
    served_by: str = ""
    status: int = 0
    error: str = ""
    ran: bool | None = False
    first_token_seconds: Seconds | None = None
    total_seconds: Seconds = 0.0
    attempts: int = 0
    forwarded: bool = False
    bytes: int = 0


class RequestLogSettings(NamedTuple):
    """
    Destination and rotation of the request log.

    Parameters
    ----------
    target : str
        A file, relative to the settings file's folder, or ``stderr``; empty for
        no request log.
    max_bytes, files : int
        A file is rotated before it exceeds ``max_bytes``; ``files`` are kept.
    """

    target: str = STDERR
    max_bytes: int = 64 * 1024 * 1024
    files: int = 8


class RequestLog:
    """
    Write records in batches from a background task.

    If the disk is too slow, the newest records are dropped and counted; requests
    never wait for the log.
    """

    def __init__(self, *, settings: RequestLogSettings, folder: Path) -> None:
        self._settings = settings
        self._path = folder / settings.target
        self._records: deque[RequestRecord] = deque()
        self.dropped = 0

    def add(self, record: RequestRecord) -> None:
        if not self._settings.target:
            return
        if len(self._records) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._records.append(record)

    async def run(self) -> None:
        """Write added records until cancelled, then write the remaining ones."""
        try:
            while True:
                await asyncio.sleep(FLUSH_SECONDS)
                batch = self._take_batch()
                if batch:
                    await asyncio.to_thread(self._write, batch)
        finally:
            self._write(self._take_batch())

    def _take_batch(self) -> bytes:
        lines = []
        while self._records:
            record = self._records.popleft()
            lines.append(msgspec.json.encode(record._asdict()))
        return b"\n".join(lines) + b"\n" if lines else b""

    def _write(self, batch: bytes) -> None:
        if self._settings.target == STDERR:
            _write_text(sys.stderr, batch)
            return
        if not batch:
            return
        self._rotate(len(batch))
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with self._path.open("ab") as file:
            file.write(batch)

    def _rotate(self, added_bytes: int) -> None:
        size = self._path.stat().st_size if self._path.exists() else 0
        if not size or size + added_bytes <= self._settings.max_bytes:
            return
        for number in range(self._settings.files - 1, 0, -1):
            source = self._numbered(number - 1)
            if source.exists():
                source.replace(self._numbered(number))
        if self._settings.files <= 1:
            self._path.unlink()

    def _numbered(self, number: int) -> Path:
        suffix = f".{number}" if number else ""
        return self._path.with_name(f"{self._path.name}{suffix}")


def _write_text(stream: TextIO, batch: bytes) -> None:
    stream.write(batch.decode())
    stream.flush()
