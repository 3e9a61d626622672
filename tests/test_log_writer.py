"""Tests of writing log lines without blocking."""

import json
import os
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from poplarlug.log_writer import BoundedLineWriter
from tests.file_size import file_size_limit


class BoundedLineWriterTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)

    def make(self, **bounds: float) -> BoundedLineWriter:
        return BoundedLineWriter(
            descriptor=self.descriptor, clock=lambda: self.now, **bounds
        )

    def test_flood_is_bounded_and_counted(self) -> None:
        """Lines beyond the rate are dropped; their number precedes the next line."""
        writer = self.make(lines_per_second=10.0, burst_lines=5.0)
        for number in range(20):
            writer.write(f"line {number}")
        self.assertEqual(writer.dropped, 15)
        self.now = 0.1
        writer.write("after")
        lines = os.read(self.reader, 65536).decode().splitlines()
        self.assertEqual(lines[:5], [f"line {number}" for number in range(5)])
        # Guards against a notice without a level and time, which no log line lacks.
        notice = json.loads(lines[5])
        self.assertEqual((notice["lines"], notice["level"]), (15, "warning"))
        self.assertIn("timestamp", notice)
        self.assertEqual(lines[6:], ["after"])

    def test_stalled_reader_does_not_block(self) -> None:
        """A full pipe drops lines instead of blocking the writer."""
        writer = self.make(lines_per_second=1e9, burst_lines=1e9)
        for _ in range(2000):
            writer.write("x" * 1000)
        self.assertGreater(writer.dropped, 0)

    # Guards against a log line that ends whatever wrote it, as for want of a quota.
    def test_file_that_takes_no_more_drops_lines(self) -> None:
        """They are counted, and the next ones are written once there is room."""
        with TemporaryDirectory() as folder:
            file = Path(folder) / "log"
            descriptor = os.open(file, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
            self.addCleanup(os.close, descriptor)
            writer = BoundedLineWriter(descriptor=descriptor, clock=lambda: self.now)
            writer.write("before")
            with file_size_limit(len("before\n")):
                writer.write("lost")
            writer.write("after")
            lines = file.read_text().splitlines()
        self.assertEqual((lines[0], lines[-1]), ("before", "after"))
        self.assertIn('"lines": 1}', lines[1])
