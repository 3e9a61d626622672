"""Requests, notices and streams over frames, whatever carries the frames."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from enum import Enum
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.logs import PartLog
from poplarlug.transport.frames import FrameKind, Header, decode_header
from poplarlug.types import Seconds, VmName

M = TypeVar("M")
R = TypeVar("R")

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_EXCHANGES = 4096
MAX_EXCHANGES_PER_PEER = 1024
STREAM_CREDIT_CHUNKS = 64
STREAM_IDLE_SECONDS = 30.0

_ASKING_KINDS = (FrameKind.REQUEST, FrameKind.NOTIFY, FrameKind.OPEN)

_log = PartLog(prefix="transport")


class TransportErrorKind(Enum):
    """
    Why an exchange failed.

    ``NOT_SENT`` is the only kind that says that the peer did not get it.
    """

    NOT_SENT = "not_sent"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    BROKEN = "broken"
    MALFORMED = "malformed"


class TransportError(NamedTuple):
    kind: TransportErrorKind
    message: str


Handler = Callable[[VmName, Any], Awaitable[Any]]
StreamHandler = Callable[[VmName, Any], AsyncIterator[bytes]]


class _Service(NamedTuple):
    message_type: Any
    handler: Any
    streams: bool


class _WaitingReply(NamedTuple):
    peer: VmName
    reply: "asyncio.Future[Result[bytes, TransportError]]"


class IncomingStream:
    """Chunks of a stream in their order, with their end made certain."""

    def __init__(
        self, *, transport: "Transport", peer: VmName, exchange_id: int
    ) -> None:
        self._transport = transport
        self.peer = peer
        self._exchange_id = exchange_id
        self._queue: asyncio.Queue[Result[bytes | None, TransportError]] = (
            asyncio.Queue()
        )
        self._expected = 0
        self._consumed = 0

    async def next_chunk(
        self, *, timeout_seconds: Seconds = STREAM_IDLE_SECONDS
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
            self._transport._grant(
                self.peer, self._exchange_id, STREAM_CREDIT_CHUNKS // 2
            )
        return item

    def cancel(self) -> None:
        """Tell the peer to stop and forget the stream; safe to call twice."""
        self._transport._cancel_stream(self.peer, self._exchange_id)

    def _accept(self, header: Header, payload: bytes) -> None:
        if header.kind is FrameKind.CHUNK and header.number == self._expected:
            self._expected += 1
            self._queue.put_nowait(Success(payload))
        elif header.kind is FrameKind.END and header.number == self._expected:
            self._queue.put_nowait(Success(None))
        elif header.kind is FrameKind.REFUSED:
            self._fail(TransportErrorKind.REFUSED, payload.decode(errors="replace"))
        else:
            self._fail(
                TransportErrorKind.BROKEN,
                f"got chunk {header.number}, expected {self._expected}",
            )

    def _fail(self, kind: TransportErrorKind, message: str) -> None:
        self._queue.put_nowait(Failure(TransportError(kind, message)))


class Transport(ABC):
    """
    Exchange typed messages with peers by name.

    Handlers are set up with :meth:`serve` and :meth:`serve_stream` before
    :meth:`run`. Messages are ``NamedTuple`` classes in msgpack.

    Parameters
    ----------
    name : VmName
        Own name, given to peers as the sender.
    """

    def __init__(self, *, name: VmName) -> None:
        self.name = name
        self._services_by_topic: dict[str, _Service] = {}
        self._replies_by_id: dict[int, _WaitingReply] = {}
        self._streams_by_id: dict[int, IncomingStream] = {}
        self._outgoing_by_id: dict[tuple[Any, int], _OutgoingStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._exchanges_by_route: Counter[Any] = Counter()
        self._checks: list[Callable[[], object]] = []
        self._last_id = 0

    def before_request(self, check: Callable[[], object]) -> None:
        """Call ``check`` before each request, notice or stream that comes in."""
        self._checks.append(check)

    def serve(self, topic: str, message_type: type[M], handler: Handler) -> None:
        """Answer requests and notices of ``topic`` by ``handler(sender, message)``."""
        self._services_by_topic[topic] = _Service(message_type, handler, False)

    def serve_stream(
        self, topic: str, message_type: type[M], handler: StreamHandler
    ) -> None:
        """Answer streams of ``topic`` by the chunks of ``handler(sender, message)``."""
        self._services_by_topic[topic] = _Service(message_type, handler, True)

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
            Longest wait for the reply, in seconds.
        """
        exchange_id = self._next_id()
        reply: asyncio.Future[Result[bytes, TransportError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._replies_by_id[exchange_id] = _WaitingReply(peer, reply)
        header = Header(FrameKind.REQUEST, self.name, exchange_id, topic)
        try:
            if not self._send(peer, header, msgspec.msgpack.encode(message)):
                return _not_sent(peer)
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
            del self._replies_by_id[exchange_id]
        return outcome.bind(lambda data: _decode(data, reply_type))

    def notify(self, *, peer: VmName, topic: str, message: Any) -> bool:
        """Send ``message`` with no reply; return whether it left this process."""
        header = Header(FrameKind.NOTIFY, self.name, 0, topic)
        return self._send(peer, header, msgspec.msgpack.encode(message))

    async def finish_streams(self) -> None:
        """Wait until the streams that peers have open here were sent whole."""
        tasks = [stream.task for stream in self._outgoing_by_id.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    def open_stream(
        self, *, peer: VmName, topic: str, message: Any
    ) -> Result[IncomingStream, TransportError]:
        """Ask ``peer`` for the chunks that its handler of ``topic`` yields."""
        exchange_id = self._next_id()
        stream = IncomingStream(transport=self, peer=peer, exchange_id=exchange_id)
        self._streams_by_id[exchange_id] = stream
        header = Header(FrameKind.OPEN, self.name, exchange_id, topic)
        if not self._send(peer, header, msgspec.msgpack.encode(message)):
            del self._streams_by_id[exchange_id]
            return _not_sent(peer)
        return Success(stream)

    @abstractmethod
    async def run(self) -> None:
        """Carry frames until cancelled."""

    @abstractmethod
    def _send(self, peer: VmName, header: Header, payload: bytes) -> bool:
        """Hand a frame to the link to ``peer``; ``False`` when there is none."""

    @abstractmethod
    def _reply(self, route: Any, header: Header, payload: bytes) -> None:
        """Hand a frame back along the link that a request came by."""

    def _next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def _grant(self, peer: VmName, exchange_id: int, chunks: int) -> None:
        header = Header(FrameKind.CREDIT, self.name, exchange_id, number=chunks)
        self._send(peer, header, b"")

    def _cancel_stream(self, peer: VmName, exchange_id: int) -> None:
        if self._streams_by_id.pop(exchange_id, None) is not None:
            self._send(peer, Header(FrameKind.CANCEL, self.name, exchange_id), b"")

    def _lose_link(self, peer: VmName) -> None:
        """Break what waits for ``peer``: its answers can't come any more."""
        for exchange_id, stream in list(self._streams_by_id.items()):
            if stream.peer == peer:
                stream._fail(TransportErrorKind.BROKEN, f"lost the link to {peer}")
                del self._streams_by_id[exchange_id]
        for waiting in self._replies_by_id.values():
            if waiting.peer == peer and not waiting.reply.done():
                error = TransportError(
                    TransportErrorKind.BROKEN, f"lost the link to {peer}"
                )
                waiting.reply.set_result(Failure(error))

    def _receive_reply(self, header_data: bytes, payload: bytes) -> None:
        """Take a frame that came back from a peer; drop it when it is late."""
        header = decode_header(header_data)
        if header is None:
            _log.warning("dropped a malformed reply")
            return
        stream = self._streams_by_id.get(header.exchange_id)
        if stream is not None:
            stream._accept(header, payload)
            if header.kind is not FrameKind.CHUNK:
                self._streams_by_id.pop(header.exchange_id, None)
            return
        waiting = self._replies_by_id.get(header.exchange_id)
        if waiting is None or waiting.reply.done():
            return
        reply = waiting.reply
        if header.kind is FrameKind.REPLY:
            reply.set_result(Success(payload))
        else:
            message = payload.decode(errors="replace")
            reply.set_result(
                Failure(TransportError(TransportErrorKind.REFUSED, message))
            )

    def _receive_request(self, route: Any, header_data: bytes, payload: bytes) -> None:
        """Take a frame that a peer sent on its own account."""
        header = decode_header(header_data)
        if header is None:
            _log.warning("dropped a malformed request")
            return
        if header.kind in (FrameKind.CREDIT, FrameKind.CANCEL):
            outgoing = self._outgoing_by_id.get((route, header.exchange_id))
            if outgoing is not None:
                outgoing.accept(header)
            return
        if header.kind not in _ASKING_KINDS:
            _log.warning("dropped a frame that runs nothing", kind=header.kind.name)
            return
        for check in self._checks:
            check()
        service = self._services_by_topic.get(header.topic)
        if service is None or service.streams != (header.kind is FrameKind.OPEN):
            self._refuse(route, header, f"no handler for topic {header.topic!r}")
            return
        if self._is_full(route):
            self._refuse(route, header, "too many exchanges; ask later")
            return
        message = _decode(payload, service.message_type)
        if not isinstance(message, Success):
            self._refuse(route, header, message.failure().message)
            return
        self._spawn(route, header, service, message.unwrap())

    def _spawn(
        self, route: Any, header: Header, service: _Service, message: Any
    ) -> None:
        serve = self._serve_stream if service.streams else self._serve_request
        task = asyncio.ensure_future(serve(route, header, service, message))
        self._tasks.add(task)
        self._exchanges_by_route[route] += 1
        task.add_done_callback(lambda done: self._end_exchange(route, done))

    def _is_full(self, route: Any) -> bool:
        if len(self._tasks) >= MAX_EXCHANGES:
            return True
        return self._exchanges_by_route[route] >= MAX_EXCHANGES_PER_PEER

    def _end_exchange(self, route: Any, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        self._exchanges_by_route[route] -= 1
        if self._exchanges_by_route[route] <= 0:
            del self._exchanges_by_route[route]

    def _refuse(self, route: Any, header: Header, message: str) -> None:
        _log.warning("refused a request", sender=header.sender, reason=message)
        if header.kind is not FrameKind.NOTIFY:
            reply = Header(FrameKind.REFUSED, self.name, header.exchange_id)
            self._reply(route, reply, message.encode())

    async def _serve_request(
        self, route: Any, header: Header, service: _Service, message: Any
    ) -> None:
        try:
            reply = await service.handler(header.sender, message)
        except Exception as error:
            _log.error("handler failed", topic=header.topic, exc_info=True)
            self._refuse(route, header, f"handler failed: {error!r}")
            return
        if header.kind is FrameKind.REQUEST:
            self._reply(
                route,
                Header(FrameKind.REPLY, self.name, header.exchange_id),
                msgspec.msgpack.encode(reply),
            )

    async def _serve_stream(
        self, route: Any, header: Header, service: _Service, message: Any
    ) -> None:
        key = (route, header.exchange_id)
        task = asyncio.current_task()
        assert task is not None
        outgoing = _OutgoingStream(task=task)
        self._outgoing_by_id[key] = outgoing
        number = 0
        try:
            async for chunk in service.handler(header.sender, message):
                await outgoing.wait_for_credit()
                frame = Header(
                    FrameKind.CHUNK, self.name, header.exchange_id, number=number
                )
                self._reply(route, frame, chunk)
                number += 1
            end = Header(FrameKind.END, self.name, header.exchange_id, number=number)
            self._reply(route, end, b"")
        except Exception as error:
            _log.error("stream handler failed", topic=header.topic, exc_info=True)
            self._refuse(route, header, f"handler failed: {error!r}")
        finally:
            del self._outgoing_by_id[key]

    async def _stop_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class _OutgoingStream:
    """Credit of one stream that this process serves."""

    def __init__(self, *, task: asyncio.Task[Any]) -> None:
        self.task = task
        self._credit = STREAM_CREDIT_CHUNKS
        self._granted = asyncio.Event()

    def accept(self, header: Header) -> None:
        if header.kind is FrameKind.CANCEL:
            self.task.cancel()
        elif header.kind is FrameKind.CREDIT:
            self._credit += max(0, header.number)
            self._granted.set()

    async def wait_for_credit(self) -> None:
        while self._credit <= 0:
            self._granted.clear()
            async with asyncio.timeout(STREAM_IDLE_SECONDS):
                await self._granted.wait()
        self._credit -= 1


def _decode(data: bytes, kind: type[R]) -> Result[R, TransportError]:
    try:
        return Success(msgspec.msgpack.decode(data, type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(
            TransportError(
                TransportErrorKind.MALFORMED, f"not a {kind.__name__}: {error}"
            )
        )


def _not_sent(peer: VmName) -> Failure[TransportError]:
    return Failure(
        TransportError(TransportErrorKind.NOT_SENT, f"no link to {peer}; retry later")
    )
