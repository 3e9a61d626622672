"""Latest snapshot of a replica's state machine, in a synced file."""

from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.control.disk import Disk
from poplarlug.control.raft.members import Members
from poplarlug.control.records import decode_records, encode_record

SNAPSHOT_FILE = "snapshot"


class Snapshot(NamedTuple):
    """
    State machine and members as of the entry at ``log_index``.

    Parameters
    ----------
    members : Members
        Members of the group as of that entry.
    """

    log_index: int
    term: int
    members: Members
    state: bytes


class SnapshotStore:
    """Store the latest snapshot on disk; only its index and size are kept in memory."""

    def __init__(self, *, disk: Disk) -> None:
        self._disk = disk
        self.log_index = 0
        self.size = 0
        self._saving = False

    def load(self) -> Result[Snapshot | None, str]:
        """Read the file, if there is one."""
        data = self._disk.read(SNAPSHOT_FILE)
        if data is None:
            return Success(None)
        decoded = decode_snapshot(data)
        if isinstance(decoded, Failure):
            return Failure(
                f"{SNAPSHOT_FILE} is damaged; empty the whole data folder and let the "
                "other replicas re-add this one"
            )
        self.log_index = decoded.unwrap().log_index
        self.size = len(data)
        return decoded

    def read(self) -> bytes | None:
        """Return the encoded snapshot to send to another replica."""
        return self._disk.read(SNAPSHOT_FILE)

    async def save(self, snapshot: Snapshot) -> bool:
        """Save ``snapshot`` unless a save is in progress or it is outdated."""
        if self._saving or snapshot.log_index <= self.log_index:
            return False
        self._saving = True
        try:
            data = encode_snapshot(snapshot)
            await self._disk.replace(SNAPSHOT_FILE, data)
        finally:
            self._saving = False
        self.log_index = snapshot.log_index
        self.size = len(data)
        return True


def encode_snapshot(snapshot: Snapshot) -> bytes:
    return encode_record(msgspec.msgpack.encode(snapshot), 0)


def decode_snapshot(data: bytes) -> Result[Snapshot, str]:
    """Return the snapshot in ``data`` if its checksum is valid."""
    records = decode_records(data)
    if isinstance(records, Failure) or len(records.unwrap().payloads) != 1:
        return Failure("the snapshot is damaged")
    payload = records.unwrap().payloads[0]
    return Success(msgspec.msgpack.decode(payload, type=Snapshot))
