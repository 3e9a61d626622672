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
        asyncio.run(self.disk.append("log", HELD, offset=0))

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
