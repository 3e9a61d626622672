"""Fake upstream that records the requests it executes and injects faults."""

import asyncio
import socket
import threading
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from aiohttp import web

from poplarlug.discovery.records import ServiceUpstream, UpstreamPhase
from poplarlug.platform.encoding import encode_heartbeat
from poplarlug.platform.names import HEADER_NAMES
from poplarlug.relay.events import LAST_EVENT_HEADER
from poplarlug.soak.answers import (
    encode_event,
    first_event,
    is_stream,
    plain_parts,
    unframed_head,
)
from poplarlug.sockets import NO_LINGER
from poplarlug.types import Seconds

MAX_HEADERS = 4096
PORT = 8300
SLOTS = 8
MAX_BODY_BYTES = 4 * 1024 * 1024
STREAM_EVENTS = 20
CUT_AFTER_EVENTS = 5
CUT_AFTER_BYTES = 5
PLAIN_BODY = b"an answer without a length"
"""Body of plain answers whose end is that of the connection."""

EVENT_SECONDS = 0.01
"""Default time between the events of a stream in chunks."""

PART_SECONDS = 0.03
"""Default time that an upstream works on a part of an answer sent in parts."""

MUTE_SECONDS = 30.0
ERRORS_BY_FAULT = {
    "error": (500, "text/plain", "failed"),
    "empty": (200, "text/event-stream", ""),
}
"""Status, content type and body of whole answers that are errors."""

LEAVE_RETRY_SECONDS = 0.2
LEAVE_TIMEOUT_SECONDS = 10.0
"""Several times what a sync of a busy disk takes."""


class Arrival(NamedTuple):
    """
    A request executed by an upstream, with its monotonic arrival time.

    Parameters
    ----------
    upstream_id : str
        Id of the upstream at that time.
    is_unframed : bool
        Whether its answer has neither a length nor chunks and is sent in parts.
    """

    at: Seconds
    path: str
    headers: dict[str, str]
    body: bytes
    upstream_id: str = ""
    is_unframed: bool = False

    @property
    def request_id(self) -> str:
        return self.headers.get(HEADER_NAMES.request_id, "")


