"""Tests of the claim journal."""

import asyncio
import tempfile
from pathlib import Path
from unittest import TestCase

from poplarlug.claims.journal import FILE_NAME, MIN_COMPACT_RECORDS, ClaimJournal
from poplarlug.claims.records import (
    ClaimAttempt,
    ClaimKey,
    ClaimRequest,
    ClaimState,
    ClaimUpdate,
    StoredAnswer,
    Vote,
)
from poplarlug.claims.table import ClaimTable
from tests.file_size import file_size_limit

ATTEMPT = ClaimAttempt("quito-a-1", "run", 1)
OTHER = ClaimAttempt("quito-a-2", "run", 1)
ANSWER = StoredAnswer(200, "text/plain", b"booked")


def key_of(number: int) -> ClaimKey:
    return ClaimKey("quito-a", "verde", f"key-{number}")


class ClaimJournalTests(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.now = 1000.0

    def open(self) -> tuple[ClaimJournal, ClaimTable]:
        journal = ClaimJournal(folder=self.folder, wall_clock=lambda: self.now)
        table = ClaimTable(clock=lambda: 0.0, life_seconds=60.0)
        journal.load_into(table)
        return journal, table

    def write(self, count: int) -> None:
        async def main() -> None:
            journal, table = self.open()
            await journal.mark_recovered(table)
            for number in range(count):
                table.claim(ClaimRequest(key_of(number), ATTEMPT, "print"))
                done = ClaimUpdate(
                    key_of(number), ATTEMPT, "print", ClaimState.DONE, ANSWER
                )
                table.update(done)
                record = table.get(key_of(number))
                assert record is not None
                await journal.append(record, table)

        asyncio.run(main())

    def test_claims_survive_a_restart(self) -> None:
        """A new run loads the claims with their answers and trusts the file."""
        self.write(3)
        journal, table = self.open()
        self.assertTrue(journal.was_intact)
        for number in range(3):
            reply = table.claim(ClaimRequest(key_of(number), OTHER, "print"))
            self.assertIs(reply.vote, Vote.HELD)
            assert reply.record is not None
            self.assertEqual(reply.record.answer, ANSWER)

    def test_first_start_has_no_file_to_trust(self) -> None:
        """Without a file of an earlier run, the holder has to recover."""
        journal, _ = self.open()
        self.assertFalse(journal.was_intact)

    def test_damage_anywhere_is_not_trusted(self) -> None:
        """A truncated or corrupt file isn't trusted, also at later starts."""
        path = self.folder / FILE_NAME
        for damage in (_tear_end, _flip_middle):
            with self.subTest(damage=damage.__name__):
                self.write(5)
                path.write_bytes(damage(path.read_bytes()))
                for _ in range(2):
                    journal, _table = self.open()
                    self.assertFalse(journal.was_intact)

    def test_claims_end_by_the_time_of_day(self) -> None:
        """A claim that expired while the process was down is dropped."""
        self.write(2)
        self.now += 61.0
        _, table = self.open()
        self.assertEqual(len(table), 0)

    def test_file_is_compacted(self) -> None:
        """Repeated appends for the same key don't grow the file without bound."""

        async def main() -> None:
            journal, table = self.open()
            await journal.mark_recovered(table)
            table.claim(ClaimRequest(key_of(0), ATTEMPT, "print"))
            record = table.get(key_of(0))
            assert record is not None
            await journal.append(record, table)
            one = (self.folder / FILE_NAME).stat().st_size
            await asyncio.gather(
                *(journal.append(record, table) for _ in range(3 * MIN_COMPACT_RECORDS))
            )
            await journal.append(record, table)
            size = (self.folder / FILE_NAME).stat().st_size
            self.assertLess(size, 2 * MIN_COMPACT_RECORDS * one)

        asyncio.run(main())

    # Guards against claims that count as synced though their shared write failed.
    def test_claims_whose_shared_write_failed_are_not_confirmed(self) -> None:
        """Each caller hears of it, and the file takes claims again afterwards."""

        async def main() -> None:
            journal, table = self.open()
            await journal.mark_recovered(table)
            for number in range(4):
                table.claim(ClaimRequest(key_of(number), ATTEMPT, "print"))
            records = [table.get(key_of(number)) for number in range(4)]
            first, second, third, fourth = (one for one in records if one is not None)
            await journal.append(first, table)
            size = (self.folder / FILE_NAME).stat().st_size
            with file_size_limit(size + 5):
                outcomes = await asyncio.gather(
                    journal.append(second, table),
                    journal.append(third, table),
                    return_exceptions=True,
                )
            self.assertEqual([type(one) for one in outcomes], [OSError, OSError])
            await journal.append(fourth, table)

        asyncio.run(main())
        journal, table = self.open()
        self.assertTrue(journal.was_intact)
        for number in (0, 3):
            self.assertIsNotNone(table.get(key_of(number)))

    # Guards against a file that is trusted though it lacks what was recovered.
    def test_file_that_could_not_be_recovered_is_not_trusted(self) -> None:
        """Claims after the failed write don't make it look whole."""

        async def main() -> None:
            journal, table = self.open()
            for number in range(2):
                table.claim(ClaimRequest(key_of(number), ATTEMPT, "print"))
            with file_size_limit(5), self.assertRaises(OSError):
                await journal.mark_recovered(table)
            record = table.get(key_of(1))
            assert record is not None
            await journal.append(record, table)

        asyncio.run(main())
        journal, _ = self.open()
        self.assertFalse(journal.was_intact)


def _tear_end(data: bytes) -> bytes:
    return data[:-1]


def _flip_middle(data: bytes) -> bytes:
    middle = len(data) // 2
    return data[:middle] + bytes([data[middle] ^ 1]) + data[middle + 1 :]
