"""Tests of splitting a stream into complete events."""

from random import Random
from unittest import TestCase

from poplarlug.relay.event_format import EventFormat, Foreign
from poplarlug.relay.events import MAX_BYTES_WITHOUT_EVENT, EventProgress

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
        progress = make_progress(last_id="40")
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


class ForeignBytesTests(TestCase):
    """An upstream writes bytes that are no event of the run."""

    def check(self, *parts: bytes, passed: bytes, reason: Foreign) -> None:
        """Check what is passed on before the stream is refuted, for any chunks."""
        data = b"".join(parts)
        for chunks in (parts, [data], [bytes([byte]) for byte in data]):
            progress = make_progress()
            out = b"".join(progress.feed(chunk) for chunk in chunks)
            out += progress.finish()
            self.assertEqual(out, passed, parts)
            assert progress.foreign is not None
            self.assertIs(progress.foreign.reason, reason)
            self.assertFalse(progress.ends_with_event)
            self.assertEqual(progress.feed(EVENTS[2]), b"")
            self.assertEqual(progress.last_id, "1")

    def test_events_before_the_bytes_are_passed_on(self) -> None:
        """Nothing is passed on after them, even if it looks like an event."""
        good = b"".join(EVENTS[:2])
        for foreign in (b"data: x\n\n", b"id: \n\n", b"%PDF", b"\xff", b"HTTP/1.1"):
            self.check(good, foreign, passed=good, reason=Foreign.FIELDS)
        self.check(good, EVENTS[1], passed=good, reason=Foreign.REPEATED)
        self.check(good, b"id: 2\ndata: \xff\n\n", passed=good, reason=Foreign.ENCODING)

    def test_event_that_leaves_ids_out_waits_for_the_next(self) -> None:
        """The next one contradicts it, or the stream ends with it."""
        good = b"".join(EVENTS[:2])
        ahead = b"id: 900\ndata: x\n\n"
        self.check(good, ahead, EVENTS[2], passed=good, reason=Foreign.JUMP)
        self.check(good, ahead, passed=good, reason=Foreign.JUMP)

    def test_ids_may_have_gaps(self) -> None:
        """The pages promise that they increase, no more."""
        events = [b"id: %d\n\n" % number for number in (5, 10, 17, 18, 40)]
        progress = make_progress()
        out = [progress.feed(event) for event in events]
        self.assertEqual(out, [b"", events[0] + events[1], *events[2:]])
        progress = make_progress()
        self.assertEqual(progress.feed(events[0]) + progress.finish(), events[0])
        self.assertTrue(progress.ends_with_event)

    def test_id_after_which_the_caller_resumes_is_a_bound(self) -> None:
        """A run that begins anew would repeat events."""
        progress = make_progress(last_id="7")
        self.assertEqual(progress.feed(EVENTS[1]), b"")
        assert progress.foreign is not None
        self.assertIs(progress.foreign.reason, Foreign.REPEATED)

    def test_comments_and_the_byte_order_mark_are_no_events(self) -> None:
        """They are dropped; callers lose nothing."""
        data = b"\xef\xbb\xbf: open\n\n" + EVENTS[0] + b": still open\n\n" + EVENTS[1]
        for chunks in ([data], [bytes([byte]) for byte in data]):
            progress = make_progress()
            out = b"".join(progress.feed(chunk) for chunk in chunks)
            self.assertEqual(out, EVENTS[0] + EVENTS[1])
            self.assertTrue(progress.ends_with_event)

    def test_comments_without_end_are_foreign(self) -> None:
        """An event between them, or another upstream, starts the count again."""
        for block in (b"\n\n", b"\r\n", b": open\n\n", b"retry: 1\n\n"):
            most = block * (MAX_BYTES_WITHOUT_EVENT // len(block))
            progress = make_progress()
            for event in EVENTS[:3]:
                self.assertEqual(progress.feed(most), b"")
                self.assertEqual(progress.feed(event), event)
            progress.feed(most)
            progress.discard_partial()
            progress.feed(most)
            self.assertIsNone(progress.foreign)
            progress.feed(block * 2)
            assert progress.foreign is not None
            self.assertIs(progress.foreign.reason, Foreign.NO_EVENT)

    def test_next_upstream_is_checked_anew(self) -> None:
        """What the former one spoiled doesn't count against it."""
        progress = make_progress()
        progress.feed(EVENTS[0] + b"%PDF")
        progress.discard_partial()
        self.assertEqual(progress.feed(EVENTS[1]), EVENTS[1])

    # Guards against errors that look like an empty rest of a stream.
    def test_empty_answer_is_no_rest_until_the_last_event_is_repeated(self) -> None:
        """The next upstream sends the last event again, which isn't passed on twice."""
        progress = make_progress()
        progress.feed(b"".join(EVENTS[1:4]))
        self.assertEqual(progress.prepare_resume(), "3")
        progress.begin_answer()
        self.assertFalse(progress.has_rest)
        self.assertEqual(progress.prepare_resume(), "2")
        self.assertEqual(progress.prepare_resume(), "2", "no answer came")
        progress.begin_answer()
        self.assertFalse(progress.has_rest)
        self.assertEqual(progress.feed(EVENTS[3]), b"")
        self.assertTrue(progress.has_rest)
        self.assertTrue(progress.ends_with_event)
        self.assertEqual(progress.feed(EVENTS[4]), EVENTS[4])

    def test_answer_that_skips_the_last_event_does_not_repeat_it(self) -> None:
        """It is none of the run's."""
        progress = make_progress(last_id="3")
        progress.begin_answer()
        progress.prepare_resume()
        self.assertEqual(progress.feed(EVENTS[4]), b"")
        self.assertIsNotNone(progress.foreign)

    def test_first_event_is_repeated_from_the_start_of_the_stream(self) -> None:
        """Streams begin with 0 or 1, so there is no id before it for sure."""
        for first in (EVENTS[0], b""):
            progress = make_progress(last_id="1")
            progress.begin_answer()
            self.assertEqual(progress.prepare_resume(), "")
            self.assertEqual(progress.feed(first + EVENTS[1]), b"")
            self.assertTrue(progress.has_rest)
            self.assertEqual(progress.feed(EVENTS[2]), EVENTS[2])

    def test_stream_is_whole_once_it_has_all_events_that_it_can_have(self) -> None:
        """Whether its first id is 0 is known only to those who saw it."""
        progress = make_progress()
        progress.feed(b"".join(EVENTS[:4]))
        self.assertTrue(progress.has_all(4))
        self.assertFalse(progress.has_all(5))
        self.assertFalse(progress.has_all(None))
        resumed = make_progress(last_id="3")
        self.assertTrue(resumed.has_all(3))
        self.assertFalse(resumed.has_all(4))

    def test_large_event_is_passed_on_once_its_id_is_known(self) -> None:
        """Its later lines are checked as they end; no other id may follow."""
        progress = make_progress()
        self.assertEqual(progress.feed(b"data: " + b"x" * 500), b"")
        self.assertEqual(progress.flush_partial(), b"", "small enough to wait for it")
        progress.feed(b"x" * 1000)
        self.assertEqual(progress.flush_partial(), b"")
        assert progress.foreign is not None
        self.assertIs(progress.foreign.reason, Foreign.SIZE)
        for foreign, reason in (
            (b"\nid: 2\n", Foreign.FIELDS),
            (b"\nHTTP/1.1 200 OK\n", Foreign.FIELDS),
            (b"\xff\n\n", Foreign.ENCODING),
        ):
            progress = make_progress()
            progress.feed(b"id: 1\ndata: x")
            self.assertEqual(progress.flush_partial(), b"id: 1\ndata: x")
            self.assertEqual(progress.feed(b"x\ndata: y"), b"x\ndata: y")
            self.assertNotIn(foreign.strip(), progress.feed(foreign))
            assert progress.foreign is not None
            self.assertIs(progress.foreign.reason, reason)
            self.assertFalse(progress.is_resumable)