class Upstream:
    """
    HTTP server in a separate thread that acts as an upstream.

    Parameters
    ----------
    fault : str
        ``""``, ``reset`` (connection reset after the request was read), ``error``
        (status 500), ``refuse`` (not executed), ``mute`` (no response), ``cut`` (a
        stream that breaks off within an event), ``unframed`` (``unframed_body`` without
        a length or chunks, ended by closing the connection), ``unframed reset`` (the
        same, ended by resetting it), ``unframed whole`` (the whole answer in this way),
        ``unframed cut`` (its first part), ``unframed crash`` (the same, as the upstream
        crashes), ``foreign`` (a stream with ``foreign_bytes`` in a
        chunk among its events), ``foreign framing`` (the same, where the size of a
        chunk is due) or ``foreign unframed`` (a stream without a length or chunks, with
        ``foreign_bytes`` after its last event), ``empty`` (a stream of length 0) or
        ``empty chunked`` (the same in chunks).
    resume_fault : str
        The fault of requests that resume a stream; empty for the same one.
    resumed_events : int
        Number of events of a resumed stream that an ``unframed`` fault ends early.
    unframed_seconds : float
        Time between the last event of an ``unframed`` answer and its end.
    answer_seconds : float
        Processing time of a request before its response.
    version : str
        Announced version of its software.
    event_data : str
        Data of all events of its streams.
    slots : int
        Announced number of concurrent requests.
    limit : str
        Rate limit in requests per second that responses announce, in the header of
        the deployment's dialect; empty for none.
    is_leaving : bool
        Whether responses say that it leaves; its heartbeats don't.
    retry_after : str
        Pause that refusals of the fault ``refuse`` ask for; empty for none.
    received : list of float
        Monotonic times of all requests, including refused ones.
    refused : list of float
        Monotonic times of the refusals because of the fault ``refuse``.
    crash_body : bytes
        A request whose body contains this crashes the upstream; empty for none.
    crash_parts : frozenset of str
        A request whose prompt has one of these parts, other than as its last, crashes
        the upstream.
    crash_after_events : int
        Number of events that a stream of such a request sends before the crash.
    down_seconds : float
        Downtime after a crash; the upstream then restarts.
    keeps_id : bool
        Whether it restarts with its former id instead of a new one.
    crashes_silently : bool
        Whether a crash keeps connections open without responding on them.
    crash_times : list of float
        Monotonic times of the crashes.
    part_seconds : float
        Time that it works on each part of an answer sent in parts.
    sends_chunks : bool
        Whether its other plain answers are sent in parts as well, in chunks.
    unframed_share : float
        Fraction of answers, of those without a fault or with ``cut``, that have neither
        a length nor chunks; they are sent in parts.
    on_listening : callable
        Called with whether it accepts connections, at each crash and restart.
    cut_unframed : int
        Number of answers without a length or chunks that a crash cut off.
    """

    def __init__(self, *, upstream_id: str, ip: str, service: str, zone: str) -> None:
        self.id = self.name = upstream_id
        self._ip = ip
        self.address = f"{ip}:{PORT}"
        self.service = service
        self.zone = zone
        self.fault = ""
        self.resume_fault = ""
        self.resumed_events = CUT_AFTER_EVENTS
        self.unframed_seconds = 0.05
        self.unframed_body = b""
        self.foreign_bytes = b""
        self.version = "v1"
        self.event_data = "x"
        self.slots = SLOTS
        self.limit = ""
        self.is_leaving = False
        self.retry_after = ""
        self.refused: list[Seconds] = []
        self.received: list[float] = []
        self.event_seconds = EVENT_SECONDS
        self.answer_seconds = 0.0
        self.arrivals: list[Arrival] = []
        self.abandoned = 0
        self.crash_body = b""
        self.crash_parts: frozenset[str] = frozenset()
        self.crash_after_events = 0
        self.down_seconds = 0.5
        self.keeps_id = False
        self.crashes_silently = False
        self.is_up = True
        self.crash_times: list[float] = []
        self.part_seconds = PART_SECONDS
        self.sends_chunks = False
        self.unframed_share = 0.0
        self.on_listening: Callable[[bool], None] = lambda is_listening: None
        self.cut_unframed = 0
        self._rng = Random(upstream_id)
        self._restart_task: asyncio.Task[None] | None = None
        self._sequence = 0
        self.born = time.time_ns() // 1_000_000
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._call(self._start())

    @property
    def runs(self) -> Counter[str]:
        """Number of executions by request id."""
        return Counter(arrival.request_id for arrival in self.arrivals)

    def beat(
        self, control: str, phase: UpstreamPhase = "serving", address: str = ""
    ) -> int:
        """
        Send a heartbeat of this upstream to a control replica; return the status.

        Parameters
        ----------
        address : str
            Announced address if it differs from its own, as behind a proxy.
        """
        self._sequence += 1
        path, body = encode_heartbeat(
            ServiceUpstream(
                id=self.id,
                service=self.service,
                address=address or self.address,
                zone=self.zone,
                born=self.born,
                sequence=self._sequence,
                slots=self.slots,
                phase=phase,
                version=self.version,
            )
        )
        request = urllib.request.Request(
            f"http://{control}{path}", data=body, method="PUT"
        )
        with urllib.request.urlopen(request, timeout=2) as answer:
            return answer.status

    def leave(self, control: str) -> None:
        """
        Report to a control replica that this upstream leaves, until that is acknowledged.

        A replica whose disk is slow answers 503, after which upstreams report again.
        """
        deadline = time.monotonic() + LEAVE_TIMEOUT_SECONDS
        while True:
            try:
                self.beat(control, "leaving")
                return
            except urllib.error.HTTPError as error:
                if error.code != 503 or time.monotonic() > deadline:
                    raise
            time.sleep(LEAVE_RETRY_SECONDS)

    def crash(self, down_seconds: Seconds | None = None) -> None:
        """Crash now, without a request as the cause, and restart later."""
        self._call(self._crash(down_seconds))

    def close(self) -> None:
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(20)

    async def _start(self) -> None:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            max_headers=MAX_HEADERS,
        )
        await self._runner.setup()
        await self._listen()

    async def _listen(self) -> None:
        self._site = web.TCPSite(self._runner, self._ip, PORT)
        await self._site.start()

    async def _stop(self) -> None:
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self._runner.cleanup()
        # Aborted transports are closed in the next iteration of the event loop.
        await asyncio.sleep(0)

    async def _crash(self, down_seconds: Seconds | None = None) -> None:
        if not self.is_up:
            return
        self.is_up = False
        self.crash_times.append(time.monotonic())
        if not self.crashes_silently:
            await self._site.stop()
            self.on_listening(False)
            assert self._runner.server is not None
            for handler in self._runner.server.connections:
                if handler.transport is not None:
                    handler.transport.abort()
        self._restart_task = asyncio.ensure_future(
            self._restart(self.down_seconds if down_seconds is None else down_seconds)
        )

    async def _restart(self, down_seconds: Seconds) -> None:
        await asyncio.sleep(down_seconds)
        if not self.keeps_id:
            self.id = f"{self.name}-{len(self.crash_times)}"
        self.born = time.time_ns() // 1_000_000
        self._sequence = 0
        if not self.crashes_silently:
            await self._listen()
            self.on_listening(True)
        self.is_up = True

    async def _crash_during_request(self) -> None:
        """Crash this upstream; the request gets no further output."""
        await self._crash()
        await asyncio.sleep(MUTE_SECONDS)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.received.append(time.monotonic())
        headers = self._common_headers(request)
        if request.headers.get(HEADER_NAMES.expected_upstream, self.id) != self.id:
            return web.Response(status=421, headers=headers)
        if self._fault_for(request) == "refuse":
            self.refused.append(time.monotonic())
            headers[HEADER_NAMES.not_executed] = "1"
            if self.retry_after:
                headers["Retry-After"] = self.retry_after
            return web.Response(status=503, headers=headers)
        is_crash_request = self._is_crash_request(request, body)
        is_unframed = (
            not is_crash_request
            and self._fault_for(request) in ("", "cut")
            and self._rng.random() < self.unframed_share
        )
        self.arrivals.append(
            Arrival(
                at=time.monotonic(),
                path=request.raw_path,
                headers=dict(request.headers),
                body=body,
                upstream_id=self.id,
                is_unframed=is_unframed,
            )
        )
        if not self.is_up:
            await asyncio.sleep(MUTE_SECONDS)
        if is_crash_request and not self.crash_after_events:
            await self._crash_during_request()
        headers[HEADER_NAMES.signature] = f"signed-{self.id}"
        if is_unframed:
            return await self._send_in_parts(request, headers, body)
        return await self._answer(request, headers, body, is_crash_request)

    async def _answer(
        self,
        request: web.Request,
        headers: dict[str, str],
        body: bytes,
        is_crash_request: bool,
    ) -> web.StreamResponse:
        if self._fault_for(request) == "reset":
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        if self._fault_for(request) in ERRORS_BY_FAULT:
            status, content_type, text = ERRORS_BY_FAULT[self._fault_for(request)]
            return web.Response(
                status=status, headers=headers, text=text, content_type=content_type
            )
        if "unframed" in self._fault_for(request):
            return await self._send_unframed(request, headers)
        if self._fault_for(request) == "mute":
            await asyncio.sleep(MUTE_SECONDS)
        if is_stream(request):
            last = (
                first_event(request) + self.crash_after_events
                if is_crash_request
                else None
            )
            return await self._stream(request, headers, last)
        if self.answer_seconds:
            await asyncio.sleep(self.answer_seconds)
        if self.sends_chunks:
            return await self._send_chunks(request, headers, body)
        return web.Response(headers=headers, body=b"answer to " + body)

    def _fault_for(self, request: web.Request) -> str:
        if self.resume_fault and LAST_EVENT_HEADER in request.headers:
            return self.resume_fault
        return self.fault

    def _is_crash_request(self, request: web.Request, body: bytes) -> bool:
        if self.crash_body and self.crash_body in body:
            return True
        listed = request.headers.get(HEADER_NAMES.prompt_parts, "").split(",")
        return any(part.partition(":")[0] in self.crash_parts for part in listed[:-1])

    def _common_headers(self, request: web.Request) -> dict[str, str]:
        """Return the headers of every response to a request."""
        headers = {
            HEADER_NAMES.request_id: request.headers.get(HEADER_NAMES.request_id, "")
        }
        if self.limit:
            headers[HEADER_NAMES.limit] = self.limit
        if self.is_leaving:
            headers[HEADER_NAMES.leaving] = "1"
        return headers

    async def _send_unframed(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Send an answer whose end is that of the connection."""
        transport = request.transport
        assert transport is not None
        body = self._unframed_body_for(request, is_stream(request))
        transport.write(unframed_head(request, headers) + body)
        # The bytes arrive before the end of the connection.
        await asyncio.sleep(self.unframed_seconds)
        if self._fault_for(request) == "unframed crash":
            await self._crash()
        if self._fault_for(request) == "unframed reset":
            client_socket = transport.get_extra_info("socket")
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        transport.close()
        return web.Response()

    async def _send_in_parts(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Send an answer without a length or chunks as the upstream works on it."""
        transport = request.transport
        assert transport is not None
        transport.write(unframed_head(request, headers))
        parts: Iterable[bytes] = plain_parts(body)
        if is_stream(request):
            parts = self._event_parts(request)
        try:
            for part in parts:
                transport.write(part)
                await asyncio.sleep(self.part_seconds)
        except asyncio.CancelledError:
            self.cut_unframed += not self.is_up
            self.abandoned += self.is_up
            raise
        transport.close()
        return web.Response()

    async def _send_chunks(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Send a plain answer in chunks as the upstream works on it."""
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for part in plain_parts(body):
            await response.write(part)
            await asyncio.sleep(self.part_seconds)
        await response.write_eof()
        return response

    def _event_parts(self, request: web.Request) -> Iterable[bytes]:
        first = first_event(request)
        for number in range(first, STREAM_EVENTS):
            if self._fault_for(request) == "cut" and number == first + CUT_AFTER_EVENTS:
                yield b"id: %d\nda" % number
                return
            yield encode_event(number, self.event_data)

    def _unframed_body_for(self, request: web.Request, is_stream: bool) -> bytes:
        fault = self._fault_for(request)
        if fault in ("unframed", "unframed reset"):
            return self.unframed_body
        is_cut = fault in ("unframed cut", "unframed crash")
        if not is_stream:
            return PLAIN_BODY[: CUT_AFTER_BYTES if is_cut else None]
        first = first_event(request)
        is_resumed = LAST_EVENT_HEADER in request.headers
        count = self.resumed_events if is_resumed else CUT_AFTER_EVENTS
        end = min(STREAM_EVENTS, first + count) if is_cut else STREAM_EVENTS
        events = b"".join(
            encode_event(number, self.event_data) for number in range(first, end)
        )
        return events + (self.foreign_bytes if fault == "foreign unframed" else b"")

    async def _stream(
        self, request: web.Request, headers: dict[str, str], last: int | None
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = first_event(request)
        try:
            for number in range(first, self._end_of_stream(request)):
                if number == last:
                    await self._crash_during_request()
                if (
                    self._fault_for(request) == "cut"
                    and number == first + CUT_AFTER_EVENTS
                ):
                    await response.write(b"id: %d\nda" % number)
                    await asyncio.sleep(0.05)
                    assert request.transport is not None
                    request.transport.abort()
                    return response
                if number == first + CUT_AFTER_EVENTS:
                    await self._write_foreign_bytes(request, response)
                await response.write(encode_event(number, self.event_data))
                await asyncio.sleep(self.event_seconds)
        except (asyncio.CancelledError, ConnectionResetError):
            self.abandoned += 1
            raise
        await response.write_eof()
        return response

    def _end_of_stream(self, request: web.Request) -> int:
        return 0 if self._fault_for(request) == "empty chunked" else STREAM_EVENTS

    async def _write_foreign_bytes(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._fault_for(request) == "foreign":
            await response.write(self.foreign_bytes)
        elif self._fault_for(request) == "foreign framing":
            assert request.transport is not None
            request.transport.write(self.foreign_bytes)
