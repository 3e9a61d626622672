"""Both ends of a stream of chunks, with its credit."""

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
"""How long a stream's end waits for its receipt; several round trips between regions."""


class IncomingStream:
    """
    Chunks of a stream in their order, with their end made certain.

    Parameters
    ----------
    grant : callable
        Tells the peer that it may send so many chunks more.
    cancel : callable
        Tells the peer to stop; safe to call twice.
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
        Return the next chunk, ``None`` at the whole stream's end.

        Returns
        -------
        Failure(TransportError)
            ``TIMEOUT`` when nothing came for ``timeout_seconds``; ``BROKEN``
            when a chunk is missing or the peer gave up.
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
        """Tell the peer to stop and forget the stream; safe to call twice."""
        self._cancel()

    def accept(self, header: Header, payload: bytes) -> None:
        """Take the frame that came next."""
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
        """End the stream with an error."""
        self._queue.put_nowait(Failure(TransportError(kind, message)))


class OutgoingStream:
    """Credit of one stream that this process serves."""

    def __init__(self, *, task: asyncio.Task[Any]) -> None:
        self.task = task
        self._credit = STREAM_CREDIT_CHUNKS
        self._credit_granted = asyncio.Event()
        self._end_sent = False
        self._end_acknowledged = asyncio.Event()

    def accept(self, header: Header) -> None:
        """Take a credit, the receipt of the end, or the asking side's cancel."""
        if header.kind is FrameKind.CANCEL and self._end_sent:
            self._end_acknowledged.set()
        elif header.kind is FrameKind.CANCEL:
            self.task.cancel()
        elif header.kind is FrameKind.CREDIT:
            self._credit += max(0, header.number)
            self._credit_granted.set()

    async def wait_for_credit(self) -> None:
        """Use up the credit of one chunk, waiting for it when there is none."""
        while self._credit <= 0:
            self._credit_granted.clear()
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_SECONDS):
                await self._credit_granted.wait()
        self._credit -= 1

    async def wait_for_end_acknowledgement(self) -> None:
        """
        Wait until the peer has the end, after it was sent.

        A process that stops closes its sockets then; bytes that the peer has not
        read by that time may be lost to a reset.
        """
        self._end_sent = True
        try:
            async with asyncio.timeout(END_ACKNOWLEDGE_TIMEOUT_SECONDS):
                await self._end_acknowledged.wait()
        except TimeoutError:
            # An older peer confirms nothing, and one that is gone can't.
            pass
