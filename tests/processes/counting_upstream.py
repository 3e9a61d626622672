"""An upstream inside the test process, announced by the test itself."""

import json
import threading
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

ANNOUNCE_SECONDS = 2.0
RENEW_SECONDS = 0.5


class CountingUpstream:
    """
    Count the completion requests that it receives.

    Parameters
    ----------
    entry : str
        HTTP address of the entry that receives its renewals.
    """

    def __init__(self, *, upstream_id: str, address: str, entry: str) -> None:
        self.id = upstream_id
        self.served = 0
        self.sequence = 0
        self._address = address
        self._entry = entry
        self._stopped = threading.Event()
        host, _, port = address.rpartition(":")
        self._server = ThreadingHTTPServer((host, int(port)), self._handler())
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._renew, daemon=True),
        ]
        for thread in self._threads:
            thread.start()

    def announce(
        self, state: str, *, entry: str = "", sequence: int = 0, seconds: float = 0
    ) -> dict[str, Any]:
        """Announce ``state``; return the answer, empty if there is none."""
        if not sequence:
            self.sequence += 1
            sequence = self.sequence
        body = {
            "id": self.id,
            "kind": "engine",
            "address": self._address,
            "state": state,
            "incarnation": 1,
            "sequence": sequence,
            "models": ["corn-7b"],
        }
        request = urllib.request.Request(
            f"http://{entry or self._entry}/v1/upstreams", json.dumps(body).encode()
        )
        try:
            with urllib.request.urlopen(
                request, timeout=seconds or ANNOUNCE_SECONDS
            ) as response:
                answer: dict[str, Any] = json.loads(response.read())
                return answer
        except (OSError, urllib.error.URLError):
            return {}

    def stop_renewing(self) -> None:
        """Stop renewing the lease, but keep serving."""
        self._stopped.set()
        self._threads[1].join()

    def close(self) -> None:
        self.stop_renewing()
        self._server.shutdown()
        self._server.server_close()

    def _renew(self) -> None:
        while not self._stopped.is_set():
            self.announce("serving")
            self._stopped.wait(RENEW_SECONDS)

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        upstream = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                self.rfile.read(int(self.headers.get("Content-Length", "0")))
                upstream.served += 1
                body = json.dumps({"served_by": upstream.id}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.send_header("X-Served-By", upstream.id)
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *arguments: Any) -> None:
                pass

        return Handler
