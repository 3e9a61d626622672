"""Tests of writing log lines without blocking."""

import os
from unittest import TestCase

from poplarlug.log_writer import BoundedLineWriter


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
        self.assertIn('"lines": 15', lines[5])
        self.assertEqual(lines[6:], ["after"])

    def test_stalled_reader_does_not_block(self) -> None:
        """A full pipe drops lines instead of blocking the writer."""
        writer = self.make(lines_per_second=1e9, burst_lines=1e9)
        for _ in range(2000):
            writer.write("x" * 1000)
        self.assertGreater(writer.dropped, 0)
