"""Server side of the transport, with limits on concurrent exchanges."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns.result import Success

from poplarlug.logs import ComponentLogger
from poplarlug.transport.frames import FrameKind, Header, decode_header
from poplarlug.transport.payloads import decode_payload
from poplarlug.transport.streams import OutgoingStream
from poplarlug.types import VmName

M = TypeVar("M")

MAX_EXCHANGES = 4096
MAX_EXCHANGES_PER_PEER = 1024

_INITIATING_KINDS = (FrameKind.REQUEST, FrameKind.NOTIFY, FrameKind.OPEN)

_log = ComponentLogger(prefix="transport")


Handler = Callable[[VmName, Any], Awaitable[Any]]
StreamHandler = Callable[[VmName, Any], AsyncIterator[bytes]]


class _Service(NamedTuple):
    message_type: Any
    handler: Any
    streams: bool


class RequestServer(ABC):
    """
    Run the registered handlers for the requests of peers.

    Parameters
    ----------
    name : VmName
        Name of this process, sent to peers as the sender.
    """

    def __init__(self, *, name: VmName) -> None:
        self.name = name
        self._services_by_topic: dict[str, _Service] = {}
        self._outgoing_streams_by_key: dict[tuple[Any, int], OutgoingStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._exchanges_by_connection: Counter[Any] = Counter()
        self._before_request_hooks: list[Callable[[], object]] = []

    def before_request(self, hook: Callable[[], object]) -> None:
        """Call ``hook`` before each incoming request, notice or stream is handled."""
        self._before_request_hooks.append(hook)

    def serve(self, topic: str, message_type: type[M], handler: Handler) -> None:
        """Handle requests and notices of ``topic`` with ``handler(sender, message)``."""
        self._services_by_topic[topic] = _Service(message_type, handler, False)

    def serve_stream(
        self, topic: str, message_type: type[M], handler: StreamHandler
    ) -> None:
        """Answer streams of ``topic`` with the chunks of ``handler(sender, message)``."""
        self._services_by_topic[topic] = _Service(message_type, handler, True)

    async def finish_streams(self) -> None:
        """Wait until all streams served to peers are complete and acknowledged."""
        tasks = [stream.task for stream in self._outgoing_streams_by_key.values()]
        if tasks:
            # A caller that waits no longer must not cancel them.
            await asyncio.wait(tasks)

    @abstractmethod
    def _reply(self, connection: Any, header: Header, payload: bytes) -> None:
        """Send a frame back over the connection on which a request arrived."""

    def _receive_request(
        self, connection: Any, header_data: bytes, payload: bytes
    ) -> None:
        """Dispatch a frame sent by the client of an exchange."""
        header = decode_header(header_data)
        if header is None:
            _log.warning("dropped a malformed request")
            return
        if header.kind in (FrameKind.CREDIT, FrameKind.CANCEL):
            outgoing = self._outgoing_streams_by_key.get(
                (connection, header.exchange_id)
            )
            if outgoing is not None:
                outgoing.accept(header)
            return
        if header.kind not in _INITIATING_KINDS:
            _log.warning("dropped a frame of an unexpected kind", kind=header.kind.name)
            return
        for hook in self._before_request_hooks:
            hook()
        service = self._services_by_topic.get(header.topic)
        if service is None or service.streams != (header.kind is FrameKind.OPEN):
            self._refuse(connection, header, f"no handler for topic {header.topic!r}")
            return
        if self._is_at_limit(connection):
            self._refuse(connection, header, "too many exchanges; ask later")
            return
        message = decode_payload(payload, service.message_type)
        if not isinstance(message, Success):
            self._refuse(connection, header, message.failure().message)
            return
        self._start_exchange(connection, header, service, message.unwrap())

    def _start_exchange(
        self, connection: Any, header: Header, service: _Service, message: Any
    ) -> None:
        serve = self._serve_stream if service.streams else self._serve_request
        task = asyncio.ensure_future(serve(connection, header, service, message))
        self._tasks.add(task)
        self._exchanges_by_connection[connection] += 1
        task.add_done_callback(lambda done: self._end_exchange(connection, done))

    def _is_at_limit(self, connection: Any) -> bool:
        if len(self._tasks) >= MAX_EXCHANGES:
            return True
        return self._exchanges_by_connection[connection] >= MAX_EXCHANGES_PER_PEER

    def _end_exchange(self, connection: Any, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        self._exchanges_by_connection[connection] -= 1
        if self._exchanges_by_connection[connection] <= 0:
            del self._exchanges_by_connection[connection]

    def _refuse(self, connection: Any, header: Header, message: str) -> None:
        _log.warning("refused a request", sender=header.sender, reason=message)
        if header.kind is not FrameKind.NOTIFY:
            reply = Header(FrameKind.REFUSED, self.name, header.exchange_id)
            self._reply(connection, reply, message.encode())

    async def _serve_request(
        self, connection: Any, header: Header, service: _Service, message: Any
    ) -> None:
        try:
            reply = await service.handler(header.sender, message)
            payload = msgspec.msgpack.encode(reply)
        except Exception as error:
            _log.error("handler failed", topic=header.topic, exc_info=True)
            self._refuse(connection, header, f"handler failed: {error!r}")
            return
        if header.kind is FrameKind.REQUEST:
            self._reply(
                connection,
                Header(FrameKind.REPLY, self.name, header.exchange_id),
                payload,
            )

    async def _serve_stream(
        self, connection: Any, header: Header, service: _Service, message: Any
    ) -> None:
        key = (connection, header.exchange_id)
        task = asyncio.current_task()
        assert task is not None
        outgoing = OutgoingStream(task=task)
        self._outgoing_streams_by_key[key] = outgoing
        number = 0
        try:
            async for chunk in service.handler(header.sender, message):
                await outgoing.wait_for_credit()
                frame = Header(
                    FrameKind.CHUNK, self.name, header.exchange_id, number=number
                )
                self._reply(connection, frame, chunk)
                number += 1
            end = Header(FrameKind.END, self.name, header.exchange_id, number=number)
            self._reply(connection, end, b"")
            await outgoing.wait_for_end_acknowledgement()
        except Exception as error:
            _log.error("stream handler failed", topic=header.topic, exc_info=True)
            self._refuse(connection, header, f"handler failed: {error!r}")
        finally:
            # A client that reused its exchange id has another stream under this key.
            if self._outgoing_streams_by_key.get(key) is outgoing:
                del self._outgoing_streams_by_key[key]

    async def _stop_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
