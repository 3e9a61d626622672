"""Whole events of a stream, and where it can be taken up again."""

import re

LAST_EVENT_HEADER = "Last-Event-Id"
"""The header by which a caller or an entry asks for what comes after an event."""

MAX_EVENT_BYTES = 1024 * 1024

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventProgress:
    """
    Let whole events through, and remember the last one.

    A part of an event is held back: when its upstream breaks off, the event comes
    whole from the upstream that goes on.

    Parameters
    ----------
    last_id : str
        The event after which the caller itself asked to go on; empty for none.
    """

    def __init__(self, *, last_id: str = "") -> None:
        self.last_id = last_id
        self._part = b""

    @property
    def is_whole(self) -> bool:
        """Whether no part of an event is held back."""
        return not self._part

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        held = self._part + data
        end = 0
        for match in _END.finditer(held):
            end = match.end()
        events, self._part = held[:end], held[end:]
        for match in _ID.finditer(events):
            self.last_id = match.group(1).decode("latin-1")
        if len(self._part) > MAX_EVENT_BYTES:
            events, self._part = events + self._part, b""
        return events

    def restart(self) -> None:
        """Forget the part of an event whose upstream broke off."""
        self._part = b""
