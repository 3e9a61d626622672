"""A worker as the protocol describes it, with heartbeats of its own."""

import asyncio
import json
import threading
import time

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from review.harness import HEARTBEAT_MS, ID, STAMP

PORT = 8300
EVENTS = 20


class Worker:
    """
    Server of one service in a thread of its own.

    ``answer_seconds`` is how long it works on a request. With ``slots`` at work, up to
    ``queue`` requests wait in it, and it rejects more. ``ran`` lists the runs as
    (time, id, path), ``arrived`` the requests as (id, time).
    """

    def __init__(self, record, deployment, name, zone, **options):
        self.record = record
        self.deployment = deployment
        self.name = self.id = name
        self.zone = zone
        self.service = options.get("service", "desk")
        self.version = options.get("version", "v1")
        self.slots = options.get("slots", 8)
        self.queue = options.get("queue", 24)
        self.answer_seconds = options.get("answer_seconds", 0.01)
        self.event_seconds = options.get("event_seconds", 0.05)
        self.ip = deployment.ip(name)
        self.address = f"{self.ip}:{PORT}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.is_announced = True
        self.is_up = True
        self.events = options.get("events", EVENTS)
        self.arrived = []
        self.ran = []
        self._waiting = 0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.run(self._start())

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(20)

    def close(self):
        self.run(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def crash(self):
        """End as a killed process does: its port and its connections close."""
        self.run(self._crash())

    def restart(self, version, beat_after=0.0):
        """
        Start again under the same id, as a new run.

        Parameters
        ----------
        beat_after : float
            How late its first heartbeat is, in seconds.
        """
        self.run(self._restart(version, beat_after))

    async def _crash(self):
        self.is_up = False
        self._beating.cancel()
        await self._site.stop()
        for handler in list(self._runner.server.connections):
            if handler.transport is not None:
                handler.transport.abort()
        self.record.note(f"{self.name} crashes")

    async def _restart(self, version, beat_after):
        self.version = version
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self._free = asyncio.Semaphore(self.slots)
        self._site = web.TCPSite(self._runner, self.ip, PORT)
        await self._site.start()
        self.is_up = True
        self._beating = asyncio.ensure_future(self._beat_forever(beat_after))
        self.record.note(f"{self.name} is back under its id with {version}")

    async def _start(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self.ip, PORT)
        await self._site.start()
        self._free = asyncio.Semaphore(self.slots)
        self._session = ClientSession(timeout=ClientTimeout(total=1.0))
        self._beating = asyncio.ensure_future(self._beat_forever())

    async def _stop(self):
        self._beating.cancel()
        await self._session.close()
        await self._runner.cleanup()

    async def _beat_forever(self, first_after=0.0):
        await asyncio.sleep(first_after)
        while True:
            if self.is_announced:
                await self._beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _beat(self):
        """Send a heartbeat to one replica after the other until it is acknowledged."""
        own = self.deployment.control[self.zone]
        others = [one for one in self.deployment.control.values() if one != own]
        for name in (own, *others):
            self.sequence += 1
            beat = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            address = self.deployment.control_address(name)
            try:
                async with self._session.put(
                    f"http://{address}/instances/{self.id}", json=beat
                ) as answer:
                    if answer.status // 100 == 2:
                        self._note_beat(beat, name)
                        return
            except (ClientError, TimeoutError, OSError):
                continue

    def _note_beat(self, beat, replica):
        if beat["sequence"] == 1:
            self.record.note(
                f"{replica} acknowledges the first heartbeat of {self.name}, "
                f"version {self.version}"
            )

    async def _serve(self, request):
        body = await request.read()
        headers = {ID: request.headers.get(ID, "")}
        self.arrived.append((headers[ID], time.monotonic()))
        self.record.note(f"{self.name} gets {headers[ID]}")
        expected = request.headers.get("X-Poplarlug-Expect-Instance", self.id)
        if expected != self.id:
            headers["X-Poplarlug-Not-Executed"] = "1"
            return web.Response(status=421, headers=headers)
        if self._free.locked() and self._waiting >= self.queue:
            headers["X-Poplarlug-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, headers, body)
        finally:
            self._free.release()

    async def _run(self, request, headers, body):
        request_id = headers[ID]
        self.ran.append((time.monotonic(), request_id, request.raw_path))
        self.record.note(f"{self.name} runs {request_id} {request.raw_path}")
        headers[STAMP] = f"stamp-{self.name}-{request_id}"
        if "/chat/" in request.raw_path:
            return await self._stream(request, headers)
        await asyncio.sleep(self.answer_seconds)
        return web.Response(
            headers=headers, body=json.dumps([request_id, len(body)]).encode()
        )

    async def _stream(self, request, headers):
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        last = request.headers.get("Last-Event-Id", "")
        try:
            for number in range(int(last) + 1 if last else 0, self.events):
                text = f"id: {number}\ndata: {self.version} {number}\n\n"
                await response.write(text.encode())
                await asyncio.sleep(self.event_seconds)
            await response.write_eof()
        except ConnectionResetError:
            self.record.note(f"the stream {headers[ID]} of {self.name} is broken off")
        return response
