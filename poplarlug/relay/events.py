"""Whole events of a stream, and where it can be taken up again."""

import re

LAST_EVENT_HEADER = "Last-Event-Id"
"""The header by which a caller or an entry asks for what comes after an event."""

LONGEST_END = 3
"""Bytes of an event's end but one."""

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

    Attributes
    ----------
    may_go_on : bool
        Whether another upstream can take the stream up; not within an event that
        was let through in part.
    """

    def __init__(self, *, last_id: str = "") -> None:
        self.last_id = last_id
        self.may_go_on = True
        self._part = b""
        self._id_let_go: str | None = None

    @property
    def held_bytes(self) -> int:
        return len(self._part)

    @property
    def is_whole(self) -> bool:
        """Whether what came ends with an event."""
        return not self._part and self.may_go_on

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        held = self._part + data
        end = 0
        # What was held has no end; one may have begun there.
        for match in _END.finditer(held, max(0, len(self._part) - LONGEST_END)):
            end = match.end()
        events, self._part = held[:end], held[end:]
        if events and self._id_let_go is not None:
            self.last_id, self._id_let_go = self._id_let_go, None
        for match in _ID.finditer(events):
            self.last_id = match.group(1).decode("latin-1")
        if events:
            self.may_go_on = True
        return events

    def let_go(self) -> bytes:
        """Return the part of an event that is held, for which there is no room."""
        part, self._part = self._part, b""
        found = _ID.search(part) if self.may_go_on else None
        if found is not None:
            self._id_let_go = found.group(1).decode("latin-1")
        self.may_go_on = False
        return part

    def restart(self) -> None:
        """Forget the part of an event whose upstream broke off."""
        self._part = b""
