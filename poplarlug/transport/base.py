"""Requests, notices and streams over frames, independent of the frame carrier."""

import asyncio
from abc import abstractmethod
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.logs import ComponentLogger
from poplarlug.transport.errors import TransportError, TransportErrorKind, not_sent
from poplarlug.transport.frames import FrameKind, Header, decode_header
from poplarlug.transport.payloads import decode_payload
from poplarlug.transport.services import RequestServer
from poplarlug.transport.streams import IncomingStream
from poplarlug.types import Seconds, VmName

R = TypeVar("R")

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_log = ComponentLogger(prefix="transport")


class _PendingReply(NamedTuple):
    peer: VmName
    reply: "asyncio.Future[Result[bytes, TransportError]]"


class Transport(RequestServer):
    """
    Exchange typed messages with peers, which are addressed by name.

    Handlers are registered with :meth:`serve` and :meth:`serve_stream` before
    :meth:`run`. Messages are ``NamedTuple`` classes encoded as msgpack.

    Parameters
    ----------
    name : VmName
        Name of this process, sent to peers as the sender.
    """

    def __init__(self, *, name: VmName) -> None:
        super().__init__(name=name)
        self._pending_replies_by_id: dict[int, _PendingReply] = {}
        self._incoming_streams_by_id: dict[int, IncomingStream] = {}
        self._last_id = 0

    async def request(
        self,
        *,
        peer: VmName,
        topic: str,
        message: Any,
        reply_type: type[R],
        timeout_seconds: Seconds,
    ) -> Result[R, TransportError]:
        """
        Send ``message`` to ``peer`` and wait for its reply.

        Parameters
        ----------
        timeout_seconds : float
            Maximum wait for the reply, in seconds.
        """
        exchange_id = self._next_id()
        reply: asyncio.Future[Result[bytes, TransportError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies_by_id[exchange_id] = _PendingReply(peer, reply)
        header = Header(FrameKind.REQUEST, self.name, exchange_id, topic)
        try:
            if not self._send(peer, header, msgspec.msgpack.encode(message)):
                return not_sent(peer)
            async with asyncio.timeout(timeout_seconds):
                outcome = await reply
        except TimeoutError:
            return Failure(
                TransportError(
                    TransportErrorKind.TIMEOUT,
                    f"{peer} gave no reply to {topic} in {timeout_seconds} s",
                )
            )
        finally:
            del self._pending_replies_by_id[exchange_id]
        return outcome.bind(lambda data: decode_payload(data, reply_type))

    def notify(self, *, peer: VmName, topic: str, message: Any) -> bool:
        """Send ``message`` without a reply; return whether a link accepted it."""
        header = Header(FrameKind.NOTIFY, self.name, 0, topic)
        return self._send(peer, header, msgspec.msgpack.encode(message))

    def open_stream(
        self, *, peer: VmName, topic: str, message: Any
    ) -> Result[IncomingStream, TransportError]:
        """Open a stream of the chunks that the peer's handler of ``topic`` yields."""
        exchange_id = self._next_id()
        stream = IncomingStream(
            peer=peer,
            grant=lambda chunks: self._grant_credit(peer, exchange_id, chunks),
            cancel=lambda: self._cancel_stream(peer, exchange_id),
        )
        self._incoming_streams_by_id[exchange_id] = stream
        header = Header(FrameKind.OPEN, self.name, exchange_id, topic)
        if not self._send(peer, header, msgspec.msgpack.encode(message)):
            del self._incoming_streams_by_id[exchange_id]
            return not_sent(peer)
        return Success(stream)

    @abstractmethod
    async def run(self) -> None:
        """Send and receive frames until cancelled."""

    @abstractmethod
    def _send(self, peer: VmName, header: Header, payload: bytes) -> bool:
        """Hand a frame to the link to ``peer``; return ``False`` if there is none."""

    def _next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def _grant_credit(self, peer: VmName, exchange_id: int, chunks: int) -> None:
        header = Header(FrameKind.CREDIT, self.name, exchange_id, number=chunks)
        self._send(peer, header, b"")

    def _cancel_stream(self, peer: VmName, exchange_id: int) -> None:
        if self._incoming_streams_by_id.pop(exchange_id, None) is not None:
            self._send(peer, Header(FrameKind.CANCEL, self.name, exchange_id), b"")

    def _fail_exchanges(self, peer: VmName) -> None:
        """Fail all pending replies and streams of ``peer`` after its link was lost."""
        for exchange_id, stream in list(self._incoming_streams_by_id.items()):
            if stream.peer == peer:
                stream.fail(TransportErrorKind.BROKEN, f"lost the link to {peer}")
                del self._incoming_streams_by_id[exchange_id]
        for pending in self._pending_replies_by_id.values():
            if pending.peer == peer and not pending.reply.done():
                error = TransportError(
                    TransportErrorKind.BROKEN, f"lost the link to {peer}"
                )
                pending.reply.set_result(Failure(error))

    def _receive_reply(self, header_data: bytes, payload: bytes) -> None:
        """Dispatch a frame sent in answer by a peer; drop it if its exchange is over."""
        header = decode_header(header_data)
        if header is None:
            _log.warning("dropped a malformed reply")
            return
        stream = self._incoming_streams_by_id.get(header.exchange_id)
        if stream is not None:
            stream.accept(header, payload)
            if header.kind is FrameKind.END:
                # CANCEL acknowledges the end, so that a stopping peer can close its sockets.
                self._cancel_stream(stream.peer, header.exchange_id)
            elif header.kind is not FrameKind.CHUNK:
                self._incoming_streams_by_id.pop(header.exchange_id, None)
            return
        pending = self._pending_replies_by_id.get(header.exchange_id)
        if pending is None or pending.reply.done():
            return
        reply = pending.reply
        if header.kind is FrameKind.REPLY:
            reply.set_result(Success(payload))
        else:
            message = payload.decode(errors="replace")
            reply.set_result(
                Failure(TransportError(TransportErrorKind.REFUSED, message))
            )
