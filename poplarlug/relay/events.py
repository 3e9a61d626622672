"""Whole events of a stream, and where it can be taken up again."""

import re

LAST_EVENT_HEADER = "Last-Event-Id"
"""The header by which a caller or an entry asks for what comes after an event."""

END_OVERLAP_BYTES = 3
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
    is_resumable : bool
        Whether another upstream can take the stream up; not within an event that
        was let through in part.
    """

    def __init__(self, *, last_id: str = "") -> None:
        self.last_id = last_id
        self.is_resumable = True
        self._partial = b""
        self._flushed_id: str | None = None

    @property
    def held_bytes(self) -> int:
        return len(self._partial)

    @property
    def ends_with_event(self) -> bool:
        """Whether what came ends with an event."""
        return not self._partial and self.is_resumable

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        held = self._partial + data
        end = 0
        # What was held has no end; one may have begun there.
        for match in _END.finditer(
            held, max(0, len(self._partial) - END_OVERLAP_BYTES)
        ):
            end = match.end()
        events, self._partial = held[:end], held[end:]
        if events and self._flushed_id is not None:
            self.last_id, self._flushed_id = self._flushed_id, None
        for match in _ID.finditer(events):
            self.last_id = match.group(1).decode("latin-1")
        if events:
            self.is_resumable = True
        return events

    def flush_partial(self) -> bytes:
        """Return the part of an event that is held, for which there is no room."""
        part, self._partial = self._partial, b""
        found = _ID.search(part) if self.is_resumable else None
        if found is not None:
            self._flushed_id = found.group(1).decode("latin-1")
        self.is_resumable = False
        return part

    def discard_partial(self) -> None:
        """Forget the part of an event whose upstream broke off."""
        self._partial = b""
