"""Tells the lines of a completion's events from bytes that belong to none."""

import codecs
import re

from poplarlug.relay.held_bytes import MIN_COMPLETION_BYTES, HeldBytesReservation
from poplarlug.serving.relay import BodyCheck

_FIELD = rb"(?:data|event|id|retry)(?::[^\r\n]*+)?+|:[^\r\n]*+"
_LINES = re.compile(rb"(?:(?:" + _FIELD + rb")?+\r?\n)*+")
_LONG_LINE = re.compile(rb"(?:data|event|id)?:[^\r\n]*+\Z")


class CompletionCheck(BodyCheck):
    """
    Let only whole lines of a stream of events through.

    Events of completions have no ids, so a line counts as the run's if it is a field
    of an event, a comment or empty, in UTF-8. After the first other line nothing more
    is passed on. A line that exceeds the reservation is passed on before its end, if
    it begins as a field.
    """

    def __init__(self, *, reservation: HeldBytesReservation) -> None:
        self._reservation = reservation
        self._held = bytearray()
        self._at_start = True
        self._in_long_line = False
        self._is_refuted = False

    @property
    def is_refuted(self) -> bool:
        return self._is_refuted

    def feed(self, data: bytes) -> bytes:
        if self._is_refuted or not data:
            return b""
        passed = b""
        if self._in_long_line:
            passed, data = self._pass_long_line(data)
        self._held += data
        if self._at_start and len(self._held) >= len(codecs.BOM_UTF8):
            self._at_start = False
            if self._held.startswith(codecs.BOM_UTF8):
                del self._held[: len(codecs.BOM_UTF8)]
        if b"\n" in data:
            passed += self._take_lines()
        count = len(self._held)
        if not self._reservation.resize(count) and count > MIN_COMPLETION_BYTES:
            passed += self._begin_long_line()
        return passed

    def finish(self) -> bytes:
        """Return nothing: a line without its end is no part of an event."""
        return b""

    def _take_lines(self) -> bytes:
        data = bytes(self._held)
        match = _LINES.match(data)
        end = 0 if match is None else match.end()
        self._held = bytearray(data[end:])
        if b"\n" in self._held:
            self._is_refuted = True
        return self._decodable(data[:end])

    def _begin_long_line(self) -> bytes:
        """Return the line that is held, if it begins as a field."""
        line, self._held = bytes(self._held), bytearray()
        self._reservation.resize(0)
        self._in_long_line = _LONG_LINE.match(line) is not None
        if self._is_refuted or not self._in_long_line:
            self._is_refuted = True
            return b""
        return line

    def _decodable(self, lines: bytes) -> bytes:
        """Return the lines before the first one that isn't UTF-8."""
        if lines.isascii():
            return lines
        try:
            lines.decode()
        except UnicodeDecodeError as error:
            self._is_refuted = True
            return lines[: lines.rfind(b"\n", 0, error.start) + 1]
        return lines

    def _pass_long_line(self, data: bytes) -> tuple[bytes, bytes]:
        """Return what belongs to a line that is too long to be held, and the rest."""
        end = data.find(b"\n") + 1
        if not end:
            return data, b""
        self._in_long_line = False
        return data[:end], data[end:]
