"""Client and server ends of a chunk stream with credit-based flow control."""

import asyncio
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from poplarlug.transport.errors import TransportError, TransportErrorKind
from poplarlug.transport.frames import FrameKind, Header
from poplarlug.types import Seconds, VmName

STREAM_CREDIT_CHUNKS = 64
STREAM_IDLE_TIMEOUT_SECONDS = 30.0
END_ACKNOWLEDGE_TIMEOUT_SECONDS = 2.0
"""Longest wait for the acknowledgement of a stream's end; several round trips between
regions."""


class IncomingStream:
    """
    Receiving end of a stream; yields chunks in order and detects missing ones.

    Parameters
    ----------
    grant : callable
        Grants the peer credit for the given number of additional chunks.
    cancel : callable
        Tells the peer to stop; may be called more than once.
    """

    def __init__(
        self,
        *,
        peer: VmName,
        grant: Callable[[int], None],
        cancel: Callable[[], None],
    ) -> None:
        self.peer = peer
        self._grant_credit = grant
        self._cancel = cancel
        self._queue: asyncio.Queue[Result[bytes | None, TransportError]] = (
            asyncio.Queue()
        )
        self._expected = 0
        self._consumed = 0

    async def next_chunk(
        self, *, timeout_seconds: Seconds = STREAM_IDLE_TIMEOUT_SECONDS
    ) -> Result[bytes | None, TransportError]:
        """
        Return the next chunk, or ``None`` at the end of a complete stream.

        Returns
        -------
        Failure(TransportError)
            ``TIMEOUT`` if nothing arrived for ``timeout_seconds``; ``BROKEN`` if a chunk
            is missing or the link was lost; ``REFUSED`` if the peer refused the stream
            or its handler failed.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                item = await self._queue.get()
        except TimeoutError:
            return Failure(
                TransportError(
                    TransportErrorKind.TIMEOUT,
                    f"{self.peer} sent nothing for {timeout_seconds} s",
                )
            )
        self._consumed += 1
        if self._consumed % (STREAM_CREDIT_CHUNKS // 2) == 0:
            self._grant_credit(STREAM_CREDIT_CHUNKS // 2)
        return item

    def cancel(self) -> None:
        """Tell the peer to stop and discard the stream; may be called more than once."""
        self._cancel()

    def accept(self, header: Header, payload: bytes) -> None:
        """Process the next frame of this stream."""
        if header.kind is FrameKind.CHUNK and header.number == self._expected:
            self._expected += 1
            self._queue.put_nowait(Success(payload))
        elif header.kind is FrameKind.END and header.number == self._expected:
            self._queue.put_nowait(Success(None))
        elif header.kind is FrameKind.REFUSED:
            self.fail(TransportErrorKind.REFUSED, payload.decode(errors="replace"))
        else:
            self.fail(
                TransportErrorKind.BROKEN,
                f"got chunk {header.number}, expected {self._expected}",
            )

    def fail(self, kind: TransportErrorKind, message: str) -> None:
        """Queue an error as the end of the stream."""
        self._queue.put_nowait(Failure(TransportError(kind, message)))


class OutgoingStream:
    """Sending end of a stream; tracks its credit and the acknowledgement of its end."""

    def __init__(self, *, task: asyncio.Task[Any]) -> None:
        self.task = task
        self._credit = STREAM_CREDIT_CHUNKS
        self._credit_granted = asyncio.Event()
        self._end_sent = False
        self._end_acknowledged = asyncio.Event()

    def accept(self, header: Header) -> None:
        """Process a credit, the acknowledgement of the end, or the client's cancel."""
        if header.kind is FrameKind.CANCEL and self._end_sent:
            self._end_acknowledged.set()
        elif header.kind is FrameKind.CANCEL:
            self.task.cancel()
        elif header.kind is FrameKind.CREDIT:
            self._credit += max(0, header.number)
            self._credit_granted.set()

    async def wait_for_credit(self) -> None:
        """Consume the credit for one chunk, waiting until there is some."""
        while self._credit <= 0:
            self._credit_granted.clear()
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_SECONDS):
                await self._credit_granted.wait()
        self._credit -= 1

    async def wait_for_end_acknowledgement(self) -> None:
        """
        Wait until the peer acknowledges the end of the stream, which was just sent.

        A stopping process closes its sockets afterwards; bytes that the peer has not
        read by then may be lost to a connection reset.
        """
        self._end_sent = True
        try:
            async with asyncio.timeout(END_ACKNOWLEDGE_TIMEOUT_SECONDS):
                await self._end_acknowledged.wait()
        except TimeoutError:
            # Older versions don't acknowledge the end, and a failed peer can't.
            pass
