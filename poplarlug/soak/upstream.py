"""A small upstream that writes down what it runs, with faults to order."""

import asyncio
import threading
import time
import urllib.request
from collections import Counter
from typing import Any, NamedTuple

from aiohttp import web

from poplarlug.discovery.records import ServiceUpstream, UpstreamPhase
from poplarlug.platform.encoding import encode_heartbeat
from poplarlug.platform.names import DIALECT
from poplarlug.relay.events import LAST_EVENT_HEADER
from poplarlug.types import Seconds

PORT = 8300
SLOTS = 8
STREAM_EVENTS = 20
CUT_AFTER_EVENTS = 5
MUTE_SECONDS = 30.0


class Arrival(NamedTuple):
    """A request as it came to an upstream, at a monotonic time."""

    at: Seconds
    path: str
    headers: dict[str, str]
    body: bytes


class Upstream:
    """
    Answer requests over HTTP from a thread of its own.

    Parameters
    ----------
    fault : str
        ``""``, ``reset`` (broken connection after the request was read), ``error``
        (status 500), ``refuse`` (not executed), ``mute`` (no answer) or ``cut`` (a
        stream that breaks off within an event).
    answer_seconds : float
        How long it works on a request before its answer.
    slots : int
        Requests that it says it runs at a time.
    limit : str
        What it names in its answers as the requests a second that it takes, in the
        deployment's header; empty for nothing.
    received : list of float
        Monotonic times of all requests, also those that it refused.
    deadly : bytes
        A request whose body has this ends the upstream; empty for none.
    deadly_after : int
        Events of a stream that such a request gets first.
    down_seconds : float
        How long it is away then; it comes back under a new id.
    is_silent : bool
        Whether it keeps its connections when it ends and answers nothing on them.
    ends : list of float
        Monotonic times at which it ended.
    """

    def __init__(self, *, upstream_id: str, ip: str, service: str, zone: str) -> None:
        self.id = self.name = upstream_id
        self._ip = ip
        self.address = f"{ip}:{PORT}"
        self.service = service
        self.zone = zone
        self.fault = ""
        self.slots = SLOTS
        self.limit = ""
        self.received: list[float] = []
        self.event_seconds = 0.01
        self.answer_seconds = 0.0
        self.arrivals: list[Arrival] = []
        self.abandoned = 0
        self.deadly = b""
        self.deadly_after = 0
        self.down_seconds = 0.5
        self.is_silent = False
        self.is_up = True
        self.ends: list[float] = []
        self._ending: asyncio.Task[None] | None = None
        self._sequence = 0
        self.born = time.time_ns() // 1_000_000
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._call(self._start())

    @property
    def runs(self) -> Counter[str]:
        """How often each request id came."""
        return Counter(a.headers.get(DIALECT.request_id, "") for a in self.arrivals)

    def beat(
        self, control: str, phase: UpstreamPhase = "serving", address: str = ""
    ) -> int:
        """
        Announce this upstream at a control replica; return the status.

        Parameters
        ----------
        address : str
            Where to reach it, if not at its own address; as behind a proxy.
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
            )
        )
        request = urllib.request.Request(
            f"http://{control}{path}", data=body, method="PUT"
        )
        with urllib.request.urlopen(request, timeout=2) as answer:
            return answer.status

    def end(self) -> None:
        """End now, as by a fault that no request caused, and come back later."""
        self._call(self._end())

    def close(self) -> None:
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(20)

    async def _start(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await self._listen()

    async def _listen(self) -> None:
        self._site = web.TCPSite(self._runner, self._ip, PORT)
        await self._site.start()

    async def _stop(self) -> None:
        if self._ending is not None:
            self._ending.cancel()
        await self._runner.cleanup()
        # Transports that were aborted are closed in the loop's next turn.
        await asyncio.sleep(0)

    async def _end(self) -> None:
        if not self.is_up:
            return
        self.is_up = False
        self.ends.append(time.monotonic())
        if not self.is_silent:
            await self._site.stop()
            assert self._runner.server is not None
            for handler in self._runner.server.connections:
                if handler.transport is not None:
                    handler.transport.abort()
        self._ending = asyncio.ensure_future(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.down_seconds)
        self.id = f"{self.name}-{len(self.ends)}"
        self.born = time.time_ns() // 1_000_000
        self._sequence = 0
        if not self.is_silent:
            await self._listen()
        self.is_up = True

    async def _run_deadly(self) -> None:
        """Run what ends this upstream; nothing comes after it."""
        await self._end()
        await asyncio.sleep(MUTE_SECONDS)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.received.append(time.monotonic())
        headers = {DIALECT.request_id: request.headers.get(DIALECT.request_id, "")}
        if self.limit:
            headers[DIALECT.limit] = self.limit
        if request.headers.get(DIALECT.expected_upstream, self.id) != self.id:
            return web.Response(status=421, headers=headers)
        if self.fault == "refuse":
            return web.Response(
                status=503, headers=headers | {DIALECT.not_executed: "1"}
            )
        now = time.monotonic()
        self.arrivals.append(
            Arrival(now, request.raw_path, dict(request.headers), body)
        )
        if not self.is_up:
            await asyncio.sleep(MUTE_SECONDS)
        is_deadly = bool(self.deadly) and self.deadly in body
        if is_deadly and not self.deadly_after:
            await self._run_deadly()
        headers[DIALECT.signature] = f"signed-{self.id}"
        if self.fault == "reset":
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        if self.fault == "error":
            return web.Response(status=500, headers=headers, text="failed")
        if self.fault == "mute":
            await asyncio.sleep(MUTE_SECONDS)
        if "/stream/" in request.path or "/resume/" in request.path:
            last = first_event(request) + self.deadly_after if is_deadly else None
            return await self._stream(request, headers, last)
        if self.answer_seconds:
            await asyncio.sleep(self.answer_seconds)
        return web.Response(headers=headers, body=b"answer to " + body)

    async def _stream(
        self, request: web.Request, headers: dict[str, str], last: int | None
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = first_event(request)
        try:
            for number in range(first, STREAM_EVENTS):
                if number == last:
                    await self._run_deadly()
                if self.fault == "cut" and number == first + CUT_AFTER_EVENTS:
                    await response.write(b"id: %d\nda" % number)
                    await asyncio.sleep(0.05)
                    assert request.transport is not None
                    request.transport.abort()
                    return response
                await response.write(b"id: %d\ndata: x\n\n" % number)
                await asyncio.sleep(self.event_seconds)
        except (asyncio.CancelledError, ConnectionResetError):
            self.abandoned += 1
            raise
        await response.write_eof()
        return response


def first_event(request: web.Request) -> int:
    """Return the number of the first event that a request asks for."""
    last = request.headers.get(LAST_EVENT_HEADER, "")
    return int(last) + 1 if last.isascii() and last.isdecimal() else 0
