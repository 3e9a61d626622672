"""A log that one fixed replica keeps in a synced file."""

import asyncio
import os
import struct
from pathlib import Path
from typing import Any

import crc32c
from returns.result import Failure, Result, Success

from poplarlug.control.replicated_log import (
    LogEntry,
    ProposeError,
    ProposeErrorKind,
    ReplicatedLog,
    StateMachine,
)
from poplarlug.types import VmName

_RECORD_HEAD = struct.Struct(">II")


class SingleLog(ReplicatedLog):
    """Append each command to a file, sync it, then apply it."""

    def __init__(
        self,
        *,
        name: VmName,
        leader: VmName,
        data_folder: Path,
        state_machine: StateMachine,
    ) -> None:
        self._name = name
        self._leader = leader
        self._state_machine = state_machine
        data_folder.mkdir(parents=True, exist_ok=True)
        self._path = data_folder / "log"
        self._last_index = 0
        for command in _read_records(self._path):
            self._apply(command)
        self._file = self._path.open("ab")

    @property
    def leader(self) -> VmName | None:
        return self._leader

    @property
    def is_leader(self) -> bool:
        return self._leader == self._name

    async def propose(self, command: bytes) -> Result[Any, ProposeError]:
        if self._name != self._leader:
            return Failure(
                ProposeError(
                    ProposeErrorKind.NOT_LEADER,
                    f"{self._leader} is the leader",
                    self._leader,
                )
            )
        self._file.write(_RECORD_HEAD.pack(len(command), crc32c.crc32c(command)))
        self._file.write(command)
        self._file.flush()
        os.fsync(self._file.fileno())
        return Success(self._apply(command))

    def _apply(self, command: bytes) -> Any:
        self._last_index += 1
        return self._state_machine.apply(LogEntry(1, self._last_index, command))

    async def run(self) -> None:
        await asyncio.get_running_loop().create_future()


def _read_records(path: Path) -> list[bytes]:
    data = path.read_bytes() if path.exists() else b""
    records = []
    offset = 0
    while offset + _RECORD_HEAD.size <= len(data):
        length, checksum = _RECORD_HEAD.unpack_from(data, offset)
        start = offset + _RECORD_HEAD.size
        record = data[start : start + length]
        if len(record) < length or crc32c.crc32c(record) != checksum:
            break
        records.append(record)
        offset = start + length
    return records
