"""Log entries of a replica, in memory and in a synced file."""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.control.coalescing import CoalescedWrite
from poplarlug.control.disk import ContentUnchangedError, Disk
from poplarlug.control.records import RecordReader, encode_record
from poplarlug.logs import ComponentLogger

LOG_FILE = "log"

_log = ComponentLogger(prefix="raft")


class EntryKind(IntEnum):
    """Content of an entry; only commands reach the state machine."""

    COMMAND = 0
    NOOP = 1
    MEMBERS = 2


class Entry(NamedTuple):
    """One log entry; the first one has ``log_index`` 1."""

    term: int
    log_index: int
    kind: EntryKind
    data: bytes


class _Batch(NamedTuple):
    """
    Entries that were synced together.

    An entry replaces entries of earlier batches with the same or a higher index.

    Parameters
    ----------
    commit_index : int
        Index known to be committed when the batch was written.
    base_index, base_term : int
        Index and term of the last entry that was compacted away.
    """

    commit_index: int
    base_index: int
    base_term: int
    entries: tuple[Entry, ...]


class LogStorage:
    """
    Log entries after the base, the last entry that was compacted away.

    Changes are made in memory immediately. :meth:`sync` makes them durable, with one
    write for all pending changes.
    """

    def __init__(self, *, disk: Disk) -> None:
        self._disk = disk
        self.base_index = 0
        self.base_term = 0
        self.commit_index = 0
        self.durable_index = 0
        self._entries: list[Entry] = []
        self._size = 0
        self._must_rewrite = True
        self._can_shorten = False
        self._lowest_truncation = 0
        self._write = CoalescedWrite(write=self._write_batch)

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    def load(self) -> Result[None, str]:
        """
        Read the file; a torn write at its end is dropped.

        Returns
        -------
        Failure(str)
            If the file is damaged before its end.
        """
        file = self._disk.open(LOG_FILE)
        if file is None:
            return Success(None)
        with file:
            reader = RecordReader(file=file)
            for payload in reader.payloads():
                self._load_batch(msgspec.msgpack.decode(payload, type=_Batch))
            checked = reader.check_end()
        if isinstance(checked, Failure):
            return Failure(
                f"{LOG_FILE} is damaged in its middle: {checked.failure()}; empty the "
                "whole data folder and let the other replicas re-add this one"
            )
        self._size = reader.size
        self.durable_index = self.last_index
        self._must_rewrite = not self._size
        return Success(None)

    def entry(self, log_index: int) -> Entry:
        return self._entries[log_index - self.base_index - 1]

    def entries_from(self, log_index: int) -> Sequence[Entry]:
        return self._entries[max(0, log_index - self.base_index - 1) :]

    def entries_between(self, first: int, count: int) -> tuple[Entry, ...]:
        """Return up to ``count`` entries, starting at index ``first``."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : start + count])

    def term_at(self, log_index: int) -> int | None:
        """Return the term of an entry, ``None`` if the log does not hold it."""
        if log_index == self.base_index:
            return self.base_term
        if self.base_index < log_index <= self.last_index:
            return self.entry(log_index).term
        return None

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that directly follow the last one."""
        for entry in entries:
            assert entry.log_index == self.last_index + 1
            self._entries.append(entry)

    def truncate_from(self, log_index: int) -> None:
        """Remove all entries from ``log_index`` on."""
        assert log_index > self.commit_index, f"truncates committed {log_index}"
        del self._entries[log_index - self.base_index - 1 :]
        self.durable_index = min(self.durable_index, log_index - 1)
        self._lowest_truncation = min(self._lowest_truncation, log_index - 1)

    def compact_to(self, log_index: int) -> None:
        """Remove the durable entries up to ``log_index``, which a snapshot covers."""
        # A gap in the file would make it unreadable.
        log_index = min(log_index, self.durable_index)
        if log_index <= self.base_index:
            return
        term = self.term_at(log_index)
        assert term is not None
        del self._entries[: log_index - self.base_index]
        self.base_index, self.base_term = log_index, term
        self._can_shorten = True

    def reset(self, log_index: int, term: int) -> None:
        """Remove all entries; the next one follows ``log_index``."""
        self._entries.clear()
        self.base_index, self.base_term = log_index, term
        self.commit_index = max(self.commit_index, log_index)
        self.durable_index = log_index
        self._lowest_truncation = min(self._lowest_truncation, log_index)
        self._must_rewrite = True

    async def sync(self, log_index: int) -> None:
        """
        Return once all entries held up to ``log_index`` are durable.

        Raises
        ------
        OSError
            If a write fails; the next call repeats it in the same place.
        """
        while not self.is_durable(log_index):
            await self._write.run()

    def is_durable(self, log_index: int) -> bool:
        """Return whether all entries held up to ``log_index`` are durable."""
        return self.durable_index >= min(log_index, self.last_index)

    async def rewrite(self) -> None:
        """Write pending changes; after a compaction, shorten the file."""
        await self._write.run()

    def _load_batch(self, batch: _Batch) -> None:
        if not self._entries and batch.base_index >= self.base_index:
            self.base_index, self.base_term = batch.base_index, batch.base_term
        self.commit_index = max(self.commit_index, batch.commit_index)
        if batch.entries:
            first = batch.entries[0].log_index
            del self._entries[first - self.base_index - 1 :]
            self.append(batch.entries)

    async def _write_batch(self) -> None:
        if self._must_rewrite:
            await self._replace_file()
        elif self._can_shorten:
            await self._shorten_file()
        # A snapshot may have been installed meanwhile.
        if self.durable_index < self.last_index and not self._must_rewrite:
            await self._append_to_file()

    async def _replace_file(self) -> None:
        batch = self._batch_after(self.base_index)
        record = encode_record(msgspec.msgpack.encode(batch), 0)
        is_required = self._must_rewrite
        self._must_rewrite = self._can_shorten = False
        try:
            await self._disk.replace(LOG_FILE, record)
        except BaseException as error:
            if is_required or not isinstance(error, ContentUnchangedError):
                self._must_rewrite = True
            raise
        self._record_written(batch.base_index, batch, len(record))

    async def _shorten_file(self) -> None:
        """Replace the file by a shorter one if there is room for both."""
        try:
            await self._replace_file()
        except ContentUnchangedError as error:
            # The longer file is valid as well, and appending to it needs less room.
            _log.warning("can't shorten the log file", error=repr(error))

    async def _append_to_file(self) -> None:
        durable_index = self.durable_index
        batch = self._batch_after(durable_index)
        record = encode_record(msgspec.msgpack.encode(batch), self._size)
        await self._disk.append(LOG_FILE, record, offset=self._size)
        self._record_written(durable_index, batch, self._size + len(record))

    def _batch_after(self, log_index: int) -> _Batch:
        self._lowest_truncation = self.last_index
        return _Batch(
            self.commit_index,
            self.base_index,
            self.base_term,
            tuple(self.entries_from(log_index + 1)),
        )

    def _record_written(self, previous_index: int, batch: _Batch, size: int) -> None:
        self._size = size
        last_index = previous_index + len(batch.entries)
        written = min(last_index, self._lowest_truncation)
        self.durable_index = max(self.durable_index, written)
