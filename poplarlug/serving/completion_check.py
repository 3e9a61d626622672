"""Tells the lines of a completion's events from bytes that belong to none."""

import codecs
import re

from poplarlug.serving.relay import BodyCheck

MAX_HELD_BYTES = 1024 * 1024
"""A longer line is passed on before its end, if it begins as a field."""

_FIELD = rb"(?:data|event|id|retry)(?::[^\r\n]*+)?+|:[^\r\n]*+"
_LINES = re.compile(rb"(?:(?:" + _FIELD + rb")?+\r?\n)*+")
_LONG_LINE = re.compile(rb"(?:data|event|id)?:[^\r\n]*+\Z")


class CompletionCheck(BodyCheck):
    """
    Let only whole lines of a stream of events through.

    Events of completions have no ids, so a line counts as the run's if it is a field
    of an event, a comment or empty, in UTF-8. After the first other line nothing more
    is passed on.
    """

    def __init__(self) -> None:
        self._held = b""
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
        data = self._held + data
        if self._at_start and len(data) >= len(codecs.BOM_UTF8):
            self._at_start = False
            data = data.removeprefix(codecs.BOM_UTF8)
        return passed + self._take_lines(data)

    def finish(self) -> bytes:
        """Return nothing: a line without its end is no part of an event."""
        return b""

    def _take_lines(self, data: bytes) -> bytes:
        match = _LINES.match(data)
        end = 0 if match is None else match.end()
        lines, self._held = data[:end], data[end:]
        if b"\n" in self._held:
            self._is_refuted = True
        elif len(self._held) > MAX_HELD_BYTES:
            self._in_long_line = _LONG_LINE.match(self._held) is not None
            self._is_refuted = not self._in_long_line
            if self._in_long_line:
                lines, self._held = data, b""
        return self._decodable(lines)

    def _decodable(self, lines: bytes) -> bytes:
        """Return the lines before the first one that isn't UTF-8."""
        if lines.isascii() or self._in_long_line:
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
