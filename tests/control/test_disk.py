"""Tests of files on a disk that takes only part of a write."""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from poplarlug.control.disk import ContentUnchangedError, FileDisk
from tests.file_size import file_size_limit

HELD = b"held"


class FileDiskTests(TestCase):
    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.disk = FileDisk(folder=self.folder)
        asyncio.run(self.disk.replace("log", HELD))

    # Guards against a partial write that stays between valid records.
    def test_append_cuts_what_a_failed_one_left(self) -> None:
        """The next append starts where the failed one did."""
        with file_size_limit(len(HELD) + 3), self.assertRaises(OSError):
            asyncio.run(self.disk.append("log", b"failed", offset=len(HELD)))
        self.assertEqual(self.disk.read("log"), HELD + b"fai")
        asyncio.run(self.disk.append("log", b"b", offset=len(HELD)))
        self.assertEqual(self.disk.read("log"), HELD + b"b")

    # Guards against a partial file that takes up the last room.
    def test_failed_replacement_leaves_the_old_file_alone(self) -> None:
        """The new file is removed."""
        with file_size_limit(3), self.assertRaises(ContentUnchangedError):
            asyncio.run(self.disk.replace("log", b"failed"))
        self.assertEqual(self.disk.read("log"), HELD)
        self.assertEqual(sorted(p.name for p in self.folder.iterdir()), ["log"])

    # Guards against entries behind a hole, which no start can read.
    def test_append_refuses_a_file_that_lost_its_end(self) -> None:
        """Whether it is shorter than expected or gone."""
        for lose in (lambda path: path.write_bytes(b""), Path.unlink):
            lose(self.folder / "log")
            with self.assertRaises(OSError):
                asyncio.run(self.disk.append("log", b"b", offset=len(HELD)))
            self.assertFalse(self.disk.read("log"))
