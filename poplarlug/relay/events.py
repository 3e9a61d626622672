"""Passes on the checked events of a stream and tracks where to resume it."""

import codecs

from poplarlug.relay.event_format import (
    DELIMITER,
    MAX_ID_DIGITS,
    Event,
    EventFormat,
    Foreign,
    ForeignBytes,
    OpenEvent,
)

LAST_EVENT_HEADER = "Last-Event-Id"
"""Request header that asks for the events after the given one."""

MAX_HEAD_BYTES = 1024
"""An incomplete event up to this size is held beyond any budget until its id is known."""

MAX_BYTES_WITHOUT_EVENT = 16 * 1024
"""Blank lines and comments up to the next event; sound streams send a few of them a
minute."""

FIRST_IDS = (0, 1)

_END_OVERLAP_BYTES = 3
"""Length of the longest event delimiter minus one."""

_BYTE_ORDER_MARK = codecs.BOM_UTF8


class EventProgress:
    """
    Pass the events of a stream on, and nothing else, and remember the last id.

    A partial event is held back: if the upstream fails, the next upstream sends the
    whole event again. So is an event whose id leaves others out, until the next event
    goes on from it, unless the stream has done so before. A stream whose ids rise by one
    leaves none out. After the first bytes that are no event of the run nothing more is
    returned.

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
    """

    def __init__(self, *, event_format: EventFormat, last_id: str = "") -> None:
        self.last_id = last_id
        self.foreign: ForeignBytes | None = None
        self._format = event_format
        self._partial = bytearray()
        self._at_start = True
        self._unconfirmed: tuple[int, bytes] | None = None
        self._has_steps = False
        self._has_jumps = False
        self._begins_with_zero = False
        self._resumed_after = last_id
        self._has_answer = False
        self._awaits_repeat = False
        self._has_repeat = False
        self._is_in_doubt = False
        self._open: OpenEvent | None = None
        self._bytes_without_event = 0

    @property
    def is_resumable(self) -> bool:
        """Whether no event was passed on in part, so that another upstream can go on."""
        return self._open is None

    @property
    def held_bytes(self) -> int:
        unconfirmed = b"" if self._unconfirmed is None else self._unconfirmed[1]
        return len(self._partial) + len(unconfirmed)

    @property
    def ends_with_event(self) -> bool:
        """Whether the data received so far ends with a complete event."""
        return (
            self.foreign is None
            and self._unconfirmed is None
            and not self._partial.strip(b"\r\n")
            and self.is_resumable
        )

    @property
    def passed_events(self) -> int:
        """Number of the last event that was passed on; 0 if there is none."""
        return self._last_number() or 0

    @property
    def has_rest(self) -> bool:
        """
        Whether the current answer shows where the stream goes on, or that it ends.

        An answer to a resumed stream does so by its first event.
        """
        if not self._resumed_after or self._has_repeat:
            return True
        return self.last_id != self._resumed_after

    @property
    def has_only_repeat(self) -> bool:
        """Whether the current answer repeats the last event, and has no other one."""
        return self._has_repeat and self.last_id == self._resumed_after

    def has_all(self, max_events: int | None) -> bool:
        """
        Return whether the events passed on are all that the stream can have.

        Parameters
        ----------
        max_events : int or None
            The most events that it can have; ``None`` if nobody says.
        """
        last = self._last_number()
        # Ids that leave others out don't count the events.
        if max_events is None or last is None or self._has_jumps:
            return False
        return last + self._begins_with_zero >= max_events

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        if self.foreign is not None or not data:
            return b""
        scanned = max(0, len(self._partial) - _END_OVERLAP_BYTES)
        self._partial += data
        if self._at_start:
            if _BYTE_ORDER_MARK.startswith(self._partial) and len(self._partial) < len(
                _BYTE_ORDER_MARK
            ):
                return b""
            self._at_start = False
            if self._partial.startswith(_BYTE_ORDER_MARK):
                del self._partial[: len(_BYTE_ORDER_MARK)]
            scanned = 0
        passed = b""
        if self._open is not None:
            rest = bytes(self._partial)
            passed, rest = self._pass_open(self._open, rest)
            self._partial = bytearray(rest)
            if self._open is not None:
                return passed
            scanned = 0
        return passed + self._take_events(scanned)

    def finish(self) -> bytes:
        """
        Return what was held for the next event, as the stream has ended.

        An event that leaves ids out isn't of this run if nothing goes on from it, unless
        it is the only one of a new stream.
        """
        if self._unconfirmed is None:
            return b""
        if self._last_number() is not None:
            self._refute(Foreign.JUMP, self._unconfirmed[1])
            return b""
        return self._confirm()

    def flush_partial(self) -> bytes:
        """
        Return and clear the partial event, when it exceeds the buffer limit.

        Its id must be known by then; the lines that follow it are checked as they end.
        """
        if self.foreign is not None:
            return b""
        if self._unconfirmed is not None and self.held_bytes > MAX_HEAD_BYTES:
            self._refute(Foreign.SIZE, self._unconfirmed[1])
            return b""
        if self._open is not None or not self._partial:
            # What is left of an open event is the start of a line.
            if self.held_bytes > MAX_HEAD_BYTES:
                self._refute(Foreign.SIZE, bytes(self._partial))
            return b""
        partial = bytes(self._partial)
        found = self._format.partial_event(partial)
        order = found if isinstance(found, Foreign) else self._check_order(found.id)
        if isinstance(found, Foreign) or order is not None:
            assert order is not None
            if order is not Foreign.SIZE or self.held_bytes > MAX_HEAD_BYTES:
                self._refute(order, partial)
            return b""
        self._open = OpenEvent(number=found.id)
        passed, rest = self._pass_open(self._open, partial[found.end :])
        self._partial = bytearray(rest)
        return partial[: found.end] + passed

    def discard_partial(self, last_id: str | None = None) -> None:
        """
        Discard what an upstream that failed left incomplete.

        Parameters
        ----------
        last_id : str, optional
            Id of the last event that was passed on, if later ones were not.
        """
        self._partial = bytearray()
        self._at_start = True
        self._bytes_without_event = 0
        self._unconfirmed = None
        self.foreign = None
        if last_id is not None:
            self.last_id = last_id

    def begin_answer(self) -> None:
        """Note that an upstream or entry answers with a stream."""
        self._has_answer = True

    def doubt_end(self) -> None:
        """Let the next answer show whether the last event was the end of the stream."""
        self._is_in_doubt = True

    def prepare_resume(self) -> str:
        """
        Forget what an answer left incomplete; return the id after which to resume.

        If an answer to a resumed stream brought no event, or its end is in doubt, the
        next one is asked for the last event again, which is dropped. An empty answer may
        be an error, while one that repeats the last event and ends shows that nothing is
        left.
        """
        self.discard_partial()
        number = self._last_number()
        is_empty = self.last_id == self._resumed_after and (
            self._has_answer or self._awaits_repeat
        )
        self._awaits_repeat = number is not None and (is_empty or self._is_in_doubt)
        self._is_in_doubt = False
        self._has_answer = self._has_repeat = False
        self._resumed_after = self.last_id
        if number is None or not self._awaits_repeat:
            return self.last_id
        return str(number - 1) if number > max(FIRST_IDS) else ""

    def _take_events(self, scanned: int) -> bytes:
        # The data before contains no delimiter, but may end with the start of one.
        if DELIMITER.search(self._partial, scanned) is None:
            self._check_start()
            return b""
        buffered = bytes(self._partial)
        start = 0
        taken: list[bytes] = []
        while start < len(buffered):
            found = self._format.next_event(buffered, start)
            if isinstance(found, Event):
                event = buffered[start : found.end]
                refuted = self._accept(found.id, event, taken)
                if refuted is None:
                    start = found.end
                    self._bytes_without_event = 0
                    continue
                found = refuted
            elif DELIMITER.search(buffered, start) is None:
                break
            else:
                found = self._check_gap(found, start)
            if isinstance(found, Foreign):
                self._refute(found, buffered[start:])
                return b"".join(taken)
            start = found
        self._partial = bytearray(buffered[start:])
        self._check_start()
        return b"".join(taken)

    def _check_gap(self, found: Foreign | int, start: int) -> Foreign | int:
        """Count the bytes up to ``found``, which belong to no event."""
        if isinstance(found, Foreign):
            return found
        self._bytes_without_event += found - start
        if self._bytes_without_event > MAX_BYTES_WITHOUT_EVENT:
            return Foreign.NO_EVENT
        return found

    def _check_start(self) -> None:
        if self._partial and not self._format.may_begin_event(self._partial):
            self._refute(Foreign.FIELDS, bytes(self._partial))

    def _accept(self, number: int, event: bytes, taken: list[bytes]) -> Foreign | None:
        """Take an event, or hold it; return why it isn't one of the run."""
        if self._awaits_repeat:
            return self._accept_repeat(number)
        if self._unconfirmed is not None:
            if number <= self._unconfirmed[0]:
                return Foreign.JUMP
            taken.append(self._confirm())
        order = self._check_order(number)
        if order is Foreign.JUMP and not self._has_steps:
            self._unconfirmed = (number, event)
            return None
        if order is not None:
            return order
        taken.append(event)
        self._pass(number)
        return None

    def _accept_repeat(self, number: int) -> Foreign | None:
        """Drop an event up to the last one; return why it isn't one of the run."""
        last = self._last_number()
        if last is None or number > last:
            return Foreign.JUMP
        if number == last:
            self._awaits_repeat = False
            self._has_repeat = True
        return None

    def _check_order(self, number: int) -> Foreign | None:
        last = self._last_number()
        if last is not None and number <= last:
            return Foreign.REPEATED
        is_next = number in FIRST_IDS if last is None else number == last + 1
        return None if is_next or self._has_jumps else Foreign.JUMP

    def _confirm(self) -> bytes:
        assert self._unconfirmed is not None
        number, event = self._unconfirmed
        self._unconfirmed = None
        self._has_jumps = True
        self.last_id = str(number)
        return event

    def _pass(self, number: int) -> None:
        if not number and not self.last_id:
            self._begins_with_zero = True
        self._has_steps = self._has_steps or number - 1 == self._last_number()
        self.last_id = str(number)

    def _last_number(self) -> int | None:
        text = self.last_id
        is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_ID_DIGITS
        return int(text) if is_number else None

    def _refute(self, reason: Foreign, data: bytes) -> None:
        if reason is Foreign.JUMP and self._unconfirmed is not None:
            data = self._unconfirmed[1]
        self.foreign = ForeignBytes(reason, data)
        self._partial = bytearray()
        self._unconfirmed = None

    def _pass_open(self, event: OpenEvent, data: bytes) -> tuple[bytes, bytes]:
        """Return what may be passed on of an event that was begun, and the rest."""
        split = event.split(data)
        if isinstance(split, Foreign):
            self._refute(split, data)
            return b"", b""
        if event.is_complete:
            self._pass(event.id)
            self._open = None
        return split
