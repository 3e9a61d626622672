"""Feeds the HTTP parser of a connection with one request at a time."""

from collections.abc import Callable
from typing import Protocol

_END_OF_HEAD = b"\r\n\r\n"

BODY_PART_BYTES = 2048
"""Smaller parts of a body aren't searched for the head of a next request."""

SLICE_BYTES = 256
"""How much of a body in very small chunks is parsed in a round of the event loop."""

SLICE_CHUNKS = 8
"""Bodies with more chunks in a slice are in very small ones."""


class Body(Protocol):
    """The body of a request, as the parser receives it."""

    def is_eof(self) -> bool: ...


class RequestFeed:
    """
    Hold back what a client sent ahead until its requests before are answered.

    Load pattern: clients that send many requests on a connection without waiting, and
    perhaps without reading answers, or bodies in chunks of a few bytes. The parser gets
    at most one head at a time, so that a connection holds one request and the bytes of
    one read, and little of a body that is costly to parse.

    Parameters
    ----------
    take_head : callable
        Takes a part of a head; returns whether it may be parsed.
    take_body : callable
        Takes a part of a body; returns whether it may be parsed.
    parse : callable
        Gets the parts in order.
    """

    def __init__(
        self,
        *,
        take_head: Callable[[bytes], bool],
        take_body: Callable[[bytes], bool],
        parse: Callable[[bytes], None],
    ) -> None:
        self._take_head = take_head
        self._take_body = take_body
        self._parse = parse
        self._held = b""
        self._body: Body | None = None
        self.is_answering = False
        """Whether the parser has a whole head whose request isn't answered yet."""

        self._is_feeding = False
        self._is_chunked = False
        self.has_slice = False
        """Whether the rest of what is held is for the next round."""

        self.is_blocked = False
        """Whether no request may begin, as the client leaves answers unread."""

    @property
    def held_count(self) -> int:
        return len(self._held)

    @property
    def is_in_body(self) -> bool:
        """Whether bytes of the body of the latest request are to come."""
        return self._body is not None and not self._body.is_eof()

    def begin(self, body: Body, is_chunked: bool = False) -> None:
        """Note that the parser has emitted a request."""
        self.is_answering = True
        self._body = body
        self._is_chunked = is_chunked

    def end(self) -> None:
        """Note that the request in progress is answered."""
        self.is_answering = False

    def stop(self) -> None:
        """Parse nothing more."""
        self._held = b""
        self.is_blocked = True
        self._body = None

    def feed(self, data: bytes = b"") -> None:
        """Parse what may be parsed of ``data`` and of what was held before."""
        self._held += data
        if self._is_feeding:
            return
        self._is_feeding = True
        self.has_slice = False
        try:
            while self._held and not self.has_slice and self._feed_part():
                pass
        finally:
            self._is_feeding = False

    def _feed_part(self) -> bool:
        is_in_body = self.is_in_body
        if not is_in_body and (self.is_answering or self.is_blocked):
            return False
        end = -1
        if is_in_body and self._is_chunked and _is_costly(self._held):
            part = _first_slice(self._held)
            self.has_slice = True
        else:
            start = BODY_PART_BYTES if is_in_body else 0
            end = self._held.find(_END_OF_HEAD, start)
            part = self._held if end < 0 else self._held[: end + len(_END_OF_HEAD)]
        if not (self._take_body if is_in_body else self._take_head)(part):
            self._held = b""
            return False
        self._held = self._held[len(part) :]
        if end >= 0 and not is_in_body and part.strip():
            # The parser emits this request now, and begin() is called a little later.
            self.is_answering = True
        self._parse(part)
        return True


def _is_costly(chunks: bytes) -> bool:
    """Return whether more than a slice is to come, and begins with very small chunks."""
    if len(chunks) <= SLICE_BYTES:
        return False
    return chunks.count(b"\r\n", 0, SLICE_BYTES) > 2 * SLICE_CHUNKS


def _first_slice(chunks: bytes) -> bytes:
    """Return a slice that ends where the body may end, before any next request."""
    if chunks.startswith(b"\r\n"):
        return chunks[:2]
    end = chunks.find(_END_OF_HEAD, 0, SLICE_BYTES + len(_END_OF_HEAD) - 1)
    return chunks[:SLICE_BYTES] if end < 0 else chunks[: end + len(_END_OF_HEAD)]
