"""The format of a run's events, and the reasons why bytes are not one of them."""

import codecs
import re
from enum import Enum
from typing import NamedTuple

MAX_ID_DIGITS = 18

DELIMITER = re.compile(rb"\r?\n\r?\n")

_NEUTRAL_LINE = rb"(?::[^\r\n]*+|retry(?:: ?[0-9]*+)?+|event(?::[^\r\n]*+)?+)"
_OTHER_LINE = rb"(?:" + _NEUTRAL_LINE + rb"|data(?::[^\r\n]*+)?+)"
# All such blocks in a row, as an attempt to match an event goes over them as well.
_NO_EVENTS = re.compile(rb"(?:(?:" + _NEUTRAL_LINE + rb"\r?\n)*+\r?\n)++")
_LINES = re.compile(rb"(?:" + _OTHER_LINE + rb"\r?\n)*+")
_BLANK_LINE = re.compile(rb"\r?\n")
_TEXT_PART = re.compile(rb"(data:|event:|:)[^\r\n]*+")
_NUMBER_PART = re.compile(rb"retry: ?[0-9]++")
_LINE_START = re.compile(rb"[a-z]{0,5}+(?:: ?)?+\r?+")
_FIELDS = (b"id:", b":") + tuple(
    name + end
    for name in (b"data", b"event", b"retry")
    for end in (b":", b"\n", b"\r\n")
)
_LONGEST_FIELD_BYTES = 64


class Foreign(Enum):
    """Why bytes in a stream belong to no event of its run."""

    FIELDS = "fields"
    """A line that no event has, or not exactly one number as the id."""

    ENCODING = "encoding"
    """Not UTF-8."""

    REPEATED = "repeated"
    """The id isn't above the last one."""

    JUMP = "jump"
    """The id leaves others out, and the next event doesn't go on from it."""

    NO_EVENT = "no_event"
    """More blank lines and comments than a sound stream has between events."""

    SIZE = "size"
    """The event is too large to be held, and its id isn't known to be right yet."""


class ForeignBytes(NamedTuple):
    """The first bytes of a stream that belong to no event of its run."""

    reason: Foreign
    data: bytes


class Event(NamedTuple):
    """The id of an event, and where its bytes end."""

    id: int
    end: int


class EventFormat:
    """
    Recognizes the events of a stream by their fields.

    Parameters
    ----------
    first_field : str
        Name of a numeric field that may be the first line of an event.
    """

    def __init__(self, *, first_field: str) -> None:
        name = re.escape(first_field.lower().encode())
        first_line = rb"(?:" + name + rb": ?[0-9]++\r?\n)?+"
        other_lines = rb"(?:" + _OTHER_LINE + rb"\r?\n)*+"
        digits = rb"([0-9]{1,%d}+)" % MAX_ID_DIGITS
        head = (
            rb"(?:\r?\n)*+" + first_line + other_lines + rb"id: ?" + digits + rb"\r?\n"
        )
        self._event = re.compile(head + other_lines + rb"\r?\n")
        self._head = re.compile(head + other_lines)
        self._fields = (*_FIELDS, first_field.lower().encode() + b":")

    def next_event(self, data: bytes | bytearray, start: int) -> Event | Foreign | int:
        """
        Return the event at ``start`` of data that contains its end.

        Returns
        -------
        Event, Foreign or int
            An ``int`` is the end of the blocks in a row that are sound but no event,
            such as comments.
        """
        match = self._event.match(data, start)
        if match is None:
            match = _NO_EVENTS.match(data, start)
            return Foreign.FIELDS if match is None else match.end()
        if not _is_utf8(data[start : match.end()]):
            return Foreign.ENCODING
        return Event(int(match.group(1)), match.end())

    def may_begin_event(self, data: bytes | bytearray) -> bool:
        """Return whether an incomplete event begins with a field that events have."""
        line = data[:_LONGEST_FIELD_BYTES].lstrip(b"\r\n")
        return any(
            line.startswith(field) or field.startswith(line) for field in self._fields
        )

    def partial_event(self, data: bytes | bytearray) -> Event | Foreign:
        """Return the id and the whole lines of an event without its end, if sound."""
        match = self._head.match(data)
        if match is None:
            return Foreign.SIZE
        if b"\n" in data[match.end() :]:
            return Foreign.FIELDS
        if not _is_utf8(data[: match.end()]):
            return Foreign.ENCODING
        return Event(int(match.group(1)), match.end())


class OpenEvent:
    """
    The rest of an event that is passed on before it is complete.

    Parameters
    ----------
    number : int
        Its id.

    Attributes
    ----------
    is_complete : bool
        Whether its end was passed on.
    """

    def __init__(self, *, number: int) -> None:
        self.id = number
        self.is_complete = False
        self._passed_of_line = b""
        self._decoder = codecs.getincrementaldecoder("utf-8")()

    def split(self, data: bytes) -> tuple[bytes, bytes] | Foreign:
        """
        Return what may be passed on of ``data``, and what may not yet.

        The latter is at most the name of a field and the end of a line, so that it
        can be read again with the next data.
        """
        skipped = len(self._passed_of_line)
        lines = self._passed_of_line + data
        match = _LINES.match(lines)
        end = 0 if match is None else match.end()
        blank = _BLANK_LINE.match(lines, end)
        if blank is not None:
            end = blank.end()
            self.is_complete = True
        elif b"\n" in lines[end:]:
            return Foreign.FIELDS
        else:
            end = self._pass_part(lines, end)
            if _LINE_START.fullmatch(lines, end) is None:
                return Foreign.FIELDS
        passed = lines[skipped : max(skipped, end)]
        try:
            self._decoder.decode(passed, final=self.is_complete)
        except UnicodeDecodeError:
            return Foreign.ENCODING
        return passed, lines[max(skipped, end) :]

    def _pass_part(self, lines: bytes, end: int) -> int:
        """Return the end of the part of a line that is sound whatever follows."""
        self._passed_of_line = b""
        match = _TEXT_PART.match(lines, end)
        if match is not None:
            self._passed_of_line = match.group(1)
        else:
            match = _NUMBER_PART.match(lines, end)
            if match is not None:
                self._passed_of_line = b"retry:0"
        return end if match is None else match.end()


def _is_utf8(data: bytes | bytearray) -> bool:
    if data.isascii():
        return True
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
