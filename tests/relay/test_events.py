"""Tests of splitting a stream into complete events."""

from random import Random
from unittest import TestCase

from poplarlug.relay.event_format import EventFormat
from poplarlug.relay.events import EventProgress

EVENTS = [b"id: %d\ndata: token\n\n" % number for number in range(30)]


def make_progress(last_id: str = "") -> EventProgress:
    return EventProgress(
        event_format=EventFormat(first_field="X-Version"), last_id=last_id
    )


class EventProgressTests(TestCase):
    def test_only_whole_events_get_through(self) -> None:
        """For any split of the bytes, events come out complete and in order."""
        for seed in range(20):
            rng = Random(seed)
            data = b"".join(EVENTS)
            progress = make_progress()
            out = b""
            while data:
                cut = rng.randint(1, 40)
                out += progress.feed(data[:cut])
                data = data[cut:]
                self.assertEqual(out, b"".join(EVENTS)[: len(out)])
                self.assertTrue(out == b"" or out.endswith(b"\n\n"))
            self.assertEqual(out, b"".join(EVENTS))
            self.assertEqual(progress.last_id, "29")
            self.assertTrue(progress.ends_with_event)

    def test_part_of_an_event_is_forgotten_at_a_restart(self) -> None:
        """The upstream that resumes the stream sends the interrupted event again."""
        progress = make_progress()
        first = progress.feed(EVENTS[0] + EVENTS[1][:7])
        self.assertFalse(progress.ends_with_event)
        progress.discard_partial()
        rest = progress.feed(EVENTS[1])
        self.assertEqual(first + rest, EVENTS[0] + EVENTS[1])

    def test_caller_that_resumes_keeps_its_last_event_id(self) -> None:
        """Before the first event, the last id is the one that the caller gave."""
        self.assertEqual(make_progress(last_id="7").last_id, "7")

    def test_lines_before_the_id_belong_to_the_event(self) -> None:
        """An event may contain other lines and either kind of line ending."""
        progress = make_progress()
        progress.feed(b"x-version: 2\r\nid: 41\r\ndata: x\r\n\r\n")
        self.assertEqual(progress.last_id, "41")

    def test_partially_passed_event_is_not_resumed_elsewhere(self) -> None:
        """Another upstream would send the event again from its start."""
        progress = make_progress()
        progress.feed(b"id: 1\ndata: a\n\nid: 2\ndata: ")
        self.assertEqual(progress.held_bytes, len(b"id: 2\ndata: "))
        self.assertTrue(progress.is_resumable)
        self.assertEqual(progress.flush_partial(), b"id: 2\ndata: ")
        self.assertFalse(progress.is_resumable)
        self.assertFalse(progress.ends_with_event)
        self.assertEqual(progress.feed(b"b\n\n"), b"b\n\n")
        self.assertTrue(progress.is_resumable)
        self.assertTrue(progress.ends_with_event)
        self.assertEqual(progress.last_id, "2")

    def test_end_that_comes_byte_by_byte_is_found(self) -> None:
        """The delimiter is found for any chunk boundaries."""
        progress = make_progress()
        parts = [bytes([byte]) for byte in b"id: 1\r\ndata: a\r\n\r\nid: 2\n\n"]
        events = [progress.feed(part) for part in parts]
        self.assertEqual(
            [event for event in events if event],
            [b"id: 1\r\ndata: a\r\n\r\n", b"id: 2\n\n"],
        )
        self.assertEqual(progress.last_id, "2")
