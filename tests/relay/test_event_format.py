"""Tests of telling a run's events from other bytes."""

from unittest import TestCase

from poplarlug.relay.event_format import Event, EventFormat, Foreign

FORMAT = EventFormat(first_field="X-Version")


class EventFormatTests(TestCase):
    def test_fields_of_events_are_known(self) -> None:
        """Any of them may stand beside the id, with either kind of line ending."""
        for data in (
            b"id: 7\ndata: x\n\n",
            b"id:7\n\n",
            b"x-version: 2\nid: 7\ndata: x\n\n",
            b": comment\nevent: token\nretry: 10\nid: 7\ndata: x\ndata\n\n",
            b"data: x\r\nid: 7\r\n\r\n",
            b"\n\nid: 7\ndata: gr\xc3\xbc\xc3\x9fe\n\n",
        ):
            self.assertEqual(FORMAT.next_event(data, 0), Event(7, len(data)), data)

    def test_lines_without_data_are_no_event(self) -> None:
        """Comments keep a connection open; blank lines end nothing."""
        for data in (b": comment\n\n", b"\n", b"retry: 10\n\n", b"event: x\r\n\r\n"):
            self.assertEqual(FORMAT.next_event(data, 0), len(data), data)

    def test_other_bytes_are_foreign(self) -> None:
        """Neither an empty line nor an id alone makes an event."""
        for data in (
            b"data: x\n\n",
            b"id: \n\n",
            b"id: abc\ndata: x\n\n",
            b"id: -7\n\n",
            b"id: 1\nid: 2\n\n",
            b"id: " + b"1" * 19 + b"\n\n",
            b"id: 7\nx-version: 2\n\n",
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"Server: x\nid: 7\n\n",
            b"id: 7\ndata: x\rid: 8\n\n",
            b"%PDF-1.4\n\n",
            bytes(range(128, 256)) + b"\n\n",
        ):
            self.assertIs(FORMAT.next_event(data, 0), Foreign.FIELDS, data)
        self.assertIs(FORMAT.next_event(b"id: 7\ndata: \xff\n\n", 0), Foreign.ENCODING)

    def test_part_of_an_event_is_not_refuted(self) -> None:
        """Its first field may arrive byte by byte."""
        event = b"\r\nx-version: 2\nid: 7\n"
        for end in range(len(event)):
            self.assertTrue(FORMAT.may_begin_event(event[:end]), event[:end])
        for data in (b"HTT", b"\xff", b"ids", b"%"):
            self.assertFalse(FORMAT.may_begin_event(data), data)
