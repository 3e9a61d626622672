"""A fake plain service that counts every run of a booking."""

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from aiohttp import web

from poplarlug.fakes.ledger import RequestLedger

GATE_POLL_SECONDS = 0.02
"""How often a blocked run checks whether the gate file still exists."""


class ServiceOptions(NamedTuple):
    """
    Options of a fake service.

    Parameters
    ----------
    ledger_file : str
        Each run of a booking appends its key here, one per line.
    run_seconds : float
        How long a booking takes.
    requests_file : str
        Each run also appends its request id and key here; empty for none.
    gate_file : str
        No run ends while this file exists; empty for none.
    """

    upstream_id: str
    services: tuple[str, ...]
    ledger_file: str
    run_seconds: float = 0.0
    requests_file: str = ""
    gate_file: str = ""


class FakeService:
    """Run every booking request, including repeated ones."""

    def __init__(self, *, options: ServiceOptions) -> None:
        self._options = options
        self._requests = RequestLedger(path=options.requests_file)
        self.runs_by_key: Counter[str] = Counter()
        self.running = 0

    def application(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/bookings", self.serve_booking)
        app.router.add_get("/bins/{name}", self.serve_bin)
        return app

    def describe(self) -> dict[str, Any]:
        return {
            "id": self._options.upstream_id,
            "kind": "service",
            "services": list(self._options.services),
            "running": self.running,
        }

    async def serve_booking(self, request: web.Request) -> web.Response:
        key = request.headers.get("Idempotency-Key", "")
        self.running += 1
        try:
            self._record_run(key)
            self._requests.write(request.headers.get("X-Request-Id", ""), key)
            if self._options.run_seconds > 0:
                await asyncio.sleep(self._options.run_seconds)
            gate = self._options.gate_file
            while gate and Path(gate).exists():  # noqa: ASYNC110, ASYNC240
                await asyncio.sleep(GATE_POLL_SECONDS)
            return web.json_response(
                {
                    "booked": key,
                    "runs": self.runs_by_key[key],
                    "served_by": self._options.upstream_id,
                }
            )
        finally:
            self.running -= 1

    async def serve_bin(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        return web.json_response(
            {"bin": name, "full": False, "served_by": self._options.upstream_id}
        )

    def _record_run(self, key: str) -> None:
        self.runs_by_key[key] += 1
        with Path(self._options.ledger_file).open("a") as ledger:
            ledger.write(f"{key}\n")
