"""Tests of adapting reads to the time that they take."""

from types import SimpleNamespace
from typing import Any
from unittest import TestCase

from poplarlug.relay.read_size import (
    FIRST_READ_BYTES,
    MAX_READ_BYTES,
    MAX_READ_SECONDS,
    MIN_READ_BYTES,
    ReadSize,
)


class ReadSizeTests(TestCase):
    def test_reads_become_smaller_while_they_are_slow(self) -> None:
        """They grow again while the transport has more than fits in a fast one."""
        transport: Any = SimpleNamespace(max_size=1)
        size = ReadSize(transport=transport)
        self.assertEqual(transport.max_size, FIRST_READ_BYTES)
        for _ in range(20):
            size.note_read(size.bytes, 2 * MAX_READ_SECONDS)
        self.assertEqual(transport.max_size, MIN_READ_BYTES)
        size.note_read(MIN_READ_BYTES - 1, 0.0)
        self.assertEqual(transport.max_size, MIN_READ_BYTES)
        for _ in range(20):
            size.note_read(size.bytes, 0.0)
        self.assertEqual(transport.max_size, MAX_READ_BYTES)
