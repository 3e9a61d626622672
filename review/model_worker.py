"""A model worker in a process of its own, for the scripts of review 3.

Its only argument is a JSON object:

- ``id``, ``ip``, ``port``, ``zone``, ``service``, ``version``: as it announces itself;
- ``controls``: addresses of the control replicas;
- ``late_s``: how late its first heartbeat arrives;
- ``cold_s``: how long it is cold from its start on;
- ``events``, ``event_s``: the number of events of its streams, and the time of one;
- ``crash_at``: requests in a second of its cold time at which it crashes; 0 for none;
- ``deadly``: the part of a prompt, never the last one, under which it crashes.

Its events hold its version. It writes what it runs to its standard output.
"""

import http.client
import json
import os
import signal
import socket
import sys
import threading
import time
from typing import Any, NamedTuple

BEAT_SECONDS = 1.2


class Request(NamedTuple):
    id: str
    expected: str
    last_event: int
    parts: tuple[str, ...] = ()


class Worker:
    """Serve streams, one request at a time on a connection, and send heartbeats."""

    def __init__(self, *, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._id: str = settings["id"]
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self._arrivals: list[float] = []

    def run(self) -> None:
        address = self._settings["ip"], self._settings["port"]
        listener = socket.create_server(address, backlog=256)
        threading.Thread(target=self._beat, daemon=True).start()
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _cold_left(self) -> float:
        return max(0.0, self._started + self._settings["cold_s"] - time.monotonic())

    def _beat(self) -> None:
        settings = self._settings
        born = time.time_ns() // 1_000_000
        sequence = 0
        time.sleep(settings["late_s"])
        while True:
            sequence += 1
            body = {
                "service": settings["service"],
                "address": f"{settings['ip']}:{settings['port']}",
                "zone": settings["zone"],
                "version": settings["version"],
                "slots": 128,
                "state": "ready",
                "cold_left_ms": round(1000 * self._cold_left()),
                "stage": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "born": born,
                "sequence": sequence,
            }
            is_heard = any(self._put(one, body) for one in settings["controls"])
            if is_heard and sequence == 1:
                self._say(f"first heartbeat heard, born {born}")
            time.sleep(BEAT_SECONDS)

    def _put(self, control: str, body: dict[str, Any]) -> bool:
        host, _, port = control.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request("PUT", f"/instances/{self._id}", json.dumps(body))
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                while request := self._read(connection):
                    self._answer(connection, request)
            except OSError:
                # The other end has closed the connection.
                return

    def _read(self, connection: socket.socket) -> Request | None:
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(65536)
            if not part:
                return None
            data += part
        head, _, rest = data.partition(b"\r\n\r\n")
        _, *lines = head.decode("latin-1").split("\r\n")
        fields = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in fields}
        left = int(headers.get("content-length", "0")) - len(rest)
        while left > 0:
            left -= len(connection.recv(65536)) or left
        return Request(
            headers.get("x-poplarlug-attempt-id", ""),
            headers.get("x-poplarlug-expect-instance", self._id),
            int(headers.get("last-event-id", "0")),
            tuple(
                part.strip().partition(":")[0]
                for part in headers.get("x-poplarlug-prompt-prefix", "").split(",")
            ),
        )

    def _answer(self, connection: socket.socket, request: Request) -> None:
        echo = f"X-Poplarlug-Attempt-Id: {request.id}\r\n"
        if request.expected != self._id:
            connection.sendall(
                f"HTTP/1.1 421 Misdirected\r\n{echo}Content-Length: 0\r\n\r\n".encode()
            )
            return
        self._note_arrival(request)
        if self._settings["deadly"] in request.parts[:-1]:
            self._say(f"crashes as it begins to answer {request.id}")
            os.kill(os.getpid(), signal.SIGKILL)
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}"
            f"X-Poplarlug-Response-Stamp: stamp-{self._id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(request.last_event + 1, self._settings["events"] + 1):
            event = f"id: {number}\ndata: {self._settings['version']}\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(self._settings["event_s"])
        connection.sendall(b"0\r\n\r\n")

    def _note_arrival(self, request: Request) -> None:
        now = time.monotonic()
        cold = self._cold_left()
        with self._lock:
            if cold > 0:
                self._arrivals = [at for at in self._arrivals if at > now - 1.0] + [now]
            count = len(self._arrivals) if cold > 0 else 0
            self._say(
                f"runs {request.id} after event {request.last_event}"
                + (f", cold, {count} in the last second" if cold > 0 else "")
            )
            if self._settings["crash_at"] and count >= self._settings["crash_at"]:
                self._say("crashes, as it is cold and gets too much")
                os.kill(os.getpid(), signal.SIGKILL)

    def _say(self, text: str) -> None:
        at = time.monotonic()
        line = f"{at:.3f} {self._id} {self._settings['version']}: {text}\n"
        os.write(1, line.encode())


if __name__ == "__main__":
    Worker(settings=json.loads(sys.argv[1])).run()
