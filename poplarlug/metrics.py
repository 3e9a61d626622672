"""Prometheus metrics, in one registry per process."""

import asyncio

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from poplarlug.logs import ComponentLogger

REGISTRY = CollectorRegistry()

SUPERVISOR_FAILURES = Counter(
    "poplarlug_supervisor_child_failures_total",
    "Failures of supervised tasks, each followed by a restart or the end.",
    ["supervisor", "child"],
    registry=REGISTRY,
)
LOOP_LAG = Histogram(
    "poplarlug_event_loop_lag_seconds",
    "How late the event loop runs a timer.",
    buckets=(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5),
    registry=REGISTRY,
)
TRANSPORT_FRAMES = Counter(
    "poplarlug_transport_frames_total",
    "Frames exchanged with the system's other processes.",
    ["direction"],
    registry=REGISTRY,
)
TRANSPORT_BYTES = Counter(
    "poplarlug_transport_bytes_total",
    "Payload bytes exchanged with the system's other processes.",
    ["direction"],
    registry=REGISTRY,
)

LAG_SAMPLE_SECONDS = 0.5
LONG_LAG_SECONDS = 0.25
"""Minimum lag that is logged: half of the time within which a caller's disconnect must
be detected."""

_log = ComponentLogger(prefix="event loop")


async def serve_metrics(request: web.Request) -> web.Response:
    """Serve ``GET /metrics`` in the Prometheus text format."""
    return web.Response(
        body=generate_latest(REGISTRY), headers={"Content-Type": CONTENT_TYPE_LATEST}
    )


async def sample_loop_lag() -> None:
    """Measure the event loop's lag until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LAG_SAMPLE_SECONDS
        await asyncio.sleep(LAG_SAMPLE_SECONDS)
        lag = max(0.0, loop.time() - due)
        LOOP_LAG.observe(lag)
        if lag >= LONG_LAG_SECONDS:
            _log.warning("was late", seconds=round(lag, 3))


def count_frame(direction: str, payload_bytes: int) -> None:
    """Count one frame; ``direction`` is ``"sent"`` or ``"received"``."""
    frames, data = _FRAME_COUNTERS[direction]
    frames.inc()
    data.inc(payload_bytes)


_FRAME_COUNTERS = {
    name: (TRANSPORT_FRAMES.labels(name), TRANSPORT_BYTES.labels(name))
    for name in ("sent", "received")
}
