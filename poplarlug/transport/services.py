"""Answers to what peers ask, bounded in number for each peer."""

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

_ASKING_KINDS = (FrameKind.REQUEST, FrameKind.NOTIFY, FrameKind.OPEN)

_log = ComponentLogger(prefix="transport")


Handler = Callable[[VmName, Any], Awaitable[Any]]
StreamHandler = Callable[[VmName, Any], AsyncIterator[bytes]]


class _Service(NamedTuple):
    message_type: Any
    handler: Any
    streams: bool


class ServingSide(ABC):
    """
    Run the handlers of what peers ask.

    Parameters
    ----------
    name : VmName
        Own name, given to peers as the sender.
    """

    def __init__(self, *, name: VmName) -> None:
        self.name = name
        self._services_by_topic: dict[str, _Service] = {}
        self._outgoing_by_id: dict[tuple[Any, int], OutgoingStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._exchanges_by_route: Counter[Any] = Counter()
        self._checks: list[Callable[[], object]] = []

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

    async def finish_streams(self) -> None:
        """Wait until the streams that peers have open here were sent whole."""
        tasks = [stream.task for stream in self._outgoing_by_id.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    @abstractmethod
    def _reply(self, route: Any, header: Header, payload: bytes) -> None:
        """Hand a frame back along the link that a request came by."""

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
        message = decode_payload(payload, service.message_type)
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
        outgoing = OutgoingStream(task=task)
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
            await outgoing.wait_for_receipt()
        except Exception as error:
            _log.error("stream handler failed", topic=header.topic, exc_info=True)
            self._refuse(route, header, f"handler failed: {error!r}")
        finally:
            # A peer that uses a number twice has another stream under it now.
            if self._outgoing_by_id.get(key) is outgoing:
                del self._outgoing_by_id[key]

    async def _stop_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
