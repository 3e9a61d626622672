"""Tests of the log and the hard state after crashes and file damage."""

import asyncio
from random import Random
from unittest import TestCase
from unittest.mock import patch

from returns.result import Failure, Success

from poplarlug.control.hard_state import HARD_STATE_FILE, HardState
from poplarlug.control.log_storage import LOG_FILE, Entry, EntryKind, LogStorage
from poplarlug.control.memory_disk import MemoryDisk
from poplarlug.control.records import MAGIC, encode_record
from poplarlug.virtualtime import run_virtual


def entry(log_index: int, term: int = 1, data: bytes = b"x") -> Entry:
    return Entry(term, log_index, EntryKind.COMMAND, data)


class LogStorageTests(TestCase):
    def setUp(self) -> None:
        self.disk = MemoryDisk(rng=Random(1))

    def write(self, *batches: list[Entry]) -> None:
        """Append and sync each batch of entries in a new log."""

        async def main() -> None:
            log = LogStorage(disk=self.disk)
            for batch in batches:
                log.append(batch)
                await log.sync(log.last_index)

        run_virtual(main())

    def load(self) -> LogStorage:
        log = LogStorage(disk=self.disk)
        self.assertEqual(log.load(), Success(None))
        return log

    def held(self, log: LogStorage) -> list[tuple[int, int]]:
        return [(e.term, e.log_index) for e in log.entries_from(log.base_index + 1)]

    def test_synced_entries_come_back(self) -> None:
        """All batches are read back in order."""
        self.write([entry(1), entry(2)], [entry(3)])
        self.assertEqual(self.held(self.load()), [(1, 1), (1, 2), (1, 3)])

    def test_torn_end_is_cut_at_any_byte(self) -> None:
        """The rest of a torn last write is dropped; earlier entries stay."""
        self.write([entry(1)], [entry(2)])
        whole = self.disk.files_by_name[LOG_FILE]
        self.disk.wipe()
        self.write([entry(1)])
        first_size = len(self.disk.files_by_name[LOG_FILE])
        for size in range(first_size, len(whole)):
            self.disk.files_by_name[LOG_FILE] = whole[:size]
            self.assertEqual(self.held(self.load()), [(1, 1)], size)

    def test_log_goes_on_after_a_cut_end(self) -> None:
        """Entries after a torn end survive the next restart."""
        self.write([entry(1)], [entry(2)])
        self.disk.files_by_name[LOG_FILE] = self.disk.files_by_name[LOG_FILE][:-1]

        async def main() -> None:
            log = self.load()
            log.append([entry(2, term=2)])
            await log.sync(2)
            log.append([entry(3, term=2)])
            await log.sync(3)

        run_virtual(main())
        self.assertEqual(self.held(self.load()), [(1, 1), (2, 2), (2, 3)])

    def test_damaged_middle_is_refused(self) -> None:
        """A changed byte before the last record is reported, not truncated."""
        self.write([entry(1)], [entry(2)], [entry(3)])
        whole = self.disk.files_by_name[LOG_FILE]
        for offset in range(whole.rfind(MAGIC)):
            damaged = bytearray(whole)
            damaged[offset] ^= 0x55
            self.disk.files_by_name[LOG_FILE] = bytes(damaged)
            loaded = LogStorage(disk=self.disk).load()
            assert isinstance(loaded, Failure), offset
            self.assertIn("damaged in its middle", loaded.failure())

    def test_record_inside_a_payload_is_no_record(self) -> None:
        """A torn write whose payload contains a record is dropped as well."""
        decoy = encode_record(b"decoy", 0)
        self.write([entry(1)], [entry(2, data=decoy)])
        self.disk.files_by_name[LOG_FILE] = self.disk.files_by_name[LOG_FILE][:-1]
        self.assertEqual(self.held(self.load()), [(1, 1)])

    def test_replaced_entries_stay_replaced(self) -> None:
        """Truncated and rewritten entries are read back as the new ones."""

        async def main() -> None:
            log = LogStorage(disk=self.disk)
            log.append([entry(1), entry(2), entry(3)])
            await log.sync(3)
            log.truncate_from(2)
            log.append([entry(2, term=2)])
            await log.sync(2)

        run_virtual(main())
        self.assertEqual(self.held(self.load()), [(1, 1), (2, 2)])

    def test_entries_cut_during_a_write_are_not_durable(self) -> None:
        """A write that finishes after a truncation makes no new entry durable."""

        async def main() -> None:
            log = LogStorage(disk=self.disk)
            log.append([entry(1), entry(2), entry(3)])
            writing = asyncio.ensure_future(log.sync(3))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            log.truncate_from(2)
            log.append([entry(2, term=2)])
            for _ in range(1000):
                if log.durable_index:
                    break
                await asyncio.sleep(0.0001)
            self.assertEqual(log.durable_index, 1)
            await log.sync(2)
            await writing

        run_virtual(main())
        self.assertEqual(self.held(self.load()), [(1, 1), (2, 2)])

    def test_entries_after_a_failed_write_are_kept(self) -> None:
        """The next write cuts the partial record in which the file may end."""
        # Guards against a log that accepts no more entries after its disk was full.

        async def main() -> None:
            log = LogStorage(disk=self.disk)
            log.append([entry(1), entry(2)])
            await log.sync(2)
            log.append([entry(3)])
            held = self.disk.files_by_name[LOG_FILE]
            with (
                patch.object(self.disk, "append", side_effect=OSError("full")),
                self.assertRaises(OSError),
            ):
                await log.sync(3)
            self.assertEqual(log.durable_index, 2)
            self.disk.files_by_name[LOG_FILE] = held + b"a part"
            log.append([entry(4)])
            await log.sync(4)

        run_virtual(main())
        self.assertEqual(self.held(self.load()), [(1, 1), (1, 2), (1, 3), (1, 4)])

    # Guards against a log that needs more room after a failed write than before it.
    def test_entries_are_taken_while_there_is_room_for_no_second_log(self) -> None:
        """Neither a failed write nor a compaction makes the log need that room."""

        async def main() -> None:
            log = LogStorage(disk=self.disk)
            log.append([entry(1), *(entry(i, data=bytes(1000)) for i in range(2, 11))])
            await log.sync(10)
            self.disk.capacity_bytes = self.disk.used_bytes + 50
            log.append([entry(11, data=bytes(100))])
            with self.assertRaises(OSError):
                await log.sync(11)
            self.assertEqual(log.durable_index, 10)
            self.disk.capacity_bytes += 200
            await log.sync(11)
            log.compact_to(1)
            await log.rewrite()
            log.append([entry(12)])
            await log.sync(12)

        run_virtual(main())
        loaded = self.load()
        self.assertEqual(self.held(loaded), [(1, index) for index in range(1, 13)])

    # Guards against a crash that leaves parts of two writes in one place.
    def test_crash_while_a_failed_write_is_repeated_keeps_what_was_synced(self) -> None:
        """The parts are no record, whatever is left of each."""

        async def main(seed: int) -> None:
            self.disk = MemoryDisk(rng=Random(seed))
            log = LogStorage(disk=self.disk)
            log.append([entry(1)])
            await log.sync(1)
            self.disk.capacity_bytes = self.disk.used_bytes + 20 * seed
            log.append([entry(2, data=bytes(1000)), entry(3)])
            with self.assertRaises(OSError):
                await log.sync(3)
            log.truncate_from(2)
            log.append([entry(2, term=2, data=bytes(300))])
            self.disk.capacity_bytes += 2000
            writing = asyncio.ensure_future(log.sync(2))
            await asyncio.sleep(0.0001)
            self.disk.crash()
            writing.cancel()

        for seed in range(40):
            run_virtual(main(seed))
            self.assertIn(self.held(self.load()), ([(1, 1)], [(1, 1), (2, 2)]))

    # Guards against a file with a gap, which can't be read.
    def test_entries_that_are_in_no_file_yet_are_not_compacted(self) -> None:
        """A snapshot may cover entries that the disk has not taken yet."""

        async def main() -> None:
            log = LogStorage(disk=self.disk)
            log.append([entry(1), entry(2)])
            await log.sync(2)
            log.append([entry(3), entry(4)])
            log.compact_to(4)
            self.disk.capacity_bytes = self.disk.used_bytes
            with self.assertRaises(OSError):
                await log.rewrite()
            self.disk.capacity_bytes += 100
            log.append([entry(5)])
            await log.sync(5)

        run_virtual(main())
        self.assertEqual(self.load().last_index, 5)

    def test_many_waiting_entries_are_synced_together(self) -> None:
        """Entries that are appended during a write share the next write."""

        async def main() -> None:
            log = LogStorage(disk=self.disk)
            syncs = []
            for log_index in range(1, 101):
                log.append([entry(log_index)])
                syncs.append(asyncio.ensure_future(log.sync(log_index)))
                await asyncio.sleep(0)
            await asyncio.gather(*syncs)

        run_virtual(main())
        self.assertEqual(self.load().last_index, 100)
        records = self.disk.files_by_name[LOG_FILE].count(MAGIC)
        self.assertLessEqual(records, 3)


class HardStateTests(TestCase):
    def test_damaged_file_is_refused(self) -> None:
        """An unreadable vote is never treated as no vote."""
        disk = MemoryDisk(rng=Random(1))
        hard_state = HardState(disk=disk, rng=Random(2))
        run_virtual(hard_state.save())
        disk.files_by_name[HARD_STATE_FILE] = disk.files_by_name[HARD_STATE_FILE][:-1]
        loaded = HardState(disk=disk, rng=Random(3)).load()
        assert isinstance(loaded, Failure)
        self.assertIn("damaged", loaded.failure())

    def test_emptied_disk_is_another_incarnation(self) -> None:
        """The incarnation survives a restart, but not the loss of the disk."""
        disk = MemoryDisk(rng=Random(1))
        first = HardState(disk=disk, rng=Random(2))
        run_virtual(first.save())
        again = HardState(disk=disk, rng=Random(3))
        self.assertEqual(again.load(), Success(None))
        self.assertEqual(again.incarnation, first.incarnation)
        disk.wipe()
        emptied = HardState(disk=disk, rng=Random(4))
        self.assertEqual(emptied.load(), Success(None))
        self.assertNotEqual(emptied.incarnation, first.incarnation)
