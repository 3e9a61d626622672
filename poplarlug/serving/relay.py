"""Streaming of an upstream's response body to a sink."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import aiohttp

from poplarlug.serving.answers import AnswerSink
from poplarlug.serving.turns import current_turns

TAIL_BYTES = 32
LAST_EVENT = b"data: [DONE]"
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


CHECKED_SLICE_BYTES = 2 * 1024
"""Bytes of a body that are checked before other tasks get their turn."""


class BodyCheck(ABC):
    """Decides which bytes of a body may be passed on."""

    @property
    @abstractmethod
    def is_refuted(self) -> bool:
        """Whether nothing more of the body may be passed on."""

    @abstractmethod
    def feed(self, data: bytes) -> bytes:
        """Return what may be passed on now."""

    @abstractmethod
    def finish(self) -> bytes:
        """Return what may be passed on at the end of the body."""


class BodyRelay(asyncio.Protocol):
    """
    Relay one body without a task switch per chunk while the sink keeps up.

    The relay is installed between the upstream's transport and aiohttp's protocol.
    aiohttp still parses the response; each chunk is then written to the sink in
    the same ``data_received`` call. When the sink's buffer is full, the body stays
    in aiohttp's reader, whose flow control pauses the upstream, and :meth:`run`
    waits for the sink.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        A response whose headers were received.
    sink : AnswerSink
        A sink that was started.
    check : BodyCheck, optional
        Ends the relay once it refutes the body.
    on_slow : callable, optional
        Called each time that the sink doesn't keep up, before the body waits for it.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        sink: AnswerSink,
        check: BodyCheck | None = None,
        on_slow: Callable[[], None] | None = None,
    ) -> None:
        self._check = check
        self._on_slow = on_slow
        self._content = response.content
        self._sink = sink
        self._tail = b""
        self._unsent = b""
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._protocol: Any = None
        self._reads = 0
        self._has_more = False
        connection = response.connection
        if connection is not None and connection.transport is not None:
            self._transport = connection.transport
            self._protocol = connection.protocol
            self._transport.set_protocol(self)

    async def run(self) -> None:
        """
        Relay the whole body.

        Raises
        ------
        aiohttp.ClientError
            If the body ends prematurely.
        """
        try:
            while True:
                data = self._next_unsent()
                if data:
                    if self._on_slow is not None:
                        self._on_slow()
                    await self._sink.write(data)
                elif self._is_refuted():
                    return
                elif self._content.at_eof():
                    await self._write_last()
                    return
                elif self._has_more:
                    await current_turns().wait()
                else:
                    await self._wait()
        finally:
            self._detach()

    def ends_with_last_event(self) -> bool:
        """Return whether the body ended with the final event of a stream."""
        return self._tail.rstrip().endswith(LAST_EVENT)

    def ends_with_event(self) -> bool:
        """Return whether the body is empty or ended with a complete event."""
        return not self._tail or self._tail.endswith(EVENT_ENDS)

    def count_reads(self) -> int:
        """Return the number of reads from the transport."""
        return self._reads

    def data_received(self, data: bytes) -> None:
        self._reads += 1
        self._protocol.data_received(data)
        if self._waiter is not None:
            self._write_available()
        if self._content.is_eof():
            self._detach()

    def eof_received(self) -> bool | None:
        return self._protocol.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        self._protocol.connection_lost(error)
        self._wake()

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()

    def _write_available(self) -> None:
        content = self._content
        if content.exception() is None:
            data = self._read_checked()
            if data and not self._write_nowait(data):
                self._unsent = data
                self._wake()
                return
            if not (self._has_more or content.is_eof() or self._is_refuted()):
                return
        self._wake()

    def _next_unsent(self) -> bytes:
        """Write what the sink accepts at once; return what must be awaited."""
        data, self._unsent = self._unsent, b""
        while not data:
            data = self._read_checked()
            if not data or not self._write_nowait(data):
                return data
            data = b""
            if self._has_more:
                return b""
        return data

    def _read_checked(self) -> bytes:
        if self._check is None:
            return self._content.read_nowait()
        data = self._content.read_nowait(CHECKED_SLICE_BYTES)
        self._has_more = len(data) == CHECKED_SLICE_BYTES
        return self._check.feed(data)

    def _is_refuted(self) -> bool:
        return self._check is not None and self._check.is_refuted

    async def _write_last(self) -> None:
        data = b"" if self._check is None else self._check.finish()
        if data:
            await self._sink.write(data)

    def _write_nowait(self, data: bytes) -> bool:
        if len(data) >= TAIL_BYTES:
            self._tail = data[-TAIL_BYTES:]
        else:
            self._tail = (self._tail + data)[-TAIL_BYTES:]
        return self._sink.write_nowait(data)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
            self._waiter = None

    def _detach(self) -> None:
        # Restore aiohttp's protocol: the connection may return to the pool.
        if self._transport is not None:
            self._transport.set_protocol(self._protocol)
            self._transport = None
