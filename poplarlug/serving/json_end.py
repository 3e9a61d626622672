"""Tells by the bytes of a JSON text whether it is whole."""

import re
from enum import Enum

import msgspec

from poplarlug.relay.held_bytes import HeldBytesReservation
from poplarlug.serving.relay import BodyCheck

JSON_TYPE = "application/json"
MAX_KEPT_BYTES = 256 * 1024
"""The end of a longer text is not judged."""

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[][{}]', re.DOTALL)


class JsonEnd(Enum):
    """What the end of a JSON text shows."""

    WHOLE = "whole"
    CUT = "cut"
    UNCERTAIN = "uncertain"


class JsonCopy(BodyCheck):
    """Pass everything on, and keep a copy of a text to judge its end, if it fits."""

    def __init__(self, *, reservation: HeldBytesReservation) -> None:
        self._reservation = reservation
        self._kept = bytearray()
        self._is_too_long = False

    @property
    def is_refuted(self) -> bool:
        return False

    def feed(self, data: bytes) -> bytes:
        count = len(self._kept) + len(data)
        if count > MAX_KEPT_BYTES or not self._reservation.resize(count):
            self._is_too_long = True
        if self._is_too_long:
            self._kept.clear()
            self._reservation.resize(0)
        else:
            self._kept += data
        return data

    def finish(self) -> bytes:
        """Return nothing, as nothing was held."""
        return b""

    def end(self) -> JsonEnd:
        """Return what the end of the text shows."""
        return JsonEnd.UNCERTAIN if self._is_too_long else end_of(bytes(self._kept))


def end_of(text: bytes) -> JsonEnd:
    """Return what the end of ``text`` shows; only an object or array shows anything."""
    if not text.lstrip().startswith((b"{", b"[")):
        return JsonEnd.UNCERTAIN
    try:
        msgspec.json.decode(text, type=msgspec.Raw)
    except (msgspec.DecodeError, RecursionError):
        return JsonEnd.CUT if _is_open(text) else JsonEnd.UNCERTAIN
    return JsonEnd.WHOLE


def _is_open(text: bytes) -> bool:
    """Return whether a bracket is still open."""
    depth = 0
    for token in _TOKENS.findall(text):
        depth += (token in (b"{", b"[")) - (token in (b"}", b"]"))
    return depth > 0
