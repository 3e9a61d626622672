"""The format of a run's events, and the reasons why bytes are not one of them."""

import re
from enum import Enum
from typing import NamedTuple

MAX_ID_DIGITS = 18

DELIMITER = re.compile(rb"\r?\n\r?\n")

_NEUTRAL_LINE = rb"(?::[^\r\n]*+|retry(?:: ?[0-9]*+)?+|event(?::[^\r\n]*+)?+)"
_OTHER_LINE = rb"(?:" + _NEUTRAL_LINE + rb"|data(?::[^\r\n]*+)?+)"
_NO_EVENT = re.compile(rb"(?:" + _NEUTRAL_LINE + rb"?+\r?\n)++")
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


class ForeignBytes(NamedTuple):
    """The first bytes of a stream that belong to no event of its run."""

    reason: Foreign
    data: bytes


class Event(NamedTuple):
    """A complete event, and where its bytes end."""

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
        self._fields = (*_FIELDS, first_field.lower().encode() + b":")

    def next_event(self, data: bytes, start: int) -> Event | Foreign | int:
        """
        Return the event at ``start`` of data that contains its end.

        Returns
        -------
        Event, Foreign or int
            An ``int`` is the end of lines that are sound but make no event, such as
            comments.
        """
        match = self._event.match(data, start)
        if match is None:
            match = _NO_EVENT.match(data, start)
            return Foreign.FIELDS if match is None else match.end()
        if not _is_utf8(data[start : match.end()]):
            return Foreign.ENCODING
        return Event(int(match.group(1)), match.end())

    def may_begin_event(self, data: bytes) -> bool:
        """Return whether an incomplete event begins with a field that events have."""
        line = data[:_LONGEST_FIELD_BYTES].lstrip(b"\r\n")
        return any(
            line.startswith(field) or field.startswith(line) for field in self._fields
        )


def _is_utf8(data: bytes) -> bool:
    if data.isascii():
        return True
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
