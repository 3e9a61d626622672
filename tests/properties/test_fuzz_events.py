"""Random streams, whole and spoiled, through the checks of their events."""

from unittest import TestCase

from hypothesis import given, settings, strategies as st

from poplarlug.relay.event_format import EventFormat
from poplarlug.relay.events import EventProgress

FORMAT = EventFormat(first_field="X-Version")
SPLITS = st.lists(st.integers(1, 60), min_size=1, max_size=60)
LINE = st.text(
    st.characters(blacklist_categories=["Cs"], blacklist_characters="\r\n"),
    max_size=40,
).map(str.encode)
MARK = b"Spoiled"


@st.composite
def event(draw: st.DrawFn, number: int) -> bytes:
    end = draw(st.sampled_from([b"\n", b"\r\n"]))
    lines = [b"data: " + line for line in draw(st.lists(LINE, max_size=3))]
    if draw(st.booleans()):
        lines.insert(0, b": " + draw(LINE))
    position = draw(st.integers(0, len(lines)))
    lines.insert(position, b"id: %d" % number)
    if draw(st.booleans()):
        lines.insert(0, b"x-version: 3")
    return b"".join(line + end for line in lines) + end


@st.composite
def stream(draw: st.DrawFn) -> tuple[str, list[bytes]]:
    last = draw(st.one_of(st.none(), st.integers(0, 10**6)))
    first = draw(st.sampled_from([0, 1])) if last is None else last + 1
    count = draw(st.integers(1, 12))
    events = [draw(event(number)) for number in range(first, first + count)]
    return "" if last is None else str(last), events


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    parts = []
    for size in sizes:
        parts.append(data[:size])
        data = data[size:]
    return [part for part in (*parts, data) if part]


class EventProgressFuzzTests(TestCase):
    @settings(max_examples=300, deadline=None)
    @given(stream(), SPLITS)
    def test_sound_streams_come_out_byte_for_byte(
        self, made: tuple[str, list[bytes]], sizes: list[int]
    ) -> None:
        """Each event comes out with its last byte, in any chunks."""
        last_id, events = made
        data = b"".join(events)
        progress = EventProgress(event_format=FORMAT, last_id=last_id)
        out, fed = b"", b""
        ends = [len(b"".join(events[: n + 1])) for n in range(len(events))]
        for part in split(data, sizes):
            fed += part
            out += progress.feed(part)
            self.assertEqual(len(out), max([0, *(e for e in ends if e <= len(fed))]))
        out += progress.finish()
        self.assertEqual(out, data)
        self.assertTrue(progress.ends_with_event)

    @settings(max_examples=300, deadline=None)
    @given(stream(), SPLITS, st.data())
    def test_large_events_come_out_byte_for_byte(
        self, made: tuple[str, list[bytes]], sizes: list[int], data: st.DataObject
    ) -> None:
        """Parts of events are flushed at random."""
        last_id, events = made
        whole = b"".join(events)
        progress = EventProgress(event_format=FORMAT, last_id=last_id)
        out = b""
        for part in split(whole, sizes):
            out += progress.feed(part)
            if data.draw(st.booleans()):
                out += progress.flush_partial()
        out += progress.finish()
        self.assertEqual(out, whole)
        self.assertTrue(progress.ends_with_event)

    @settings(max_examples=400, deadline=None)
    @given(stream(), SPLITS, st.data())
    def test_other_bytes_never_come_out(
        self, made: tuple[str, list[bytes]], sizes: list[int], data: st.DataObject
    ) -> None:
        """Bytes between two events that have no field of an event."""
        last_id, events = made
        place = data.draw(st.integers(0, len(events)))
        noise = data.draw(st.binary(max_size=60))
        foreign = MARK + noise + data.draw(st.sampled_from([b"", b"\n\n"]))
        spoiled = b"".join([*events[:place], foreign, *events[place:]])
        progress = EventProgress(event_format=FORMAT, last_id=last_id)
        out = b""
        for part in split(spoiled, sizes):
            out += progress.feed(part)
            if data.draw(st.booleans()):
                out += progress.flush_partial()
        out += progress.finish()
        self.assertEqual(out, b"".join(events[:place]))
        self.assertFalse(progress.ends_with_event)
