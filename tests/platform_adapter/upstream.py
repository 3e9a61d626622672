"""A small upstream of the platform's kind, with faults to order."""

import asyncio
import json
import threading
import time
import urllib.request
from collections import Counter
from typing import Any, NamedTuple

from aiohttp import web

SIGNATURE = "X-Poplarlug-Response-Stamp"
REQUEST_ID = "X-Poplarlug-Attempt-Id"
EXPECTED = "X-Poplarlug-Expect-Instance"
NOT_EXECUTED = "X-Poplarlug-Not-Executed"
STREAM_EVENTS = 20
CUT_AFTER_EVENTS = 5
MUTE_SECONDS = 30.0


class Arrival(NamedTuple):
    """A request as it came to an upstream."""

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
    """

    def __init__(self, *, upstream_id: str, ip: str, service: str, zone: str) -> None:
        self.id = upstream_id
        self.address = f"{ip}:8300"
        self.service = service
        self.zone = zone
        self.fault = ""
        self.event_seconds = 0.01
        self.arrivals: list[Arrival] = []
        self.abandoned = 0
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._call(self._start(ip))

    @property
    def runs(self) -> Counter[str]:
        """How often each request id came."""
        return Counter(a.headers.get(REQUEST_ID, "") for a in self.arrivals)

    def beat(self, control: str, state: str = "ready", **fields: Any) -> int:
        """Announce this upstream at a control replica; return the status."""
        self._sequence += 1
        beat = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        request = urllib.request.Request(
            f"http://{control}/instances/{self.id}",
            data=json.dumps(beat | fields).encode(),
            method="PUT",
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status

    def close(self) -> None:
        self._call(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(20)

    async def _start(self, ip: str) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, 8300).start()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {REQUEST_ID: request.headers.get(REQUEST_ID, "")}
        if request.headers.get(EXPECTED, self.id) != self.id:
            return web.Response(status=421, headers=headers)
        if self.fault == "refuse":
            return web.Response(status=503, headers=headers | {NOT_EXECUTED: "1"})
        self.arrivals.append(Arrival(request.raw_path, dict(request.headers), body))
        headers[SIGNATURE] = f"signed-{self.id}"
        if self.fault == "reset":
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        if self.fault == "error":
            return web.Response(status=500, headers=headers, text="failed")
        if self.fault == "mute":
            await asyncio.sleep(MUTE_SECONDS)
        if "/stream/" in request.path or "/resume/" in request.path:
            return await self._stream(request, headers)
        return web.Response(headers=headers, body=b"answer to " + body)

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", -1)) + 1
        try:
            for number in range(first, STREAM_EVENTS):
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
