"""Splits an event stream into complete events and tracks where to resume it."""

import re

from poplarlug.relay.event_format import Event, EventFormat, Foreign, ForeignBytes

LAST_EVENT_HEADER = "Last-Event-Id"
"""Request header that asks for the events after the given one."""

END_OVERLAP_BYTES = 3
"""Length of the longest event delimiter minus one."""

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventProgress:
    """
    Pass complete events on and remember the id of the last one.

    A partial event is held back: if the upstream fails, the next upstream sends the
    whole event again.

    Parameters
    ----------
    last_id : str
        Id of the event after which the caller asked to resume; empty for none.

    event_format : EventFormat
        The format of its events.

    Attributes
    ----------
    foreign : ForeignBytes or None
        The first bytes that belong to no event, if any were seen.
    is_resumable : bool
        Whether another upstream can resume the stream; false within an event that
        was passed on in part.
    """

    def __init__(self, *, event_format: EventFormat, last_id: str = "") -> None:
        self.last_id = last_id
        self.foreign: ForeignBytes | None = None
        self._format = event_format
        self.is_resumable = True
        self._partial = b""
        self._flushed_id: str | None = None

    @property
    def held_bytes(self) -> int:
        return len(self._partial)

    @property
    def ends_with_event(self) -> bool:
        """Whether the data received so far ends with a complete event."""
        return not self._partial and self.is_resumable

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        buffered = self._partial + data
        end = 0
        # The held data contains no delimiter, but may end with the start of one.
        for match in _END.finditer(
            buffered, max(0, len(self._partial) - END_OVERLAP_BYTES)
        ):
            end = match.end()
        events, self._partial = buffered[:end], buffered[end:]
        if self.foreign is None and self.is_resumable:
            self._inspect(events)
        if events and self._flushed_id is not None:
            self.last_id, self._flushed_id = self._flushed_id, None
        for match in _ID.finditer(events):
            self.last_id = match.group(1).decode("latin-1")
        if events:
            self.is_resumable = True
        return events

    def _inspect(self, events: bytes) -> None:
        last_id, start = self.last_id, 0
        while start < len(events):
            found = self._format.next_event(events, start)
            if isinstance(found, Event):
                if last_id.isdecimal() and found.id <= int(last_id):
                    found = Foreign.REPEATED
                else:
                    last_id = str(found.id)
            if isinstance(found, Foreign):
                self.foreign = ForeignBytes(found, events[start:])
                return
            start = found.end if isinstance(found, Event) else found

    def flush_partial(self) -> bytes:
        """Return and clear the partial event, when it exceeds the buffer limit."""
        part, self._partial = self._partial, b""
        found = _ID.search(part) if self.is_resumable else None
        if found is not None:
            self._flushed_id = found.group(1).decode("latin-1")
        self.is_resumable = False
        return part

    def discard_partial(self) -> None:
        """Discard the partial event of an upstream that failed."""
        self._partial = b""
