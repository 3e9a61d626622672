"""One connection of a client, within the limits of its process."""

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web
from prometheus_client import Counter

from poplarlug.callers.client_memory import ClientMemory
from poplarlug.callers.request_feed import RequestFeed
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.read_size import ReadSize
from poplarlug.types import Seconds

KEEPALIVE_PROBE_SECONDS = 15
FIELD_BYTES = 512
"""Memory that a header field takes besides its bytes."""

READ_BYTES = 64 * 1024
"""Largest read of a connection, and what is held of a body that nobody reads."""

MAX_DISCARDED_BYTES = 8 * 1024 * 1024
"""How much is read of a body whose request is answered already, so that its client gets
to the answer; about two bodies of usual limits."""

UNREAD_ANSWER_SECONDS = 30.0
"""How long a request waits while its client leaves earlier answers unread."""

_CLOSED = Counter(
    "poplarlug_callers_closed_connections_total",
    "Connections that were closed by a limit, by reason.",
    ["reason"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="callers")


class GuardedConnection(asyncio.Protocol):
    """
    Own a connection: what aiohttp's protocol gets of its bytes, and when.

    Load pattern: clients that send much, slowly or without reading answers. What exceeds
    a limit ends the connection before its request runs.

    Parameters
    ----------
    inner : asyncio.Protocol
        aiohttp's protocol of the connection.
    memory : ClientMemory
        What the connections of the process share.
    max_head_bytes : int
        Maximum length of a request line with all header fields.
    unacknowledged_seconds : float
        How long sent bytes may remain without the client's TCP acknowledgement.
    counts_bodies : bool
        Whether bodies are held as they arrive.
    admit, forget : callable
        Called when the connection is made, to return whether it may stay, and when it
        is over.
    """

    def __init__(
        self,
        *,
        inner: Any,
        memory: ClientMemory,
        max_head_bytes: int,
        unacknowledged_seconds: Seconds,
        counts_bodies: bool,
        admit: Callable[["GuardedConnection"], bool],
        forget: Callable[["GuardedConnection"], None],
    ) -> None:
        self.inner = inner
        self._max_head_bytes = max_head_bytes
        self._unacknowledged_seconds = unacknowledged_seconds
        self._counts_bodies = counts_bodies
        self._admit = admit
        self._forget = forget
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._read_size: ReadSize | None = None
        self._waiting_since: Seconds | None = None
        self._in_request = False
        self._is_open = True
        self._awaits_round = False
        self._head_bytes = 0
        self._discarded = 0
        self._unsent = 0
        self._ahead = 0
        self._written = asyncio.Event()
        self._written.set()
        self.holding = memory.open(lambda: self.abort("out of memory"))
        self._feed = RequestFeed(
            take_head=self._take_head,
            take_body=self._take_body,
            parse=inner.data_received,
        )

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._read_size = ReadSize(transport=transport, max_bytes=READ_BYTES)
        self._waiting_since = self._loop.time()
        self.holding.set_incomplete(True)
        _set_timeouts(transport, self._unacknowledged_seconds)
        self.inner.connection_made(transport)
        if not self._admit(self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        started = time.monotonic()
        is_between_requests = not (self._in_request or self._feed.is_in_body)
        is_awaited = is_between_requests and not self._feed.is_blocked
        if self._waiting_since is None and is_awaited:
            self.holding.set_incomplete(True)
            # Some clients end a body with a line's end, which begins no request.
            if data.strip(b"\r\n"):
                self._waiting_since = self._loop.time()
        if is_awaited and not self._head_bytes and data.strip(b"\r\n"):
            # Idle until now, it is in use again.
            self.holding.mark_progress()
        self.holding.note_received(len(data))
        self._feed.feed(data)
        self._hold_back()
        assert self._read_size is not None
        self._read_size.note_read(len(data), time.monotonic() - started)

    def eof_received(self) -> Any:
        return self.inner.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        self._is_open = False
        self._forget(self)
        self._feed.stop()
        self._written.set()
        self.holding.set_incomplete(False)
        if not self._in_request:
            self.holding.release()
        self.inner.connection_lost(error)

    def pause_writing(self) -> None:
        self._feed.is_blocked = True
        self._written.clear()
        self.holding.mark_progress()
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self._written.set()
        self.holding.mark_progress()
        self.inner.resume_writing()
        if self._is_open:
            self._feed.is_blocked = False
            self._continue()

    async def wait_until_read(self) -> None:
        """
        Wait until the client has read the answers to earlier requests.

        Raises
        ------
        ConnectionResetError
            When it reads none for ``UNREAD_ANSWER_SECONDS``, or is gone.
        """
        if self._written.is_set():
            return
        try:
            async with asyncio.timeout(UNREAD_ANSWER_SECONDS):
                await self._written.wait()
        except TimeoutError:
            self.abort("unread answers")
            raise ConnectionResetError("the client reads no answers") from None

    def begin_request(self, request: web.Request) -> None:
        self._in_request = True
        self._waiting_since = None
        self._discarded = 0
        self.holding.mark_progress()
        self._feed.begin(request.content, request.content_length is None)
        self.holding.set_incomplete(self._is_open and self._feed.is_in_body)
        self._continue()

    def end_request(self) -> None:
        self._in_request = False
        self._head_bytes = self._ahead = 0
        self.holding.release()
        self.holding.mark_progress()
        self._feed.end()
        if self._feed.held_count:
            self._loop.call_soon(self._continue)

    @property
    def awaits_request(self) -> bool:
        """Whether the headers of a first or of a begun request are incomplete."""
        return self._waiting_since is not None

    @property
    def has_unsent_bytes(self) -> bool:
        return self._transport is not None and (
            self._transport.get_write_buffer_size() > 0
        )

    def has_waited_since(self, oldest: Seconds) -> bool:
        """Return whether headers have been awaited since before ``oldest``."""
        return self._waiting_since is not None and self._waiting_since < oldest

    def has_body_stalled_since(self, oldest: Seconds) -> bool:
        """Return whether no bytes of a body came since before ``oldest``."""
        return self._feed.is_in_body and self.holding.progressed_at < oldest

    def leaves_answers_unread_since(self, oldest: Seconds) -> bool:
        """Return whether the client has read nothing of whole answers since."""
        assert self._transport is not None
        count = self._transport.get_write_buffer_size()
        if count != self._unsent:
            self._unsent = count
            self.holding.mark_progress()
        is_unread = count > 0 and not self._in_request
        return is_unread and self.holding.progressed_at < oldest

    def has_stalled_since(self, latest: Seconds) -> bool:
        """Return whether the client has done nothing since, and the entry waits for it."""
        is_awaited = not self._has_head or self._feed.is_in_body
        return (is_awaited or not self._written.is_set()) and (
            self.holding.progressed_at <= latest
        )

    @property
    def _has_head(self) -> bool:
        """Whether a request's head is whole, though aiohttp may not have begun it."""
        return self._in_request or self._feed.is_answering

    def abort(self, reason: str) -> None:
        """Close the connection at once; ``reason`` names the limit."""
        note_closed(reason)
        if self._is_open:
            # Closed in the next round; its place and memory are free from now on.
            self._is_open = False
            self._forget(self)
            self._feed.stop()
        if self._transport is not None:
            self._transport.abort()

    def _take_head(self, part: bytes) -> bool:
        self._head_bytes += len(part)
        if self._head_bytes > self._max_head_bytes:
            self.abort("a head was too long")
            return False
        size = len(part) + FIELD_BYTES * part.count(b"\n")
        return self._hold(size)

    def _take_body(self, part: bytes) -> bool:
        if not self._in_request:
            self._discarded += len(part)
            if self._discarded > MAX_DISCARDED_BYTES:
                self.abort("went on with a refused body")
                return False
            return True
        return not self._counts_bodies or self._hold(len(part))

    def _hold(self, count: int) -> bool:
        if self.holding.grow_to(self.holding.count + count):
            return True
        self.abort("no memory for a request")
        return False

    def _continue(self) -> None:
        """Go on with what was held back, and then with reading."""
        if not self._is_open:
            return
        if self._feed.held_count:
            # Before the bytes, as aiohttp may pause reading again because of them.
            assert self._transport is not None
            self._transport.resume_reading()
            is_awaited = not (self._in_request or self._feed.is_blocked)
            if is_awaited and self._waiting_since is None:
                self._waiting_since = self._loop.time()
                self.holding.set_incomplete(True)
        self._feed.feed()
        self._hold_back()

    def _continue_in_round(self) -> None:
        self._awaits_round = False
        self._continue()

    def _hold_back(self) -> None:
        if self._has_head and not self._feed.is_in_body:
            self.holding.set_incomplete(False)
        if self._feed.has_slice and not self._awaits_round:
            self._awaits_round = True
            self._loop.call_soon(self._continue_in_round)
        ahead = self._feed.held_count
        if ahead > self._ahead and not self._hold(ahead - self._ahead):
            return
        if ahead < self._ahead:
            # The parser has them, where they count as part of a request.
            self.holding.shrink(self._ahead - ahead)
        self._ahead = ahead
        if ahead >= READ_BYTES and self._is_open:
            assert self._transport is not None
            self._transport.pause_reading()


def note_closed(reason: str) -> None:
    """Log and count a connection that a limit has closed."""
    _CLOSED.labels(reason).inc()
    _log.info("closed a connection", reason=reason)


def _set_timeouts(
    transport: asyncio.Transport, unacknowledged_seconds: Seconds
) -> None:
    # Detects a client that vanished without closing: by keepalive probes while idle,
    # and by unacknowledged bytes while data is written to it.
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    milliseconds = int(unacknowledged_seconds * 1000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
